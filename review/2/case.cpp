#include "../stand_in/world.hpp"

// The configuration loses the route of the scorer for two seconds, and items
// whose reward calls had got one 500 are given up.

namespace {

using namespace review;

constexpr int group_count = 3;
constexpr int item_count = group_count * 8;
/// The attempts of the scorer's route.
constexpr int attempts = 4;

bool play(world& w) {
    for (int n = 0; n < 5; ++n) {
        w.add_sampler("i-llm" + std::to_string(n), "draft-llm", 12, true);
    }
    // Two reward calls get one 500 each. Then the scorers are full for a while.
    const std::set<std::string> failing{"sa3", "sa11"};
    std::map<std::string, int> failures;
    base::millis full_until = 0;
    for (int n = 0; n < 5; ++n) {
        auto& scorer =
            w.add_sampler("i-app" + std::to_string(n), "desk-api", 6, false);
        scorer.choose_status = [&](const std::string& id) {
            if (failing.count(id) != 0 && failures.count(id) == 0) {
                ++failures[id];
                full_until = w.now() + 1000;
                return 500;
            }
            return w.now() < full_until ? 503 : 0;
        };
    }
    const auto with_scorer = make_configuration(1);
    w.write_configuration(with_scorer);
    w.start_nodes(3);

    w.submit("j1", make_job("a", 0, 1, group_count));
    w.wait_until([&] { return failures.size() == failing.size(); }, 15000,
                 "no reward calls");
    if (w.has_trouble()) {
        auto next = with_scorer;
        next["version"] = 4;
        next["routes"].erase(1);
        w.write_configuration(next);
        w.run_for(2000);
        next = with_scorer;
        next["version"] = 9;
        w.write_configuration(next);
    }
    std::vector<json> results;
    const auto until = w.now() + 15000;
    while (results.size() < item_count && w.now() < until) {
        w.run_for(500);
        results = w.read_results("j1");
    }
    if (results.empty()) {
        throw cannot_run("no results");
    }
    bool is_broken = false;
    for (const auto& result : results) {
        const auto id = result.at("id").get<std::string>();
        const auto state = result.at("state").get<std::string>();
        w.note("client reads " + id + " " + state + ", its reward call got " +
               std::to_string(failures["s" + id]) + " of " +
               std::to_string(attempts) + " answers of 500");
        is_broken =
            is_broken || (state == "errored" && failures["s" + id] < attempts);
    }
    w.end_job("j1");
    return is_broken;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, play);
}
