#pragma once

#include "hibiscus/cluster/engine_coordinator.hpp"
#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/document/document.hpp"
#include "hibiscus/policy/usage.hpp"

#include <vector>

namespace hibiscus::node {

/// Returns what the engines of `home` do now, by the owners that `document`
/// names.
std::vector<policy::engine_usage>
collect_engine_uses(const cluster::engine_coordinator& home,
                    const cluster::engine_table& engines,
                    const document::document& document);

} // namespace hibiscus::node
