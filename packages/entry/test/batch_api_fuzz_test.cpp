#include "batch_world.hpp"
#include "support/fuzz.hpp"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace hibiscus::entry {

namespace {

using json = nlohmann::json;

constexpr int jobs = 10;
constexpr std::size_t nodes = 3;

/// Results stay readable for so long, in ms, as small_settings() says.
constexpr base::millis kept_ms = 8000;

batch::item_id item_name(int job, int number) {
    return batch::item_id("i" + std::to_string(job) + "-" +
                          std::to_string(number));
}

/// Bodies and texts of all sizes: below a record and over several.
std::string content(const std::string& of, int job, int number) {
    return of + item_name(job, number).str() +
           std::string(static_cast<std::size_t>((job * 7 + number * 13) % 9) *
                           220,
                       'x');
}

/// A caller's job: what it was told of it, which must never change.
struct called_job {
    int number = 0;
    batch::job_id id;
    int items = 0;
    std::optional<base::millis> submitted_at;
    bool accepted = false;
    bool ended = false;
    /// The results by position.
    std::vector<std::string> read;
    std::set<std::string> read_items;

    bool kept(base::millis now) const {
        return accepted && (!ended || now < *submitted_at + kept_ms);
    }
};

/// Callers of some nodes, and what no answer to them may be.
class batch_play {
public:
    explicit batch_play(const std::vector<testing::fuzz_command>& commands)
        : store_(time_, commands.empty() ? 1U : 1U + commands[0].c) {
        for (int n = 0; n < jobs; ++n) {
            called_job j;
            j.number = n;
            j.id = batch::job_id("job" + std::to_string(n));
            j.items = 3 + 4 * (n % 3);
            jobs_.push_back(std::move(j));
        }
        for (std::size_t n = 0; n < nodes; ++n) {
            nodes_.push_back(new_node(n));
        }
    }

    std::string run(const std::vector<testing::fuzz_command>& commands) {
        for (const auto& c : commands) {
            step(c);
            if (!wrong_.empty()) {
                return wrong_;
            }
        }
        store_.set_weather({});
        time_.run_for(settle_ms);
        for (std::size_t n = 0; n < nodes && wrong_.empty(); ++n) {
            for (auto& j : jobs_) {
                read_whole(n, j);
            }
        }
        look_for_refused();
        return wrong_;
    }

private:
    using response = transport::outbound_response;

    void fail(const std::string& what) {
        wrong_ = wrong_.empty() ? what : wrong_;
    }

    std::unique_ptr<batch_node> new_node(std::size_t n) {
        return std::make_unique<batch_node>(store_, time_,
                                            "n" + std::to_string(n),
                                            "s" + std::to_string(++starts_));
    }

    void step(const testing::fuzz_command& c) {
        const auto n = static_cast<std::size_t>(c.a) % nodes;
        auto& job = jobs_[static_cast<std::size_t>(c.b) % jobs];
        if (c.kind < 35) {
            time_.run_for(c.b % 60);
        } else if (c.kind < 39) {
            time_.run_for(c.b * 3);
        } else if (c.kind < 49) {
            submit(n, job);
            if (c.c % 3 == 0) {
                submit((n + 1) % nodes, job);
            }
        } else if (c.kind < 61) {
            const auto lister = c.c % 5 == 0 ? n : owner_or(n);
            nodes_[lister]->own(c.c < 100);
            time_.run_for(c.c % 30);
            list(lister, job, c.c);
        } else if (c.kind < 66) {
            read(n, job, static_cast<std::size_t>(c.c) % (job.read.size() + 1),
                 c.c % 2 == 0 ? wait_ms : 0);
        } else if (c.kind < 72) {
            read_at_two(n, job);
        } else if (c.kind < 78) {
            body(n, job, c.c % job.items);
        } else if (c.kind < 81) {
            nodes_[n]->own(c.c < 200);
        } else if (c.kind < 84) {
            contend(n, job, c.c);
        } else if (c.kind < 86) {
            end(n, job);
        } else if (c.kind < 88) {
            nodes_[owner_or(n)]->expire();
        } else if (c.kind < 91) {
            trim(c.b);
        } else if (c.kind < 97) {
            store_.set_weather(weather(c.c));
        } else {
            nodes_[n] = new_node(n);
        }
    }

