#include "hibiscus/transport/server_resources.hpp"

#include "connection_table.hpp"

namespace hibiscus::transport {

server_resources::server_resources()
    : connections_(std::make_unique<connection_table>()) {}

server_resources::~server_resources() = default;

void server_resources::set_buffer_limits(peer_buffer_limits limits) {
    connections_->buffers().set_limits(limits);
}

void server_resources::set_max_connections(std::size_t count) {
    connections_->set_max_connections(count);
}

const peer_buffers& server_resources::buffers() const {
    return connections_->buffers();
}

std::size_t server_resources::open_connections() const {
    return connections_->size();
}

std::uint64_t server_resources::displaced_connections() const {
    return connections_->displaced();
}

} // namespace hibiscus::transport
