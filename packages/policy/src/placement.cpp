#include "hibiscus/policy/placement.hpp"

#include "hibiscus/base/hash.hpp"
#include "hibiscus/base/result.hpp"

#include <algorithm>

namespace hibiscus::policy {

namespace {

using candidate_list = std::vector<const engine_candidate*>;

/// Returns true if `a` has fewer streams for its capacity than `b`.
bool is_less_loaded(const engine_candidate* a, const engine_candidate* b) {
    return static_cast<std::int64_t>(a->streams) * b->capacity <
           static_cast<std::int64_t>(b->streams) * a->capacity;
}

const engine_candidate* random_engine(const candidate_list& open,
                                      std::mt19937_64& random) {
    std::uniform_int_distribution<std::size_t> index(0, open.size() - 1);
    return open[index(random)];
}

const engine_candidate* preferred_engine(const candidate_list& open,
                                         const std::string& prompt) {
    const auto seed = base::stable_hash(prompt);
    const auto score = [&](const engine_candidate* c) {
        return base::stable_hash(c->engine.str(), seed);
    };
    return *std::max_element(
        open.begin(), open.end(),
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

const engine_candidate* choose_engine(placement_policy& policy,
                                      const std::vector<engine_candidate>& all,
                                      const std::string& prompt,
                                      std::mt19937_64& random) {
    candidate_list open;
    for (const auto& c : all) {
        if (c.streams < c.capacity) {
            open.push_back(&c);
        }
    }
    if (open.empty()) {
        return nullptr;
    }
    const auto emptiest = [&] {
        return *std::min_element(open.begin(), open.end(), is_less_loaded);
    };
    return std::visit(
        base::overloaded{
            [&](least_admitted&) { return emptiest(); },
            [&](power_of_two&) {
                const auto* a = random_engine(open, random);
                const auto* b = random_engine(open, random);
                return is_less_loaded(b, a) ? b : a;
            },
            [&](prefix_affinity& p) {
                const auto* home = preferred_engine(open, prompt);
                const auto* least = emptiest();
                return home->streams - least->streams > p.max_load_gap ? least
                                                                       : home;
            },
            [&](round_robin& p) { return open[p.next++ % open.size()]; },
            [&](random_choice&) { return random_engine(open, random); }},
        policy);
}

} // namespace hibiscus::policy
