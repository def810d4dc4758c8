#include "support/fake_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace hibiscus::testing {

int run_fake_server(
    const std::string& address,
    const std::function<net::http_handler(boost::asio::io_context&)>&
        make_handler) {
    boost::asio::io_context io(1);
    const auto guard = boost::asio::make_work_guard(io);
    net::http_limits limits;
    limits.read_timeout_ms = 600000;
    limits.max_body_bytes = 64 * 1024 * 1024;
    net::http_server server(io, limits, make_handler(io));
    const auto requested = base::parse_endpoint(address);
    const auto bound = requested ? server.listen(*requested) : std::nullopt;
    if (!bound) {
        std::cerr << "cannot listen on " << address << '\n';
        return 1;
    }
    std::cout << "listening on " << base::to_string(*bound) << std::endl;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait(
        [&](const boost::system::error_code&, int) { io.stop(); });
    io.run();
    return 0;
}

std::int64_t parse_query_number(const std::string& target,
                                const std::string& key, std::int64_t fallback) {
    const auto query = target.find('?');
    if (query == std::string::npos) {
        return fallback;
    }
    const auto position =
        ("&" + target.substr(query + 1)).find("&" + key + "=");
    if (position == std::string::npos) {
        return fallback;
    }
    const auto value = target.substr(query + 1 + position + key.size() + 1);
    return std::strtoll(value.c_str(), nullptr, 10);
}

std::string strip_query(const std::string& target) {
    return target.substr(0, target.find('?'));
}

} // namespace hibiscus::testing
