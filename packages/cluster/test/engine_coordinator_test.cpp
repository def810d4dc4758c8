#include "hibiscus/cluster/engine_coordinator.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

const base::node_id self("n1");
const base::node_id trainer_home_node("n2");
const base::engine_id engine("e1");
const base::trainer_id trainer("t");
const base::stream_id stream("t/1/0/0");

/// The coordinator of one engine with two slots and a queue of one.
class engine_coordinator_test : public ::testing::Test {
protected:
    engine_coordinator_test() : coordinator_(self, {}) {
        traits_.slots = 2;
        traits_.queue_limit = 1;
        traits_.trainers = {trainer};
        assign();
        respond_to_poll({});
    }

    /// Makes this node the engine's home node.
    void assign() { coordinator_.assign_engines(now_, {{engine, traits_}}); }

    /// Lets the engine respond to a poll; it serves the version `serving_`.
    void respond_to_poll(std::vector<wire::stream_update> streams) {
        wire::engine_poll_response response;
        response.streams = std::move(streams);
        response.serving = {{trainer, serving_}};
        coordinator_.on_poll_response(now_, engine, response);
    }

    wire::place_response
    place(const base::stream_id& id,
          const base::node_id& requester = trainer_home_node) {
        wire::stream_start start;
        start.stream = id;
        start.trainer = trainer;
        const auto response =
            coordinator_.admit_stream(now_, {engine, requester, start});
        collect_effects();
        return response;
    }

    /// Places the stream and completes its start request.
    void start_stream() {
        place(stream);
        coordinator_.on_start_result(engine, stream, true);
    }

    /// Advances the time in ticks of 20 ms; the engine responds if `is_alive`.
    void advance_time(base::millis ms, bool is_alive = true) {
        for (const auto end = now_ + ms; now_ < end; now_ += 20) {
            if (is_alive) {
                respond_to_poll({});
            }
            coordinator_.tick(now_, wanted_);
            collect_effects();
        }
    }

