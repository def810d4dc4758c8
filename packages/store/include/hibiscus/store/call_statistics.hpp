#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace hibiscus::store {

/// Number and size of the calls to one topic.
struct call_totals {
    std::uint64_t reads = 0;
    std::uint64_t appends = 0;
    /// Calls that the store or a relaying peer refused, or that got no
    /// response. They are also counted as reads or appends.
    std::uint64_t failed = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
};

/// The load that this process puts on the store, by topic.
class call_statistics {
public:
    /// Counts one call. The sizes are those of the bodies, in bytes.
    void record_call(const std::string& topic, bool is_append, bool served,
                     std::size_t sent_bytes, std::size_t received_bytes) {
        auto& totals = by_topic_[topic];
        ++(is_append ? totals.appends : totals.reads);
        totals.failed += served ? 0 : 1;
        totals.sent_bytes += sent_bytes;
        totals.received_bytes += received_bytes;
    }

    const std::map<std::string, call_totals>& by_topic() const {
        return by_topic_;
    }

private:
    std::map<std::string, call_totals> by_topic_;
};

} // namespace hibiscus::store
