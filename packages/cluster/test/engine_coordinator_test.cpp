#include "hibiscus/cluster/engine_coordinator.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

const base::node_id self("n1");
const base::node_id trainers_home("n2");
const base::engine_id engine("e1");
const base::trainer_id trainer("t");
const base::stream_id stream("t/1/0/0");

/// A home of one engine with two slots and a queue of one.
class engine_home_test : public ::testing::Test {
protected:
    engine_home_test() : home_(self, {}) {
        traits_.slots = 2;
        traits_.queue_limit = 1;
        traits_.trainers = {trainer};
        assign();
        respond_to_poll({});
    }

    /// Makes this node the engine's home.
    void assign() { home_.assign_engines(now_, {{engine, traits_}}); }

    /// Lets the engine answer a poll; it serves `serving_`.
    void respond_to_poll(std::vector<wire::stream_update> streams) {
        wire::engine_poll_response news;
        news.streams = std::move(streams);
        news.serving = {{trainer, serving_}};
        home_.on_poll_response(now_, engine, news);
    }

    wire::place_response place(const base::stream_id& id,
                               const base::node_id& home = trainers_home) {
        wire::stream_start start;
        start.stream = id;
        start.trainer = trainer;
        const auto answer = home_.admit_stream(now_, {engine, home, start});
        collect_effects();
        return answer;
    }

    /// Places the stream and lets the engine take it.
    void run_stream() {
        place(stream);
        home_.on_start_result(engine, stream, true);
    }

    /// Lets time pass in ticks of 20 ms; the engine answers if `alive`.
    void advance_time(base::millis ms, bool alive = true) {
        for (const auto end = now_ + ms; now_ < end; now_ += 20) {
            if (alive) {
                respond_to_poll({});
            }
            home_.tick(now_, wanted_);
            collect_effects();
        }
    }

    void collect_effects() {
        for (auto& effect : home_.take_effects()) {
            if (auto* s = std::get_if<start_at_engine>(&effect)) {
                starts_.push_back(s->start);
            } else if (auto* c = std::get_if<stop_at_engine>(&effect)) {
                stops_.push_back(c->stream);
            } else if (auto* o = std::get_if<send_order>(&effect)) {
                orders_.push_back(o->order);
            } else if (auto* r = std::get_if<send_report>(&effect)) {
                reported_to_ = r->to;
                for (auto& one : r->report.streams) {
                    reports_.push_back(std::move(one));
                }
            } else {
                ++epochs_asked_;
            }
        }
    }

    static wire::stream_update make_update(wire::stream_state state,
                                           std::vector<wire::chunk> chunks) {
        return {stream, state, std::move(chunks)};
    }

    static constexpr auto done = wire::stream_state::done;
    static constexpr auto running = wire::stream_state::running;

    base::millis now_ = 1000;
    engine_traits traits_;
    wire::weight_version serving_ = 1;
    std::vector<wire::trainer_version> wanted_;
    std::vector<wire::stream_start> starts_;
    std::vector<base::stream_id> stops_;
    std::vector<wire::version_order> orders_;
    std::vector<wire::stream_report> reports_;
    base::node_id reported_to_;
    int epochs_asked_ = 0;
    engine_coordinator home_;
};

TEST_F(engine_home_test, streams_beyond_the_slots_and_the_queue_are_refused) {
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(place(base::stream_id("s" + std::to_string(i))).result,
                  wire::outcome::completed);
    }
    EXPECT_EQ(place(base::stream_id("s3")).why, wire::reason::overloaded);
    EXPECT_EQ(starts_.size(), 3U);
}

// The answer to a placement is lost and it is repeated, by now from the
// trainer's new home. The engine must not run the sample twice, and the
// reports must go to the one that asked last.
TEST_F(engine_home_test, a_repeated_placement_finds_its_stream) {
    run_stream();
    EXPECT_EQ(place(stream, base::node_id("n3")).result,
              wire::outcome::completed);
    EXPECT_EQ(starts_.size(), 1U);
    advance_time(40);
    EXPECT_EQ(reported_to_.str(), "n3");
}

// The queue of the engine is full, and the trainer's new home asks for a
// stream that runs there. A refusal would make it run a second time.
TEST_F(engine_home_test, a_known_stream_is_found_even_when_the_engine_is_full) {
    run_stream();
    place(base::stream_id("s1"));
    place(base::stream_id("s2"));
    EXPECT_EQ(place(stream).result, wire::outcome::completed);
}

// The report of a finished sample is lost, or its acknowledgement. Until it
// arrives the sample is told again; after that never.
TEST_F(engine_home_test, a_finished_sample_is_told_until_acknowledged) {
    run_stream();
    respond_to_poll({make_update(done, {{0, 1, "a"}, {1, 1, "b"}})});
    advance_time(600);
    const auto told = reports_.size();
    EXPECT_GE(told, 2U);
    EXPECT_EQ(reports_.back().chunks.size(), 2U);
    home_.acknowledge_reports({{stream}});
    advance_time(600);
    EXPECT_EQ(reports_.size(), told);
}

