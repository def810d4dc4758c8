#pragma once

#include "job_store.hpp"
#include "node_state.hpp"
#include "refused_items.hpp"

#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/store/partition_watcher.hpp"
#include "hibiscus/transport/streaming_http_server.hpp"
#include "platform/client_api.hpp"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace hibiscus::entry {

/// The kind of a pending call.
enum class pending_call_kind { results, item_body, job_end };

/// Serves the batch job calls at any node from the job table, which follows the
/// journal. It never denies what it can't be sure of: "no such job" and "no
/// results yet" need a view of the journal that became current after the call
/// was received.
class batch_api {
public:
    batch_api(node_state& state, const store::log_store& log_store,
              store::partition_watcher& journal, const job_store& stored_jobs,
              store::run_after_function run_after);

    /// Starts the periodic sweep of pending calls.
    void start();

    /// Stores a job. `deadline_ms` is the time for which the caller waits; 0
    /// selects a default.
    void submit(batch::job job, base::millis deadline_ms,
                std::shared_ptr<transport::response_writer> response);
    /// Calls for a job that `access` does not include get the same response as
    /// calls for a job that does not exist.
    void read_results(const adapter::results_request& request,
                      batch::job_access access,
                      std::shared_ptr<transport::response_writer> response);
    void read_item_body(const adapter::item_body_request& request,
                        batch::job_access access,
                        std::shared_ptr<transport::response_writer> response);
    void end_job(const adapter::end_job_request& request,
                 batch::job_access access,
                 std::shared_ptr<transport::response_writer> response);

    /// Returns when the last call was received; 0 if there was none.
    base::millis last_call_at() const { return last_call_at_; }

    /// Called after the job table has changed. Responds to pending calls that
    /// can be completed now.
    void on_jobs_changed();

private:
    struct submission {
        batch::job_header header;
        /// The keys of the records with the items.
        std::vector<std::string> item_keys;
        bool may_be_stored = false;
        /// Whether the header was sent to the store.
        bool header_sent = false;
        base::millis started_at = 0;
        base::millis deadline = 0;
        std::shared_ptr<transport::response_writer> response;
    };
    /// What this node has delivered to callers of a job.
    struct delivered_results {
        /// The position after the last delivered result.
        std::size_t next_position = 0;
        base::millis delivered_at = 0;
    };
    struct pending_call {
        pending_call_kind kind = pending_call_kind::results;
        batch::job_id job;
        batch::job_access access;
        batch::item_id item;
        std::size_t from_position = 0;
        base::millis received_at = 0;
        /// Time until which the call waits for results.
        base::millis wait_until = 0;
        std::shared_ptr<transport::response_writer> response;
    };

    /// Notes a call and resumes the journal, which a node that callers are not
    /// directed to does not follow.
    void on_call();
    bool is_accepted(const batch::job_header& submitted) const;
    void on_items_appended(const std::shared_ptr<submission>& s,
                           const store::append_result& result);
    void append_job_header(const std::shared_ptr<submission>& s);
    void on_job_header_appended(const std::shared_ptr<submission>& s,
                                const store::append_result& result);
    /// Returns true if another workspace has submitted the job's id first.
    bool is_taken(const batch::job_header& submitted) const;
    /// Accepts or refuses a submission whose header is stored at `offset`, once
    /// this node has read the journal that far. Returns false until then.
    bool try_confirm(const std::shared_ptr<submission>& s,
                     store::log_offset offset);
    void confirm_submissions();
    void reject_taken(const std::shared_ptr<submission>& s);
    void fail_submission(const submission& s, const char* reason);
    void accept(const submission& s, const char* reason);
    void accept_as_seen(const submission& s);
    bool try_respond(const pending_call& call);
    bool try_respond_with_results(const pending_call& call,
                                  const batch::job_row& row);
    bool try_load_results(const pending_call& call, const batch::job_row& row);
    void load_results(const pending_call& call, const batch::job_row& row,
                      std::size_t max_bytes);
    void send_results(const pending_call& call,
                      const std::optional<std::vector<store::record>>& texts,
                      std::size_t max_bytes);
    void send_item_body(const pending_call& call);
    void reject_unavailable(const pending_call& call, const char* reason,
                            int records = 0);
    void send_job_not_found(const pending_call& call);
    void send_item_not_found(const pending_call& call,
                             const batch::job_row& row, int items);
    void send_empty_results(const pending_call& call,
                            const batch::job_row& row);
    void log_not_found(const char* event, const pending_call& call,
                       const batch::job_row* row, int items);
    void record_delivery(const batch::job_id& job, std::size_t next);
    void append_job_end(const pending_call& call, base::millis deadline,
                        bool may_be_stored);
    bool is_view_current_since(base::millis time) const;
    void sweep_pending_calls();
    void respond_or_enqueue(pending_call call);

    node_state& state_;
    const store::log_store& log_store_;
    store::partition_watcher& journal_;
    const job_store& job_store_;
    store::run_after_function run_after_;
    refused_items refused_items_;
    base::millis last_call_at_ = 0;
    std::vector<pending_call> pending_calls_;
    /// Submissions whose header is stored, and its offset.
    std::vector<std::pair<std::shared_ptr<submission>, store::log_offset>>
        unconfirmed_;
    std::map<batch::job_id, delivered_results> delivered_;
};

} // namespace hibiscus::entry

namespace hibiscus::base {

template <>
struct enum_names<entry::pending_call_kind> {
    static constexpr std::array<enum_name<entry::pending_call_kind>, 3> table{{
        {entry::pending_call_kind::results, "results"},
        {entry::pending_call_kind::item_body, "body"},
        {entry::pending_call_kind::job_end, "end"},
    }};
};

} // namespace hibiscus::base
