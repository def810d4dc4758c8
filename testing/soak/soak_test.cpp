#include "entry/entry_world.hpp"
#include "entry/kept_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

namespace hibiscus::testing {

namespace {

/// A job as its trainer knows it.
struct soak_job {
    std::string id;
    std::string body;
    bool accepted = false;
    /// An attempt ended so that the job may run although it was not accepted.
    bool unclear = false;
    int attempts = 0;
    std::map<int, std::string> results;
    std::set<std::string> seen;
};

/// Plays one seed: faults from outside in series that overlap, while trainers
/// submit and read jobs at any node and callers look things up. What is wrong
/// is what they see.
class soak : private entry_world {
public:
    explicit soak(unsigned seed) : random_(seed) {}

    /// Returns what is wrong, or "".
    std::string play(int steps) {
        configure();
        for (const char* name : {"n1", "n2", "n3"}) {
            add_proxy(name);
            start_node(name, proxies_.at(name).listen);
        }
        for (const char* name : {"n1", "n2", "n3"}) {
            if (!wait_ready(name)) {
                return std::string(name) + " does not become ready";
            }
            add_callers(name);
        }
        for (int step = 0; step < steps && wrong_.empty(); ++step) {
            fault();
            use();
            undo(false);
        }
        undo(true);
        finish();
        end_callers();
        return wrong_;
    }

private:
    struct proxy {
        std::unique_ptr<process> program;
        base::endpoint orders;
        base::endpoint listen;
    };
    struct undoing {
        base::millis at = 0;
        std::function<void()> what;
    };

    int draw(int below) {
        return static_cast<int>(random_() % static_cast<unsigned>(below));
    }

    std::string node() { return "n" + std::to_string(1 + draw(3)); }

    void add_proxy(const std::string& name) {
        auto& p = proxies_[name];
        p.orders = {"127.0.0.1", reserved_.take("127.0.0.1")};
        p.listen = {"127.0.0.1", reserved_.take("127.0.0.1")};
        p.program = std::make_unique<process>(
            std::vector<std::string>{HIBISCUS_FAULT_PROXY,
                                     "--address=" + to_string(p.orders),
                                     "--listen=" + to_string(p.listen),
                                     "--target=" + to_string(store_.address())},
            folder_ + "/proxy-" + name + ".log");
        ports_["proxy-" + name] = {p.orders.port};
        run_until([&] {
            return call("proxy-" + name, "GET", "/v1/proxy").status == 200;
        });
    }

    void order(const std::string& name, const std::string& target,
               const json& body = json::object()) {
        call("proxy-" + name, "POST", target, {}, body.dump());
    }

    void later(base::millis ms, std::function<void()> what) {
        undo_.push_back({clock_.now() + ms, std::move(what)});
    }

    void undo(bool all) {
        auto list = std::exchange(undo_, {});
        for (auto& u : list) {
            if (all || clock_.now() >= u.at) {
                u.what();
            } else {
                undo_.push_back(std::move(u));
            }
        }
    }

    void restart(const std::string& name) {
        if (!nodes_.at(name)->running()) {
            up_.erase(name);
            harmed_.erase(name);
            stopping_.erase(name);
            start_node(name, proxies_.at(name).listen);
        } else if (stopping_.count(name) != 0) {
            later(look_again_ms, [this, name] { restart(name); });
        }
    }

    void stop(const std::string& name) {
        stopping_.insert(name);
        nodes_.at(name)->signal(SIGTERM);
    }

    /// Starts callers that send one lookup after the other on connections that
    /// they keep until the node closes them or is gone.
    void add_callers(const std::string& name) {
        constexpr int callers = 3;
        for (int n = 0; n < callers; ++n) {
            callers_.push_back(std::make_unique<kept_client>(
                io_, base::endpoint{"127.0.0.1", ports_.at(name).front()},
                [this] { return lookup(); },
                [this, name](const auto& q, const auto& r) {
                    looked_up(name, q, r);
                }));
        }
    }

