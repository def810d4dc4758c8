#include "hibiscus/batch/crash_ledger.hpp"

#include <algorithm>

/// Server processes that turn out not to have ended.
namespace hibiscus::batch {

/// Removes the losses at a process for which `is_none` returns true. It gets
/// whether the process is known to have ended, when the loss was noticed, and
/// whether the process fell silent.
template <class Predicate>
void crash_ledger::erase_losses(const server_process& process,
                                Predicate is_none) {
    for (auto& [request, row] : rows_) {
        const auto losses = std::remove_if(
            row.losses.begin(), row.losses.end(), [&](const loss& l) {
                return l.process == process && l.state != loss_state::sending &&
                       is_none(l.state == loss_state::ended, l.lost_at,
                               l.is_silent);
            });
        const auto cleared = std::remove_if(
            row.cleared.begin(), row.cleared.end(), [&](const auto& l) {
                return l.process == process &&
                       is_none(l.ended, l.lost_at, l.is_silent);
            });
        if (losses != row.losses.end() || cleared != row.cleared.end()) {
            row.losses.erase(losses, row.losses.end());
            row.cleared.erase(cleared, row.cleared.end());
            mark_changed(row);
        }
    }
}

bool crash_ledger::is_taken_for_ended(const server_process& process) const {
    const auto found = processes_.find(process);
    return found != processes_.end() && found->second.ended;
}

void crash_ledger::on_responded(const server_process& process,
                                base::millis asked_at) {
    const auto found = processes_.find(process);
    if (found == processes_.end() || !found->second.ended ||
        found->second.ended_at >= asked_at) {
        return;
    }
    erase_losses(process, [](bool has_ended, base::millis /*lost_at*/,
                             bool /*is_silent*/) { return has_ended; });
    processes_.erase(found);
    ++process_changes_;
}

/// Notes which processes have registered after they were taken for ended. The
/// store may have executed a write of an ended process late, so they are
/// checked.
void crash_ledger::find_registered_again(
    const samplers::sampler_table& servers) {
    for (auto& [process, lost] : processes_) {
        const auto found = servers.rows().find(process.server);
        if (!lost.ended || found == servers.rows().end()) {
            continue;
        }
        const auto& row = found->second;
        if (!row.unlisted && row.registered.started_ms == process.started_ms &&
            row.registered_at >
                std::max(lost.ended_at, lost.registered_again_at)) {
            lost.registered_again_at = row.registered_at;
            lost.is_check_due = true;
        }
    }
}

void crash_ledger::read_registrations(const samplers::sampler_table& servers) {
    settle_abandoned(servers);
    find_registered_again(servers);
}

void crash_ledger::on_alive(const server_process& process, base::millis time) {
    on_sign_of_life(process, time);
    bool has_later_loss = false;
    erase_losses(
        process, [&](bool has_ended, base::millis lost_at, bool is_silent) {
            const bool is_later = lost_at > time && is_silent;
            has_later_loss = has_later_loss || (!has_ended && is_later);
            return !has_ended && !is_later;
        });
    const auto lost = processes_.find(process);
    if (lost != processes_.end() && !lost->second.ended && !has_later_loss) {
        processes_.erase(lost);
        ++process_changes_;
    }
}

} // namespace hibiscus::batch
