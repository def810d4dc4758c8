#pragma once

#include "hibiscus/wire/platform.hpp"

#include <optional>
#include <vector>

namespace hibiscus::wire {

/// The kind of an entry in a claim record.
enum class claim_kind {
    claim,   ///< The shard's holder in the epoch may dispatch the request.
    outcome, ///< The request ran; `body` is its response.
    release  ///< The holder did not dispatch the request and never will.
};

/// An entry of a claim record, about the request `key`.
struct claim_item {
    claim_kind kind = claim_kind::claim;
    base::request_id key;
    /// The offset of the epoch record under which the claim was made.
    log_offset epoch = 0;
    /// The wall-clock time at which the caller created the request.
    base::millis created_ms = 0;
    std::string body;
};

/// The last record that one writer appended to a shard's stream.
struct claim_writer {
    base::node_id node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// The offset of the record.
    log_offset at = 0;
};

/// One part of a snapshot of the state after all records before `covers`. A
/// reader that has all parts does not need these records.
struct claim_snapshot {
    log_offset covers = 0;
    /// The number of this part, from 0, and the number of all parts.
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    /// The current epoch; -1 if there is none.
    log_offset epoch = -1;
    base::node_id holder;
    std::uint64_t incarnation = 0;
    /// Claims of requests created before this wall-clock time may be missing.
    base::millis forgotten_before = 0;
    std::vector<claim_writer> writers;
    /// The claims in force. One whose response is known is stored as an
    /// outcome.
    std::vector<claim_item> claims;
};

/// A record of the claim stream of a shard.
struct claim_record {
    base::node_id node;
    std::uint64_t incarnation = 0;
    /// Increases with each record of this node and incarnation. A retried
    /// append can leave two records with the same number.
    std::uint64_t sequence = 0;
    /// True if the record starts an epoch in which its writer holds the shard.
    bool starts_epoch = false;
    std::vector<claim_item> items;
    std::optional<claim_snapshot> snapshot;
};

} // namespace hibiscus::wire

namespace hibiscus::base {

template <>
struct enum_names<wire::claim_kind> {
    static constexpr std::array<enum_name<wire::claim_kind>, 3> table{{
        {wire::claim_kind::claim, "claim"},
        {wire::claim_kind::outcome, "outcome"},
        {wire::claim_kind::release, "release"},
    }};
};

} // namespace hibiscus::base