    /// Returns a node that takes itself for the owner, or `n`.
    std::size_t owner_or(std::size_t n) const {
        const auto found =
            std::find_if(nodes_.begin(), nodes_.end(),
                         [](const auto& node) { return node->owns(); });
        return found == nodes_.end()
                   ? n
                   : static_cast<std::size_t>(found - nodes_.begin());
    }

    /// Lets a node take the ownership over while the owner lists.
    void contend(std::size_t n, called_job& j, int from) {
        const auto owner = owner_or(n);
        const auto other = (owner + 1) % nodes;
        nodes_[other]->own(true);
        time_.run_for(from % 20);
        list(owner, j, from);
        list(other, j, from + 1);
        time_.run_for(from % 50);
        read(owner, j, j.read.size(), wait_ms);
        read(other, j, j.read.size(), wait_ms);
    }

    static testing::store_weather weather(int n) {
        switch (n % 8) {
        case 0:
            return {1, 300, 0, 0, 0};
        case 1:
            return {1, 20, 40, 0, 0};
        case 2:
            return {1, 20, 0, 30, 30};
        case 3:
            return {1, 5, 100, 0, 0};
        case 4:
            return {1, 1200, 10, 10, 10};
        default:
            return {};
        }
    }

    void trim(int n) {
        const auto end = store_.entries(batch_node::journal()).size();
        store_.trim(batch_node::journal(),
                    end - std::min<std::size_t>(end, n % 10));
    }

    static batch::job submission_of(const called_job& j) {
        batch::job out;
        out.header.id = j.id;
        for (int n = 0; n < j.items; ++n) {
            batch::item i;
            i.id = item_name(j.number, n);
            i.body = content("body", j.number, n);
            out.items.push_back(std::move(i));
        }
        return out;
    }

    std::shared_ptr<test_exchange>
    caller(std::function<void(const response&)> answered) {
        return std::make_shared<test_exchange>(std::move(answered));
    }

    void submit(std::size_t n, called_job& j) {
        if (j.ended) {
            return;
        }
        j.submitted_at = j.submitted_at.value_or(time_.now());
        ++open_[j.number];
        nodes_[n]->calls().submit(submission_of(j), 1500,
                                  caller([this, &j](const response& r) {
                                      --open_[j.number];
                                      if (r.status == 202) {
                                          j.accepted = true;
                                      }
                                      said_[j.number].insert(r.status);
                                  }));
    }

    void list(std::size_t n, const called_job& j, int from) {
        const auto* row = nodes_[n]->state().jobs.find(j.id);
        if (row == nullptr || row->ended) {
            return;
        }
        std::vector<batch::ready_result> out;
        for (int k = 0; k <= from % 3; ++k) {
            const int item = (from + k) % j.items;
            out.push_back({j.id,
                           item,
                           {item_name(j.number, item),
                            batch::item_outcome::succeeded,
                            content("text", j.number, item),
                            {1},
                            "s"}});
        }
        nodes_[n]->list(std::move(out));
    }

    void read(std::size_t n, called_job& j, std::size_t after,
              base::millis wait) {
        const auto known = j.read.size();
        const bool was_accepted = j.accepted;
        nodes_[n]->calls().read(
            {j.id, after, wait},
            caller([this, &j, after, known, was_accepted](const response& r) {
                if (was_accepted && j.kept(time_.now())) {
                    check_read(j, after, known, r);
                }
            }));
    }

    /// Reads on at one node, and at once again what came at another.
    void read_at_two(std::size_t n, called_job& j) {
        const auto known = j.read.size();
        read(n, j, known, wait_ms);
        time_.run_for(gap_ms);
        if (j.read.size() > known) {
            read((n + 1) % nodes, j, known, 0);
        }
    }

    void check_read(called_job& j, std::size_t after, std::size_t known,
                    const response& r) {
        if (r.status == 404) {
            fail(j.id.str() + " is not known");
        }
        if (r.status != 200) {
            return;
        }
        const auto in = json::parse(r.body);
        if (in.at("total") != j.items) {
            fail(j.id.str() + " has another number of items");
        }
        if (in.at("results").empty() && after < known) {
            fail(j.id.str() + " has nothing at " + std::to_string(after));
        }
        auto position = after;
        for (const auto& row : in.at("results")) {
            check_result(j, position++, row);
        }
        if (in.at("next") != position) {
            fail(j.id.str() + " goes on at another position");
        }
    }

