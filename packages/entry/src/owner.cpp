#include "owner.hpp"

#include "hibiscus/base/result.hpp"
#include "platform/sampler_calls.hpp"
#include "platform/store_client.hpp"

#include <algorithm>

namespace hibiscus::entry {

namespace {

/// How often waiting items and silent runs are looked at, in ms. Places that
/// fall free are filled at once by the run's end itself.
constexpr base::millis tick_ms = batch::work::tick_ms;

/// How often open jobs are compared with their routes, in ms.
constexpr base::millis follow_ms = 250;

/// The pause before a job's items are read again, in ms.
constexpr base::millis load_retry_ms = 100;

/// Epochs of texts under way that one owner may use: it starts texts anew
/// only where versions must not mix.
constexpr std::int64_t epochs_of_owner = 1000;

/// New items start only while the store was heard within this share of the
/// time in which the end of a job must take effect.
constexpr base::millis cancel_share = 2;

/// How many of an ended job's slowest items are logged.
constexpr std::size_t slowest_told = 12;

} // namespace

owner::owner(node_state& state, const store::log_store& store,
             const store::store_link& link, store::follower& journal,
             const job_files& files, transport::upstream_client& client,
             forwarder& requests, store::delay_function after)
    : state_(state), store_(store), link_(link), journal_(journal),
      files_(files), client_(client), requests_(requests),
      after_(std::move(after)), work_(state.clock, state.samplers),
      rollout_(state.clock), incarnation_(std::to_string(state.random()) + "-" +
                                          std::to_string(state.random())),
      ownership_(state.clock, state.config.node, incarnation_, {}, state.draw(),
                 state.config.mechanisms.has(base::mechanism::owner_by_size)
                     ? state.config.cpu_share
                     : 1),
      hand_over_(state.clock) {}

void owner::start() {
    tick();
}

bool owner::owns() const {
    return !hand_over_.ended() && ownership_.mine(state_.jobs);
}

void owner::contact(bool up) {
    ownership_.contact(up);
}

bool owner::store_heard() const {
    const auto age = state_.clock.now() - journal_.current_at();
    return journal_.loaded() && age < state_.config.cancel_ms / cancel_share;
}

/// New items start only while this node would know if their job had ended.
bool owner::may_start() const {
    return !hand_over_.begun() && (store_heard() || link_.down_for_all());
}

void owner::claim() {
    if (appending_) {
        return;
    }
    const auto& before = state_.jobs.owner();
    state_.log.write(
        "claim",
        {{"before", before ? before->record.node.str() : ""},
         {"silent_ms", before ? state_.clock.now() - before->seen_at : 0},
         {"read_to", journal_.next()}});
    append({own_record(journal_.next(), false)}, [](bool) {});
}

void owner::ledger_changed(const std::set<batch::job_id>& jobs) {
    const bool owns_now = owns();
    if (owns_now != owned_before_) {
        owned_before_ = owns_now;
        owner_changed(owns_now);
        return;
    }
    if (!owns_now) {
        return;
    }
    for (const auto& id : jobs) {
        const auto* row = state_.jobs.find(id);
        if (row != nullptr && row->ended) {
            log_lives(id, *row);
            run(work_.drop(id));
            erase_progress(id);
        } else if (row != nullptr) {
            run(work_.listed(id, row->listed));
        }
    }
    sync();
}

void owner::owner_changed(bool mine) {
    const auto& o = state_.jobs.owner();
    state_.log.write("owner", {{"mine", mine},
                               {"node", o ? o->record.node.str() : ""},
                               {"fence", o ? o->record.fence : 0},
                               {"read_to", journal_.next()}});
    if (mine) {
        // Another owner's order may still be under way, and a server that
        // does not check fences would carry it out after this owner's. Where
        // they check, and for the first owner of all and one that follows on
        // itself, there is nothing to wait for.
        const bool alone = o->record.fence == 0 ||
                           last_owner_ == state_.config.node ||
                           state_.config.fences_checked;
        may_order_at_ =
            state_.clock.now() + (alone ? 0 : state_.config.lease_ms);
        rollout_.reset();
        state_.samplers.clear_loading();
        sync();
        return;
    }
    run(work_.drop_all());
    rewards_.clear();
    progress_keys_.clear();
    loading_.clear();
    for (auto& j : judging_) {
        j.second->cancel();
    }
    judging_.clear();
}

/// Tells what an ended job waited for: its slowest items, one line each.
void owner::log_lives(const batch::job_id& id, const batch::job_row& row) {
    const auto lives = work_.lives(id);
    const auto age = state_.clock.now() - row.seen_at;
    state_.counters.observe("job", age);
    std::size_t told = 0;
    for (const auto& l : lives) {
        if (++told > slowest_told) {
            return;
        }
        state_.log.write("slow_item", {{"job", id},
                                       {"step", row.header->step},
                                       {"job_ms", age},
                                       {"item", l.number},
                                       {"first_start_ms", l.first_start},
                                       {"text_ms", l.text_complete},
                                       {"ready_ms", l.ready},
                                       {"runs", l.runs},
                                       {"events", l.events},
                                       {"expected_tokens", l.expected_tokens}});
    }
}

std::optional<batch::job_terms>
owner::terms_of(const batch::job_header& header) {
    if (!state_.routes) {
        return std::nullopt;
    }
    const auto* r = gateway::match(*state_.routes, header.host, header.path);
    if (r == nullptr) {
        return std::nullopt;
    }
    batch::job_terms t;
    t.service = samplers::service_name(choose_target(*r, state_.draw()));
    t.attempts = r->attempts;
    t.single_version = r->single_version;
    t.due_ms = r->batch_due_ms;
    t.keep_ms = r->batch_keep_ms;
    return t;
}

/// Takes up all open jobs that are not in work yet.
void owner::sync() {
    for (const auto& [id, row] : state_.jobs.jobs()) {
        if (row.ended || !row.header || work_.has(id) ||
            loading_.count(id) != 0 || !terms_of(*row.header)) {
            continue;
        }
        loading_.insert(id);
        load(id);
    }
}

/// Open jobs go where their routes go now: the service that was chosen when
/// they were taken up may lose its servers.
void owner::follow_routes() {
    const auto now = state_.clock.now();
    if (!state_.routes || now - last_follow_ < follow_ms) {
        return;
    }
    last_follow_ = now;
    for (const auto& [id, row] : state_.jobs.jobs()) {
        if (!row.ended && row.header && work_.has(id)) {
            follow_route(id, *row.header);
        }
    }
}

void owner::follow_route(const batch::job_id& id,
                         const batch::job_header& header) {
    const auto* r = gateway::match(*state_.routes, header.host, header.path);
    const auto before = work_.service_of(id);
    const bool stays =
        r == nullptr || (gateway::has_target(*r, before.str()) &&
                         state_.samplers.serves(before, header.model));
    if (stays) {
        return;
    }
    const samplers::service_name to(choose_target(*r, state_.draw()));
    if (to == before || !state_.samplers.serves(to, header.model)) {
        return;
    }
    work_.move_to(id, to);
    state_.log.write("job_moved",
                     {{"job", id}, {"before", before}, {"service", to}});
}

/// Reads a job's items and what was saved of them.
void owner::load(const batch::job_id& id) {
    struct parts {
        std::optional<std::vector<batch::item>> items;
        std::optional<job_files::progress_map> progress;
        int missing = 2;
    };
    auto got = std::make_shared<parts>();
    const auto one_done = [this, id, got] {
        if (--got->missing > 0) {
            return;
        }
        if (!got->items || !got->progress) {
            after_(load_retry_ms, [this, id] { loading_.erase(id); });
            return;
        }
        loading_.erase(id);
        take_up(id, std::move(*got->items), *got->progress);
    };
    files_.load_items(id, [got, one_done](auto items) {
        got->items = std::move(items);
        one_done();
    });
    files_.load_progress(id, [got, one_done](auto progress) {
        got->progress = std::move(progress);
        one_done();
    });
}

void owner::take_up(const batch::job_id& id, std::vector<batch::item> items,
                    const job_files::progress_map& progress) {
    const auto* row = state_.jobs.find(id);
    if (!owns() || row == nullptr || row->ended || work_.has(id)) {
        return;
    }
    const auto terms = terms_of(*row->header);
    if (!terms || static_cast<int>(items.size()) != row->header->items) {
        state_.log.write("job_waits",
                         {{"job", id},
                          {"items", static_cast<int>(items.size())},
                          {"reason", terms ? "items_missing" : "no_route"}});
        return;
    }
    const auto before = work_.counts();
    const auto fence = state_.jobs.owner()->record.fence;
    run(work_.adopt(*row, std::move(items), progress, *terms,
                    static_cast<std::int64_t>(fence) * epochs_of_owner));
    const auto& counts = work_.counts();
    state_.log.write("job_taken_up",
                     {{"job", id},
                      {"step", row->header->step},
                      {"items", row->header->items},
                      {"listed", static_cast<int>(row->listed.size())},
                      {"saved", static_cast<int>(progress.size())},
                      {"least_version", row->header->least_version},
                      {"carried", counts.carried - before.carried},
                      {"reused", counts.reused_texts - before.reused_texts},
                      {"void_events", counts.void_events - before.void_events},
                      {"age_ms", state_.clock.now() - row->seen_at}});
    run(work_.tick(may_start()));
}

void owner::version_named(const std::string& model, std::int64_t version) {
    rollout_.name_version(model, version);
    work_.version_named(model, version);
    state_.log.write("version_named", {{"model", model}, {"version", version}});
}

void owner::tick() {
    step_hand_over();
    if (journal_.loaded() && !hand_over_.begun()) {
        switch (ownership_.next(state_.jobs, journal_.current_at())) {
        case batch::ownership_step::nothing:
            break;
        case batch::ownership_step::claim:
            claim();
            break;
        case batch::ownership_step::renew:
            renew_due_ = true;
            break;
        }
    }
    if (const auto& o = state_.jobs.owner()) {
        last_owner_ = owns() ? last_owner_ : o->record.node;
    }
    if (owns()) {
        sync();
        follow_routes();
        run(work_.tick(may_start()));
        order_loads();
        renew_overdue();
        commit();
        save();
        expire();
        report_waits();
    }
    after_(tick_ms, [this] { tick(); });
}

void owner::hand_over(std::function<void()> done) {
    hand_over_.begin();
    handed_over_ = std::move(done);
    if (owns()) {
        save_now(1, [this] {
            hand_over_.saved();
            step_hand_over();
        });
    }
    step_hand_over();
}

/// Says in the journal that the ownership is vacant, so that the next owner
/// need not wait for this one's silence.
void owner::step_hand_over() {
    switch (hand_over_.next(owns(), appending_)) {
    case batch::hand_over_step::wait:
        break;
    case batch::hand_over_step::give_up:
        append({own_record(state_.jobs.owner()->record.fence, true)},
               [this](bool done) {
                   if (!done) {
                       hand_over_.refused();
                   }
                   step_hand_over();
               });
        break;
    case batch::hand_over_step::end:
        end_hand_over();
        break;
    }
}

void owner::end_hand_over() {
    // Whatever the journal says, this process no longer acts as the owner.
    if (std::exchange(owned_before_, false)) {
        owner_changed(false);
    }
    log_hand_over();
    std::exchange(handed_over_, nullptr)();
}

} // namespace hibiscus::entry
