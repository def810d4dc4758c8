#pragma once

#include "hibiscus/cluster/engine_home.hpp"
#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/document/document.hpp"
#include "hibiscus/policy/usage.hpp"

#include <vector>

namespace hibiscus::node {

/// Returns what the engines of `home` do now, by the owners that `document`
/// names.
std::vector<policy::engine_use> uses_of(const cluster::engine_home& home,
                                        const cluster::engine_table& engines,
                                        const document::document& document);

} // namespace hibiscus::node
