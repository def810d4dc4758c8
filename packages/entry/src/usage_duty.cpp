#include "duty_runner.hpp"

#include "hibiscus/base/result.hpp"
#include "hibiscus/store/prefix_operations.hpp"
#include "platform/duty_calls.hpp"
#include "platform/store_client.hpp"

#include <utility>

namespace hibiscus::entry {

namespace {

constexpr base::millis tick_interval_ms = 100;

/// Timeouts of a call, in ms.
constexpr base::millis call_connect_timeout_ms = 400;
constexpr base::millis call_timeout_ms = 1500;

/// Maximum size of the counts of one window that are read, in bytes.
constexpr std::size_t max_counts_bytes = std::size_t{16} * 1024 * 1024;

duties::reporter_times make_times(const node_settings& settings) {
    duties::reporter_times times;
    times.window_ms = settings.usage_window_ms;
    times.due_ms = settings.usage_due_ms;
    return times;
}

} // namespace

duty_runner::duty_runner(node_state& state, const store::log_store& log_store,
                         job_owner& owner, usage_recorder& recorder,
                         transport::upstream_client& client,
                         store::run_after_function run_after)
    : state_(state), log_store_(log_store), owner_(owner), recorder_(recorder),
      client_(client), run_after_(std::move(run_after)),
      turn_(state.settings.node.str(), state.settings.order_lease_ms,
            state.settings.servers_check_fences, state.clock.now()),
      reporter_(make_times(state.settings)) {}

void duty_runner::start() {
    if (state_.settings.duties) {
        tick();
    }
}

bool duty_runner::apply(const store::change& change) {
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

void duty_runner::tick() {
    state_.true_time();
    update_turn();
    if (owner_.fencing_token() && state_.settings.duties->usage_reporting) {
        fix_next_report();
        send_next_report();
    }
    run_after_(tick_interval_ms, [this] { tick(); });
}

/// Follows the changes of the job owner.
void duty_runner::update_turn() {
    const auto& holder = state_.jobs.owner();
    if (!holder || holder->record.incarnation == holder_incarnation_) {
        return;
    }
    holder_incarnation_ = holder->record.incarnation;
    const bool was_own = is_own_;
    is_own_ = owner_.is_owner();
    turn_.on_holder_changed(holder->record.node.str(), is_own_,
                            holder->record.fencing_token + 1,
                            state_.clock.now());
    if (is_own_) {
        reporter_.begin_turn();
    }
    if (is_own_ || was_own) {
        state_.log.write("duty_holder",
                         {{"mine", is_own_},
                          {"holder", holder->record.node},
                          {"token", holder->record.fencing_token + 1}});
    }
}

void duty_runner::fix_next_report() {
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

void duty_runner::on_counts_read(
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
void duty_runner::append_report(const duties::usage_report& report) {
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

void duty_runner::send_next_report() {
    const auto now = state_.clock.now();
    const auto token = turn_.token_to_call(now);
    if (!token) {
        return;
    }
    const auto report = reporter_.report_to_send(state_.true_time(), now);
    if (!report) {
        return;
    }
    turn_.on_called(now);
    call(adapter::make_usage_report_request(
             {state_.settings.node.str(), *token}, *report),
         [this, report = *report, token = *token](int status) {
             on_report_response(report, token, status);
         });
}

void duty_runner::on_report_response(const duties::usage_report& report,
                                     duties::fencing_token token, int status) {
    const auto result = adapter::parse_duty_result(status);
    const auto left_ms = reporter_.time_left(report.window, state_.true_time());
    reporter_.on_sent(report.window, result, state_.clock.now(),
                      state_.random_fraction());
    if (result == duties::duty_result::fenced) {
        turn_.on_fenced(token);
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

void duty_runner::call(transport::upstream_request request,
                       std::function<void(int status)> done) {
    auto status = std::make_shared<int>(0);
    transport::upstream_call_options options;
    options.connect_timeout_ms = call_connect_timeout_ms;
    options.total_timeout_ms = call_timeout_ms;
    transport::upstream_callbacks callbacks;
    callbacks.on_head = [status](const transport::response_head& head) {
        *status = head.status;
    };
    callbacks.on_end =
        [status, done = std::move(done)](transport::call_outcome outcome) {
            const bool is_complete =
                outcome == transport::call_outcome::complete ||
                outcome == transport::call_outcome::closed_without_length;
            done(is_complete ? *status : 0);
        };
    client_.start(state_.settings.duties->address, std::move(request), options,
                  std::move(callbacks));
}

} // namespace hibiscus::entry
