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

const store::partition journal_partition{adapter::journal_topic, 0};

} // namespace

batch_api::batch_api(node_state& state, const store::log_store& store,
                     store::follower& journal, const job_files& files,
                     store::delay_function after)
    : state_(state), store_(store), journal_(journal), files_(files),
      after_(std::move(after)) {}

void batch_api::start() {
    sweep();
}

bool batch_api::current_since(base::millis time) const {
    return journal_.loaded() && journal_.current_at() >= time;
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
    s->header.accepted_wall = state_.clock.wall();
    const auto chunks = batch::cut_into_chunks(s->header, std::move(job.items),
                                               state_.config.record_bytes);
    // Until the header stands in the journal, the items are nothing.
    files_.append_items(
        s->header.id, chunks,
        [this, s](const store::append_result& r) { items_appended(s, r); });
}

void batch_api::items_appended(const std::shared_ptr<submission>& s,
                               const store::append_result& result) {
    if (std::holds_alternative<store::appended>(result)) {
        append_header(s);
    } else if (state_.jobs.find(s->header.id) != nullptr) {
        accept(*s, "seen");
    } else {
        refuse(*s, "items_not_stored");
    }
}

void batch_api::append_header(const std::shared_ptr<submission>& s) {
    store_.append(journal_partition,
                  {{batch::to_text(batch::header_key{s->header.id}),
                    batch::encode(s->header)}},
                  nullptr, [this, s](const store::append_result& r) {
                      header_appended(s, r);
                  });
}

void batch_api::header_appended(const std::shared_ptr<submission>& s,
                                const store::append_result& result) {
    if (std::holds_alternative<store::appended>(result)) {
        accept(*s, "stored");
        return;
    }
    if (state_.jobs.find(s->header.id) != nullptr) {
        accept(*s, "seen");
        return;
    }
    if (std::holds_alternative<store::unanswered>(result)) {
        // The job may be stored, or be stored later. To say "not run" now
        // would be a lie; to store it again is harmless.
        s->may_be_stored = true;
    }
    if (s->may_be_stored && state_.clock.now() + append_retry_ms < s->due) {
        after_(append_retry_ms, [this, s] { append_header(s); });
        return;
    }
    refuse(*s, "header_not_stored");
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
    note_reported(s.header.id, 0);
    s.caller->respond(adapter::plain_status(202));
}

void batch_api::refuse(const submission& s, const char* reason) {
    state_.log.write("submit",
                     {{"job", s.header.id},
                      {"ms", state_.clock.now() - s.started_at},
                      {"outcome", s.may_be_stored ? "unknown" : "refused"},
                      {"reason", reason}});
    state_.counters.count_answer(
        "submit", s.may_be_stored ? "unknown" : "refused", reason);
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
            send_body(w);
            return true;
        case waits_for::ending:
            store_end(w, state_.clock.now() + submit_ms, false);
            return true;
        }
    }
    if (current_since(w.came_at)) {
        deny_job(w);
        return true;
    }
    if (state_.clock.now() - w.came_at > view_ms) {
        unreachable(w, "view_is_old");
        return true;
    }
    return false;
}

bool batch_api::settle_read(const waiter& w, const batch::job_row& row) {
    if (w.after < static_cast<std::size_t>(row.next_position())) {
        send_texts(w, row);
        return true;
    }
    const auto now = state_.clock.now();
    const bool sure = current_since(w.came_at);
    if (sure && (now >= w.wait_until || state_.stopping)) {
        send_nothing(w, row);
        return true;
    }
    if (!sure &&
        now - w.came_at > std::max(view_ms, w.wait_until - w.came_at)) {
        unreachable(w, "view_is_old");
        return true;
    }
    return false;
}

/// Refuses a call that needs the store.
void batch_api::unreachable(const waiter& w, const char* reason, int records) {
    state_.log.write(
        "read_refused",
        {{"job", w.job},
         {"call", std::string(base::name_of(w.what))},
         {"after", static_cast<std::int64_t>(w.after)},
         {"item", w.item},
         {"reason", reason},
         {"records", records},
         {"waited_ms", state_.clock.now() - w.came_at},
         {"view_age_ms", state_.clock.now() - journal_.current_at()}});
    state_.counters.count_answer("job", "refused", reason);
    w.caller->respond(adapter::not_run(store_retry_ms));
}

/// Writes what an answer rests on that takes something for absent.
void batch_api::log_missing(const char* event, const waiter& w,
                            const batch::job_row* row, int items) {
    const auto now = state_.clock.now();
    const auto told = told_.find(w.job);
    const bool is_told = told != told_.end();
    state_.log.write(
        event, {{"job", w.job},
                {"call", std::string(base::name_of(w.what))},
                {"after", static_cast<std::int64_t>(w.after)},
                {"item", w.item},
                {"items", items},
                {"listed", row == nullptr ? 0 : row->next_position()},
                {"ended", row != nullptr && row->ended},
                {"told", is_told},
                {"told_to",
                 static_cast<std::int64_t>(is_told ? told->second.next : 0)},
                {"told_age_ms", is_told ? now - told->second.at : 0},
                {"jobs", static_cast<std::int64_t>(state_.jobs.jobs().size())},
                {"read_to", journal_.next()},
                {"waited_ms", now - w.came_at},
                {"view_age_ms", now - journal_.current_at()}});
}

void batch_api::deny_job(const waiter& w) {
    log_missing("job_unknown", w, nullptr, 0);
    state_.counters.count_event("job_unknown");
    if (told_.count(w.job) != 0) {
        state_.counters.count_event("told_job_unknown");
    }
    w.caller->respond(adapter::plain_status(404));
}

