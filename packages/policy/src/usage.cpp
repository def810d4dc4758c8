#include "hibiscus/policy/usage.hpp"

#include <algorithm>

namespace hibiscus::policy {

namespace {

int total_streams(const std::map<base::owner_id, int>& streams) {
    int sum = 0;
    for (const auto& [owner, count] : streams) {
        sum += count;
    }
    return sum;
}

} // namespace

void usage_meter::add_interval(base::millis now,
                               const std::vector<engine_usage>& engines,
                               base::millis max_interval_ms) {
    const auto elapsed = now - last_added_at_;
    const bool first = last_added_at_ == 0;
    last_added_at_ = now;
    if (first || elapsed <= 0 || elapsed > max_interval_ms) {
        return;
    }
    int queued = 0;
    for (const auto& engine : engines) {
        queued += total_streams(engine.queued);
    }
    for (const auto& engine : engines) {
        charge(static_cast<double>(elapsed), engine,
               queued - total_streams(engine.queued));
    }
}

void usage_meter::charge(double ms, const engine_usage& engine,
                         int queued_elsewhere) {
    for (const auto& [owner, count] : engine.running) {
        owners_[owner].used_ms += ms * count;
    }
    for (const auto& [owner, count] : engine.queued) {
        owners_[owner].queued_ms += ms * count;
    }
    const int idle = std::max(0, engine.slots - total_streams(engine.running));
    auto& payer = owners_[engine.owner];
    payer.idle_ms += ms * idle;
    payer.idle_while_queued_ms += ms * std::min(idle, queued_elsewhere);
}

} // namespace hibiscus::policy
