#include "hibiscus/transport/peer_buffers.hpp"

#include <algorithm>

namespace hibiscus::transport {

namespace {

/// The smallest share of a connection, in bytes: one read of a source.
constexpr std::size_t min_share_bytes = 16 * 1024;

/// The part of the free room that one response may take before its source
/// pauses, and at once if it can't pause. A fraction of what is free, so that
/// each further slow caller gets less and the total is approached, not passed.
constexpr std::size_t share_divisor = 128;
constexpr std::size_t room_divisor = 16;

/// The part of the free room that the head of a request may take, and what each
/// may take as long as there is room at all, in bytes.
constexpr std::size_t head_divisor = 8;
constexpr std::size_t small_head_bytes = 4 * 1024;

} // namespace

void peer_buffers::add(connection_id connection, std::size_t bytes,
                       base::millis now) {
    auto& h = holdings_.try_emplace(connection, holding{0, now}).first->second;
    h.bytes += bytes;
    response_bytes_ += bytes;
    update_peak();
}

void peer_buffers::on_progress(connection_id connection, std::size_t bytes,
                               base::millis now) {
    const auto entry = holdings_.find(connection);
    if (entry == holdings_.end()) {
        return;
    }
    const auto taken = std::min(bytes, entry->second.bytes);
    entry->second.bytes -= taken;
    entry->second.progress_at = now;
    response_bytes_ -= taken;
    if (entry->second.bytes == 0) {
        holdings_.erase(entry);
    }
}

void peer_buffers::erase(connection_id connection) {
    const auto entry = holdings_.find(connection);
    if (entry != holdings_.end()) {
        response_bytes_ -= entry->second.bytes;
        holdings_.erase(entry);
    }
}

bool peer_buffers::reserve_request(std::size_t bytes, std::size_t reserved) {
    const bool is_single = reserved_bytes_ <= reserved;
    if (!is_single && reserved_bytes_ + bytes > max_reserved_bytes()) {
        return false;
    }
    reserved_bytes_ += bytes;
    update_peak();
    return true;
}

void peer_buffers::release_request(std::size_t bytes) {
    reserved_bytes_ -= std::min(bytes, reserved_bytes_);
}

void peer_buffers::count_unreserved(std::ptrdiff_t bytes) {
    unreserved_bytes_ += static_cast<std::size_t>(bytes);
    update_peak();
}

bool peer_buffers::has_request_excess() const {
    return unreserved_bytes_ > max_unreserved_bytes();
}

bool peer_buffers::lacks_head_room(std::size_t bytes) const {
    const auto max = max_unreserved_bytes();
    const auto free = max - std::min(max, unreserved_bytes_) + bytes;
    return bytes > std::max(small_head_bytes, free / head_divisor);
}

std::size_t peer_buffers::max_unreserved_bytes() const {
    const auto max = max_reserved_bytes();
    return max / 4 + max - std::min(max, reserved_bytes_);
}

std::size_t peer_buffers::max_reserved_bytes() const {
    return limits_.request_bytes > 0 ? limits_.request_bytes
                                     : limits_.total_bytes / 2;
}

std::size_t peer_buffers::free_bytes() const {
    return limits_.total_bytes - std::min(limits_.total_bytes, response_bytes_);
}

std::size_t peer_buffers::share() const {
    return std::clamp(free_bytes() / share_divisor, min_share_bytes,
                      std::max(limits_.connection_bytes, min_share_bytes));
}

bool peer_buffers::is_full(connection_id connection) const {
    const auto entry = holdings_.find(connection);
    return entry != holdings_.end() && entry->second.bytes >= share();
}

std::size_t peer_buffers::room() const {
    return free_bytes() < min_share_bytes
               ? 0
               : std::max(min_share_bytes, free_bytes() / room_divisor);
}

std::optional<peer_buffers::connection_id> peer_buffers::find_excess() const {
    if (response_bytes_ <= limits_.total_bytes) {
        return std::nullopt;
    }
    return std::max_element(holdings_.begin(), holdings_.end(),
                            [](const auto& a, const auto& b) {
                                return a.second.bytes < b.second.bytes;
                            })
        ->first;
}

std::optional<peer_buffers::connection_id>
peer_buffers::find_stalled(base::millis now) const {
    const auto entry =
        std::find_if(holdings_.begin(), holdings_.end(), [&](const auto& row) {
            return now - row.second.progress_at > limits_.stall_timeout_ms;
        });
    return entry == holdings_.end() ? std::nullopt
                                    : std::optional(entry->first);
}

void peer_buffers::update_peak() {
    peak_ = std::max(peak_, held());
}

} // namespace hibiscus::transport
