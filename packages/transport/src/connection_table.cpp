#include "connection_table.hpp"

#include "server_session.hpp"

#include <algorithm>

namespace hibiscus::transport {

namespace {

/// Time without progress after which a request has to make room for others, in
/// ms. Longer than a lost packet takes to be sent again.
constexpr base::millis max_stall_ms = 2000;

/// Maximum number of bytes per read.
constexpr std::size_t read_bytes = 64 * 1024;

double cost(std::size_t bytes, base::millis stall_ms) {
    return static_cast<double>(bytes) * static_cast<double>(1 + stall_ms);
}

} // namespace

connection_table::connection_id
connection_table::insert(server_session& session) {
    sessions_[++last_id_] = &session;
    return last_id_;
}

server_session* connection_table::find(connection_id id) const {
    const auto entry = sessions_.find(id);
    return entry == sessions_.end() ? nullptr : entry->second;
}

void connection_table::make_request_room(server_session& session,
                                         base::millis now) {
    while (buffers_.has_request_excess()) {
        auto* chosen = choose_stalled_request(now);
        chosen = chosen == nullptr ? choose_unreserved_request(now) : chosen;
        if (chosen == nullptr) {
            break;
        }
        chosen->give_up_request(reject_cause::no_room);
    }
    if (buffers_.lacks_head_room(session.head_bytes())) {
        session.give_up_request(reject_cause::no_room);
    }
}

void connection_table::give_up_stalled_request(base::millis now) {
    if (auto* session = choose_stalled_request(now)) {
        session->give_up_request(reject_cause::no_room);
    }
}

server_session*
connection_table::choose_stalled_request(base::millis now) const {
    return choose_request([now](const server_session& s) {
        const auto stall_ms = now - s.input_progress_at();
        return stall_ms < max_stall_ms ? 0 : cost(s.input_bytes(), stall_ms);
    });
}

server_session*
connection_table::choose_unreserved_request(base::millis now) const {
    return choose_request([now](const server_session& s) {
        return cost(s.unreserved_bytes(), now - s.input_progress_at());
    });
}

template <class Cost>
server_session* connection_table::choose_request(Cost cost_of) const {
    server_session* chosen = nullptr;
    double most = 0;
    for (const auto& [id, session] : sessions_) {
        const double cost = cost_of(*session);
        if (cost > most) {
            chosen = session;
            most = cost;
        }
    }
    return chosen;
}

bool connection_table::make_place(base::millis now) {
    while (sessions_.size() >= max_connections_) {
        ++displaced_;
        auto* session = find_longest_idle(now);
        if (session == nullptr) {
            return false;
        }
        session->close_for_another();
    }
    return true;
}

server_session* connection_table::find_longest_idle(base::millis now) const {
    server_session* longest = nullptr;
    base::millis longest_ms = -1;
    for (const auto& [id, session] : sessions_) {
        const auto idle_ms = session->idle_ms(now);
        if (idle_ms > longest_ms) {
            longest = session;
            longest_ms = idle_ms;
        }
    }
    return longest;
}

boost::asio::mutable_buffer
connection_table::prepare_read(std::string_view kept) {
    if (read_buffer_.size() < kept.size() + read_bytes) {
        read_buffer_.resize(kept.size() + read_bytes);
    }
    std::copy(kept.begin(), kept.end(), read_buffer_.begin());
    return boost::asio::buffer(read_buffer_.data() + kept.size(), read_bytes);
}

std::string_view connection_table::received(std::size_t size) const {
    return {read_buffer_.data(), size};
}

} // namespace hibiscus::transport
