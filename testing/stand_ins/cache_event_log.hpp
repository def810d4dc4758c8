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

/// What happened to a prefix in an engine's cache.
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

/// The events of an engine's prefix cache, which are published late. Some are
/// lost; their sequence numbers are missing, so that a reader sees the gap.
/// Repeated and reordered events are not modelled.
class cache_event_log {
public:
    /// Constructs a list whose events are seen after `lag_ms`, except for
    /// `gap_percent` of them.
    cache_event_log(base::millis lag_ms, int gap_percent)
        : lag_ms_(lag_ms), gap_percent_(gap_percent) {}

    /// Adds an event.
    void append(base::millis now, cache_event_kind kind,
                const std::string& prefix) {
        ++last_sequence_;
        std::uniform_int_distribution<int> percent(0, 99);
        if (percent(random_) >= gap_percent_) {
            events_.push_back({last_sequence_, now, kind, prefix});
        }
        if (events_.size() > max_events) {
            events_.pop_front();
        }
    }

    /// Returns the events from the sequence number `from` on that can be seen.
    nlohmann::json page(std::int64_t from, base::millis now) const {
        auto events = nlohmann::json::array();
        auto next = from;
        for (const auto& row : events_) {
            if (row.sequence >= from && row.at + lag_ms_ <= now) {
                events.push_back({{"sequence", row.sequence},
                                  {"kind", base::name_of(row.kind)},
                                  {"prefix", row.prefix}});
                next = std::max(next, row.sequence + 1);
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
    int gap_percent_;
    std::int64_t last_sequence_ = 0;
    std::deque<cache_event> events_;
    std::mt19937_64 random_{2};
};

} // namespace hibiscus::testing
