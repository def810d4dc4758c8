// Stands in for an application: looks things up and syncs a ledger, several
// callers at a time. A sync is retried with the same id, as its caller cannot
// run it twice. It prints what it saw as one line of JSON; with --answers it
// keeps the answer to each try in a file, for the oracle. It does not model
// think time that depends on answers.

#include "support/caller.hpp"
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

constexpr base::millis margin = 1000;
/// A sync whose outcome is lost stays so; asking on would tell nothing.
constexpr int most_unknown = 20;

/// What the callers saw.
struct tally {
    int lookups = 0;
    int syncs = 0;
    int lost = 0;
    int wrong = 0;
    int unknown = 0;
    int refused = 0;
    std::vector<base::millis> lookup_ms;
    std::vector<base::millis> sync_ms;
    /// Ids of syncs that were refused to the end: none of them may have run.
    std::vector<std::string> not_run;
};

/// The file that keeps each answer. Safe for several threads.
class answer_file {
public:
    /// Opens the file `path`, or keeps nothing if it is empty.
    explicit answer_file(const std::string& path) {
        if (!path.empty()) {
            out_.open(path);
        }
    }

    /// Adds the answer to one try.
    void keep(const wire::service_request& request,
              const std::optional<wire::answer>& answer, base::millis at,
              base::millis took) {
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
class one_caller {
public:
    one_caller(caller& shared, answer_file& answers, int number)
        : caller_(shared), answers_(answers), number_(number) {}

    /// Calls until the time is over.
    void run() {
        const auto until =
            caller_.clock().now() + 1000 * absl::GetFlag(FLAGS_seconds);
        for (int i = 0; caller_.clock().now() < until; ++i) {
            const int every = absl::GetFlag(FLAGS_sync_every);
            call(i, every > 0 && i % every == 0);
            pause_for(absl::GetFlag(FLAGS_pause_ms));
        }
    }

    /// Returns what it saw.
    const tally& seen() const { return tally_; }

private:
    void call(int i, bool sync) {
        wire::service_request request;
        request.id =
            base::request_id(std::string(sync ? "sync-" : "lookup-") +
                             absl::GetFlag(FLAGS_name) + "-" +
                             std::to_string(number_) + "-" + std::to_string(i));
        request.service = base::service_id(absl::GetFlag(FLAGS_service));
        request.idempotent = !sync;
        request.deadline_ms = absl::GetFlag(FLAGS_deadline_ms);
        request.created_ms = caller_.clock().wall();
        request.body = "body of " + request.id.str();
        const auto begin = caller_.clock().now();
        const auto answer = until_known(request);
        auto& times = sync ? tally_.sync_ms : tally_.lookup_ms;
        times.push_back(caller_.clock().now() - begin);
        ++(sync ? tally_.syncs : tally_.lookups);
        note(request, answer);
    }

    std::optional<wire::answer>
    until_known(const wire::service_request& request) {
        std::optional<wire::answer> last;
        int unknown = 0;
        for (int i = 0; i < absl::GetFlag(FLAGS_most_tries); ++i) {
            const auto begin = caller_.clock().now();
            auto answer = caller_.ask<wire::answer>(
                "POST", "/v1/requests", wire::to_json(request),
                request.deadline_ms + margin);
            answers_.keep(request, answer, caller_.clock().wall(),
                          caller_.clock().now() - begin);
            if (answer && answer->result == wire::outcome::completed) {
                return answer;
            }
            tally_.refused += answer ? 1 : 0;
            if (answer) {
                last = answer;
                unknown += answer->result == wire::outcome::unknown ? 1 : 0;
            }
            if (!request.idempotent && unknown >= most_unknown) {
                return last;
            }
            pause_for(answer
                          ? std::max<base::millis>(answer->retry_after_ms, 20)
                          : 50);
        }
        return last;
    }

    void note(const wire::service_request& request,
              const std::optional<wire::answer>& answer) {
        if (!answer) {
            ++tally_.lost;
            return;
        }
        if (answer->result == wire::outcome::unknown) {
            ++tally_.unknown;
            return;
        }
        if (answer->result == wire::outcome::not_run) {
            ++tally_.lost;
            tally_.not_run.push_back(request.id.str());
            return;
        }
        const auto expected =
            "ran " + request.id.str() + " with " + request.body;
        if (answer->id != request.id || answer->body != expected) {
            ++tally_.wrong;
        }
    }

    caller& caller_;
    answer_file& answers_;
    int number_;
    tally tally_;
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

void print(const std::vector<std::unique_ptr<one_caller>>& callers) {
    tally all;
    for (const auto& c : callers) {
        const auto& t = c->seen();
        all.lookups += t.lookups;
        all.syncs += t.syncs;
        all.lost += t.lost;
        all.wrong += t.wrong;
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
                      {"wrong", all.wrong},
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
    using hibiscus::testing::one_caller;
    hibiscus::testing::caller shared(
        hibiscus::testing::parse_entries(absl::GetFlag(FLAGS_entries)));
    hibiscus::testing::answer_file answers(absl::GetFlag(FLAGS_answers));
    std::vector<std::unique_ptr<one_caller>> callers;
    std::vector<std::thread> threads;
    for (int i = 0; i < absl::GetFlag(FLAGS_callers); ++i) {
        callers.push_back(std::make_unique<one_caller>(shared, answers, i));
        threads.emplace_back([c = callers.back().get()] { c->run(); });
    }
    for (auto& t : threads) {
        t.join();
    }
    hibiscus::testing::print(callers);
    return 0;
}
