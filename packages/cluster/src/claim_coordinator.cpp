#include "hibiscus/cluster/claim_coordinator.hpp"

#include "hibiscus/base/hash.hpp"

#include <algorithm>

namespace hibiscus::cluster {

namespace {

/// Delay before an epoch of another node is replaced, and between two attempts
/// of this node to start an epoch.
constexpr base::millis takeover_delay_ms = 2000;
constexpr base::millis min_snapshot_interval_ms = 1000;
constexpr std::size_t max_claims_per_part = 256;

/// Returns the append id of a record, the same for each attempt.
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
                                     claim_options options)
    : self_(std::move(self)), incarnation_(incarnation), options_(options) {}

void claim_coordinator::assign_shards(const std::set<shard_number>& shards) {
    for (const auto shard : shards) {
        shards_[shard].is_home = true;
    }
    for (auto& [shard, state] : shards_) {
        if (state.is_home && shards.count(shard) == 0) {
            state.is_home = false;
            state.held_epoch = -1;
            reject_unclaimed(state, wire::reason::home_moved);
        }
    }
}

bool claim_coordinator::holds_current_epoch(const shard_state& state) const {
    const auto* epoch = state.state_machine.current_epoch();
    return state.is_home && epoch != nullptr &&
           state.held_epoch == epoch->number;
}

bool claim_coordinator::is_own(const wire::claim_record& record) const {
    return record.node == self_ && record.incarnation == incarnation_;
}

bool claim_coordinator::is_rejecting_claims(const shard_state& state,
                                            base::millis now) {
    // After a refused append nothing is queued, so no later append would show
    // that the log has recovered, and callers would be rejected forever.
    // Requests that arrive after the retry delay are therefore accepted, and
    // their append probes the log.
    return state.log_failing &&
           (state.current_append || now < state.append_not_before);
}

wire::service_response
claim_coordinator::make_completed_response(const base::request_id& key,
                                           const std::string& body) const {
    return {key, wire::outcome::completed, wire::reason::none, 0, body, self_,
            1};
}

std::optional<wire::service_response>
claim_coordinator::logged_response(const shard_state& state,
                                   const base::request_id& key) const {
    const auto unread = state.unread_outcomes.find(key);
    if (unread != state.unread_outcomes.end()) {
        return make_completed_response(key, unread->second.body);
    }
    const auto* claim = state.state_machine.find(key);
    if (claim != nullptr && claim->body) {
        return make_completed_response(key, *claim->body);
    }
    return std::nullopt;
}

std::optional<wire::service_response>
claim_coordinator::known_response(const shard_state& state,
                                  const wire::service_request& request,
                                  base::millis now, base::millis wall) const {
    if (auto logged = logged_response(state, request.id)) {
        return logged;
    }
    // Claims are dropped after a time. An older request may have been executed
    // without a trace, so it must not run. The limit of the state machine
    // applies as well, because operators may have increased the retention since
    // then.
    if (request.created_ms < wall - options_.claim_retention ||
        request.created_ms < state.state_machine.claims_dropped_before_ms()) {
        return wire::make_unknown_response(
            request.id, wire::reason::claim_window_passed, self_);
    }
    if (request.created_ms > wall + options_.max_clock_skew) {
        return wire::make_not_run_response(
            request.id, wire::reason::claim_window_passed, 0, self_);
    }
    if (!holds_current_epoch(state)) {
        const auto reason = is_rejecting_claims(state, now)
                                ? wire::reason::log_unavailable
                                : wire::reason::not_ready;
        return wire::make_not_run_response(request.id, reason,
                                           options_.retry_after, self_);
    }
    if (state.state_machine.find(request.id) != nullptr &&
        state.unread_releases.count(request.id) == 0) {
        return wire::make_unknown_response(request.id,
                                           wire::reason::outcome_lost, self_);
    }
    if (is_rejecting_claims(state, now)) {
        return wire::make_not_run_response(request.id,
                                           wire::reason::log_unavailable,
                                           options_.retry_after, self_);
    }
    return std::nullopt;
}

void claim_coordinator::submit(base::millis now, base::millis wall,
                               claim_waiter_id waiter, shard_number shard,
                               const wire::service_request& request) {
    auto& state = shards_[shard];
    const auto deadline = now + request.deadline_ms;
    const auto it = state.pending.find(request.id);
    if (it != state.pending.end()) {
        it->second.waiters.push_back({waiter, deadline});
        it->second.deadline = std::max(it->second.deadline, deadline);
        return;
    }
    if (const auto known = known_response(state, request, now, wall)) {
        effects_.push_back(send_response{waiter, *known});
        return;
    }
    state.pending[request.id] = {
        request, {{waiter, deadline}}, deadline, stage::queued, 0};
    state.queued_items.push_back({wire::claim_kind::claim,
                                  request.id,
                                  state.held_epoch,
                                  request.created_ms,
                                  {}});
}

void claim_coordinator::respond_to_waiters(
    shard_state& state, const base::request_id& key,
    const wire::service_response& response) {
    const auto it = state.pending.find(key);
    if (it == state.pending.end()) {
        return;
    }
    for (const auto& caller : it->second.waiters) {
        effects_.push_back(send_response{caller.waiter, response});
    }
    state.pending.erase(it);
}

void claim_coordinator::reject_unclaimed(shard_state& state,
                                         wire::reason reason) {
    std::vector<base::request_id> rejected;
    for (const auto& [key, pending] : state.pending) {
        if (pending.current_stage != stage::running) {
            rejected.push_back(key);
        }
    }
    for (const auto& key : rejected) {
        respond_to_waiters(state, key,
                           wire::make_not_run_response(
                               key, reason, options_.retry_after, self_));
    }
    state.queued_items.erase(
        std::remove_if(state.queued_items.begin(), state.queued_items.end(),
                       [](const wire::claim_item& item) {
                           return item.kind == wire::claim_kind::claim;
                       }),
        state.queued_items.end());
}

void claim_coordinator::on_stream_bounds(base::millis now, base::millis wall,
                                         shard_number shard,
                                         wire::log_offset first,
                                         wire::log_offset end) {
    auto& state = shards_[shard];
    state.first_offset = first;
    if (first <= state.state_machine.next_offset()) {
        return;
    }
    // Records were dropped before they were read, and a newer epoch may be
    // among them. No request may be dispatched under the old one.
    state.held_epoch = -1;
    state.epoch_not_before = now;
    state.unread_releases.clear();
    state.snapshot_parts.clear();
    state.last_read_back = std::max(state.last_read_back, state.last_appended);
    reject_unclaimed(state, wire::reason::not_ready);
    state.sequence_barrier = last_sequence_;
    state.state_machine.handle_truncation(
        first, end, wall + options_.max_clock_skew,
        {self_, incarnation_, last_sequence_, 0});
}

void claim_coordinator::apply_record(base::millis now, shard_number shard,
                                     wire::log_offset offset,
                                     const wire::claim_record& record) {
    auto& state = shards_[shard];
    if (offset < state.state_machine.next_offset()) {
        return;
    }
    const auto* previous = state.state_machine.current_epoch();
    const auto previous_number = previous != nullptr ? previous->number : -1;
    const auto claimed = state.state_machine.apply(offset, record);
    const auto* current = state.state_machine.current_epoch();
    if (current != nullptr && current->number != previous_number) {
        on_epoch_change(now, state, offset, record);
    }
    if (!is_own(record)) {
        return;
    }
    for (const auto& key : claimed) {
        dispatch_claimed(now, state, key);
    }
    on_own_record(state, record);
}

void claim_coordinator::on_own_record(shard_state& state,
                                      const wire::claim_record& record) {
    state.last_read_back = std::max(state.last_read_back, record.sequence);
    for (const auto& item : record.items) {
        if (item.kind == wire::claim_kind::release) {
            state.unread_releases.erase(item.key);
        } else if (item.kind == wire::claim_kind::outcome) {
            state.unread_outcomes.erase(item.key);
        }
    }
    respond_to_rejected_claims(state, record);
}

void claim_coordinator::respond_to_rejected_claims(
    shard_state& state, const wire::claim_record& record) {
    // A claim that was read back and is not valid never becomes valid. Without
    // this response, its caller would wait until its deadline.
    for (const auto& item : record.items) {
        const auto it = state.pending.find(item.key);
        if (item.kind != wire::claim_kind::claim || it == state.pending.end() ||
            it->second.current_stage != stage::appending ||
            it->second.sequence != record.sequence) {
            continue;
        }
        auto response = wire::make_not_run_response(
            item.key, wire::reason::home_moved, options_.retry_after, self_);
        if (const auto logged = logged_response(state, item.key)) {
            response = *logged;
        } else if (state.state_machine.find(item.key) != nullptr) {
            response = wire::make_unknown_response(
                item.key, wire::reason::outcome_lost, self_);
        }
        respond_to_waiters(state, item.key, response);
    }
}

void claim_coordinator::on_epoch_change(base::millis now, shard_state& state,
                                        wire::log_offset offset,
                                        const wire::claim_record& record) {
    const auto& epoch = *state.state_machine.current_epoch();
    // Only a record that this node has certainly appended just once makes it
    // the holder: other nodes may have read an earlier copy and ignored this
    // one.
    const bool is_own_epoch = epoch.number == offset && is_own(record) &&
                              record.sequence > state.sequence_barrier;
    state.held_epoch = is_own_epoch && state.is_home ? epoch.number : -1;
    if (!is_own_epoch) {
        reject_unclaimed(state, wire::reason::home_moved);
        const bool is_self =
            epoch.node == self_ && epoch.incarnation == incarnation_;
        state.epoch_not_before = is_self ? now : now + takeover_delay_ms;
    }
}

void claim_coordinator::dispatch_claimed(base::millis now, shard_state& state,
                                         const base::request_id& key) {
    const auto it = state.pending.find(key);
    if (it == state.pending.end()) {
        // The caller received `not_run` while the append was in flight.
        queue_release(state, key);
        return;
    }
    if (it->second.current_stage == stage::running) {
        return;
    }
    if (now >= it->second.deadline) {
        respond_to_waiters(
            state, key,
            wire::make_not_run_response(key, wire::reason::deadline_passed,
                                        options_.retry_after, self_));
        queue_release(state, key);
        return;
    }
    if (it->second.current_stage == stage::queued) {
        // The claim of an earlier attempt came first; a second one is not
        // needed.
        drop_queued_claims(state, {key});
    }
    it->second.current_stage = stage::running;
    effects_.push_back(
        dispatch_request{it->second.request, it->second.deadline});
}

void claim_coordinator::queue_release(shard_state& state,
                                      const base::request_id& key) {
    const auto* claim = state.state_machine.find(key);
    if (claim != nullptr) {
        state.unread_releases.insert(key);
        state.queued_items.push_back({wire::claim_kind::release,
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
    auto& state = shards_[shard];
    if (!state.current_append || state.current_append->id != id) {
        return;
    }
    state.append_sent = false;
    state.log_failing = outcome != append_outcome::appended;
    if (outcome == append_outcome::appended) {
        state.last_appended = std::max(state.last_appended,
                                       state.current_append->record.sequence);
        state.current_append.reset();
        return;
    }
    state.append_not_before = std::max(state.append_not_before, retry_at);
    // Once an attempt may have succeeded, a later refusal says nothing about
    // the record. If a release were written again under a new sequence number,
    // it would be applied twice, and the second time could free a key that was
    // claimed again and is running.
    if (outcome == append_outcome::unknown || state.append_uncertain) {
        state.append_uncertain = true;
        return;
    }
    // The record is not in the log, so its callers can be rejected at once.
    reject_unclaimed(state, wire::reason::log_unavailable);
    auto items = std::move(state.current_append->record.items);
    if (state.current_append->record.snapshot) {
        state.snapshot_parts.push_front(
            std::move(*state.current_append->record.snapshot));
    }
    state.current_append.reset();
    for (auto& item : items) {
        if (item.kind != wire::claim_kind::claim) {
            state.queued_items.push_back(std::move(item));
        }
    }
}

void claim_coordinator::on_service_response(
    shard_number shard, const wire::service_response& response) {
    auto& state = shards_[shard];
    const auto* claim = state.state_machine.find(response.id);
    if (response.result == wire::outcome::not_run) {
        queue_release(state, response.id);
    } else if (response.result == wire::outcome::completed &&
               claim != nullptr) {
        const wire::claim_item item{wire::claim_kind::outcome, response.id,
                                    claim->epoch, claim->created_ms,
                                    response.body};
        state.unread_outcomes[response.id] = item;
        state.queued_items.push_back(item);
    }
    respond_to_waiters(state, response.id, response);
}

void claim_coordinator::tick(base::millis now, base::millis wall) {
    for (auto& [shard, state] : shards_) {
        drop_expired_claims(wall, state);
        expire_requests(now, state);
        queue_snapshot(now, state);
        send_append(now, shard, state);
    }
}

void claim_coordinator::drop_expired_claims(base::millis wall,
                                            shard_state& state) {
    const auto created_before = wall - 2 * options_.claim_retention;
    state.state_machine.drop_claims_before(created_before);
    for (auto it = state.unread_outcomes.begin();
         it != state.unread_outcomes.end();) {
        it = it->second.created_ms < created_before
                 ? state.unread_outcomes.erase(it)
                 : std::next(it);
    }
}

bool claim_coordinator::is_snapshot_due(base::millis now,
                                        const shard_state& state) const {
    if (!holds_current_epoch(state) || !state.snapshot_parts.empty() ||
        now - state.snapshot_started_at < min_snapshot_interval_ms) {
        return false;
    }
    const auto retained_records =
        state.state_machine.next_offset() - state.first_offset;
    const auto records_since_snapshot = state.state_machine.next_offset() -
                                        state.state_machine.snapshot_offset();
    const auto min_records = std::max(
        options_.min_records_until_snapshot,
        static_cast<wire::log_offset>(state.state_machine.claim_count()));
    // A snapshot is due when half of the records that the log holds are newer
    // than the last one; the other half is the safety margin. Before the log
    // has dropped any records its capacity is unknown. Then the number of
    // records between two snapshots is at least the number of claims, so a
    // snapshot costs at most one claim for each record.
    return records_since_snapshot >= min_records ||
           (state.first_offset > 0 &&
            records_since_snapshot > retained_records / 2) ||
           now - state.snapshot_advanced_at >= options_.max_snapshot_age;
}

void claim_coordinator::queue_snapshot(base::millis now, shard_state& state) {
    if (state.snapshot_offset != state.state_machine.snapshot_offset() ||
        state.snapshot_advanced_at == 0) {
        state.snapshot_offset = state.state_machine.snapshot_offset();
        state.snapshot_advanced_at = now;
    }
    if (!is_snapshot_due(now, state)) {
        return;
    }
    state.snapshot_started_at = now;
    for (auto& part : state.state_machine.make_snapshot(max_claims_per_part)) {
        state.snapshot_parts.push_back(std::move(part));
    }
}

void claim_coordinator::expire_requests(base::millis now, shard_state& state) {
    std::set<base::request_id> expired;
    for (auto& [key, pending] : state.pending) {
        if (expire_waiters(now, key, pending) &&
            pending.current_stage != stage::running) {
            expired.insert(key);
        }
    }
    if (expired.empty()) {
        return;
    }
    for (const auto& key : expired) {
        state.pending.erase(key);
    }
    drop_queued_claims(state, expired);
}

void claim_coordinator::drop_queued_claims(
    shard_state& state, const std::set<base::request_id>& keys) {
    // Only claims are dropped: the release of an earlier attempt must still be
    // appended.
    state.queued_items.erase(
        std::remove_if(state.queued_items.begin(), state.queued_items.end(),
                       [&](const wire::claim_item& item) {
                           return item.kind == wire::claim_kind::claim &&
                                  keys.count(item.key) != 0;
                       }),
        state.queued_items.end());
}

bool claim_coordinator::expire_waiters(base::millis now,
                                       const base::request_id& key,
                                       pending_request& pending) {
    const bool running = pending.current_stage == stage::running;
    const auto reason = wire::reason::deadline_passed;
    const auto response =
        running ? wire::make_unknown_response(key, reason, self_)
                : wire::make_not_run_response(key, reason, options_.retry_after,
                                              self_);
    const auto latest_expired = running ? now - options_.response_grace : now;
    std::vector<waiting_caller> remaining;
    for (const auto& caller : pending.waiters) {
        if (caller.deadline <= latest_expired) {
            effects_.push_back(send_response{caller.waiter, response});
        } else {
            remaining.push_back(caller);
        }
    }
    pending.waiters = std::move(remaining);
    return pending.waiters.empty();
}

bool claim_coordinator::prepare_append(base::millis now, shard_number shard,
                                       shard_state& state) {
    wire::claim_record record;
    record.node = self_;
    record.incarnation = incarnation_;
    if (state.is_home && state.held_epoch < 0 &&
        now >= state.epoch_not_before) {
        record.starts_epoch = true;
        state.epoch_not_before = now + takeover_delay_ms;
    } else if (!state.queued_items.empty() || !state.snapshot_parts.empty()) {
        const auto count =
            std::min(state.queued_items.size(), options_.max_items_per_append);
        const auto end =
            state.queued_items.begin() + static_cast<std::ptrdiff_t>(count);
        record.items.assign(std::make_move_iterator(state.queued_items.begin()),
                            std::make_move_iterator(end));
        state.queued_items.erase(state.queued_items.begin(), end);
        if (!state.snapshot_parts.empty()) {
            record.snapshot = std::move(state.snapshot_parts.front());
            state.snapshot_parts.pop_front();
        }
    } else {
        return false;
    }
    record.sequence = ++last_sequence_;
    for (auto& item : record.items) {
        const auto it = state.pending.find(item.key);
        if (item.kind == wire::claim_kind::claim && it != state.pending.end() &&
            it->second.current_stage == stage::queued) {
            // The epoch may have changed since the request was submitted.
            item.epoch = state.held_epoch;
            it->second.current_stage = stage::appending;
            it->second.sequence = record.sequence;
        }
    }
    const auto id = append_id_of(record);
    state.current_append = append_claims{shard, id, std::move(record)};
    state.append_uncertain = false;
    return true;
}

void claim_coordinator::send_append(base::millis now, shard_number shard,
                                    shard_state& state) {
    if (state.append_sent || now < state.append_not_before ||
        (!state.current_append && !prepare_append(now, shard, state))) {
        return;
    }
    state.append_sent = true;
    state.append_not_before = now + options_.append_interval;
    effects_.push_back(*state.current_append);
}

std::vector<std::pair<shard_number, wire::log_offset>>
claim_coordinator::shards_to_read() const {
    std::vector<std::pair<shard_number, wire::log_offset>> result;
    for (const auto& [shard, state] : shards_) {
        if (state.is_home || !state.pending.empty() || state.current_append ||
            !state.queued_items.empty() ||
            state.last_read_back < state.last_appended) {
            result.emplace_back(shard, state.state_machine.next_offset());
        }
    }
    return result;
}

std::size_t claim_coordinator::pending_count() const {
    std::size_t count = 0;
    for (const auto& [shard, state] : shards_) {
        count += state.pending.size();
        if (!state.log_failing) {
            count +=
                state.queued_items.size() + (state.current_append ? 1U : 0U);
        }
    }
    return count;
}

std::vector<claim_effect> claim_coordinator::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hibiscus::cluster
