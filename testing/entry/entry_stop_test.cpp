#include "entry/entry_world.hpp"
#include "entry/kept_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <random>
#include <set>

namespace hibiscus::testing {

namespace {

constexpr std::array<const char*, 3> node_names{"n1", "n2", "n3"};

/// What an operator does while clients go on.
struct planned_work {
    /// How many times three callers each node has, and how many streams.
    int callers = 1;
    int streams = 1;
    bool stops = false;
    int reloads = 0;
    int configurations = 0;
};

/// A request whose connection ended without a whole answer.
struct unanswered {
    std::string id;
    std::string node;
    kept_reply reply;
    /// The time since the node's last SIGTERM, in ms, or -1.
    base::millis since_stop = -1;
};

/// Plays one seed: clients send request after request on connections that they
/// keep, at each of three nodes, while an operator plans work on all of them.
class stop_run : private entry_world {
public:
    explicit stop_run(unsigned seed) : random_(seed) {}

    /// Returns what is wrong, or "".
    std::string play(const planned_work& work) {
        configure(version_, deadline_ms);
        app_.set_work_ms(work_ms);
        for (const char* name : node_names) {
            start_node(name);
        }
        for (const char* name : node_names) {
            if (!wait_ready(name)) {
                return std::string(name) + " does not become ready";
            }
            add_clients(name, work);
        }
        plan(work);
        run_until([&] { return answered_ > few_answers; });
        begin_ = clock_.now();
        last_turn_ = begin_;
        while (!plan_.empty() || !stopping_.empty()) {
            if (!carry_out()) {
                break;
            }
        }
        finish();
        return report();
    }

private:
    struct planned {
        base::millis at = 0;
        std::function<void()> what;
    };

    int draw(int below) {
        return static_cast<int>(random_() % static_cast<unsigned>(below));
    }

    std::string any_node() {
        return node_names[static_cast<std::size_t>(draw(node_names.size()))];
    }

    void add_clients(const std::string& name, const planned_work& work) {
        for (int n = 0; n < work.callers; ++n) {
            for (const int most : {1, 20000, 400000}) {
                add_client(name, [this, most] { return lookup(most); });
            }
        }
        for (int n = 0; n < work.streams; ++n) {
            add_client(name, [this] { return stream(); });
        }
        add_client(name, [this] { return job_call(); });
    }

    void add_client(const std::string& name, kept_client::next_function next) {
        clients_.push_back(std::make_unique<kept_client>(
            io_, base::endpoint{"127.0.0.1", ports_.at(name).front()},
            std::move(next),
            [this, name](const auto& q, const auto& r) { ended(name, q, r); }));
    }

    kept_request request(const std::string& prefix, const std::string& target) {
        kept_request q;
        q.id = prefix + std::to_string(++requests_);
        q.target = target;
        q.fields = {{"Host", "h"},
                    {"Deadline-Ms", std::to_string(deadline_ms)}};
        q.pause_ms = draw(8) == 0 ? draw(longest_pause_ms) : draw(work_ms);
        return q;
    }

    kept_request lookup(int most) {
        auto q = request("q", "/look/x");
        const int size = least_body + draw(most);
        q.body.assign(static_cast<std::size_t>(size), 'x');
        q.pieces = 1 + static_cast<std::size_t>(draw(4));
        return q;
    }

    kept_request stream() {
        auto q = request("t", "/stream/x");
        q.fields.push_back({"Model", "m"});
        return q;
    }

    /// Submits a job, or reads one that was accepted.
    kept_request job_call() {
        if (jobs_.size() < most_jobs && draw(3) == 0) {
            auto q = request("j", "/batch/1");
            q.body = job_body(q.id + "-");
            jobs_[q.id] = false;
            return q;
        }
        std::vector<std::string> accepted;
        for (const auto& [id, is_accepted] : jobs_) {
            if (is_accepted) {
                accepted.push_back(id);
            }
        }
        if (accepted.empty()) {
            return lookup(1);
        }
        const auto& job = accepted[random_() % accepted.size()];
        auto q = request("r", "/lots/" + job + "?after=0");
        q.method = "GET";
        return q;
    }

