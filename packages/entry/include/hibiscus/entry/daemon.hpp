#pragma once

#include "hibiscus/entry/settings.hpp"

#include <optional>
#include <string>

namespace hibiscus::entry {

/// An address on which the node can't listen.
struct listen_error {
    base::endpoint address;
};

/// Runs one entry node until SIGTERM or SIGINT. Persistent state is kept in the
/// store. The settings file at `path` is read again on SIGHUP and when it
/// changes. Returns an error if the node can't listen on an address.
std::optional<listen_error> run_node(const node_settings& settings,
                                     const std::string& path);

} // namespace hibiscus::entry
