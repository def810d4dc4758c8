#include "crash_ledger_fixture.hpp"

#include <gtest/gtest.h>

namespace hibiscus::batch {

namespace {

/// Three server processes that are taken for ended under one request.
class returned_process_test : public crash_ledger_test {
protected:
    returned_process_test() {
        lose(crash_ledger::max_server_ends);
        for (const auto* id : {"s0", "s1", "s2"}) {
            ledger_.on_ended(process(id));
        }
        store_all();
        time_->advance(1);
    }

    void register_server(const std::string& id, base::millis started_ms = 1) {
        samplers::registration r;
        r.service = samplers::service_name("engines");
        r.started_ms = started_ms;
        table_.put(samplers::sampler_id(id), r);
    }

    std::size_t due_checks() {
        ledger_.read_registrations(table_);
        return ledger_.take_due_checks().size();
    }

    samplers::sampler_table table_{clock_};
};

// Guards against a request that stays quarantined for servers that go on.
TEST_F(returned_process_test, a_process_that_responds_again_has_not_ended) {
    ASSERT_EQ(ledger_.permission(request_), send_permission::quarantined);
    register_server("s0");
    EXPECT_EQ(due_checks(), 1U);
    EXPECT_TRUE(ledger_.is_taken_for_ended(process("s0")));
    const auto evidence_number = ledger_.evidence_number();
    ledger_.on_responded(process("s0"), clock_.now());
    EXPECT_FALSE(ledger_.is_taken_for_ended(process("s0")));
    EXPECT_NE(ledger_.evidence_number(), evidence_number);
    EXPECT_EQ(ledger_.loss_count(request_), crash_ledger::max_server_ends - 1);
    store_all();
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
}

TEST_F(returned_process_test, a_registration_is_checked_once) {
    register_server("s0");
    EXPECT_EQ(due_checks(), 1U);
    time_->advance(crash_ledger::check_interval_ms);
    EXPECT_EQ(due_checks(), 0U);
}

TEST_F(returned_process_test, a_registration_before_the_end_tells_nothing) {
    register_server("s3");
    time_->advance(1);
    ledger_.on_lost(other_, make_loss(process("s3")));
    ledger_.on_ended(process("s3"));
    EXPECT_EQ(due_checks(), 0U);
}

// Guards against a response that outweighs an end which came after it.
TEST_F(returned_process_test, a_response_from_before_the_end_tells_nothing) {
    const auto asked_at = clock_.now();
    ledger_.on_lost(other_, make_loss(process("s3")));
    time_->advance(1);
    ledger_.on_ended(process("s3"));
    ledger_.on_responded(process("s3"), asked_at);
    EXPECT_EQ(ledger_.loss_count(other_), 1);
}

TEST_F(returned_process_test, the_next_process_does_not_count_as_the_last_one) {
    constexpr base::millis next_started_ms = 2;
    register_server("s0", next_started_ms);
    EXPECT_EQ(due_checks(), 0U);
    ledger_.on_responded(process("s0", next_started_ms), clock_.now());
    EXPECT_EQ(ledger_.loss_count(request_), crash_ledger::max_server_ends);
}

} // namespace

} // namespace hibiscus::batch
