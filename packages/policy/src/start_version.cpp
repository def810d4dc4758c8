#include "hibiscus/policy/start_version.hpp"

#include "hibiscus/base/result.hpp"

#include <algorithm>

namespace hibiscus::policy {

start_version_policy
make_start_version_policy(document::start_version_kind kind) {
    switch (kind) {
    case document::start_version_kind::within_bound:
        return within_bound{};
    case document::start_version_kind::expect_publish:
        return expect_publish{};
    }
    return expect_publish{};
}

wire::weight_version oldest_start_version(const start_version_policy& policy,
                                          const version_state& state) {
    const auto oldest_in_bound = state.newest_version - state.staleness_bound;
    const auto oldest = std::visit(
        base::overloaded{[&](const within_bound&) { return oldest_in_bound; },
                         [&](const expect_publish& p) {
                             // A trainer opens its next step before it trains
                             // and publishes. By then a sample that starts at
                             // the oldest version within the bound is stale and
                             // is generated again. With a bound of 0 every
                             // version becomes stale, so the newest one is
                             // used. If swaps fail for long, older samples are
                             // better than none.
                             return state.newest_version_age > p.max_swap_wait
                                        ? oldest_in_bound
                                        : std::min(oldest_in_bound + 1,
                                                   state.newest_version);
                         }},
        policy);
    return std::max<wire::weight_version>(1, oldest);
}

} // namespace hibiscus::policy
