#pragma once

#include "forwarder.hpp"
#include "node_state.hpp"

#include "hibiscus/batch/item_scheduler.hpp"
#include "hibiscus/batch/scoring_queue.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace hibiscus::entry {

/// Makes the reward calls of the job owner as scoring_queue decides.
class reward_caller {
public:
    using done_function = std::function<void(const batch::job_id&, int,
                                             const batch::reward_outcome&)>;

    using lost_function = std::function<void(const batch::job_id&, int,
                                             const batch::server_loss&)>;

    using permission_function = std::function<bool(const batch::job_id&, int)>;

    /// Calls `done` with the outcome of each call that is not dropped, `lost`
    /// for each server that may have ended while it had a call, and `abandoned`
    /// for each one that may end under an attempt that was given up. An attempt
    /// is repeated if `may_repeat` returns true.
    reward_caller(node_state& state, forwarder& request_forwarder,
                  done_function done, lost_function lost,
                  lost_function abandoned, permission_function may_repeat);

    /// Queues a call. It is sent by start_calls().
    void add(const batch::start_reward& reward);

    /// Sends the queued calls that may be in flight now.
    void start_calls();

    /// Drops the queued calls of a job and cancels those in flight.
    void drop_job(const batch::job_id& id, const char* reason);

    /// The same for all jobs. Keeps what was learnt of the services.
    void drop_all(const char* reason);

    /// Logs when scoring begins to lag and when it no longer does, and sets the
    /// metrics. `withheld_items` counts the items that don't begin meanwhile.
    void report(int withheld_items);

    /// Returns the expected delay of a new call of each job whose calls lag, in
    /// ms.
    std::map<batch::job_id, base::millis> job_delays() const {
        return queue_.job_delays(state_.clock.now());
    }

private:
    using item_key = std::pair<batch::job_id, int>;

    struct queued_reward {
        batch::reward_call call;
        base::millis expires_at = 0;
        int max_lost_servers = batch::crash_ledger::max_server_ends;
        bool reuse_connection = true;
        bool avoid_silent_servers = false;
    };

    int priority_of(const batch::job_id& id,
                    const gateway::route& reward_route) const;
    void send(const batch::scoring_queue::taken_call& taken);
    void on_result(batch::scoring_number number,
                   const batch::scoring_call& call, int max_attempts,
                   const forward_result& result);
    void postpone_without_route(const batch::job_id& id, int item_index);

    node_state& state_;
    forwarder& forwarder_;
    done_function on_done_;
    lost_function on_lost_;
    lost_function on_abandoned_;
    permission_function may_repeat_;
    batch::scoring_queue queue_;
    std::map<item_key, queued_reward> queued_;
    std::map<batch::scoring_number, std::shared_ptr<active_forward>> active_;
    std::set<samplers::service_name> lagging_services_;
    base::millis last_report_at_ = 0;
    bool starting_ = false;
};

} // namespace hibiscus::entry
