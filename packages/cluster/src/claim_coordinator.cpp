#include "hibiscus/cluster/claim_coordinator.hpp"

#include "hibiscus/base/hash.hpp"

#include <algorithm>

namespace hibiscus::cluster {

namespace {

constexpr base::millis takeover_delay_ms = 2000;
constexpr base::millis min_snapshot_interval_ms = 1000;
constexpr std::size_t max_claims_per_part = 256;

/// Returns the id under which a record is appended, however often.
base::append_id append_id_of(const wire::claim_record& record) {
    return base::append_id(record.node.str() + "/" +
                           std::to_string(record.incarnation) + "/" +
                           std::to_string(record.sequence));
}

} // namespace

shard_number shard_of(const base::request_id& key, shard_number shards) {
    return static_cast<shard_number>(base::stable_hash(key.str()) % shards);
}

claim_coordinator::claim_coordinator(base::node_id self,
                                     std::uint64_t incarnation,
                                     claim_options times)
    : self_(std::move(self)), incarnation_(incarnation), options_(times) {}

void claim_coordinator::assign_shards(const std::set<shard_number>& shards) {
    for (const auto shard : shards) {
        shards_[shard].is_home = true;
    }
    for (auto& [shard, row] : shards_) {
        if (row.is_home && shards.count(shard) == 0) {
            row.is_home = false;
            row.held_epoch = -1;
            reject_unclaimed(row, wire::reason::home_moved);
        }
    }
}

bool claim_coordinator::holds_current_epoch(const shard_state& row) const {
    const auto* epoch = row.state_machine.current_epoch();
    return row.is_home && epoch != nullptr && row.held_epoch == epoch->number;
}

bool claim_coordinator::is_own(const wire::claim_record& record) const {
    return record.node == self_ && record.incarnation == incarnation_;
}

bool claim_coordinator::is_refusing(const shard_state& row, base::millis now) {
    // After a refused append nothing is queued, so no later append would show
    // that the log is back: callers would be refused for ever. So those that
    // come after the pause are taken, and their append is the test.
    return row.log_failing && (row.in_flight || now < row.append_not_before);
}

wire::service_response
claim_coordinator::make_completed_response(const base::request_id& key,
                                           const std::string& body) const {
    return {key, wire::outcome::completed, wire::reason::none, 0, body, self_,
            1};
}

std::optional<wire::service_response>
claim_coordinator::logged_response(const shard_state& row,
                                   const base::request_id& key) const {
    const auto own = row.unread_outcomes.find(key);
    if (own != row.unread_outcomes.end()) {
        return make_completed_response(key, own->second.body);
    }
    const auto* claim = row.state_machine.find(key);
    if (claim != nullptr && claim->body) {
        return make_completed_response(key, *claim->body);
    }
    return std::nullopt;
}

std::optional<wire::service_response>
claim_coordinator::known_response(const shard_state& row,
                                  const wire::service_request& r,
                                  base::millis now, base::millis wall) const {
    if (auto logged = logged_response(row, r.id)) {
        return logged;
    }
    // Claims are forgotten after a time. A request that is older than that
    // might have run unseen, so it must not run now. The fold's own limit
    // counts too: operators may have made the time longer since.
    if (r.created_ms < wall - options_.claim_retention ||
        r.created_ms < row.state_machine.dropped_before()) {
        return wire::make_unknown_response(
            r.id, wire::reason::claim_window_passed, self_);
    }
    if (r.created_ms > wall + options_.max_clock_skew) {
        return wire::make_not_run_response(
            r.id, wire::reason::claim_window_passed, 0, self_);
    }
    if (!holds_current_epoch(row)) {
        const auto why = is_refusing(row, now) ? wire::reason::log_unavailable
                                               : wire::reason::not_ready;
        return wire::make_not_run_response(r.id, why, options_.retry_after,
                                           self_);
    }
    if (row.state_machine.find(r.id) != nullptr &&
        row.unread_releases.count(r.id) == 0) {
        return wire::make_unknown_response(r.id, wire::reason::outcome_lost,
                                           self_);
    }
    if (is_refusing(row, now)) {
        return wire::make_not_run_response(r.id, wire::reason::log_unavailable,
                                           options_.retry_after, self_);
    }
    return std::nullopt;
}

void claim_coordinator::submit(base::millis now, base::millis wall,
                               claim_waiter_id waiter, shard_number shard,
                               const wire::service_request& request) {
    auto& row = shards_[shard];
    const auto deadline = now + request.deadline_ms;
    const auto at = row.pending.find(request.id);
    if (at != row.pending.end()) {
        at->second.waiters.push_back({waiter, deadline});
        at->second.deadline = std::max(at->second.deadline, deadline);
        return;
    }
    if (const auto known = known_response(row, request, now, wall)) {
        effects_.push_back(send_response{waiter, *known});
        return;
    }
    row.pending[request.id] = {
        request, {{waiter, deadline}}, deadline, stage::queued, 0};
    row.queued_items.push_back({wire::claim_kind::claim,
                                request.id,
                                row.held_epoch,
                                request.created_ms,
                                {}});
}

void claim_coordinator::respond_to_waiters(
    shard_state& row, const base::request_id& key,
    const wire::service_response& answer) {
    const auto at = row.pending.find(key);
    if (at == row.pending.end()) {
        return;
    }
    for (const auto& caller : at->second.waiters) {
        effects_.push_back(send_response{caller.waiter, answer});
    }
    row.pending.erase(at);
}

void claim_coordinator::reject_unclaimed(shard_state& row, wire::reason why) {
    std::vector<base::request_id> refused;
    for (const auto& [key, p] : row.pending) {
        if (p.current_stage != stage::running) {
            refused.push_back(key);
        }
    }
    for (const auto& key : refused) {
        respond_to_waiters(
            row, key,
            wire::make_not_run_response(key, why, options_.retry_after, self_));
    }
    row.queued_items.erase(
        std::remove_if(row.queued_items.begin(), row.queued_items.end(),
                       [](const wire::claim_item& i) {
                           return i.kind == wire::claim_kind::claim;
                       }),
        row.queued_items.end());
}

void claim_coordinator::on_stream_bounds(base::millis now, base::millis wall,
                                         shard_number shard,
                                         wire::log_offset first,
                                         wire::log_offset end) {
    auto& row = shards_[shard];
    row.first_offset = first;
    if (first <= row.state_machine.next_offset()) {
        return;
    }
    // Records were lost unread, a later epoch perhaps among them. Nothing that
    // was not dispatched may be now.
    row.held_epoch = -1;
    row.epoch_not_before = now;
    row.unread_releases.clear();
    row.snapshot_parts.clear();
    row.last_read_back = std::max(row.last_read_back, row.last_appended);
    reject_unclaimed(row, wire::reason::not_ready);
    row.sequence_barrier = last_sequence_;
    row.state_machine.handle_truncation(
        first, end, wall + options_.max_clock_skew,
        {self_, incarnation_, last_sequence_, 0});
}

void claim_coordinator::apply_record(base::millis now, shard_number shard,
                                     wire::log_offset offset,
                                     const wire::claim_record& record) {
    auto& row = shards_[shard];
    if (offset < row.state_machine.next_offset()) {
        return;
    }
    const auto* before = row.state_machine.current_epoch();
    const auto old = before != nullptr ? before->number : -1;
    const auto claimed = row.state_machine.apply(offset, record);
    const auto* after = row.state_machine.current_epoch();
    if (after != nullptr && after->number != old) {
        on_epoch_change(now, row, offset, record);
    }
    if (!is_own(record)) {
        return;
    }
    for (const auto& key : claimed) {
        dispatch_claimed(now, row, key);
    }
    on_own_record(row, record);
}

void claim_coordinator::on_own_record(shard_state& row,
                                      const wire::claim_record& record) {
    row.last_read_back = std::max(row.last_read_back, record.sequence);
    for (const auto& item : record.items) {
        if (item.kind == wire::claim_kind::release) {
            row.unread_releases.erase(item.key);
        } else if (item.kind == wire::claim_kind::outcome) {
            row.unread_outcomes.erase(item.key);
        }
    }
    respond_to_rejected_claims(row, record);
}

void claim_coordinator::respond_to_rejected_claims(
    shard_state& row, const wire::claim_record& record) {
    // A claim that was read back and does not stand never will. Nothing else
    // would answer its caller before the deadline.
    for (const auto& item : record.items) {
        const auto at = row.pending.find(item.key);
        if (item.kind != wire::claim_kind::claim || at == row.pending.end() ||
            at->second.current_stage != stage::appending ||
            at->second.sequence != record.sequence) {
            continue;
        }
        auto answer = wire::make_not_run_response(
            item.key, wire::reason::home_moved, options_.retry_after, self_);
        if (const auto logged = logged_response(row, item.key)) {
            answer = *logged;
        } else if (row.state_machine.find(item.key) != nullptr) {
            answer = wire::make_unknown_response(
                item.key, wire::reason::outcome_lost, self_);
        }
        respond_to_waiters(row, item.key, answer);
    }
}

void claim_coordinator::on_epoch_change(base::millis now, shard_state& row,
                                        wire::log_offset offset,
                                        const wire::claim_record& record) {
    const auto& epoch = *row.state_machine.current_epoch();
    // Only a record that this node is sure to have sent but once makes it the
    // holder: others may have seen an earlier copy and dropped this one.
    const bool ours = epoch.number == offset && is_own(record) &&
                      record.sequence > row.sequence_barrier;
    row.held_epoch = ours && row.is_home ? epoch.number : -1;
    if (!ours) {
        reject_unclaimed(row, wire::reason::home_moved);
        const bool self =
            epoch.node == self_ && epoch.incarnation == incarnation_;
        row.epoch_not_before = self ? now : now + takeover_delay_ms;
    }
}

void claim_coordinator::dispatch_claimed(base::millis now, shard_state& row,
                                         const base::request_id& key) {
    const auto at = row.pending.find(key);
    if (at == row.pending.end()) {
        // The caller was told `not_run` while the append was on its way.
        queue_release(row, key);
        return;
    }
    if (at->second.current_stage == stage::running) {
        return;
    }
    if (now >= at->second.deadline) {
        respond_to_waiters(
            row, key,
            wire::make_not_run_response(key, wire::reason::deadline_passed,
                                        options_.retry_after, self_));
        queue_release(row, key);
        return;
    }
    if (at->second.current_stage == stage::queued) {
        // The claim of an earlier try came first; a second one is not needed.
        drop_queued_claims(row, {key});
    }
    at->second.current_stage = stage::running;
    effects_.push_back(
        dispatch_request{at->second.request, at->second.deadline});
}

void claim_coordinator::queue_release(shard_state& row,
                                      const base::request_id& key) {
    const auto* claim = row.state_machine.find(key);
    if (claim != nullptr) {
        row.unread_releases.insert(key);
        row.queued_items.push_back({wire::claim_kind::release,
                                    key,
                                    claim->epoch,
                                    claim->created_ms,
                                    {}});
    }
}

void claim_coordinator::on_append_result(shard_number shard,
                                         const base::append_id& id,
                                         append_outcome outcome,
                                         base::millis retry_at) {
    auto& row = shards_[shard];
    if (!row.in_flight || row.in_flight->id != id) {
        return;
    }
    row.append_sent = false;
    row.log_failing = outcome != append_outcome::appended;
    if (outcome == append_outcome::appended) {
        row.last_appended =
            std::max(row.last_appended, row.in_flight->record.sequence);
        row.in_flight.reset();
        return;
    }
    row.append_not_before = std::max(row.append_not_before, retry_at);
    // Once a try may have taken effect, a later refusal says nothing about the
    // record. Written anew under another number, a release would count twice:
    // the second could free a key that was claimed again and runs.
    if (outcome == append_outcome::unknown || row.append_in_doubt) {
        row.append_in_doubt = true;
        return;
    }
    // Nothing of it is in the log, so its callers can be told at once.
    reject_unclaimed(row, wire::reason::log_unavailable);
    auto items = std::move(row.in_flight->record.items);
    if (row.in_flight->record.snapshot) {
        row.snapshot_parts.push_front(
            std::move(*row.in_flight->record.snapshot));
    }
    row.in_flight.reset();
    for (auto& item : items) {
        if (item.kind != wire::claim_kind::claim) {
            row.queued_items.push_back(std::move(item));
        }
    }
}

void claim_coordinator::on_service_response(
    shard_number shard, const wire::service_response& answer) {
    auto& row = shards_[shard];
    const auto* claim = row.state_machine.find(answer.id);
    if (answer.result == wire::outcome::not_run) {
        queue_release(row, answer.id);
    } else if (answer.result == wire::outcome::completed && claim != nullptr) {
        const wire::claim_item item{wire::claim_kind::outcome, answer.id,
                                    claim->epoch, claim->created_ms,
                                    answer.body};
        row.unread_outcomes[answer.id] = item;
        row.queued_items.push_back(item);
    }
    respond_to_waiters(row, answer.id, answer);
}

void claim_coordinator::tick(base::millis now, base::millis wall) {
    for (auto& [shard, row] : shards_) {
        drop_expired_claims(wall, row);
        expire_requests(now, row);
        queue_snapshot(now, row);
        send_append(now, shard, row);
    }
}

void claim_coordinator::drop_expired_claims(base::millis wall,
                                            shard_state& row) {
    const auto before = wall - 2 * options_.claim_retention;
    row.state_machine.drop_claims_before(before);
    for (auto at = row.unread_outcomes.begin();
         at != row.unread_outcomes.end();) {
        at = at->second.created_ms < before ? row.unread_outcomes.erase(at)
                                            : std::next(at);
    }
}

bool claim_coordinator::is_snapshot_due(base::millis now,
                                        const shard_state& row) const {
    if (!holds_current_epoch(row) || !row.snapshot_parts.empty() ||
        now - row.snapshot_started_at < min_snapshot_interval_ms) {
        return false;
    }
    const auto kept = row.state_machine.next_offset() - row.first_offset;
    const auto since =
        row.state_machine.next_offset() - row.state_machine.snapshot_offset();
    const auto least = std::max(
        options_.snapshot_interval_records,
        static_cast<wire::log_offset>(row.state_machine.claim_count()));
    // Half of what the log keeps is left as a margin. Before anything was
    // dropped nobody knows how much that is; then a snapshot costs at most one
    // claim for each record.
    return since >= least || (row.first_offset > 0 && since > kept / 2) ||
           now - row.snapshot_advanced_at >= options_.max_snapshot_age;
}

void claim_coordinator::queue_snapshot(base::millis now, shard_state& row) {
    if (row.snapshot_offset != row.state_machine.snapshot_offset() ||
        row.snapshot_advanced_at == 0) {
        row.snapshot_offset = row.state_machine.snapshot_offset();
        row.snapshot_advanced_at = now;
    }
    if (!is_snapshot_due(now, row)) {
        return;
    }
    row.snapshot_started_at = now;
    for (auto& part : row.state_machine.make_snapshot(max_claims_per_part)) {
        row.snapshot_parts.push_back(std::move(part));
    }
}

void claim_coordinator::expire_requests(base::millis now, shard_state& row) {
    std::set<base::request_id> late;
    for (auto& [key, p] : row.pending) {
        if (expire_waiters(now, key, p) && p.current_stage != stage::running) {
            late.insert(key);
        }
    }
    if (late.empty()) {
        return;
    }
    for (const auto& key : late) {
        row.pending.erase(key);
    }
    drop_queued_claims(row, late);
}

void claim_coordinator::drop_queued_claims(
    shard_state& row, const std::set<base::request_id>& keys) {
    // Only the claims go: the release of an earlier try must still be written.
    row.queued_items.erase(
        std::remove_if(row.queued_items.begin(), row.queued_items.end(),
                       [&](const wire::claim_item& i) {
                           return i.kind == wire::claim_kind::claim &&
                                  keys.count(i.key) != 0;
                       }),
        row.queued_items.end());
}

bool claim_coordinator::expire_waiters(base::millis now,
                                       const base::request_id& key,
                                       pending_request& p) {
    const bool running = p.current_stage == stage::running;
    const auto why = wire::reason::deadline_passed;
    const auto answer = running ? wire::make_unknown_response(key, why, self_)
                                : wire::make_not_run_response(
                                      key, why, options_.retry_after, self_);
    const auto limit = running ? now - options_.response_grace : now;
    std::vector<waiting_caller> left;
    for (const auto& caller : p.waiters) {
        if (caller.deadline <= limit) {
            effects_.push_back(send_response{caller.waiter, answer});
        } else {
            left.push_back(caller);
        }
    }
    p.waiters = std::move(left);
    return p.waiters.empty();
}

bool claim_coordinator::prepare_append(base::millis now, shard_number shard,
                                       shard_state& row) {
    wire::claim_record record;
    record.node = self_;
    record.incarnation = incarnation_;
    if (row.is_home && row.held_epoch < 0 && now >= row.epoch_not_before) {
        record.starts_epoch = true;
        row.epoch_not_before = now + takeover_delay_ms;
    } else if (!row.queued_items.empty() || !row.snapshot_parts.empty()) {
        const auto count =
            std::min(row.queued_items.size(), options_.max_items_per_append);
        const auto end =
            row.queued_items.begin() + static_cast<std::ptrdiff_t>(count);
        record.items.assign(std::make_move_iterator(row.queued_items.begin()),
                            std::make_move_iterator(end));
        row.queued_items.erase(row.queued_items.begin(), end);
        if (!row.snapshot_parts.empty()) {
            record.snapshot = std::move(row.snapshot_parts.front());
            row.snapshot_parts.pop_front();
        }
    } else {
        return false;
    }
    record.sequence = ++last_sequence_;
    for (auto& item : record.items) {
        const auto at = row.pending.find(item.key);
        if (item.kind == wire::claim_kind::claim && at != row.pending.end() &&
            at->second.current_stage == stage::queued) {
            // The epoch may have changed since the request was submitted.
            item.epoch = row.held_epoch;
            at->second.current_stage = stage::appending;
            at->second.sequence = record.sequence;
        }
    }
    const auto id = append_id_of(record);
    row.in_flight = append_claims{shard, id, std::move(record)};
    row.append_in_doubt = false;
    return true;
}

void claim_coordinator::send_append(base::millis now, shard_number shard,
                                    shard_state& row) {
    if (row.append_sent || now < row.append_not_before ||
        (!row.in_flight && !prepare_append(now, shard, row))) {
        return;
    }
    row.append_sent = true;
    row.append_not_before = now + options_.append_interval;
    effects_.push_back(*row.in_flight);
}

std::vector<std::pair<shard_number, wire::log_offset>>
claim_coordinator::shards_to_read() const {
    std::vector<std::pair<shard_number, wire::log_offset>> result;
    for (const auto& [shard, row] : shards_) {
        if (row.is_home || !row.pending.empty() || row.in_flight ||
            !row.queued_items.empty() ||
            row.last_read_back < row.last_appended) {
            result.emplace_back(shard, row.state_machine.next_offset());
        }
    }
    return result;
}

std::size_t claim_coordinator::pending_count() const {
    std::size_t count = 0;
    for (const auto& [shard, row] : shards_) {
        count += row.pending.size();
        if (!row.log_failing) {
            count += row.queued_items.size() + (row.in_flight ? 1U : 0U);
        }
    }
    return count;
}

std::vector<claim_effect> claim_coordinator::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hibiscus::cluster
