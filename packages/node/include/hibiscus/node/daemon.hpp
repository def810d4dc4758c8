#pragma once

#include "hibiscus/node/settings.hpp"

#include <memory>

namespace hibiscus::node {

/// The address on which a daemon could not listen.
struct listen_error {
    base::endpoint address;
};

/// One hibiscusd process: owns its components and threads.
class daemon {
public:
    /// Constructs the components without listening yet.
    explicit daemon(const settings& config);

    ~daemon();

    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Listens and serves until SIGTERM or SIGINT is received, then shuts down
    /// gracefully. Returns an error if an address cannot be bound.
    std::optional<listen_error> run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hibiscus::node
