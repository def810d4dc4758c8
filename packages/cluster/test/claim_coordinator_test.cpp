#include "hibiscus/cluster/claim_coordinator.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

constexpr shard_number shard = 0;
constexpr base::millis wall = 1000000;
constexpr base::millis deadline = 1000;

/// A coordinator and the effects that it has requested so far.
struct coordinator_harness {
    explicit coordinator_harness(const std::string& name,
                                 std::uint64_t incarnation = 1)
        : coordinator(base::node_id(name), incarnation, claim_options{}) {}

    /// Ticks the coordinator at `now` and stores its effects.
    void tick(base::millis now) {
        coordinator.tick(now, wall + now);
        collect_effects();
    }

    /// Takes the pending effects and stores them by kind.
    void collect_effects() {
        for (auto& effect : coordinator.take_effects()) {
            if (auto* append = std::get_if<append_claims>(&effect)) {
                sent.push_back(std::move(*append));
            } else if (auto* dispatch =
                           std::get_if<dispatch_request>(&effect)) {
                dispatched.push_back(dispatch->request.id);
            } else {
                auto& response = std::get<send_response>(effect);
                responses[response.waiter].push_back(response.response);
            }
        }
    }

    void submit(base::millis now, claim_waiter_id waiter,
                const std::string& key, base::millis deadline_ms = deadline) {
        wire::service_request request;
        request.id = base::request_id(key);
        request.service = base::service_id("ledger");
        request.idempotent = false;
        request.deadline_ms = deadline_ms;
        request.created_ms = wall;
        coordinator.submit(now, wall + now, waiter, shard, request);
        collect_effects();
    }

    claim_coordinator coordinator;
    std::vector<append_claims> sent;
    std::vector<base::request_id> dispatched;
    std::map<claim_waiter_id, std::vector<wire::service_response>> responses;
};

/// Two coordinators, a and b, and the log of one shard.
class claim_coordinator_test : public ::testing::Test {
protected:
    /// Appends the last record that `node` sent to the log and reports success.
    void append_last_sent(coordinator_harness& node) {
        log_.push_back(node.sent.back().record);
        report_append_result(node, append_outcome::appended);
    }

    /// Reports the outcome of the last append of `node`.
    void report_append_result(coordinator_harness& node, append_outcome outcome,
                              base::millis retry_at = 0) {
        node.coordinator.on_append_result(shard, node.sent.back().id, outcome,
                                          retry_at);
        node.collect_effects();
    }

    /// Lets `node` read the log to its end.
    void read_log(coordinator_harness& node, base::millis now) {
        for (std::size_t i = 0; i < log_.size(); ++i) {
            node.coordinator.apply_record(
                now, shard, static_cast<wire::log_offset>(i), log_[i]);
        }
        node.collect_effects();
    }

    /// Makes `node` the holder of the shard.
    void acquire_shard(coordinator_harness& node, base::millis now) {
        node.coordinator.assign_shards({shard});
        node.tick(now);
        append_last_sent(node);
        read_log(node, now);
    }

    /// Submits and claims `key` for `waiter` and reads the claim back, which
    /// dispatches the request.
    void start(coordinator_harness& node, base::millis now,
               claim_waiter_id waiter, const std::string& key,
               base::millis deadline_ms = deadline) {
        node.submit(now, waiter, key, deadline_ms);
        node.tick(now);
        append_last_sent(node);
        read_log(node, now);
    }

    /// Reports the outcome of the run of `key` at `node`.
    static void finish(coordinator_harness& node, const std::string& key,
                       wire::outcome result) {
        wire::service_response response;
        response.id = base::request_id(key);
        response.result = result;
        response.body = "charged";
        node.coordinator.on_service_response(shard, response);
        node.collect_effects();
    }

    std::vector<wire::claim_record> log_;
    coordinator_harness a_{"a"};
    coordinator_harness b_{"b"};
};

// The log refuses one append and then recovers. Callers that retry after the
// delay must be served, and not be rejected forever.
TEST_F(claim_coordinator_test, a_shard_serves_again_after_a_refused_append) {
    acquire_shard(a_, 0);
    a_.submit(10, 1, "k");
    a_.tick(20);
    report_append_result(a_, append_outcome::refused, 220);
    ASSERT_EQ(a_.responses[1].size(), 1U);
    EXPECT_EQ(a_.responses[1][0].result, wire::outcome::not_run);
    start(a_, 300, 2, "k");
    EXPECT_EQ(a_.dispatched.size(), 1U);
}

