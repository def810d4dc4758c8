// Measures the time of a tick and of a report in the step coordinator at full
// size: 23 trainers with 2,048 sample slots each and 12,000 engines, without
// sockets. Prints one line for each state of the steps. Placement is round
// robin, so the times are those of the step coordinator alone.

#include "hibiscus/cluster/step_coordinator.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>

namespace hibiscus::testing {
namespace {

constexpr int trainer_count = 23;
constexpr std::uint32_t slots_per_trainer = 2048;
constexpr int engine_count = 12000;
constexpr int repetitions = 501;
constexpr base::millis tick_ms = 20;
constexpr std::size_t streams_per_report = 16;

base::engine_id make_engine_id(int number) {
    return base::engine_id("engine" + std::to_string(number));
}

/// A step coordinator with all steps open, and the streams that it has placed.
class loaded_step_coordinator {
public:
    loaded_step_coordinator()
        : coordinator_(
              base::node_id("n"), {},
              [this](const cluster::placement_query&) { return place(); },
              [](const base::trainer_id&) { return std::make_optional(1); }) {
        for (int trainer = 0; trainer < trainer_count; ++trainer) {
            const base::trainer_id trainer_id("trainer" +
                                              std::to_string(trainer));
            coordinator_.open_step(
                now_,
                {trainer_id, 1, {1, {{"prompt", slots_per_trainer, 100}}}});
        }
    }

    /// Makes placement fail for all streams if `full`.
    void set_engines_full(bool full) { engines_full_ = full; }

    /// Advances the time and returns the duration of one tick in microseconds.
    double tick() {
        now_ += tick_ms;
        const auto started_at = std::chrono::steady_clock::now();
        coordinator_.tick(now_);
        const auto ended_at = std::chrono::steady_clock::now();
        for (auto& effect : coordinator_.take_effects()) {
            if (auto* placed = std::get_if<cluster::place_stream>(&effect)) {
                streams_.push_back({placed->engine, placed->start.stream});
            }
        }
        return std::chrono::duration<double, std::micro>(ended_at - started_at)
            .count();
    }

    /// Reports up to `streams_per_report` streams as running and returns the
    /// duration of the call in microseconds.
    double report() {
        wire::sample_report report;
        for (std::size_t i = 0; i < streams_per_report && !streams_.empty();
             ++i) {
            const auto& stream = streams_[next_stream_++ % streams_.size()];
            report.streams.push_back({stream.first,
                                      stream.second,
                                      wire::stream_state::running,
                                      {},
                                      1,
                                      1});
        }
        const auto started_at = std::chrono::steady_clock::now();
        coordinator_.on_report(now_, report);
        const auto ended_at = std::chrono::steady_clock::now();
        return std::chrono::duration<double, std::micro>(ended_at - started_at)
            .count();
    }

    /// Adds a waiting pull to each step.
    void add_waiting_pulls() {
        for (int trainer = 0; trainer < trainer_count; ++trainer) {
            const base::trainer_id trainer_id("trainer" +
                                              std::to_string(trainer));
            coordinator_.pull_samples(now_,
                                      static_cast<cluster::waiter_id>(trainer),
                                      {trainer_id, 1, {1, 1, {}, 0, 1 << 30}});
        }
    }

private:
    std::optional<cluster::placement> place() {
        if (engines_full_) {
            return std::nullopt;
        }
        return cluster::placement{
            make_engine_id(placed_count_++ % engine_count), 0};
    }

    base::millis now_ = 1000;
    bool engines_full_ = false;
    int placed_count_ = 0;
    std::size_t next_stream_ = 0;
    std::vector<std::pair<base::engine_id, base::stream_id>> streams_;
    cluster::step_coordinator coordinator_;
};

/// Calls `measure` repeatedly and prints the median and the 99th percentile of
/// the returned times.
template <class F>
void print(const char* title, F measure) {
    std::vector<double> times;
    times.reserve(repetitions);
    for (int i = 0; i < repetitions; ++i) {
        times.push_back(measure());
    }
    std::sort(times.begin(), times.end());
    std::cout << title << ": median_us=" << times[repetitions / 2]
              << " p99_us=" << times[repetitions * 99 / 100] << std::endl;
}

void run() {
    loaded_step_coordinator waiting_steps;
    waiting_steps.set_engines_full(true);
    print("tick, all slots wait and all engines are full",
          [&] { return waiting_steps.tick(); });
    loaded_step_coordinator running_steps;
    std::cout << "tick that places all slots: us=" << running_steps.tick()
              << std::endl;
    print("tick and 235 reports of 16 streams, all slots run, no pull", [&] {
        // Each stream is reported four times a second: with 47,104 streams this
        // makes 235 reports of 16 streams in each tick of 20 ms.
        double total_us = 0;
        for (int i = 0; i < 235; ++i) {
            total_us += running_steps.report();
        }
        return total_us + running_steps.tick();
    });
    running_steps.add_waiting_pulls();
    print("report of 16 streams, all slots run, a pull waits at each step",
          [&] { return running_steps.report(); });
}

} // namespace
} // namespace hibiscus::testing

int main() {
    hibiscus::testing::run();
    return 0;
}