    kept_request lookup() {
        constexpr int longest_pause_ms = 40;
        constexpr int longest_body = 100000;
        kept_request q;
        q.id = "k" + std::to_string(++lookups_);
        q.target = "/look/x";
        q.fields = {{"Host", "h"}, {"Deadline-Ms", "1500"}};
        q.body.assign(static_cast<std::size_t>(draw(longest_body)), 'x');
        q.pause_ms = draw(longest_pause_ms);
        return q;
    }

    void looked_up(const std::string& name, const kept_request& q,
                   const kept_reply& r) {
        if (r.status == 0) {
            if (harmed_.count(name) == 0) {
                unanswered_.push_back(q.id);
            }
            return;
        }
        up_.insert(name);
        check_lookup(q.id, r.status, r.body);
    }

    void check_lookup(const std::string& id, int status,
                      const std::string& body) {
        if (status == 200 && body != "answer to " + id) {
            wrong_ = id + " got " + body;
        }
        if (status == 404) {
            wrong_ = id + " was denied";
        }
    }

    /// A request that a node passed on ends with an answer, unless the node was
    /// killed or stood still.
    void end_callers() {
        for (const auto& c : callers_) {
            c->stop();
        }
        run_until([&] {
            return std::all_of(callers_.begin(), callers_.end(),
                               [](const auto& c) { return c->stopped(); });
        });
        for (const auto& id : unanswered_) {
            if (app_.worked_on().count(id) != 0) {
                wrong_ = id + " was passed on and got no answer";
            }
        }
    }

    void reload(const std::string& name) {
        if (up_.count(name) != 0) {
            nodes_.at(name)->signal(SIGHUP);
        }
    }

    /// Brings about one fault and plans its end.
    void fault() {
        const auto name = node();
        const int ms = 200 + draw(2000);
        switch (draw(12)) {
        case 0:
            harmed_.insert(name);
            nodes_.at(name)->signal(SIGKILL);
            later(ms, [this, name] { restart(name); });
            break;
        case 1:
            stop(name);
            later(4000 + ms, [this, name] { restart(name); });
            break;
        case 2:
            harmed_.insert(name);
            nodes_.at(name)->signal(SIGSTOP);
            later(ms, [this, name] { nodes_.at(name)->signal(SIGCONT); });
            break;
        case 3:
            order(name, "/v1/cut");
            break;
        case 4:
            order(name, "/v1/freeze");
            break;
        case 5:
            order(name, "/v1/rule", {{"refuse", true}});
            later(ms, [this, name] { order(name, "/v1/rule"); });
            break;
        case 6:
            store_.set_refusing(true);
            later(ms, [this] { store_.set_refusing(false); });
            break;
        case 7:
            store_.set_losing(20);
            later(ms, [this] { store_.set_losing(0); });
            break;
        case 8:
            for (int n = 0; n < series; ++n) {
                later(draw(ms), [this] { configure(++version_); });
            }
            break;
        case 9:
            for (int n = 0; n < series; ++n) {
                later(draw(ms), [this, node = node()] { reload(node); });
            }
            break;
        case 10:
            stop(name);
            for (int n = 0; n < series; ++n) {
                later(draw(2 * ms), [this, name] { reload(name); });
            }
            later(4000 + ms, [this, name] { restart(name); });
            break;
        default:
            engines_[static_cast<std::size_t>(draw(2))]->break_streams();
            break;
        }
    }

    /// Uses the system for a while, as trainers and callers do.
    void use() {
        if (jobs_.size() < most_jobs && draw(3) == 0) {
            const auto id = "j" + std::to_string(jobs_.size());
            jobs_.push_back({id, job_body(id + "-"), false, false, 0, {}, {}});
        }
        for (auto& j : jobs_) {
            if (!j.accepted && j.attempts < most_attempts) {
                submit(j);
            }
            read(j);
        }
        look_up();
        run_for(draw(200));
    }

    void run_for(int ms) {
        const auto until = clock_.now() + ms;
        run_until([&] { return clock_.now() >= until; });
    }

    void submit(soak_job& j) {
        ++j.attempts;
        const auto got =
            call(node(), "POST", "/batch/1",
                 {{"Request-Id", j.id}, {"Deadline-Ms", "1500"}}, j.body);
        j.accepted = got.status == 202;
        j.unclear = j.unclear || (got.status != 202 && got.status != 503);
    }

