#include "hibiscus/cluster/step_coordinator.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace hibiscus::cluster {
namespace {

const base::node_id self("n1");
const base::node_id peer("n2");
const base::trainer_id trainer("t");

/// One home of one trainer whose placement takes the engine `next_engine_`.
class step_home_test : public ::testing::Test {
protected:
    step_home_test()
        : home_(
              self, {},
              [this](const placement_query&) -> std::optional<placement> {
                  if (next_engine_.empty()) {
                      return std::nullopt;
                  }
                  return placement{base::engine_id(next_engine_), 7};
              },
              [this](const base::trainer_id& t) {
                  return t == trainer ? bound_ : std::nullopt;
              }) {}

    /// Opens a step of one group.
    wire::step_response open(wire::step_number step, std::uint32_t samples) {
        return home_.open_step(
            now_, {trainer, step, {version_, {{"prompt", samples, 8}}}});
    }

    /// Pulls under the trainer's version and returns the waiter.
    waiter_id pull(wire::step_number step,
                   std::vector<wire::slot_range> received = {},
                   base::millis wait = 1000) {
        home_.pull_samples(
            now_, ++waiter_,
            {trainer, step, {++pull_, version_, std::move(received), 0, wait}});
        return waiter_;
    }

    /// Lets time pass in ticks of 20 ms.
    void advance_time(base::millis ms) {
        for (const auto end = now_ + ms; now_ < end; now_ += 20) {
            home_.tick(now_);
            collect_effects();
        }
        home_.tick(now_);
        collect_effects();
    }

    /// Sorts the effects by their kind.
    void collect_effects() {
        for (auto& effect : home_.take_effects()) {
            if (auto* p = std::get_if<place_stream>(&effect)) {
                placed_.push_back(std::move(*p));
            } else if (auto* c = std::get_if<cancel_stream>(&effect)) {
                cancelled_.push_back(c->stream);
            } else if (auto* a = std::get_if<send_pull_response>(&effect)) {
                answers_[a->waiter] = std::move(a->response);
            }
        }
    }

    /// Reports a stream as the home of its engine would.
    std::vector<base::stream_id> report(const base::stream_id& stream,
                                        wire::stream_state state,
                                        std::vector<wire::chunk> chunks = {},
                                        const std::string& engine = "e1") {
        wire::stream_report one;
        one.engine = base::engine_id(engine);
        one.stream = stream;
        one.state = state;
        for (const auto& c : chunks) {
            one.oldest = std::min(one.oldest.value_or(c.version), c.version);
        }
        one.produced = static_cast<std::uint32_t>(chunks.size());
        if (state == wire::stream_state::done) {
            one.chunks = std::move(chunks);
        }
        auto finished = home_.on_report(now_, {peer, {one}});
        collect_effects();
        return finished;
    }

