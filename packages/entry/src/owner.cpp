#include "owner.hpp"

#include "hibiscus/base/result.hpp"
#include "platform/sampler_calls.hpp"
#include "platform/store_client.hpp"

#include <algorithm>

namespace hibiscus::entry {

namespace {

/// How often waiting items and silent runs are looked at, in ms. Places that
/// fall free are filled at once by the run's end itself.
constexpr base::millis tick_ms = 25;

/// The least time between two appends of results, in ms: each wakes a read
/// of every node, and readers ask only twice a second.
constexpr base::millis commit_ms = 30;

/// The pause before results are stored again after a failure, in ms.
constexpr base::millis commit_retry_ms = 150;

/// How often texts under way are saved, in ms, and the least number of new
/// events of a run. A kill then costs half a second of a run.
constexpr base::millis progress_ms = 500;
constexpr int progress_events = 6;

/// The text in one append, in bytes; half of what the store takes, since the
/// last result may be long.
constexpr std::size_t commit_bytes = 768 * 1024;

/// The share of a record that results fill before the next one is begun; the
/// last result may be long.
constexpr std::size_t record_share = 2;

/// The pause before a job's items are read again, in ms.
constexpr base::millis load_retry_ms = 100;

/// Epochs of texts under way that one owner may use: it starts texts anew
/// only where versions must not mix.
constexpr std::int64_t epochs_of_owner = 1000;

/// New items start only while the store was heard within this share of the
/// time in which the end of a job must take effect.
constexpr base::millis cancel_share = 2;

/// The share of the places of a service that reward calls may take; callers'
/// own requests to it come first.
constexpr double reward_share = 0.6;
constexpr std::size_t least_rewards = 2;

/// How long a reward call may take, in ms: its servers work 80 ms on it, 600
/// at most.
constexpr base::millis reward_ms = 2000;

/// How long an order may take to be answered, in ms.
constexpr base::millis order_ms = 800;

constexpr base::millis connect_ms = 250;

/// How many of an ended job's slowest items are logged.
constexpr std::size_t slowest_told = 12;

/// How often the last append of an owner that stops is tried: more would keep
/// the next owner waiting, who can do without it.
constexpr int most_leave_tries = 20;
constexpr base::millis leave_retry_ms = 20;

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
      ownership_(state.clock, state.config.node, incarnation_, {},
                 state.draw(), state.config.cpu_share) {}

void owner::start() {
    tick();
}

bool owner::owns() const {
    return ownership_.mine(state_.jobs);
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
    return !leaving_ && (store_heard() || link_.down_for_all());
}

store::record owner::own_record(store::log_offset fence, bool left) {
    return {batch::to_text(batch::owner_key{}),
            batch::encode(batch::owner_record{state_.config.node, incarnation_,
                                              fence, ++beats_, left})};
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

/// Appends to the journal if nothing came that this node has not read.
void owner::append(const std::vector<store::record>& records,
                   std::function<void(bool)> done) {
    appending_ = true;
    const auto at = journal_.next();
    const auto sent_at = state_.clock.now();
    store_.append({adapter::journal_topic, 0}, records, &at,
                  [this, records, sent_at,
                   done = std::move(done)](const store::append_result& r) {
                      appending_ = false;
                      const auto ms = state_.clock.now() - sent_at;
                      state_.counters.observe("store_append", ms);
                      log_append(r, records.size(), ms);
                      const auto* a = base::value_if(r);
                      if (a != nullptr) {
                          ownership_.renewed();
                          journal_.appended_here(a->first, records);
                      }
                      done(a != nullptr);
                  });
}

void owner::log_append(const store::append_result& result, std::size_t records,
                       base::millis ms) {
    std::visit(base::overloaded{
                   [&](const store::appended&) {},
                   [&](const store::end_differs& d) {
                       state_.log.write("append_refused",
                                        {{"reason", "end_differs"},
                                         {"end", d.end},
                                         {"read_to", journal_.next()}});
                   },
                   [&](const store::refused& f) {
                       state_.log.write(
                           "append_refused",
                           {{"reason", "store"}, {"status", f.status}});
                   },
                   [&](const store::unanswered&) {
                       state_.log.write(
                           "append_unanswered",
                           {{"records", static_cast<std::int64_t>(records)},
                            {"ms", ms}});
                   }},
               result);
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
    if (journal_.loaded() && !leaving_) {
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
        run(work_.tick(may_start()));
        order_loads();
        commit();
        save();
    }
    after_(tick_ms, [this] { tick(); });
}

void owner::run(const batch::effects& effects) {
    for (const auto& e : effects) {
        std::visit(
            base::overloaded{
                [&](const batch::start_run& r) { start_one(r); },
                [&](const batch::stop_run& s) {
                    const auto live = runs_.find(s.run);
                    if (live == runs_.end()) {
                        return;
                    }
                    state_.log.write(
                        "run_stopped",
                        {{"job", live->second.job},
                         {"item", live->second.number},
                         {"server", live->second.server},
                         {"events", live->second.events},
                         {"status", live->second.status},
                         {"ms", state_.clock.now() - live->second.started_at},
                         {"reason", s.reason}});
                    live->second.call->cancel();
                    runs_.erase(live);
                },
                [&](const batch::start_reward& r) {
                    rewards_.push_back({r.job, r.number, *r.call});
                }},
            e);
    }
    start_rewards();
}

void owner::start_one(const batch::start_run& r) {
    const auto* row = state_.samplers.find(r.sampler);
    auto& live = runs_[r.run];
    live.server = r.sampler;
    live.job = r.job;
    live.number = r.number;
    live.started_at = state_.clock.now();
    transport::call_options options;
    options.connect_ms = connect_ms;
    transport::upstream_events events;
    const auto run_id = r.run;
    events.head = [this, run_id](const transport::upstream_head& h) {
        const auto at = runs_.find(run_id);
        if (at == runs_.end()) {
            return;
        }
        const auto a = adapter::read_answer(h);
        at->second.status = a.status;
        at->second.not_run = a.not_run;
        at->second.other_server = a.other_server;
        if (a.status == 200 && a.version) {
            run(work_.head(run_id, *a.version));
        }
    };
    events.data = [this, run_id](std::string_view piece) {
        const auto at = runs_.find(run_id);
        if (at == runs_.end() || at->second.status != 200) {
            return;
        }
        for (auto& e : at->second.parser.feed(piece)) {
            ++at->second.events;
            run(work_.event(run_id, e.id, e.data, adapter::version_at(e)));
            if (runs_.count(run_id) == 0) {
                return;
            }
        }
    };
    events.ended = [this, run_id](transport::call_end end) {
        run_ended(run_id, end);
    };
    state_.log.write("run_started",
                     {{"job", r.job},
                      {"item", r.number},
                      {"id", r.content->id},
                      {"server", r.sampler},
                      {"running_there", row->running},
                      {"version", row->version_of(r.model)},
                      {"after_event", r.last_event},
                      {"expected_tokens", r.content->expected_tokens}});
    live.call =
        client_.start(row->registered.address, adapter::run_request(r), options,
                      std::move(events), adapter::request_id_field);
}

batch::run_end owner::end_of(const live_run& live,
                             transport::call_end end) const {
    // A body without a length that ends with its connection may have been cut
    // between two events; going on behind the last one shows whether it was.
    if (end != transport::call_end::complete) {
        return batch::run_end::cut;
    }
    if (live.status == 200) {
        return batch::run_end::complete;
    }
    if (live.other_server) {
        return batch::run_end::other_server;
    }
    if (live.not_run) {
        return batch::run_end::not_run;
    }
    if (live.status == 422) {
        return batch::run_end::impossible;
    }
    if (live.status == 500) {
        return batch::run_end::failed;
    }
    return batch::run_end::cut;
}

void owner::run_ended(batch::run_number run_id, transport::call_end end) {
    const auto at = runs_.find(run_id);
    if (at == runs_.end()) {
        return;
    }
    const auto what = end_of(at->second, end);
    const auto& live = at->second;
    state_.log.write("run_ended", {{"job", live.job},
                                   {"item", live.number},
                                   {"server", live.server},
                                   {"events", live.events},
                                   {"status", live.status},
                                   {"ms", state_.clock.now() - live.started_at},
                                   {"how", base::name_of(end)},
                                   {"outcome", base::name_of(what)}});
    state_.counters.observe("run", state_.clock.now() - live.started_at);
    state_.counters.count_answer("run", std::string(base::name_of(what)), "");
    runs_.erase(at);
    run(work_.ended(run_id, what));
    run(work_.tick(may_start()));
    commit();
}

std::size_t owner::reward_places(const samplers::service_name& service) const {
    int slots = 0;
    for (const auto& [id, row] : state_.samplers.rows()) {
        if (row.registered.service == service && !row.registered.draining) {
            slots += row.registered.slots;
        }
    }
    return std::max(least_rewards,
                    static_cast<std::size_t>(slots * reward_share));
}

void owner::start_rewards() {
    while (!rewards_.empty()) {
        const auto& first = rewards_.front();
        const auto* r = state_.routes
                            ? gateway::match(*state_.routes, first.call.host,
                                             first.call.path)
                            : nullptr;
        if (r != nullptr &&
            judging_.size() >= reward_places(samplers::service_name(
                                   r->targets.front().service))) {
            return;
        }
        const auto task = std::move(rewards_.front());
        rewards_.pop_front();
        send_reward(task);
    }
}

void owner::send_reward(const reward_task& task) {
    const auto* r =
        gateway::match(*state_.routes, task.call.host, task.call.path);
    if (r == nullptr) {
        state_.log.write(
            "reward_failed",
            {{"job", task.job}, {"item", task.number}, {"reason", "no route"}});
        run(work_.reward_ended(task.job, task.number, batch::reward_failed{}));
        return;
    }
    forward_request f;
    f.id = task.call.id;
    f.kind = "reward";
    f.content = adapter::reward_request(task.call);
    f.service = samplers::service_name(choose_target(*r, state_.draw()));
    f.attempts = r->attempts;
    f.repeatable = true;
    f.retry_failures = true;
    f.due = state_.clock.now() + reward_ms;
    f.objective_ms = r->objective_ms;
    const auto number = ++last_judging_;
    const int attempts = r->attempts;
    auto judged = [this, number, attempts, task](const forward_result& result) {
        judging_.erase(number);
        const auto outcome = std::visit(
            base::overloaded{
                [&](const forwarded& f) -> batch::reward_outcome {
                    if (f.head.status / 100 == 2) {
                        return batch::rewarded{f.signature};
                    }
                    return batch::reward_failed{f.failures, attempts};
                },
                [&](const not_forwarded& n) -> batch::reward_outcome {
                    return batch::reward_failed{n.failures, attempts};
                }},
            result);
        run(work_.reward_ended(task.job, task.number, outcome));
        commit();
    };
    judging_[number] = nullptr;
    auto going = requests_.send(std::move(f), std::move(judged));
    const auto at = judging_.find(number);
    if (at != judging_.end()) {
        at->second = std::move(going);
    }
}

/// Lists what is ready: first the texts, under keys that nobody else uses,
/// then, on the condition that this node is still the owner, where they are.
void owner::commit() {
    const auto now = state_.clock.now();
    if (committing_ || !owns() || now - last_commit_ < commit_ms) {
        return;
    }
    auto lists = collect();
    if (lists.empty()) {
        if (std::exchange(renew_due_, false) && !appending_) {
            const auto fence = state_.jobs.owner()->record.fence;
            append({own_record(fence, false)}, [](bool) {});
        }
        return;
    }
    committing_ = true;
    last_commit_ = now;
    auto waiting = std::make_shared<int>(static_cast<int>(lists.size()));
    auto whole = std::make_shared<bool>(true);
    auto all =
        std::make_shared<std::vector<batch::planned_listing>>(std::move(lists));
    for (const auto& l : *all) {
        files_.append_texts(
            l.job, {l.texts},
            [this, waiting, whole, all](const store::append_result& r) {
                *whole = *whole && base::value_if(r) != nullptr;
                if (--*waiting == 0) {
                    list(*all, *whole);
                }
            });
    }
}

std::vector<batch::planned_listing> owner::collect() {
    return batch::plan_listings(
        state_.jobs, work_.ready(commit_bytes),
        state_.config.record_bytes / record_share, [this] {
            return incarnation_ + "-" + std::to_string(++texts_written_);
        });
}

void owner::list(const std::vector<batch::planned_listing>& lists,
                 bool stored) {
    const bool fits = batch::still_fits(state_.jobs, lists);
    if (!stored || !fits || !owns() || appending_) {
        committing_ = false;
        if (!stored || !fits) {
            state_.log.write("append_refused",
                             {{"reason", stored ? "listed_before" : "texts"}});
            // While the store is away, each try would encode and send all
            // that has become ready once more.
            last_commit_ = state_.clock.now() + (stored ? 0 : commit_retry_ms);
        }
        return;
    }
    std::vector<store::record> records;
    records.reserve(lists.size() + 1);
    for (const auto& l : lists) {
        records.push_back(
            {batch::to_text(batch::listing_key{l.job, l.position}),
             batch::encode(l.content)});
    }
    // Each append renews the ownership as well; a separate one would find the
    // journal's end moved half of the time.
    renew_due_ = false;
    records.push_back(own_record(state_.jobs.owner()->record.fence, false));
    append(records, [this, lists](bool done) {
        committing_ = false;
        if (!done) {
            return;
        }
        for (const auto& l : lists) {
            state_.log.write(
                "listed", {{"job", l.job},
                           {"position", l.position},
                           {"items", static_cast<int>(l.content.rows.size())},
                           {"ms", state_.clock.now() - last_commit_}});
        }
    });
}

/// Saves what has come of texts under way.
void owner::save() {
    const auto now = state_.clock.now();
    if (saving_ > 0 || now - last_progress_ < progress_ms) {
        return;
    }
    last_progress_ = now;
    save_now(progress_events, [] {});
}

void owner::save_now(int least, std::function<void()> done) {
    std::map<batch::job_id, std::vector<batch::unsaved_part>> by_job;
    for (auto& p : work_.unsaved(least, commit_bytes)) {
        by_job[p.job].push_back(std::move(p));
    }
    if (by_job.empty()) {
        done();
        return;
    }
    saving_ += static_cast<int>(by_job.size());
    for (auto& [id, parts] : by_job) {
        std::vector<store::record> records;
        for (const auto& p : parts) {
            records.push_back(
                {batch::progress_text(p.job, p.part), batch::encode(p.part)});
        }
        files_.append_progress(id, records,
                               [this, parts = std::move(parts),
                                done](const store::append_result& r) {
                                   if (base::value_if(r) != nullptr) {
                                       for (const auto& p : parts) {
                                           work_.saved(p);
                                       }
                                   } else {
                                       state_.log.write(
                                           "append_refused",
                                           {{"reason", "progress"}});
                                   }
                                   if (--saving_ == 0) {
                                       done();
                                   }
                               });
    }
}

void owner::order_loads() {
    if (!store_heard() || leaving_ || state_.clock.now() < may_order_at_) {
        return;
    }
    for (const auto& id : rollout_.checks()) {
        ask_report(id, [this, id](const auto& report) {
            if (report && !report->busy) {
                load_done(id, *report);
            }
        });
    }
    for (const auto& order : rollout_.due(state_.samplers)) {
        ask_report(order.sampler, [this, order](const auto& report) {
            on_report(order, report);
        });
    }
}

void owner::ask_report(
    const samplers::sampler_id& id,
    std::function<void(const std::optional<adapter::server_report>&)> done) {
    call_server(id, adapter::report_request(),
                [done = std::move(done)](const server_reply& reply) {
                    done(reply.status == 200 ? adapter::read_report(reply.body)
                                             : std::nullopt);
                });
}

void owner::load_done(const samplers::sampler_id& id,
                      const adapter::server_report& report) {
    rollout_.done(id);
    state_.samplers.set_loading(id, false);
    for (const auto& [model, version] : report.versions) {
        state_.samplers.saw_version(id, model, version);
    }
}

/// Orders on the condition that the server has accepted as many orders as it
/// reports.
void owner::on_report(const samplers::load_order& order,
                      const std::optional<adapter::server_report>& report) {
    if (!report || !owns() || !store_heard() || leaving_) {
        rollout_.not_taken(order);
        state_.log.write("order_waits",
                         {{"server", order.sampler},
                          {"version", order.version},
                          {"reason", report ? "not_holder" : "no_report"}});
        return;
    }
    if (report->busy) {
        rollout_.busy(order.sampler);
        state_.samplers.set_loading(order.sampler, true);
        state_.log.write("order_waits", {{"server", order.sampler},
                                         {"version", order.version},
                                         {"reason", "busy"}});
        return;
    }
    const auto has = report->versions.find(order.model);
    if (has != report->versions.end() && has->second >= order.version) {
        load_done(order.sampler, *report);
        return;
    }
    send_order(order, report->orders);
}

void owner::send_order(const samplers::load_order& order,
                       std::int64_t after_orders) {
    const auto fence = state_.jobs.owner()->record.fence + 1;
    call_server(order.sampler,
                adapter::order_request(order, state_.config.node.str(), fence,
                                       after_orders),
                [this, order, after_orders, fence](const server_reply& reply) {
                    const auto a = adapter::read_order_answer(reply.status);
                    if (a == adapter::order_answer::accepted) {
                        rollout_.accepted(order);
                        state_.samplers.set_loading(order.sampler, true);
                    } else if (a == adapter::order_answer::already_held) {
                        rollout_.done(order.sampler);
                        state_.samplers.saw_version(order.sampler, order.model,
                                                    order.version);
                    } else {
                        rollout_.not_taken(order);
                    }
                    state_.log.write("order",
                                     {{"server", order.sampler},
                                      {"version", order.version},
                                      {"after_orders", after_orders},
                                      {"fence", fence},
                                      {"status", reply.status},
                                      {"how", base::name_of(reply.end)},
                                      {"outcome", base::name_of(a)}});
                });
}

void owner::call_server(const samplers::sampler_id& id,
                        transport::upstream_request request,
                        std::function<void(const server_reply&)> done) {
    auto reply = std::make_shared<server_reply>();
    const auto* row = state_.samplers.find(id);
    if (row == nullptr) {
        done(*reply);
        return;
    }
    transport::call_options options;
    options.connect_ms = connect_ms;
    options.total_ms = order_ms;
    transport::upstream_events events;
    events.head = [reply](const transport::upstream_head& h) {
        reply->status = h.status;
    };
    events.data = [reply](std::string_view piece) { reply->body += piece; };
    events.ended = [reply, done = std::move(done)](transport::call_end end) {
        reply->end = end;
        if (end != transport::call_end::complete &&
            end != transport::call_end::closed) {
            reply->status = 0;
        }
        done(*reply);
    };
    client_.start(row->registered.address, std::move(request), options,
                  std::move(events));
}

void owner::hand_over(std::function<void()> done) {
    leaving_ = true;
    if (!owns()) {
        done();
        return;
    }
    left_ = std::move(done);
    save_now(1, [this] { leave(); });
}

/// Says in the journal that the ownership is vacant, so that the next owner
/// need not wait for this one's silence.
void owner::leave() {
    if (!left_) {
        return;
    }
    if (!owns() || ++leave_tries_ > most_leave_tries) {
        run(work_.drop_all());
        const auto left = std::exchange(left_, nullptr);
        left();
        return;
    }
    if (appending_) {
        after_(leave_retry_ms, [this] { leave(); });
        return;
    }
    append({own_record(state_.jobs.owner()->record.fence, true)},
           [this](bool) { after_(leave_retry_ms, [this] { leave(); }); });
}

} // namespace hibiscus::entry
