// Stands in for a trainer: opens steps, pulls their samples, trains, and
// publishes a version. It opens the next step before it trains, so that
// samples are generated meanwhile. It checks each sample and prints what it
// saw as one line of JSON; with --answers it keeps every sample that it took
// in a file, for the oracle. It does not model several pullers in parallel.

#include "support/entry_client.hpp"
#include "support/process.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

ABSL_FLAG(std::string, name, "trainer", "name of the trainer");
ABSL_FLAG(std::string, entries, "", "addresses to begin with");
ABSL_FLAG(std::string, weights, "", "address of the weight store");
ABSL_FLAG(int, steps, 5, "steps to train");
ABSL_FLAG(int, groups, 16, "groups in a step");
ABSL_FLAG(int, group_size, 4, "samples in a group");
ABSL_FLAG(int, max_tokens, 40, "longest usual sample, in chunks times two");
ABSL_FLAG(int, train_ms, 600, "how long training takes");
ABSL_FLAG(int, bound, 1, "staleness bound of the document");
ABSL_FLAG(std::string, answers, "", "file that keeps each sample, if set");
ABSL_FLAG(int, give_up_ms, 120000, "longest time for one step");

namespace hibiscus::testing {
namespace {

using nlohmann::json;

constexpr base::millis call_timeout_ms = 4000;
constexpr base::millis pull_wait_ms = 1000;

/// What a trainer saw.
struct run_stats {
    int steps = 0;
    std::uint32_t received_samples = 0;
    std::uint32_t requested_samples = 0;
    int duplicates = 0;
    int stale = 0;
    int text_mismatches = 0;
    base::millis idle_ms = 0;
    std::int64_t staleness_sum = 0;
    std::vector<base::millis> step_ms;
    /// From each step's opening to its last sample.
    std::vector<base::millis> completion_ms;
};

/// One trainer. Runs in the main thread.
class fake_trainer {
public:
    fake_trainer()
        : name_(absl::GetFlag(FLAGS_name)),
          client_(parse_addresses(absl::GetFlag(FLAGS_entries))),
          weight_store_(base::parse_endpoint(absl::GetFlag(FLAGS_weights))
                            .value_or(base::endpoint{})) {
        if (!absl::GetFlag(FLAGS_answers).empty()) {
            sample_log_.open(absl::GetFlag(FLAGS_answers));
        }
    }

    /// Trains all steps and prints what it saw.
    void run() {
        publish();
        const auto begin = client_.clock().now();
        const int steps = absl::GetFlag(FLAGS_steps);
        opened_at_ = begin;
        open_step(1);
        for (int step = 1; step <= steps; ++step) {
            const auto waiting = client_.clock().now();
            pull_samples(step);
            stats_.idle_ms += client_.clock().now() - waiting;
            stats_.step_ms.push_back(client_.clock().now() - waiting);
            stats_.completion_ms.push_back(client_.clock().now() - opened_at_);
            ++stats_.steps;
            opened_at_ = client_.clock().now();
            if (step < steps) {
                open_step(step + 1);
            }
            pause_for(absl::GetFlag(FLAGS_train_ms));
            publish();
            std::cout << name_ << ": step " << step << " trained, version "
                      << version_ << std::endl;
        }
        print(client_.clock().now() - begin);
    }

private:
    void publish() {
        ++version_;
        net::http_request put;
        put.method = "PUT";
        put.target = "/v1/weights/" + name_ + "/" + std::to_string(version_);
        client_.send_to(weight_store_, put, call_timeout_ms);
        const auto target =
            "/v1/trainers/" + name_ + "/versions/" + std::to_string(version_);
        retry_until_completed<wire::version_response>("PUT", target, "{}");
    }

    /// Asks until the answer is `completed`.
    template <class T>
    void retry_until_completed(const std::string& method,
                               const std::string& target,
                               const std::string& body) {
        const auto until =
            client_.clock().now() + absl::GetFlag(FLAGS_give_up_ms);
        while (client_.clock().now() < until) {
            const auto a =
                client_.call<T>(method, target, body, call_timeout_ms);
            if (a && a->result == wire::outcome::completed) {
                return;
            }
            pause_for(a ? std::max<base::millis>(a->retry_after_ms, 20) : 50);
        }
    }

    std::string step_path(int step) const {
        return "/v1/trainers/" + name_ + "/steps/" + std::to_string(step);
    }