void batch_api::deny_item(const waiter& w, const batch::job_row& row,
                          int items) {
    log_missing("item_unknown", w, &row, items);
    state_.counters.count_event("item_unknown");
    w.caller->respond(adapter::plain_status(404));
}

/// Answers that nothing stands at the position yet.
void batch_api::send_nothing(const waiter& w, const batch::job_row& row) {
    const auto told = told_.find(w.job);
    if (told != told_.end() && w.after < told->second.next) {
        log_missing("position_empty", w, &row, row.header->items);
        state_.counters.count_event("position_empty");
    }
    w.caller->respond(adapter::results(
        static_cast<std::size_t>(row.header->items), w.after, {}));
}

/// Notes up to which position results of a job were handed out; notes of jobs
/// that nobody has asked for in the time that results are kept go.
void batch_api::note_reported(const batch::job_id& job, std::size_t next) {
    const auto now = state_.clock.now();
    const auto known = told_.find(job);
    if (known != told_.end()) {
        known->second.next = std::max(known->second.next, next);
        known->second.at = now;
        return;
    }
    const auto keep = state_.config.status_ms + state_.config.margin_ms;
    for (auto row = told_.begin(); row != told_.end();) {
        row = now - row->second.at > keep ? told_.erase(row) : std::next(row);
    }
    told_[job] = {next, now};
}

void batch_api::send_texts(const waiter& w, const batch::job_row& row) {
    const auto first =
        std::prev(row.listings.upper_bound(static_cast<int>(w.after)));
    files_.load_texts(w.job, first->first, first->second.texts, answer_bytes,
                      [this, w](const auto& texts) { answer_texts(w, texts); });
}

/// Answers with the results from the asked position on, as far as their texts
/// were read.
void batch_api::answer_texts(
    const waiter& w, const std::optional<std::vector<store::record>>& texts) {
    const auto* row = state_.jobs.find(w.job);
    if (!texts || row == nullptr) {
        unreachable(w, "no_answer");
        return;
    }
    std::map<std::string, const std::string*> by_key;
    for (const auto& t : *texts) {
        by_key[t.key] = &t.value;
    }
    std::vector<batch::item_result> out;
    std::size_t bytes = 0;
    auto position = w.after;
    for (auto l =
             std::prev(row->listings.upper_bound(static_cast<int>(w.after)));
         l != row->listings.end(); ++l) {
        const auto record =
            by_key.find(batch::texts_text(w.job, l->first, l->second.texts));
        if (record == by_key.end()) {
            break;
        }
        auto results = batch::decode_results(*record->second);
        if (!results || results->size() != l->second.rows.size()) {
            state_.log.write("record_skipped",
                             {{"job", w.job}, {"position", l->first}});
            break;
        }
        const auto skip = position - static_cast<std::size_t>(l->first);
        for (std::size_t n = skip; n < results->size(); ++n) {
            bytes += (*results)[n].text.size();
            if (!out.empty() && bytes > answer_bytes) {
                break;
            }
            out.push_back(std::move((*results)[n]));
            ++position;
        }
        if (bytes > answer_bytes) {
            break;
        }
    }
    if (out.empty()) {
        unreachable(w, "texts_missing", static_cast<int>(texts->size()));
        return;
    }
    state_.log.write("read", {{"job", w.job},
                              {"after", static_cast<std::int64_t>(w.after)},
                              {"next", static_cast<std::int64_t>(position)},
                              {"listed", row->next_position()},
                              {"bytes", static_cast<std::int64_t>(bytes)},
                              {"ms", state_.clock.now() - w.came_at}});
    note_reported(w.job, position);
    w.caller->respond(adapter::results(
        static_cast<std::size_t>(row->header->items), position, out));
}

void batch_api::send_body(const waiter& w) {
    files_.load_items(w.job, [this, w](const auto& items) {
        if (!items) {
            unreachable(w, "no_answer");
            return;
        }
        const auto found =
            std::find_if(items->begin(), items->end(),
                         [&](const auto& i) { return i.id == w.item; });
        if (found != items->end()) {
            w.caller->respond(adapter::item_body(found->body));
            return;
        }
        const auto* row = state_.jobs.find(w.job);
        const auto count = static_cast<int>(items->size());
        if (row == nullptr || count < row->header->items) {
            unreachable(w, "items_missing", count);
            return;
        }
        deny_item(w, *row, count);
    });
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
        journal_partition, {{batch::to_text(batch::end_key{w.job}), "1"}},
        nullptr, [this, w, due, stored_maybe](const store::append_result& r) {
            if (std::holds_alternative<store::appended>(r)) {
                state_.log.write("end", {{"job", w.job},
                                         {"ms", state_.clock.now() - w.came_at},
                                         {"outcome", "stored"}});
                w.caller->respond(adapter::plain_status(200));
                return;
            }
            const bool maybe =
                stored_maybe || std::holds_alternative<store::unanswered>(r);
            if (maybe && state_.clock.now() + append_retry_ms < due) {
                after_(append_retry_ms,
                       [this, w, due] { store_end(w, due, true); });
                return;
            }
            state_.log.write("end",
                             {{"job", w.job},
                              {"ms", state_.clock.now() - w.came_at},
                              {"outcome", maybe ? "unknown" : "refused"}});
            w.caller->respond(maybe ? adapter::plain_status(504)
                                    : adapter::not_run(store_retry_ms));
        });
}

} // namespace hibiscus::entry
