#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/base/ids.hpp"

#include <array>
#include <string>
#include <vector>

namespace hibiscus::document {

/// How an engine is chosen for a sample.
enum class placement_kind {
    least_admitted,  ///< The engine with the fewest streams per slot.
    power_of_two,    ///< The less loaded of two random engines.
    prefix_affinity, ///< One engine per prompt group, unless it is overloaded.
    round_robin,     ///< Each engine in turn.
    random_choice    ///< A random engine.
};

/// How the last samples of a step are accelerated.
enum class straggler_kind {
    none,           ///< Not at all.
    raise_priority, ///< Engines run them before other samples.
    move            ///< As raise_priority; unstarted samples change engines.
};

/// The weight versions with which a sample may start.
enum class start_version_kind {
    within_bound,  ///< Versions within the staleness bound at its start.
    expect_publish ///< Versions still within it after the next weight version.
};

/// A party that pays for engines.
struct owner {
    base::owner_id name;
    /// The weight, relative to other owners, when owners compete for engines.
    double weight = 1.0;
};

/// A set of engines that serve the same trainers.
struct pool {
    base::pool_id name;
    base::owner_id owner;
    /// The number of streams that one engine runs at a time.
    int slots_per_engine = 8;
    /// The number of queued streams allowed, as a fraction of the slots.
    double queue_share = 1.0;
    /// True if the engines reject orders with an old fencing token.
    bool checks_fencing = true;
    /// The maximum fraction of the pool's engines that may change their weight
    /// version at the same time.
    double swap_share = 0.34;
    placement_kind placement = placement_kind::prefix_affinity;
    start_version_kind start_version = start_version_kind::expect_publish;
};

/// A trainer, which pulls samples.
struct trainer {
    base::trainer_id name;
    base::owner_id owner;
    base::pool_id pool;
    /// The weight, relative to other trainers, when trainers compete for the
    /// pool.
    double weight = 1.0;
    /// Engines run streams of a higher priority first.
    int priority = 0;
    /// The maximum number of versions that a sample may be behind the newest
    /// one when it is delivered.
    int staleness_bound = 1;
    straggler_kind stragglers = straggler_kind::raise_priority;
};

/// A service whose instances serve requests of callers.
struct service {
    base::service_id name;
    base::owner_id owner;
    /// The maximum number of requests in flight from one entry to one instance.
    int max_in_flight = 64;
    /// True if a slow request may be hedged: a second attempt is sent while the
    /// first is in flight, to reduce latency.
    bool hedge = false;
};

/// Limits that apply to the whole system.
struct limits {
    /// How long a response to GET /v1/entries is valid, in ms.
    base::millis entries_ttl_ms = 2000;
    /// How long after the creation of a request its claim is kept, in ms. Older
    /// non-idempotent requests are rejected.
    base::millis claim_window_ms = 600000;
    /// The maximum time that a pull waits for samples, in ms.
    base::millis pull_wait_ms = 2000;
    /// The average number of retries allowed per request.
    double retry_ratio = 0.1;
    /// The maximum time that an order to an engine may be in flight, in ms.
    base::millis order_life_ms = 5000;
};

/// The configuration document, which operators publish.
struct document {
    int schema = 1;
    std::vector<owner> owners;
    std::vector<pool> pools;
    std::vector<trainer> trainers;
    std::vector<service> services;
    limits limit;

    /// Returns the trainer of that name, or null.
    const trainer* find(const base::trainer_id& name) const;

    /// Returns the pool of that name, or null.
    const pool* find(const base::pool_id& name) const;

    /// Returns the service of that name, or null.
    const service* find(const base::service_id& name) const;
};

} // namespace hibiscus::document

namespace hibiscus::base {

template <>
struct enum_names<document::placement_kind> {
    static constexpr std::array<enum_name<document::placement_kind>, 5> table{{
        {document::placement_kind::least_admitted, "least_admitted"},
        {document::placement_kind::power_of_two, "power_of_two"},
        {document::placement_kind::prefix_affinity, "prefix_affinity"},
        {document::placement_kind::round_robin, "round_robin"},
        {document::placement_kind::random_choice, "random"},
    }};
};

template <>
struct enum_names<document::straggler_kind> {
    static constexpr std::array<enum_name<document::straggler_kind>, 3> table{{
        {document::straggler_kind::none, "none"},
        {document::straggler_kind::raise_priority, "raise_priority"},
        {document::straggler_kind::move, "move"},
    }};
};

template <>
struct enum_names<document::start_version_kind> {
    using kind = document::start_version_kind;
    static constexpr std::array<enum_name<kind>, 2> table{{
        {kind::within_bound, "within_bound"},
        {kind::expect_publish, "expect_publish"},
    }};
};

} // namespace hibiscus::base
