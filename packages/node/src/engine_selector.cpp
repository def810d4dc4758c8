#include "engine_selector.hpp"

#include "hibiscus/base/hash.hpp"
#include "hibiscus/policy/fair_share.hpp"
#include "hibiscus/policy/start_version.hpp"

namespace hibiscus::node {

namespace {

constexpr int straggler_priority_bonus = 1000;

/// Returns the version of `trainer` that an engine serves, or 0 if it serves
/// none.
wire::weight_version served_version(const wire::engine_status& status,
                                    const base::trainer_id& trainer) {
    for (const auto& served : status.serving) {
        if (served.trainer == trainer) {
            return served.version;
        }
    }
    return 0;
}

/// Returns the number of streams that each trainer of `pool` has on `engines`.
std::vector<policy::pool_usage>
collect_pool_usage(const document::document& document,
                   const document::pool& pool,
                   const std::vector<const cluster::engine_entry*>& engines) {
    std::vector<policy::pool_usage> usages;
    for (const auto& trainer : document.trainers) {
        if (trainer.pool != pool.name) {
            continue;
        }
        policy::pool_usage usage{
            trainer.name, policy::effective_weight(document, trainer), 0};
        for (const auto* engine : engines) {
            usage.admitted_streams += engine->estimated_load_of(trainer.name);
        }
        usages.push_back(std::move(usage));
    }
    return usages;
}

int admitted_streams_in(const std::vector<policy::pool_usage>& usages,
                        const base::trainer_id& trainer) {
    for (const auto& usage : usages) {
        if (usage.trainer == trainer) {
            return usage.admitted_streams;
        }
    }
    return 0;
}

} // namespace

engine_selector::engine_selector(const base::node_id& self,
                                 cluster::engine_table& engines,
                                 const cluster::version_table& versions,
                                 event_log& logger, base::clock clock,
                                 document_function current_document)
    : engines_(engines), versions_(versions), logger_(logger),
      clock_(std::move(clock)), current_document_(std::move(current_document)),
      random_generator_(base::stable_hash(self.str())) {}

wire::weight_version
engine_selector::oldest_start_version(const document::trainer& trainer,
                                      const document::pool& pool) {
    auto& entry = newest_versions_[trainer.name];
    const auto newest = versions_.newest(trainer.name);
    if (entry.version != newest) {
        entry = {newest, clock_.now()};
    }
    return policy::oldest_start_version(
        policy::make_start_version_policy(pool.start_version),
        {newest, clock_.now() - entry.first_seen_at, trainer.staleness_bound});
}

std::vector<policy::engine_candidate>
engine_selector::placement_candidates(const document::document& document,
                                      const document::trainer& trainer,
                                      const document::pool& pool) {
    const auto oldest_version = oldest_start_version(trainer, pool);
    const auto engines = engines_.placement_candidates(pool.name);
    const auto usages = collect_pool_usage(document, pool, engines);
    const int slots = pool.slots_per_engine;
    const auto queue_limit = static_cast<int>(pool.queue_share * slots);
    const auto shares = policy::compute_shares(
        usages, trainer.name,
        static_cast<int>(engines.size()) * (slots + queue_limit));
    const auto capacity = policy::stream_limit(
        admitted_streams_in(usages, trainer.name), shares, slots, queue_limit);
    std::vector<policy::engine_candidate> candidates;
    for (const auto* engine : engines) {
        if (served_version(engine->status, trainer.name) >= oldest_version) {
            candidates.push_back(
                {engine->id, engine->estimated_load(), capacity});
        }
    }
    return candidates;
}

engine_selector::pool_policy&
engine_selector::policy_of(const document::pool& pool) {
    auto& current = policies_[pool.name];
    if (current.kind != pool.placement) {
        current.kind = pool.placement;
        current.placement = policy::make_placement_policy(pool.placement);
    }
    return current;
}

std::optional<cluster::placement>
engine_selector::select_engine(const cluster::placement_query& query) {
    const auto* document = current_document_();
    const auto* trainer =
        document != nullptr ? document->find(query.trainer) : nullptr;
    const auto* pool =
        trainer != nullptr ? document->find(trainer->pool) : nullptr;
    if (pool == nullptr) {
        return std::nullopt;
    }
    auto& [kind, placement] = policy_of(*pool);
    const auto candidates = placement_candidates(*document, *trainer, *pool);
    const auto* chosen = policy::choose_engine(
        placement, candidates, *query.prompt, random_generator_);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    log_choice(*trainer, candidates, *chosen, kind);
    engines_.note_placed(chosen->engine, trainer->name);
    const int priority_bonus =
        query.is_straggler ? straggler_priority_bonus : 0;
    return cluster::placement{chosen->engine,
                              trainer->priority + priority_bonus};
}

void engine_selector::log_choice(
    const document::trainer& trainer,
    const std::vector<policy::engine_candidate>& candidates,
    const policy::engine_candidate& chosen, document::placement_kind kind) {
    decision record{"place",
                    trainer.name.str(),
                    {},
                    chosen.engine.str(),
                    std::string(base::name_of(kind))};
    for (const auto& candidate : candidates) {
        record.candidates.push_back(candidate.engine.str() + ":" +
                                    std::to_string(candidate.streams));
    }
    logger_.write_decision(record);
}

} // namespace hibiscus::node
