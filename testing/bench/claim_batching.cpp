// Measures what batching claims into one append is worth: one claim home with
// 16 shards, before a model of the log with a limit of appends a second, in
// simulated time. The code of the home is the daemon's; network and service
// are constants. Prints a table and writes JSON.

#include "hibiscus/cluster/claim_coordinator.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <random>

ABSL_FLAG(std::string, output, "", "file for the results as JSON");
ABSL_FLAG(std::string, commit, "", "commit that is measured");

namespace hibiscus::testing {
namespace {

constexpr cluster::shard_number shards = 16;
constexpr base::millis append_ms = 2;
constexpr base::millis read_ms = 1;
constexpr base::millis run_ms = 5;
constexpr base::millis retry_ms = 200;
constexpr base::millis warm_up_ms = 2000;
constexpr base::millis run_length_ms = 12000;
constexpr double appends_per_second = 400;
constexpr double max_append_burst = 20;
constexpr unsigned seed = 1;

/// One row of the table.
struct batching_config {
    base::millis window_ms = 0;
    /// Items of one append; 1 stands for one append per request.
    std::size_t items_per_append = 0;
    base::millis tick_ms = 20;
    int requests_per_second = 0;
};

/// What was measured in a run.
struct run_result {
    int completed = 0;
    int refused = 0;
    int appends = 0;
    std::vector<base::millis> wait_ms;
};

/// A home, a log and callers that arrive at random.
class claim_coordinator_simulation {
public:
    explicit claim_coordinator_simulation(const batching_config& s)
        : config_(s), home_(base::node_id("n"), 1, make_claim_times(s)) {
        std::set<cluster::shard_number> all;
        for (cluster::shard_number i = 0; i < shards; ++i) {
            all.insert(i);
        }
        home_.assign_shards(all);
    }

    /// Runs to the end.
    run_result run() {
        std::poisson_distribution<int> arrivals(config_.requests_per_second /
                                                1000.0);
        for (now_ = 0; now_ < run_length_ms; ++now_) {
            rate_tokens_ = std::min(max_append_burst,
                                    rate_tokens_ + appends_per_second / 1000.0);
            for (int n = arrivals(random_); n > 0; --n) {
                submit();
            }
            const auto due = events_.equal_range(now_);
            std::vector<std::function<void()>> actions;
            for (auto at = due.first; at != due.second; ++at) {
                actions.push_back(at->second);
            }
            events_.erase(now_);
            for (const auto& action : actions) {
                action();
            }
            if (now_ % config_.tick_ms == 0) {
                home_.tick(now_, now_);
            }
            apply_effects();
        }
        return result_;
    }

private:
    static cluster::claim_options make_claim_times(const batching_config& s) {
        cluster::claim_options t;
        t.append_interval = s.window_ms;
        t.max_items_per_append = s.items_per_append;
        return t;
    }

    bool is_warmed_up() const { return now_ >= warm_up_ms; }

    void submit() {
        wire::service_request r;
        r.id = base::request_id("r" + std::to_string(++request_count_));
        r.deadline_ms = 2000;
        r.created_ms = now_;
        submitted_[r.id] = now_;
        home_.submit(now_, now_, request_count_,
                     cluster::shard_of(r.id, shards), r);
    }

    void apply_effects() {
        for (const auto& effect : home_.take_effects()) {
            if (const auto* a = std::get_if<cluster::append_claims>(&effect)) {
                append(*a);
            } else if (const auto* d =
                           std::get_if<cluster::dispatch_request>(&effect)) {
                dispatch(d->request.id);
            } else {
                record_response(
                    std::get<cluster::send_response>(effect).response);
            }
        }
    }

    void append(const cluster::append_claims& a) {
        const bool taken = rate_tokens_ >= 1;
        if (taken) {
            rate_tokens_ -= 1;
            result_.appends += is_warmed_up() ? 1 : 0;
            events_.emplace(now_ + append_ms + read_ms, [this, a] {
                home_.apply_record(now_, a.shard, log_ends_[a.shard]++,
                                   a.record);
            });
        }
        events_.emplace(now_ + append_ms, [this, a, taken] {
            home_.on_append_result(a.shard, a.id,
                                   taken ? cluster::append_outcome::appended
                                         : cluster::append_outcome::refused,
                                   now_ + retry_ms);
        });
    }

