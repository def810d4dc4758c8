#include "item_scheduler_fixture.hpp"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace hibiscus::batch {

namespace {

// Guards against an item that is sent on after servers have ended under it.
TEST_F(item_scheduler_test, an_item_is_not_sent_after_three_servers_ended) {
    for (const auto* id : {"c", "d", "e"}) {
        add_server(id, 2);
    }
    add_job(1);
    int sends = 0;
    for (int n = 0; n < 10; ++n) {
        for (const auto& r : of_type<start_run>(tick_for(100))) {
            ++sends;
            scheduler_.on_run_ended(r.run, run_outcome::cut);
            crashes_.on_ended({r.sampler, 0});
        }
        crashes_.on_saved(crashes_.unsaved_rows(crashes_.size()));
    }
    EXPECT_EQ(sends, crash_ledger::max_server_ends);
    EXPECT_TRUE(scheduler_.ready_results(1000).empty());
    const auto later = tick_for(40000);
    EXPECT_TRUE(of_type<start_run>(later).empty());
    const auto ready = scheduler_.ready_results(1000);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].result.outcome, item_outcome::errored);
}

// Guards against an end that counts again for an item whose run then uses an
// idle connection to the process that has ended.
TEST_F(item_scheduler_test, a_run_after_a_loss_opens_a_connection) {
    std::map<samplers::sampler_id, bool> may_reuse;
    const auto starts = start_four_runs();
    for (const auto& r : starts) {
        EXPECT_TRUE(r.reuse_connection);
        may_reuse[r.sampler] = true;
    }
    scheduler_.on_run_ended(starts.front().run, run_outcome::cut);
    may_reuse[starts.front().sampler] = false;
    add_job(8);
    for (const auto& r : of_type<start_run>(tick_for(400))) {
        EXPECT_EQ(r.reuse_connection, may_reuse[r.sampler]);
        scheduler_.on_response_started(r.run, 1);
        scheduler_.on_event(r.run, "1", "e", {});
    }
}

// Guards against items that are held back because an item beside them ends
// servers.
TEST_F(item_scheduler_test, items_beside_one_that_ends_servers_complete) {
    constexpr int items = 16;
    constexpr int ending_item = 5;
    for (const auto* id : {"c", "d", "e"}) {
        add_server(id, 4);
    }
    add_job(items, false);
    std::map<run_number, start_run> open;
    std::set<int> complete;
    int ends = 0;
    const auto note = [&](const effects& all) {
        for (const auto& r : of_type<start_run>(all)) {
            open.emplace(r.run, r);
        }
    };
    for (int n = 0; n < 200; ++n) {
        note(tick_for(100));
        crashes_.on_saved(crashes_.unsaved_rows(crashes_.size()));
        std::set<samplers::sampler_id> ended;
        for (const auto& [run, r] : open) {
            if (r.item_index == ending_item) {
                ended.insert(r.sampler);
                ++ends;
            }
        }
        for (const auto& [run, r] : std::exchange(open, {})) {
            if (ended.count(r.sampler) != 0) {
                note(scheduler_.on_run_ended(run, run_outcome::cut));
                crashes_.on_ended({r.sampler, 0});
            } else {
                note(complete_run(r));
                complete.insert(r.item_index);
            }
        }
    }
    EXPECT_EQ(ends, crash_ledger::max_server_ends);
    EXPECT_EQ(complete.size(), static_cast<std::size_t>(items - 1));
}

// Guards against a reward call that is repeated after servers have ended under
// it.
TEST_F(item_scheduler_test, a_reward_call_stops_after_three_servers_ended) {
    add_job(1);
    complete_run(of_type<start_run>(scheduler_.tick(true)).front());
    for (const auto* id : {"x", "y", "z"}) {
        const server_process lost{samplers::sampler_id(id), 1};
        scheduler_.on_reward_server_lost(job_, 0, {lost});
        scheduler_.on_reward_ended(job_, 0, reward_failure{0, 4});
        crashes_.on_ended(lost);
        crashes_.on_saved(crashes_.unsaved_rows(crashes_.size()));
        const auto calls = of_type<start_reward>(tick_for(100));
        EXPECT_EQ(calls.size(), std::string(id) == "z" ? 0U : 1U);
    }
    EXPECT_TRUE(scheduler_.ready_results(1000).empty());
}

