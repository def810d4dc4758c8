#include "hibiscus/base/wall_clock_guard.hpp"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace hibiscus::base {

namespace {

/// A larger change of the time of day against the boot clock between two
/// readings is a step, in ms.
constexpr millis min_step_ms = 200;

/// Maximum difference from the other machines, in ms. Their estimates arrive up
/// to a second late.
constexpr millis max_peer_difference_ms = 1500;

/// Minimum number of other machines that can outvote this one.
constexpr std::size_t min_peers = 3;

/// Number of observations from which a peer counts. The first may be of a
/// message that is much older than the others.
constexpr std::size_t min_observations = 3;

constexpr std::size_t max_observations = 8;

} // namespace

millis wall_clock_guard::true_time(const clock_reading& reading) {
    const auto wall_offset = reading.wall - reading.boot;
    if (!offset_) {
        offset_ = wall_offset;
        last_wall_offset_ = wall_offset;
    }
    if (std::abs(wall_offset - last_wall_offset_) > min_step_ms) {
        ++ignored_steps_;
        // A clock that returns to the estimate is trusted again.
        following_ = std::abs(wall_offset - *offset_) <= min_step_ms;
    }
    last_wall_offset_ = wall_offset;
    if (following_) {
        offset_ = wall_offset;
    }
    const auto peers = peer_offset();
    if (peers && std::abs(*peers - *offset_) > max_peer_difference_ms) {
        offset_ = peers;
        following_ = std::abs(wall_offset - *offset_) <= min_step_ms;
    }
    return reading.boot + *offset_;
}

void wall_clock_guard::on_peer_time(const std::string& peer,
                                    millis peer_true_time,
                                    const clock_reading& reading) {
    auto& offsets = peer_offsets_[peer];
    offsets.push_back(peer_true_time - reading.boot);
    if (offsets.size() > max_observations) {
        offsets.pop_front();
    }
}

/// Returns the median offset of the peers, if there are enough of them.
std::optional<millis> wall_clock_guard::peer_offset() const {
    std::vector<millis> offsets;
    for (const auto& [peer, observed] : peer_offsets_) {
        if (observed.size() >= min_observations) {
            offsets.push_back(
                *std::max_element(observed.begin(), observed.end()));
        }
    }
    if (offsets.size() < min_peers) {
        return std::nullopt;
    }
    const auto middle =
        offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}

} // namespace hibiscus::base
