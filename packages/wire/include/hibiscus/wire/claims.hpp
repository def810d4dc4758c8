#pragma once

#include "hibiscus/wire/platform.hpp"

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
