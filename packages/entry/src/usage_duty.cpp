#include "usage_duty.hpp"

#include "hibiscus/base/result.hpp"
#include "hibiscus/store/prefix_operations.hpp"
#include "platform/duty_calls.hpp"
#include "platform/store_client.hpp"

#include <utility>

namespace hibiscus::entry {

namespace {

constexpr base::millis tick_interval_ms = 100;

/// Maximum size of the counts of one window that are read, in bytes.
constexpr std::size_t max_counts_bytes = std::size_t{16} * 1024 * 1024;

duties::reporter_times make_times(const node_settings& settings) {
    duties::reporter_times times;
    times.window_ms = settings.usage_window_ms;
    times.due_ms = settings.usage_due_ms;
    return times;
}

} // namespace

usage_duty::usage_duty(node_state& state, const store::log_store& log_store,
                       job_owner& owner, usage_recorder& recorder,
                       transport::upstream_client& client,
                       store::run_after_function run_after)
    : state_(state), log_store_(log_store), owner_(owner), recorder_(recorder),
      channel_(state, owner, client, "usage_reporting"),
      run_after_(std::move(run_after)), reporter_(make_times(state.settings)) {}

void usage_duty::start() {
    if (state_.settings.duties && state_.settings.duties->usage_reporting) {
        tick();
    }
}

bool usage_duty::apply(const store::change& change) {
    const auto window = duties::parse_report_key(change.key);
    if (!window) {
        return false;
    }
    if (!change.value) {
        reporter_.on_erased(*window);
        return true;
    }
    const auto report = duties::decode_report(*window, *change.value);
    if (!report) {
        state_.log.write("record_skipped",
                         {{"topic", "journal"}, {"key", change.key}});
        return true;
    }
    reporter_.on_fixed(*report);
    recorder_.on_report_fixed(*window);
    return true;
}

void usage_duty::tick() {
    // Also keeps the estimate of the true time up to date.
    state_.true_time();
    if (channel_.update()) {
        reporter_.begin_turn();
    }
    if (owner_.fencing_token()) {
        fix_next_report();
        send_next_report();
    }
    run_after_(tick_interval_ms, [this] { tick(); });
}

void usage_duty::fix_next_report() {
    if (fixing_) {
        return;
    }
    const auto window = reporter_.window_to_fix(state_.true_time());
    if (!window) {
        return;
    }
    fixing_ = true;
    // Keys of earlier windows sort before the prefix, so the read starts there.
    const auto prefix = duties::count_prefix(*window);
    store::read_prefix(log_store_, {adapter::usage_topic, 0}, prefix, prefix,
                       max_counts_bytes, [this, window](const auto& counts) {
                           on_counts_read(*window, counts);
                       });
}

void usage_duty::on_counts_read(
    duties::window_number window,
    const std::optional<std::vector<store::record>>& counts) {
    fixing_ = false;
    if (!counts) {
        state_.log.write("usage_waits",
                         {{"window", window}, {"reason", "no_answer"}});
        return;
    }
    if (!owner_.fencing_token() || reporter_.is_fixed(window)) {
        return;
    }
    std::vector<std::pair<std::string, std::string>> records;
    records.reserve(counts->size());
    for (const auto& r : *counts) {
        records.emplace_back(r.key, r.value);
    }
    append_report({window, duties::sum_counts(records), false});
}

/// Fixes the report. The same append records which earlier reports were
/// delivered, and erases those that are no longer needed.
void usage_duty::append_report(const duties::usage_report& report) {
    std::vector<store::record> records{
        {duties::report_key(report.window), duties::encode(report)}};
    for (const auto& delivered : reporter_.unrecorded_deliveries()) {
        records.push_back(
            {duties::report_key(delivered.window), duties::encode(delivered)});
    }
    const auto expired = reporter_.expired_windows(state_.true_time());
    for (const auto window : expired) {
        records.push_back({duties::report_key(window), ""});
    }
    fixing_ = owner_.append_as_owner(
        std::move(records), [this, report, expired](bool stored) {
            fixing_ = false;
            std::int64_t requests = 0;
            for (const auto& row : report.counts) {
                requests += row.second;
            }
            state_.log.write(
                "usage_fixed",
                {{"window", report.window},
                 {"workspaces", static_cast<int>(report.counts.size())},
                 {"requests", requests},
                 {"left_ms",
                  reporter_.time_left(report.window, state_.true_time())},
                 {"stored", stored}});
            if (!stored) {
                return;
            }
            for (const auto window : expired) {
                store::erase_prefix(log_store_, {adapter::usage_topic, 0},
                                    duties::count_prefix(window), [](bool) {
                                        // Records that are left over are
                                        // small, and never read again.
                                    });
            }
        });
}

void usage_duty::send_next_report() {
    const auto token = channel_.token_to_call();
    if (!token) {
        return;
    }
    const auto report =
        reporter_.report_to_send(state_.true_time(), state_.clock.now());
    if (!report) {
        return;
    }
    channel_.call(adapter::make_usage_report_request(
                      {state_.settings.node.str(), *token}, *report),
                  [this, report = *report, token = *token](int status) {
                      on_report_response(report, token, status);
                  });
}

void usage_duty::on_report_response(const duties::usage_report& report,
                                    duties::fencing_token token, int status) {
    const auto result = adapter::parse_duty_result(status);
    const auto left_ms = reporter_.time_left(report.window, state_.true_time());
    reporter_.on_sent(report.window, result, state_.clock.now(),
                      state_.random_fraction());
    if (result == duties::duty_result::fenced) {
        channel_.on_fenced(token);
    }
    state_.counters.count_response("usage_report",
                                   std::string(base::name_of(result)),
                                   left_ms >= 0 ? "in_time" : "late");
    state_.log.write("usage_report", {{"window", report.window},
                                      {"token", token},
                                      {"status", status},
                                      {"left_ms", left_ms},
                                      {"outcome", base::name_of(result)}});
}

} // namespace hibiscus::entry