// Another node becomes the holder while a claim is in flight. The claim cannot
// become valid, and its caller must get a response when it is read back, not at
// its deadline.
TEST_F(claim_coordinator_test,
       a_claim_under_an_old_epoch_is_rejected_when_read_back) {
    acquire_shard(a_, 0);
    acquire_shard(b_, 0);
    a_.submit(10, 1, "k");
    a_.tick(20);
    append_last_sent(a_);
    read_log(a_, 30);
    ASSERT_EQ(a_.responses[1].size(), 1U);
    EXPECT_EQ(a_.responses[1][0].result, wire::outcome::not_run);
    EXPECT_TRUE(a_.dispatched.empty());
}

// A node appends two epoch records because the response to the first is late. A
// claim that was sent between the two belongs to an epoch that has ended.
TEST_F(claim_coordinator_test,
       a_claim_between_two_own_epochs_is_rejected_when_read_back) {
    a_.coordinator.assign_shards({shard});
    a_.tick(0);
    append_last_sent(a_);
    a_.tick(2100);
    ASSERT_TRUE(a_.sent.back().record.starts_epoch);
    read_log(a_, 2110);
    append_last_sent(a_);
    a_.submit(2120, 1, "k");
    a_.tick(2130);
    append_last_sent(a_);
    read_log(a_, 2140);
    ASSERT_EQ(a_.responses[1].size(), 1U);
    EXPECT_EQ(a_.responses[1][0].result, wire::outcome::not_run);
    EXPECT_TRUE(a_.dispatched.empty());
}

// A claim is queued when the node's second epoch record is read. It must be
// sent under the new epoch, or it is rejected for no reason.
TEST_F(claim_coordinator_test, a_claim_carries_the_epoch_held_when_it_is_sent) {
    acquire_shard(a_, 0);
    a_.submit(5, 1, "k");
    auto second_epoch = log_.front();
    second_epoch.sequence = 100;
    log_.push_back(second_epoch);
    read_log(a_, 6);
    a_.tick(20);
    ASSERT_FALSE(a_.sent.back().record.items.empty());
    EXPECT_EQ(a_.sent.back().record.items[0].epoch, 1);
}

// The append of a release succeeds but its response is lost, and the retry is
// refused during an outage. If the release were queued again under a new
// sequence number, it would free the key after another claim, and a charge
// would be made twice.
TEST_F(claim_coordinator_test, an_uncertain_release_keeps_its_sequence_number) {
    acquire_shard(a_, 0);
    start(a_, 10, 1, "k");
    finish(a_, "k", wire::outcome::not_run);
    a_.tick(40);
    const auto sequence = a_.sent.back().record.sequence;
    log_.push_back(a_.sent.back().record);
    report_append_result(a_, append_outcome::unknown, 60);
    a_.tick(80);
    report_append_result(a_, append_outcome::refused, 100);
    a_.tick(120);
    EXPECT_EQ(a_.sent.back().record.sequence, sequence);
}

// A caller's deadline passes while the release of its earlier attempt is
// queued. Without the release, callers of the key would receive `unknown`
// forever.
TEST_F(claim_coordinator_test,
       an_expired_request_keeps_the_release_of_its_key) {
    acquire_shard(a_, 0);
    start(a_, 10, 1, "k");
    finish(a_, "k", wire::outcome::not_run);
    a_.submit(11, 2, "k", 1);
    a_.tick(60);
    ASSERT_EQ(a_.sent.back().record.items.size(), 1U);
    EXPECT_EQ(a_.sent.back().record.items[0].kind, wire::claim_kind::release);
}

// The request has run, the response to the caller is lost, and the caller
// retries before the outcome is in the log. The retry must receive the outcome
// of the first run.
TEST_F(claim_coordinator_test, a_retry_gets_an_outcome_that_is_not_yet_logged) {
    acquire_shard(a_, 0);
    start(a_, 10, 1, "k");
    finish(a_, "k", wire::outcome::completed);
    a_.submit(12, 2, "k");
    ASSERT_EQ(a_.responses[2].size(), 1U);
    EXPECT_EQ(a_.responses[2][0].result, wire::outcome::completed);
    EXPECT_EQ(a_.responses[2][0].body, "charged");
}

