#include "world.hpp"

#include <cmath>

/// review/6: a partition of the store is down for some seconds, again and
/// again. Afterwards the store serves all partitions, and the node that runs
/// the jobs is killed and started again.
namespace review {
namespace {

/// The trainer of sites/va-lima.toml. It asks one step ahead, so that two of
/// its jobs are open.
constexpr int groups = 29;
constexpr int items_per_group = 8;
constexpr int items_per_step = groups * items_per_group;
constexpr int wanted_groups = 26;
constexpr int open_steps = 2;
constexpr int draft_samplers = 11;
constexpr int total_slots = draft_samplers * 12;
constexpr long step_interval_ms = 4000;
constexpr long step_deadline_ms = 12000;

/// The site file: `platform_down`, share = 0.3 (of the partitions), for 4.5 s.
constexpr long outage_ms = 4500;
constexpr long pause_ms = 2500;
constexpr int max_outages = 9;
/// Outages end here, so that the store is not filled by them alone.
constexpr std::size_t nearly_full_bytes = 396 * 1000 * 1000;
constexpr long max_wait_for_full_ms = 18000;

constexpr long stable_ms = 3000;
constexpr long max_away_ms = 5000;

std::string megabytes(std::size_t bytes) {
    return std::to_string(bytes / 1000000) + " MB";
}

const char* const configuration = R"({"version":1,"routes":[
 {"name":"fetch","host":"h","pathPrefix":"/fetch/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":800,"priority":2,"attempts":4,
  "service":"desk"},
 {"name":"roll","host":"h","pathPrefix":"/roll/","kind":"rollout",
  "targetLatencyMs":400,"runTargetMs":7500,"retentionS":40,"attempts":3,
  "priority":0,"service":"draft"}],
 "services":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,
 "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/// Returns how many events an item has: by its sheet mostly about the mean, and
/// for one in twelve five times as many, at most 171.
int event_count(const std::string& id) {
    std::uint32_t hash = 2166136261U;
    for (const unsigned char c : id) {
        hash = (hash ^ c) * 16777619U;
    }
    hash = (hash ^ hash >> 15U) * 2246822519U;
    hash ^= hash >> 13U;
    const double u = (hash % 10000 + 0.5) / 10000;
    const double v = (hash / 10000 % 10000 + 0.5) / 10000;
    const double normal =
        std::sqrt(-2 * std::log(u)) * std::cos(6.283185307 * v);
    const double length =
        12.5 * std::exp(0.84 * normal) * (hash / 100000000 % 12 == 0 ? 5 : 1);
    return std::clamp(static_cast<int>(length), 3, 171);
}

/// When an item was at a sampler, and when it was finished.
struct item_history {
    struct stay {
        long begin = 0;
        long end = -1;
    };
    std::vector<stay> stays;
    long finished_at = -1;
};

struct step {
    std::string id;
    long accepted_at = -1;
    long over_at = -1;
    bool complete = false;
};

class trial {
public:
    trial(std::string dir, recorder& record, bool trouble)
        : dir_(std::move(dir)), record_(record), trouble_(trouble) {}

    int run();
    void end() {
        for (const auto& n : nodes_) {
            n->stop(SIGKILL);
        }
    }

private:
    void start_world();
    void train();
    void run_step(const std::string& id);
    void cause_outages();
    void wait_for_restart();
    void restart_owner();
    int judge();
    int count_runs(long begin, long end) const;
    static std::string make_job(const std::string& id);
    node& any_node() { return *nodes_[++turn_ % nodes_.size()]; }

