// Measures what batching claims into one append is worth: one claim home with
// 16 shards, before a model of the log with a limit of appends a second, in
// simulated time. The code of the home is the daemon's; network and service
// are constants. Prints a table and writes JSON.

#include "hibiscus/cluster/claim_home.hpp"

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
constexpr base::millis warm_up = 2000;
constexpr base::millis length = 12000;
constexpr double appends_a_second = 400;
constexpr double burst = 20;
constexpr unsigned seed = 1;

/// One row of the table.
struct setting {
    base::millis window = 0;
    /// Items of one append; 1 stands for one append per request.
    std::size_t items = 0;
    base::millis tick = 20;
    int calls = 0;
};

/// What was measured in a run.
struct measured {
    int completed = 0;
    int refused = 0;
    int appends = 0;
    std::vector<base::millis> waits;
};

/// A home, a log and callers that arrive at random.
class simulation {
public:
    explicit simulation(const setting& s)
        : setting_(s), home_(base::node_id("n"), 1, times(s)) {
        std::set<cluster::shard_number> all;
        for (cluster::shard_number i = 0; i < shards; ++i) {
            all.insert(i);
        }
        home_.assign(all);
    }

    /// Runs to the end.
    measured run() {
        std::poisson_distribution<int> arrivals(setting_.calls / 1000.0);
        for (now_ = 0; now_ < length; ++now_) {
            allowance_ =
                std::min(burst, allowance_ + appends_a_second / 1000.0);
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
            if (now_ % setting_.tick == 0) {
                home_.tick(now_, now_);
            }
            carry_out();
        }
        return result_;
    }

private:
    static cluster::claim_times times(const setting& s) {
        cluster::claim_times t;
        t.window = s.window;
        t.most_items = s.items;
        return t;
    }

    bool counts() const { return now_ >= warm_up; }

    void submit() {
        wire::service_request r;
        r.id = base::request_id("r" + std::to_string(++requests_));
        r.deadline_ms = 2000;
        r.created_ms = now_;
        submitted_[r.id] = now_;
        home_.submit(now_, now_, requests_, cluster::shard_of(r.id, shards), r);
    }

    void carry_out() {
        for (const auto& effect : home_.take_effects()) {
            if (const auto* a = std::get_if<cluster::append_claims>(&effect)) {
                append(*a);
            } else if (const auto* d =
                           std::get_if<cluster::dispatch_request>(&effect)) {
                dispatch(d->request.id);
            } else {
                note(std::get<cluster::answer_request>(effect).answer);
            }
        }
    }

    void append(const cluster::append_claims& a) {
        const bool taken = allowance_ >= 1;
        if (taken) {
            allowance_ -= 1;
            result_.appends += counts() ? 1 : 0;
            events_.emplace(now_ + append_ms + read_ms, [this, a] {
                home_.read(now_, a.shard, ends_[a.shard]++, a.record);
            });
        }
        events_.emplace(now_ + append_ms, [this, a, taken] {
            home_.appended(a.shard, a.id,
                           taken ? cluster::append_outcome::appended
                                 : cluster::append_outcome::refused,
                           now_ + retry_ms);
        });
    }

    void dispatch(const base::request_id& id) {
        if (counts()) {
            result_.waits.push_back(now_ - submitted_[id]);
        }
        events_.emplace(now_ + run_ms, [this, id] {
            wire::answer answer;
            answer.id = id;
            answer.result = wire::outcome::completed;
            home_.dispatched(cluster::shard_of(id, shards), answer);
        });
    }

    void note(const wire::answer& answer) {
        if (counts()) {
            const bool done = answer.result == wire::outcome::completed;
            result_.completed += done ? 1 : 0;
            result_.refused += done ? 0 : 1;
        }
    }

    setting setting_;
    cluster::claim_home home_;
    std::mt19937 random_{seed}; // NOLINT: the same callers in each run
    base::millis now_ = 0;
    double allowance_ = burst;
    std::uint64_t requests_ = 0;
    std::map<base::request_id, base::millis> submitted_;
    std::map<cluster::shard_number, wire::log_offset> ends_;
    std::multimap<base::millis, std::function<void()>> events_;
    measured result_;
};

/// Runs one setting, prints its row and returns it as JSON.
nlohmann::json measure(const setting& s) {
    auto m = simulation(s).run();
    std::sort(m.waits.begin(), m.waits.end());
    const auto at = [&](double share) {
        const auto last = static_cast<double>(m.waits.size()) - 1;
        return m.waits.empty()
                   ? base::millis{0}
                   : m.waits[static_cast<std::size_t>(share * last)];
    };
    const double seconds = static_cast<double>(length - warm_up) / 1000.0;
    const auto rate = [&](int n) { return static_cast<int>(n / seconds); };
    const auto name = s.items == 1 ? std::string("one append per request")
                                   : std::to_string(s.window);
    std::cout << "| " << s.calls << " | " << s.tick << " | " << name << " | "
              << rate(m.completed) << " | " << rate(m.refused) << " | "
              << at(0.5) << " | " << at(0.99) << " | " << rate(m.appends)
              << " |\n";
    return {{"offered", s.calls},
            {"tick_ms", s.tick},
            {"window_ms", s.window},
            {"one_per_request", s.items == 1},
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
    using hibiscus::testing::setting;
    absl::ParseCommandLine(argc, argv);
    constexpr std::size_t batch = 1024;
    std::cout << "| offered/s | tick ms | window ms | completed/s | refused/s "
                 "| wait p50 ms | wait p99 ms | appends/s |\n"
              << "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    auto rows = nlohmann::json::array();
    for (const int calls : {100, 1000, 3000}) {
        for (const int tick : {20, 5}) {
            rows.push_back(
                hibiscus::testing::measure(setting{0, 1, tick, calls}));
            for (const int window : {0, 5, 10, 20, 50}) {
                rows.push_back(hibiscus::testing::measure(
                    setting{window, batch, tick, calls}));
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
