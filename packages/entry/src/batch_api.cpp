#include "batch_api.hpp"

#include "hibiscus/base/result.hpp"
#include "platform/store_client.hpp"

#include <algorithm>

namespace hibiscus::entry {

namespace {

/// How often calls that wait are looked at besides each change, in ms.
constexpr base::millis sweep_ms = 50;

/// How long a call may wait for a view that is current, in ms. The view is
/// proved current each 300 ms; a second without proof means that the store is
/// out of reach.
constexpr base::millis view_ms = 900;

/// How soon a caller should come back while the store is out of reach, in ms.
constexpr base::millis store_retry_ms = 300;

/// The pause before an append is sent again, in ms.
constexpr base::millis append_retry_ms = 50;

/// How long a submission may take if its caller names no time, in ms.
constexpr base::millis submit_ms = 3000;

/// The most bytes of text in one answer. An answer may hold a megabyte.
constexpr std::size_t answer_bytes = 900 * 1024;

const store::partition jobs_partition{adapter::jobs_topic, 0};

} // namespace

batch_api::batch_api(node_state& state, const store::log_store& store,
                     store::follower& jobs, store::delay_function after)
    : state_(state), store_(store), jobs_(jobs), after_(std::move(after)) {}

void batch_api::start() {
    sweep();
}

bool batch_api::current_since(base::millis time) const {
    return jobs_.loaded() && jobs_.current_at() >= time;
}

void batch_api::submit(batch::job job, base::millis deadline_ms,
                       std::shared_ptr<transport::exchange> caller) {
    auto s = std::make_shared<submission>();
    s->header = job.header;
    s->caller = std::move(caller);
    s->started_at = state_.clock.now();
    s->due = s->started_at + (deadline_ms > 0 ? deadline_ms : submit_ms);
    if (state_.jobs.find(s->header.id) != nullptr) {
        accept(*s, "known");
        return;
    }
    job.header.accepted_wall = state_.clock.wall();
    auto appends = batch::cut_into_appends(
        std::move(job),
        {state_.config.record_bytes, state_.config.append_bytes});
    if (!appends) {
        state_.log.write("submit", {{"job", s->header.id},
                                    {"outcome", "item_too_large"}});
        s->caller->respond(adapter::plain_status(413));
        return;
    }
    s->appends = std::move(*appends);
    append(s);
}

void batch_api::append(const std::shared_ptr<submission>& s) {
    store_.append(jobs_partition, s->appends[s->next], nullptr,
                  [this, s](const store::append_result& r) {
                      appended(s, r);
                  });
}

void batch_api::appended(const std::shared_ptr<submission>& s,
                         const store::append_result& result) {
    if (std::holds_alternative<store::appended>(result)) {
        if (++s->next == s->appends.size()) {
            accept(*s, "stored");
        } else {
            append(s);
        }
        return;
    }
    if (state_.jobs.find(s->header.id) != nullptr) {
        accept(*s, "seen");
        return;
    }
    const bool last = s->next + 1 == s->appends.size();
    if (std::holds_alternative<store::unanswered>(result) && last) {
        // The job may be stored, or be stored later. To say "not run" now
        // would be a lie; to store it again is harmless.
        s->may_be_stored = true;
    }
    if (!s->may_be_stored) {
        refuse(*s, "store");
        return;
    }
    if (state_.clock.now() + append_retry_ms < s->due) {
        after_(append_retry_ms, [this, s] { append(s); });
        return;
    }
    refuse(*s, "store_unanswered");
}

void batch_api::accept(const submission& s, const char* reason) {
    const auto ms = state_.clock.now() - s.started_at;
    state_.log.write("submit", {{"job", s.header.id},
                                {"step", s.header.step},
                                {"items", s.header.items},
                                {"ms", ms},
                                {"outcome", "accepted"},
                                {"reason", reason}});
    state_.counters.observe("accept", ms);
    s.caller->respond(adapter::plain_status(202));
}

void batch_api::refuse(const submission& s, const char* reason) {
    state_.log.write("submit",
                     {{"job", s.header.id},
                      {"ms", state_.clock.now() - s.started_at},
                      {"outcome", s.may_be_stored ? "unknown" : "refused"},
                      {"reason", reason}});
    s.caller->respond(s.may_be_stored ? adapter::plain_status(504)
                                      : adapter::not_run(store_retry_ms));
}

void batch_api::read(const adapter::read_call& call,
                     std::shared_ptr<transport::exchange> caller) {
    const auto now = state_.clock.now();
    waiter w;
    w.what = waits_for::results;
    w.job = call.job;
    w.after = call.after;
    w.came_at = now;
    w.wait_until = now + (state_.stopping ? 0 : call.wait_ms);
    w.caller = std::move(caller);
    add(std::move(w));
}

void batch_api::body(const adapter::body_call& call,
                     std::shared_ptr<transport::exchange> caller) {
    const auto now = state_.clock.now();
    waiter w;
    w.what = waits_for::body;
    w.job = call.job;
    w.item = call.item;
    w.came_at = now;
    w.caller = std::move(caller);
    add(std::move(w));
}

void batch_api::end(const adapter::end_call& call,
                    std::shared_ptr<transport::exchange> caller) {
    waiter w;
    w.what = waits_for::ending;
    w.job = call.job;
    w.came_at = state_.clock.now();
    w.caller = std::move(caller);
    add(std::move(w));
}

void batch_api::add(waiter w) {
    if (!settle(w)) {
        waiting_.push_back(std::move(w));
    }
}

void batch_api::ledger_changed() {
    auto list = std::exchange(waiting_, {});
    for (auto& w : list) {
        if (!settle(w)) {
            waiting_.push_back(std::move(w));
        }
    }
}

void batch_api::sweep() {
    ledger_changed();
    after_(sweep_ms, [this] { sweep(); });
}

/// Answers a call if it can be answered now.
bool batch_api::settle(const waiter& w) {
    const auto* row = state_.jobs.find(w.job);
    if (row != nullptr) {
        switch (w.what) {
        case waits_for::results:
            return settle_read(w, *row);
        case waits_for::body:
            return settle_body(w, *row);
        case waits_for::ending:
            store_end(w, state_.clock.now() + submit_ms, false);
            return true;
        }
    }
    if (current_since(w.came_at)) {
        state_.log.write("job_unknown", {{"job", w.job},
                                         {"read_to", jobs_.next()}});
        w.caller->respond(adapter::plain_status(404));
        return true;
    }
    if (state_.clock.now() - w.came_at > view_ms) {
        state_.log.write("read_refused",
                         {{"job", w.job},
                          {"view_age_ms",
                           state_.clock.now() - jobs_.current_at()}});
        w.caller->respond(adapter::not_run(store_retry_ms));
        return true;
    }
    return false;
}

bool batch_api::settle_read(const waiter& w, const batch::job_row& row) {
    std::vector<batch::item_result> out;
    std::size_t bytes = 0;
    auto position = w.after;
    for (auto r = row.results.lower_bound(static_cast<int>(w.after));
         r != row.results.end() && r->first == static_cast<int>(position);
         ++r) {
        if (!out.empty() && bytes + r->second.size() > answer_bytes) {
            break;
        }
        auto result = batch::decode_result(r->second);
        if (!result) {
            state_.log.write("record_skipped", {{"job", w.job},
                                                {"position", r->first}});
            break;
        }
        bytes += r->second.size();
        out.push_back(std::move(*result));
        ++position;
    }
    const auto now = state_.clock.now();
    if (out.empty()) {
        const bool sure = current_since(w.came_at);
        const bool wait = now < w.wait_until && !state_.stopping;
        if (!sure && now - w.came_at > std::max(view_ms, w.wait_until - w.came_at)) {
            state_.log.write("read_refused",
                             {{"job", w.job},
                              {"view_age_ms", now - jobs_.current_at()}});
            w.caller->respond(adapter::not_run(store_retry_ms));
            return true;
        }
        if (!sure || wait) {
            return false;
        }
    }
    w.caller->respond(adapter::results(
        static_cast<std::size_t>(row.header->items), position, out));
    return true;
}

bool batch_api::settle_body(const waiter& w, const batch::job_row& row) {
    const auto found = batch::find_item(row, w.item);
    w.caller->respond(found ? adapter::item_body(found->body)
                            : adapter::plain_status(404));
    return true;
}

void batch_api::store_end(const waiter& w, base::millis due,
                          bool stored_maybe) {
    const auto* row = state_.jobs.find(w.job);
    if (row != nullptr && row->ended) {
        state_.log.write("end", {{"job", w.job}, {"outcome", "known"}});
        w.caller->respond(adapter::plain_status(200));
        return;
    }
    store_.append(
        jobs_partition, {{batch::to_text(batch::end_key{w.job}), "1"}}, nullptr,
        [this, w, due, stored_maybe](const store::append_result& r) {
            if (std::holds_alternative<store::appended>(r)) {
                state_.log.write("end", {{"job", w.job},
                                         {"ms", state_.clock.now() - w.came_at},
                                         {"outcome", "stored"}});
                w.caller->respond(adapter::plain_status(200));
                return;
            }
            const bool maybe = stored_maybe ||
                               std::holds_alternative<store::unanswered>(r);
            if (maybe && state_.clock.now() + append_retry_ms < due) {
                after_(append_retry_ms,
                       [this, w, due] { store_end(w, due, true); });
                return;
            }
            state_.log.write("end", {{"job", w.job},
                                     {"ms", state_.clock.now() - w.came_at},
                                     {"outcome", maybe ? "unknown" : "refused"}});
            w.caller->respond(maybe ? adapter::plain_status(504)
                                    : adapter::not_run(store_retry_ms));
        });
}

} // namespace hibiscus::entry
