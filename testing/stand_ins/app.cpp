// Stand-in for an application: several concurrent callers send lookups to a
// service and syncs to a ledger. A sync is retried with the same id, which the
// system runs at most once. Prints a summary as one line of JSON; with
// --answers it also writes the response to each attempt to a file that the
// oracle reads. Does not model think time that depends on responses.

#include "support/entry_client.hpp"
#include "support/process.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

ABSL_FLAG(std::string, name, "app", "name of the application");
ABSL_FLAG(std::string, entries, "",
          "addresses of the first entries to call, separated by commas");
ABSL_FLAG(std::string, service, "ledger", "service to call");
ABSL_FLAG(int, callers, 4, "number of concurrent callers");
ABSL_FLAG(int, seconds, 10, "duration of the calls in seconds");
ABSL_FLAG(int, pause_ms, 20, "pause between two calls of a caller in ms");
ABSL_FLAG(int, sync_every, 5, "every n-th call is a sync; 0 sends no syncs");
ABSL_FLAG(std::string, answers, "", "file to write each response to, if set");
ABSL_FLAG(int, most_tries, 20, "maximum number of attempts of a request");
ABSL_FLAG(int, deadline_ms, 3000, "deadline of a call in ms");

namespace hibiscus::testing {
namespace {

using nlohmann::json;

constexpr base::millis timeout_margin_ms = 1000;
/// Number of `unknown` responses after which a sync is not retried, because its
/// outcome stays unknown.
constexpr int max_unknown_responses = 20;

/// Counts and latencies of the calls of one or more callers.
struct call_stats {
    int lookups = 0;
    int syncs = 0;
    /// Requests without a response, or whose last response was `not_run`.
    int lost = 0;
    int mismatched_responses = 0;
    int unknown = 0;
    /// Responses with an outcome other than `completed`, over all attempts.
    int refused = 0;
    std::vector<base::millis> lookup_ms;
    std::vector<base::millis> sync_ms;
    /// Ids of the requests whose last response was `not_run`.
    std::vector<std::string> not_run;
};

/// Writes the response to each attempt to a file. Thread-safe.
class response_log {
public:
    /// Opens the file `path`; writes nothing if `path` is empty.
    explicit response_log(const std::string& path) {
        if (!path.empty()) {
            file_.open(path);
        }
    }

