#include "simulated_trainer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

namespace hibiscus::policy {
namespace {

/// What happens to the system at one moment.
enum class fault_kind {
    none,
    publish,
    trainer_restarts,
    node_crashes,
    node_pauses,
    node_partition,
    engine_partition,
    engine_crashes,
    swaps_fail,
    engine_leaves,
    messages_lost
};

/// A happening, to whom, for how long, and the time until the next.
struct command {
    fault_kind kind = fault_kind::none;
    int first = 0;
    int second = 0;
    base::millis duration = 0;
    base::millis delay_after = 0;
};

rc::Gen<command> any_command() {
    return rc::gen::build<command>(
        rc::gen::set(
            &command::kind,
            rc::gen::map(rc::gen::inRange(0, 11),
                         [](int i) { return static_cast<fault_kind>(i); })),
        rc::gen::set(&command::first, rc::gen::inRange(0, 12)),
        rc::gen::set(&command::second, rc::gen::inRange(0, 12)),
        rc::gen::set(&command::duration,
                     rc::gen::inRange<base::millis>(10, 6000)),
        rc::gen::set(&command::delay_after,
                     rc::gen::inRange<base::millis>(0, 1500)));
}

/// The whole system under a list of commands.
class samples_system {
public:
    explicit samples_system(std::uint64_t seed)
        : environment_(seed), nodes_(environment_) {
        step_engines();
        trainers_.push_back(
            std::make_unique<simulated_trainer>(environment_, nodes_, 0));
        trainers_.push_back(
            std::make_unique<simulated_trainer>(environment_, nodes_, 1));
    }

    /// Runs all commands, then lets the faults end. Returns what went wrong,
    /// or "".
    std::string run(const std::vector<command>& commands) {
        for (const auto& c : commands) {
            apply(c);
            environment_.scheduler.run_until(environment_.scheduler.now() +
                                             c.delay_after);
        }
        environment_.scheduler.run_until(environment_.scheduler.now() +
                                         longest_fault);
        environment_.faulty = false;
        const auto end = environment_.scheduler.now() + recovery;
        while (!all_finished() && fault().empty() &&
               environment_.scheduler.now() < end) {
            environment_.scheduler.run_until(environment_.scheduler.now() +
                                             500);
        }
        if (fault().empty() && !all_finished()) {
            return "a step does not become whole: " +
                   trainers_[0]->describe_state() + "; " +
                   trainers_[1]->describe_state();
        }
        return fault();
    }

private:
    static constexpr base::millis longest_fault = 7000;
    static constexpr base::millis recovery = 120000;

    bool all_finished() const {
        return trainers_[0]->is_finished() && trainers_[1]->is_finished();
    }

    std::string fault() const {
        return trainers_[0]->violation() + trainers_[1]->violation();
    }

    void step_engines() {
        for (auto& engine : environment_.engines) {
            if (engine.is_up) {
                engine.step();
            }
        }
        environment_.scheduler.run_after(simulated_engine::chunk_ms,
                                         [this] { step_engines(); });
    }

    void block_link(const std::string& a, const std::string& b,
                    base::millis lasts) {
        environment_.blocked_links.insert({a, b});
        environment_.scheduler.run_after(lasts, [this, a, b] {
            environment_.blocked_links.erase({a, b});
        });
    }

    void apply(const command& c) {
        auto& engine =
            environment_
                .engines[static_cast<std::size_t>(c.first % engine_count)];
        const auto node = "n" + std::to_string(c.first % node_count);
        const auto other = "n" + std::to_string(c.second % node_count);
        auto& trainer = *trainers_[static_cast<std::size_t>(c.first % 2)];
        switch (c.kind) {
        case fault_kind::none:
            break;
        case fault_kind::publish:
            trainer.publish();
            break;
        case fault_kind::trainer_restarts:
            trainer.restart();
            break;
        case fault_kind::node_crashes:
            nodes_.crash(c.first, c.duration);
            break;
        case fault_kind::node_pauses:
            nodes_.pause(c.first, c.duration);
            break;
        case fault_kind::node_partition:
            block_link(node, other, c.duration);
            if (c.first > c.second) {
                block_link(other, node, c.duration);
            }
            break;
        case fault_kind::engine_partition:
            block_link(other, engine.id().str(), c.duration);
            break;
        case fault_kind::engine_crashes:
            engine.crash();
            environment_.scheduler.run_after(
                c.duration, [&engine] { engine.is_up = true; });
            break;
        case fault_kind::swaps_fail:
            engine.swaps_fail = true;
            environment_.scheduler.run_after(
                c.duration, [&engine] { engine.swaps_fail = false; });
            break;
        case fault_kind::engine_leaves:
            engine.is_leaving = true;
            environment_.scheduler.run_after(
                c.duration, [&engine] { engine.is_leaving = false; });
            break;
        case fault_kind::messages_lost:
            environment_.loss_percent = 20;
            environment_.scheduler.run_after(
                c.duration, [this] { environment_.loss_percent = 2; });
            break;
        }
    }

    simulated_environment environment_;
    simulated_processes nodes_;
    std::vector<std::unique_ptr<simulated_trainer>> trainers_;
};

/// Runs the system that `seed` names; returns what went wrong, or "".
std::string run_seed(std::uint64_t seed) {
    constexpr int size = 60;
    const auto commands = rc::gen::container<std::vector<command>>(
        any_command())(rc::Random(seed), size);
    return samples_system(seed).run(commands.value());
}

/// Returns the number in an environment variable, or `otherwise`.
std::uint64_t env_number(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// Nodes crash, stand still and lose sight of each other and of engines, which
// crash, leave and fail to swap, while weights change. Whatever happens, the
// trainer gets each slot once, with the text and versions that an engine
// produced, inside the bound; and when the faults end, each step becomes whole.
TEST(samples_fuzz_test, samples_are_true_fresh_and_delivered_once) {
    const auto first = env_number("HIBISCUS_FUZZ_SEED", 1);
    const auto seconds = env_number("HIBISCUS_FUZZ_SECONDS", 0);
    const std::uint64_t fixed = 60;
    const base::clock clock;
    const auto end = clock.now() + static_cast<base::millis>(seconds * 1000);
    for (auto seed = first; seed < first + fixed || clock.now() < end; ++seed) {
        const auto fault = run_seed(seed);
        ASSERT_EQ(fault, "") << "reproduce with SEED=" << seed;
    }
}

// Two seeds that once found a fault. In the first an answer was on its way from
// the trainer's home to the entry while a version was published, and a stale
// sample left the entry. In the second the log did not take an epoch, it was
// never asked for again, and no engine followed the versions any more.
TEST(samples_fuzz_test, seeds_that_found_a_fault_stay_clean) {
    EXPECT_EQ(run_seed(18), "");
    EXPECT_EQ(run_seed(20), "");
}

} // namespace
} // namespace hibiscus::policy
