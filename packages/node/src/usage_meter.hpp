#pragma once

#include "hibiscus/cluster/engine_coordinator.hpp"
#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/document/document.hpp"
#include "hibiscus/policy/usage.hpp"

#include <vector>

namespace hibiscus::node {

/// Returns the current usage of the engines of `coordinator`, by the owners
/// that `document` specifies.
std::vector<policy::engine_usage>
collect_engine_usage(const cluster::engine_coordinator& coordinator,
                     const cluster::engine_table& engines,
                     const document::document& document);

} // namespace hibiscus::node