    std::string dir_;
    recorder& record_;
    bool trouble_;
    store store_;
    std::vector<std::unique_ptr<sampler>> samplers_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::atomic<unsigned> turn_{0};
    std::mutex mutex_;
    std::map<std::string, item_history> items_;
    std::vector<step> steps_;
    std::atomic<int> step_number_{0};
    /// When the step that was accepted last was, or 0.
    std::atomic<long> step_accepted_at_{0};
    std::atomic<long> calm_since_{0};
    std::atomic<long> restarted_at_{0};
};

std::string trial::make_job(const std::string& id) {
    json job{{"step", 0},
             {"model", "m"},
             {"minVersion", 1},
             {"targetGroups", wanted_groups},
             {"items", json::array()}};
    for (int n = 0; n < items_per_step; ++n) {
        const auto item = id + "i" + std::to_string(n);
        job["items"].push_back(
            {{"id", item},
             {"path", "/roll/" + item},
             {"headers",
              {{"Model", "m"},
               {"Token-Counts", "271,10944"},
               {"Length-Hint", std::to_string(64 * event_count(item))}}},
             {"body", std::string(800, 'Y')},
             {"tokens", 11215},
             {"group", "g" + std::to_string(n / items_per_group)},
             {"scorer",
              {{"id", "s" + item},
               {"host", "h"},
               {"path", "/fetch/s"},
               {"body", std::string(800, 'Y')}}}});
    }
    return job.dump();
}

void trial::start_world() {
    store_.put("keyed.op", "config", configuration);
    const char* const zones[] = {"a", "b", "c", "d"};
    for (int n = 0; n < draft_samplers; ++n) {
        sampler::settings s;
        s.id = "draft-" + std::to_string(n);
        s.service = "draft";
        s.zone = zones[n % 4];
        s.has_model = true;
        s.event_ms = 41;
        s.event_count = event_count;
        samplers_.push_back(
            std::make_unique<sampler>(store_, record_, std::move(s)));
        samplers_.back()->on_run_begun = [this](const std::string& id) {
            const std::lock_guard<std::mutex> lock(mutex_);
            items_[id].stays.push_back({now_ms(), -1});
        };
        samplers_.back()->on_run_ended = [this](const std::string& id,
                                                bool finished) {
            const std::lock_guard<std::mutex> lock(mutex_);
            auto& item = items_[id];
            for (auto& stay : item.stays) {
                if (stay.end < 0) {
                    stay.end = now_ms();
                    break;
                }
            }
            if (finished && item.finished_at < 0) {
                item.finished_at = now_ms();
            }
        };
    }
    for (int n = 0; n < 16; ++n) {
        sampler::settings s;
        s.id = "desk-" + std::to_string(n);
        s.service = "desk";
        s.zone = zones[n % 4];
        s.slots = 6;
        s.work = [](const http_message&) { return plain_work{200}; };
        samplers_.push_back(
            std::make_unique<sampler>(store_, record_, std::move(s)));
    }
    for (int n = 0; n < 4; ++n) {
        nodes_.push_back(std::make_unique<node>("edge-" + std::to_string(n),
                                                zones[n], dir_, store_.port()));
        nodes_.back()->start();
    }
}

/// Submits a job, reads its results until the groups that the trainer waits for
/// are complete or its time is over, and ends it.
void trial::run_step(const std::string& id) {
    const auto body = make_job(id);
    const long begin = now_ms();
    const fields headers{{"Host", "h"},
                         {"Request-Id", id},
                         {"Deadline-Ms", "12000"},
                         {"Content-Type", "application/json"}};
    int status = 0;
    while (status != 202 && now_ms() - begin < step_deadline_ms) {
        status =
            call(any_node().callers(), "POST", "/roll/j", headers, body, 4000)
                .status;
        record_.note("submit " + id + " " + std::to_string(status));
        sleep_ms(status == 202 ? 0 : 300);
    }
    if (status != 202) {
        return;
    }
    const long accepted_at = now_ms();
    step_accepted_at_ = accepted_at;
    std::map<int, int> done_in_group;
    std::size_t next = 0;
    int complete = 0;
    while (complete < wanted_groups && now_ms() - begin < step_deadline_ms) {
        const auto answer =
            call(any_node().callers(), "GET",
                 "/lots/" + id + "?after=" + std::to_string(next),
                 {{"Host", "h"}, {"Wait-Ms", "1000"}}, "", 2500);
        const auto page = json::parse(answer.body, nullptr, false);
        if (answer.status == 200 && page.is_object()) {
            next = page["next"].get<std::size_t>();
            for (const auto& r : page["results"]) {
                const auto item = r["id"].get<std::string>();
                const int n =
                    std::atoi(item.substr(item.rfind('i') + 1).c_str());
                complete +=
                    ++done_in_group[n / items_per_group] == items_per_group;
            }
        }
        sleep_ms(400);
    }
    record_.note("step " + id + " has " + std::to_string(next) + " of " +
                 std::to_string(items_per_step) + ", " +
                 std::to_string(complete) + " groups, stored " +
                 std::to_string(store_.stored_bytes() / 1000000) + " MB");
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        steps_.push_back(
            {id, accepted_at, now_ms(), complete >= wanted_groups});
    }
    const long end_begin = now_ms();
    while (now_ms() - end_begin < 4000) {
        const int ended = call(any_node().callers(), "DELETE", "/lots/" + id,
                               {{"Host", "h"}}, "", 3000)
                              .status;
        record_.note("end " + id + " " + std::to_string(ended));
        if (ended == 200) {
            return;
        }
        sleep_ms(300);
    }
}

void trial::train() {
    for (;;) {
        const long begin = now_ms();
        run_step("k" + std::to_string(++step_number_));
        sleep_ms(open_steps * step_interval_ms - (now_ms() - begin));
    }
}

void trial::cause_outages() {
    for (int n = 0;
         n < max_outages && store_.stored_bytes() < nearly_full_bytes; ++n) {
        record_.note("outage " + std::to_string(n + 1) + " begins, stored " +
                     megabytes(store_.stored_bytes()));
        if (trouble_) {
            store_.set_down("keyed.journal", 0, true);
        }
        const long until = now_ms() + outage_ms;
        while (now_ms() < until && store_.stored_bytes() < nearly_full_bytes) {
            sleep_ms(20);
        }
        store_.set_down("keyed.journal", 0, false);
        calm_since_ = now_ms();
        record_.note("outage " + std::to_string(n + 1) + " ends, stored " +
                     megabytes(store_.stored_bytes()) + ", of it texts " +
                     megabytes(store_.stored_bytes("keyed.texts")));
        sleep_ms(pause_ms);
    }
}