// Guards against reward calls that are held back because a call beside them
// ends servers.
TEST_F(item_scheduler_test, reward_calls_with_two_losses_are_made_in_turn) {
    add_job(2);
    for (const auto& r : of_type<start_run>(scheduler_.tick(true))) {
        complete_run(r);
    }
    for (const int index : {0, 1}) {
        for (const auto* id : {"x", "y"}) {
            scheduler_.on_reward_server_lost(job_, index,
                                             {{samplers::sampler_id(id), 1}});
        }
        scheduler_.on_reward_ended(job_, index, reward_failure{0, 4});
    }
    crashes_.on_saved(crashes_.unsaved_rows(crashes_.size()));
    const auto first = of_type<start_reward>(tick_for(100));
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(of_type<start_reward>(tick_for(1000)).empty());
    scheduler_.on_reward_ended(job_, first.front().item_index,
                               reward_score{"s"});
    EXPECT_EQ(of_type<start_reward>(tick_for(100)).size(), 1U);
}

// Guards against an item that stays quarantined though the ends of other
// servers have become known since.
TEST_F(item_scheduler_test, a_quarantined_item_is_released_by_later_ends) {
    constexpr base::millis run_ms = 300;
    for (int n = 0; n < 8; ++n) {
        add_server("idle" + std::to_string(n), 1);
    }
    add_job(1);
    effects all;
    const auto run_for = [&](base::millis ms) {
        for (const auto& e : tick_for(ms)) {
            all.push_back(e);
        }
        crashes_.take_due_checks();
        crashes_.on_saved(crashes_.unsaved_rows(crashes_.size()));
    };
    for (int n = 0; n < crash_ledger::max_server_ends; ++n) {
        run_for(100);
        run_for(100);
        const auto starts = of_type<start_run>(std::exchange(all, {}));
        ASSERT_EQ(starts.size(), 1U);
        scheduler_.on_run_sent(starts.front().run);
        time_->advance(run_ms);
        scheduler_.on_run_ended(starts.front().run, run_outcome::cut);
        crashes_.on_ended({starts.front().sampler, 0});
    }
    run_for(100);
    run_for(100);
    EXPECT_EQ(of_type<report_quarantine>(all).size(), 1U);
    EXPECT_TRUE(of_type<start_run>(std::exchange(all, {})).empty());
    for (const auto& [id, row] : table_.rows()) {
        auto registered = row.registered;
        ++registered.started_ms;
        table_.put(id, registered);
    }
    for (int n = 0; n < 10 && of_type<start_run>(all).empty(); ++n) {
        run_for(100);
    }
    EXPECT_EQ(of_type<report_release>(all).size(), 1U);
    EXPECT_EQ(of_type<start_run>(all).size(), 1U);
}

// Guards against a server that had fallen silent before an item was sent there
// and is held against the item.
TEST_F(item_scheduler_test, a_server_that_fails_its_check_is_no_loss) {
    for (const auto* id : {"a", "b"}) {
        table_.on_heard(samplers::sampler_id(id));
    }
    add_job(1);
    const auto first = of_type<start_run>(scheduler_.tick(true));
    ASSERT_EQ(first.size(), 1U);
    EXPECT_FALSE(first[0].check_server);
    scheduler_.on_run_ended(first[0].run, run_outcome::cut);
    const request_key request{"", "i0"};
    ASSERT_EQ(crashes_.counted_losses(request), 1);
    std::optional<start_run> checked;
    for (int n = 0; n < 3; ++n) {
        add_server("silent-" + std::to_string(n), 2);
        const auto starts = of_type<start_run>(tick_for(100));
        ASSERT_EQ(starts.size(), 1U);
        checked = starts[0];
        EXPECT_TRUE(checked->check_server);
        EXPECT_FALSE(checked->resend_if_stale);
        const auto effects =
            scheduler_.on_run_ended(checked->run, run_outcome::no_sign);
        EXPECT_TRUE(of_type<report_loss>(effects).empty());
        crashes_.on_ended({checked->sampler, 0});
    }
    EXPECT_EQ(crashes_.counted_losses(request), 1);
    // Nothing has come from the last server, which is avoided.
    const auto next = of_type<start_run>(tick_for(2000));
    ASSERT_EQ(next.size(), 1U);
    EXPECT_NE(next[0].sampler, checked->sampler);
}

