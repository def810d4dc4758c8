// Stands in for an application: looks things up and syncs a ledger, several
// callers at a time. A sync is retried with the same id, as its caller cannot
// run it twice. It prints what it saw as one line of JSON; with --answers it
// keeps the answer to each try in a file, for the oracle. It does not model
// think time that depends on answers.

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
ABSL_FLAG(std::string, entries, "", "addresses to begin with");
ABSL_FLAG(std::string, service, "ledger", "service to call");
ABSL_FLAG(int, callers, 4, "callers at a time");
ABSL_FLAG(int, seconds, 10, "how long to call");
ABSL_FLAG(int, pause_ms, 20, "time between two calls of a caller");
ABSL_FLAG(int, sync_every, 5, "one call of so many is a sync; 0 for none");
ABSL_FLAG(std::string, answers, "", "file that keeps each answer, if set");
ABSL_FLAG(int, most_tries, 20, "tries of a request before it is given up");
ABSL_FLAG(int, deadline_ms, 3000, "deadline of a call");

namespace hibiscus::testing {
namespace {

using nlohmann::json;

constexpr base::millis timeout_margin_ms = 1000;
/// A sync whose outcome is lost stays so; asking on would tell nothing.
constexpr int max_unknown_responses = 20;

/// What the callers saw.
struct run_stats {
    int lookups = 0;
    int syncs = 0;
    int lost = 0;
    int mismatched_responses = 0;
    int unknown = 0;
    int refused = 0;
    std::vector<base::millis> lookup_ms;
    std::vector<base::millis> sync_ms;
    /// Ids of syncs that were refused to the end: none of them may have run.
    std::vector<std::string> not_run;
};

/// The file that keeps each answer. Safe for several threads.
class response_log {
public:
    /// Opens the file `path`, or keeps nothing if it is empty.
    explicit response_log(const std::string& path) {
        if (!path.empty()) {
            out_.open(path);
        }
    }

