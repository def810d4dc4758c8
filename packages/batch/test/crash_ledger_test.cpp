#include "hibiscus/batch/crash_ledger.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace hibiscus::batch {

namespace {

constexpr base::millis retention_ms = 60000;
constexpr base::millis renewal_ms = 1200;
constexpr int server_count = 10;

class crash_ledger_test : public testing::Test {
protected:
    static server_process process(const std::string& id,
                                  base::millis started_ms = 1) {
        return {samplers::sampler_id(id), started_ms};
    }

    static server_loss make_loss(const server_process& lost,
                                 int text_events = 0, base::millis run_ms = 0) {
        return {lost,
                samplers::service_name("engines"),
                server_count,
                {text_events, 0, run_ms}};
    }

    void lose(int count) {
        for (int n = 0; n < count; ++n) {
            ledger_.on_lost(request_,
                            make_loss(process("s" + std::to_string(n))));
        }
    }

    void store_all() { ledger_.on_saved(ledger_.unsaved_rows(ledger_.size())); }

    /// Loses a server process after each of these numbers of events.
    void lose_at(const std::vector<int>& text_events) {
        for (const int events : text_events) {
            const auto ended = process("s" + std::to_string(events));
            ledger_.on_lost(request_, make_loss(ended, events));
            ledger_.on_ended(ended);
        }
    }

