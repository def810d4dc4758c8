#pragma once

#include <cstddef>

namespace hibiscus::transport {

/// Accounts for what a process keeps of the responses of servers until it has
/// used them or can pass them on. Each response may take a part of what is
/// free, so that many that don't end leave room for others.
class response_buffers {
public:
    /// Sets the bytes that all responses together may take.
    void set_total(std::size_t bytes) { total_ = bytes; }

    /// Changes what one response takes from `before` to `after` bytes. Returns
    /// false, and changes nothing, if that is more than its part. One that gets
    /// smaller, or stays below one read, always has room.
    bool resize(std::size_t before, std::size_t after);

    /// Bytes that are kept, now and at most so far.
    std::size_t held() const { return held_; }
    std::size_t peak() const { return peak_; }

private:
    std::size_t total_ = std::size_t{24} * 1024 * 1024;
    std::size_t held_ = 0;
    std::size_t peak_ = 0;
};

} // namespace hibiscus::transport
