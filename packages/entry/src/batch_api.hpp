#pragma once

#include "job_files.hpp"
#include "node_state.hpp"

#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/store/follower.hpp"
#include "hibiscus/transport/event_server.hpp"
#include "platform/front.hpp"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace hibiscus::entry {

/// What a call about a job waits for.
enum class waits_for { results, body, ending };

/// Answers the calls about batch jobs, at any node, from the ledger that it
/// reads. What it can't be sure of it does not deny: "no such job" and
/// "nothing yet" need a view that was current after the call came.
class batch_api {
public:
    batch_api(node_state& state, const store::log_store& store,
              store::follower& journal, const job_files& files,
              store::delay_function after);

    /// Starts to look after calls that wait.
    void start();

    /// A job was submitted. `deadline_ms` is the caller's patience.
    void submit(batch::job job, base::millis deadline_ms,
                std::shared_ptr<transport::exchange> caller);
    void read(const adapter::read_call& call,
              std::shared_ptr<transport::exchange> caller);
    void body(const adapter::body_call& call,
              std::shared_ptr<transport::exchange> caller);
    void end(const adapter::end_call& call,
             std::shared_ptr<transport::exchange> caller);

    /// The ledger has changed: calls that wait may have their answer.
    void ledger_changed();

private:
    struct submission {
        batch::job_header header;
        bool may_be_stored = false;
        base::millis started_at = 0;
        base::millis due = 0;
        std::shared_ptr<transport::exchange> caller;
    };
    /// What this node has told callers of a job.
    struct told_job {
        /// The position behind the last result.
        std::size_t next = 0;
        base::millis at = 0;
    };
    struct waiter {
        waits_for what = waits_for::results;
        batch::job_id job;
        batch::item_id item;
        std::size_t after = 0;
        base::millis came_at = 0;
        /// Until then it waits for a result.
        base::millis wait_until = 0;
        std::shared_ptr<transport::exchange> caller;
    };

    void items_appended(const std::shared_ptr<submission>& s,
                        const store::append_result& result);
    void append_header(const std::shared_ptr<submission>& s);
    void header_appended(const std::shared_ptr<submission>& s,
                         const store::append_result& result);
    void refuse(const submission& s, const char* reason);
    void accept(const submission& s, const char* reason);
    bool settle(const waiter& w);
    bool settle_read(const waiter& w, const batch::job_row& row);
    void send_texts(const waiter& w, const batch::job_row& row);
    void answer_texts(const waiter& w,
                      const std::optional<std::vector<store::record>>& texts);
    void send_body(const waiter& w);
    void unreachable(const waiter& w, const char* reason, int records = 0);
    void deny_job(const waiter& w);
    void deny_item(const waiter& w, const batch::job_row& row, int items);
    void send_nothing(const waiter& w, const batch::job_row& row);
    void log_missing(const char* event, const waiter& w,
                     const batch::job_row* row, int items);
    void note_reported(const batch::job_id& job, std::size_t next);
    void store_end(const waiter& w, base::millis due, bool stored_maybe);
    bool current_since(base::millis time) const;
    void sweep();
    void add(waiter w);

    node_state& state_;
    const store::log_store& store_;
    store::follower& journal_;
    const job_files& files_;
    store::delay_function after_;
    std::vector<waiter> waiting_;
    std::map<batch::job_id, told_job> told_;
};

} // namespace hibiscus::entry

namespace hibiscus::base {

template <>
struct enum_names<entry::waits_for> {
    static constexpr std::array<enum_name<entry::waits_for>, 3> table{{
        {entry::waits_for::results, "results"},
        {entry::waits_for::body, "body"},
        {entry::waits_for::ending, "end"},
    }};
};

} // namespace hibiscus::base