    /// Passes the rows in the store on to a new owner's ledger.
    static std::map<std::string, loss_record>
    read(const std::vector<crash_ledger::unsaved_row>& rows) {
        std::map<std::string, loss_record> stored;
        for (const auto& row : rows) {
            if (const auto record = decode_losses(row.record.value)) {
                stored[row.record.key] = *record;
            }
        }
        return stored;
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    crash_ledger ledger_{clock_, retention_ms};
    const request_key request_{"w", "r"};
    const request_key other_{"w", "other"};
};

TEST_F(crash_ledger_test, a_request_is_quarantined_after_three_ends) {
    lose(3);
    store_all();
    EXPECT_EQ(ledger_.permission(request_), send_permission::waits);
    for (const auto& check : ledger_.take_due_checks()) {
        ledger_.on_ended(check.process);
    }
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
    EXPECT_EQ(ledger_.permission(other_), send_permission::allowed);
}

// Guards against broken connections that count as ended servers.
TEST_F(crash_ledger_test, losses_at_living_servers_do_not_count) {
    lose(3);
    for (const auto& check : ledger_.take_due_checks()) {
        ledger_.on_alive(check.process);
    }
    EXPECT_EQ(ledger_.loss_count(request_), 0);
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
}

// Guards against requests that are blamed for servers which were silent before.
TEST_F(crash_ledger_test, a_send_to_a_silent_server_is_no_loss) {
    time_->advance(100);
    auto lost = make_loss(process("s"), 0, 50);
    lost.silent_since = 40;
    EXPECT_TRUE(ledger_.on_lost(other_, lost));
    time_->advance(900);
    lost.progress.run_ms = 800;
    EXPECT_FALSE(ledger_.on_lost(request_, lost));
    EXPECT_EQ(ledger_.loss_count(request_), 0);
    lost.silent_since = 150;
    EXPECT_TRUE(ledger_.on_lost(request_, lost));
}

// Guards against requests that are held back since chance ended their servers.
TEST_F(crash_ledger_test, progress_past_the_point_of_a_loss_clears_it) {
    lose_at({10, 20, 30});
    store_all();
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
    EXPECT_EQ(ledger_.on_progress(request_, {32, 12}), 2);
    EXPECT_EQ(ledger_.loss_count(request_), 1);
    store_all();
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
}

TEST_F(crash_ledger_test, further_losses_ask_for_more_progress) {
    constexpr int events = crash_ledger::clearing_events;
    int position = 0;
    for (int n = 1; n <= crash_ledger::max_server_ends; ++n) {
        position += 10;
        lose_at({position});
        EXPECT_EQ(
            ledger_.on_progress(request_, {position + events, events - 1}), 0);
        EXPECT_EQ(ledger_.on_progress(request_, {position + events, events}),
                  1);
    }
    position += 10;
    lose_at({position});
    EXPECT_EQ(ledger_.on_progress(request_, {position + events, events}), 0);
    EXPECT_EQ(
        ledger_.on_progress(request_, {position + 2 * events, 2 * events}), 1);
}

// Guards against a request that is held back though all its losses are cleared.
TEST_F(crash_ledger_test, cleared_losses_alone_do_not_quarantine) {
    for (int position = 0; position < 300; position += 50) {
        lose_at({position});
        ledger_.on_progress(request_, {position + 40, 40});
    }
    store_all();
    EXPECT_EQ(ledger_.loss_count(request_), 0);
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
    lose_at({400});
    store_all();
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

// Guards against a run that clears its own announced send.
TEST_F(crash_ledger_test, progress_does_not_clear_a_send_that_is_announced) {
    lose(2);
    store_all();
    ledger_.on_sending(request_, process("last"));
    EXPECT_EQ(ledger_.on_progress(request_, {100, 100}), 2);
    EXPECT_EQ(ledger_.loss_count(request_), 1);
}

// Guards against a new owner that forgets how many losses were cleared.
TEST_F(crash_ledger_test, cleared_losses_pass_on_to_a_new_owner) {
    constexpr int events = crash_ledger::clearing_events;
    lose_at({10, 11, 12});
    EXPECT_EQ(ledger_.on_progress(request_, {20, 8}), 3);
    lose_at({30});
    crash_ledger next(clock_, retention_ms);
    next.restore(read(ledger_.unsaved_rows(1)));
    EXPECT_EQ(next.on_progress(request_, {30 + events, events}), 0);
    EXPECT_EQ(next.on_progress(request_, {30 + 2 * events, 2 * events}), 1);
    next.on_finished(request_);
    next.on_saved(next.unsaved_rows(1));
    EXPECT_EQ(next.size(), 0U);
}

/// Ends servers under a request, each after a run of its own.
class agreeing_losses_test : public crash_ledger_test {
protected:
    static constexpr int event_interval_ms = 40;

    /// Ends a server after each of these run lengths, in ms.
    void lose_after(const std::vector<base::millis>& run_lengths) {
        for (const auto run_ms : run_lengths) {
            const auto events = static_cast<int>(run_ms / event_interval_ms);
            text_events_ += events;
            time_->advance(run_ms);
            auto lost = make_loss(process("s" + std::to_string(++losses_)),
                                  text_events_, run_ms);
            lost.progress.run_events = events;
            ledger_.on_lost(request_, lost);
            ledger_.on_ended(lost.process);
        }
        store_all();
    }

    int text_events_ = 0;
    int losses_ = 0;
};

// Guards against requests that are held back since their longest run came
// first.
TEST_F(agreeing_losses_test, a_long_run_speaks_against_shorter_ones) {
    lose_after({3242, 375, 268});
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
    EXPECT_FALSE(ledger_.limit_of(request_));
}

// Guards against requests that end their servers at random times without end.
TEST_F(agreeing_losses_test, four_losses_that_do_not_agree_quarantine) {
    lose_after({3242, 375, 1500, 800});
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

// Guards against requests that are held back though their text goes on.
TEST_F(agreeing_losses_test, runs_of_equal_lengths_limit_the_next_one) {
    lose_after({700, 800, 700});
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
    const auto limit = ledger_.limit_of(request_);
    ASSERT_TRUE(limit);
    EXPECT_EQ(limit->ms, 350);
    EXPECT_EQ(limit->events, 8);
}

// Guards against requests that end servers in short runs, too.
TEST_F(agreeing_losses_test, a_loss_in_a_limited_run_quarantines) {
    lose_after({700, 700, 700, 200});
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
    EXPECT_FALSE(ledger_.limit_of(request_));
}

TEST_F(agreeing_losses_test, short_runs_of_equal_lengths_quarantine) {
    lose_after({80, 80, 80});
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

// Guards against a request that ends its servers at one event after a takeover.
TEST_F(agreeing_losses_test, an_announced_send_agrees_with_all_losses) {
    lose_after({700, 1400});
    ledger_.on_sending(request_, process("last"));
    crash_ledger next(clock_, retention_ms);
    next.restore(read(ledger_.unsaved_rows(1)));
    next.on_ended(process("last"));
    next.on_saved(next.unsaved_rows(1));
    EXPECT_EQ(next.summarize(request_).agreeing_losses, 2);
    next.on_lost(request_, make_loss(process("s9"), text_events_, 700));
    next.on_ended(process("s9"));
    EXPECT_EQ(next.permission(request_), send_permission::quarantined);
}

// Guards against a new owner to which a long run is not known.
TEST_F(agreeing_losses_test, the_longest_run_passes_on_to_a_new_owner) {
    lose_after({700, 700});
    time_->advance(2000);
    ledger_.on_progress(request_, {text_events_, 50, 2000});
    lose_after({700});
    ledger_.on_sending(request_, process("last"));
    ledger_.on_survived(request_, process("last"));
    crash_ledger next(clock_, retention_ms);
    next.restore(read(ledger_.unsaved_rows(1)));
    EXPECT_EQ(next.summarize(request_).agreeing_losses,
              ledger_.summarize(request_).agreeing_losses);
}

/// Ends servers with and without a request. The request has three losses,
/// 400 ms apart.
class crash_chance_test : public crash_ledger_test {
protected:
    /// Ends `others` servers with other requests around each loss of request_,
    /// whose servers had it for `run_ms`.
    void end_servers(int others, base::millis run_ms,
                     const std::string& others_service = "engines") {
        for (int n = 0; n < crash_ledger::max_server_ends; ++n) {
            for (int m = 0; m < others; ++m) {
                const auto name = std::to_string(n) + "." + std::to_string(m);
                auto lost = make_loss(process("o" + name));
                lost.service = samplers::service_name(others_service);
                ledger_.on_lost({"w", "o" + name}, lost);
                others_.push_back(lost.process);
            }
            ledger_.on_lost(
                request_,
                make_loss(process("s" + std::to_string(n)), 0, run_ms));
            time_->advance(400);
        }
        store_all();
    }

    void settle(bool others_ended = true) {
        for (const auto& check : ledger_.take_due_checks()) {
            const bool is_other = std::find(others_.begin(), others_.end(),
                                            check.process) != others_.end();
            if (is_other && !others_ended) {
                ledger_.on_alive(check.process);
            } else {
                ledger_.on_ended(check.process);
            }
        }
        store_all();
    }

    std::vector<server_process> others_;
};

// Guards against requests that are held back since chance ended their servers.
TEST_F(crash_chance_test, a_request_is_sent_on_while_all_servers_end) {
    end_servers(2, 300);
    EXPECT_EQ(ledger_.permission(request_), send_permission::waits);
    settle();
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
    EXPECT_TRUE(ledger_.needs_stored_send(request_));
}

// Guards against requests that end their servers at once while others end, too.
TEST_F(crash_chance_test, a_request_that_ends_servers_at_once_is_no_chance) {
    end_servers(2, 10);
    settle();
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

// Guards against requests that excuse each other while another service is in
// trouble.
TEST_F(crash_chance_test, a_free_end_of_another_service_does_not_count) {
    for (int n = 0; n < crash_ledger::max_server_ends; ++n) {
        auto lost = make_loss(process("o" + std::to_string(n)));
        lost.service = samplers::service_name("app");
        ledger_.on_lost({"w", lost.process.server.str()}, lost);
        for (const auto& request : {request_, other_}) {
            ledger_.on_lost(request, make_loss(process(request.request_id +
                                                       std::to_string(n)),
                                               n, 300));
        }
        time_->advance(400);
    }
    store_all();
    settle();
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
    EXPECT_EQ(ledger_.permission(other_), send_permission::quarantined);
}

// Guards against one long run that makes room for short ones.
TEST_F(crash_chance_test,
       a_request_that_ends_servers_at_one_event_is_no_chance) {
    constexpr base::millis first_run_ms = 800;
    constexpr base::millis next_run_ms = 15;
    constexpr base::millis end_interval_ms = 100;
    for (int n = 0; n < first_run_ms / end_interval_ms; ++n) {
        const auto ended = process("o" + std::to_string(n));
        ledger_.on_lost({"w", ended.server.str()}, make_loss(ended));
        ledger_.on_ended(ended);
        time_->advance(end_interval_ms);
    }
    base::millis run_ms = first_run_ms;
    for (int n = 0; n < crash_ledger::max_server_ends; ++n) {
        const auto ended = process("s" + std::to_string(n));
        ledger_.on_lost(request_, make_loss(ended, 20, run_ms));
        ledger_.on_ended(ended);
        run_ms = next_run_ms;
        time_->advance(40);
    }
    store_all();
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

// Guards against a request that chance excuses for as long as servers end.
TEST_F(crash_chance_test, ends_by_chance_have_a_bound) {
    int ends = 0;
    for (; ends < 100; ++ends) {
        end_servers(2, 300);
        settle();
        if (ledger_.permission(request_) != send_permission::allowed) {
            break;
        }
    }
    EXPECT_LE((ends + 1) * crash_ledger::max_server_ends,
              crash_ledger::max_ends_by_chance + crash_ledger::max_server_ends -
                  1);
}

TEST_F(crash_chance_test, broken_connections_of_other_servers_are_no_ends) {
    end_servers(2, 300);
    settle(false);
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

TEST_F(crash_chance_test, the_ends_of_another_service_do_not_count) {
    end_servers(2, 300, "app");
    settle();
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

// Guards against two requests that end servers and excuse each other.
TEST_F(crash_chance_test, ends_under_another_suspect_do_not_count) {
    end_servers(1, 300);
    for (const auto& process : others_) {
        ledger_.on_lost(other_, make_loss(process, 0, 300));
    }
    settle();
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
    EXPECT_EQ(ledger_.permission(other_), send_permission::quarantined);
}

// Guards against a request that waits for a check that never comes.
TEST_F(crash_chance_test, the_wait_for_other_servers_ends) {
    end_servers(2, 300);
    for (const auto& check : ledger_.take_due_checks()) {
        if (std::find(others_.begin(), others_.end(), check.process) ==
            others_.end()) {
            ledger_.on_ended(check.process);
        }
    }
    EXPECT_EQ(ledger_.permission(request_), send_permission::waits);
    time_->advance(1000);
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

/// Ends servers that run nothing: only their registrations show it.
class registered_ends_test : public crash_chance_test {
protected:
    static samplers::registration make_registration(std::int64_t started_ms) {
        samplers::registration r;
        r.service = samplers::service_name("engines");
        r.address = {"127.0.0.1", 1};
        r.started_ms = started_ms;
        return r;
    }

    void restart_servers(int count, bool draining = false) {
        for (int n = 0; n < count; ++n) {
            const samplers::sampler_id id("r" + std::to_string(n));
            auto former = make_registration(started_ms_);
            former.draining = draining;
            table_.put(id, former);
            table_.put(id, make_registration(started_ms_ + 1));
        }
        ++started_ms_;
        watching_.take_due_checks();
    }

    void lose_three(crash_ledger& ledger) {
        for (int n = 0; n < crash_ledger::max_server_ends; ++n) {
            const auto lost = process("s" + std::to_string(n));
            time_->advance(400);
            ledger.on_lost(request_, make_loss(lost, n, 300));
            ledger.on_ended(lost);
        }
        ledger.on_saved(ledger.unsaved_rows(1));
    }

    samplers::sampler_table table_{clock_};
    crash_ledger watching_{clock_, retention_ms, &table_.ends()};
    std::int64_t started_ms_ = 1;
};

// Guards against requests that are held back since nobody counts the ends of
// idle servers.
TEST_F(registered_ends_test, ends_of_idle_servers_speak_for_a_request) {
    lose_three(watching_);
    EXPECT_EQ(watching_.permission(request_), send_permission::quarantined);
    const auto before = watching_.evidence_number();
    restart_servers(8);
    EXPECT_GT(watching_.evidence_number(), before);
    EXPECT_EQ(watching_.permission(request_), send_permission::allowed);
}

TEST_F(registered_ends_test, servers_that_drained_are_no_evidence) {
    lose_three(watching_);
    restart_servers(8, true);
    EXPECT_EQ(watching_.permission(request_), send_permission::quarantined);
}

// Guards against a new owner that knows no ends of other servers.
TEST_F(registered_ends_test, a_new_owner_knows_the_ends_before) {
    crash_ledger former(clock_, retention_ms);
    lose_three(former);
    restart_servers(8);
    former.on_sending(request_, process("s9"));
    former.on_survived(request_, process("s9"));
    crash_ledger next(clock_, retention_ms, &table_.ends());
    next.restore(read(former.unsaved_rows(1)));
    next.take_due_checks();
    EXPECT_EQ(next.permission(request_), send_permission::allowed);
}

TEST_F(crash_ledger_test, one_process_counts_once) {
    ledger_.on_lost(request_, make_loss(process("s", 1)));
    ledger_.on_lost(request_, make_loss(process("s", 1)));
    EXPECT_EQ(ledger_.loss_count(request_), 1);
    ledger_.on_lost(request_, make_loss(process("s", 2)));
    EXPECT_EQ(ledger_.loss_count(request_), 2);
}

// Guards against a server that ends again before it has registered again.
TEST_F(crash_ledger_test, a_process_after_one_that_has_ended_counts_too) {
    const auto registered = process("s");
    for (int n = 1; n <= crash_ledger::max_server_ends; ++n) {
        ledger_.on_lost(request_, make_loss(registered));
        ledger_.on_ended(registered);
        EXPECT_EQ(ledger_.loss_count(request_), n);
    }
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

// Guards against a process that is not registered yet and is taken for the one
// before it.
TEST_F(crash_ledger_test, each_send_to_a_suspected_process_counts) {
    for (int n = 1; n <= crash_ledger::max_server_ends; ++n) {
        time_->advance(100);
        ledger_.on_lost(request_, make_loss(process("s"), 0, 50));
        EXPECT_EQ(ledger_.loss_count(request_), n);
    }
    store_all();
    EXPECT_EQ(ledger_.permission(request_), send_permission::waits);
    ledger_.on_ended(process("s"));
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

// Guards against a path that breaks again and again and counts as ended
// processes.
TEST_F(crash_ledger_test, a_living_process_clears_all_losses_at_it) {
    for (int n = 1; n <= crash_ledger::max_server_ends; ++n) {
        time_->advance(100);
        ledger_.on_lost(request_, make_loss(process("s"), 0, 50));
    }
    ledger_.on_alive(process("s"));
    store_all();
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
}

// Guards against a third server that ends before the store has the first two.
TEST_F(crash_ledger_test, the_last_send_waits_for_the_store) {
    lose(2);
    EXPECT_EQ(ledger_.permission(request_), send_permission::waits);
    store_all();
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
    EXPECT_TRUE(ledger_.needs_stored_send(request_));
    ledger_.on_sending(request_, process("last"));
    EXPECT_FALSE(ledger_.is_stored(request_));
    store_all();
    EXPECT_TRUE(ledger_.is_stored(request_));
}

// Guards against an owner that is killed while the last server ends.
TEST_F(crash_ledger_test, a_new_owner_checks_the_announced_send) {
    lose(2);
    store_all();
    ledger_.on_sending(request_, process("last"));
    crash_ledger next(clock_, retention_ms);
    next.restore(read(ledger_.unsaved_rows(1)));
    EXPECT_EQ(next.permission(request_), send_permission::waits);
    for (const auto& check : next.take_due_checks()) {
        next.on_ended(check.process);
    }
    EXPECT_EQ(next.permission(request_), send_permission::quarantined);
}

TEST_F(crash_ledger_test, a_send_that_survived_is_taken_back) {
    lose(2);
    ledger_.on_sending(request_, process("last"));
    ledger_.on_survived(request_, process("last"));
    EXPECT_EQ(ledger_.loss_count(request_), 2);
}

// Guards against a loss that is forgotten when its server gets the request
// again.
TEST_F(crash_ledger_test, a_send_to_a_suspected_process_keeps_its_loss) {
    lose(2);
    ledger_.on_sending(request_, process("s1"));
    ledger_.on_survived(request_, process("s1"));
    EXPECT_EQ(ledger_.loss_count(request_), 2);
}

// Guards against losses that are lost with a change during their append.
TEST_F(crash_ledger_test, a_change_during_an_append_is_not_stored) {
    lose(1);
    const auto appended = ledger_.unsaved_rows(1);
    lose(2);
    ledger_.on_saved(appended);
    EXPECT_FALSE(ledger_.is_stored(request_));
}

TEST_F(crash_ledger_test, a_finished_request_is_erased_from_the_store) {
    lose(1);
    store_all();
    ledger_.on_finished(request_);
    const auto rows = ledger_.unsaved_rows(1);
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows.front().record.value, "");
    ledger_.on_saved(rows);
    EXPECT_EQ(ledger_.size(), 0U);
}

TEST_F(crash_ledger_test, old_losses_are_forgotten) {
    lose(3);
    time_->advance(retention_ms + 1);
    ledger_.forget_expired();
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
}

TEST_F(crash_ledger_test, a_process_is_checked_once_in_an_interval) {
    lose(3);
    EXPECT_EQ(ledger_.take_due_checks().size(), 3U);
    EXPECT_TRUE(ledger_.take_due_checks().empty());
    time_->advance(crash_ledger::check_interval_ms);
    EXPECT_EQ(ledger_.take_due_checks().size(), 3U);
}

TEST_F(crash_ledger_test, a_registration_tells_whether_a_process_has_ended) {
    samplers::sampler_row row;
    row.registered.started_ms = 1;
    const auto judge = [&](const samplers::sampler_row* r,
                           base::millis lost_ms) {
        return judge_by_registration(r, process("s", 1), lost_ms, renewal_ms);
    };
    EXPECT_EQ(judge(nullptr, 0), server_verdict::ended);
    EXPECT_EQ(judge(&row, 3 * renewal_ms), server_verdict::unknown);
    EXPECT_EQ(judge(&row, 4 * renewal_ms), server_verdict::alive);
    row.unlisted = true;
    EXPECT_EQ(judge(&row, 4 * renewal_ms), server_verdict::unknown);
    row.registered.started_ms = 2;
    EXPECT_EQ(judge(&row, 0), server_verdict::ended);
}

} // namespace

} // namespace hibiscus::batch