/// Waits until a step is about to be in the middle of its time: after the store
/// has refused an append as it is full, or, if that does not happen within some
/// steps, anyway.
void trial::wait_for_restart() {
    const long begin = now_ms();
    bool was_full = false;
    for (;;) {
        sleep_ms(20);
        const long open_ms = now_ms() - step_accepted_at_;
        const bool is_full = store_.refused_as_full() > 0;
        if (is_full && !std::exchange(was_full, true)) {
            record_.note("the store is full");
        }
        const bool is_late = now_ms() - begin > max_wait_for_full_ms;
        if (open_ms > 1500 && open_ms < 3900 && (is_full || is_late)) {
            return;
        }
        if (now_ms() - begin > max_wait_for_full_ms + 6000) {
            return;
        }
    }
}

/// Stops the node that runs the jobs, as an operator would, and starts it
/// again.
void trial::restart_owner() {
    const auto owner = owner_of_jobs(store_);
    for (const auto& n : nodes_) {
        if (n->name() == owner) {
            restarted_at_ = now_ms();
            record_.note("SIGTERM to " + owner + ", which owns the jobs");
            n->stop(SIGTERM);
            n->start();
            record_.note(owner + " has ended and is started again");
            return;
        }
    }
}

/// Returns how many runs there were in a span of time: at least as many as at
/// any moment of it.
int trial::count_runs(long begin, long end) const {
    int count = 0;
    for (const auto& [id, item] : items_) {
        for (const auto& stay : item.stays) {
            count += stay.begin < end && (stay.end < 0 || stay.end > begin);
        }
    }
    return count;
}

/// LOST, batch jobs: "A step runs out of time while one of its items, which no
/// sampler has finished or failed, has been at no sampler for 5 s of steady
/// state; others of the step had begun [...], the samplers were under half
/// full, no version was named then". No version is named here. Steady state is
/// counted from 3 s after the last outage and after the restart on.
int trial::judge() {
    const std::lock_guard<std::mutex> lock(mutex_);
    int lost = 0;
    for (const auto& s : steps_) {
        if (s.complete || s.over_at < restarted_at_) {
            continue;
        }
        int begun = 0;
        for (int n = 0; n < items_per_step; ++n) {
            begun += items_.count(s.id + "i" + std::to_string(n)) != 0;
        }
        const long steady_since =
            std::max({s.accepted_at, calm_since_ + stable_ms,
                      restarted_at_ + stable_ms});
        for (int n = 0; n < items_per_step; ++n) {
            const auto id = s.id + "i" + std::to_string(n);
            const auto& item = items_[id];
            if (item.finished_at >= 0 && item.finished_at <= s.over_at) {
                continue;
            }
            long left_at = steady_since;
            for (const auto& stay : item.stays) {
                left_at =
                    std::max(left_at, stay.end < 0 ? s.over_at : stay.end);
            }
            if (s.over_at - left_at >= max_away_ms && begun > 0 &&
                count_runs(left_at, s.over_at) < total_slots / 2) {
                ++lost;
                record_.note("LOST " + id + " of step " + s.id +
                             ": not finished, at no sampler for " +
                             std::to_string(s.over_at - left_at) +
                             " ms of steady state");
            }
        }
    }
    return lost;
}

int trial::run() {
    start_world();
    for (const auto& n : nodes_) {
        if (!n->wait_until_ready(20000)) {
            record_.note("a node is not ready");
            return 2;
        }
    }
    for (int n = 0; n < open_steps; ++n) {
        std::thread([this, n] {
            sleep_ms(n * step_interval_ms);
            train();
        }).detach();
    }
    sleep_ms(5000);
    cause_outages();
    wait_for_restart();
    restart_owner();
    sleep_ms(step_deadline_ms + 500);
    record_.note(
        "appends refused as full: " + std::to_string(store_.refused_as_full()) +
        ", owner: " + owner_of_jobs(store_));
    if (restarted_at_ == 0 || steps_.empty()) {
        return 2;
    }
    const int lost = judge();
    record_.note("items lost: " + std::to_string(lost));
    return lost > 0 ? 1 : 0;
}

} // namespace
} // namespace review

int main(int argc, char** argv) {
    if (argc != 3) {
        return 2;
    }
    review::now_ms();
    review::recorder record(argv[1]);
    const char* const trouble = std::getenv("TROUBLE");
    int result = 2;
    {
        review::trial t(argv[2], record,
                        trouble == nullptr || std::string(trouble) != "0");
        result = t.run();
        t.end();
        record.note("result " + std::to_string(result));
        std::_Exit(result);
    }
}
