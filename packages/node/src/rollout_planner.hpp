#pragma once

#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/cluster/version_table.hpp"
#include "hibiscus/document/document.hpp"

#include <functional>

namespace hibiscus::node {

/// Decides when the engines of a pool swap to a new version, based on the
/// document and on the engine statuses that nodes report. Must be used on the
/// control thread only.
class rollout_planner {
public:
    /// Returns the document in force, or null if there is none.
    using document_function = std::function<const document::document*()>;

    /// Constructs a planner for `engines`. `engines` and `versions` must
    /// outlive it.
    rollout_planner(const cluster::engine_table& engines,
                    const cluster::version_table& versions,
                    document_function current_document);

    /// Returns true if `engine` may swap to `version` now.
    bool may_swap(base::millis now, const base::engine_id& engine,
                  const wire::trainer_version& version) const;

private:
    const cluster::engine_table& engines_;
    const cluster::version_table& versions_;
    document_function current_document_;
};

} // namespace hibiscus::node
