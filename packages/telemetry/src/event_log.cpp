#include "hibiscus/telemetry/event_log.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

namespace hibiscus::telemetry {

namespace {

constexpr base::millis rate_window_ms = 1000;

/// Once the buffer exceeds this size, it is written without waiting for the
/// next flush().
constexpr std::size_t flush_threshold_bytes = 32 * 1024;

} // namespace

event_log::event_log(const base::node_id& node, int descriptor,
                     event_log_limits limits, base::clock clock)
    : node_(node.str()), descriptor_(descriptor), limits_(limits),
      clock_(std::move(clock)) {
    // A write to a pipe whose reader has stopped reading would otherwise block
    // the process.
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

event_log::~event_log() {
    flush();
}

bool event_log::count_line_against_limit() {
    const auto now = clock_.now();
    if (now - rate_window_start_ >= rate_window_ms) {
        rate_window_start_ = now;
        lines_in_window_ = 0;
    }
    return ++lines_in_window_ <= limits_.max_lines_per_s;
}

void event_log::write(const char* event,
                      std::initializer_list<log_field> fields) {
    if (!count_line_against_limit() ||
        buffer_.size() > limits_.max_buffered_bytes) {
        ++dropped_lines_;
        return;
    }
    nlohmann::ordered_json line{{"t", clock_.wall_time()},
                                {"mono", clock_.now()},
                                {"node", node_},
                                {"event", event}};
    if (dropped_lines_ != reported_dropped_lines_) {
        line["dropped_lines"] = dropped_lines_ - reported_dropped_lines_;
        reported_dropped_lines_ = dropped_lines_;
    }
    for (const auto& field : fields) {
        std::visit([&](const auto& value) { line[field.name] = value; },
                   field.value);
    }
    buffer_ += line.dump(-1, ' ', false,
                         nlohmann::ordered_json::error_handler_t::replace);
    buffer_ += '\n';
    if (buffer_.size() > flush_threshold_bytes) {
        flush();
    }
}

void event_log::flush() {
    while (!buffer_.empty()) {
        const auto written =
            ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written <= 0) {
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace hibiscus::telemetry