// A finished sample was acknowledged, but the engine holds its text until it
// is told to forget it. Its memory would grow with each step.
TEST_F(engine_home_test, an_acknowledged_stream_is_dropped_at_the_engine) {
    run_stream();
    respond_to_poll({make_update(done, {{0, 1, "a"}})});
    home_.acknowledge_reports({{stream}});
    collect_effects();
    ASSERT_EQ(stops_.size(), 1U);
    EXPECT_EQ(stops_[0], stream);
}

// The engine is taken over by this home in the middle of a stream, while the
// answer to the former poll of the same stream is still on its way. Taken as
// it is, the sample would lack its beginning.
TEST_F(engine_home_test, a_sample_without_its_beginning_is_read_again) {
    run_stream();
    respond_to_poll({make_update(done, {{2, 1, "c"}})});
    advance_time(300);
    for (const auto& r : reports_) {
        EXPECT_NE(r.state, done);
    }
    const auto poll = home_.next_poll(engine);
    ASSERT_EQ(poll.streams.size(), 1U);
    EXPECT_EQ(poll.streams[0].from, 0U);
    respond_to_poll(
        {make_update(done, {{0, 1, "a"}, {1, 1, "b"}, {2, 1, "c"}})});
    advance_time(300);
    EXPECT_EQ(reports_.back().chunks.size(), 3U);
}

// An engine restarts and runs the same stream anew, under other weights. The
// first parts are known from the first run and the last from the second; put
// together they are a text that no engine ever produced.
TEST_F(engine_home_test, chunks_of_two_runs_are_not_mixed) {
    run_stream();
    respond_to_poll({make_update(running, {{0, 1, "old0"}, {1, 1, "old1"}})});
    respond_to_poll({make_update(done, {{2, 2, "new2"}})});
    respond_to_poll(
        {make_update(done, {{0, 2, "new0"}, {1, 2, "new1"}, {2, 2, "new2"}})});
    advance_time(300);
    ASSERT_EQ(reports_.back().state, done);
    EXPECT_EQ(reports_.back().chunks[0].text, "new0");
    EXPECT_EQ(reports_.back().oldest, std::optional<wire::weight_version>(2));
}

// The engine's process is killed. Its home must not go on saying that its
// streams run: the trainer's home would wait for them for ever.
TEST_F(engine_home_test, streams_of_a_dead_engine_are_told_to_be_missing) {
    run_stream();
    home_.on_poll_failed(engine);
    home_.on_poll_failed(engine);
    advance_time(6000, false);
    ASSERT_FALSE(reports_.empty());
    EXPECT_EQ(reports_.back().state, wire::stream_state::missing);
    EXPECT_LT(reports_.size(), 30U);
}

// The answer to a start is lost although the engine took the stream. Called
// missing at once, the sample would run unseen and take a slot.
TEST_F(engine_home_test, a_start_without_an_answer_is_asked_about) {
    place(stream);
    home_.on_start_result(engine, stream, false);
    ASSERT_EQ(home_.next_poll(engine).streams.size(), 1U);
    respond_to_poll({make_update(done, {{0, 1, "a"}})});
    advance_time(300);
    EXPECT_EQ(reports_.back().state, done);
}

// A trainer's former home wakes from a pause and cancels what it believes to
// be its own. The stream belongs to the one that asked last.
TEST_F(engine_home_test, a_cancel_of_a_former_home_is_ignored) {
    run_stream();
    place(stream, base::node_id("n3"));
    wire::cancel_streams cancel;
    cancel.engine = engine;
    cancel.streams = {stream};
    cancel.home = trainers_home;
    home_.cancel_streams(cancel);
    EXPECT_EQ(home_.engines().at(engine).streams.size(), 1U);
    cancel.home = base::node_id("n3");
    home_.cancel_streams(cancel);
    EXPECT_EQ(home_.engines().at(engine).streams.size(), 0U);
}

TEST_F(engine_home_test, a_leaving_engine_gets_no_new_stream) {
    run_stream();
    traits_.leaving = true;
    assign();
    EXPECT_EQ(place(base::stream_id("s1")).why, wire::reason::no_backend);
    EXPECT_EQ(home_.engines().at(engine).streams.size(), 1U);
}

TEST_F(engine_home_test, an_engine_of_another_home_is_refused) {
    home_.assign_engines(now_, {});
    EXPECT_EQ(place(stream).why, wire::reason::home_moved);
}

// The engine has taken an order, but its report of what it serves lags. The
// same order again would load the same weights twice.
TEST_F(engine_home_test, an_order_that_was_done_is_not_repeated_at_once) {
    wanted_ = {{trainer, 2}};
    advance_time(40);
    home_.on_epoch_appended(9);
    advance_time(40);
    ASSERT_EQ(orders_.size(), 1U);
    home_.on_order_result(now_, engine, wire::order_result::done);
    advance_time(500);
    EXPECT_EQ(orders_.size(), 1U);
    serving_ = 2;
    advance_time(6000);
    EXPECT_EQ(orders_.size(), 1U);
}

