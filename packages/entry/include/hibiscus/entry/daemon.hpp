#pragma once

#include "hibiscus/entry/settings.hpp"

#include <optional>
#include <string>

namespace hibiscus::entry {

/// An address that can't be had.
struct listen_error {
    base::endpoint address;
};

/// Runs one entry node that keeps what must last in the store, until SIGTERM.
/// `path` is read again on SIGHUP.
std::optional<listen_error> run_node(const node_settings& settings,
                                     const std::string& path);

} // namespace hibiscus::entry
