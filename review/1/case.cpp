#include "../stand_in/world.hpp"

// Three samplers crash one after the other, each while it runs the same item.

namespace {

using namespace review;

constexpr int sampler_count = 11;
constexpr int group_count = 8;
constexpr int item_count = group_count * 8;
/// A step runs out of time after this, and an item may be at no sampler for
/// this long in steady state, in ms.
constexpr base::millis step_ms = 12000;
constexpr base::millis left_lying_ms = 5000;

bool play(world& w) {
    const std::string victim = "a5";
    sampler* holder = nullptr;
    int runs = 0;
    base::millis last_seen_at = 0;
    std::set<std::string> begun;
    for (int n = 0; n < sampler_count; ++n) {
        auto& added =
            w.add_sampler("i-llm" + std::to_string(n), "draft-llm", 12, true);
        // An item takes 4 s.
        added.set_events(100, 40);
        added.on_run = [&, &added = added](const std::string& id) {
            begun.insert(id);
            if (id == victim) {
                holder = &added;
                ++runs;
            }
        };
    }
    for (int n = 0; n < 5; ++n) {
        w.add_sampler("i-app" + std::to_string(n), "desk-api", 6, false);
    }
    w.write_configuration(make_configuration(1));
    w.start_nodes(3);
    w.submit("j1", make_job("a", 0, 1, group_count));
    const auto submitted_at = w.now();
    base::millis steady_at = w.now();
    for (int crash = 1; w.has_trouble() && crash <= 3; ++crash) {
        w.wait_until([&] { return runs >= crash; }, 10000,
                     "the item isn't at a sampler");
        w.run_for(700);
        auto* crashed = holder;
        last_seen_at = w.now();
        crashed->crash();
        w.run_for(400);
        crashed->restart();
        w.write_entry(*crashed, crashed->next_entry());
        steady_at = w.now() + world::stable_ms;
    }
    std::map<std::string, std::string> states;
    while (w.now() < submitted_at + step_ms && states.size() < item_count) {
        w.run_for(250);
        for (const auto& result : w.read_results("j1")) {
            states[result.at("id").get<std::string>()] =
                result.at("state").get<std::string>();
        }
    }
    const auto ended_at = w.now();
    w.end_job("j1");
    w.note("the client has read " + std::to_string(states.size()) + " of " +
           std::to_string(item_count) + " results; " + victim + " was at " +
           std::to_string(runs) + " samplers, last at " +
           std::to_string(last_seen_at) + " ms");
    if (states.size() < item_count - 1 || begun.size() < item_count) {
        throw cannot_run("other items are not done");
    }
    const bool is_done = states.count(victim) != 0;
    const bool was_sent_again = w.has_trouble() && runs > 3;
    return !is_done && !was_sent_again &&
           ended_at - std::max(last_seen_at, steady_at) >= left_lying_ms;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, play);
}
