#include "samples_trainer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

namespace hibiscus::policy {
namespace {

/// What happens to the system at one moment.
enum class happening {
    calm,
    publish,
    trainer_restarts,
    node_crashes,
    node_pauses,
    nodes_parted,
    engine_parted,
    engine_crashes,
    swaps_fail,
    engine_leaves,
    messages_lost
};

/// A happening, to whom, for how long, and the time until the next.
struct command {
    happening what = happening::calm;
    int first = 0;
    int second = 0;
    base::millis lasts = 0;
    base::millis then = 0;
};

rc::Gen<command> any_command() {
    return rc::gen::build<command>(
        rc::gen::set(
            &command::what,
            rc::gen::map(rc::gen::inRange(0, 11),
                         [](int i) { return static_cast<happening>(i); })),
        rc::gen::set(&command::first, rc::gen::inRange(0, 12)),
        rc::gen::set(&command::second, rc::gen::inRange(0, 12)),
        rc::gen::set(&command::lasts, rc::gen::inRange<base::millis>(10, 6000)),
        rc::gen::set(&command::then, rc::gen::inRange<base::millis>(0, 1500)));
}

/// The whole system under a list of commands.
class samples_system {
public:
    explicit samples_system(std::uint64_t seed)
        : around_(seed), nodes_(around_) {
        produce();
        trainers_.push_back(
            std::make_unique<model_trainer>(around_, nodes_, 0));
        trainers_.push_back(
            std::make_unique<model_trainer>(around_, nodes_, 1));
    }

    /// Runs all commands, then lets the faults end. Returns what went wrong,
    /// or "".
    std::string run(const std::vector<command>& commands) {
        for (const auto& c : commands) {
            apply(c);
            around_.time.run_until(around_.time.now() + c.then);
        }
        around_.time.run_until(around_.time.now() + longest_fault);
        around_.faulty = false;
        const auto end = around_.time.now() + recovery;
        while (!whole() && fault().empty() && around_.time.now() < end) {
            around_.time.run_until(around_.time.now() + 500);
        }
        if (fault().empty() && !whole()) {
            return "a step does not become whole: " + trainers_[0]->state() +
                   "; " + trainers_[1]->state();
        }
        return fault();
    }

private:
    static constexpr base::millis longest_fault = 7000;
    static constexpr base::millis recovery = 120000;

    bool whole() const {
        return trainers_[0]->finished() && trainers_[1]->finished();
    }

    std::string fault() const {
        return trainers_[0]->fault() + trainers_[1]->fault();
    }

    void produce() {
        for (auto& engine : around_.engines) {
            if (engine.up) {
                engine.step();
            }
        }
        around_.time.after(model_engine::chunk_ms, [this] { produce(); });
    }

    void cut(const std::string& a, const std::string& b, base::millis lasts) {
        around_.cut.insert({a, b});
        around_.time.after(lasts, [this, a, b] { around_.cut.erase({a, b}); });
    }

    void apply(const command& c) {
        auto& engine =
            around_.engines[static_cast<std::size_t>(c.first % world_engines)];
        const auto node = "n" + std::to_string(c.first % world_nodes);
        const auto other = "n" + std::to_string(c.second % world_nodes);
        auto& trainer = *trainers_[static_cast<std::size_t>(c.first % 2)];
        switch (c.what) {
        case happening::calm:
            break;
        case happening::publish:
            trainer.publish();
            break;
        case happening::trainer_restarts:
            trainer.restart();
            break;
        case happening::node_crashes:
            nodes_.crash(c.first, c.lasts);
            break;
        case happening::node_pauses:
            nodes_.pause(c.first, c.lasts);
            break;
        case happening::nodes_parted:
            cut(node, other, c.lasts);
            if (c.first > c.second) {
                cut(other, node, c.lasts);
            }
            break;
        case happening::engine_parted:
            cut(other, engine.id().str(), c.lasts);
            break;
        case happening::engine_crashes:
            engine.crash();
            around_.time.after(c.lasts, [&engine] { engine.up = true; });
            break;
        case happening::swaps_fail:
            engine.swaps_fail = true;
            around_.time.after(c.lasts,
                               [&engine] { engine.swaps_fail = false; });
            break;
        case happening::engine_leaves:
            engine.leaving = true;
            around_.time.after(c.lasts, [&engine] { engine.leaving = false; });
            break;
        case happening::messages_lost:
            around_.loss_percent = 20;
            around_.time.after(c.lasts, [this] { around_.loss_percent = 2; });
            break;
        }
    }

    surroundings around_;
    node_processes nodes_;
    std::vector<std::unique_ptr<model_trainer>> trainers_;
};

/// Runs the system that `seed` names; returns what went wrong, or "".
std::string run_seed(std::uint64_t seed) {
    constexpr int size = 60;
    const auto commands = rc::gen::container<std::vector<command>>(
        any_command())(rc::Random(seed), size);
    return samples_system(seed).run(commands.value());
}

/// Returns the number in an environment variable, or `otherwise`.
std::uint64_t number_in(const char* name, std::uint64_t otherwise) {
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// Nodes crash, stand still and lose sight of each other and of engines, which
// crash, leave and fail to swap, while weights change. Whatever happens, the
// trainer gets each slot once, with the text and versions that an engine
// produced, inside the bound; and when the faults end, each step becomes whole.
TEST(samples_fuzz_test, samples_are_true_fresh_and_delivered_once) {
    const auto first = number_in("HIBISCUS_FUZZ_SEED", 1);
    const auto seconds = number_in("HIBISCUS_FUZZ_SECONDS", 0);
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
