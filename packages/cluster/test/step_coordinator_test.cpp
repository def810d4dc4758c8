#include "hibiscus/cluster/step_coordinator.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace hibiscus::cluster {
namespace {

const base::node_id self("n1");
const base::node_id peer("n2");
const base::trainer_id trainer("t");

/// The coordinator of one trainer. Slots are placed on `next_engine_`.
class step_coordinator_test : public ::testing::Test {
protected:
    step_coordinator_test()
        : coordinator_(
              self, {},
              [this](const placement_query&) -> std::optional<placement> {
                  if (next_engine_.empty()) {
                      return std::nullopt;
                  }
                  return placement{base::engine_id(next_engine_), 7};
              },
              [this](const base::trainer_id& id) {
                  return id == trainer ? bound_ : std::nullopt;
              }) {}

    /// Opens a step with one group.
    wire::step_response open(wire::step_number step, std::uint32_t samples) {
        return coordinator_.open_step(
            now_, {trainer, step, {version_, {{"prompt", samples, 8}}}});
    }

    /// Pulls samples with the trainer's current version and returns the waiter.
    waiter_id pull(wire::step_number step,
                   std::vector<wire::slot_range> received = {},
                   base::millis wait = 1000) {
        coordinator_.pull_samples(
            now_, ++waiter_,
            {trainer, step, {++pull_, version_, std::move(received), 0, wait}});
        return waiter_;
    }

    /// Advances the time in ticks of 20 ms.
    void advance_time(base::millis ms) {
        for (const auto end = now_ + ms; now_ < end; now_ += 20) {
            coordinator_.tick(now_);
            collect_effects();
        }
        coordinator_.tick(now_);
        collect_effects();
    }

    /// Takes the pending effects and stores them by kind.
    void collect_effects() {
        for (auto& effect : coordinator_.take_effects()) {
            if (auto* place = std::get_if<place_stream>(&effect)) {
                placed_.push_back(std::move(*place));
            } else if (auto* cancel = std::get_if<cancel_stream>(&effect)) {
                cancelled_.push_back(cancel->stream);
            } else if (auto* response =
                           std::get_if<send_pull_response>(&effect)) {
                responses_[response->waiter] = std::move(response->response);
            }
        }
    }

    /// Reports a stream as the home node of its engine would.
    std::vector<base::stream_id> report(const base::stream_id& stream,
                                        wire::stream_state state,
                                        std::vector<wire::chunk> chunks = {},
                                        const std::string& engine = "e1") {
        wire::stream_report stream_report;
        stream_report.engine = base::engine_id(engine);
        stream_report.stream = stream;
        stream_report.state = state;
        for (const auto& chunk : chunks) {
            stream_report.oldest = std::min(
                stream_report.oldest.value_or(chunk.version), chunk.version);
        }
        stream_report.produced = static_cast<std::uint32_t>(chunks.size());
        if (state == wire::stream_state::done) {
            stream_report.chunks = std::move(chunks);
        }
        auto finished = coordinator_.on_report(now_, {peer, {stream_report}});
        collect_effects();
        return finished;
    }

    /// Returns the response to `waiter`, or an empty one.
    wire::pull_response response_to(waiter_id waiter) {
        collect_effects();
        const auto it = responses_.find(waiter);
        return it == responses_.end() ? wire::pull_response{} : it->second;
    }

    static base::stream_id stream(wire::slot_index slot,
                                  std::uint32_t attempt = 0,
                                  wire::step_number step = 1) {
        return make_stream_id(trainer, step, slot, attempt);
    }

    static constexpr auto done = wire::stream_state::done;
    static constexpr auto running = wire::stream_state::running;

