#include "crash_ledger_fixture.hpp"

namespace hibiscus::batch {

namespace {

constexpr base::millis renewal_ms = 1200;

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

    /// Loses a connection to a server, and clears that loss by a later run.
    void lose_and_go_on(const server_process& lost) {
        constexpr int more_events = 40;
        ledger_.on_lost(request_, make_loss(lost));
        ASSERT_EQ(ledger_.on_progress(request_, {more_events, more_events}), 1);
        text_events_ = more_events;
    }

    int text_events_ = 0;
    int losses_ = 0;
};

// Guards against a request that is held back for servers that have not ended.
TEST_F(agreeing_losses_test, a_cleared_loss_of_a_living_server_does_not_count) {
    const auto living = process("living");
    lose_and_go_on(living);
    lose_after({3242, 375, 268});
    EXPECT_EQ(ledger_.permission(request_), send_permission::waits);
    const auto due = ledger_.take_due_checks();
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due[0].process, living);
    ledger_.on_alive(living);
    store_all();
    EXPECT_EQ(ledger_.summarize(request_).cleared_losses, 0);
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
}

TEST_F(agreeing_losses_test, a_cleared_loss_of_a_server_that_ended_counts) {
    const auto ended = process("ended");
    lose_and_go_on(ended);
    ledger_.on_ended(ended);
    lose_after({3242, 375, 268});
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

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
