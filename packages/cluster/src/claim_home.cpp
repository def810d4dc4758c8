#include "hibiscus/cluster/claim_home.hpp"

#include "hibiscus/base/hash.hpp"

#include <algorithm>

namespace hibiscus::cluster {

namespace {

constexpr base::millis takeover_pause = 2000;
constexpr base::millis snapshot_pause = 1000;
constexpr std::size_t claims_per_part = 256;

/// Returns the id under which a record is appended, however often.
base::append_id id_of(const wire::claim_record& record) {
    return base::append_id(record.node.str() + "/" +
                           std::to_string(record.incarnation) + "/" +
                           std::to_string(record.sequence));
}

} // namespace

shard_number shard_of(const base::request_id& key, shard_number shards) {
    return static_cast<shard_number>(base::stable_hash(key.str()) % shards);
}

claim_home::claim_home(base::node_id self, std::uint64_t incarnation,
                       claim_times times)
    : self_(std::move(self)), incarnation_(incarnation), times_(times) {}

void claim_home::assign(const std::set<shard_number>& shards) {
    for (const auto shard : shards) {
        shards_[shard].home = true;
    }
    for (auto& [shard, row] : shards_) {
        if (row.home && shards.count(shard) == 0) {
            row.home = false;
            row.held = -1;
            refuse_unclaimed(row, wire::reason::home_moved);
        }
    }
}

bool claim_home::ready(const shard_row& row) const {
    const auto* epoch = row.fold.epoch();
    return row.home && epoch != nullptr && row.held == epoch->number;
}

bool claim_home::is_own(const wire::claim_record& record) const {
    return record.node == self_ && record.incarnation == incarnation_;
}

bool claim_home::refuses(const shard_row& row, base::millis now) {
    // After a refused append nothing is queued, so no later append would show
    // that the log is back: callers would be refused for ever. So those that
    // come after the pause are taken, and their append is the test.
    return row.log_failing && (row.in_flight || now < row.not_before);
}

wire::answer claim_home::completed(const base::request_id& key,
                                   const std::string& body) const {
    return {key, wire::outcome::completed, wire::reason::none, 0, body, self_,
            1};
}

std::optional<wire::answer>
claim_home::logged_answer(const shard_row& row,
                          const base::request_id& key) const {
    const auto own = row.outcomes.find(key);
    if (own != row.outcomes.end()) {
        return completed(key, own->second.body);
    }
    const auto* claim = row.fold.find(key);
    if (claim != nullptr && claim->body) {
        return completed(key, *claim->body);
    }
    return std::nullopt;
}

std::optional<wire::answer>
claim_home::known_answer(const shard_row& row, const wire::service_request& r,
                         base::millis now, base::millis wall) const {
    if (auto logged = logged_answer(row, r.id)) {
        return logged;
    }
    // Claims are forgotten after a time. A request that is older than that
    // might have run unseen, so it must not run now. The fold's own limit
    // counts too: operators may have made the time longer since.
    if (r.created_ms < wall - times_.keep ||
        r.created_ms < row.fold.forgotten_before()) {
        return wire::unknown(r.id, wire::reason::claim_window_passed, self_);
    }
    if (r.created_ms > wall + times_.clock_skew) {
        return wire::not_run(r.id, wire::reason::claim_window_passed, 0, self_);
    }
    if (!ready(row)) {
        const auto why = refuses(row, now) ? wire::reason::log_unavailable
                                           : wire::reason::not_ready;
        return wire::not_run(r.id, why, times_.refusal, self_);
    }
    if (row.fold.find(r.id) != nullptr && row.releasing.count(r.id) == 0) {
        return wire::unknown(r.id, wire::reason::outcome_lost, self_);
    }
    if (refuses(row, now)) {
        return wire::not_run(r.id, wire::reason::log_unavailable,
                             times_.refusal, self_);
    }
    return std::nullopt;
}

void claim_home::submit(base::millis now, base::millis wall,
                        claim_waiter waiter, shard_number shard,
                        const wire::service_request& request) {
    auto& row = shards_[shard];
    const auto deadline = now + request.deadline_ms;
    const auto at = row.pending.find(request.id);
    if (at != row.pending.end()) {
        at->second.waiters.push_back({waiter, deadline});
        at->second.deadline = std::max(at->second.deadline, deadline);
        return;
    }
    if (const auto known = known_answer(row, request, now, wall)) {
        effects_.push_back(answer_request{waiter, *known});
        return;
    }
    row.pending[request.id] = {
        request, {{waiter, deadline}}, deadline, stage::queued, 0};
    row.queue.push_back({wire::claim_kind::claim,
                         request.id,
                         row.held,
                         request.created_ms,
                         {}});
}

void claim_home::answer_all(shard_row& row, const base::request_id& key,
                            const wire::answer& answer) {
    const auto at = row.pending.find(key);
    if (at == row.pending.end()) {
        return;
    }
    for (const auto& caller : at->second.waiters) {
        effects_.push_back(answer_request{caller.waiter, answer});
    }
    row.pending.erase(at);
}

void claim_home::refuse_unclaimed(shard_row& row, wire::reason why) {
    std::vector<base::request_id> refused;
    for (const auto& [key, p] : row.pending) {
        if (p.at != stage::running) {
            refused.push_back(key);
        }
    }
    for (const auto& key : refused) {
        answer_all(row, key, wire::not_run(key, why, times_.refusal, self_));
    }
    row.queue.erase(std::remove_if(row.queue.begin(), row.queue.end(),
                                   [](const wire::claim_item& i) {
                                       return i.kind == wire::claim_kind::claim;
                                   }),
                    row.queue.end());
}

void claim_home::bounds(base::millis now, base::millis wall, shard_number shard,
                        wire::log_offset first, wire::log_offset end) {
    auto& row = shards_[shard];
    row.first = first;
    if (first <= row.fold.next()) {
        return;
    }
    // Records were lost unread, a later epoch perhaps among them. Nothing that
    // was not dispatched may be now.
    row.held = -1;
    row.take_not_before = now;
    row.releasing.clear();
    row.parts.clear();
    row.read_back = std::max(row.read_back, row.written);
    refuse_unclaimed(row, wire::reason::not_ready);
    row.barrier = appends_;
    row.fold.skip_to(first, end, wall + times_.clock_skew,
                     {self_, incarnation_, appends_, 0});
}

void claim_home::read(base::millis now, shard_number shard,
                      wire::log_offset offset,
                      const wire::claim_record& record) {
    auto& row = shards_[shard];
    if (offset < row.fold.next()) {
        return;
    }
    const auto* before = row.fold.epoch();
    const auto old = before != nullptr ? before->number : -1;
    const auto claimed = row.fold.apply(offset, record);
    const auto* after = row.fold.epoch();
    if (after != nullptr && after->number != old) {
        take_epoch(now, row, offset, record);
    }
    if (!is_own(record)) {
        return;
    }
    for (const auto& key : claimed) {
        start_claimed(now, row, key);
    }
    read_back(row, record);
}

void claim_home::read_back(shard_row& row, const wire::claim_record& record) {
    row.read_back = std::max(row.read_back, record.sequence);
    for (const auto& item : record.items) {
        if (item.kind == wire::claim_kind::release) {
            row.releasing.erase(item.key);
        } else if (item.kind == wire::claim_kind::outcome) {
            row.outcomes.erase(item.key);
        }
    }
    answer_rejected(row, record);
}

void claim_home::answer_rejected(shard_row& row,
                                 const wire::claim_record& record) {
    // A claim that was read back and does not stand never will. Nothing else
    // would answer its caller before the deadline.
    for (const auto& item : record.items) {
        const auto at = row.pending.find(item.key);
        if (item.kind != wire::claim_kind::claim || at == row.pending.end() ||
            at->second.at != stage::appending ||
            at->second.sequence != record.sequence) {
            continue;
        }
        auto answer = wire::not_run(item.key, wire::reason::home_moved,
                                    times_.refusal, self_);
        if (const auto logged = logged_answer(row, item.key)) {
            answer = *logged;
        } else if (row.fold.find(item.key) != nullptr) {
            answer = wire::unknown(item.key, wire::reason::outcome_lost, self_);
        }
        answer_all(row, item.key, answer);
    }
}

void claim_home::take_epoch(base::millis now, shard_row& row,
                            wire::log_offset offset,
                            const wire::claim_record& record) {
    const auto& epoch = *row.fold.epoch();
    // Only a record that this node is sure to have sent but once makes it the
    // holder: others may have seen an earlier copy and dropped this one.
    const bool ours = epoch.number == offset && is_own(record) &&
                      record.sequence > row.barrier;
    row.held = ours && row.home ? epoch.number : -1;
    if (!ours) {
        refuse_unclaimed(row, wire::reason::home_moved);
        const bool self =
            epoch.node == self_ && epoch.incarnation == incarnation_;
        row.take_not_before = self ? now : now + takeover_pause;
    }
}

void claim_home::start_claimed(base::millis now, shard_row& row,
                               const base::request_id& key) {
    const auto at = row.pending.find(key);
    if (at == row.pending.end()) {
        // The caller was told `not_run` while the append was on its way.
        release(row, key);
        return;
    }
    if (at->second.at == stage::running) {
        return;
    }
    if (now >= at->second.deadline) {
        answer_all(row, key,
                   wire::not_run(key, wire::reason::deadline_passed,
                                 times_.refusal, self_));
        release(row, key);
        return;
    }
    if (at->second.at == stage::queued) {
        // The claim of an earlier try came first; a second one is not needed.
        drop_claims(row, {key});
    }
    at->second.at = stage::running;
    effects_.push_back(
        dispatch_request{at->second.request, at->second.deadline});
}

void claim_home::release(shard_row& row, const base::request_id& key) {
    const auto* claim = row.fold.find(key);
    if (claim != nullptr) {
        row.releasing.insert(key);
        row.queue.push_back({wire::claim_kind::release,
                             key,
                             claim->epoch,
                             claim->created_ms,
                             {}});
    }
}

void claim_home::appended(shard_number shard, const base::append_id& id,
                          append_outcome outcome, base::millis retry_at) {
    auto& row = shards_[shard];
    if (!row.in_flight || row.in_flight->id != id) {
        return;
    }
    row.sent = false;
    row.log_failing = outcome != append_outcome::appended;
    if (outcome == append_outcome::appended) {
        row.written = std::max(row.written, row.in_flight->record.sequence);
        row.in_flight.reset();
        return;
    }
    row.not_before = std::max(row.not_before, retry_at);
    // Once a try may have taken effect, a later refusal says nothing about the
    // record. Written anew under another number, a release would count twice:
    // the second could free a key that was claimed again and runs.
    if (outcome == append_outcome::unknown || row.in_doubt) {
        row.in_doubt = true;
        return;
    }
    // Nothing of it is in the log, so its callers can be told at once.
    refuse_unclaimed(row, wire::reason::log_unavailable);
    auto items = std::move(row.in_flight->record.items);
    if (row.in_flight->record.snapshot) {
        row.parts.push_front(std::move(*row.in_flight->record.snapshot));
    }
    row.in_flight.reset();
    for (auto& item : items) {
        if (item.kind != wire::claim_kind::claim) {
            row.queue.push_back(std::move(item));
        }
    }
}

void claim_home::dispatched(shard_number shard, const wire::answer& answer) {
    auto& row = shards_[shard];
    const auto* claim = row.fold.find(answer.id);
    if (answer.result == wire::outcome::not_run) {
        release(row, answer.id);
    } else if (answer.result == wire::outcome::completed && claim != nullptr) {
        const wire::claim_item item{wire::claim_kind::outcome, answer.id,
                                    claim->epoch, claim->created_ms,
                                    answer.body};
        row.outcomes[answer.id] = item;
        row.queue.push_back(item);
    }
    answer_all(row, answer.id, answer);
}

void claim_home::tick(base::millis now, base::millis wall) {
    for (auto& [shard, row] : shards_) {
        forget(wall, row);
        expire(now, row);
        make_snapshot(now, row);
        send(now, shard, row);
    }
}

void claim_home::forget(base::millis wall, shard_row& row) {
    const auto before = wall - 2 * times_.keep;
    row.fold.forget(before);
    for (auto at = row.outcomes.begin(); at != row.outcomes.end();) {
        at = at->second.created_ms < before ? row.outcomes.erase(at)
                                            : std::next(at);
    }
}

bool claim_home::snapshot_due(base::millis now, const shard_row& row) const {
    if (!ready(row) || !row.parts.empty() ||
        now - row.snapshot_at < snapshot_pause) {
        return false;
    }
    const auto kept = row.fold.next() - row.first;
    const auto since = row.fold.next() - row.fold.covered();
    const auto least = std::max(times_.snapshot_records,
                                static_cast<wire::log_offset>(row.fold.size()));
    // Half of what the log keeps is left as a margin. Before anything was
    // dropped nobody knows how much that is; then a snapshot costs at most one
    // claim for each record.
    return since >= least || (row.first > 0 && since > kept / 2) ||
           now - row.covered_at >= times_.snapshot_age;
}

void claim_home::make_snapshot(base::millis now, shard_row& row) {
    if (row.covered != row.fold.covered() || row.covered_at == 0) {
        row.covered = row.fold.covered();
        row.covered_at = now;
    }
    if (!snapshot_due(now, row)) {
        return;
    }
    row.snapshot_at = now;
    for (auto& part : row.fold.snapshot(claims_per_part)) {
        row.parts.push_back(std::move(part));
    }
}

void claim_home::expire(base::millis now, shard_row& row) {
    std::set<base::request_id> late;
    for (auto& [key, p] : row.pending) {
        if (expire_waiters(now, key, p) && p.at != stage::running) {
            late.insert(key);
        }
    }
    if (late.empty()) {
        return;
    }
    for (const auto& key : late) {
        row.pending.erase(key);
    }
    drop_claims(row, late);
}

void claim_home::drop_claims(shard_row& row,
                             const std::set<base::request_id>& keys) {
    // Only the claims go: the release of an earlier try must still be written.
    row.queue.erase(std::remove_if(row.queue.begin(), row.queue.end(),
                                   [&](const wire::claim_item& i) {
                                       return i.kind ==
                                                  wire::claim_kind::claim &&
                                              keys.count(i.key) != 0;
                                   }),
                    row.queue.end());
}

bool claim_home::expire_waiters(base::millis now, const base::request_id& key,
                                pending_request& p) {
    const bool running = p.at == stage::running;
    const auto why = wire::reason::deadline_passed;
    const auto answer = running
                            ? wire::unknown(key, why, self_)
                            : wire::not_run(key, why, times_.refusal, self_);
    const auto limit = running ? now - times_.answer_grace : now;
    std::vector<waiting_caller> left;
    for (const auto& caller : p.waiters) {
        if (caller.deadline <= limit) {
            effects_.push_back(answer_request{caller.waiter, answer});
        } else {
            left.push_back(caller);
        }
    }
    p.waiters = std::move(left);
    return p.waiters.empty();
}

bool claim_home::fill(base::millis now, shard_number shard, shard_row& row) {
    wire::claim_record record;
    record.node = self_;
    record.incarnation = incarnation_;
    if (row.home && row.held < 0 && now >= row.take_not_before) {
        record.starts_epoch = true;
        row.take_not_before = now + takeover_pause;
    } else if (!row.queue.empty() || !row.parts.empty()) {
        const auto count = std::min(row.queue.size(), times_.most_items);
        const auto end = row.queue.begin() + static_cast<std::ptrdiff_t>(count);
        record.items.assign(std::make_move_iterator(row.queue.begin()),
                            std::make_move_iterator(end));
        row.queue.erase(row.queue.begin(), end);
        if (!row.parts.empty()) {
            record.snapshot = std::move(row.parts.front());
            row.parts.pop_front();
        }
    } else {
        return false;
    }
    record.sequence = ++appends_;
    for (auto& item : record.items) {
        const auto at = row.pending.find(item.key);
        if (item.kind == wire::claim_kind::claim && at != row.pending.end() &&
            at->second.at == stage::queued) {
            // The epoch may have changed since the request was submitted.
            item.epoch = row.held;
            at->second.at = stage::appending;
            at->second.sequence = record.sequence;
        }
    }
    const auto id = id_of(record);
    row.in_flight = append_claims{shard, id, std::move(record)};
    row.in_doubt = false;
    return true;
}

void claim_home::send(base::millis now, shard_number shard, shard_row& row) {
    if (row.sent || now < row.not_before ||
        (!row.in_flight && !fill(now, shard, row))) {
        return;
    }
    row.sent = true;
    row.not_before = now + times_.window;
    effects_.push_back(*row.in_flight);
}

std::vector<std::pair<shard_number, wire::log_offset>>
claim_home::reading() const {
    std::vector<std::pair<shard_number, wire::log_offset>> result;
    for (const auto& [shard, row] : shards_) {
        if (row.home || !row.pending.empty() || row.in_flight ||
            !row.queue.empty() || row.read_back < row.written) {
            result.emplace_back(shard, row.fold.next());
        }
    }
    return result;
}

std::size_t claim_home::pending() const {
    std::size_t count = 0;
    for (const auto& [shard, row] : shards_) {
        count += row.pending.size();
        if (!row.log_failing) {
            count += row.queue.size() + (row.in_flight ? 1U : 0U);
        }
    }
    return count;
}

std::vector<claim_effect> claim_home::take_effects() {
    return std::exchange(effects_, {});
}

} // namespace hibiscus::cluster
