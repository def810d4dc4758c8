// Measures goodput at capacity and at twice the capacity, in one run: lookups
// arrive at a fixed rate whether or not earlier ones were answered, and count
// only if they were completed within their deadline. Prints one JSON line.

#include "support/test_cluster.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/executor_work_guard.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

ABSL_FLAG(std::string, programs, "build", "build folder");
ABSL_FLAG(int, nodes, 3, "entry instances");
ABSL_FLAG(int, instances, 2, "instances of the service");
ABSL_FLAG(int, slots, 8, "runs that one instance takes at a time");
ABSL_FLAG(int, run_ms, 40, "how long a run takes");
ABSL_FLAG(int, deadline_ms, 500, "deadline of a lookup");
ABSL_FLAG(int, seconds, 5, "length of a phase");
ABSL_FLAG(int, rounds, 3, "how often the two phases are repeated");

namespace hibiscus::testing {
namespace {

using nlohmann::json;

constexpr const char* document = R"({"schema": 1,
    "owners": [{"name": "campus"}],
    "services": [{"name": "ledger", "owner": "campus"}],
    "limits": {"entries_ttl_ms": 500}})";

/// What became of the lookups of one phase.
struct run_stats {
    std::atomic<int> completed{0};
    std::atomic<int> refused{0};
    std::atomic<int> without_retry_after{0};
    std::atomic<int> other_outcomes{0};
    std::atomic<int> in_flight{0};
    std::atomic<base::millis> refusal_ms{0};
};

/// Sends lookups at a rate to all entries in turn.
class open_loop_load {
public:
    explicit open_loop_load(std::vector<base::endpoint> entries)
        : entries_(std::move(entries)), guard_(io_.get_executor()),
          http_(io_, 500), thread_([this] { io_.run(); }) {}

    ~open_loop_load() {
        io_.stop();
        thread_.join();
    }

    open_loop_load(const open_loop_load&) = delete;
    open_loop_load& operator=(const open_loop_load&) = delete;

    /// Sends `per_second` lookups a second and returns what became of them.
    json run(double per_second) {
        auto seen = std::make_shared<run_stats>();
        const auto begin = clock_.now();
        const auto length = 1000 * absl::GetFlag(FLAGS_seconds);
        int sent = 0;
        for (auto now = begin; now < begin + length; now = clock_.now()) {
            const auto due =
                per_second * static_cast<double>(now - begin) / 1000.0;
            while (sent < static_cast<int>(due)) {
                send(seen);
                ++sent;
            }
            pause_for(1);
        }
        eventually([&] { return seen->in_flight == 0; });
        const int refused = seen->refused;
        return {
            {"offered_per_s", sent / absl::GetFlag(FLAGS_seconds)},
            {"goodput_per_s", seen->completed / absl::GetFlag(FLAGS_seconds)},
            {"refused", refused},
            {"refused_without_retry_after", seen->without_retry_after.load()},
            {"mean_refusal_ms", refused > 0 ? seen->refusal_ms / refused : 0},
            {"other", seen->other_outcomes.load()}};
    }

private:
    void send(const std::shared_ptr<run_stats>& seen) {
        wire::service_request lookup;
        lookup.id =
            base::request_id("lookup-" + std::to_string(++request_count_));
        lookup.service = base::service_id("ledger");
        lookup.deadline_ms = absl::GetFlag(FLAGS_deadline_ms);
        lookup.created_ms = clock_.wall_time();
        net::http_request r;
        r.method = "POST";
        r.target = "/v1/requests";
        r.body = wire::to_json(lookup);
        ++seen->in_flight;
        const auto begun = clock_.now();
        http_.send(entries_[static_cast<std::size_t>(request_count_) %
                            entries_.size()],
                   std::move(r), 20000, net::connection_reuse::allowed,
                   [this, seen, begun](const net::http_result& result) {
                       record_result(*seen, result, clock_.now() - begun);
                       --seen->in_flight;
                   });
    }

    static void record_result(run_stats& seen, const net::http_result& result,
                              base::millis took) {
        const auto answer =
            entry_client::decode_response<wire::service_response>(result);
        if (answer && answer->result == wire::outcome::completed &&
            took <= absl::GetFlag(FLAGS_deadline_ms)) {
            ++seen.completed;
        } else if (answer && answer->result == wire::outcome::not_run) {
            ++seen.refused;
            seen.refusal_ms += took;
            seen.without_retry_after += answer->retry_after_ms > 0 ? 0 : 1;
        } else {
            ++seen.other_outcomes;
        }
    }

    base::clock clock_;
    std::vector<base::endpoint> entries_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard_;
    net::http_client http_;
    std::thread thread_;
    int request_count_ = 0;
};

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values.empty() ? 0.0 : values[values.size() / 2];
}

int run() {
    test_cluster s(absl::GetFlag(FLAGS_programs));
    s.start_platform();
    for (int i = 1; i <= absl::GetFlag(FLAGS_nodes); ++i) {
        s.start_node("127.0.0." + std::to_string(i), "z1");
    }
    for (int i = 0; i < absl::GetFlag(FLAGS_instances); ++i) {
        s.start_service(
            "ledger", "z1",
            {"--capacity=" + std::to_string(absl::GetFlag(FLAGS_slots)),
             "--run_ms=" + std::to_string(absl::GetFlag(FLAGS_run_ms))});
    }
    if (s.publish_document(document) != 0 || !s.wait_until_ready()) {
        std::cerr << "the nodes do not get ready\n";
        return 1;
    }
    const double capacity = 1000.0 * absl::GetFlag(FLAGS_instances) *
                            absl::GetFlag(FLAGS_slots) /
                            absl::GetFlag(FLAGS_run_ms);
    open_loop_load load(s.entry_addresses());
    load.run(capacity / 2);
    json phases = json::array();
    std::vector<double> ratios;
    for (int i = 0; i < absl::GetFlag(FLAGS_rounds); ++i) {
        const auto at = load.run(capacity);
        const auto twice = load.run(2 * capacity);
        ratios.push_back(twice["goodput_per_s"].get<double>() /
                         at["goodput_per_s"].get<double>());
        phases.push_back({{"at_capacity", at}, {"at_twice", twice}});
    }
    std::cout << json{{"capacity_per_s", capacity},
                      {"rounds", phases},
                      {"median_ratio", median(ratios)}}
                     .dump(1)
              << std::endl;
    return 0;
}

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    return hibiscus::testing::run();
}
