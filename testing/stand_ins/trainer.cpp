// Stand-in for a trainer: opens steps, pulls their samples, trains and
// publishes versions. It opens the next step before it trains, so that samples
// are generated during training. It checks each sample and prints a summary as
// one line of JSON; with --answers it also writes every received sample to a
// file that the oracle reads. Does not model concurrent pulls.

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
ABSL_FLAG(std::string, entries, "",
          "addresses of the first entries to call, separated by commas");
ABSL_FLAG(std::string, weights, "", "address of the weight store");
ABSL_FLAG(int, steps, 5, "number of steps");
ABSL_FLAG(int, groups, 16, "number of groups in a step");
ABSL_FLAG(int, group_size, 4, "number of samples in a group");
ABSL_FLAG(int, max_tokens, 40,
          "token limit of a sample; a chunk counts as two tokens");
ABSL_FLAG(int, train_ms, 600, "duration of the training of a step in ms");
ABSL_FLAG(int, bound, 1,
          "staleness bound in the document; samples beyond it count as stale");
ABSL_FLAG(std::string, answers, "",
          "file to write each received sample to, if set");
ABSL_FLAG(int, give_up_ms, 120000,
          "maximum time in ms to complete a step or a call");

namespace hibiscus::testing {
namespace {

using nlohmann::json;

constexpr base::millis call_timeout_ms = 4000;
constexpr base::millis pull_wait_ms = 1000;

/// Statistics of a run.
struct trainer_stats {
    int steps = 0;
    std::uint32_t received_samples = 0;
    std::uint32_t requested_samples = 0;
    int duplicates = 0;
    int stale = 0;
    int text_mismatches = 0;
    base::millis idle_ms = 0;
    std::int64_t staleness_sum = 0;
    /// Time that the trainer pulled the samples of each step.
    std::vector<base::millis> pull_ms;
    /// Time from the opening of each step to its last sample.
    std::vector<base::millis> completion_ms;
};

/// Implements the trainer. Single-threaded.
class trainer_stand_in {
public:
    trainer_stand_in()
        : name_(absl::GetFlag(FLAGS_name)),
          client_(parse_addresses(absl::GetFlag(FLAGS_entries))),
          weight_store_(base::parse_endpoint(absl::GetFlag(FLAGS_weights))
                            .value_or(base::endpoint{})) {
        if (!absl::GetFlag(FLAGS_answers).empty()) {
            sample_log_.open(absl::GetFlag(FLAGS_answers));
        }
    }