    void collect_effects() {
        for (auto& effect : coordinator_.take_effects()) {
            if (auto* start = std::get_if<start_at_engine>(&effect)) {
                starts_.push_back(start->start);
            } else if (auto* stop = std::get_if<stop_at_engine>(&effect)) {
                stops_.push_back(stop->stream);
            } else if (auto* order = std::get_if<send_order>(&effect)) {
                orders_.push_back(order->order);
            } else if (auto* report = std::get_if<send_report>(&effect)) {
                reported_to_ = report->to;
                for (auto& stream_report : report->report.streams) {
                    reports_.push_back(std::move(stream_report));
                }
            } else {
                ++epoch_requests_;
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
    int epoch_requests_ = 0;
    engine_coordinator coordinator_;
};

TEST_F(engine_coordinator_test,
       streams_beyond_the_slots_and_the_queue_are_refused) {
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(place(base::stream_id("s" + std::to_string(i))).result,
                  wire::outcome::completed);
    }
    EXPECT_EQ(place(base::stream_id("s3")).why, wire::reason::overloaded);
    EXPECT_EQ(starts_.size(), 3U);
}

// The response to a placement is lost, and the trainer's new home node repeats
// the placement. The engine must not run the sample twice, and the reports must
// go to the latest requester.
TEST_F(engine_coordinator_test, a_repeated_placement_finds_its_stream) {
    start_stream();
    EXPECT_EQ(place(stream, base::node_id("n3")).result,
              wire::outcome::completed);
    EXPECT_EQ(starts_.size(), 1U);
    advance_time(40);
    EXPECT_EQ(reported_to_.str(), "n3");
}

// The engine's queue is full, and the trainer's new home node requests a stream
// that is running there. A refusal would make the sample run a second time.
TEST_F(engine_coordinator_test,
       a_known_stream_is_accepted_even_if_the_engine_is_full) {
    start_stream();
    place(base::stream_id("s1"));
    place(base::stream_id("s2"));
    EXPECT_EQ(place(stream).result, wire::outcome::completed);
}

// The report of a finished sample or its acknowledgement is lost. The sample
// must be reported until it is acknowledged, and not after that.
TEST_F(engine_coordinator_test,
       a_finished_sample_is_reported_until_acknowledged) {
    start_stream();
    respond_to_poll({make_update(done, {{0, 1, "a"}, {1, 1, "b"}})});
    advance_time(600);
    const auto report_count = reports_.size();
    EXPECT_GE(report_count, 2U);
    EXPECT_EQ(reports_.back().chunks.size(), 2U);
    coordinator_.acknowledge_reports({{stream}});
    advance_time(600);
    EXPECT_EQ(reports_.size(), report_count);
}

// The engine keeps the text of a finished sample until the stream is stopped.
// Without that, its memory would grow with each step.
TEST_F(engine_coordinator_test,
       an_acknowledged_stream_is_dropped_at_the_engine) {
    start_stream();
    respond_to_poll({make_update(done, {{0, 1, "a"}})});
    coordinator_.acknowledge_reports({{stream}});
    collect_effects();
    ASSERT_EQ(stops_.size(), 1U);
    EXPECT_EQ(stops_[0], stream);
}

// This node becomes the engine's home node in the middle of a stream, while the
// response to an earlier poll is in flight. Taken from that response alone, the
// sample would lack its first chunks.
TEST_F(engine_coordinator_test, a_sample_without_its_beginning_is_read_again) {
    start_stream();
    respond_to_poll({make_update(done, {{2, 1, "c"}})});
    advance_time(300);
    for (const auto& report : reports_) {
        EXPECT_NE(report.state, done);
    }
    const auto poll = coordinator_.next_poll(engine);
    ASSERT_EQ(poll.streams.size(), 1U);
    EXPECT_EQ(poll.streams[0].from, 0U);
    respond_to_poll(
        {make_update(done, {{0, 1, "a"}, {1, 1, "b"}, {2, 1, "c"}})});
    advance_time(300);
    EXPECT_EQ(reports_.back().chunks.size(), 3U);
}

// An engine restarts and runs the same stream again with other weights. Chunks
// of the two runs combined would form a text that no engine generated.
TEST_F(engine_coordinator_test, chunks_of_two_runs_are_not_mixed) {
    start_stream();
    respond_to_poll({make_update(running, {{0, 1, "old0"}, {1, 1, "old1"}})});
    respond_to_poll({make_update(done, {{2, 2, "new2"}})});
    respond_to_poll(
        {make_update(done, {{0, 2, "new0"}, {1, 2, "new1"}, {2, 2, "new2"}})});
    advance_time(300);
    ASSERT_EQ(reports_.back().state, done);
    EXPECT_EQ(reports_.back().chunks[0].text, "new0");
    EXPECT_EQ(reports_.back().oldest, std::optional<wire::weight_version>(2));
}

// The engine's process is killed. If its home node kept reporting the streams
// as running, the trainer's home node would wait for them forever.
TEST_F(engine_coordinator_test, streams_of_a_dead_engine_are_reported_missing) {
    start_stream();
    coordinator_.on_poll_failed(engine);
    coordinator_.on_poll_failed(engine);
    advance_time(6000, false);
    ASSERT_FALSE(reports_.empty());
    EXPECT_EQ(reports_.back().state, wire::stream_state::missing);
    EXPECT_LT(reports_.size(), 30U);
}

// The response to a start request is lost although the engine has the stream.
// If it were reported as missing at once, it would keep running and occupy a
// slot.
TEST_F(engine_coordinator_test,
       a_stream_is_polled_after_a_start_without_a_response) {
    place(stream);
    coordinator_.on_start_result(engine, stream, false);
    ASSERT_EQ(coordinator_.next_poll(engine).streams.size(), 1U);
    respond_to_poll({make_update(done, {{0, 1, "a"}})});
    advance_time(300);
    EXPECT_EQ(reports_.back().state, done);
}

// The previous home node of a trainer resumes after a pause and cancels a
// stream that now belongs to the latest requester.
TEST_F(engine_coordinator_test, a_cancel_of_a_previous_home_node_is_ignored) {
    start_stream();
    place(stream, base::node_id("n3"));
    wire::cancel_streams cancel;
    cancel.engine = engine;
    cancel.streams = {stream};
    cancel.home = trainer_home_node;
    coordinator_.cancel_streams(cancel);
    EXPECT_EQ(coordinator_.engines().at(engine).streams.size(), 1U);
    cancel.home = base::node_id("n3");
    coordinator_.cancel_streams(cancel);
    EXPECT_EQ(coordinator_.engines().at(engine).streams.size(), 0U);
}

TEST_F(engine_coordinator_test, a_leaving_engine_gets_no_new_stream) {
    start_stream();
    traits_.leaving = true;
    assign();
    EXPECT_EQ(place(base::stream_id("s1")).why, wire::reason::no_backend);
    EXPECT_EQ(coordinator_.engines().at(engine).streams.size(), 1U);
}

TEST_F(engine_coordinator_test,
       a_placement_on_an_unassigned_engine_is_refused) {
    coordinator_.assign_engines(now_, {});
    EXPECT_EQ(place(stream).why, wire::reason::home_moved);
}

// The engine has executed an order, but its reported version lags behind.
// Repeating the order would load the same weights twice.
TEST_F(engine_coordinator_test, an_executed_order_is_not_repeated_at_once) {
    wanted_ = {{trainer, 2}};
    advance_time(40);
    coordinator_.on_epoch_appended(9);
    advance_time(40);
    ASSERT_EQ(orders_.size(), 1U);
    coordinator_.on_order_result(now_, engine, wire::order_result::done);
    advance_time(500);
    EXPECT_EQ(orders_.size(), 1U);
    serving_ = 2;
    advance_time(6000);
    EXPECT_EQ(orders_.size(), 1U);
}

// An engine reports a swap as done but keeps serving the old version. It must
// be ordered again, but not with every tick.
TEST_F(engine_coordinator_test,
       an_engine_that_serves_another_version_is_reordered) {
    wanted_ = {{trainer, 2}};
    advance_time(40);
    coordinator_.on_epoch_appended(9);
    advance_time(40);
    coordinator_.on_order_result(now_, engine, wire::order_result::done);
    advance_time(6000);
    EXPECT_EQ(orders_.size(), 2U);
}

// A swap fails repeatedly. The delay between the attempts must grow, so that
// the engine has time for the streams that it can serve.
TEST_F(engine_coordinator_test, a_failed_swap_backs_off) {
    wanted_ = {{trainer, 2}};
    advance_time(40);
    coordinator_.on_epoch_appended(9);
    for (int i = 0; i < 100; ++i) {
        const auto previous_count = orders_.size();
        advance_time(100);
        if (orders_.size() > previous_count) {
            coordinator_.on_order_result(now_, engine,
                                         wire::order_result::failed);
        }
    }
    EXPECT_GE(orders_.size(), 4U);
    EXPECT_LE(orders_.size(), 7U);
}

// Two nodes consider themselves the home node of an engine. The later epoch
// must win, and an engine that rejected an order must receive the next one
// under a newer epoch.
TEST_F(engine_coordinator_test, a_fenced_node_requests_a_new_epoch) {
    wanted_ = {{trainer, 2}};
    advance_time(40);
    EXPECT_EQ(epoch_requests_, 1);
    coordinator_.on_epoch_appended(9);
    advance_time(40);
    coordinator_.on_order_result(now_, engine, wire::order_result::fenced);
    advance_time(1000);
    EXPECT_EQ(epoch_requests_, 2);
    EXPECT_EQ(orders_.size(), 1U);
    coordinator_.on_epoch_appended(12);
    advance_time(1000);
    ASSERT_EQ(orders_.size(), 2U);
    EXPECT_EQ(orders_[1].number.epoch, 12);
}

// The log refuses the epoch. It must be requested again, or the engine would
// keep its version forever.
TEST_F(engine_coordinator_test, a_failed_epoch_is_requested_again) {
    wanted_ = {{trainer, 2}};
    advance_time(40);
    coordinator_.on_epoch_append_failed(now_ + 300);
    advance_time(200);
    EXPECT_EQ(epoch_requests_, 1);
    advance_time(200);
    EXPECT_EQ(epoch_requests_, 2);
}

// The log is unavailable when another engine is assigned to this node. The
// engines that it had before must still follow new versions.
TEST_F(engine_coordinator_test, a_pending_epoch_does_not_delay_other_engines) {
    wanted_ = {{trainer, 2}};
    advance_time(40);
    coordinator_.on_epoch_appended(9);
    advance_time(40);
    coordinator_.on_order_result(now_, engine, wire::order_result::done);
    serving_ = 2;
    const base::engine_id other("e2");
    coordinator_.assign_engines(now_, {{engine, traits_}, {other, traits_}});
    coordinator_.on_poll_response(now_, other, {});
    wanted_ = {{trainer, 3}};
    advance_time(100);
    ASSERT_EQ(orders_.size(), 2U);
    EXPECT_EQ(orders_[1].number.epoch, 9);
    coordinator_.on_epoch_appended(12);
    advance_time(100);
    ASSERT_EQ(orders_.size(), 3U);
    EXPECT_EQ(orders_[2].number.epoch, 12);
}

// The previous home node of an engine that ignores fencing tokens may have an
// order in flight. An order of this node must come after it, or the engine ends
// up with the old version.
TEST_F(engine_coordinator_test,
       an_engine_that_ignores_fencing_is_ordered_after_a_delay) {
    traits_.checks_fencing = false;
    coordinator_.assign_engines(now_, {});
    assign();
    wanted_ = {{trainer, 2}};
    advance_time(40);
    coordinator_.on_epoch_appended(9);
    advance_time(4800);
    EXPECT_TRUE(orders_.empty());
    advance_time(400);
    EXPECT_EQ(orders_.size(), 1U);
}

// The response to an order is lost and the order may still arrive. The engine
// does not check fencing tokens, so the old order could overtake a newer one
// that is sent now.
TEST_F(engine_coordinator_test,
       a_lost_order_delays_the_next_one_without_fencing) {
    traits_.checks_fencing = false;
    assign();
    wanted_ = {{trainer, 2}};
    advance_time(5100);
    coordinator_.on_epoch_appended(9);
    advance_time(40);
    ASSERT_EQ(orders_.size(), 1U);
    coordinator_.on_order_result(now_, engine, std::nullopt);
    wanted_ = {{trainer, 3}};
    advance_time(4800);
    EXPECT_EQ(orders_.size(), 1U);
    advance_time(400);
    EXPECT_EQ(orders_.size(), 2U);
}

} // namespace
} // namespace hibiscus::cluster
