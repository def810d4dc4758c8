#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/document/document.hpp"
#include "hibiscus/wire/samples.hpp"

#include <variant>

namespace hibiscus::policy {

/// Starts samples at any version within the staleness bound.
struct within_bound {};

/// Assumes that one more version is published before the sample is delivered,
/// so that a sample that starts now is still within the bound then.
struct expect_publish {
    /// Maximum time in ms to wait for engines to serve a new version.
    base::millis max_swap_wait = 2000;
};

/// A policy for the versions that a sample may start with.
using start_version_policy = std::variant<within_bound, expect_publish>;

/// The state of a trainer's versions.
struct version_state {
    wire::weight_version newest_version = 0;
    /// Time since the newest version became known, in ms.
    base::millis newest_version_age = 0;
    int staleness_bound = 1;
};

/// Returns the policy for a kind set in the configuration document.
start_version_policy
make_start_version_policy(document::start_version_kind kind);

/// Returns the oldest version that a sample may start with; at least 1, since
/// an engine that serves no version of the trainer can't run it.
wire::weight_version oldest_start_version(const start_version_policy& policy,
                                          const version_state& state);

} // namespace hibiscus::policy
