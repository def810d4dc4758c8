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

/// Chooses the engine of each slot by the policy that the document names for
/// the pool, and writes a log line for each choice. Lives on the control
/// thread.
class engine_selector {
public:
    /// Returns the document in force, or null.
    using document_function = std::function<const document::document*()>;

    /// Constructs a chooser of the node `self` among `engines`.
    engine_selector(const base::node_id& self, cluster::engine_table& engines,
                    const cluster::version_table& versions, event_log& lines,
                    base::clock clock, document_function document);

    /// Returns an engine for a slot and counts the slot there, or nothing if
    /// none can take it now.
    std::optional<cluster::placement>
    select_engine(const cluster::placement_query& query);

private:
    /// The policy that runs for a pool, with its state.
    struct pool_policy {
        document::placement_kind kind = document::placement_kind::random_choice;
        policy::placement_policy placement = policy::random_choice{};
    };

    /// The newest version of a trainer and since when it is known here.
    struct known_version {
        wire::weight_version version = 0;
        base::millis since = 0;
    };

    wire::weight_version oldest_start_version(const document::trainer& trainer,
                                              const document::pool& pool);
    std::vector<policy::engine_candidate>
    placement_candidates(const document::document& document,
                         const document::trainer& trainer,
                         const document::pool& pool);
    pool_policy& policy_of(const document::pool& pool);
    void log_choice(const document::trainer& trainer,
                    const std::vector<policy::engine_candidate>& open,
                    const policy::engine_candidate& chosen,
                    document::placement_kind kind);

    cluster::engine_table& engines_;
    const cluster::version_table& versions_;
    event_log& logger_;
    base::clock clock_;
    document_function document_;
    std::map<base::pool_id, pool_policy> policies_;
    std::map<base::trainer_id, known_version> newest_versions_;
    std::mt19937_64 random_;
};

} // namespace hibiscus::node
