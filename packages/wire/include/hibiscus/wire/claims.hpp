#pragma once

#include "hibiscus/wire/platform.hpp"

#include <optional>
#include <vector>

namespace hibiscus::wire {

/// What a claim record says about a key.
enum class claim_kind {
    claim,   ///< The holder of the epoch may dispatch the request.
    outcome, ///< The request ran; the body is its answer.
    release  ///< The holder did not dispatch and never will.
};

/// One entry of a claim record.
struct claim_item {
    claim_kind kind = claim_kind::claim;
    base::request_id key;
    /// The offset of the epoch record under which the claim was made.
    log_offset epoch = 0;
    /// When the caller first made the request, by the time of day.
    base::millis created_ms = 0;
    std::string body;
};

/// The last record of one writer of a shard's stream.
struct claim_writer {
    base::node_id node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// The offset of that record.
    log_offset at = 0;
};

/// A part of what the records before `covers` say, so that they are not
/// needed any more.
struct claim_snapshot {
    log_offset covers = 0;
    /// Which part this is, from 0, and how many there are.
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    /// The epoch in force; -1 if none.
    log_offset epoch = -1;
    base::node_id holder;
    std::uint64_t incarnation = 0;
    /// Claims of requests made before this time of day may be missing.
    base::millis forgotten_before = 0;
    std::vector<claim_writer> writers;
    /// Claims that stand; as an outcome if the answer is known.
    std::vector<claim_item> claims;
};

/// A record of a shard's stream.
struct claim_record {
    base::node_id node;
    std::uint64_t incarnation = 0;
    /// Grows with each record of this node and incarnation. An append that
    /// was tried twice leaves two records of the same number.
    std::uint64_t sequence = 0;
    /// True if the record makes its writer the shard's holder.
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
