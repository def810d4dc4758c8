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
    least_admitted,  ///< The fewest streams for its slots.
    power_of_two,    ///< The better of two drawn at random.
    prefix_affinity, ///< A group's engine, unless it is too loaded.
    round_robin,     ///< Each in its turn.
    random_choice    ///< Any.
};

/// What is done about the last samples of a step, which hold it up.
enum class straggler_kind {
    none,           ///< Nothing.
    raise_priority, ///< Engines run them before others.
    move            ///< Also moved away from where they have not begun.
};

/// Which weight versions a sample may begin with.
enum class start_version_kind {
    within_bound,  ///< All inside the staleness bound at that time.
    expect_publish ///< Those that another publish leaves inside the bound.
};

/// Someone who pays for engines.
struct owner {
    base::owner_id name;
    /// The share of contended engines, relative to the other owners'.
    double weight = 1.0;
};

/// Engines that serve the same trainers.
struct pool {
    base::pool_id name;
    base::owner_id owner;
    /// How many streams one engine runs at a time.
    int slots_per_engine = 8;
    /// Streams admitted beyond the slots, as a share of them.
    double queue_share = 1.0;
    /// True if the engines refuse an order with an old fencing number.
    bool checks_fencing = true;
    /// The share of the engines that may swap versions at a time.
    double swap_share = 0.34;
    placement_kind placement = placement_kind::prefix_affinity;
    start_version_kind start_version = start_version_kind::expect_publish;
};

/// A trainer that draws samples.
struct trainer {
    base::trainer_id name;
    base::owner_id owner;
    base::pool_id pool;
    /// The share of a contended pool, relative to the other trainers'.
    double weight = 1.0;
    /// Engines run streams of a higher priority first.
    int priority = 0;
    /// How many versions a sample may be behind at its delivery.
    int staleness_bound = 1;
    straggler_kind stragglers = straggler_kind::raise_priority;
};

/// A service that answers requests.
struct service {
    base::service_id name;
    base::owner_id owner;
    /// Requests that one instance takes at a time from one entry.
    int max_in_flight = 64;
    /// Whether a call may be tried twice at the same time to cut its delay.
    bool hedge = false;
};

/// Limits that hold for the whole system.
struct limits {
    /// How long an answer of GET /v1/entries may be used, in ms.
    base::millis entries_ttl_ms = 2000;
    /// How long a claim is kept, in ms.
    base::millis claim_window_ms = 600000;
    /// The longest that a pull waits, in ms.
    base::millis pull_wait_ms = 2000;
    /// Retries allowed for each request on average.
    double retry_ratio = 0.1;
    /// How long an order to an engine may be on its way, in ms.
    base::millis order_life_ms = 5000;
};

/// The operators' document: everything that they decide.
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
