#include "batch_node.hpp"
#include "support/fuzz.hpp"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace hibiscus::entry {

namespace {

using json = nlohmann::json;

constexpr int job_count = 10;
constexpr std::size_t node_count = 3;

/// Time for which results stay readable, in ms, as in small_settings().
constexpr base::millis retention_ms = 8000;

batch::item_id make_item_id(int job, int number) {
    return batch::item_id("i" + std::to_string(job) + "-" +
                          std::to_string(number));
}

/// Returns a body or text whose size ranges from less than a record to several
/// records.
std::string make_content(const std::string& prefix, int job, int number) {
    return prefix + make_item_id(job, number).str() +
           std::string(static_cast<std::size_t>((job * 7 + number * 13) % 9) *
                           220,
                       'x');
}

/// A job of a caller and the results delivered for it, which must never change.
struct expected_job {
    int number = 0;
    batch::job_id id;
    int items = 0;
    std::optional<base::millis> submitted_at;
    bool accepted = false;
    bool ended = false;
    /// The delivered results by position.
    std::vector<std::string> delivered_results;
    std::set<std::string> delivered_items;

    bool is_retained(base::millis now) const {
        return accepted && (!ended || now < *submitted_at + retention_ms);
    }
};

/// Sends calls to several nodes and checks the responses against what was
/// accepted and delivered before.
class batch_api_fuzz_model {
public:
    explicit batch_api_fuzz_model(
        const std::vector<testing::fuzz_command>& commands)
        : store_(time_, commands.empty() ? 1U : 1U + commands[0].c) {
        for (int n = 0; n < job_count; ++n) {
            expected_job j;
            j.number = n;
            j.id = batch::job_id("job" + std::to_string(n));
            j.items = 3 + 4 * (n % 3);
            jobs_.push_back(std::move(j));
        }
        for (std::size_t n = 0; n < node_count; ++n) {
            nodes_.push_back(make_node(n));
        }
    }

    std::string run(const std::vector<testing::fuzz_command>& commands) {
        for (const auto& c : commands) {
            apply_command(c);
            if (!failure_.empty()) {
                return failure_;
            }
        }
        store_.set_faults({});
        time_.run_for(settle_time_ms);
        for (std::size_t n = 0; n < node_count && failure_.empty(); ++n) {
            for (auto& j : jobs_) {
                read_whole_job(n, j);
            }
        }
        check_rejected_not_stored();
        return failure_;
    }

private:
    using response = transport::outbound_response;

    void fail(const std::string& text) {
        failure_ = failure_.empty() ? text : failure_;
    }

    std::unique_ptr<batch_node> make_node(std::size_t n) {
        return std::make_unique<batch_node>(
            store_, time_, "n" + std::to_string(n),
            "s" + std::to_string(++node_starts_));
    }

    void apply_command(const testing::fuzz_command& c) {
        const auto n = static_cast<std::size_t>(c.a) % node_count;
        auto& job = jobs_[static_cast<std::size_t>(c.b) % job_count];
        if (c.kind < 35) {
            time_.run_for(c.b % 60);
        } else if (c.kind < 39) {
            time_.run_for(c.b * 3);
        } else if (c.kind < 49) {
            submit(n, job);
            if (c.c % 3 == 0) {
                submit((n + 1) % node_count, job);
            }
        } else if (c.kind < 61) {
            const auto committer = c.c % 5 == 0 ? n : find_owner_or(n);
            nodes_[committer]->claim_or_renew(c.c < 100);
            time_.run_for(c.c % 30);
            commit_results(committer, job, c.c);
        } else if (c.kind < 66) {
            read_results(n, job,
                         static_cast<std::size_t>(c.c) %
                             (job.delivered_results.size() + 1),
                         c.c % 2 == 0 ? wait_ms : 0);
        } else if (c.kind < 72) {
            read_at_two_nodes(n, job);
        } else if (c.kind < 78) {
            read_item_body(n, job, c.c % job.items);
        } else if (c.kind < 81) {
            nodes_[n]->claim_or_renew(c.c < 200);
        } else if (c.kind < 84) {
            commit_at_two_owners(n, job, c.c);
        } else if (c.kind < 86) {
            end_job(n, job);
        } else if (c.kind < 88) {
            nodes_[find_owner_or(n)]->erase_next_expired_job();
        } else if (c.kind < 91) {
            trim_journal(c.b);
        } else if (c.kind < 97) {
            store_.set_faults(make_store_faults(c.c));
        } else {
            nodes_[n] = make_node(n);
        }
    }

