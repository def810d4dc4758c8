#include "crash_ledger_fixture.hpp"

#include <gtest/gtest.h>

namespace hibiscus::batch {

namespace {

/// Time after which a server has outlived an abandoned send, in ms.
constexpr base::millis outlived_ms = 1000;

class abandoned_sends_test : public crash_ledger_test {
protected:
    void abandon(int count) {
        for (int n = 0; n < count; ++n) {
            ledger_.on_abandoned(request_,
                                 make_loss(process("s" + std::to_string(n))));
        }
    }

    void abandon_at_a_silent_server() {
        auto last_seen = make_loss(process("s0"));
        last_seen.is_unseen = true;
        ledger_.on_abandoned(request_, last_seen);
    }

    void register_server(const std::string& id, bool draining = false) {
        samplers::registration r;
        r.service = samplers::service_name("engines");
        r.started_ms = 1;
        r.draining = draining;
        table_.put(samplers::sampler_id(id), r);
    }

    samplers::sampler_table table_{clock_};
};

// Guards against ends of servers after the connection of a request has closed.
TEST_F(abandoned_sends_test, servers_that_end_later_count) {
    abandon(3);
    for (const auto* id : {"s0", "s1", "s2"}) {
        ledger_.on_ended(process(id));
    }
    EXPECT_EQ(ledger_.loss_count(request_), 3);
    EXPECT_EQ(ledger_.take_late_losses().size(), 3U);
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

// Guards against a send to a silent server that counts once it has ended.
TEST_F(abandoned_sends_test, a_server_that_was_silent_before_does_not_count) {
    abandon_at_a_silent_server();
    ledger_.on_ended(process("s0"));
    EXPECT_EQ(ledger_.loss_count(request_), 0);
    EXPECT_TRUE(ledger_.is_empty());
}

// Guards against ends that are missed after a server had only paused.
TEST_F(abandoned_sends_test, a_silent_server_that_goes_on_and_ends_counts) {
    abandon_at_a_silent_server();
    time_->advance(1);
    ledger_.on_alive(process("s0"));
    ledger_.on_ended(process("s0"));
    EXPECT_EQ(ledger_.loss_count(request_), 1);
}

// Guards against a send that is forgotten for a later one to the same server.
TEST_F(abandoned_sends_test, an_earlier_send_to_a_server_that_read_it_counts) {
    abandon(1);
    abandon_at_a_silent_server();
    ledger_.on_ended(process("s0"));
    EXPECT_EQ(ledger_.loss_count(request_), 1);
}

TEST_F(abandoned_sends_test, servers_that_live_on_do_not_count) {
    abandon(3);
    time_->advance(outlived_ms);
    for (const auto* id : {"s0", "s1", "s2"}) {
        register_server(id);
    }
    ledger_.read_registrations(table_);
    for (const auto* id : {"s0", "s1", "s2"}) {
        ledger_.on_ended(process(id));
    }
    EXPECT_EQ(ledger_.loss_count(request_), 0);
    EXPECT_TRUE(ledger_.is_empty());
}

TEST_F(abandoned_sends_test, a_sign_of_life_at_once_settles_nothing) {
    abandon(1);
    register_server("s0");
    ledger_.read_registrations(table_);
    ledger_.on_ended(process("s0"));
    EXPECT_EQ(ledger_.loss_count(request_), 1);
}

TEST_F(abandoned_sends_test, servers_that_drain_do_not_count) {
    abandon(1);
    register_server("s0", true);
    ledger_.read_registrations(table_);
    ledger_.on_ended(process("s0"));
    EXPECT_EQ(ledger_.loss_count(request_), 0);
}

TEST_F(abandoned_sends_test, a_request_waits_until_few_sends_are_unsettled) {
    abandon(2);
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
    abandon(3);
    EXPECT_EQ(ledger_.permission(request_), send_permission::waits);
    EXPECT_EQ(ledger_.take_due_checks().size(), 3U);
    time_->advance(outlived_ms);
    ledger_.on_alive(process("s0"));
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
}

TEST_F(abandoned_sends_test, a_request_does_not_wait_without_end) {
    constexpr base::millis max_idle_ms = 5000;
    abandon(3);
    time_->advance(max_idle_ms);
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
}

TEST_F(abandoned_sends_test, a_summary_tells_late_losses_from_others) {
    constexpr int run_events = 5;
    abandon(2);
    ledger_.on_ended(process("s0"));
    auto noticed = make_loss(process("s1"));
    noticed.progress.run_events = run_events;
    ledger_.on_lost(request_, noticed);
    ledger_.on_ended(process("s1"));
    const auto summary = ledger_.summarize(request_);
    EXPECT_EQ(summary.losses, 2);
    EXPECT_EQ(summary.late_losses, 1);
    EXPECT_EQ(summary.losses_without_events, 1);
}

// Guards against one end that counts as a loss and as an abandoned send.
TEST_F(abandoned_sends_test, one_end_counts_once) {
    abandon(1);
    time_->advance(1);
    ledger_.on_lost(request_, make_loss(process("s0")));
    ledger_.on_ended(process("s0"));
    EXPECT_EQ(ledger_.loss_count(request_), 1);
    ledger_.on_abandoned(request_, make_loss(process("s0")));
    EXPECT_EQ(ledger_.loss_count(request_), 1);
}

// Guards against a check of an earlier loss that clears a later one.
TEST_F(abandoned_sends_test, a_later_loss_stays_if_an_earlier_one_is_cleared) {
    ledger_.on_lost(other_, make_loss(process("s0")));
    const auto first_loss_at = clock_.now();
    time_->advance(4000);
    auto later = make_loss(process("s0"));
    later.silent_since = clock_.now();
    ledger_.on_lost(request_, later);
    ledger_.on_alive(process("s0"), first_loss_at);
    EXPECT_EQ(ledger_.loss_count(other_), 0);
    EXPECT_EQ(ledger_.loss_count(request_), 1);
}

} // namespace

} // namespace hibiscus::batch
