#include "hibiscus/gateway/access.hpp"

#include "hibiscus/base/result.hpp"

namespace hibiscus::gateway {

namespace {

access_decision deny(access_reason reason) {
    return {access_outcome::unauthorized, reason, nullptr};
}

access_decision decide_by_key(const workspace_directory& workspaces,
                              const api_key& key, base::millis view_age,
                              const access_limits& limits) {
    const auto* holder = workspaces.find_by_key(key.value);
    if (holder == nullptr) {
        return view_age <= limits.max_age_to_deny
                   ? deny(access_reason::key_unknown)
                   : access_decision{access_outcome::undecided,
                                     access_reason::view_too_old_to_deny,
                                     nullptr};
    }
    if (limits.max_age_to_grant > 0 && view_age > limits.max_age_to_grant) {
        return {access_outcome::undecided, access_reason::view_too_old_to_grant,
                nullptr};
    }
    return {access_outcome::granted, access_reason::key_known, holder};
}

} // namespace

access_decision decide_access(const configuration& c, bool is_public,
                              const credential& presented,
                              base::millis view_age,
                              const access_limits& limits) {
    if (!c.workspaces) {
        return {access_outcome::granted, access_reason::no_workspaces, nullptr};
    }
    if (is_public) {
        return {access_outcome::granted, access_reason::public_route, nullptr};
    }
    return std::visit(
        base::overloaded{[](const no_credential&) {
                             return deny(access_reason::key_missing);
                         },
                         [](const malformed_credential&) {
                             return deny(access_reason::key_malformed);
                         },
                         [&](const api_key& key) {
                             return decide_by_key(*c.workspaces, key, view_age,
                                                  limits);
                         }},
        presented);
}

} // namespace hibiscus::gateway
