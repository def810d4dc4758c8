#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/enum_names.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <random>
#include <string>

namespace hibiscus::testing {

/// A change of a prefix in the cache of an engine.
enum class cache_event_kind { stored, evicted };

} // namespace hibiscus::testing

namespace hibiscus::base {

template <>
struct enum_names<testing::cache_event_kind> {
    static constexpr std::array<enum_name<testing::cache_event_kind>, 2> table{{
        {testing::cache_event_kind::stored, "stored"},
        {testing::cache_event_kind::evicted, "evicted"},
    }};
};

} // namespace hibiscus::base

namespace hibiscus::testing {

/// Publishes the events of an engine's prefix cache with a delay. Lost events
/// leave gaps in the sequence numbers, which readers can detect. Does not model
/// repeated or reordered events.
class cache_event_log {
public:
    /// Constructs a log that publishes events `lag_ms` after they occur and
    /// loses `loss_percent` of them.
    cache_event_log(base::millis lag_ms, int loss_percent)
        : lag_ms_(lag_ms), loss_percent_(loss_percent) {}

    /// Records an event, unless it is one of the lost ones.
    void append(base::millis now, cache_event_kind kind,
                const std::string& prefix) {
        ++last_sequence_;
        std::uniform_int_distribution<int> percent_distribution(0, 99);
        if (percent_distribution(random_) >= loss_percent_) {
            events_.push_back({last_sequence_, now, kind, prefix});
        }
        if (events_.size() > max_events) {
            events_.pop_front();
        }
    }

    /// Returns the published events with a sequence number of at least `from`,
    /// and the sequence number to continue from.
    nlohmann::json page(std::int64_t from, base::millis now) const {
        auto events = nlohmann::json::array();
        auto next = from;
        for (const auto& event : events_) {
            if (event.sequence >= from && event.at + lag_ms_ <= now) {
                events.push_back({{"sequence", event.sequence},
                                  {"kind", base::name_of(event.kind)},
                                  {"prefix", event.prefix}});
                next = std::max(next, event.sequence + 1);
            }
        }
        return {{"next", next}, {"events", std::move(events)}};
    }

private:
    static constexpr std::size_t max_events = 10000;

    struct cache_event {
        std::int64_t sequence;
        base::millis at;
        cache_event_kind kind;
        std::string prefix;
    };

    base::millis lag_ms_;
    int loss_percent_;
    std::int64_t last_sequence_ = 0;
    std::deque<cache_event> events_;
    std::mt19937_64 random_{2};
};

} // namespace hibiscus::testing