    /// Returns the answer to `waiter`, or an empty one.
    wire::pull_response answer(waiter_id waiter) {
        collect_effects();
        const auto at = answers_.find(waiter);
        return at == answers_.end() ? wire::pull_response{} : at->second;
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
    std::map<waiter_id, wire::pull_response> answers_;
    step_coordinator home_;
};

TEST_F(step_home_test, a_step_is_placed_finished_and_received) {
    EXPECT_EQ(open(1, 2).slots, 2U);
    advance_time(20);
    ASSERT_EQ(placed_.size(), 2U);
    EXPECT_EQ(placed_[0].start.priority, 7);
    const auto waiter = pull(1);
    EXPECT_EQ(report(stream(0), done, {{0, 5, "a"}}).size(), 1U);
    EXPECT_EQ(answer(waiter).samples.size(), 1U);
    EXPECT_EQ(answer(waiter).missing, 1U);
    report(stream(1), done, {{0, 5, "b"}});
    const auto second = pull(1, {{0, 0}});
    ASSERT_EQ(answer(second).samples.size(), 1U);
    EXPECT_EQ(answer(second).samples[0].slot, 1U);
    const auto last = pull(1, {{0, 1}});
    EXPECT_EQ(answer(last).result, wire::outcome::completed);
    EXPECT_EQ(answer(last).missing, 0U);
    EXPECT_TRUE(answer(last).samples.empty());
}

// The answer to a pull is lost on its way, so the trainer asks again and still
// lists the slot as missing. It must get the same sample, not wait for ever.
TEST_F(step_home_test, a_lost_pull_answer_is_given_again) {
    open(1, 1);
    advance_time(20);
    report(stream(0), done, {{0, 5, "a"}});
    EXPECT_EQ(answer(pull(1)).samples.size(), 1U);
    EXPECT_EQ(answer(pull(1)).samples.size(), 1U);
}

// A trainer process dies after it named a slot as received and its successor
// starts the step anew. Without a second generation the successor would wait
// for that sample for ever.
TEST_F(step_home_test, a_slot_that_is_no_longer_listed_is_generated_again) {
    open(1, 1);
    advance_time(20);
    report(stream(0), done, {{0, 5, "a"}});
    pull(1);
    EXPECT_EQ(answer(pull(1, {{0, 0}})).missing, 0U);
    const auto again = pull(1);
    placed_.clear();
    advance_time(20);
    ASSERT_EQ(placed_.size(), 1U);
    report(placed_[0].start.stream, done, {{0, 5, "b"}});
    EXPECT_EQ(answer(again).samples.size(), 1U);
}

// Two pulls of one step cross on the way. Only the trainer's latest counts;
// the other must end at once and not hold a connection.
TEST_F(step_home_test, the_latest_pull_supersedes_a_waiting_one) {
    open(1, 1);
    advance_time(20);
    const auto first = pull(1);
    const auto second = pull(1);
    EXPECT_EQ(answer(first).why, wire::reason::superseded);
    report(stream(0), done, {{0, 5, "a"}});
    EXPECT_EQ(answer(second).samples.size(), 1U);
}

// An earlier pull arrives after a later one, by way of another entry. If it
// took the later one's place, the trainer would lose its poll.
TEST_F(step_home_test, an_earlier_pull_does_not_end_a_later_one) {
    open(1, 1);
    advance_time(20);
    const auto later = pull(1);
    home_.pull_samples(now_, ++waiter_,
                       {trainer, 1, {pull_ - 1, 5, {}, 0, 1000}});
    EXPECT_EQ(answer(waiter_).why, wire::reason::superseded);
    report(stream(0), done, {{0, 5, "a"}});
    EXPECT_EQ(answer(later).samples.size(), 1U);
}

// Weights are published while a sample runs whose first part is already two
// versions old. It can only be thrown away at its end, so it must stop now.
TEST_F(step_home_test, a_running_sample_that_became_stale_is_cancelled) {
    open(1, 1);
    advance_time(20);
    report(stream(0), running, {{0, 5, "a"}});
    home_.update_newest_version(now_, trainer, 7);
    collect_effects();
    ASSERT_EQ(cancelled_.size(), 1U);
    advance_time(20);
    EXPECT_EQ(placed_.back().start.stream, stream(0, 1));
}

// A sample is finished and waits for a pull when a new version comes. The
// trainer would learn from a sample outside its bound.
TEST_F(step_home_test, a_finished_sample_that_became_stale_is_not_delivered) {
    open(1, 1);
    advance_time(20);
    report(stream(0), done, {{0, 5, "a"}});
    version_ = 7;
    EXPECT_EQ(answer(pull(1, {}, 0)).samples.size(), 0U);
}

// A pull waits when the version moves on; then a sample of the old version is
// reported. The pull names the old version, and yet the sample is stale.
TEST_F(step_home_test, a_version_learnt_while_a_pull_waits_counts) {
    open(1, 1);
    advance_time(20);
    const auto waiter = pull(1);
    home_.update_newest_version(now_, trainer, 7);
    report(stream(0), done, {{0, 5, "a"}});
    EXPECT_EQ(answer(waiter).samples.size(), 0U);
}

// An operator lowers the staleness bound while a sample waits for its pull.
// From then on the trainer must not get it.
TEST_F(step_home_test, the_bound_in_force_at_delivery_counts) {
    open(1, 1);
    advance_time(20);
    report(stream(0), done, {{0, 5, "a"}});
    version_ = 6;
    bound_ = 0;
    EXPECT_EQ(answer(pull(1, {}, 0)).samples.size(), 0U);
}

// The home's process is paused while a pull waits, and the publisher's barrier
// passes because that pull can no longer live. The home wakes with a report in
// its socket and an old notion of the newest version.
TEST_F(step_home_test, a_home_that_wakes_after_a_pulls_end_delivers_nothing) {
    open(1, 1);
    advance_time(20);
    const auto waiter = pull(1, {}, 1000);
    now_ += 5000;
    report(stream(0), done, {{0, 5, "a"}});
    EXPECT_EQ(answer(waiter).samples.size(), 0U);
    EXPECT_EQ(answer(waiter).why, wire::reason::deadline_passed);
}

// The home stood still while others stopped counting on it and a version was
// published. It wakes and reads a pull of before from its socket. Until its
// peers have told what is new it must not deliver by what it knows.
TEST_F(step_home_test, a_home_that_stood_still_waits_for_news_of_its_peers) {
    open(1, 1);
    advance_time(20);
    report(stream(0), done, {{0, 5, "a"}});
    now_ += 1300;
    EXPECT_EQ(answer(pull(1)).why, wire::reason::not_ready);
    advance_time(500);
    EXPECT_EQ(answer(pull(1)).why, wire::reason::not_ready);
    advance_time(1000);
    EXPECT_EQ(answer(pull(1)).samples.size(), 1U);
}

TEST_F(step_home_test, a_pull_ends_without_samples_when_its_time_is_over) {
    open(1, 1);
    const auto waiter = pull(1, {}, 200);
    advance_time(300);
    EXPECT_EQ(answer(waiter).result, wire::outcome::completed);
    EXPECT_EQ(answer(waiter).missing, 1U);
}

// A stream was given up, and its report comes nevertheless. Its text must not
// fill the slot of the next attempt, and the engine must be told to stop.
TEST_F(step_home_test, the_report_of_a_given_up_attempt_is_not_taken) {
    open(1, 1);
    advance_time(20);
    report(stream(0), wire::stream_state::missing);
    advance_time(100);
    ASSERT_EQ(placed_.back().start.stream, stream(0, 1));
    EXPECT_EQ(report(stream(0), done, {{0, 5, "old"}}).size(), 1U);
    report(stream(0), running, {{0, 5, "old"}});
    EXPECT_EQ(cancelled_.back(), stream(0));
    EXPECT_EQ(answer(pull(1, {}, 0)).samples.size(), 0U);
}

// An engine's home refuses a stream that, unknown to it, runs there already.
// The slot goes to another engine. If both streams had one id, the report of
// the first could be taken for the second.
TEST_F(step_home_test, a_refused_slot_goes_elsewhere_under_a_new_attempt) {
    open(1, 1);
    advance_time(20);
    home_.on_placement_refused(now_, stream(0), 50);
    next_engine_ = "e2";
    advance_time(100);
    ASSERT_EQ(placed_.size(), 2U);
    EXPECT_EQ(placed_[1].engine.str(), "e2");
    EXPECT_EQ(placed_[1].start.stream, stream(0, 1));
    home_.on_placement_refused(now_, stream(0), 50);
    advance_time(100);
    EXPECT_EQ(placed_.size(), 2U) << "a late refusal moved the new attempt";
}

// An engine's home and its engine die in the middle of a sample. The slot must
// be asked for again, and then generated anew, or the step never ends.
TEST_F(step_home_test, a_silent_stream_is_asked_for_again_then_given_up) {
    open(1, 1);
    advance_time(100);
    report(stream(0), running, {{0, 5, "a"}});
    advance_time(2600);
    ASSERT_EQ(placed_.size(), 2U);
    EXPECT_EQ(placed_[1].start.stream, stream(0));
    EXPECT_EQ(placed_[1].start.priority, 7) << "its priority was forgotten";
    advance_time(2600);
    ASSERT_EQ(placed_.size(), 3U);
    EXPECT_EQ(placed_[2].start.stream, stream(0, 1));
}

// The old home of a trainer still gets reports after the trainer has moved. If
// it cancelled them, the streams that the new home counts on would stop.
TEST_F(step_home_test, reports_for_an_unknown_step_cancel_nothing) {
    open(1, 1);
    advance_time(20);
    home_.release_trainers([](const base::trainer_id&) { return false; });
    report(stream(0), running, {{0, 5, "a"}});
    EXPECT_TRUE(cancelled_.empty());
    EXPECT_TRUE(report(stream(0), done, {{0, 5, "a"}}).empty());
}

// The home of a trainer dies; the sample that it had ordered ends meanwhile
// and is reported to the successor. It need not be generated twice.
TEST_F(step_home_test, a_new_home_takes_over_a_finished_stream) {
    next_engine_ = "";
    open(1, 1);
    advance_time(20);
    EXPECT_EQ(report(stream(0, 3), done, {{0, 5, "a"}}).size(), 1U);
    const auto got = answer(pull(1)).samples;
    ASSERT_EQ(got.size(), 1U);
    EXPECT_EQ(got[0].attempt, 3U);
}

TEST_F(step_home_test, a_pull_of_an_unknown_step_is_refused) {
    EXPECT_EQ(answer(pull(9)).why, wire::reason::unknown_step);
}

TEST_F(step_home_test, an_unknown_trainer_is_refused) {
    bound_.reset();
    EXPECT_EQ(open(1, 1).why, wire::reason::unknown_trainer);
}

// A trainer opens one step after the other while a pull of the first still
// waits. That pull must be refused; its step is gone.
TEST_F(step_home_test, the_pull_of_a_trimmed_step_is_refused) {
    open(1, 1);
    const auto waiter = pull(1);
    for (wire::step_number step = 2; step < 8; ++step) {
        open(step, 1);
    }
    advance_time(20);
    EXPECT_EQ(answer(waiter).why, wire::reason::unknown_step);
}

// A peer of another release or a broken engine names streams that cannot
// exist. None of them may end the process.
TEST_F(step_home_test, malformed_stream_ids_are_ignored) {
    open(1, 1);
    advance_time(20);
    for (const char* text :
         {"", "/", "t/1/0", "t/1/0/x", "t/1/99/0", "t/1/-1/0", "t/1/0/",
          "t/99999999999999999999/0/0", "////"}) {
        EXPECT_NO_THROW(report(base::stream_id(text), done, {{0, 5, "a"}}));
    }
    EXPECT_EQ(answer(pull(1, {}, 0)).samples.size(), 0U);
}

// A report says that a sample is done but holds no text. Delivered, it would
// teach the trainer an empty answer.
TEST_F(step_home_test, a_finished_sample_without_chunks_is_generated_again) {
    open(1, 1);
    advance_time(20);
    report(stream(0), done);
    EXPECT_EQ(answer(pull(1, {}, 0)).samples.size(), 0U);
    advance_time(100);
    EXPECT_EQ(placed_.back().start.stream, stream(0, 1));
}

TEST_F(step_home_test, absurd_ranges_of_received_slots_are_cut) {
    open(1, 2);
    advance_time(20);
    constexpr auto most = std::numeric_limits<wire::slot_index>::max();
    EXPECT_EQ(answer(pull(1, {{most, 0}, {5, most}}, 0)).missing, 2U);
    EXPECT_EQ(answer(pull(1, {{0, most}}, 0)).missing, 0U);
}

} // namespace
} // namespace hibiscus::cluster
