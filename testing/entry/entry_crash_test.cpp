#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <set>

namespace hibiscus::testing {

namespace {

/// The number of servers that may end under one request.
constexpr int max_server_ends = 3;

/// How long a server is down after it has ended, in ms.
constexpr int restart_ms = 150;

/// Two nodes before servers that end whenever they receive a certain request.
class entry_crash_test : public ::testing::Test, protected entry_harness {
protected:
    void start_nodes() {
        publish_configuration();
        for (const char* name : {"n1", "n2"}) {
            start_node(name);
        }
        for (const char* name : {"n1", "n2"}) {
            ASSERT_TRUE(wait_until_ready(name));
        }
        ASSERT_TRUE(run_until([&] { return !job_owner().empty(); }));
    }

    /// Makes the servers of a service end at a request. With `changes_id`, they
    /// start again under new ids.
    void end_servers_at(const std::string& request, bool changes_id = false) {
        for (auto& server : samplers_) {
            end_server_at(*server, "llm", request, changes_id);
        }
        end_server_at(lookup_server_, "app", request, changes_id);
    }

    int server_ends() const {
        int ends = lookup_server_.end_count();
        for (const auto& server : samplers_) {
            ends += server->end_count();
        }
        return ends;
    }

    std::string other_node(const std::string& name) const {
        return name == "n1" ? "n2" : "n1";
    }

    call_result submit(const std::string& node, const std::string& job,
                       const std::string& prefix) {
        return call(node, "POST", "/batch/1", {{"Request-Id", job}},
                    make_job_body(prefix));
    }

    /// Reads the states of the items of a job that have a result.
    std::map<std::string, std::string> read_states(const std::string& node,
                                                   const std::string& job) {
        const auto response = call(node, "GET", "/lots/" + job + "?after=0",
                                   {{"Wait-Ms", "200"}});
        std::map<std::string, std::string> states;
        if (response.status == 200) {
            for (const auto& r : json::parse(response.body).at("results")) {
                states[r.at("id").get<std::string>()] =
                    r.at("state").get<std::string>();
            }
        }
        return states;
    }

    /// Waits until all items of a job but `request` have succeeded.
    bool wait_for_others(const std::string& node, const std::string& job,
                         const std::string& request) {
        return run_until([&] {
            auto states = read_states(node, job);
            states.erase(request);
            return states.size() == items_per_job - 1 &&
                   std::all_of(states.begin(), states.end(),
                               [](const auto& state) {
                                   return state.second == "succeeded";
                               });
        });
    }

private:
    void end_server_at(fake_backend_server& server, const std::string& service,
                       const std::string& request, bool changes_id) {
        server.end_at_request(
            request, restart_ms, changes_id,
            [this, &server, service, before = server.id()]() mutable {
                if (server.id() != before) {
                    store_.put("keyed.servers", before, "");
                    before = server.id();
                }
                store_.put("keyed.servers", server.id(),
                           server.make_registration(service, service == "llm"));
            });
    }
};

// Guards against an item that is sent on after servers have ended under it.
TEST_F(entry_crash_test, an_item_ends_three_servers_at_most) {
    start_nodes();
    end_servers_at("i5");
    ASSERT_EQ(submit("n1", "job1", "i").status, 202);
    EXPECT_TRUE(wait_for_others("n2", "job1", "i5"));
    EXPECT_TRUE(
        run_until([&] { return read_states("n2", "job1").count("i5") != 0; }));
    EXPECT_EQ(read_states("n2", "job1")["i5"], "errored");
    EXPECT_EQ(server_ends(), max_server_ends);
}

} // namespace

} // namespace hibiscus::testing
