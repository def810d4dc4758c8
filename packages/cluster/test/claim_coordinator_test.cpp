#include "hibiscus/cluster/claim_coordinator.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

constexpr shard_number shard = 0;
constexpr base::millis wall = 1000000;
constexpr base::millis deadline = 1000;

/// One home with what it has asked for so far.
struct test_coordinator {
    explicit test_coordinator(const std::string& name, std::uint64_t start = 1)
        : home(base::node_id(name), start, claim_options{}) {}

    /// Lets the home work at the time `now` and sorts its effects.
    void tick(base::millis now) {
        home.tick(now, wall + now);
        collect_effects();
    }

    /// Takes over what the home wants done.
    void collect_effects() {
        for (auto& effect : home.take_effects()) {
            if (auto* a = std::get_if<append_claims>(&effect)) {
                sent.push_back(std::move(*a));
            } else if (auto* d = std::get_if<dispatch_request>(&effect)) {
                runs.push_back(d->request.id);
            } else {
                auto& answer = std::get<send_response>(effect);
                answers[answer.waiter].push_back(answer.response);
            }
        }
    }

    /// Submits `key` for `waiter`.
    void submit(base::millis now, claim_waiter_id waiter,
                const std::string& key, base::millis within = deadline) {
        wire::service_request r;
        r.id = base::request_id(key);
        r.service = base::service_id("ledger");
        r.idempotent = false;
        r.deadline_ms = within;
        r.created_ms = wall;
        home.submit(now, wall + now, waiter, shard, r);
        collect_effects();
    }

    claim_coordinator home;
    std::vector<append_claims> sent;
    std::vector<base::request_id> runs;
    std::map<claim_waiter_id, std::vector<wire::service_response>> answers;
};

/// Two homes, a and b, and the stream of one shard.
class claim_home_test : public ::testing::Test {
protected:
    /// Puts the last record that `from` sent into the stream and says so.
    void append_last_sent(test_coordinator& from) {
        stream_.push_back(from.sent.back().record);
        report_append_result(from, append_outcome::appended);
    }

    /// Tells `to` how its last append ended.
    void report_append_result(test_coordinator& to, append_outcome outcome,
                              base::millis retry_at = 0) {
        to.home.on_append_result(shard, to.sent.back().id, outcome, retry_at);
        to.collect_effects();
    }

    /// Lets `to` read the stream to its end.
    void read_stream(test_coordinator& to, base::millis now) {
        for (std::size_t i = 0; i < stream_.size(); ++i) {
            to.home.apply_record(now, shard, static_cast<wire::log_offset>(i),
                                 stream_[i]);
        }
        to.collect_effects();
    }

    /// Makes `to` the holder of the shard.
    void acquire_shard(test_coordinator& to, base::millis now) {
        to.home.assign_shards({shard});
        to.tick(now);
        append_last_sent(to);
        read_stream(to, now);
    }

    /// Claims `key` for `waiter` and reads the claim back: the key runs.
    void start(test_coordinator& to, base::millis now, claim_waiter_id waiter,
               const std::string& key, base::millis within = deadline) {
        to.submit(now, waiter, key, within);
        to.tick(now);
        append_last_sent(to);
        read_stream(to, now);
    }

    /// Ends the run of `key` at `at`.
    static void finish(test_coordinator& at, const std::string& key,
                       wire::outcome result) {
        wire::service_response answer;
        answer.id = base::request_id(key);
        answer.result = result;
        answer.body = "charged";
        at.home.on_service_response(shard, answer);
        at.collect_effects();
    }

    std::vector<wire::claim_record> stream_;
    test_coordinator a_{"a"};
    test_coordinator b_{"b"};
};

// The log refuses one append, and then recovers. Callers were told to come
// back, but each of them found the shard still refusing, for ever.
TEST_F(claim_home_test, a_shard_serves_again_after_a_refused_append) {
    acquire_shard(a_, 0);
    a_.submit(10, 1, "k");
    a_.tick(20);
    report_append_result(a_, append_outcome::refused, 220);
    ASSERT_EQ(a_.answers[1].size(), 1U);
    EXPECT_EQ(a_.answers[1][0].result, wire::outcome::not_run);
    start(a_, 300, 2, "k");
    EXPECT_EQ(a_.runs.size(), 1U);
}

