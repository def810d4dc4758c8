#include "scenario.hpp"

#include "hibiscus/base/hash.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace hibiscus::testing {

namespace {

using document::placement_kind;
using document::start_version_kind;
using nlohmann::json;

constexpr double unlimited_queue_share = 16.0;
constexpr std::uint32_t straggler_factor = 5;

/// Returns the chunks of a sample as the engine stand-in draws them.
std::uint32_t sample_length(const std::string& stream, int max_tokens,
                            int straggler_percent) {
    std::mt19937_64 random(base::stable_hash(stream));
    const auto longest = static_cast<std::uint32_t>(max_tokens);
    std::uniform_int_distribution<std::uint32_t> chunks(1 + longest / 4,
                                                        1 + longest / 2);
    std::uniform_int_distribution<int> percent(0, 99);
    const auto length = chunks(random);
    return percent(random) < straggler_percent ? length * straggler_factor
                                               : length;
}

/// Returns how long the longest sample of a step runs.
base::millis longest_sample_ms(const workload& load,
                               const trainer_load& trainer, int step,
                               int seed) {
    std::uint32_t longest = 0;
    for (int slot = 0; slot < trainer.groups * trainer.group_size; ++slot) {
        const auto stream = seeded_name(trainer, seed) + "/" +
                            std::to_string(step) + "/" + std::to_string(slot) +
                            "/0";
        longest = std::max(longest, sample_length(stream, trainer.max_tokens,
                                                  load.straggler_percent));
    }
    int chunk_ms = load.engines.front().chunk_ms;
    for (const auto& kind : load.engines) {
        chunk_ms = std::min(chunk_ms, kind.chunk_ms);
    }
    return static_cast<base::millis>(longest) * chunk_ms;
}

/// Print tagging: three zones, a heavy trainer beside two small ones that want
/// more than the engines run at a time, and two engines of an older kind.
workload cascadia() {
    workload w;
    w.name = "cascadia";
    w.engines = {{8, 20}, {2, 30}};
    w.slots = 4;
    w.straggler_percent = 1;
    w.trainers = {{"tagger", 24, 4, 40, 1000, 1.0},
                  {"auditor", 6, 4, 40, 1200, 1.0},
                  {"router", 4, 4, 24, 800, 1.0}};
    return w;
}

/// Verdict drafting: four zones, two trainers, longer drafts with more
/// stragglers, and weights that change more often.
workload veritas() {
    workload w;
    w.name = "veritas";
    w.zones = 4;
    w.nodes = 8;
    w.engines = {{8, 20}, {2, 30}};
    w.slots = 4;
    w.straggler_percent = 2;
    w.trainers = {{"drafter", 16, 6, 48, 700, 1.0},
                  {"checker", 6, 4, 32, 700, 1.0}};
    return w;
}

/// Two trainers with the same demand, each of which could fill the pool, and
/// weights of three to one.
workload contended() {
    workload w;
    w.name = "contended";
    w.nodes = 3;
    w.engines = {{4, 20}};
    w.slots = 4;
    w.straggler_percent = 0;
    w.trainers = {{"first", 32, 4, 40, 100, 3.0},
                  {"second", 32, 4, 40, 100, 1.0}};
    return w;
}

/// Returns a variant of placement that begins samples at `start` versions.
variant make_placement_variant(const std::string& name,
                               placement_kind placement,
                               start_version_kind start) {
    variant side(name);
    side.placement = placement;
    side.start_version = start;
    return side;
}

/// Through the engine's home, which refuses beyond its queue, against direct
/// placement by the reports alone, at three lags of the reports.
std::vector<variant> admission_variants() {
    std::vector<variant> sides;
    for (const base::millis lag : {100, 1000, 3000}) {
        for (const bool direct : {false, true}) {
            auto side = make_placement_variant(
                direct ? "direct_" : "home_", placement_kind::power_of_two,
                start_version_kind::expect_publish);
            side.name += std::to_string(lag) + "ms";
            side.queue_share = direct ? unlimited_queue_share : 1.0;
            side.heartbeat_ms = lag;
            sides.push_back(std::move(side));
        }
    }
    return sides;
}

/// The baselines, which begin samples at any version of the bound, and the
/// placement policies that count on another publish.
std::vector<variant> placement_variants() {
    const auto any = start_version_kind::within_bound;
    const auto expected = start_version_kind::expect_publish;
    return {
        make_placement_variant("round_robin", placement_kind::round_robin, any),
        make_placement_variant("random", placement_kind::random_choice, any),
        make_placement_variant("least_reported", placement_kind::least_admitted,
                               any),
        make_placement_variant("prefix_affinity/any",
                               placement_kind::prefix_affinity, any),
        make_placement_variant("prefix_affinity",
                               placement_kind::prefix_affinity, expected),
        make_placement_variant("power_of_two", placement_kind::power_of_two,
                               expected),
    };
}

} // namespace

workload make_workload(const std::string& name) {
    if (name == "cascadia") {
        return cascadia();
    }
    if (name == "contended") {
        return contended();
    }
    return name == "veritas" ? veritas() : workload{};
}

std::vector<variant> make_variants(const std::string& comparison) {
    if (comparison == "admission") {
        return admission_variants();
    }
    if (comparison == "weights") {
        variant equal("equal");
        equal.uses_trainer_weights = false;
        return {equal, variant("three_to_one")};
    }
    return comparison == "placement" ? placement_variants()
                                     : std::vector<variant>{};
}

std::string seeded_name(const trainer_load& trainer, int seed) {
    return trainer.name + "-" + std::to_string(seed);
}

std::string make_document(const workload& load, const variant& side, int seed) {
    json trainers = json::array();
    for (const auto& t : load.trainers) {
        trainers.push_back(
            {{"name", seeded_name(t, seed)},
             {"owner", "owner-" + t.name},
             {"pool", "shared"},
             {"weight", side.uses_trainer_weights ? t.weight : 1.0},
             {"staleness_bound", load.staleness_bound}});
    }
    json owners = json::array();
    for (const auto& t : load.trainers) {
        owners.push_back({{"name", "owner-" + t.name}});
    }
    const json d{
        {"schema", 1},
        {"owners", owners},
        {"pools",
         {{{"name", "shared"},
           {"owner", owners[0]["name"]},
           {"slots_per_engine", load.slots},
           {"queue_share", side.queue_share},
           {"placement", base::name_of(side.placement)}}}},
        {"trainers", trainers},
        {"services", {{{"name", "ledger"}, {"owner", owners[0]["name"]}}}},
        {"limits", {{"entries_ttl_ms", 1000}}}};
    return d.dump();
}

double idle_floor(const workload& load, int steps, int seed) {
    double idle = 0;
    double total = 0;
    for (const auto& trainer : load.trainers) {
        for (int step = 1; step <= steps; ++step) {
            // The first step is opened when nothing is being trained.
            const auto hidden = step == 1 ? 0 : trainer.train_ms;
            const auto waits = std::max<base::millis>(
                0, longest_sample_ms(load, trainer, step, seed) - hidden);
            idle += static_cast<double>(waits);
            total += static_cast<double>(waits + trainer.train_ms);
        }
    }
    return total > 0 ? idle / total : 0.0;
}

} // namespace hibiscus::testing
