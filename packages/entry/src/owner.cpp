#include "owner.hpp"

#include "hibiscus/base/result.hpp"
#include "platform/sampler_calls.hpp"
#include "platform/store_client.hpp"

#include <algorithm>

namespace hibiscus::entry {

namespace {

const char* const group_name = "owners";

/// How often the group is asked. A member is given up after `member_ttl_ms`,
/// at least a second; four calls in that time bear three losses.
constexpr base::millis join_ms = 250;

/// How often waiting items and silent runs are looked at, in ms. Places that
/// fall free are filled at once by the run's end itself.
constexpr base::millis tick_ms = 25;

/// The least time between two appends of results, in ms: each wakes a read
/// of every node, and readers ask only twice a second.
constexpr base::millis commit_ms = 30;

/// How often texts under way are saved, in ms, and the least number of new
/// events of a run. A kill then costs half a second of a run.
constexpr base::millis progress_ms = 500;
constexpr int progress_events = 6;

/// The text in one append, in bytes; half of what the store takes, since the
/// last result may be long.
constexpr std::size_t commit_bytes = 768 * 1024;

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

/// How long a server takes no new runs after it took an order, in ms.
constexpr base::millis load_pause_ms = 1000;

constexpr base::millis connect_ms = 250;

/// How often the last append of an owner that stops is tried: more would keep
/// the next owner waiting, who can do without it.
constexpr int most_leave_tries = 3;

} // namespace

owner::owner(node_state& state, const store::log_store& store,
             store::follower& jobs, transport::upstream_client& client,
             forwarder& requests, store::delay_function after)
    : state_(state), store_(store), jobs_(jobs), client_(client),
      requests_(requests), after_(std::move(after)),
      work_(state.clock, state.samplers), rollout_(state.clock),
      incarnation_(std::to_string(state.random()) + "-" +
                   std::to_string(state.random())) {}

void owner::start() {
    join();
    tick();
}

bool owner::owns() const {
    const auto& o = state_.jobs.owner();
    return o && o->record.node == state_.config.node &&
           o->record.incarnation == incarnation_ && !o->record.left;
}

bool owner::store_heard() const {
    const auto age = state_.clock.now() - jobs_.current_at();
    return jobs_.loaded() && age < state_.config.cancel_ms / cancel_share;
}

void owner::join() {
    if (leaving_) {
        return;
    }
    store_.join({group_name, state_.config.node.str() + "." + incarnation_,
                 adapter::jobs_topic, state_.config.member_ttl_ms, generation_},
                [this](const store::join_result& r) {
                    joined(r);
                    after_(join_ms, [this] { join(); });
                });
}

void owner::joined(const store::join_result& result) {
    const auto* m = base::value_if(result);
    if (m == nullptr || leaving_) {
        return;
    }
    generation_ = m->generation;
    const bool mine = std::find(m->partitions.begin(), m->partitions.end(),
                                0) != m->partitions.end();
    if (mine != assigned_) {
        state_.log.write("assignment", {{"mine", mine},
                                        {"generation", generation_},
                                        {"owns", owns()}});
    }
    assigned_ = mine;
    if (mine && !owns()) {
        take_over();
    }
}

void owner::take_over() {
    if (taking_over_ || !jobs_.loaded()) {
        return;
    }
    taking_over_ = true;
    const auto at = jobs_.next();
    const std::vector<store::record> records{
        {batch::to_text(batch::owner_key{}),
         batch::encode(batch::owner_record{state_.config.node, incarnation_,
                                           false})}};
    store_.append({adapter::jobs_topic, 0}, records, &at,
                  [this, records](const store::append_result& r) {
                      taking_over_ = false;
                      if (const auto* a = base::value_if(r)) {
                          jobs_.appended_here(a->first, records);
                      }
                  });
}

void owner::ledger_changed(const std::set<batch::job_id>& jobs) {
    const bool owns_now = owns();
    if (owns_now != owned_before_) {
        owned_before_ = owns_now;
        const auto& o = state_.jobs.owner();
        state_.log.write("owner", {{"mine", owns_now},
                                   {"node", o ? o->record.node.str() : ""},
                                   {"fence", o ? o->at : 0},
                                   {"read_to", jobs_.next()}});
        if (owns_now) {
            may_order_at_ = state_.clock.now() +
                            (o->at > 0 ? state_.config.lease_ms : 0);
            rollout_.reset();
            sync();
        } else {
            run(work_.drop_all());
            rewards_.clear();
            for (auto& j : judging_) {
                j.second->cancel();
            }
            judging_.clear();
        }
        return;
    }
    if (!owns_now) {
        return;
    }
    for (const auto& id : jobs) {
        const auto* row = state_.jobs.find(id);
        if (row == nullptr) {
            continue;
        }
        if (row->ended) {
            run(work_.drop(id));
        } else if (!work_.has(id)) {
            sync();
        }
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
        if (row.ended || !row.complete() || work_.has(id)) {
            continue;
        }
        const auto terms = terms_of(*row.header);
        if (!terms) {
            state_.log.write("job_waits", {{"job", id},
                                           {"reason", "no route"}});
            continue;
        }
        work_.adopt(id, row, *terms);
        state_.log.write("job_taken_up",
                         {{"job", id},
                          {"step", row.header->step},
                          {"items", row.header->items},
                          {"listed", static_cast<int>(row.listed.size())},
                          {"least_version", row.header->least_version},
                          {"age_ms", state_.clock.now() - row.seen_at}});
    }
}

void owner::version_named(const std::string& model, std::int64_t version) {
    rollout_.name_version(model, version);
    state_.log.write("version_named", {{"model", model}, {"version", version}});
}

void owner::tick() {
    if (owns()) {
        sync();
        run(work_.tick(store_heard() && !leaving_));
        order_loads();
        commit();
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
                    state_.log.write("run_stopped",
                                     {{"job", live->second.job},
                                      {"item", live->second.number},
                                      {"server", live->second.server},
                                      {"events", live->second.events},
                                      {"status", live->second.status},
                                      {"ms", state_.clock.now() -
                                                 live->second.started_at},
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
                      {"version", row->version_of(
                                      state_.jobs.find(r.job)->header->model)},
                      {"after_event", r.last_event},
                      {"expected_tokens", r.content->expected_tokens}});
    live.call = client_.start(row->registered.address, adapter::run_request(r),
                              options, std::move(events),
                              adapter::request_id_field);
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
    state_.log.write("run_ended",
                     {{"job", live.job},
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
    run(work_.tick(store_heard() && !leaving_));
    commit();
}

std::size_t
owner::reward_places(const samplers::service_name& service) const {
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
    const auto* r = gateway::match(*state_.routes, task.call.host,
                                   task.call.path);
    if (r == nullptr) {
        state_.log.write("reward_failed", {{"job", task.job},
                                           {"item", task.number},
                                           {"reason", "no route"}});
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
    auto judged = [this, number, attempts,
                   task](const forward_result& result) {
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

void owner::commit() {
    const auto now = state_.clock.now();
    if (committing_ || !owns() || now - last_commit_ < commit_ms) {
        return;
    }
    std::vector<store::record> records;
    std::map<batch::job_id, int> next;
    for (const auto& r : work_.ready(commit_bytes)) {
        const auto* row = state_.jobs.find(r.job);
        if (row == nullptr || row->listed.count(r.number) != 0) {
            continue;
        }
        auto& position =
            next.emplace(r.job, static_cast<int>(row->results.size()))
                .first->second;
        records.push_back(
            {batch::to_text(batch::result_key{r.job, position++, r.number}),
             batch::encode(r.result)});
    }
    std::vector<batch::unsaved_part> parts;
    if (now - last_progress_ >= progress_ms || leaving_) {
        last_progress_ = now;
        parts = work_.unsaved(leaving_ ? 1 : progress_events, commit_bytes);
        for (const auto& p : parts) {
            records.push_back(
                {batch::to_text(batch::progress_key{
                     p.job, p.part.item, p.part.epoch, p.part.from}),
                 batch::encode(p.part)});
        }
    }
    if (leaving_) {
        records.push_back({batch::to_text(batch::owner_key{}),
                           batch::encode(batch::owner_record{
                               state_.config.node, incarnation_, true})});
    }
    if (records.empty()) {
        return;
    }
    committing_ = true;
    last_commit_ = now;
    const auto at = jobs_.next();
    store_.append({adapter::jobs_topic, 0}, records, &at,
                  [this, records, parts](const store::append_result& r) {
                      committed(r, records, parts);
                  });
}

void owner::committed(const store::append_result& result,
                      const std::vector<store::record>& records,
                      const std::vector<batch::unsaved_part>& parts) {
    committing_ = false;
    const auto ms = state_.clock.now() - last_commit_;
    state_.counters.observe("store_append", ms);
    std::visit(
        base::overloaded{
            [&](const store::appended& a) {
                state_.log.write("committed", {{"records", static_cast<int>(records.size())},
                                               {"progress", static_cast<int>(parts.size())},
                                               {"first", a.first},
                                               {"ms", ms}});
                jobs_.appended_here(a.first, records);
                for (const auto& p : parts) {
                    work_.saved(p);
                }
                for (const auto& r : records) {
                    const auto key = batch::parse_key(r.key);
                    if (const auto* k = std::get_if<batch::result_key>(&*key)) {
                        run(work_.listed(k->job, k->item));
                    }
                }
            },
            [&](const store::end_differs& d) {
                state_.log.write("commit_refused",
                                 {{"reason", "end_differs"},
                                  {"end", d.end},
                                  {"read_to", jobs_.next()}});
            },
            [&](const store::refused& f) {
                state_.log.write("commit_refused", {{"reason", "store"},
                                                    {"status", f.status}});
            },
            [&](const store::unanswered&) {
                state_.log.write("commit_unanswered", {{"ms", ms}});
            }},
        result);
    if (leaving_ && left_) {
        finish_leaving(records);
    }
}

void owner::finish_leaving(const std::vector<store::record>& records) {
    const bool was_last = records.back().key ==
                          batch::to_text(batch::owner_key{});
    const bool stored = was_last && !owns();
    if (!stored && leave_tries_++ < most_leave_tries) {
        last_commit_ = 0;
        commit();
        return;
    }
    run(work_.drop_all());
    const auto left = std::exchange(left_, nullptr);
    store_.leave(group_name, state_.config.node.str() + "." + incarnation_,
                 left);
}

void owner::order_loads() {
    if (!store_heard() || leaving_ ||
        state_.clock.now() < may_order_at_) {
        return;
    }
    for (const auto& order : rollout_.due(state_.samplers)) {
        prepare_order(order);
    }
}

/// Asks the server how many orders it has accepted, and orders on that
/// condition.
void owner::prepare_order(const samplers::load_order& order) {
    call_server(order.sampler, adapter::report_request(),
                [this, order](const server_reply& reply) {
                    const auto report = reply.status == 200
                                            ? adapter::read_report(reply.body)
                                            : std::nullopt;
                    on_report(order, reply, report);
                });
}

void owner::on_report(const samplers::load_order& order,
                      const server_reply& reply,
                      const std::optional<adapter::server_report>& report) {
    const auto version = [&] {
        const auto row = report->versions.find(order.model);
        return row == report->versions.end() ? 0 : row->second;
    };
    if (!report || report->busy) {
        rollout_.not_taken(order);
        state_.log.write("order_waits",
                         {{"server", order.sampler},
                          {"version", order.version},
                          {"status", reply.status},
                          {"how", base::name_of(reply.end)},
                          {"reason", report ? "busy" : "no_report"}});
        return;
    }
    if (version() >= order.version) {
        rollout_.already_held(order);
        state_.samplers.saw_version(order.sampler, order.model, version());
        return;
    }
    if (!owns() || !store_heard() || leaving_) {
        rollout_.not_taken(order);
        return;
    }
    send_order(order, report->orders);
}

void owner::send_order(const samplers::load_order& order,
                       std::int64_t after_orders) {
    const auto fence = state_.jobs.owner()->at + 1;
    call_server(
        order.sampler,
        adapter::order_request(order, state_.config.node.str(), fence,
                               after_orders),
        [this, order, after_orders, fence](const server_reply& reply) {
            const auto a = adapter::read_order_answer(reply.status);
            if (a == adapter::order_answer::accepted) {
                rollout_.accepted(order);
                state_.samplers.block(order.sampler, load_pause_ms);
                state_.samplers.expect_version(order.sampler, order.model,
                                               order.version);
            } else if (a == adapter::order_answer::already_held) {
                rollout_.already_held(order);
                state_.samplers.saw_version(order.sampler, order.model,
                                            order.version);
            } else {
                rollout_.not_taken(order);
            }
            state_.log.write("order", {{"server", order.sampler},
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
    if (!owns()) {
        leaving_ = true;
        store_.leave(group_name, state_.config.node.str() + "." + incarnation_,
                     std::move(done));
        return;
    }
    leaving_ = true;
    left_ = std::move(done);
    last_commit_ = 0;
    if (!committing_) {
        commit();
    }
}

} // namespace hibiscus::entry
