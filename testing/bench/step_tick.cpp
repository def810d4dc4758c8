// Measures what a tick and a report cost a trainer's home at full size: 23
// trainers with 2,048 slots each, 12,000 engines, no sockets. It prints one
// line for each state of the steps. Placement takes the engines in turn, so
// the figures are those of the home alone.

#include "hibiscus/cluster/step_coordinator.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>

namespace hibiscus::testing {
namespace {

constexpr int trainers = 23;
constexpr std::uint32_t slots = 2048;
constexpr int engines = 12000;
constexpr int rounds = 501;
constexpr base::millis tick_ms = 20;
constexpr std::size_t streams_per_report = 16;

/// Returns the engine of a number.
base::engine_id make_engine_id(int number) {
    return base::engine_id("engine" + std::to_string(number));
}

/// A home that holds all steps, and what it has placed.
class loaded_step_coordinator {
public:
    loaded_step_coordinator()
        : home_(
              base::node_id("n"), {},
              [this](const cluster::placement_query&) { return place(); },
              [](const base::trainer_id&) { return std::make_optional(1); }) {
        for (int t = 0; t < trainers; ++t) {
            const base::trainer_id name("trainer" + std::to_string(t));
            home_.open_step(now_, {name, 1, {1, {{"prompt", slots, 100}}}});
        }
    }

    /// Opens or closes all engines.
    void set_engines_full(bool full) { engines_full_ = full; }

    /// Moves the time on and returns how long one tick took, in microseconds.
    double tick() {
        now_ += tick_ms;
        const auto begin = std::chrono::steady_clock::now();
        home_.tick(now_);
        const auto end = std::chrono::steady_clock::now();
        for (auto& effect : home_.take_effects()) {
            if (auto* p = std::get_if<cluster::place_stream>(&effect)) {
                streams_.push_back({p->engine, p->start.stream});
            }
        }
        return std::chrono::duration<double, std::micro>(end - begin).count();
    }

    /// Reports `batch` streams as running and returns how long that took.
    double report() {
        wire::sample_report report;
        for (std::size_t i = 0; i < streams_per_report && !streams_.empty();
             ++i) {
            const auto& s = streams_[next_stream_++ % streams_.size()];
            report.streams.push_back(
                {s.first, s.second, wire::stream_state::running, {}, 1, 1});
        }
        const auto begin = std::chrono::steady_clock::now();
        home_.on_report(now_, report);
        const auto end = std::chrono::steady_clock::now();
        return std::chrono::duration<double, std::micro>(end - begin).count();
    }

    /// Lets a pull wait at each step.
    void add_waiting_pulls() {
        for (int t = 0; t < trainers; ++t) {
            const base::trainer_id name("trainer" + std::to_string(t));
            home_.pull_samples(now_, static_cast<cluster::waiter_id>(t),
                               {name, 1, {1, 1, {}, 0, 1 << 30}});
        }
    }

private:
    std::optional<cluster::placement> place() {
        if (engines_full_) {
            return std::nullopt;
        }
        return cluster::placement{make_engine_id(placed_count_++ % engines), 0};
    }

    base::millis now_ = 1000;
    bool engines_full_ = false;
    int placed_count_ = 0;
    std::size_t next_stream_ = 0;
    std::vector<std::pair<base::engine_id, base::stream_id>> streams_;
    cluster::step_coordinator home_;
};

/// Calls `measure` many times and prints the median and the 99th percentile.
template <class F>
void print(const char* what, F measure) {
    std::vector<double> all;
    all.reserve(rounds);
    for (int i = 0; i < rounds; ++i) {
        all.push_back(measure());
    }
    std::sort(all.begin(), all.end());
    std::cout << what << ": median_us=" << all[rounds / 2]
              << " p99_us=" << all[rounds * 99 / 100] << std::endl;
}

void run() {
    loaded_step_coordinator waiting;
    waiting.set_engines_full(true);
    print("tick, all slots wait and all engines are full",
          [&] { return waiting.tick(); });
    loaded_step_coordinator running;
    std::cout << "tick that places all slots: us=" << running.tick()
              << std::endl;
    print("tick and 235 reports of 16 streams, all slots run, no pull", [&] {
        // Each stream is told of four times a second: 47,104 streams make
        // 235 reports of 16 in a tick.
        double spent = 0;
        for (int i = 0; i < 235; ++i) {
            spent += running.report();
        }
        return spent + running.tick();
    });
    running.add_waiting_pulls();
    print("report of 16 streams, all slots run, a pull waits at each step",
          [&] { return running.report(); });
}

} // namespace
} // namespace hibiscus::testing

int main() {
    hibiscus::testing::run();
    return 0;
}
