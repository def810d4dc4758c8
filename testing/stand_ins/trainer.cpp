// Stands in for a trainer: opens steps, pulls their samples, trains, and
// publishes a version. It opens the next step before it trains, so that
// samples are generated meanwhile. It checks each sample and prints what it
// saw as one line of JSON; with --answers it keeps every sample that it took
// in a file, for the oracle. It does not model several pullers in parallel.

#include "support/caller.hpp"
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

constexpr base::millis call_timeout = 4000;
constexpr base::millis pull_wait = 1000;

/// What a trainer saw.
struct tally {
    int steps = 0;
    std::uint32_t got = 0;
    std::uint32_t wanted = 0;
    int duplicates = 0;
    int stale = 0;
    int untrue = 0;
    base::millis idle = 0;
    std::int64_t staleness_sum = 0;
    std::vector<base::millis> step_ms;
    /// From each step's opening to its last sample.
    std::vector<base::millis> completion_ms;
};

/// One trainer. Runs in the main thread.
class trainer {
public:
    trainer()
        : name_(absl::GetFlag(FLAGS_name)),
          caller_(parse_entries(absl::GetFlag(FLAGS_entries))),
          weights_(base::parse_endpoint(absl::GetFlag(FLAGS_weights))
                       .value_or(base::endpoint{})) {
        if (!absl::GetFlag(FLAGS_answers).empty()) {
            answers_.open(absl::GetFlag(FLAGS_answers));
        }
    }

    /// Trains all steps and prints what it saw.
    void run() {
        publish();
        const auto begin = caller_.clock().now();
        const int steps = absl::GetFlag(FLAGS_steps);
        opened_at_ = begin;
        open(1);
        for (int step = 1; step <= steps; ++step) {
            const auto waiting = caller_.clock().now();
            collect(step);
            tally_.idle += caller_.clock().now() - waiting;
            tally_.step_ms.push_back(caller_.clock().now() - waiting);
            tally_.completion_ms.push_back(caller_.clock().now() - opened_at_);
            ++tally_.steps;
            opened_at_ = caller_.clock().now();
            if (step < steps) {
                open(step + 1);
            }
            pause_for(absl::GetFlag(FLAGS_train_ms));
            publish();
            std::cout << name_ << ": step " << step << " trained, version "
                      << version_ << std::endl;
        }
        print(caller_.clock().now() - begin);
    }

private:
    void publish() {
        ++version_;
        net::http_request put;
        put.method = "PUT";
        put.target = "/v1/weights/" + name_ + "/" + std::to_string(version_);
        caller_.send_to(weights_, put, call_timeout);
        const auto target =
            "/v1/trainers/" + name_ + "/versions/" + std::to_string(version_);
        until_done<wire::version_answer>("PUT", target, "{}");
    }

    /// Asks until the answer is `completed`.
    template <class T>
    void until_done(const std::string& method, const std::string& target,
                    const std::string& body) {
        const auto until =
            caller_.clock().now() + absl::GetFlag(FLAGS_give_up_ms);
        while (caller_.clock().now() < until) {
            const auto a = caller_.ask<T>(method, target, body, call_timeout);
            if (a && a->result == wire::outcome::completed) {
                return;
            }
            pause_for(a ? std::max<base::millis>(a->retry_after_ms, 20) : 50);
        }
    }

    std::string path(int step) const {
        return "/v1/trainers/" + name_ + "/steps/" + std::to_string(step);
    }

    void open(int step) {
        wire::step_request request;
        request.version = version_;
        for (int g = 0; g < absl::GetFlag(FLAGS_groups); ++g) {
            request.groups.push_back(
                {name_ + "-" + std::to_string(step) + "-" + std::to_string(g),
                 static_cast<std::uint32_t>(absl::GetFlag(FLAGS_group_size)),
                 static_cast<std::uint32_t>(absl::GetFlag(FLAGS_max_tokens))});
        }
        until_done<wire::step_answer>("PUT", path(step),
                                      wire::to_json(request));
    }

    void collect(int step) {
        const auto wanted = static_cast<std::uint32_t>(
            absl::GetFlag(FLAGS_groups) * absl::GetFlag(FLAGS_group_size));
        tally_.wanted += wanted;
        std::set<wire::slot_index> received;
        const auto until =
            caller_.clock().now() + absl::GetFlag(FLAGS_give_up_ms);
        while (received.size() < wanted && caller_.clock().now() < until) {
            const wire::pull_request pull{++pull_, version_, ranges(received),
                                          0, pull_wait};
            const auto answer = caller_.ask<wire::pull_answer>(
                "POST", path(step) + "/pull", wire::to_json(pull),
                pull_wait + call_timeout);
            if (!answer || answer->pull != pull_) {
                pause_for(20);
                continue;
            }
            if (answer->why == wire::reason::unknown_step) {
                open(step);
            }
            for (const auto& s : answer->samples) {
                take(s, step, received);
            }
            if (answer->result != wire::outcome::completed) {
                pause_for(std::max<base::millis>(answer->retry_after_ms, 20));
            }
        }
    }

    static std::vector<wire::slot_range>
    ranges(const std::set<wire::slot_index>& slots) {
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

    void take(const wire::sample& s, int step,
              std::set<wire::slot_index>& received) {
        if (!received.insert(s.slot).second) {
            ++tally_.duplicates;
            return;
        }
        ++tally_.got;
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
        answers_ << json{{"stream", stream},
                         {"at", caller_.clock().wall()},
                         {"engine", s.engine.str()},
                         {"at_version", version_},
                         {"versions", std::move(versions)}}
                 << std::endl;
        tally_.untrue += told_true ? 0 : 1;
        tally_.staleness_sum += version_ - oldest;
        tally_.stale += version_ - oldest > absl::GetFlag(FLAGS_bound) ? 1 : 0;
    }

    void print(base::millis total) const {
        std::cout << json{{"client", "trainer"},
                          {"steps", tally_.steps},
                          {"got", tally_.got},
                          {"wanted", tally_.wanted},
                          {"duplicates", tally_.duplicates},
                          {"stale", tally_.stale},
                          {"untrue", tally_.untrue},
                          {"idle_ms", tally_.idle},
                          {"total_ms", total},
                          {"staleness_sum", tally_.staleness_sum},
                          {"step_ms", tally_.step_ms},
                          {"completion_ms", tally_.completion_ms}}
                  << std::endl;
    }

    std::string name_;
    caller caller_;
    base::endpoint weights_;
    wire::weight_version version_ = 0;
    std::int64_t pull_ = 0;
    std::ofstream answers_;
    base::millis opened_at_ = 0;
    tally tally_;
};

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    hibiscus::testing::trainer trainer;
    trainer.run();
    return 0;
}
