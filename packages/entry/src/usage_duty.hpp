#pragma once

#include "duty_channel.hpp"
#include "job_owner.hpp"
#include "node_state.hpp"
#include "usage_recorder.hpp"

#include "hibiscus/duties/usage_reporter.hpp"
#include "hibiscus/store/partition_watcher.hpp"

#include <functional>
#include <string>
#include <vector>

namespace hibiscus::entry {

/// Reports the usage of the workspaces while this node is the job owner. A
/// report is stored in the journal before it is sent, on the condition that
/// this node is still the owner.
class usage_duty {
public:
    usage_duty(node_state& state, const store::log_store& log_store,
               job_owner& owner, usage_recorder& recorder,
               transport::upstream_client& client,
               store::run_after_function run_after);

    /// Starts the periodic tick if usage reporting is among the duties.
    void start();

    /// Applies a change of the journal. Returns false if it does not concern
    /// this duty.
    bool apply(const store::change& change);

private:
    void tick();
    void fix_next_report();
    void
    on_counts_read(duties::window_number window,
                   const std::optional<std::vector<store::record>>& counts);
    void append_report(const duties::usage_report& report);
    void send_next_report();
    void on_report_response(const duties::usage_report& report,
                            duties::fencing_token token, int status);

    node_state& state_;
    const store::log_store& log_store_;
    job_owner& owner_;
    usage_recorder& recorder_;
    duty_channel channel_;
    store::run_after_function run_after_;
    duties::usage_reporter reporter_;
    bool fixing_ = false;
};

} // namespace hibiscus::entry
