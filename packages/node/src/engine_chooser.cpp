#include "engine_chooser.hpp"

#include "hibiscus/base/hash.hpp"
#include "hibiscus/policy/fair_share.hpp"
#include "hibiscus/policy/start_version.hpp"

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

/// Returns what each trainer of `pool` has on `engines`.
std::vector<policy::pool_use>
uses_of(const document::document& document, const document::pool& pool,
        const std::vector<const cluster::engine_row*>& engines) {
    std::vector<policy::pool_use> uses;
    for (const auto& trainer : document.trainers) {
        if (trainer.pool != pool.name) {
            continue;
        }
        policy::pool_use use{trainer.name, policy::weight_of(document, trainer),
                             0};
        for (const auto* row : engines) {
            use.admitted += row->load_of(trainer.name);
        }
        uses.push_back(std::move(use));
    }
    return uses;
}

int admitted_in(const std::vector<policy::pool_use>& uses,
                const base::trainer_id& trainer) {
    for (const auto& use : uses) {
        if (use.trainer == trainer) {
            return use.admitted;
        }
    }
    return 0;
}

} // namespace

engine_chooser::engine_chooser(const base::node_id& self,
                               cluster::engine_table& engines,
                               const cluster::version_table& versions,
                               decision_log& lines, base::clock clock,
                               document_function document)
    : engines_(engines), versions_(versions), lines_(lines),
      clock_(std::move(clock)), document_(std::move(document)),
      random_(base::stable_hash(self.str())) {}

wire::weight_version engine_chooser::oldest_of(const document::trainer& trainer,
                                               const document::pool& pool) {
    auto& known = newest_[trainer.name];
    const auto newest = versions_.newest(trainer.name);
    if (known.version != newest) {
        known = {newest, clock_.now()};
    }
    return policy::oldest_start(
        policy::make_start_version(pool.start_version),
        {newest, clock_.now() - known.since, trainer.staleness_bound});
}

std::vector<policy::candidate>
engine_chooser::candidates(const document::document& document,
                           const document::trainer& trainer,
                           const document::pool& pool) {
    const auto oldest = oldest_of(trainer, pool);
    const auto rows = engines_.usable(pool.name);
    const auto uses = uses_of(document, pool, rows);
    const int slots = pool.slots_per_engine;
    const auto queue = static_cast<int>(pool.queue_share * slots);
    const auto shares = policy::shares_of(
        uses, trainer.name, static_cast<int>(rows.size()) * (slots + queue));
    const auto capacity = policy::capacity_for(admitted_in(uses, trainer.name),
                                               shares, slots, queue);
    std::vector<policy::candidate> found;
    for (const auto* row : rows) {
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
    const auto open = candidates(*document, *trainer, *pool);
    const auto* chosen =
        policy::choose(placement, open, *query.prompt, random_);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    write_line(*trainer, open, *chosen, kind);
    engines_.note_placed(chosen->engine, trainer->name);
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