    /// Trains all steps and prints the summary.
    void run() {
        publish();
        const auto started_at = client_.clock().now();
        const int steps = absl::GetFlag(FLAGS_steps);
        opened_at_ = started_at;
        open_step(1);
        for (int step = 1; step <= steps; ++step) {
            const auto pulling_since = client_.clock().now();
            pull_samples(step);
            stats_.idle_ms += client_.clock().now() - pulling_since;
            stats_.pull_ms.push_back(client_.clock().now() - pulling_since);
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
        print(client_.clock().now() - started_at);
    }

private:
    void publish() {
        ++version_;
        net::http_request request;
        request.method = "PUT";
        request.target =
            "/v1/weights/" + name_ + "/" + std::to_string(version_);
        client_.send_to(weight_store_, request, call_timeout_ms);
        const auto target =
            "/v1/trainers/" + name_ + "/versions/" + std::to_string(version_);
        retry_until_completed<wire::version_response>("PUT", target, "{}");
    }

    /// Repeats a request until it is completed or --give_up_ms have passed.
    template <class T>
    void retry_until_completed(const std::string& method,
                               const std::string& target,
                               const std::string& body) {
        const auto give_up_at =
            client_.clock().now() + absl::GetFlag(FLAGS_give_up_ms);
        while (client_.clock().now() < give_up_at) {
            const auto response =
                client_.call<T>(method, target, body, call_timeout_ms);
            if (response && response->result == wire::outcome::completed) {
                return;
            }
            pause_for(response
                          ? std::max<base::millis>(response->retry_after_ms, 20)
                          : 50);
        }
    }

    std::string step_path(int step) const {
        return "/v1/trainers/" + name_ + "/steps/" + std::to_string(step);
    }

    void open_step(int step) {
        wire::step_request request;
        request.version = version_;
        for (int group = 0; group < absl::GetFlag(FLAGS_groups); ++group) {
            request.groups.push_back(
                {name_ + "-" + std::to_string(step) + "-" +
                     std::to_string(group),
                 static_cast<std::uint32_t>(absl::GetFlag(FLAGS_group_size)),
                 static_cast<std::uint32_t>(absl::GetFlag(FLAGS_max_tokens))});
        }
        retry_until_completed<wire::step_response>("PUT", step_path(step),
                                                   wire::to_json(request));
    }

    void pull_samples(int step) {
        const auto requested = static_cast<std::uint32_t>(
            absl::GetFlag(FLAGS_groups) * absl::GetFlag(FLAGS_group_size));
        stats_.requested_samples += requested;
        std::set<wire::slot_index> received;
        const auto give_up_at =
            client_.clock().now() + absl::GetFlag(FLAGS_give_up_ms);
        while (received.size() < requested &&
               client_.clock().now() < give_up_at) {
            const wire::pull_request pull{++last_pull_, version_,
                                          to_slot_ranges(received), 0,
                                          pull_wait_ms};
            const auto response = client_.call<wire::pull_response>(
                "POST", step_path(step) + "/pull", wire::to_json(pull),
                pull_wait_ms + call_timeout_ms);
            if (!response || response->pull != last_pull_) {
                pause_for(20);
                continue;
            }
            if (response->why == wire::reason::unknown_step) {
                open_step(step);
            }
            for (const auto& sample : response->samples) {
                check_sample(sample, step, received);
            }
            if (response->result != wire::outcome::completed) {
                pause_for(std::max<base::millis>(response->retry_after_ms, 20));
            }
        }
    }

    static std::vector<wire::slot_range>
    to_slot_ranges(const std::set<wire::slot_index>& slots) {
        std::vector<wire::slot_range> ranges;
        for (const auto slot : slots) {
            if (!ranges.empty() && ranges.back().last + 1 == slot) {
                ranges.back().last = slot;
            } else {
                ranges.push_back({slot, slot});
            }
        }
        return ranges;
    }

    void check_sample(const wire::sample& sample, int step,
                      std::set<wire::slot_index>& received) {
        if (!received.insert(sample.slot).second) {
            ++stats_.duplicates;
            return;
        }
        ++stats_.received_samples;
        auto oldest_version = version_;
        const auto stream = name_ + "/" + std::to_string(step) + "/" +
                            std::to_string(sample.slot) + "/" +
                            std::to_string(sample.attempt);
        std::uint32_t seq = 0;
        json versions = json::array();
        bool matches = !sample.chunks.empty();
        for (const auto& chunk : sample.chunks) {
            oldest_version = std::min(oldest_version, chunk.version);
            versions.push_back(chunk.version);
            const auto expected_text = stream + ":" + std::to_string(seq) +
                                       ":v" + std::to_string(chunk.version) +
                                       ";";
            matches =
                matches && chunk.seq == seq++ && chunk.text == expected_text;
        }
        sample_log_ << json{{"stream", stream},
                            {"at", client_.clock().wall_time()},
                            {"engine", sample.engine.str()},
                            {"at_version", version_},
                            {"versions", std::move(versions)}}
                    << std::endl;
        stats_.text_mismatches += matches ? 0 : 1;
        stats_.staleness_sum += version_ - oldest_version;
        stats_.stale +=
            version_ - oldest_version > absl::GetFlag(FLAGS_bound) ? 1 : 0;
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
                          {"step_ms", stats_.pull_ms},
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
    trainer_stats stats_;
};

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    hibiscus::testing::trainer_stand_in trainer;
    trainer.run();
    return 0;
}
