#include "rollout_planner.hpp"

#include "hibiscus/policy/swap_plan.hpp"

namespace hibiscus::node {

namespace {

/// Returns the version of `trainer` that an engine serves, or 0 if it serves
/// none.
wire::weight_version served_version(const cluster::engine_entry& engine,
                                    const base::trainer_id& trainer) {
    for (const auto& served : engine.status.serving) {
        if (served.trainer == trainer) {
            return served.version;
        }
    }
    return 0;
}

} // namespace

rollout_planner::rollout_planner(const cluster::engine_table& engines,
                                 const cluster::version_table& versions,
                                 document_function current_document)
    : engines_(engines), versions_(versions),
      current_document_(std::move(current_document)) {}

bool rollout_planner::may_swap(base::millis now, const base::engine_id& engine,
                               const wire::trainer_version& version) const {
    const auto* document = current_document_();
    const auto* entry = engines_.find(engine);
    if (document == nullptr || entry == nullptr) {
        return false;
    }
    const auto* pool = document->find(entry->pool);
    const auto* trainer = document->find(version.trainer);
    if (pool == nullptr || trainer == nullptr) {
        return false;
    }
    // An engine that serves no version of this trainer, or one outside the
    // staleness bound, receives no samples of the trainer, so delaying its swap
    // gains nothing.
    const auto served = served_version(*entry, version.trainer);
    if (served == 0 || served < version.version - trainer->staleness_bound) {
        return true;
    }
    policy::swap_plan plan;
    plan.max_swap_share = pool->swap_share;
    plan.version_age = now - versions_.updated_at(version.trainer);
    std::vector<policy::swap_candidate> outdated;
    for (const auto* candidate : engines_.placement_candidates(entry->pool)) {
        ++plan.reachable_engines;
        if (served_version(*candidate, version.trainer) < version.version) {
            outdated.push_back({candidate->id, candidate->estimated_load()});
        }
    }
    return policy::is_swap_turn(plan, outdated, engine);
}

} // namespace hibiscus::node
