#include "hibiscus/policy/placement.hpp"

#include "hibiscus/base/hash.hpp"
#include "hibiscus/base/result.hpp"

#include <algorithm>

namespace hibiscus::policy {

namespace {

using candidates = std::vector<const candidate*>;

/// Returns true if `a` has fewer streams for its capacity than `b`.
bool emptier(const candidate* a, const candidate* b) {
    return static_cast<std::int64_t>(a->load) * b->capacity <
           static_cast<std::int64_t>(b->load) * a->capacity;
}

const candidate* any(const candidates& open, std::mt19937_64& random) {
    std::uniform_int_distribution<std::size_t> index(0, open.size() - 1);
    return open[index(random)];
}

const candidate* preferred(const candidates& open, const std::string& prompt) {
    const auto seed = base::stable_hash(prompt);
    const auto score = [&](const candidate* c) {
        return base::stable_hash(c->engine.str(), seed);
    };
    return *std::max_element(open.begin(), open.end(),
                             [&](const candidate* a, const candidate* b) {
                                 return score(a) < score(b);
                             });
}

} // namespace

placement_policy make_placement(document::placement_kind kind) {
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

const candidate* choose(placement_policy& policy,
                        const std::vector<candidate>& all,
                        const std::string& prompt, std::mt19937_64& random) {
    candidates open;
    for (const auto& c : all) {
        if (c.load < c.capacity) {
            open.push_back(&c);
        }
    }
    if (open.empty()) {
        return nullptr;
    }
    const auto emptiest = [&] {
        return *std::min_element(open.begin(), open.end(), emptier);
    };
    return std::visit(
        base::overloaded{
            [&](least_admitted&) { return emptiest(); },
            [&](power_of_two&) {
                const auto* a = any(open, random);
                const auto* b = any(open, random);
                return emptier(b, a) ? b : a;
            },
            [&](prefix_affinity& p) {
                const auto* home = preferred(open, prompt);
                const auto* least = emptiest();
                return home->load - least->load > p.slack ? least : home;
            },
            [&](round_robin& p) { return open[p.next++ % open.size()]; },
            [&](random_choice&) { return any(open, random); }},
        policy);
}

} // namespace hibiscus::policy