    void dispatch(const base::request_id& id) {
        if (is_warmed_up()) {
            result_.wait_ms.push_back(now_ - submitted_[id]);
        }
        events_.emplace(now_ + run_ms, [this, id] {
            wire::service_response answer;
            answer.id = id;
            answer.result = wire::outcome::completed;
            home_.on_service_response(cluster::shard_of(id, shards), answer);
        });
    }

    void record_response(const wire::service_response& answer) {
        if (is_warmed_up()) {
            const bool done = answer.result == wire::outcome::completed;
            result_.completed += done ? 1 : 0;
            result_.refused += done ? 0 : 1;
        }
    }

    batching_config config_;
    cluster::claim_coordinator home_;
    std::mt19937 random_{seed}; // NOLINT: the same callers in each run
    base::millis now_ = 0;
    double rate_tokens_ = max_append_burst;
    std::uint64_t request_count_ = 0;
    std::map<base::request_id, base::millis> submitted_;
    std::map<cluster::shard_number, wire::log_offset> log_ends_;
    std::multimap<base::millis, std::function<void()>> events_;
    run_result result_;
};

/// Runs one setting, prints its row and returns it as JSON.
nlohmann::json run_and_print(const batching_config& s) {
    auto m = claim_coordinator_simulation(s).run();
    std::sort(m.wait_ms.begin(), m.wait_ms.end());
    const auto at = [&](double share) {
        const auto last = static_cast<double>(m.wait_ms.size()) - 1;
        return m.wait_ms.empty()
                   ? base::millis{0}
                   : m.wait_ms[static_cast<std::size_t>(share * last)];
    };
    const double seconds =
        static_cast<double>(run_length_ms - warm_up_ms) / 1000.0;
    const auto rate = [&](int n) { return static_cast<int>(n / seconds); };
    const auto name = s.items_per_append == 1
                          ? std::string("one append per request")
                          : std::to_string(s.window_ms);
    std::cout << "| " << s.requests_per_second << " | " << s.tick_ms << " | "
              << name << " | " << rate(m.completed) << " | " << rate(m.refused)
              << " | " << at(0.5) << " | " << at(0.99) << " | "
              << rate(m.appends) << " |\n";
    return {{"offered", s.requests_per_second},
            {"tick_ms", s.tick_ms},
            {"window_ms", s.window_ms},
            {"one_per_request", s.items_per_append == 1},
            {"completed", rate(m.completed)},
            {"refused", rate(m.refused)},
            {"wait_p50_ms", at(0.5)},
            {"wait_p99_ms", at(0.99)},
            {"appends", rate(m.appends)}};
}

} // namespace
} // namespace hibiscus::testing

/// Measures all settings.
int main(int argc, char** argv) {
    using hibiscus::testing::batching_config;
    absl::ParseCommandLine(argc, argv);
    constexpr std::size_t batch = 1024;
    std::cout << "| offered/s | tick ms | window ms | completed/s | refused/s "
                 "| wait p50 ms | wait p99 ms | appends/s |\n"
              << "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    auto rows = nlohmann::json::array();
    for (const int calls : {100, 1000, 3000}) {
        for (const int tick : {20, 5}) {
            rows.push_back(hibiscus::testing::run_and_print(
                batching_config{0, 1, tick, calls}));
            for (const int window : {0, 5, 10, 20, 50}) {
                rows.push_back(hibiscus::testing::run_and_print(
                    batching_config{window, batch, tick, calls}));
            }
        }
    }
    if (!absl::GetFlag(FLAGS_output).empty()) {
        std::ofstream(absl::GetFlag(FLAGS_output))
            << nlohmann::json{{"commit", absl::GetFlag(FLAGS_commit)},
                              {"seed", 1},
                              {"rows", rows}}
                   .dump(1)
            << '\n';
    }
    return 0;
}
