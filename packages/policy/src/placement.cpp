#include "hibiscus/policy/placement.hpp"

#include "hibiscus/base/hash.hpp"
#include "hibiscus/base/result.hpp"

#include <algorithm>

namespace hibiscus::policy {

namespace {

using candidate_list = std::vector<const engine_candidate*>;

/// Returns true if `a` has a lower ratio of streams to capacity than `b`.
bool is_less_loaded(const engine_candidate* a, const engine_candidate* b) {
    return static_cast<std::int64_t>(a->streams) * b->capacity <
           static_cast<std::int64_t>(b->streams) * a->capacity;
}

const engine_candidate* choose_random_engine(const candidate_list& available,
                                             std::mt19937_64& random) {
    std::uniform_int_distribution<std::size_t> index(0, available.size() - 1);
    return available[index(random)];
}

/// Returns the engine with the highest rendezvous hash for the prompt.
const engine_candidate* preferred_engine(const candidate_list& available,
                                         const std::string& prompt) {
    const auto seed = base::stable_hash(prompt);
    const auto score = [&](const engine_candidate* c) {
        return base::stable_hash(c->engine.str(), seed);
    };
    return *std::max_element(
        available.begin(), available.end(),
        [&](const engine_candidate* a, const engine_candidate* b) {
            return score(a) < score(b);
        });
}

} // namespace

placement_policy make_placement_policy(document::placement_kind kind) {
    switch (kind) {
    case document::placement_kind::least_admitted:
        return least_admitted{};
    case document::placement_kind::power_of_two:
        return power_of_two{};
    case document::placement_kind::prefix_affinity:
        return prefix_affinity{};
    case document::placement_kind::round_robin:
        return round_robin{};
    case document::placement_kind::random_choice:
        return random_choice{};
    }
    return least_admitted{};
}

const engine_candidate*
choose_engine(placement_policy& policy,
              const std::vector<engine_candidate>& candidates,
              const std::string& prompt, std::mt19937_64& random) {
    candidate_list available;
    for (const auto& c : candidates) {
        if (c.streams < c.capacity) {
            available.push_back(&c);
        }
    }
    if (available.empty()) {
        return nullptr;
    }
    const auto least_loaded_engine = [&] {
        return *std::min_element(available.begin(), available.end(),
                                 is_less_loaded);
    };
    return std::visit(
        base::overloaded{
            [&](least_admitted&) { return least_loaded_engine(); },
            [&](power_of_two&) {
                const auto* a = choose_random_engine(available, random);
                const auto* b = choose_random_engine(available, random);
                return is_less_loaded(b, a) ? b : a;
            },
            [&](prefix_affinity& p) {
                const auto* preferred = preferred_engine(available, prompt);
                const auto* least_loaded = least_loaded_engine();
                return preferred->streams - least_loaded->streams >
                               p.max_load_gap
                           ? least_loaded
                           : preferred;
            },
            [&](round_robin& p) {
                return available[p.next++ % available.size()];
            },
            [&](random_choice&) {
                return choose_random_engine(available, random);
            }},
        policy);
}

} // namespace hibiscus::policy