    /// Adds the answer to one try.
    void append(const wire::service_request& request,
                const std::optional<wire::service_response>& answer,
                base::millis at, base::millis took) {
        const std::lock_guard<std::mutex> lock(mutex_);
        out_ << json{{"id", request.id.str()},
                     {"at", at},
                     {"took_ms", took},
                     {"result", answer ? base::name_of(answer->result) : ""},
                     {"why", answer ? base::name_of(answer->why) : ""},
                     {"retry_after_ms", answer ? answer->retry_after_ms : 0}}
             << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

/// One caller with a tally of its own.
class app_worker {
public:
    app_worker(entry_client& shared, response_log& answers, int number)
        : client_(shared), response_log_(answers), number_(number) {}

    /// Calls until the time is over.
    void run() {
        const auto until =
            client_.clock().now() + 1000 * absl::GetFlag(FLAGS_seconds);
        for (int i = 0; client_.clock().now() < until; ++i) {
            const int every = absl::GetFlag(FLAGS_sync_every);
            send_request(i, every > 0 && i % every == 0);
            pause_for(absl::GetFlag(FLAGS_pause_ms));
        }
    }

    /// Returns what it saw.
    const run_stats& stats() const { return stats_; }

private:
    void send_request(int i, bool sync) {
        wire::service_request request;
        request.id =
            base::request_id(std::string(sync ? "sync-" : "lookup-") +
                             absl::GetFlag(FLAGS_name) + "-" +
                             std::to_string(number_) + "-" + std::to_string(i));
        request.service = base::service_id(absl::GetFlag(FLAGS_service));
        request.idempotent = !sync;
        request.deadline_ms = absl::GetFlag(FLAGS_deadline_ms);
        request.created_ms = client_.clock().wall_time();
        request.body = "body of " + request.id.str();
        const auto begin = client_.clock().now();
        const auto answer = retry_until_completed(request);
        auto& times = sync ? stats_.sync_ms : stats_.lookup_ms;
        times.push_back(client_.clock().now() - begin);
        ++(sync ? stats_.syncs : stats_.lookups);
        record_outcome(request, answer);
    }

    std::optional<wire::service_response>
    retry_until_completed(const wire::service_request& request) {
        std::optional<wire::service_response> last;
        int unknown = 0;
        for (int i = 0; i < absl::GetFlag(FLAGS_most_tries); ++i) {
            const auto begin = client_.clock().now();
            auto answer = client_.call<wire::service_response>(
                "POST", "/v1/requests", wire::to_json(request),
                request.deadline_ms + timeout_margin_ms);
            response_log_.append(request, answer, client_.clock().wall_time(),
                                 client_.clock().now() - begin);
            if (answer && answer->result == wire::outcome::completed) {
                return answer;
            }
            stats_.refused += answer ? 1 : 0;
            if (answer) {
                last = answer;
                unknown += answer->result == wire::outcome::unknown ? 1 : 0;
            }
            if (!request.idempotent && unknown >= max_unknown_responses) {
                return last;
            }
            pause_for(answer
                          ? std::max<base::millis>(answer->retry_after_ms, 20)
                          : 50);
        }
        return last;
    }

    void record_outcome(const wire::service_request& request,
                        const std::optional<wire::service_response>& answer) {
        if (!answer) {
            ++stats_.lost;
            return;
        }
        if (answer->result == wire::outcome::unknown) {
            ++stats_.unknown;
            return;
        }
        if (answer->result == wire::outcome::not_run) {
            ++stats_.lost;
            stats_.not_run.push_back(request.id.str());
            return;
        }
        const auto expected =
            "ran " + request.id.str() + " with " + request.body;
        if (answer->id != request.id || answer->body != expected) {
            ++stats_.mismatched_responses;
        }
    }

    entry_client& client_;
    response_log& response_log_;
    int number_;
    run_stats stats_;
};

base::millis percentile(std::vector<base::millis> values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    return values[at];
}

void print(const std::vector<std::unique_ptr<app_worker>>& callers) {
    run_stats all;
    for (const auto& c : callers) {
        const auto& t = c->stats();
        all.lookups += t.lookups;
        all.syncs += t.syncs;
        all.lost += t.lost;
        all.mismatched_responses += t.mismatched_responses;
        all.unknown += t.unknown;
        all.refused += t.refused;
        all.lookup_ms.insert(all.lookup_ms.end(), t.lookup_ms.begin(),
                             t.lookup_ms.end());
        all.sync_ms.insert(all.sync_ms.end(), t.sync_ms.begin(),
                           t.sync_ms.end());
        all.not_run.insert(all.not_run.end(), t.not_run.begin(),
                           t.not_run.end());
    }
    std::cout << json{{"client", "app"},
                      {"lookups", all.lookups},
                      {"syncs", all.syncs},
                      {"lost", all.lost},
                      {"wrong", all.mismatched_responses},
                      {"unknown", all.unknown},
                      {"refused", all.refused},
                      {"lookup_p50_ms", percentile(all.lookup_ms, 0.5)},
                      {"lookup_p99_ms", percentile(all.lookup_ms, 0.99)},
                      {"sync_p50_ms", percentile(all.sync_ms, 0.5)},
                      {"sync_p99_ms", percentile(all.sync_ms, 0.99)},
                      {"not_run", all.not_run}}
              << std::endl;
}

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    using hibiscus::testing::app_worker;
    hibiscus::testing::entry_client shared(
        hibiscus::testing::parse_addresses(absl::GetFlag(FLAGS_entries)));
    hibiscus::testing::response_log answers(absl::GetFlag(FLAGS_answers));
    std::vector<std::unique_ptr<app_worker>> callers;
    std::vector<std::thread> threads;
    for (int i = 0; i < absl::GetFlag(FLAGS_callers); ++i) {
        callers.push_back(std::make_unique<app_worker>(shared, answers, i));
        threads.emplace_back([c = callers.back().get()] { c->run(); });
    }
    for (auto& t : threads) {
        t.join();
    }
    hibiscus::testing::print(callers);
    return 0;
}
