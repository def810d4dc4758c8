#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace hibiscus::telemetry {

/// Follows the results of calls that are repeated until they succeed, so that
/// the log gets a line for each change and not for each call.
class failure_streak {
public:
    /// Notes the result of a call: the kind of its failure, or an empty string.
    /// Returns the number of failures before a success, if there were more than
    /// were logged.
    std::optional<std::int64_t> update(const std::string& failure) {
        is_new_ = !failure.empty() && failure != last_failure_;
        last_failure_ = failure;
        if (!failure.empty()) {
            ++failures_;
            logged_ += is_new_ ? 1 : 0;
            return std::nullopt;
        }
        const auto logged = std::exchange(logged_, 0);
        const auto failures = std::exchange(failures_, 0);
        return failures > logged ? std::optional(failures) : std::nullopt;
    }

    /// Returns true if the last call failed in another way than the one before.
    bool is_new() const { return is_new_; }

private:
    std::string last_failure_;
    std::int64_t failures_ = 0;
    std::int64_t logged_ = 0;
    bool is_new_ = false;
};

} // namespace hibiscus::telemetry
