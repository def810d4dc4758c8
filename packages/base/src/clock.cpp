#include "hibiscus/base/clock.hpp"

#include "hibiscus/base/result.hpp"

#include <chrono>
#include <ctime>

namespace hibiscus::base {

namespace {

template <class Clock>
millis read_clock() {
    const auto elapsed = Clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)
        .count();
}

} // namespace

clock::clock(std::shared_ptr<const manual_time> time)
    : source_(std::move(time)) {}

millis clock::now() const {
    return std::visit(
        overloaded{[](const system_source&) {
                       return read_clock<std::chrono::steady_clock>();
                   },
                   [](const std::shared_ptr<const manual_time>& time) {
                       return time->now();
                   }},
        source_);
}

millis clock::wall_time() const {
    return std::visit(
        overloaded{[](const system_source&) {
                       return read_clock<std::chrono::system_clock>();
                   },
                   [](const std::shared_ptr<const manual_time>& time) {
                       return time->now();
                   }},
        source_);
}

millis clock::boot_time() const {
    return std::visit(
        overloaded{[](const system_source&) {
                       constexpr millis ms_per_s = 1000;
                       constexpr millis ns_per_ms = 1000000;
                       timespec boot{};
                       ::clock_gettime(CLOCK_BOOTTIME, &boot);
                       return static_cast<millis>(boot.tv_sec) * ms_per_s +
                              static_cast<millis>(boot.tv_nsec) / ns_per_ms;
                   },
                   [](const std::shared_ptr<const manual_time>& time) {
                       return time->now();
                   }},
        source_);
}

} // namespace hibiscus::base
