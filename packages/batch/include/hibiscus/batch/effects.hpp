#pragma once

#include "hibiscus/batch/crash_ledger.hpp"
#include "hibiscus/batch/records.hpp"
#include "hibiscus/samplers/sampler_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What an item_scheduler asks its caller to do.
namespace hibiscus::batch {

/// Identifies a run: one send of an item to one server.
using run_number = std::uint64_t;

/// Effect: send an item to a server.
struct start_run {
    run_number run = 0;
    samplers::sampler_id sampler;
    job_id job;
    int item_index = 0;
    std::string host;
    /// The workspace of the job; may be empty.
    std::string workspace;
    std::string model;
    const item* content = nullptr;
    /// Id of the event after which the server resumes the text; empty to start
    /// at the first event.
    std::string resume_after_event;
    /// Lower is more urgent.
    int priority = 0;
    base::millis deadline_ms = 0;
    /// Whether the crash ledger's row of the request must be stored before the
    /// item is sent.
    bool store_first = false;
    /// Whether an idle connection may be used. Its end does not tell whether
    /// the server has run the item.
    bool reuse_connection = true;
    /// Whether the item is sent once more if an idle connection ends. Not if
    /// the server was active a moment ago, or if it is checked for an item with
    /// losses: then it may have ended under the item.
    bool resend_if_stale = true;
    /// How far the run may go: servers ended at a point beyond it.
    std::optional<run_limit> limit = {};
    /// Whether the server must show that it is alive before the item is sent:
    /// nothing has come from it for a while, or servers were lost under the
    /// item. The loss of one that had ended before would count against it.
    bool check_server = false;
};

/// Effect: close the connection of a run.
struct stop_run {
    run_number run = 0;
    const char* reason = "";
};

/// Effect: make the reward call for a complete text.
struct start_reward {
    job_id job;
    int item_index = 0;
    const reward_call* call = nullptr;
    std::string group;
    /// Items of the group that have no result yet, this one included, and all
    /// of its items.
    int unscored_items = 1;
    int group_items = 1;
    bool is_resubmitted = false;
    /// The target time of the job, and the time at which its items may be
    /// abandoned; 0 if they may not.
    base::millis target_at = 0;
    base::millis expires_at = 0;
    /// Number of servers whose connections may break off before the call ends
    /// without a score.
    int max_lost_servers = 1;
    /// Whether an idle connection may be used, as for start_run.
    bool reuse_connection = true;
    /// Whether the call must not be sent to a server that is silent.
    bool avoid_silent_servers = false;
};

/// An item, or its reward call, that servers may end under.
struct suspected_request {
    job_id job;
    int item_index = 0;
    /// The id of the item's request or of its reward call.
    std::string request_id;
    bool is_reward = false;
    loss_summary evidence;
};

/// Effect: report that a request is not sent again because servers ended while
/// they ran it.
struct report_quarantine {
    suspected_request request;
};

/// Effect: report that a quarantined request is sent again, since ends of other
/// servers have become known.
struct report_release {
    suspected_request request;
};

/// Effect: report that losses of a request were cleared, since a run has gone
/// past them.
struct report_cleared_losses {
    job_id job;
    int item_index = 0;
    std::string request_id;
    int cleared_losses = 0;
    /// Number of events of the text.
    int event_count = 0;
};

/// Effect: report that a server that had a request may have ended.
struct report_loss {
    job_id job;
    int item_index = 0;
    std::string request_id;
    bool is_reward = false;
    server_loss loss;
    /// Whether it is a loss of the request, as crash_ledger::on_lost() says.
    bool counts = true;
    /// Number of losses of the request that count, this one included.
    int loss_count = 0;
};

/// Effect: report that a server has ended under a send that was abandoned.
struct report_late_loss {
    crash_ledger::late_loss loss;
};

using effect =
    std::variant<start_run, stop_run, start_reward, report_quarantine,
                 report_release, report_cleared_losses, report_loss,
                 report_late_loss>;
using effects = std::vector<effect>;

} // namespace hibiscus::batch
