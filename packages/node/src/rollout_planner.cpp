#include "rollout_planner.hpp"

#include "hibiscus/policy/swap_plan.hpp"

namespace hibiscus::node {

namespace {

/// Returns the version that an engine serves, or 0.
wire::weight_version version_in(const cluster::engine_entry& row,
                                const base::trainer_id& trainer) {
    for (const auto& served : row.status.serving) {
        if (served.trainer == trainer) {
            return served.version;
        }
    }
    return 0;
}

} // namespace

rollout_planner::rollout_planner(const cluster::engine_table& engines,
                                 const cluster::version_table& versions,
                                 document_function document)
    : engines_(engines), versions_(versions),
      current_document_(std::move(document)) {}

bool rollout_planner::may_swap(base::millis now, const base::engine_id& engine,
                               const wire::trainer_version& version) const {
    const auto* document = current_document_();
    const auto* own = engines_.find(engine);
    if (document == nullptr || own == nullptr) {
        return false;
    }
    const auto* pool = document->find(own->pool);
    const auto* trainer = document->find(version.trainer);
    if (pool == nullptr || trainer == nullptr) {
        return false;
    }
    // An engine whose version is outside the bound, or that has none, gets no
    // work for this trainer; there is nothing to wait for.
    const auto served = version_in(*own, version.trainer);
    if (served == 0 || served < version.version - trainer->staleness_bound) {
        return true;
    }
    policy::swap_plan plan;
    plan.max_swap_share = pool->swap_share;
    plan.version_age = now - versions_.updated_at(version.trainer);
    std::vector<policy::swap_candidate> behind;
    for (const auto* row : engines_.placement_candidates(own->pool)) {
        ++plan.reachable_engines;
        if (version_in(*row, version.trainer) < version.version) {
            behind.push_back({row->id, row->estimated_load()});
        }
    }
    return policy::is_swap_turn(plan, behind, engine);
}

} // namespace hibiscus::node
