#pragma once

#include "hibiscus/net/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace hibiscus::testing {

/// Runs an HTTP server until SIGTERM or SIGINT: listens on `address`, prints
/// the line "listening on IP:PORT", and serves requests with the handler that
/// `make_handler` returns. The server has one thread, so handlers need no
/// locks. Returns the exit code of the program.
int run_fake_server(
    const std::string& address,
    const std::function<net::http_handler(boost::asio::io_context&)>&
        make_handler);

/// Returns the number under `key` in the query string of `target`, or
/// `fallback` if the key is missing.
std::int64_t parse_query_number(const std::string& target,
                                const std::string& key, std::int64_t fallback);

/// Returns `target` without its query string.
std::string strip_query(const std::string& target);

} // namespace hibiscus::testing
