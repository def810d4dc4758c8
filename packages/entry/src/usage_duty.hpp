#pragma once

#include "job_owner.hpp"
#include "node_state.hpp"
#include "usage_recorder.hpp"

#include "hibiscus/duties/duty_turn.hpp"
#include "hibiscus/duties/usage_reporter.hpp"
#include "hibiscus/store/partition_watcher.hpp"

#include <functional>
#include <string>
#include <vector>

namespace hibiscus::entry {

/// Carries out the singleton duties while this node is the job owner. What is
/// to be said is stored in the journal before it is said, on the condition that
/// this node is still the owner.
class duty_runner {
public:
    duty_runner(node_state& state, const store::log_store& log_store,
                job_owner& owner, usage_recorder& recorder,
                transport::upstream_client& client,
                store::run_after_function run_after);

    /// Starts the periodic tick.
    void start();

    /// Applies a change of the journal. Returns false if it does not concern
    /// the duties.
    bool apply(const store::change& change);

private:
    void tick();
    void update_turn();
    void fix_next_report();
    void
    on_counts_read(duties::window_number window,
                   const std::optional<std::vector<store::record>>& counts);
    void append_report(const duties::usage_report& report);
    void send_next_report();
    void on_report_response(const duties::usage_report& report,
                            duties::fencing_token token, int status);
    void call(transport::upstream_request request,
              std::function<void(int status)> done);

    node_state& state_;
    const store::log_store& log_store_;
    job_owner& owner_;
    usage_recorder& recorder_;
    transport::upstream_client& client_;
    store::run_after_function run_after_;
    duties::duty_turn turn_;
    duties::usage_reporter reporter_;
    std::string holder_incarnation_;
    bool is_own_ = false;
    bool fixing_ = false;
};

} // namespace hibiscus::entry
