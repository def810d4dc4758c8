#pragma once

#include "hibiscus/batch/job.hpp"
#include "hibiscus/batch/scoring_window.hpp"
#include "hibiscus/samplers/sampler_table.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::batch {

/// Identifies a reward call that has been taken from the queue.
using scoring_number = std::uint64_t;

/// A reward call that waits to be sent, and what its place in the queue depends
/// on.
struct scoring_call {
    job_id job;
    int item_index = 0;
    samplers::service_name service;
    std::string group;
    /// Items of the group that have no score yet, this one included, and all of
    /// its items.
    int unscored_items = 1;
    int group_items = 1;
    bool is_resubmitted = false;
    /// The target time of the job.
    base::millis target_at = 0;
};

/// How a reward call ended.
enum class scoring_end {
    scored,
    failed,    ///< A server answered without a score.
    rejected,  ///< No server has taken the call.
    timed_out, ///< No answer came, though a server may have taken the call.
};

/// What is known of the calls for one service, for the log and the metrics.
struct scoring_status {
    samplers::service_name service;
    int queued = 0;
    int in_flight = 0;
    int window = 0;
    /// Expected time until a new call would be answered, in ms; 0 while calls
    /// are sent at once.
    base::millis wait_ms = 0;
};

/// Decides which reward call is sent next and how many are in flight at a time.
/// Calls that complete a group come first; while the window of a service is
/// open, each call is sent at once. Does no I/O; the time is an argument.
class scoring_queue {
public:
    struct taken_call {
        scoring_number number = 0;
        scoring_call call;
        /// The time within which the call should be answered, in ms.
        base::millis time_limit = 0;
    };

    void set_capacity(const samplers::service_name& service, int slots);

    /// Sets whether admission keeps the share of the calls to a service.
    void set_share_kept(const samplers::service_name& service, bool kept) {
        services_[service].window.set_share_kept(kept);
    }

    /// Sets the desired response time of the calls, in ms; 0 if there is none.
    void set_target(const samplers::service_name& service, base::millis ms) {
        services_[service].window.set_target(ms);
    }

    void add(scoring_call call, base::millis now);

    /// Returns the next call to send, which counts as in flight from now on, or
    /// nothing if no call waits or the windows are full.
    std::optional<taken_call> take_next(base::millis now);

    /// Called when a call has ended. Returns the delay after which a call
    /// without a score is repeated; it grows with each repeat of the item's
    /// call. `retry_after_ms` is the time that the service asked for, or 0.
    /// `fraction`, in [0, 1), spreads the repeats.
    base::millis on_ended(scoring_number number, scoring_end end,
                          base::millis retry_after_ms, double fraction,
                          base::millis now);

    struct dropped_calls {
        int queued = 0;
        std::vector<scoring_number> in_flight;
    };

    /// Drops the calls of a job, which has ended. The caller cancels those in
    /// flight.
    dropped_calls drop_job(const job_id& id);

    /// Returns the jobs that have had calls and are not dropped.
    std::set<job_id> jobs() const;

    /// Returns the state of each service that has had calls.
    std::vector<scoring_status> status(base::millis now) const;

    /// Returns the expected time until a new call would be answered for each
    /// job with queued calls, in ms, if that is not 0.
    std::map<job_id, base::millis> job_delays(base::millis now) const;

    int queued_count() const;
    int in_flight_count() const { return static_cast<int>(in_flight_.size()); }

private:
    using group_key = std::pair<job_id, std::string>;

    struct service_state {
        scoring_window window;
        std::vector<scoring_call> queue;
        int in_flight = 0;
        /// Until when rejected calls still count as in flight.
        std::multiset<base::millis> held_until;
        /// When the queue was last empty, and the calls answered lately.
        base::millis backlog_since = 0;
        std::deque<base::millis> answered_at;
    };

    struct sent_call {
        scoring_call call;
        base::millis sent_at = 0;
    };

    std::size_t find_first(const service_state& service,
                           base::millis now) const;
    int unscored_permille(const scoring_call& call) const;
    static base::millis expected_wait(const service_state& service,
                                      base::millis now);

    std::map<samplers::service_name, service_state> services_;
    std::map<scoring_number, sent_call> in_flight_;
    std::map<group_key, int> unscored_items_;
    std::map<std::pair<job_id, int>, int> failed_tries_;
    scoring_number last_number_ = 0;
};

} // namespace hibiscus::batch