// Another home takes the shard while a claim is on its way. The claim cannot
// count any more, and its caller hears so at once and not at its deadline.
TEST_F(claim_home_test, a_claim_under_an_old_epoch_is_answered_when_read) {
    acquire_shard(a_, 0);
    acquire_shard(b_, 0);
    a_.submit(10, 1, "k");
    a_.tick(20);
    append_last_sent(a_);
    read_stream(a_, 30);
    ASSERT_EQ(a_.answers[1].size(), 1U);
    EXPECT_EQ(a_.answers[1][0].result, wire::outcome::not_run);
    EXPECT_TRUE(a_.runs.empty());
}

// A home asks for the shard twice, as the first answer is late. A claim that
// was sent between the two stands under an epoch that is over.
TEST_F(claim_home_test, a_claim_between_two_own_epochs_is_answered_when_read) {
    a_.home.assign_shards({shard});
    a_.tick(0);
    append_last_sent(a_);
    a_.tick(2100);
    ASSERT_TRUE(a_.sent.back().record.starts_epoch);
    read_stream(a_, 2110);
    append_last_sent(a_);
    a_.submit(2120, 1, "k");
    a_.tick(2130);
    append_last_sent(a_);
    read_stream(a_, 2140);
    ASSERT_EQ(a_.answers[1].size(), 1U);
    EXPECT_EQ(a_.answers[1][0].result, wire::outcome::not_run);
    EXPECT_TRUE(a_.runs.empty());
}

// A claim waits in the queue when the home's second epoch record is read. It
// must go out under the new epoch, or it is refused for no reason.
TEST_F(claim_home_test, a_claim_carries_the_epoch_held_when_it_is_sent) {
    acquire_shard(a_, 0);
    a_.submit(5, 1, "k");
    auto again = stream_.front();
    again.sequence = 100;
    stream_.push_back(again);
    read_stream(a_, 6);
    a_.tick(20);
    ASSERT_FALSE(a_.sent.back().record.items.empty());
    EXPECT_EQ(a_.sent.back().record.items[0].epoch, 1);
}

// An append of a release takes effect but its answer is lost, and the second
// try is refused by an outage. Queueing the release again under a new number
// would free the key after it was claimed once more: it would be charged twice.
TEST_F(claim_home_test, a_release_in_doubt_is_not_written_under_a_new_number) {
    acquire_shard(a_, 0);
    start(a_, 10, 1, "k");
    finish(a_, "k", wire::outcome::not_run);
    a_.tick(40);
    const auto number = a_.sent.back().record.sequence;
    stream_.push_back(a_.sent.back().record);
    report_append_result(a_, append_outcome::unknown, 60);
    a_.tick(80);
    report_append_result(a_, append_outcome::refused, 100);
    a_.tick(120);
    EXPECT_EQ(a_.sent.back().record.sequence, number);
}

// A caller's deadline passes while the release of its earlier try is queued.
// Without the release the key would read `unknown` for ever.
TEST_F(claim_home_test, an_expired_request_keeps_the_release_of_its_key) {
    acquire_shard(a_, 0);
    start(a_, 10, 1, "k");
    finish(a_, "k", wire::outcome::not_run);
    a_.submit(11, 2, "k", 1);
    a_.tick(60);
    ASSERT_EQ(a_.sent.back().record.items.size(), 1U);
    EXPECT_EQ(a_.sent.back().record.items[0].kind, wire::claim_kind::release);
}

// The request has run, its answer got lost on the way to the caller, and the
// caller asks again before the outcome is in the log.
TEST_F(claim_home_test, a_retry_gets_an_outcome_that_is_not_yet_logged) {
    acquire_shard(a_, 0);
    start(a_, 10, 1, "k");
    finish(a_, "k", wire::outcome::completed);
    a_.submit(12, 2, "k");
    ASSERT_EQ(a_.answers[2].size(), 1U);
    EXPECT_EQ(a_.answers[2][0].result, wire::outcome::completed);
    EXPECT_EQ(a_.answers[2][0].body, "charged");
}

// A try was refused before its request left, and the caller comes back at
// once, before the release is in the log. It can run: `unknown` would leave
// the caller with a doubt that nobody has.
TEST_F(claim_home_test, a_retry_runs_while_the_release_is_on_its_way) {
    acquire_shard(a_, 0);
    start(a_, 10, 1, "k");
    finish(a_, "k", wire::outcome::not_run);
    start(a_, 40, 2, "k");
    EXPECT_EQ(a_.runs.size(), 2U);
    EXPECT_TRUE(a_.answers[2].empty());
}

