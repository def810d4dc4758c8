#include "hibiscus/policy/usage.hpp"

#include <algorithm>

namespace hibiscus::policy {

namespace {

int total(const std::map<base::owner_id, int>& streams) {
    int sum = 0;
    for (const auto& [owner, count] : streams) {
        sum += count;
    }
    return sum;
}

} // namespace

void usage_account::add(base::millis now,
                        const std::vector<engine_use>& engines,
                        base::millis longest) {
    const auto passed = now - last_;
    const bool first = last_ == 0;
    last_ = now;
    if (first || passed <= 0 || passed > longest) {
        return;
    }
    int queued = 0;
    for (const auto& engine : engines) {
        queued += total(engine.queued);
    }
    for (const auto& engine : engines) {
        charge(static_cast<double>(passed), engine,
               queued - total(engine.queued));
    }
}

void usage_account::charge(double ms, const engine_use& engine,
                           int queued_elsewhere) {
    for (const auto& [owner, count] : engine.running) {
        owners_[owner].used_ms += ms * count;
    }
    for (const auto& [owner, count] : engine.queued) {
        owners_[owner].queued_ms += ms * count;
    }
    const int idle = std::max(0, engine.slots - total(engine.running));
    auto& payer = owners_[engine.owner];
    payer.idle_ms += ms * idle;
    payer.idle_while_queued_ms += ms * std::min(idle, queued_elsewhere);
}

} // namespace hibiscus::policy