// Guards against an item that is held back for a server that never got it.
TEST_F(item_scheduler_test, a_first_send_to_a_quiet_server_is_checked) {
    constexpr base::millis quiet_ms = 200;
    for (const auto* id : {"a", "b"}) {
        table_.on_heard(samplers::sampler_id(id));
    }
    tick_for(quiet_ms);
    add_job(2);
    const auto starts = of_type<start_run>(scheduler_.tick(true));
    ASSERT_EQ(starts.size(), 2U);
    for (const auto& r : starts) {
        EXPECT_TRUE(r.check_server);
        EXPECT_TRUE(of_type<report_loss>(
                        scheduler_.on_run_ended(r.run, run_outcome::no_sign))
                        .empty());
        crashes_.on_ended({r.sampler, 0});
    }
    for (const auto* item : {"i0", "i1"}) {
        EXPECT_EQ(crashes_.counted_losses({"", item}), 0);
    }
}

/// Items that are sent to servers from which nothing comes.
class silent_servers_test : public item_scheduler_test {
protected:
    /// Sends what is placed and returns the next loss that is reported.
    std::optional<report_loss> wait_for_loss() {
        constexpr int max_ticks = 160;
        for (int n = 0; n < max_ticks; ++n) {
            const auto all = tick_for(tick_ms);
            for (const auto& r : of_type<start_run>(all)) {
                scheduler_.on_run_sent(r.run);
            }
            const auto losses = of_type<report_loss>(all);
            if (!losses.empty()) {
                return losses.front();
            }
        }
        return std::nullopt;
    }
};

// Guards against a send to a silent server that counts as an abandoned one.
TEST_F(silent_servers_test, a_send_to_a_silent_server_is_no_late_loss) {
    table_.remove(samplers::sampler_id("b"));
    add_job(1);
    const auto first = wait_for_loss();
    ASSERT_TRUE(first);
    EXPECT_TRUE(first->counts);
    scheduler_.remove_job(job_);
    renew_registrations();
    add_job(1, true, 1, "k", 0, "w");
    const auto second = wait_for_loss();
    ASSERT_TRUE(second);
    EXPECT_FALSE(second->counts);
    crashes_.on_ended({second->loss.process.server, 0});
    EXPECT_TRUE(crashes_.take_late_losses().empty());
    EXPECT_EQ(crashes_.counted_losses({"w", "i0"}), 0);
}

// Guards against an unchecked send to a silent server that counts.
TEST_F(silent_servers_test, an_unchecked_send_to_a_silent_server_is_no_loss) {
    constexpr int max_ticks = 2000;
    constexpr base::millis quiet_ms = 200;
    tick_for(quiet_ms);
    add_job(1);
    std::optional<start_run> unchecked;
    for (int n = 0; n < max_ticks && !unchecked; ++n) {
        for (const auto& r : of_type<start_run>(tick_for(tick_ms))) {
            if (!r.check_server) {
                unchecked = r;
                continue;
            }
            scheduler_.on_run_ended(r.run, run_outcome::no_sign);
        }
    }
    ASSERT_TRUE(unchecked);
    scheduler_.on_run_sent(unchecked->run);
    const auto loss = wait_for_loss();
    ASSERT_TRUE(loss);
    EXPECT_FALSE(loss->counts);
    EXPECT_EQ(crashes_.counted_losses({"", "i0"}), 0);
}

// Guards against an item that is sent for ever though each run is stopped
// before its first event.
TEST_F(item_scheduler_test, limited_runs_without_events_are_given_up) {
    constexpr int events = 20;
    constexpr base::millis run_ms = 400;
    add_job(1);
    int runs = 0;
    for (int n = 0; n < 400; ++n) {
        renew_registrations();
        for (const auto& r : of_type<start_run>(tick_for(tick_ms))) {
            scheduler_.on_run_sent(r.run);
            scheduler_.on_response_started(r.run, 1);
            if (++runs > crash_ledger::max_server_ends) {
                EXPECT_TRUE(r.limit);
                continue;
            }
            for (int event = 1; event <= events; ++event) {
                time_->advance(run_ms / events);
                scheduler_.on_event(
                    r.run, std::to_string(runs * events + event), "e", {});
            }
            scheduler_.on_run_ended(r.run, run_outcome::cut);
            crashes_.on_ended({r.sampler, 0});
        }
        crashes_.on_saved(crashes_.unsaved_rows(crashes_.size()));
    }
    EXPECT_EQ(runs, 2 * crash_ledger::max_server_ends);
}

/// Runs an item whose servers end again and again, and counts these ends.
class ending_servers_test : public item_scheduler_test {
protected:
    ending_servers_test() {
        for (const auto* id : {"c", "d", "e", "f"}) {
            add_server(id, 2);
        }
        add_job(1, false);
    }

