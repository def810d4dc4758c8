#include "hibiscus/node/engine_chooser.hpp"

#include "hibiscus/base/hash.hpp"

#include <algorithm>

namespace hibiscus::node {

namespace {

constexpr int straggler_priority = 1000;

/// Returns the version in a digest, or 0.
wire::weight_version version_in(const wire::engine_digest& digest,
                                const base::trainer_id& trainer) {
    for (const auto& row : digest.serving) {
        if (row.trainer == trainer) {
            return row.version;
        }
    }
    return 0;
}

} // namespace

engine_chooser::engine_chooser(const base::node_id& self,
                               cluster::engine_table& engines,
                               const cluster::version_table& versions,
                               decision_log& lines, document_function document)
    : engines_(engines), versions_(versions), lines_(lines),
      document_(std::move(document)), random_(base::stable_hash(self.str())) {}

std::vector<policy::candidate>
engine_chooser::candidates(const document::trainer& trainer,
                           const document::pool& pool) const {
    // What starts outside the bound can only be thrown away at its end.
    const auto oldest = std::max<wire::weight_version>(
        1, versions_.newest(trainer.name) - trainer.staleness_bound);
    const auto capacity =
        static_cast<int>((1.0 + pool.queue_share) * pool.slots_per_engine);
    std::vector<policy::candidate> found;
    for (const auto* row : engines_.usable(pool.name)) {
        if (version_in(row->digest, trainer.name) >= oldest) {
            found.push_back({row->id, row->load(), capacity});
        }
    }
    return found;
}

engine_chooser::pool_policy&
engine_chooser::policy_of(const document::pool& pool) {
    auto& row = policies_[pool.name];
    if (row.kind != pool.placement) {
        row.kind = pool.placement;
        row.placement = policy::make_placement(pool.placement);
    }
    return row;
}

std::optional<cluster::placement>
engine_chooser::choose(const cluster::placement_query& query) {
    const auto* document = document_();
    const auto* trainer =
        document != nullptr ? document->find(query.trainer) : nullptr;
    const auto* pool =
        trainer != nullptr ? document->find(trainer->pool) : nullptr;
    if (pool == nullptr) {
        return std::nullopt;
    }
    auto& [kind, placement] = policy_of(*pool);
    const auto open = candidates(*trainer, *pool);
    const auto* chosen =
        policy::choose(placement, open, *query.prompt, random_);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    write_line(*trainer, open, *chosen, kind);
    engines_.note_placed(chosen->engine);
    const int extra = query.straggler ? straggler_priority : 0;
    return cluster::placement{chosen->engine, trainer->priority + extra};
}

void engine_chooser::write_line(const document::trainer& trainer,
                                const std::vector<policy::candidate>& open,
                                const policy::candidate& chosen,
                                document::placement_kind kind) {
    decision d{"place",
               trainer.name.str(),
               {},
               chosen.engine.str(),
               std::string(base::name_of(kind))};
    for (const auto& c : open) {
        d.candidates.push_back(c.engine.str() + ":" + std::to_string(c.load));
    }
    lines_.write(d);
}

} // namespace hibiscus::node