    void ended(const std::string& name, const kept_request& q,
               const kept_reply& r) {
        if (r.status == 0) {
            const auto stop = stopped_at_.find(name);
            unanswered_.push_back(
                {q.id, name, r,
                 stop == stopped_at_.end() ? -1 : clock_.now() - stop->second});
            return;
        }
        ++answered_;
        up_.insert(name);
        if (r.status == 202) {
            jobs_[q.id] = true;
        } else if (r.status / 100 == 4) {
            wrong_ += q.id + " got " + std::to_string(r.status) + " from " +
                      name + "\n";
        } else if (r.status == 200 && q.id[0] == 'q' &&
                   r.body != "answer to " + q.id) {
            wrong_ += q.id + " got " + r.body + "\n";
        } else if (r.status != 200) {
            ++failures_[r.status];
        }
    }

    void plan(const planned_work& work) {
        base::millis at = 0;
        for (const char* name : node_names) {
            if (work.stops) {
                at += draw(longest_step_ms);
                plan_.push_back({at, [this, name] { stop(name); }});
            }
        }
        const int span = static_cast<int>(at) + longest_step_ms;
        for (int n = 0; n < work.reloads; ++n) {
            const auto name = any_node();
            const int start = draw(span);
            for (int k = draw(longest_series); k >= 0; --k) {
                plan_.push_back({start + k, [this, name] { reload(name); }});
            }
        }
        for (int n = 0; n < work.configurations; ++n) {
            plan_.push_back({draw(span), [this] {
                                 configure(++version_,
                                           deadline_ms + draw(work_ms));
                             }});
        }
    }

    void stop(const std::string& name) {
        stopped_at_[name] = clock_.now();
        stopping_.insert(name);
        nodes_.at(name)->signal(SIGTERM);
    }

    void reload(const std::string& name) {
        if (up_.count(name) != 0) {
            nodes_.at(name)->signal(SIGHUP);
        }
    }

    /// Does what is due. Returns false if a node does not end.
    bool carry_out() {
        const auto now = clock_.now();
        longest_turn_ = std::max(longest_turn_, now - last_turn_);
        last_turn_ = now;
        auto list = std::exchange(plan_, {});
        for (auto& p : list) {
            if (now - begin_ >= p.at) {
                p.what();
            } else {
                plan_.push_back(std::move(p));
            }
        }
        for (const auto& [name, at] : stopped_at_) {
            if (stopping_.count(name) != 0 && !nodes_.at(name)->running()) {
                started_again(name);
            } else if (stopping_.count(name) != 0 && now - at > most_wait_ms) {
                wrong_ += name + " does not end\n";
                return false;
            }
        }
        io_.restart();
        io_.run_for(std::chrono::milliseconds(1));
        return true;
    }

    void started_again(const std::string& name) {
        if (nodes_.at(name)->wait(0) != 0) {
            wrong_ += name + " did not exit with 0\n";
        }
        stopping_.erase(name);
        up_.erase(name);
        start_node(name);
    }

    void finish() {
        for (const char* name : node_names) {
            if (!wait_ready(name)) {
                wrong_ += std::string(name) + " does not become ready\n";
            }
        }
        for (const auto& c : clients_) {
            c->stop();
        }
        run_until([&] {
            return std::all_of(clients_.begin(), clients_.end(),
                               [](const auto& c) { return c->stopped(); });
        });
        for (const auto& [id, accepted] : jobs_) {
            for (const char* name : node_names) {
                if (accepted && !read_whole(id, name)) {
                    wrong_ += id + " can't be read whole at " + name + "\n";
                }
            }
        }
    }

    bool read_whole(const std::string& job, const std::string& name) {
        return run_until([&] {
            const auto got = call(name, "GET", "/lots/" + job + "?after=0");
            return got.status == 200 &&
                   json::parse(got.body).at("results").size() == items;
        });
    }

    bool worked_on(const std::string& id) const {
        return app_.worked_on().count(id) != 0 ||
               engines_[0]->worked_on().count(id) != 0 ||
               engines_[1]->worked_on().count(id) != 0;
    }