// An engine says that a swap is done and goes on serving the old version. It
// must be ordered again, and not in every tick.
TEST_F(engine_home_test, an_engine_that_serves_another_version_is_reordered) {
    wanted_ = {{trainer, 2}};
    advance_time(40);
    home_.on_epoch_appended(9);
    advance_time(40);
    home_.on_order_result(now_, engine, wire::order_result::done);
    advance_time(6000);
    EXPECT_EQ(orders_.size(), 2U);
}

// A swap fails again and again. The engine must keep its time for the streams
// that it can serve, so the pauses between the tries grow.
TEST_F(engine_home_test, a_failed_swap_backs_off) {
    wanted_ = {{trainer, 2}};
    advance_time(40);
    home_.on_epoch_appended(9);
    for (int i = 0; i < 100; ++i) {
        const auto before = orders_.size();
        advance_time(100);
        if (orders_.size() > before) {
            home_.on_order_result(now_, engine, wire::order_result::failed);
        }
    }
    EXPECT_GE(orders_.size(), 4U);
    EXPECT_LE(orders_.size(), 7U);
}

// Two nodes believe to be home of an engine. The later epoch must win, and an
// engine that refused an order must get the next one under a newer epoch.
TEST_F(engine_home_test, a_fenced_home_takes_a_new_epoch) {
    wanted_ = {{trainer, 2}};
    advance_time(40);
    EXPECT_EQ(epochs_asked_, 1);
    home_.on_epoch_appended(9);
    advance_time(40);
    home_.on_order_result(now_, engine, wire::order_result::fenced);
    advance_time(1000);
    EXPECT_EQ(epochs_asked_, 2);
    EXPECT_EQ(orders_.size(), 1U);
    home_.on_epoch_appended(12);
    advance_time(1000);
    ASSERT_EQ(orders_.size(), 2U);
    EXPECT_EQ(orders_[1].number.epoch, 12);
}

// The log does not take the epoch. It is asked for again, or the engine would
// stay on its version for ever.
TEST_F(engine_home_test, an_epoch_that_failed_is_asked_for_again) {
    wanted_ = {{trainer, 2}};
    advance_time(40);
    home_.on_epoch_append_failed(now_ + 300);
    advance_time(200);
    EXPECT_EQ(epochs_asked_, 1);
    advance_time(200);
    EXPECT_EQ(epochs_asked_, 2);
}

// The log is out when one more engine comes to this home. The engines that it
// had before must still follow new versions.
TEST_F(engine_home_test, a_takeover_that_waits_does_not_hold_up_other_engines) {
    wanted_ = {{trainer, 2}};
    advance_time(40);
    home_.on_epoch_appended(9);
    advance_time(40);
    home_.on_order_result(now_, engine, wire::order_result::done);
    serving_ = 2;
    const base::engine_id other("e2");
    home_.assign_engines(now_, {{engine, traits_}, {other, traits_}});
    home_.on_poll_response(now_, other, {});
    wanted_ = {{trainer, 3}};
    advance_time(100);
    ASSERT_EQ(orders_.size(), 2U);
    EXPECT_EQ(orders_[1].number.epoch, 9);
    home_.on_epoch_appended(12);
    advance_time(100);
    ASSERT_EQ(orders_.size(), 3U);
    EXPECT_EQ(orders_[2].number.epoch, 12);
}

// The former home of an engine that ignores fencing numbers may have an order
// on its way. Ours must come after it, or the engine ends on the old version.
TEST_F(engine_home_test, an_engine_that_ignores_fencing_is_ordered_later) {
    traits_.checks_fencing = false;
    home_.assign_engines(now_, {});
    assign();
    wanted_ = {{trainer, 2}};
    advance_time(40);
    home_.on_epoch_appended(9);
    advance_time(4800);
    EXPECT_TRUE(orders_.empty());
    advance_time(400);
    EXPECT_EQ(orders_.size(), 1U);
}

// The answer to an order is lost and the order may still arrive. The engine
// does not check numbers, so a newer order sent now could be overtaken.
TEST_F(engine_home_test, a_lost_order_is_waited_out_without_fencing) {
    traits_.checks_fencing = false;
    assign();
    wanted_ = {{trainer, 2}};
    advance_time(5100);
    home_.on_epoch_appended(9);
    advance_time(40);
    ASSERT_EQ(orders_.size(), 1U);
    home_.on_order_result(now_, engine, std::nullopt);
    wanted_ = {{trainer, 3}};
    advance_time(4800);
    EXPECT_EQ(orders_.size(), 1U);
    advance_time(400);
    EXPECT_EQ(orders_.size(), 2U);
}

} // namespace
} // namespace hibiscus::cluster
