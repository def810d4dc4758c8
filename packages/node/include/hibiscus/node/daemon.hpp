#pragma once

#include "hibiscus/node/settings.hpp"

#include <memory>

namespace hibiscus::node {

/// Why a daemon could not start.
struct listen_error {
    base::endpoint address;
};

/// One hibiscusd: all of its parts and threads.
class daemon {
public:
    /// Constructs the parts; nothing listens yet.
    explicit daemon(const settings& config);

    /// Joins the threads.
    ~daemon();

    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Listens and runs until SIGTERM or SIGINT has led to a graceful
    /// shutdown. Returns an error if an address cannot be had.
    std::optional<listen_error> run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hibiscus::node