    std::string report() const {
        auto out = wrong_;
        int resets = 0;
        int whole = 0;
        int lost = 0;
        base::millis longest = 0;
        for (const auto& u : unanswered_) {
            resets += u.reply.reset ? 1 : 0;
            whole += u.reply.sent ? 1 : 0;
            longest = std::max(longest, u.reply.waited);
            if (worked_on(u.id)) {
                ++lost;
                out += u.id + " was passed on by " + u.node +
                       " and its connection " +
                       (u.reply.reset ? "reset " : "closed ") +
                       std::to_string(u.reply.waited) +
                       " ms after its last byte, " +
                       std::to_string(u.since_stop) + " ms after SIGTERM\n";
            }
        }
        std::cout << "requests " << requests_ << ", answered " << answered_;
        for (const auto& [status, count] : failures_) {
            std::cout << ", " << status << ": " << count;
        }
        std::cout << "; without an answer " << unanswered_.size()
                  << ", sent whole " << whole << ", reset " << resets
                  << ", passed on " << lost << ", longest wait " << longest
                  << " ms; versions " << version_ << ", jobs " << jobs_.size()
                  << ", longest turn " << longest_turn_ << " ms" << std::endl;
        return out;
    }

    static constexpr int work_ms = 20;
    static constexpr int least_body = 600;
    static constexpr int deadline_ms = 20000;
    static constexpr int few_answers = 50;
    static constexpr int longest_pause_ms = 700;
    static constexpr int longest_step_ms = 4000;
    static constexpr int longest_series = 6;
    static constexpr base::millis most_wait_ms = 60000;
    static constexpr std::size_t most_jobs = 5;

    std::mt19937 random_;
    base::clock clock_;
    base::millis begin_ = 0;
    base::millis last_turn_ = 0;
    /// How long the clients and stand-ins stood still at most, in ms.
    base::millis longest_turn_ = 0;
    std::vector<std::unique_ptr<kept_client>> clients_;
    std::vector<planned> plan_;
    std::map<std::string, base::millis> stopped_at_;
    std::set<std::string> stopping_;
    std::set<std::string> up_;
    std::map<std::string, bool> jobs_;
    std::vector<unanswered> unanswered_;
    std::map<int, int> failures_;
    std::string wrong_;
    int requests_ = 0;
    int answered_ = 0;
    int version_ = 1;
};

/// Plays a seed of CI, or those from HIBISCUS_STOP_SEED on, as many as
/// HIBISCUS_STOP_SEEDS says.
void play_seeds(const planned_work& work) {
    const auto* first = std::getenv("HIBISCUS_STOP_SEED");  // NOLINT
    const auto* count = std::getenv("HIBISCUS_STOP_SEEDS"); // NOLINT
    const int begin = first == nullptr ? 1 : std::atoi(first);
    const int seeds = count == nullptr ? 1 : std::atoi(count);
    for (int seed = begin; seed < begin + seeds; ++seed) {
        stop_run run(static_cast<unsigned>(seed));
        EXPECT_EQ(run.play(work), "") << "HIBISCUS_STOP_SEED=" << seed;
        std::cout << "seed " << seed << " played" << std::endl;
    }
}

TEST(entry_stop_test,
     a_request_passed_on_before_the_end_of_a_stop_is_answered) {
    planned_work work;
    work.callers = 6;
    work.streams = 2;
    work.stops = true;
    play_seeds(work);
}

TEST(entry_stop_test, a_request_passed_on_by_a_node_with_few_is_answered) {
    planned_work work;
    work.stops = true;
    play_seeds(work);
}

TEST(entry_stop_test, a_request_passed_on_is_answered_across_reloads) {
    planned_work work;
    work.callers = 3;
    work.reloads = 40;
    work.configurations = 40;
    play_seeds(work);
}

TEST(entry_stop_test, a_request_passed_on_is_answered_when_stops_overlap) {
    planned_work work;
    work.callers = 3;
    work.stops = true;
    work.reloads = 40;
    work.configurations = 40;
    play_seeds(work);
}

} // namespace

} // namespace hibiscus::testing
