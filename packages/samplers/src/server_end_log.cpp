#include "hibiscus/samplers/server_end_log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hibiscus::samplers {

namespace {

/// How long an end is remembered, in ms.
constexpr base::millis retention_ms = 60000;

} // namespace

void server_end_log::add(server_end end) {
    forget_expired();
    ends_.push_back(std::move(end));
    ++change_count_;
}

void server_end_log::forget_expired() {
    const auto is_expired = [now = clock_.now()](const server_end& end) {
        return now - end.ended_at > retention_ms;
    };
    ends_.erase(std::remove_if(ends_.begin(), ends_.end(), is_expired),
                ends_.end());
    for (auto row = removed_.begin(); row != removed_.end();) {
        row = is_expired(row->second) ? removed_.erase(row) : std::next(row);
    }
}

void server_end_log::on_replaced(const server_end& former) {
    auto end = former;
    end.ended_at = clock_.now();
    add(std::move(end));
}

void server_end_log::on_removed(const server_end& former) {
    forget_expired();
    removed_[former.server] = former;
}

void server_end_log::on_added(const sampler_id& server,
                              std::int64_t started_ms) {
    const auto former = removed_.find(server);
    if (former == removed_.end()) {
        return;
    }
    auto end = std::move(former->second);
    removed_.erase(former);
    if (end.started_ms != started_ms) {
        add(std::move(end));
    }
}

} // namespace hibiscus::samplers
