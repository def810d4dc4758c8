#include "engine_selector.hpp"

#include "hibiscus/base/hash.hpp"
#include "hibiscus/policy/fair_share.hpp"
#include "hibiscus/policy/start_version.hpp"

namespace hibiscus::node {

namespace {

constexpr int straggler_priority = 1000;

/// Returns the version in a digest, or 0.
wire::weight_version version_in(const wire::engine_status& digest,
                                const base::trainer_id& trainer) {
    for (const auto& row : digest.serving) {
        if (row.trainer == trainer) {
            return row.version;
        }
    }
    return 0;
}

/// Returns what each trainer of `pool` has on `engines`.
std::vector<policy::pool_usage>
collect_pool_uses(const document::document& document,
                  const document::pool& pool,
                  const std::vector<const cluster::engine_entry*>& engines) {
    std::vector<policy::pool_usage> uses;
    for (const auto& trainer : document.trainers) {
        if (trainer.pool != pool.name) {
            continue;
        }
        policy::pool_usage use{trainer.name,
                               policy::effective_weight(document, trainer), 0};
        for (const auto* row : engines) {
            use.admitted_streams += row->estimated_load_of(trainer.name);
        }
        uses.push_back(std::move(use));
    }
    return uses;
}

int admitted_streams_in(const std::vector<policy::pool_usage>& uses,
                        const base::trainer_id& trainer) {
    for (const auto& use : uses) {
        if (use.trainer == trainer) {
            return use.admitted_streams;
        }
    }
    return 0;
}

} // namespace

engine_selector::engine_selector(const base::node_id& self,
                                 cluster::engine_table& engines,
                                 const cluster::version_table& versions,
                                 event_log& lines, base::clock clock,
                                 document_function document)
    : engines_(engines), versions_(versions), logger_(lines),
      clock_(std::move(clock)), document_(std::move(document)),
      random_(base::stable_hash(self.str())) {}

wire::weight_version
engine_selector::oldest_start_version(const document::trainer& trainer,
                                      const document::pool& pool) {
    auto& known = newest_versions_[trainer.name];
    const auto newest = versions_.newest(trainer.name);
    if (known.version != newest) {
        known = {newest, clock_.now()};
    }
    return policy::oldest_start_version(
        policy::make_start_version_policy(pool.start_version),
        {newest, clock_.now() - known.since, trainer.staleness_bound});
}

std::vector<policy::engine_candidate>
engine_selector::placement_candidates(const document::document& document,
                                      const document::trainer& trainer,
                                      const document::pool& pool) {
    const auto oldest = oldest_start_version(trainer, pool);
    const auto rows = engines_.placement_candidates(pool.name);
    const auto uses = collect_pool_uses(document, pool, rows);
    const int slots = pool.slots_per_engine;
    const auto queue = static_cast<int>(pool.queue_share * slots);
    const auto shares = policy::compute_shares(
        uses, trainer.name, static_cast<int>(rows.size()) * (slots + queue));
    const auto capacity = policy::stream_limit(
        admitted_streams_in(uses, trainer.name), shares, slots, queue);
    std::vector<policy::engine_candidate> found;
    for (const auto* row : rows) {
        if (version_in(row->status, trainer.name) >= oldest) {
            found.push_back({row->id, row->estimated_load(), capacity});
        }
    }
    return found;
}

engine_selector::pool_policy&
engine_selector::policy_of(const document::pool& pool) {
    auto& row = policies_[pool.name];
    if (row.kind != pool.placement) {
        row.kind = pool.placement;
        row.placement = policy::make_placement_policy(pool.placement);
    }
    return row;
}

std::optional<cluster::placement>
engine_selector::select_engine(const cluster::placement_query& query) {
    const auto* document = document_();
    const auto* trainer =
        document != nullptr ? document->find(query.trainer) : nullptr;
    const auto* pool =
        trainer != nullptr ? document->find(trainer->pool) : nullptr;
    if (pool == nullptr) {
        return std::nullopt;
    }
    auto& [kind, placement] = policy_of(*pool);
    const auto open = placement_candidates(*document, *trainer, *pool);
    const auto* chosen =
        policy::choose_engine(placement, open, *query.prompt, random_);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    log_choice(*trainer, open, *chosen, kind);
    engines_.note_placed(chosen->engine, trainer->name);
    const int extra = query.is_straggler ? straggler_priority : 0;
    return cluster::placement{chosen->engine, trainer->priority + extra};
}

void engine_selector::log_choice(
    const document::trainer& trainer,
    const std::vector<policy::engine_candidate>& open,
    const policy::engine_candidate& chosen, document::placement_kind kind) {
    decision d{"place",
               trainer.name.str(),
               {},
               chosen.engine.str(),
               std::string(base::name_of(kind))};
    for (const auto& c : open) {
        d.candidates.push_back(c.engine.str() + ":" +
                               std::to_string(c.streams));
    }
    logger_.write_decision(d);
}

} // namespace hibiscus::node
