#pragma once

#include "event_log.hpp"
#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/cluster/step_coordinator.hpp"
#include "hibiscus/cluster/version_table.hpp"
#include "hibiscus/document/document.hpp"
#include "hibiscus/policy/placement.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace hibiscus::node {

/// Selects the engine for each sample slot by the placement policy that the
/// document sets for the pool, and logs each decision. Must be used on the
/// control thread only.
class engine_selector {
public:
    /// Returns the document in force, or null if there is none.
    using document_function = std::function<const document::document*()>;

    /// Constructs a selector for the node `self` that selects among `engines`.
    /// The ID of the node seeds random choices.
    engine_selector(const base::node_id& self, cluster::engine_table& engines,
                    const cluster::version_table& versions, event_log& logger,
                    base::clock clock, document_function current_document);

    /// Selects an engine for a sample slot and adds the slot to the engine's
    /// estimated load. Returns nullopt if no engine has capacity now.
    std::optional<cluster::placement>
    select_engine(const cluster::placement_query& query);

private:
    /// The placement policy of a pool, with its state.
    struct pool_policy {
        document::placement_kind kind = document::placement_kind::random_choice;
        policy::placement_policy placement = policy::random_choice{};
    };

    /// The newest version of a trainer and when this node learned of it.
    struct newest_version_entry {
        wire::weight_version version = 0;
        base::millis first_seen_at = 0;
    };

    wire::weight_version oldest_start_version(const document::trainer& trainer,
                                              const document::pool& pool);
    std::vector<policy::engine_candidate>
    placement_candidates(const document::document& document,
                         const document::trainer& trainer,
                         const document::pool& pool);
    pool_policy& policy_of(const document::pool& pool);
    void log_choice(const document::trainer& trainer,
                    const std::vector<policy::engine_candidate>& candidates,
                    const policy::engine_candidate& chosen,
                    document::placement_kind kind);

    cluster::engine_table& engines_;
    const cluster::version_table& versions_;
    event_log& logger_;
    base::clock clock_;
    document_function current_document_;
    std::map<base::pool_id, pool_policy> policies_;
    std::map<base::trainer_id, newest_version_entry> newest_versions_;
    std::mt19937_64 random_generator_;
};

} // namespace hibiscus::node