    void read(soak_job& j, int from = -1) {
        if (!j.accepted) {
            return;
        }
        const int after = from >= 0 ? from : static_cast<int>(j.results.size());
        const auto got = call(
            node(), "GET", "/lots/" + j.id + "?after=" + std::to_string(after));
        if (got.status == 404) {
            wrong_ = j.id + " is said not to exist";
        }
        if (got.status != 200) {
            return;
        }
        int position = after;
        const auto body = json::parse(got.body);
        for (const auto& r : body.at("results")) {
            check(j, position++, r);
        }
    }

    void check(soak_job& j, int position, const json& r) {
        const auto id = r.at("id").get<std::string>();
        if (r.at("text") != token_server::text_of(id, events) ||
            r.at("score") != "of-s" + id) {
            wrong_ = j.id + ": a wrong text of " + id;
        }
        const auto known = j.results.emplace(position, r.dump());
        if (known.first->second != r.dump()) {
            wrong_ = j.id + ": position " + std::to_string(position) +
                     " has changed";
        } else if (known.second && !j.seen.insert(id).second) {
            wrong_ = j.id + ": " + id + " is listed twice";
        }
    }

    void look_up() {
        const auto id = "q" + std::to_string(++lookups_);
        const auto got = call(node(), "POST", "/look/x",
                              {{"Request-Id", id}, {"Deadline-Ms", "1500"}});
        check_lookup(id, got.status, got.body);
    }

    /// With all faults over, everything that was accepted must be there.
    void finish() {
        for (const char* name : {"n1", "n2", "n3"}) {
            run_until([&] {
                restart(name);
                return stopping_.count(name) == 0 && nodes_.at(name)->running();
            });
        }
        for (auto& j : jobs_) {
            const bool whole = run_until([&] {
                read(j);
                return !j.accepted || !wrong_.empty() ||
                       j.results.size() == items;
            });
            read(j, 0);
            if (!whole && wrong_.empty()) {
                wrong_ = j.id + " has " + std::to_string(j.results.size()) +
                         " results";
            }
            check_refused(j);
        }
    }

    /// A job of which each attempt was refused must not have run.
    void check_refused(const soak_job& j) {
        if (j.accepted || j.unclear) {
            return;
        }
        for (const auto& e : engines_) {
            if (e->worked_on().count(j.id + "-0") != 0) {
                wrong_ = j.id + " was refused and ran";
            }
        }
    }

    static constexpr std::size_t most_jobs = 8;
    static constexpr int most_attempts = 6;
    /// How many configurations or reloads come in a series.
    static constexpr int series = 5;
    static constexpr base::millis look_again_ms = 100;

    std::mt19937 random_;
    base::clock clock_;
    std::map<std::string, proxy> proxies_;
    std::vector<std::unique_ptr<kept_client>> callers_;
    /// Lookups whose connections ended without an answer, at nodes that were
    /// neither killed nor stood still since their start.
    std::vector<std::string> unanswered_;
    std::set<std::string> harmed_;
    std::set<std::string> stopping_;
    /// Nodes that have answered since their start.
    std::set<std::string> up_;
    int version_ = 1;
    std::vector<soak_job> jobs_;
    std::vector<undoing> undo_;
    std::string wrong_;
    int lookups_ = 0;
};

/// Plays a seed of CI, or those from HIBISCUS_SOAK_SEED on, as many as
/// HIBISCUS_SOAK_SEEDS says.
TEST(soak_test, what_was_accepted_is_read_once_and_whole_under_faults) {
    const auto* first = std::getenv("HIBISCUS_SOAK_SEED");  // NOLINT
    const auto* count = std::getenv("HIBISCUS_SOAK_SEEDS"); // NOLINT
    const int begin = first == nullptr ? 1 : std::atoi(first);
    const int seeds = count == nullptr ? 1 : std::atoi(count);
    constexpr int steps = 30;
    for (int seed = begin; seed < begin + seeds; ++seed) {
        soak s(static_cast<unsigned>(seed));
        EXPECT_EQ(s.play(steps), "") << "HIBISCUS_SOAK_SEED=" << seed;
        std::cout << "seed " << seed << " played" << std::endl;
    }
}

} // namespace

} // namespace hibiscus::testing
