#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/gateway/configuration.hpp"

#include <array>
#include <string>
#include <variant>

/// Decides whether a caller may use a route, from the API key that its request
/// carries and from the age of this node's view of the configuration.
namespace hibiscus::gateway {

/// The request carries no API key.
struct no_credential {};

/// The request carries something that can't be read as exactly one API key.
struct malformed_credential {};

struct api_key {
    std::string value;
};

using credential = std::variant<no_credential, malformed_credential, api_key>;

enum class access_outcome {
    granted,
    /// The request has no valid key. The caller should not retry it.
    unauthorized,
    /// The configuration that this node has is too old to decide.
    undecided,
};

enum class access_reason {
    no_workspaces,
    public_route,
    key_known,
    key_missing,
    key_malformed,
    key_unknown,
    /// The key is unknown, but may have been added since.
    view_too_old_to_deny,
    /// The key is known, but may have been withdrawn since.
    view_too_old_to_grant,
};

struct access_decision {
    access_outcome outcome = access_outcome::undecided;
    access_reason reason = access_reason::no_workspaces;
    /// The workspace that holds the key; null unless access was granted by a
    /// key. Valid as long as the configuration.
    const workspace* holder = nullptr;
};

/// How old a view of the configuration may be, in ms.
struct access_limits {
    /// With an older view, an unknown key or route is not denied: it may have
    /// been added since.
    base::millis max_age_to_deny = 3000;
    /// With an older view, a known key is not accepted: it may have been
    /// withdrawn since. 0 for no limit.
    base::millis max_age_to_grant = 0;
};

/// Decides on a request to a route that is public or not. `view_age` is the
/// time since `c` was known to be the newest configuration, in ms.
access_decision decide_access(const configuration& c, bool is_public,
                              const credential& presented,
                              base::millis view_age,
                              const access_limits& limits);

} // namespace hibiscus::gateway

namespace hibiscus::base {

template <>
struct enum_names<gateway::access_reason> {
    static constexpr std::array<enum_name<gateway::access_reason>, 8> table{{
        {gateway::access_reason::no_workspaces, "no_workspaces"},
        {gateway::access_reason::public_route, "public_route"},
        {gateway::access_reason::key_known, "key_known"},
        {gateway::access_reason::key_missing, "key_missing"},
        {gateway::access_reason::key_malformed, "key_malformed"},
        {gateway::access_reason::key_unknown, "key_unknown"},
        {gateway::access_reason::view_too_old_to_deny, "view_too_old_to_deny"},
        {gateway::access_reason::view_too_old_to_grant,
         "view_too_old_to_grant"},
    }};
};

} // namespace hibiscus::base
