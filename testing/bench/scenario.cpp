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

/// Returns the number of chunks of a sample. Must draw it in the same way as
/// the stand-in of the engine.
std::uint32_t sample_length(const std::string& stream, int max_tokens,
                            int straggler_percent) {
    std::mt19937_64 random(base::stable_hash(stream));
    const auto max_length = static_cast<std::uint32_t>(max_tokens);
    std::uniform_int_distribution<std::uint32_t> length_distribution(
        1 + max_length / 4, 1 + max_length / 2);
    std::uniform_int_distribution<int> percent_distribution(0, 99);
    const auto length = length_distribution(random);
    return percent_distribution(random) < straggler_percent
               ? length * straggler_factor
               : length;
}

/// Returns the run time of the longest sample of a step on the fastest engines.
base::millis longest_sample_ms(const workload& load,
                               const trainer_load& trainer, int step,
                               int seed) {
    std::uint32_t longest_sample = 0;
    for (int slot = 0; slot < trainer.groups * trainer.group_size; ++slot) {
        const auto stream = seeded_name(trainer, seed) + "/" +
                            std::to_string(step) + "/" + std::to_string(slot) +
                            "/0";
        longest_sample =
            std::max(longest_sample, sample_length(stream, trainer.max_tokens,
                                                   load.straggler_percent));
    }
    int chunk_ms = load.engines.front().chunk_ms;
    for (const auto& group : load.engines) {
        chunk_ms = std::min(chunk_ms, group.chunk_ms);
    }
    return static_cast<base::millis>(longest_sample) * chunk_ms;
}

/// A load on the deployment of examples/cascadia.json: three zones, a trainer
/// with a high load and two with a low one that together demand more than the
/// engines can run concurrently, and two slower engines.
workload cascadia_workload() {
    workload result;
    result.name = "cascadia";
    result.engines = {{8, 20}, {2, 30}};
    result.slots = 4;
    result.straggler_percent = 1;
    result.trainers = {{"tagger", 24, 4, 40, 1000, 1.0},
                       {"auditor", 6, 4, 40, 1200, 1.0},
                       {"router", 4, 4, 24, 800, 1.0}};
    return result;
}

/// A load on the deployment of examples/veritas.json: four zones, two trainers,
/// longer samples with more stragglers, and more frequent weight updates.
workload veritas_workload() {
    workload result;
    result.name = "veritas";
    result.zones = 4;
    result.nodes = 8;
    result.engines = {{8, 20}, {2, 30}};
    result.slots = 4;
    result.straggler_percent = 2;
    result.trainers = {{"drafter", 16, 6, 48, 700, 1.0},
                       {"checker", 6, 4, 32, 700, 1.0}};
    return result;
}

/// Two trainers with the same load, each of which could use the whole pool, and
/// weights of three to one.
workload contended_workload() {
    workload result;
    result.name = "contended";
    result.nodes = 3;
    result.engines = {{4, 20}};
    result.slots = 4;
    result.straggler_percent = 0;
    result.trainers = {{"first", 32, 4, 40, 100, 3.0},
                       {"second", 32, 4, 40, 100, 1.0}};
    return result;
}

/// Returns a variant with this placement and rule for the start version of
/// samples.
variant make_placement_variant(const std::string& name,
                               placement_kind placement,
                               start_version_kind start_version) {
    variant result(name);
    result.placement = placement;
    result.start_version = start_version;
    return result;
}

/// Compares admission by the home node of an engine, which rejects streams
/// beyond its queue, with direct placement by load reports alone, at three
/// report intervals.
std::vector<variant> admission_variants() {
    std::vector<variant> variants;
    for (const base::millis interval_ms : {100, 1000, 3000}) {
        for (const bool is_direct : {false, true}) {
            auto result = make_placement_variant(
                is_direct ? "direct_" : "home_", placement_kind::power_of_two,
                start_version_kind::expect_publish);
            result.name += std::to_string(interval_ms) + "ms";
            result.queue_share = is_direct ? unlimited_queue_share : 1.0;
            result.heartbeat_ms = interval_ms;
            variants.push_back(std::move(result));
        }
    }
    return variants;
}

/// Compares baselines, which start samples at any version within the bound,
/// with placement policies that expect another publish.
std::vector<variant> placement_variants() {
    const auto within_bound = start_version_kind::within_bound;
    const auto expect_publish = start_version_kind::expect_publish;
    return {
        make_placement_variant("round_robin", placement_kind::round_robin,
                               within_bound),
        make_placement_variant("random", placement_kind::random_choice,
                               within_bound),
        make_placement_variant("least_reported", placement_kind::least_admitted,
                               within_bound),
        make_placement_variant("prefix_affinity/any",
                               placement_kind::prefix_affinity, within_bound),
        make_placement_variant("prefix_affinity",
                               placement_kind::prefix_affinity, expect_publish),
        make_placement_variant("power_of_two", placement_kind::power_of_two,
                               expect_publish),
    };
}

} // namespace

workload make_workload(const std::string& name) {
    if (name == "cascadia") {
        return cascadia_workload();
    }
    if (name == "contended") {
        return contended_workload();
    }
    return name == "veritas" ? veritas_workload() : workload{};
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

std::string make_document(const workload& load, const variant& tested_variant,
                          int seed) {
    json trainers = json::array();
    for (const auto& trainer : load.trainers) {
        trainers.push_back(
            {{"name", seeded_name(trainer, seed)},
             {"owner", "owner-" + trainer.name},
             {"pool", "shared"},
             {"weight",
              tested_variant.uses_trainer_weights ? trainer.weight : 1.0},
             {"staleness_bound", load.staleness_bound}});
    }
    json owners = json::array();
    for (const auto& trainer : load.trainers) {
        owners.push_back({{"name", "owner-" + trainer.name}});
    }
    const json document{
        {"schema", 1},
        {"owners", owners},
        {"pools",
         {{{"name", "shared"},
           {"owner", owners[0]["name"]},
           {"slots_per_engine", load.slots},
           {"queue_share", tested_variant.queue_share},
           {"placement", base::name_of(tested_variant.placement)}}}},
        {"trainers", trainers},
        {"services", {{{"name", "ledger"}, {"owner", owners[0]["name"]}}}},
        {"limits", {{"entries_ttl_ms", 1000}}}};
    return document.dump();
}

double idle_floor(const workload& load, int steps, int seed) {
    double idle_ms = 0;
    double total_ms = 0;
    for (const auto& trainer : load.trainers) {
        for (int step = 1; step <= steps; ++step) {
            // The first step is opened before any training, so its generation
            // does not overlap with training.
            const auto overlap_ms = step == 1 ? 0 : trainer.train_ms;
            const auto wait_ms = std::max<base::millis>(
                0, longest_sample_ms(load, trainer, step, seed) - overlap_ms);
            idle_ms += static_cast<double>(wait_ms);
            total_ms += static_cast<double>(wait_ms + trainer.train_ms);
        }
    }
    return total_ms > 0 ? idle_ms / total_ms : 0.0;
}

} // namespace hibiscus::testing
