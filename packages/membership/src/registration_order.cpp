#include "hibiscus/membership/registration_order.hpp"

#include <iterator>
#include <tuple>

namespace hibiscus::membership {

bool registration_order::write_number::is_older_than(
    const write_number& other) const {
    return std::tie(process_started_ms, sequence) <
           std::tie(other.process_started_ms, other.sequence);
}

bool registration_order::accept(const samplers::sampler_id& id,
                                const samplers::registration& registered) {
    const write_number number{registered.started_ms, registered.sequence};
    if (number.process_started_ms == 0 || number.sequence == 0) {
        return true;
    }
    forget_removed();
    auto& row = rows_[id];
    if (number.is_older_than(row.newest) && !is_set_back(row, number)) {
        return false;
    }
    row = {number, std::nullopt, std::nullopt};
    return true;
}

/// Returns true if the numbers of a server have been set back: one process has
/// written old but rising numbers for too long to be late writes.
bool registration_order::is_set_back(server_row& row,
                                     const write_number& number) const {
    const auto now = clock_.now();
    const bool goes_on =
        row.old &&
        row.old->newest.process_started_ms == number.process_started_ms &&
        row.old->newest.is_older_than(number);
    row.old = {number, goes_on ? row.old->since : now};
    return now - row.old->since > max_late_ms;
}

void registration_order::on_removed(const samplers::sampler_id& id) {
    const auto row = rows_.find(id);
    if (row != rows_.end()) {
        row->second.removed_at = clock_.now();
    }
}

void registration_order::forget_removed() {
    const auto now = clock_.now();
    if (now - forgotten_at_ < max_late_ms) {
        return;
    }
    forgotten_at_ = now;
    for (auto row = rows_.begin(); row != rows_.end();) {
        const auto& removed_at = row->second.removed_at;
        const bool is_over = removed_at && now - *removed_at > max_late_ms;
        row = is_over ? rows_.erase(row) : std::next(row);
    }
}

} // namespace hibiscus::membership
