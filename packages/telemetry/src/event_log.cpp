#include "hibiscus/telemetry/event_log.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

namespace hibiscus::telemetry {

namespace {

constexpr base::millis second_ms = 1000;

/// Lines are written once so many bytes are held, without waiting for the
/// next flush.
constexpr std::size_t write_bytes = 32 * 1024;

} // namespace

event_log::event_log(const base::node_id& node, int descriptor,
                     event_log_limits limits, base::clock clock)
    : node_(node.str()), descriptor_(descriptor), limits_(limits),
      clock_(std::move(clock)) {
    // A reader that stops would otherwise stop the process with it.
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

event_log::~event_log() {
    flush();
}

bool event_log::take_token() {
    const auto now = clock_.now();
    if (now - second_ >= second_ms) {
        second_ = now;
        lines_ = 0;
    }
    return ++lines_ <= limits_.lines_per_s;
}

void event_log::write(const char* event,
                      std::initializer_list<log_value> values) {
    if (!take_token() || held_.size() > limits_.held_bytes) {
        ++dropped_;
        return;
    }
    nlohmann::ordered_json line{{"t", clock_.wall()},
                                {"mono", clock_.now()},
                                {"node", node_},
                                {"event", event}};
    if (dropped_ != told_) {
        line["dropped_lines"] = dropped_ - told_;
        told_ = dropped_;
    }
    for (const auto& v : values) {
        std::visit([&](const auto& value) { line[v.name] = value; }, v.value);
    }
    held_ += line.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
    held_ += '\n';
    if (held_.size() > write_bytes) {
        flush();
    }
}

void event_log::flush() {
    while (!held_.empty()) {
        const auto n = ::write(descriptor_, held_.data(), held_.size());
        if (n <= 0) {
            return;
        }
        held_.erase(0, static_cast<std::size_t>(n));
    }
}

} // namespace hibiscus::telemetry