    /// Appends a line of JSON about one attempt. `response` is empty if none
    /// arrived.
    void append(const wire::service_request& request,
                const std::optional<wire::service_response>& response,
                base::millis received_at, base::millis latency) {
        const std::lock_guard<std::mutex> lock(mutex_);
        file_
            << json{{"id", request.id.str()},
                    {"at", received_at},
                    {"took_ms", latency},
                    {"result", response ? base::name_of(response->result) : ""},
                    {"why", response ? base::name_of(response->why) : ""},
                    {"retry_after_ms", response ? response->retry_after_ms : 0}}
            << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// One caller and its statistics.
class app_caller {
public:
    app_caller(entry_client& client, response_log& responses, int caller_number)
        : client_(client), response_log_(responses),
          caller_number_(caller_number) {}

    /// Sends requests until --seconds have passed.
    void run() {
        const auto end =
            client_.clock().now() + 1000 * absl::GetFlag(FLAGS_seconds);
        for (int i = 0; client_.clock().now() < end; ++i) {
            const int sync_every = absl::GetFlag(FLAGS_sync_every);
            send_request(i, sync_every > 0 && i % sync_every == 0);
            pause_for(absl::GetFlag(FLAGS_pause_ms));
        }
    }

    /// Returns the statistics of this caller.
    const call_stats& stats() const { return stats_; }

private:
    void send_request(int i, bool sync) {
        wire::service_request request;
        request.id = base::request_id(std::string(sync ? "sync-" : "lookup-") +
                                      absl::GetFlag(FLAGS_name) + "-" +
                                      std::to_string(caller_number_) + "-" +
                                      std::to_string(i));
        request.service = base::service_id(absl::GetFlag(FLAGS_service));
        request.idempotent = !sync;
        request.deadline_ms = absl::GetFlag(FLAGS_deadline_ms);
        request.created_ms = client_.clock().wall_time();
        request.body = "body of " + request.id.str();
        const auto started_at = client_.clock().now();
        const auto response = retry_until_completed(request);
        auto& latencies = sync ? stats_.sync_ms : stats_.lookup_ms;
        latencies.push_back(client_.clock().now() - started_at);
        ++(sync ? stats_.syncs : stats_.lookups);
        record_outcome(request, response);
    }

    std::optional<wire::service_response>
    retry_until_completed(const wire::service_request& request) {
        std::optional<wire::service_response> last_response;
        int unknown_count = 0;
        for (int i = 0; i < absl::GetFlag(FLAGS_most_tries); ++i) {
            const auto started_at = client_.clock().now();
            auto response = client_.call<wire::service_response>(
                "POST", "/v1/requests", wire::to_json(request),
                request.deadline_ms + timeout_margin_ms);
            response_log_.append(request, response, client_.clock().wall_time(),
                                 client_.clock().now() - started_at);
            if (response && response->result == wire::outcome::completed) {
                return response;
            }
            stats_.refused += response ? 1 : 0;
            if (response) {
                last_response = response;
                unknown_count +=
                    response->result == wire::outcome::unknown ? 1 : 0;
            }
            if (!request.idempotent && unknown_count >= max_unknown_responses) {
                return last_response;
            }
            pause_for(response
                          ? std::max<base::millis>(response->retry_after_ms, 20)
                          : 50);
        }
        return last_response;
    }

    void record_outcome(const wire::service_request& request,
                        const std::optional<wire::service_response>& response) {
        if (!response) {
            ++stats_.lost;
            return;
        }
        if (response->result == wire::outcome::unknown) {
            ++stats_.unknown;
            return;
        }
        if (response->result == wire::outcome::not_run) {
            ++stats_.lost;
            stats_.not_run.push_back(request.id.str());
            return;
        }
        const auto expected =
            "ran " + request.id.str() + " with " + request.body;
        if (response->id != request.id || response->body != expected) {
            ++stats_.mismatched_responses;
        }
    }

    entry_client& client_;
    response_log& response_log_;
    int caller_number_;
    call_stats stats_;
};

base::millis percentile(std::vector<base::millis> values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    return values[index];
}

void print(const std::vector<std::unique_ptr<app_caller>>& callers) {
    call_stats total;
    for (const auto& caller : callers) {
        const auto& stats = caller->stats();
        total.lookups += stats.lookups;
        total.syncs += stats.syncs;
        total.lost += stats.lost;
        total.mismatched_responses += stats.mismatched_responses;
        total.unknown += stats.unknown;
        total.refused += stats.refused;
        total.lookup_ms.insert(total.lookup_ms.end(), stats.lookup_ms.begin(),
                               stats.lookup_ms.end());
        total.sync_ms.insert(total.sync_ms.end(), stats.sync_ms.begin(),
                             stats.sync_ms.end());
        total.not_run.insert(total.not_run.end(), stats.not_run.begin(),
                             stats.not_run.end());
    }
    std::cout << json{{"client", "app"},
                      {"lookups", total.lookups},
                      {"syncs", total.syncs},
                      {"lost", total.lost},
                      {"wrong", total.mismatched_responses},
                      {"unknown", total.unknown},
                      {"refused", total.refused},
                      {"lookup_p50_ms", percentile(total.lookup_ms, 0.5)},
                      {"lookup_p99_ms", percentile(total.lookup_ms, 0.99)},
                      {"sync_p50_ms", percentile(total.sync_ms, 0.5)},
                      {"sync_p99_ms", percentile(total.sync_ms, 0.99)},
                      {"not_run", total.not_run}}
              << std::endl;
}

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    using hibiscus::testing::app_caller;
    hibiscus::testing::entry_client client(
        hibiscus::testing::parse_addresses(absl::GetFlag(FLAGS_entries)));
    hibiscus::testing::response_log responses(absl::GetFlag(FLAGS_answers));
    std::vector<std::unique_ptr<app_caller>> callers;
    std::vector<std::thread> threads;
    for (int i = 0; i < absl::GetFlag(FLAGS_callers); ++i) {
        callers.push_back(std::make_unique<app_caller>(client, responses, i));
        threads.emplace_back(
            [caller = callers.back().get()] { caller->run(); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    hibiscus::testing::print(callers);
    return 0;
}
