#pragma once

#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/cluster/version_table.hpp"
#include "hibiscus/document/document.hpp"

#include <functional>

namespace hibiscus::node {

/// Decides when the engines of a pool swap to a new version, by the document
/// and by what the nodes say of the pool. Lives on the control thread.
class rollout_planner {
public:
    /// Returns the document in force, or null.
    using document_function = std::function<const document::document*()>;

    /// Constructs a planner for the engines of `engines`.
    rollout_planner(const cluster::engine_table& engines,
                    const cluster::version_table& versions,
                    document_function document);

    /// Returns true if it is the engine's turn to swap to `version`.
    bool may_swap(base::millis now, const base::engine_id& engine,
                  const wire::trainer_version& version) const;

private:
    const cluster::engine_table& engines_;
    const cluster::version_table& versions_;
    document_function current_document_;
};

} // namespace hibiscus::node
