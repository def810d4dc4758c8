#pragma once

#include "hibiscus/net/http_client.hpp"
#include "hibiscus/wire/platform.hpp"

#include <functional>
#include <optional>

namespace hibiscus::platform {

/// Fetches the platform's list of instances.
class instance_client {
public:
    /// Constructs a client of the service at `target`.
    instance_client(net::http_client& http, base::endpoint target);

    /// Fetches the complete list. Calls `done` with nullopt on failure.
    void fetch(std::function<void(std::optional<wire::instance_list>)> done);

private:
    net::http_client& http_;
    base::endpoint target_;
};

} // namespace hibiscus::platform