    /// Ends the server of each run after as many events of the run as
    /// `run_length` returns, or when the text has `text_events` events. Returns
    /// how many servers ended.
    int run_item(const std::function<int()>& run_length, int text_events) {
        int ends = 0;
        for (int n = 0; n < 100; ++n) {
            renew_registrations();
            for (const auto& r : of_type<start_run>(tick_for(100))) {
                ends += receive_events(r, run_length(), text_events);
            }
            crashes_.on_saved(crashes_.unsaved_rows(crashes_.size()));
        }
        return ends;
    }

    /// The same with these lengths; the run after them does not end its server.
    int run_item_with_lengths(const std::vector<int>& lengths) {
        std::size_t runs = 0;
        return run_item(
            [&] { return runs < lengths.size() ? lengths[runs++] : never; },
            never);
    }

    /// Replaces the item by one of another workspace: no text, no losses.
    void replace_item() {
        scheduler_.remove_job(job_);
        add_job(1, false, 1, "j", 0, "w" + std::to_string(++workspaces_));
    }

    bool has_succeeded() const {
        const auto ready = scheduler_.ready_results(1000000);
        return ready.size() == 1 &&
               ready[0].result.outcome == item_outcome::succeeded;
    }

    static constexpr int all_events = 171;
    static constexpr int never = all_events + 1;
    static constexpr base::millis event_interval_ms = 8;

private:
    int workspaces_ = 0;

    /// Returns true if the server of the run ended. The scheduler may stop the
    /// run before.
    bool receive_events(const start_run& r, int events, int text_events) {
        scheduler_.on_run_sent(r.run);
        scheduler_.on_response_started(r.run, 1);
        int number =
            r.resume_after_event.empty() ? 0 : std::stoi(r.resume_after_event);
        for (int n = 0; number < all_events; ++n) {
            time_->advance(event_interval_ms);
            if (n >= events || number >= text_events) {
                scheduler_.on_run_ended(r.run, run_outcome::cut);
                crashes_.on_ended({r.sampler, 0});
                return true;
            }
            const auto all =
                scheduler_.on_event(r.run, std::to_string(++number), "e", {});
            if (!of_type<stop_run>(all).empty()) {
                return false;
            }
        }
        scheduler_.on_run_ended(r.run, run_outcome::complete);
        return false;
    }
};

// Guards against items that are held back since chance ended servers under
// them.
TEST_F(ending_servers_test, an_item_whose_run_outlives_a_loss_is_sent_on) {
    for (const auto& lengths :
         {std::vector<int>{18, 27, 27}, {5, 60, 3}, {40, 10, 50}}) {
        EXPECT_EQ(run_item_with_lengths(lengths),
                  static_cast<int>(lengths.size()));
        EXPECT_TRUE(has_succeeded());
        replace_item();
    }
}

// Guards against an item whose text up to the end of its servers speaks for it.
TEST_F(ending_servers_test, an_item_that_ends_servers_at_one_event_stops) {
    EXPECT_EQ(run_item([] { return never; }, 40),
              crash_ledger::max_server_ends);
    EXPECT_FALSE(has_succeeded());
}

// Guards against a count that the events before each end begin anew. If there
// are enough of them, shorter runs complete the text without a further end.
TEST_F(ending_servers_test,
       an_item_that_ends_servers_after_its_start_ends_three) {
    for (const int events : {0, 3, 4, 8, 16, 24, 50}) {
        SCOPED_TRACE(events);
        EXPECT_EQ(run_item([events] { return events; }, never),
                  crash_ledger::max_server_ends);
        EXPECT_EQ(has_succeeded(),
                  events >= crash_ledger::limit_divisor *
                                crash_ledger::min_limited_events);
        replace_item();
    }
}

// Guards against an item that ends servers at a random time of its runs for as
// long as its text grows.
TEST_F(ending_servers_test, ends_at_random_times_have_a_bound) {
    constexpr int seeds = 200;
    for (int seed = 0; seed < seeds; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 random(static_cast<unsigned>(seed));
        std::uniform_int_distribution<int> run_length(0, all_events / 4);
        EXPECT_LE(run_item([&] { return run_length(random); }, never),
                  crash_ledger::max_server_ends +
                      crash_ledger::max_uncounted_losses);
        replace_item();
    }
}

} // namespace

} // namespace hibiscus::batch
