#include "batch_api.hpp"

#include "hibiscus/base/result.hpp"
#include "platform/store_client.hpp"

#include <algorithm>

namespace hibiscus::entry {

namespace {

/// Interval of the checks of pending calls for timeouts, in ms. Pending calls
/// are also checked after each change of the job table.
constexpr base::millis sweep_interval_ms = 50;

/// Maximum time for which a call waits for a current view, in ms. The view is
/// confirmed every 300 ms, so the store is unreachable if there is no
/// confirmation for this long.
constexpr base::millis view_timeout_ms = 900;

/// Retry-after time for callers while the store is unreachable, in ms.
constexpr base::millis store_retry_after_ms = 300;

/// Delay before an append is sent again, in ms.
constexpr base::millis append_retry_delay_ms = 50;

/// Timeout of a submission without a deadline, and of a request to end a job,
/// in ms.
constexpr base::millis default_write_timeout_ms = 3000;

/// Maximum size of the texts in one response, in bytes. A response may be at
/// most one megabyte.
constexpr std::size_t max_response_text_bytes = 900 * 1024;

/// Maximum time for which a call waits until slow readers leave room for its
/// response, in ms.
constexpr base::millis room_timeout_ms = 3000;

const store::partition journal_partition{adapter::journal_topic, 0};

} // namespace

batch_api::batch_api(node_state& state, const store::log_store& log_store,
                     store::partition_watcher& journal,
                     const job_store& stored_jobs,
                     store::run_after_function run_after)
    : state_(state), log_store_(log_store), journal_(journal),
      job_store_(stored_jobs), run_after_(std::move(run_after)),
      refused_items_(state, stored_jobs, run_after_) {}

void batch_api::start() {
    sweep_pending_calls();
}

bool batch_api::is_view_current_since(base::millis time) const {
    return journal_.is_loaded() && journal_.current_as_of() >= time;
}

/// Returns true if the job is known, and was submitted by the same workspace.
bool batch_api::is_accepted(const batch::job_header& submitted) const {
    const auto* row = state_.jobs.find(submitted.id);
    return row != nullptr && row->header->workspace == submitted.workspace;
}

bool batch_api::is_taken(const batch::job_header& submitted) const {
    const auto* row = state_.jobs.find(submitted.id);
    return row != nullptr && row->header->workspace != submitted.workspace;
}

void batch_api::on_call() {
    last_call_at_ = state_.clock.now();
    journal_.resume();
}

void batch_api::submit(batch::job job, base::millis deadline_ms,
                       std::shared_ptr<transport::response_writer> response) {
    on_call();
    auto s = std::make_shared<submission>();
    s->header = job.header;
    s->response = std::move(response);
    s->started_at = state_.clock.now();
    s->deadline = s->started_at +
                  (deadline_ms > 0 ? deadline_ms : default_write_timeout_ms);
    if (is_accepted(s->header)) {
        accept(*s, "known");
        return;
    }
    s->header.accepted_wall_ms = state_.clock.wall_time();
    s->header.items_name = state_.unique_name();
    const auto chunks = batch::split_into_chunks(
        s->header, std::move(job.items), state_.settings.max_record_bytes);
    // Without a header in the journal, the stored items have no effect.
    s->item_keys = job_store_.append_items(
        s->header.id, chunks,
        [this, s](const store::append_result& r) { on_items_appended(s, r); });
}

void batch_api::on_items_appended(const std::shared_ptr<submission>& s,
                                  const store::append_result& result) {
    if (is_taken(s->header)) {
        reject_taken(s);
    } else if (std::holds_alternative<store::appended>(result)) {
        append_job_header(s);
    } else if (is_accepted(s->header)) {
        accept_as_seen(*s);
    } else {
        fail_submission(*s, "items_not_stored");
    }
}

void batch_api::append_job_header(const std::shared_ptr<submission>& s) {
    s->header_sent = true;
    log_store_.append(
        journal_partition,
        {{batch::format_key(batch::header_key{
              s->header.id, batch::submitter_tag(s->header.workspace)}),
          batch::encode(s->header)}},
        nullptr, [this, s](const store::append_result& r) {
            on_job_header_appended(s, r);
        });
}

void batch_api::on_job_header_appended(const std::shared_ptr<submission>& s,
                                       const store::append_result& result) {
    if (const auto* stored = base::value_if(result)) {
        if (s->header.workspace.empty()) {
            accept(*s, "stored");
            return;
        }
        if (!try_confirm(s, stored->first)) {
            unconfirmed_.emplace_back(s, stored->first);
        }
        return;
    }
    if (is_taken(s->header)) {
        reject_taken(s);
        return;
    }
    if (std::holds_alternative<store::outcome_unknown>(result)) {
        // The job may be stored already, or may be stored later. It must not be
        // reported as not executed, and storing it again is harmless.
        s->may_be_stored = true;
    }
    if (is_accepted(s->header)) {
        accept_as_seen(*s);
        return;
    }
    if (s->may_be_stored &&
        state_.clock.now() + append_retry_delay_ms < s->deadline) {
        run_after_(append_retry_delay_ms, [this, s] { append_job_header(s); });
        return;
    }
    fail_submission(*s, "header_not_stored");
}

bool batch_api::try_confirm(const std::shared_ptr<submission>& s,
                            store::log_offset offset) {
    if (is_taken(s->header)) {
        reject_taken(s);
        return true;
    }
    if (journal_.next_offset() > offset) {
        accept(*s, "stored");
        return true;
    }
    if (state_.clock.now() > s->deadline) {
        s->may_be_stored = true;
        fail_submission(*s, "view_is_old");
        return true;
    }
    return false;
}

void batch_api::confirm_submissions() {
    for (auto& [s, offset] : std::exchange(unconfirmed_, {})) {
        if (!try_confirm(s, offset)) {
            unconfirmed_.emplace_back(s, offset);
        }
    }
}

/// Refuses a submission whose id another workspace has taken.
void batch_api::reject_taken(const std::shared_ptr<submission>& s) {
    state_.log.write("submit", {{"job", s->header.id},
                                {"ms", state_.clock.now() - s->started_at},
                                {"outcome", "refused"},
                                {"reason", "job_of_other_workspace"}});
    state_.counters.count_response("submit", "refused",
                                   "job_of_other_workspace");
    s->response->send(adapter::status_response(409));
    refused_items_.erase(s->header.id, s->item_keys);
    if (s->header_sent) {
        // The owner erases it with the job if this does not reach the store.
        log_store_.append(
            journal_partition,
            {{batch::format_key(batch::header_key{
                  s->header.id, batch::submitter_tag(s->header.workspace)}),
              ""}},
            nullptr, [](const store::append_result&) {});
    }
}

void batch_api::accept(const submission& s, const char* reason) {
    const auto ms = state_.clock.now() - s.started_at;
    state_.log.write("submit", {{"job", s.header.id},
                                {"step", s.header.step},
                                {"items", s.header.item_count},
                                {"ms", ms},
                                {"outcome", "accepted"},
                                {"reason", reason}});
    state_.counters.observe("accept", ms);
    record_delivery(s.header.id, 0);
    s.response->send(adapter::status_response(202));
}

/// Accepts a submission whose job another one has stored.
void batch_api::accept_as_seen(const submission& s) {
    if (!s.may_be_stored) {
        refused_items_.erase(s.header.id, s.item_keys);
    }
    accept(s, "seen");
}

void batch_api::fail_submission(const submission& s, const char* reason) {
    if (!s.may_be_stored) {
        refused_items_.erase(s.header.id, s.item_keys);
    }
    state_.log.write("submit",
                     {{"job", s.header.id},
                      {"ms", state_.clock.now() - s.started_at},
                      {"outcome", s.may_be_stored ? "unknown" : "refused"},
                      {"reason", reason}});
    state_.counters.count_response(
        "submit", s.may_be_stored ? "unknown" : "refused", reason);
    s.response->send(s.may_be_stored
                         ? adapter::status_response(504)
                         : adapter::not_run_response(store_retry_after_ms));
}

void batch_api::read_results(
    const adapter::results_request& request, batch::job_access access,
    std::shared_ptr<transport::response_writer> response) {
    const auto now = state_.clock.now();
    pending_call call;
    call.kind = pending_call_kind::results;
    call.job = request.job;
    call.access = std::move(access);
    call.from_position = request.after;
    call.received_at = now;
    call.wait_until = now + (state_.stopping ? 0 : request.wait_ms);
    call.response = std::move(response);
    respond_or_enqueue(std::move(call));
}

void batch_api::read_item_body(
    const adapter::item_body_request& request, batch::job_access access,
    std::shared_ptr<transport::response_writer> response) {
    const auto now = state_.clock.now();
    pending_call call;
    call.kind = pending_call_kind::item_body;
    call.job = request.job;
    call.access = std::move(access);
    call.item = request.item;
    call.received_at = now;
    call.response = std::move(response);
    respond_or_enqueue(std::move(call));
}

void batch_api::end_job(const adapter::end_job_request& request,
                        batch::job_access access,
                        std::shared_ptr<transport::response_writer> response) {
    pending_call call;
    call.kind = pending_call_kind::job_end;
    call.job = request.job;
    call.access = std::move(access);
    call.received_at = state_.clock.now();
    call.response = std::move(response);
    respond_or_enqueue(std::move(call));
}

void batch_api::respond_or_enqueue(pending_call call) {
    on_call();
    if (!try_respond(call)) {
        pending_calls_.push_back(std::move(call));
    }
}

void batch_api::on_jobs_changed() {
    confirm_submissions();
    auto calls = std::exchange(pending_calls_, {});
    for (auto& call : calls) {
        if (!try_respond(call)) {
            pending_calls_.push_back(std::move(call));
        }
    }
}

void batch_api::sweep_pending_calls() {
    on_jobs_changed();
    run_after_(sweep_interval_ms, [this] { sweep_pending_calls(); });
}

/// Responds to the call if that is possible now. Returns false if it stays
/// pending.
bool batch_api::try_respond(const pending_call& call) {
    const auto* row = state_.jobs.find(call.job);
    if (row != nullptr && call.access.includes(*row->header)) {
        switch (call.kind) {
        case pending_call_kind::results:
            return try_respond_with_results(call, *row);
        case pending_call_kind::item_body:
            send_item_body(call);
            return true;
        case pending_call_kind::job_end:
            append_job_end(call, state_.clock.now() + default_write_timeout_ms,
                           false);
            return true;
        }
    }
    if (is_view_current_since(call.received_at)) {
        send_job_not_found(call);
        return true;
    }
    if (state_.clock.now() - call.received_at > view_timeout_ms) {
        reject_unavailable(call, "view_is_old");
        return true;
    }
    return false;
}

bool batch_api::try_respond_with_results(const pending_call& call,
                                         const batch::job_row& row) {
    const auto now = state_.clock.now();
    if (call.from_position < static_cast<std::size_t>(row.next_position())) {
        return try_load_results(call, row);
    }
    const bool is_current = is_view_current_since(call.received_at);
    if (is_current && (now >= call.wait_until || state_.stopping)) {
        send_empty_results(call, row);
        return true;
    }
    if (!is_current &&
        now - call.received_at >
            std::max(view_timeout_ms, call.wait_until - call.received_at)) {
        reject_unavailable(call, "view_is_old");
        return true;
    }
    return false;
}

/// Rejects a call that can't be served without the store.
void batch_api::reject_unavailable(const pending_call& call, const char* reason,
                                   int records) {
    state_.log.write(
        "read_refused",
        {{"job", call.job},
         {"call", std::string(base::name_of(call.kind))},
         {"after", static_cast<std::int64_t>(call.from_position)},
         {"item", call.item},
         {"reason", reason},
         {"records", records},
         {"waited_ms", state_.clock.now() - call.received_at},
         {"view_age_ms", state_.clock.now() - journal_.current_as_of()}});
    state_.counters.count_response("job", "refused", reason);
    call.response->send(adapter::not_run_response(store_retry_after_ms));
}

/// Logs the state on which a "not found" or empty response is based.
void batch_api::log_not_found(const char* event, const pending_call& call,
                              const batch::job_row* row, int items) {
    const auto now = state_.clock.now();
    const auto delivered = delivered_.find(call.job);
    const bool was_delivered = delivered != delivered_.end();
    state_.log.write(
        event,
        {{"job", call.job},
         {"call", std::string(base::name_of(call.kind))},
         {"after", static_cast<std::int64_t>(call.from_position)},
         {"item", call.item},
         {"items", items},
         {"listed", row == nullptr ? 0 : row->next_position()},
         {"ended", row != nullptr && row->has_ended},
         {"told", was_delivered},
         {"told_to", static_cast<std::int64_t>(
                         was_delivered ? delivered->second.next_position : 0)},
         {"told_age_ms",
          was_delivered ? now - delivered->second.delivered_at : 0},
         {"jobs", static_cast<std::int64_t>(state_.jobs.jobs().size())},
         {"read_to", journal_.next_offset()},
         {"waited_ms", now - call.received_at},
         {"view_age_ms", now - journal_.current_as_of()}});
}

void batch_api::send_job_not_found(const pending_call& call) {
    log_not_found("job_unknown", call, nullptr, 0);
    state_.counters.count_event("job_unknown");
    if (delivered_.count(call.job) != 0) {
        state_.counters.count_event("told_job_unknown");
    }
    call.response->send(adapter::status_response(404));
}

void batch_api::send_item_not_found(const pending_call& call,
                                    const batch::job_row& row, int items) {
    log_not_found("item_unknown", call, &row, items);
    state_.counters.count_event("item_unknown");
    call.response->send(adapter::status_response(404));
}

/// Responds that there are no results at the position yet.
void batch_api::send_empty_results(const pending_call& call,
                                   const batch::job_row& row) {
    const auto delivered = delivered_.find(call.job);
    if (delivered != delivered_.end() &&
        call.from_position < delivered->second.next_position) {
        log_not_found("position_empty", call, &row, row.header->item_count);
        state_.counters.count_event("position_empty");
    }
    call.response->send(adapter::results_response(
        static_cast<std::size_t>(row.header->item_count), call.from_position,
        {}));
}

/// Records up to which position results of a job were delivered. Drops the
/// records of jobs that nobody has read within the retention time.
void batch_api::record_delivery(const batch::job_id& job, std::size_t next) {
    const auto now = state_.clock.now();
    const auto entry = delivered_.find(job);
    if (entry != delivered_.end()) {
        entry->second.next_position =
            std::max(entry->second.next_position, next);
        entry->second.delivered_at = now;
        return;
    }
    const auto retention_ms = state_.settings.result_retention_ms +
                              state_.settings.retention_margin_ms;
    for (auto row = delivered_.begin(); row != delivered_.end();) {
        row = now - row->second.delivered_at > retention_ms
                  ? delivered_.erase(row)
                  : std::next(row);
    }
    delivered_[job] = {next, now};
}

/// Reads results, as many as there is room for. Returns false if the call has
/// to wait for room.
bool batch_api::try_load_results(const pending_call& call,
                                 const batch::job_row& row) {
    const auto room = call.response->room();
    if (room > 0) {
        load_results(call, row, std::min(max_response_text_bytes, room));
        return true;
    }
    if (state_.clock.now() - call.received_at > room_timeout_ms) {
        reject_unavailable(call, "no_room");
        return true;
    }
    return false;
}

void batch_api::load_results(const pending_call& call,
                             const batch::job_row& row, std::size_t max_bytes) {
    const auto first = std::prev(
        row.commits.upper_bound(static_cast<int>(call.from_position)));
    job_store_.load_texts(call.job, first->first, first->second.texts_name,
                          max_bytes,
                          [this, call, max_bytes](const auto& texts) {
                              send_results(call, texts, max_bytes);
                          });
}

/// Responds with the results from the requested position on, as far as their
/// texts were read.
void batch_api::send_results(
    const pending_call& call,
    const std::optional<std::vector<store::record>>& texts,
    std::size_t max_bytes) {
    const auto* row = state_.jobs.find(call.job);
    if (!texts || row == nullptr) {
        reject_unavailable(call, "no_answer");
        return;
    }
    std::map<std::string, const std::string*> by_key;
    for (const auto& t : *texts) {
        by_key[t.key] = &t.value;
    }
    std::vector<batch::item_result> selected;
    std::size_t bytes = 0;
    auto position = call.from_position;
    for (auto commit = std::prev(
             row->commits.upper_bound(static_cast<int>(call.from_position)));
         commit != row->commits.end(); ++commit) {
        const auto record = by_key.find(batch::texts_key(
            call.job, commit->first, commit->second.texts_name));
        if (record == by_key.end()) {
            break;
        }
        auto results = batch::decode_results(*record->second);
        if (!results || results->size() != commit->second.rows.size()) {
            state_.log.write("record_skipped",
                             {{"job", call.job}, {"position", commit->first}});
            break;
        }
        const auto skipped_results =
            position - static_cast<std::size_t>(commit->first);
        for (std::size_t n = skipped_results; n < results->size(); ++n) {
            bytes += (*results)[n].text.size();
            if (!selected.empty() && bytes > max_bytes) {
                break;
            }
            selected.push_back(std::move((*results)[n]));
            ++position;
        }
        if (bytes > max_bytes) {
            break;
        }
    }
    if (selected.empty()) {
        reject_unavailable(call, "texts_missing",
                           static_cast<int>(texts->size()));
        return;
    }
    state_.log.write("read",
                     {{"job", call.job},
                      {"after", static_cast<std::int64_t>(call.from_position)},
                      {"next", static_cast<std::int64_t>(position)},
                      {"listed", row->next_position()},
                      {"bytes", static_cast<std::int64_t>(bytes)},
                      {"ms", state_.clock.now() - call.received_at}});
    record_delivery(call.job, position);
    call.response->send(adapter::results_response(
        static_cast<std::size_t>(row->header->item_count), position, selected));
}

void batch_api::send_item_body(const pending_call& call) {
    const auto& header = *state_.jobs.find(call.job)->header;
    job_store_.load_items(header, [this, call](const auto& items) {
        if (!items) {
            reject_unavailable(call, "no_answer");
            return;
        }
        const auto found =
            std::find_if(items->begin(), items->end(),
                         [&](const auto& i) { return i.id == call.item; });
        if (found != items->end()) {
            call.response->send(adapter::item_body_response(found->body));
            return;
        }
        const auto* row = state_.jobs.find(call.job);
        const auto count = static_cast<int>(items->size());
        if (row == nullptr || count < row->header->item_count) {
            reject_unavailable(call, "items_missing", count);
            return;
        }
        send_item_not_found(call, *row, count);
    });
}

void batch_api::append_job_end(const pending_call& call, base::millis deadline,
                               bool may_be_stored) {
    const auto* row = state_.jobs.find(call.job);
    if (row != nullptr && row->has_ended) {
        state_.log.write("end", {{"job", call.job}, {"outcome", "known"}});
        call.response->send(adapter::status_response(200));
        return;
    }
    log_store_.append(
        journal_partition, {{batch::format_key(batch::end_key{call.job}), "1"}},
        nullptr,
        [this, call, deadline, may_be_stored](const store::append_result& r) {
            if (std::holds_alternative<store::appended>(r)) {
                state_.log.write("end",
                                 {{"job", call.job},
                                  {"ms", state_.clock.now() - call.received_at},
                                  {"outcome", "stored"}});
                call.response->send(adapter::status_response(200));
                return;
            }
            const bool is_unclear =
                may_be_stored ||
                std::holds_alternative<store::outcome_unknown>(r);
            if (is_unclear &&
                state_.clock.now() + append_retry_delay_ms < deadline) {
                run_after_(append_retry_delay_ms, [this, call, deadline] {
                    append_job_end(call, deadline, true);
                });
                return;
            }
            state_.log.write("end",
                             {{"job", call.job},
                              {"ms", state_.clock.now() - call.received_at},
                              {"outcome", is_unclear ? "unknown" : "refused"}});
            call.response->send(
                is_unclear ? adapter::status_response(504)
                           : adapter::not_run_response(store_retry_after_ms));
        });
}

} // namespace hibiscus::entry