// An attempt was rejected before the request was sent, and the caller retries
// at once, before the release is in the log. The request can run, so the
// response must not be `unknown`.
TEST_F(claim_coordinator_test, a_retry_runs_before_the_release_is_appended) {
    acquire_shard(a_, 0);
    start(a_, 10, 1, "k");
    finish(a_, "k", wire::outcome::not_run);
    start(a_, 40, 2, "k");
    EXPECT_EQ(a_.dispatched.size(), 2U);
    EXPECT_TRUE(a_.responses[2].empty());
}

// A second caller joins a running request with an earlier deadline. It must
// receive `unknown` instead of waiting past its deadline.
TEST_F(claim_coordinator_test,
       each_waiter_gets_a_response_by_its_own_deadline) {
    acquire_shard(a_, 0);
    start(a_, 10, 1, "k", 60000);
    a_.submit(20, 2, "k", 100);
    a_.tick(1000);
    ASSERT_EQ(a_.responses[2].size(), 1U);
    EXPECT_EQ(a_.responses[2][0].result, wire::outcome::unknown);
    EXPECT_TRUE(a_.responses[1].empty());
    finish(a_, "k", wire::outcome::completed);
    EXPECT_EQ(a_.responses[1].size(), 1U);
}

// Operators increase the claim retention after some claims were dropped. A
// request that was too old under the old retention is within the new one and
// would run again.
TEST_F(claim_coordinator_test,
       a_longer_retention_does_not_admit_dropped_claims) {
    acquire_shard(a_, 0);
    a_.coordinator.set_claim_retention(1000);
    start(a_, 10, 1, "k");
    finish(a_, "k", wire::outcome::completed);
    a_.tick(30);
    append_last_sent(a_);
    read_log(a_, 30);
    a_.tick(5000);
    a_.coordinator.set_claim_retention(600000);
    a_.submit(5001, 2, "k");
    a_.tick(5100);
    ASSERT_EQ(a_.responses[2].size(), 1U);
    EXPECT_EQ(a_.responses[2][0].result, wire::outcome::unknown);
}

// The home node changes while a claim is in flight, and the caller receives
// `not_run`. The old node must still read the claim back and release it, or the
// key stays claimed without a run.
TEST_F(claim_coordinator_test,
       a_claim_appended_after_the_home_node_changed_is_released) {
    acquire_shard(a_, 0);
    a_.submit(10, 1, "k");
    a_.tick(20);
    a_.coordinator.assign_shards({});
    a_.collect_effects();
    ASSERT_EQ(a_.responses[1].size(), 1U);
    append_last_sent(a_);
    ASSERT_FALSE(a_.coordinator.shards_to_read().empty());
    read_log(a_, 30);
    a_.tick(40);
    EXPECT_TRUE(a_.dispatched.empty());
    ASSERT_EQ(a_.sent.back().record.items.size(), 1U);
    EXPECT_EQ(a_.sent.back().record.items[0].kind, wire::claim_kind::release);
}

// A caller retries after the claim retention. Whether its first attempt ran is
// unknown, so `not_run` could be false.
TEST_F(claim_coordinator_test, a_request_older_than_the_window_is_unknown) {
    acquire_shard(a_, 0);
    a_.submit(700000, 1, "k");
    ASSERT_EQ(a_.responses[1].size(), 1U);
    EXPECT_EQ(a_.responses[1][0].result, wire::outcome::unknown);
    EXPECT_EQ(a_.responses[1][0].why, wire::reason::claim_window_passed);
}

// A holder is paused after its claim was appended, and another node takes over.
// When the old holder resumes, it reads its claim, which came first, and may
// run the request. The new holder never does, and learns the outcome from the
// log.
TEST_F(claim_coordinator_test,
       only_the_paused_holder_runs_the_claim_it_made_in_time) {
    acquire_shard(a_, 0);
    a_.submit(10, 1, "k", 60000);
    a_.tick(20);
    append_last_sent(a_);
    acquire_shard(b_, 30);
    b_.submit(40, 2, "k");
    ASSERT_EQ(b_.responses[2].size(), 1U);
    EXPECT_EQ(b_.responses[2][0].result, wire::outcome::unknown);
    read_log(a_, 5000);
    EXPECT_EQ(a_.dispatched.size(), 1U);
    finish(a_, "k", wire::outcome::completed);
    a_.tick(5020);
    append_last_sent(a_);
    read_log(b_, 5030);
    b_.submit(5040, 3, "k");
    ASSERT_EQ(b_.responses[3].size(), 1U);
    EXPECT_EQ(b_.responses[3][0].result, wire::outcome::completed);
    EXPECT_TRUE(b_.dispatched.empty());
}

} // namespace
} // namespace hibiscus::cluster
