#include "idle_connection_pool.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <iterator>
#include <utility>

namespace hibiscus::transport {

namespace {

using boost::asio::ip::tcp;

bool has_no_unread_input(tcp::socket& socket, upstream_counts& counts) {
    char byte = 0;
    const auto received =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) {
        ++counts.unsolicited_reads;
    }
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::shared_ptr<tcp::socket>
idle_connection_pool::take(const base::endpoint& address, base::millis now,
                           upstream_counts& counts) {
    auto& connections = connections_[address];
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (now < connection.expires_at &&
            has_no_unread_input(*connection.socket, counts)) {
            return std::move(connection.socket);
        }
    }
    return nullptr;
}

void idle_connection_pool::close_expired(base::millis now) {
    for (auto entry = connections_.begin(); entry != connections_.end();) {
        auto& connections = entry->second;
        while (!connections.empty() && now >= connections.front().expires_at) {
            connections.pop_front();
        }
        entry =
            connections.empty() ? connections_.erase(entry) : std::next(entry);
    }
}

} // namespace hibiscus::transport