    void check_result(called_job& j, std::size_t position, const json& row) {
        const auto what = row.dump();
        if (position < j.read.size()) {
            if (j.read[position] != what) {
                fail(j.id.str() + " changed at " + std::to_string(position));
            }
            return;
        }
        const auto id = row.at("id").get<std::string>();
        const auto number = std::stoi(id.substr(id.find('-') + 1));
        if (row.at("text") != content("text", j.number, number)) {
            fail(id + " has another text");
        }
        if (!j.read_items.insert(id).second) {
            fail(id + " stands at two positions");
        }
        j.read.push_back(what);
    }

    void body(std::size_t n, called_job& j, int item) {
        const bool was_accepted = j.accepted;
        nodes_[n]->calls().body(
            {j.id, item_name(j.number, item)},
            caller([this, &j, item, was_accepted](const response& r) {
                if (was_accepted && j.kept(time_.now())) {
                    check_body(j, item, r);
                }
            }));
    }

    void check_body(const called_job& j, int item, const response& r) {
        if (r.status == 404) {
            fail(item_name(j.number, item).str() + " has no body");
        } else if (r.status == 200 &&
                   r.body != content("body", j.number, item)) {
            fail(item_name(j.number, item).str() + " has another body");
        }
    }

    void end(std::size_t n, called_job& j) {
        if (!j.accepted) {
            return;
        }
        const bool was_kept = j.kept(time_.now());
        j.ended = true;
        nodes_[n]->calls().end(
            {j.id}, caller([this, &j, was_kept](const response& r) {
                if (r.status == 404 && was_kept && j.kept(time_.now())) {
                    fail(j.id.str() + " is not known at its end");
                }
            }));
    }

    /// Reads a job from the start at a node while the store is sound, and all
    /// bodies.
    void read_whole(std::size_t n, called_job& j) {
        std::size_t position = 0;
        bool more = true;
        while (more && wrong_.empty() && j.kept(time_.now())) {
            int status = 0;
            std::size_t next = position;
            nodes_[n]->calls().read(
                {j.id, position, 0}, caller([&](const response& r) {
                    status = r.status;
                    check_read(j, position, j.read.size(), r);
                    if (status == 200) {
                        next = json::parse(r.body).at("next");
                    }
                }));
            time_.run_for(answer_ms);
            if (status != 200) {
                fail(j.id.str() + " can't be read: " + std::to_string(status));
            }
            more = next > position;
            position = next;
        }
        for (int item = 0; item < j.items && j.kept(time_.now()); ++item) {
            int status = 0;
            nodes_[n]->calls().body({j.id, item_name(j.number, item)},
                                    caller([&](const response& r) {
                                        status = r.status;
                                        check_body(j, item, r);
                                    }));
            time_.run_for(answer_ms);
            if (status != 200 && j.kept(time_.now())) {
                fail(item_name(j.number, item).str() +
                     " has no body: " + std::to_string(status));
            }
        }
    }

    /// A job that was refused at each call must not be stored.
    void look_for_refused() {
        const auto journal = store_.state(batch_node::journal());
        for (const auto& j : jobs_) {
            const bool only_refused = j.submitted_at && open_[j.number] == 0 &&
                                      said_[j.number] == std::set<int>{503};
            if (only_refused &&
                journal.count(batch::to_text(batch::header_key{j.id})) != 0) {
                fail(j.id.str() + " is stored and was refused");
            }
        }
    }

    /// Covers late appends and what follows them.
    static constexpr base::millis settle_ms = 6000;
    static constexpr base::millis answer_ms = 400;
    static constexpr base::millis wait_ms = 1000;
    static constexpr base::millis gap_ms = 40;

    testing::virtual_time time_;
    testing::timed_store store_;
    std::vector<called_job> jobs_;
    std::vector<std::unique_ptr<batch_node>> nodes_;
    std::map<int, std::set<int>> said_;
    std::map<int, int> open_;
    int starts_ = 0;
    std::string wrong_;
};

TEST(batch_api_fuzz_test, what_was_accepted_or_read_is_never_denied) {
    testing::fuzz("batch_api", 200, [](const auto& commands) {
        return batch_play(commands).run(commands);
    });
}

} // namespace

} // namespace hibiscus::entry