    void open_step(int step) {
        wire::step_request request;
        request.version = version_;
        for (int g = 0; g < absl::GetFlag(FLAGS_groups); ++g) {
            request.groups.push_back(
                {name_ + "-" + std::to_string(step) + "-" + std::to_string(g),
                 static_cast<std::uint32_t>(absl::GetFlag(FLAGS_group_size)),
                 static_cast<std::uint32_t>(absl::GetFlag(FLAGS_max_tokens))});
        }
        retry_until_completed<wire::step_response>("PUT", step_path(step),
                                                   wire::to_json(request));
    }

    void pull_samples(int step) {
        const auto wanted = static_cast<std::uint32_t>(
            absl::GetFlag(FLAGS_groups) * absl::GetFlag(FLAGS_group_size));
        stats_.requested_samples += wanted;
        std::set<wire::slot_index> received;
        const auto until =
            client_.clock().now() + absl::GetFlag(FLAGS_give_up_ms);
        while (received.size() < wanted && client_.clock().now() < until) {
            const wire::pull_request pull{++last_pull_, version_,
                                          to_slot_ranges(received), 0,
                                          pull_wait_ms};
            const auto answer = client_.call<wire::pull_response>(
                "POST", step_path(step) + "/pull", wire::to_json(pull),
                pull_wait_ms + call_timeout_ms);
            if (!answer || answer->pull != last_pull_) {
                pause_for(20);
                continue;
            }
            if (answer->why == wire::reason::unknown_step) {
                open_step(step);
            }
            for (const auto& s : answer->samples) {
                check_sample(s, step, received);
            }
            if (answer->result != wire::outcome::completed) {
                pause_for(std::max<base::millis>(answer->retry_after_ms, 20));
            }
        }
    }

    static std::vector<wire::slot_range>
    to_slot_ranges(const std::set<wire::slot_index>& slots) {
        std::vector<wire::slot_range> result;
        for (const auto s : slots) {
            if (!result.empty() && result.back().last + 1 == s) {
                result.back().last = s;
            } else {
                result.push_back({s, s});
            }
        }
        return result;
    }

    void check_sample(const wire::sample& s, int step,
                      std::set<wire::slot_index>& received) {
        if (!received.insert(s.slot).second) {
            ++stats_.duplicates;
            return;
        }
        ++stats_.received_samples;
        auto oldest = version_;
        const auto stream = name_ + "/" + std::to_string(step) + "/" +
                            std::to_string(s.slot) + "/" +
                            std::to_string(s.attempt);
        std::uint32_t seq = 0;
        json versions = json::array();
        bool told_true = !s.chunks.empty();
        for (const auto& c : s.chunks) {
            oldest = std::min(oldest, c.version);
            versions.push_back(c.version);
            const auto text = stream + ":" + std::to_string(seq) + ":v" +
                              std::to_string(c.version) + ";";
            told_true = told_true && c.seq == seq++ && c.text == text;
        }
        sample_log_ << json{{"stream", stream},
                            {"at", client_.clock().wall_time()},
                            {"engine", s.engine.str()},
                            {"at_version", version_},
                            {"versions", std::move(versions)}}
                    << std::endl;
        stats_.text_mismatches += told_true ? 0 : 1;
        stats_.staleness_sum += version_ - oldest;
        stats_.stale += version_ - oldest > absl::GetFlag(FLAGS_bound) ? 1 : 0;
    }

    void print(base::millis total) const {
        std::cout << json{{"client", "trainer"},
                          {"steps", stats_.steps},
                          {"got", stats_.received_samples},
                          {"wanted", stats_.requested_samples},
                          {"duplicates", stats_.duplicates},
                          {"stale", stats_.stale},
                          {"untrue", stats_.text_mismatches},
                          {"idle_ms", stats_.idle_ms},
                          {"total_ms", total},
                          {"staleness_sum", stats_.staleness_sum},
                          {"step_ms", stats_.step_ms},
                          {"completion_ms", stats_.completion_ms}}
                  << std::endl;
    }

    std::string name_;
    entry_client client_;
    base::endpoint weight_store_;
    wire::weight_version version_ = 0;
    std::int64_t last_pull_ = 0;
    std::ofstream sample_log_;
    base::millis opened_at_ = 0;
    run_stats stats_;
};

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    hibiscus::testing::fake_trainer trainer;
    trainer.run();
    return 0;
}