// A second caller joins a request that runs, with less time left. It is told
// that the outcome is not known yet, instead of being held past its deadline.
TEST_F(claim_home_test, each_waiter_is_answered_by_its_own_deadline) {
    acquire_shard(a_, 0);
    start(a_, 10, 1, "k", 60000);
    a_.submit(20, 2, "k", 100);
    a_.tick(1000);
    ASSERT_EQ(a_.answers[2].size(), 1U);
    EXPECT_EQ(a_.answers[2][0].result, wire::outcome::unknown);
    EXPECT_TRUE(a_.answers[1].empty());
    finish(a_, "k", wire::outcome::completed);
    EXPECT_EQ(a_.answers[1].size(), 1U);
}

// Operators raise the time that claims are kept after some were forgotten.
// A retry that the old time refused would be inside the new one, and run again.
TEST_F(claim_home_test, a_longer_window_does_not_reach_forgotten_claims) {
    acquire_shard(a_, 0);
    a_.home.set_claim_retention(1000);
    start(a_, 10, 1, "k");
    finish(a_, "k", wire::outcome::completed);
    a_.tick(30);
    append_last_sent(a_);
    read_stream(a_, 30);
    a_.tick(5000);
    a_.home.set_claim_retention(600000);
    a_.submit(5001, 2, "k");
    a_.tick(5100);
    ASSERT_EQ(a_.answers[2].size(), 1U);
    EXPECT_EQ(a_.answers[2][0].result, wire::outcome::unknown);
}

// The home moves while a claim is on its way; the caller was told `not_run`.
// The old home must still read the claim back and release it, or the key stays
// claimed by nobody.
TEST_F(claim_home_test, a_claim_that_lands_after_the_home_moved_is_released) {
    acquire_shard(a_, 0);
    a_.submit(10, 1, "k");
    a_.tick(20);
    a_.home.assign_shards({});
    a_.collect_effects();
    ASSERT_EQ(a_.answers[1].size(), 1U);
    append_last_sent(a_);
    ASSERT_FALSE(a_.home.shards_to_read().empty());
    read_stream(a_, 30);
    a_.tick(40);
    EXPECT_TRUE(a_.runs.empty());
    ASSERT_EQ(a_.sent.back().record.items.size(), 1U);
    EXPECT_EQ(a_.sent.back().record.items[0].kind, wire::claim_kind::release);
}

// A caller asks again after the time that claims are kept. Nobody can tell
// whether its first try ran, so `not_run` would be a guess.
TEST_F(claim_home_test, a_request_older_than_the_window_is_unknown) {
    acquire_shard(a_, 0);
    a_.submit(700000, 1, "k");
    ASSERT_EQ(a_.answers[1].size(), 1U);
    EXPECT_EQ(a_.answers[1][0].result, wire::outcome::unknown);
    EXPECT_EQ(a_.answers[1][0].why, wire::reason::claim_window_passed);
}

// A holder is paused after its claim went out and another home takes over. It
// wakes, reads its claim, which came first, and may run it; the new home never
// does, and takes the outcome from it.
TEST_F(claim_home_test, only_a_paused_holder_runs_a_claim_it_made_in_time) {
    acquire_shard(a_, 0);
    a_.submit(10, 1, "k", 60000);
    a_.tick(20);
    append_last_sent(a_);
    acquire_shard(b_, 30);
    b_.submit(40, 2, "k");
    ASSERT_EQ(b_.answers[2].size(), 1U);
    EXPECT_EQ(b_.answers[2][0].result, wire::outcome::unknown);
    read_stream(a_, 5000);
    EXPECT_EQ(a_.runs.size(), 1U);
    finish(a_, "k", wire::outcome::completed);
    a_.tick(5020);
    append_last_sent(a_);
    read_stream(b_, 5030);
    b_.submit(5040, 3, "k");
    ASSERT_EQ(b_.answers[3].size(), 1U);
    EXPECT_EQ(b_.answers[3][0].result, wire::outcome::completed);
    EXPECT_TRUE(b_.runs.empty());
}

} // namespace
} // namespace hibiscus::cluster
