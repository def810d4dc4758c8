#pragma once

#include "hibiscus/net/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace hibiscus::testing {

/// Runs a stand-in until SIGTERM: listens on `address`, prints the line
/// "listening on IP:PORT", and answers with what `make` returns. The context
/// is run by one thread, so handlers need no lock. Returns the exit code.
int run_fake_server(
    const std::string& address,
    const std::function<net::http_handler(boost::asio::io_context&)>& make);

/// Returns the value of `key` in the query of `target`, or `fallback`.
std::int64_t parse_query_number(const std::string& target,
                                const std::string& key, std::int64_t fallback);

/// Returns the path of `target` without its query.
std::string strip_query(const std::string& target);

} // namespace hibiscus::testing
