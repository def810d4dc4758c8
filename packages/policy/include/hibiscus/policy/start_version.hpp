#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/document/document.hpp"
#include "hibiscus/wire/samples.hpp"

#include <variant>

namespace hibiscus::policy {

/// Begins samples at every version inside the staleness bound.
struct within_bound {};

/// Counts on one more publish before the delivery, so that a sample that
/// begins now is still inside the bound then.
struct expect_publish {
    /// A version that no engine serves after so long is not waited for.
    base::millis max_swap_wait = 2000;
};

/// Which versions a sample may begin with.
using start_version_policy = std::variant<within_bound, expect_publish>;

/// What is known of a trainer's versions.
struct version_state {
    wire::weight_version newest_version = 0;
    /// How long the newest has been known.
    base::millis newest_version_age = 0;
    int staleness_bound = 1;
};

/// Returns the policy that the document calls `kind`.
start_version_policy
make_start_version_policy(document::start_version_kind kind);

/// Returns the oldest version that a sample may begin with; at least 1, since
/// an engine that serves no version of the trainer cannot run it.
wire::weight_version oldest_start_version(const start_version_policy& policy,
                                          const version_state& state);

} // namespace hibiscus::policy