    /// Returns a node that considers itself the owner, or `n` if there is none.
    std::size_t find_owner_or(std::size_t n) const {
        const auto found =
            std::find_if(nodes_.begin(), nodes_.end(),
                         [](const auto& node) { return node->is_owner(); });
        return found == nodes_.end()
                   ? n
                   : static_cast<std::size_t>(found - nodes_.begin());
    }

    /// Lets another node claim the lease while the owner commits results.
    void commit_at_two_owners(std::size_t n, expected_job& j, int seed) {
        const auto owner = find_owner_or(n);
        const auto other = (owner + 1) % node_count;
        nodes_[other]->claim_or_renew(true);
        time_.run_for(seed % 20);
        commit_results(owner, j, seed);
        commit_results(other, j, seed + 1);
        time_.run_for(seed % 50);
        read_results(owner, j, j.delivered_results.size(), wait_ms);
        read_results(other, j, j.delivered_results.size(), wait_ms);
    }

    static testing::store_faults make_store_faults(int n) {
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

    void trim_journal(int n) {
        const auto end = store_.entries(batch_node::journal_partition()).size();
        store_.trim(batch_node::journal_partition(),
                    end - std::min<std::size_t>(end, n % 10));
    }

    static batch::job make_submission(const expected_job& j) {
        batch::job job;
        job.header.id = j.id;
        for (int n = 0; n < j.items; ++n) {
            batch::item item;
            item.id = make_item_id(j.number, n);
            item.body = make_content("body", j.number, n);
            job.items.push_back(std::move(item));
        }
        return job;
    }

    std::shared_ptr<test_response_writer>
    make_response_writer(std::function<void(const response&)> on_response) {
        return std::make_shared<test_response_writer>(std::move(on_response));
    }

    void submit(std::size_t n, expected_job& j) {
        if (j.ended) {
            return;
        }
        j.submitted_at = j.submitted_at.value_or(time_.now());
        ++open_submissions_[j.number];
        nodes_[n]->api().submit(
            make_submission(j), 1500,
            make_response_writer([this, &j](const response& r) {
                --open_submissions_[j.number];
                if (r.status == 202) {
                    j.accepted = true;
                }
                submit_statuses_[j.number].insert(r.status);
            }));
    }

    void commit_results(std::size_t n, const expected_job& j, int seed) {
        const auto* row = nodes_[n]->state().jobs.find(j.id);
        if (row == nullptr || row->has_ended) {
            return;
        }
        std::vector<batch::ready_result> results;
        for (int k = 0; k <= seed % 3; ++k) {
            const int item = (seed + k) % j.items;
            results.push_back({j.id,
                               item,
                               {make_item_id(j.number, item),
                                batch::item_outcome::succeeded,
                                make_content("text", j.number, item),
                                {1},
                                "s"}});
        }
        nodes_[n]->commit_results(std::move(results));
    }

    void read_results(std::size_t n, expected_job& j, std::size_t after,
                      base::millis wait) {
        const auto known_result_count = j.delivered_results.size();
        const bool was_accepted = j.accepted;
        nodes_[n]->api().read_results(
            {j.id, after, wait}, {},
            make_response_writer([this, &j, after, known_result_count,
                                  was_accepted](const response& r) {
                if (was_accepted && j.is_retained(time_.now())) {
                    check_read(j, after, known_result_count, r);
                }
            }));
    }

    /// Reads new results at one node, then reads them again at another node at
    /// once.
    void read_at_two_nodes(std::size_t n, expected_job& j) {
        const auto known_result_count = j.delivered_results.size();
        read_results(n, j, known_result_count, wait_ms);
        time_.run_for(second_read_delay_ms);
        if (j.delivered_results.size() > known_result_count) {
            read_results((n + 1) % node_count, j, known_result_count, 0);
        }
    }

    void check_read(expected_job& j, std::size_t after,
                    std::size_t known_result_count, const response& r) {
        if (r.status == 404) {
            fail(j.id.str() + " was not found");
        }
        if (r.status != 200) {
            return;
        }
        const auto body = json::parse(r.body);
        if (body.at("total") != j.items) {
            fail(j.id.str() + " has a wrong number of items");
        }
        if (body.at("results").empty() && after < known_result_count) {
            fail(j.id.str() + " has no results at delivered position " +
                 std::to_string(after));
        }
        auto position = after;
        for (const auto& row : body.at("results")) {
            check_result(j, position++, row);
        }
        if (body.at("next") != position) {
            fail(j.id.str() + " has a wrong next position");
        }
    }

    void check_result(expected_job& j, std::size_t position, const json& row) {
        const auto text = row.dump();
        if (position < j.delivered_results.size()) {
            if (j.delivered_results[position] != text) {
                fail(j.id.str() + " has a changed result at position " +
                     std::to_string(position));
            }
            return;
        }
        const auto id = row.at("id").get<std::string>();
        const auto number = std::stoi(id.substr(id.find('-') + 1));
        if (row.at("text") != make_content("text", j.number, number)) {
            fail(id + " has a wrong text");
        }
        if (!j.delivered_items.insert(id).second) {
            fail(id + " was delivered at two positions");
        }
        j.delivered_results.push_back(text);
    }

    void read_item_body(std::size_t n, expected_job& j, int item) {
        const bool was_accepted = j.accepted;
        nodes_[n]->api().read_item_body(
            {j.id, make_item_id(j.number, item)}, {},
            make_response_writer(
                [this, &j, item, was_accepted](const response& r) {
                    if (was_accepted && j.is_retained(time_.now())) {
                        check_body(j, item, r);
                    }
                }));
    }

    void check_body(const expected_job& j, int item, const response& r) {
        if (r.status == 404) {
            fail(make_item_id(j.number, item).str() + " has no body");
        } else if (r.status == 200 &&
                   r.body != make_content("body", j.number, item)) {
            fail(make_item_id(j.number, item).str() + " has a wrong body");
        }
    }

    void end_job(std::size_t n, expected_job& j) {
        if (!j.accepted) {
            return;
        }
        const bool was_retained = j.is_retained(time_.now());
        j.ended = true;
        nodes_[n]->api().end_job(
            {j.id}, {},
            make_response_writer([this, &j, was_retained](const response& r) {
                if (r.status == 404 && was_retained &&
                    j.is_retained(time_.now())) {
                    fail(j.id.str() + " was not found when it was ended");
                }
            }));
    }

    /// Reads a whole job and all of its bodies at a node while the store has no
    /// faults.
    void read_whole_job(std::size_t n, expected_job& j) {
        std::size_t position = 0;
        bool more = true;
        while (more && failure_.empty() && j.is_retained(time_.now())) {
            int status = 0;
            std::size_t next = position;
            nodes_[n]->api().read_results(
                {j.id, position, 0}, {},
                make_response_writer([&](const response& r) {
                    status = r.status;
                    check_read(j, position, j.delivered_results.size(), r);
                    if (status == 200) {
                        next = json::parse(r.body).at("next");
                    }
                }));
            time_.run_for(response_time_ms);
            if (status != 200) {
                fail(j.id.str() + " can't be read: status " +
                     std::to_string(status));
            }
            more = next > position;
            position = next;
        }
        for (int item = 0; item < j.items && j.is_retained(time_.now());
             ++item) {
            int status = 0;
            nodes_[n]->api().read_item_body(
                {j.id, make_item_id(j.number, item)}, {},
                make_response_writer([&](const response& r) {
                    status = r.status;
                    check_body(j, item, r);
                }));
            time_.run_for(response_time_ms);
            if (status != 200 && j.is_retained(time_.now())) {
                fail(make_item_id(j.number, item).str() +
                     " has no body: status " + std::to_string(status));
            }
        }
    }

    /// Checks that a job that was rejected at each submission is not stored.
    void check_rejected_not_stored() {
        const auto journal =
            store_.newest_values(batch_node::journal_partition());
        for (const auto& j : jobs_) {
            const bool only_rejected =
                j.submitted_at && open_submissions_[j.number] == 0 &&
                submit_statuses_[j.number] == std::set<int>{503};
            if (only_rejected && journal.count(batch::format_key(
                                     batch::header_key{j.id})) != 0) {
                fail(j.id.str() + " is stored although it was rejected");
            }
        }
    }

    /// Covers late appends and the calls that depend on them.
    static constexpr base::millis settle_time_ms = 6000;
    static constexpr base::millis response_time_ms = 400;
    static constexpr base::millis wait_ms = 1000;
    static constexpr base::millis second_read_delay_ms = 40;

    testing::virtual_scheduler time_;
    testing::simulated_store store_;
    std::vector<expected_job> jobs_;
    std::vector<std::unique_ptr<batch_node>> nodes_;
    std::map<int, std::set<int>> submit_statuses_;
    std::map<int, int> open_submissions_;
    int node_starts_ = 0;
    std::string failure_;
};

TEST(batch_api_fuzz_test, accepted_jobs_and_delivered_results_are_never_lost) {
    testing::fuzz("batch_api", 200, [](const auto& commands) {
        return batch_api_fuzz_model(commands).run(commands);
    });
}

} // namespace

} // namespace hibiscus::entry