    base::millis now_ = 1000;
    std::optional<int> bound_ = 1;
    wire::weight_version version_ = 5;
    std::string next_engine_ = "e1";
    waiter_id waiter_ = 0;
    std::int64_t pull_ = 0;
    std::vector<place_stream> placed_;
    std::vector<base::stream_id> cancelled_;
    std::map<waiter_id, wire::pull_response> responses_;
    step_coordinator coordinator_;
};

TEST_F(step_coordinator_test, a_step_is_placed_finished_and_received) {
    EXPECT_EQ(open(1, 2).slots, 2U);
    advance_time(20);
    ASSERT_EQ(placed_.size(), 2U);
    EXPECT_EQ(placed_[0].start.priority, 7);
    const auto waiter = pull(1);
    EXPECT_EQ(report(stream(0), done, {{0, 5, "a"}}).size(), 1U);
    EXPECT_EQ(response_to(waiter).samples.size(), 1U);
    EXPECT_EQ(response_to(waiter).missing, 1U);
    report(stream(1), done, {{0, 5, "b"}});
    const auto second = pull(1, {{0, 0}});
    ASSERT_EQ(response_to(second).samples.size(), 1U);
    EXPECT_EQ(response_to(second).samples[0].slot, 1U);
    const auto last = pull(1, {{0, 1}});
    EXPECT_EQ(response_to(last).result, wire::outcome::completed);
    EXPECT_EQ(response_to(last).missing, 0U);
    EXPECT_TRUE(response_to(last).samples.empty());
}

// The response to a pull is lost, so the trainer pulls again and still lists
// the slot as missing. It must receive the same sample.
TEST_F(step_coordinator_test, a_lost_pull_answer_is_given_again) {
    open(1, 1);
    advance_time(20);
    report(stream(0), done, {{0, 5, "a"}});
    EXPECT_EQ(response_to(pull(1)).samples.size(), 1U);
    EXPECT_EQ(response_to(pull(1)).samples.size(), 1U);
}

// A trainer process crashes after it listed a slot as received, and its
// successor starts the step again. Unless the sample is generated again, the
// successor waits for it forever.
TEST_F(step_coordinator_test,
       a_slot_that_is_no_longer_listed_is_generated_again) {
    open(1, 1);
    advance_time(20);
    report(stream(0), done, {{0, 5, "a"}});
    pull(1);
    EXPECT_EQ(response_to(pull(1, {{0, 0}})).missing, 0U);
    const auto second = pull(1);
    placed_.clear();
    advance_time(20);
    ASSERT_EQ(placed_.size(), 1U);
    report(placed_[0].start.stream, done, {{0, 5, "b"}});
    EXPECT_EQ(response_to(second).samples.size(), 1U);
}

// Two pulls of one step are pending at the same time. Only the trainer's latest
// is served; the other one must end at once and not occupy a connection.
TEST_F(step_coordinator_test, a_later_pull_supersedes_a_waiting_one) {
    open(1, 1);
    advance_time(20);
    const auto first = pull(1);
    const auto second = pull(1);
    EXPECT_EQ(response_to(first).why, wire::reason::superseded);
    report(stream(0), done, {{0, 5, "a"}});
    EXPECT_EQ(response_to(second).samples.size(), 1U);
}

// An earlier pull arrives after a later one through another entry node. If it
// replaced the later one, the trainer would lose its pending pull.
TEST_F(step_coordinator_test, an_earlier_pull_does_not_supersede_a_later_one) {
    open(1, 1);
    advance_time(20);
    const auto later = pull(1);
    coordinator_.pull_samples(now_, ++waiter_,
                              {trainer, 1, {pull_ - 1, 5, {}, 0, 1000}});
    EXPECT_EQ(response_to(waiter_).why, wire::reason::superseded);
    report(stream(0), done, {{0, 5, "a"}});
    EXPECT_EQ(response_to(later).samples.size(), 1U);
}

// New weights are published while a sample is running whose first chunk is then
// two versions old. It would be discarded at its end, so it must be cancelled
// at once.
TEST_F(step_coordinator_test, a_running_sample_that_became_stale_is_cancelled) {
    open(1, 1);
    advance_time(20);
    report(stream(0), running, {{0, 5, "a"}});
    coordinator_.update_newest_version(now_, trainer, 7);
    collect_effects();
    ASSERT_EQ(cancelled_.size(), 1U);
    advance_time(20);
    EXPECT_EQ(placed_.back().start.stream, stream(0, 1));
}

// A finished sample waits for a pull when a new version is published. The
// trainer would learn from a sample outside its staleness bound.
TEST_F(step_coordinator_test,
       a_finished_sample_that_became_stale_is_not_delivered) {
    open(1, 1);
    advance_time(20);
    report(stream(0), done, {{0, 5, "a"}});
    version_ = 7;
    EXPECT_EQ(response_to(pull(1, {}, 0)).samples.size(), 0U);
}

// A new version is published while a pull waits, and then a sample of the old
// version is reported. The pull names the old version, but the sample is stale.
TEST_F(step_coordinator_test, a_version_learnt_while_a_pull_waits_counts) {
    open(1, 1);
    advance_time(20);
    const auto waiter = pull(1);
    coordinator_.update_newest_version(now_, trainer, 7);
    report(stream(0), done, {{0, 5, "a"}});
    EXPECT_EQ(response_to(waiter).samples.size(), 0U);
}

// An operator lowers the staleness bound while a sample waits for a pull. From
// then on the trainer must not receive it.
TEST_F(step_coordinator_test, the_bound_in_force_at_delivery_counts) {
    open(1, 1);
    advance_time(20);
    report(stream(0), done, {{0, 5, "a"}});
    version_ = 6;
    bound_ = 0;
    EXPECT_EQ(response_to(pull(1, {}, 0)).samples.size(), 0U);
}

// The home node is paused while a pull waits, and a publisher stops waiting for
// it because the pull has timed out. When the node resumes, it first reads a
// report that arrived during the pause and does not know the newest version. It
// must not deliver the sample.
TEST_F(step_coordinator_test,
       a_home_that_wakes_after_a_pulls_end_delivers_nothing) {
    open(1, 1);
    advance_time(20);
    const auto waiter = pull(1, {}, 1000);
    now_ += 5000;
    report(stream(0), done, {{0, 5, "a"}});
    EXPECT_EQ(response_to(waiter).samples.size(), 0U);
    EXPECT_EQ(response_to(waiter).why, wire::reason::deadline_passed);
}

// The home node is paused, its peers stop waiting for it, and a version is
// published. When it resumes, it reads an old pull from its socket. It must not
// deliver samples until its peers have sent the newest versions.
TEST_F(step_coordinator_test,
       a_resumed_node_waits_for_the_versions_of_its_peers) {
    open(1, 1);
    advance_time(20);
    report(stream(0), done, {{0, 5, "a"}});
    now_ += 1300;
    EXPECT_EQ(response_to(pull(1)).why, wire::reason::not_ready);
    advance_time(500);
    EXPECT_EQ(response_to(pull(1)).why, wire::reason::not_ready);
    advance_time(1000);
    EXPECT_EQ(response_to(pull(1)).samples.size(), 1U);
}

TEST_F(step_coordinator_test, a_pull_ends_without_samples_at_its_deadline) {
    open(1, 1);
    const auto waiter = pull(1, {}, 200);
    advance_time(300);
    EXPECT_EQ(response_to(waiter).result, wire::outcome::completed);
    EXPECT_EQ(response_to(waiter).missing, 1U);
}

// A stream was reported missing, but a report of it arrives later. Its text
// must not fill the slot of the next attempt, and the engine must stop it.
TEST_F(step_coordinator_test, the_report_of_a_given_up_attempt_is_not_taken) {
    open(1, 1);
    advance_time(20);
    report(stream(0), wire::stream_state::missing);
    advance_time(100);
    ASSERT_EQ(placed_.back().start.stream, stream(0, 1));
    EXPECT_EQ(report(stream(0), done, {{0, 5, "old"}}).size(), 1U);
    report(stream(0), running, {{0, 5, "old"}});
    EXPECT_EQ(cancelled_.back(), stream(0));
    EXPECT_EQ(response_to(pull(1, {}, 0)).samples.size(), 0U);
}

// An engine's home node refuses a stream that is running there without its
// knowledge. The slot moves to another engine. If both streams had the same id,
// the report of the first could be mistaken for one of the second.
TEST_F(step_coordinator_test, a_refused_slot_moves_under_a_new_attempt) {
    open(1, 1);
    advance_time(20);
    coordinator_.on_placement_refused(now_, stream(0), 50);
    next_engine_ = "e2";
    advance_time(100);
    ASSERT_EQ(placed_.size(), 2U);
    EXPECT_EQ(placed_[1].engine.str(), "e2");
    EXPECT_EQ(placed_[1].start.stream, stream(0, 1));
    coordinator_.on_placement_refused(now_, stream(0), 50);
    advance_time(100);
    EXPECT_EQ(placed_.size(), 2U)
        << "a late refusal must not move the new attempt";
}

// An engine and its home node fail in the middle of a sample. The stream must
// be requested again, and then the slot regenerated, or the step never ends.
TEST_F(step_coordinator_test,
       an_unreported_stream_is_requested_again_then_regenerated) {
    open(1, 1);
    advance_time(100);
    report(stream(0), running, {{0, 5, "a"}});
    advance_time(2600);
    ASSERT_EQ(placed_.size(), 2U);
    EXPECT_EQ(placed_[1].start.stream, stream(0));
    EXPECT_EQ(placed_[1].start.priority, 7) << "the priority must be kept";
    advance_time(2600);
    ASSERT_EQ(placed_.size(), 3U);
    EXPECT_EQ(placed_[2].start.stream, stream(0, 1));
}

// The previous home node of a trainer still receives reports after the trainer
// has moved. If it cancelled the streams, the new home node would lose them.
TEST_F(step_coordinator_test, reports_for_an_unknown_step_cancel_nothing) {
    open(1, 1);
    advance_time(20);
    coordinator_.release_trainers(
        [](const base::trainer_id&) { return false; });
    report(stream(0), running, {{0, 5, "a"}});
    EXPECT_TRUE(cancelled_.empty());
    EXPECT_TRUE(report(stream(0), done, {{0, 5, "a"}}).empty());
}

// The home node of a trainer crashes. A sample that it requested finishes and
// is reported to the new home node, which must not generate it again.
TEST_F(step_coordinator_test, a_new_home_takes_over_a_finished_stream) {
    next_engine_ = "";
    open(1, 1);
    advance_time(20);
    EXPECT_EQ(report(stream(0, 3), done, {{0, 5, "a"}}).size(), 1U);
    const auto samples = response_to(pull(1)).samples;
    ASSERT_EQ(samples.size(), 1U);
    EXPECT_EQ(samples[0].attempt, 3U);
}

TEST_F(step_coordinator_test, a_pull_of_an_unknown_step_is_rejected) {
    EXPECT_EQ(response_to(pull(9)).why, wire::reason::unknown_step);
}

TEST_F(step_coordinator_test, an_unknown_trainer_is_rejected) {
    bound_.reset();
    EXPECT_EQ(open(1, 1).why, wire::reason::unknown_trainer);
}

// A trainer opens several steps while a pull of the first one waits. That pull
// must be rejected, because its step was dropped.
TEST_F(step_coordinator_test, the_pull_of_a_dropped_step_is_rejected) {
    open(1, 1);
    const auto waiter = pull(1);
    for (wire::step_number step = 2; step < 8; ++step) {
        open(step, 1);
    }
    advance_time(20);
    EXPECT_EQ(response_to(waiter).why, wire::reason::unknown_step);
}

// A peer of another release or a faulty engine sends malformed stream ids. They
// must not terminate the process.
TEST_F(step_coordinator_test, malformed_stream_ids_are_ignored) {
    open(1, 1);
    advance_time(20);
    for (const char* text :
         {"", "/", "t/1/0", "t/1/0/x", "t/1/99/0", "t/1/-1/0", "t/1/0/",
          "t/99999999999999999999/0/0", "////"}) {
        EXPECT_NO_THROW(report(base::stream_id(text), done, {{0, 5, "a"}}));
    }
    EXPECT_EQ(response_to(pull(1, {}, 0)).samples.size(), 0U);
}

// A report marks a sample as done but contains no text. If it were delivered,
// the trainer would learn an empty sample.
TEST_F(step_coordinator_test, a_finished_sample_without_chunks_is_regenerated) {
    open(1, 1);
    advance_time(20);
    report(stream(0), done);
    EXPECT_EQ(response_to(pull(1, {}, 0)).samples.size(), 0U);
    advance_time(100);
    EXPECT_EQ(placed_.back().start.stream, stream(0, 1));
}

TEST_F(step_coordinator_test, received_ranges_are_clipped_to_the_step) {
    open(1, 2);
    advance_time(20);
    constexpr auto max_slot = std::numeric_limits<wire::slot_index>::max();
    EXPECT_EQ(response_to(pull(1, {{max_slot, 0}, {5, max_slot}}, 0)).missing,
              2U);
    EXPECT_EQ(response_to(pull(1, {{0, max_slot}}, 0)).missing, 0U);
}

} // namespace
} // namespace hibiscus::cluster
