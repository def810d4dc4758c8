#include "support/failure_scenario.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace hibiscus::testing {

extern std::string build_dir; // NOLINT

namespace {

using nlohmann::json;

/// Duration of a fault that must exceed the timeouts of the system.
constexpr base::millis fault_duration_ms = 4000;

/// A complete cluster under load. Each test injects a failure; the oracle
/// checks the results after the test.
class system_failures_test : public ::testing::Test {
protected:
    system_failures_test() : scenario_(build_dir) {}

    void SetUp() override {
        ASSERT_TRUE(scenario_.start());
        scenario_.start_load();
        ASSERT_TRUE(scenario_.wait_for_completions("lookup-"));
        ASSERT_TRUE(scenario_.wait_for_completions("sync-"));
    }

    void TearDown() override {
        const auto violations = scenario_.finish_and_check();
        EXPECT_TRUE(violations.empty()) << to_string(violations);
    }

    /// Returns the home node of the trainer's steps.
    node_process& find_step_home() {
        std::size_t home_index = 0;
        eventually([&] {
            for (std::size_t i = 0; i < nodes().size(); ++i) {
                const auto status = status_of(i);
                if (!status.value("steps", json::array()).empty()) {
                    home_index = i;
                    return true;
                }
            }
            return false;
        });
        return nodes()[home_index];
    }

    json status_of(std::size_t node_index) {
        entry_client client({nodes()[node_index].caller_address});
        net::http_request request;
        request.target = "/v1/status";
        const auto result =
            client.send_to(nodes()[node_index].caller_address, request, 5000);
        const auto* response = std::get_if<net::http_response>(&result);
        return response != nullptr ? json::parse(response->body, nullptr, false)
                                   : json::object();
    }

    /// Returns the first recorded response with this outcome and reason.
    std::optional<recorded_response> find_response(const std::string& result,
                                                   const std::string& reason) {
        for (const auto& recorded : scenario_.recorded_responses()) {
            if (recorded.result == result && recorded.reason == reason) {
                return recorded;
            }
        }
        return std::nullopt;
    }

    /// Returns how many requests the instance `service` has run.
    std::size_t run_request_count(const std::string& service) {
        return json::parse(
                   scenario_.cluster().send_request(service, "GET", "/v1/runs"))
            .size();
    }

    /// Returns how many streams the engine has started.
    int started_stream_count(const std::string& engine) {
        return json::parse(scenario_.cluster().send_request(engine, "GET",
                                                            "/v1/counts"))
            .value("started", 0);
    }

    void mark_leaving(const std::string& instance) {
        auto entry = scenario_.cluster().registered_instances().at(instance);
        entry.state = wire::instance_state::leaving;
        scenario_.cluster().register_instance(entry);
    }

    std::vector<node_process>& nodes() { return scenario_.cluster().nodes(); }

    failure_scenario scenario_;
};

// The log service is unavailable for some seconds, so no request can be
// claimed. Lookups and samples must continue; syncs must be rejected at once
// with a retry time, and resume by themselves when the log is back.
TEST_F(system_failures_test, a_log_outage_stops_only_syncs) {
    scenario_.inject_fault("log", R"({"outage": true})");
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 50));
    std::optional<recorded_response> rejection;
    EXPECT_TRUE(eventually([&] {
        rejection = find_response("not_run", "log_unavailable");
        return rejection.has_value();
    }));
    ASSERT_TRUE(rejection.has_value());
    EXPECT_GT(rejection->retry_after_ms, 0);
    pause_for(fault_duration_ms);
    scenario_.inject_fault("log", R"({"outage": false})");
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 20));
}

// The log service stores records but its responses are lost, so the home node
// of a key cannot know whether its claim is in the log. Appending the claim
// under a new id would run the sync twice; giving up would lose it.
TEST_F(system_failures_test, lost_append_answers_lose_no_sync) {
    for (int i = 0; i < 3; ++i) {
        scenario_.inject_fault("log", R"({"lose_answers": 3})");
        EXPECT_TRUE(scenario_.wait_for_completions("sync-", 5));
    }
}

// Appends neither take effect nor get a response, as when a switch drops the
// packets.
TEST_F(system_failures_test, dropped_appends_lose_no_sync) {
    scenario_.inject_fault("log", R"({"drop_appends": 6})");
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
}

// The log service takes half a second for each append and read. Syncs take
// longer but must still complete.
TEST_F(system_failures_test, a_slow_log_delays_syncs_only) {
    scenario_.inject_fault("log", R"({"slow_ms": 500})");
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 50));
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 5));
    scenario_.inject_fault("log", R"({"slow_ms": 0})");
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
}

// The home node of a step and of a share of the keys is killed in the middle of
// the step. The trainer must get the remaining samples from another node, and a
// sync in flight must not run again. Then a new instance replaces the killed
// one.
TEST_F(system_failures_test, a_killed_home_is_replaced) {
    auto& home = find_step_home();
    home.daemon->signal(SIGKILL);
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    scenario_.cluster().deregister_instance(home.name);
    scenario_.cluster().start_node("127.0.0.4", "z1");
    EXPECT_TRUE(scenario_.cluster().wait_until_ready());
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
}

// A home node is paused for several seconds, as in a live migration of its
// host, while other nodes take over its share. After it resumes it still acts
// as home node; what it then delivers, dispatches or orders would be duplicate.
TEST_F(system_failures_test, a_paused_home_does_no_harm_when_it_goes_on) {
    auto& home = find_step_home();
    home.daemon->signal(SIGSTOP);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 20));
    pause_for(fault_duration_ms);
    home.daemon->signal(SIGCONT);
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 20));
    EXPECT_TRUE(scenario_.cluster().wait_until_ready());
}

// The platform's instance list does not respond. The last known list must stay
// in use; treating the outage as an empty list would reject every request.
TEST_F(system_failures_test, an_instance_list_outage_changes_nothing) {
    scenario_.inject_fault("instances", R"({"outage": true})");
    pause_for(fault_duration_ms);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 20));
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    scenario_.inject_fault("instances", R"({"outage": false})");
}

// The instance list marks a backend server as leaving. Requests that it still
// got some seconds later would fail when it exits.
TEST_F(system_failures_test, a_leaving_service_gets_no_new_work) {
    const auto& leaving_service = scenario_.service_names().front();
    mark_leaving(leaving_service);
    EXPECT_TRUE(eventually([&] {
        const auto runs_before = run_request_count(leaving_service);
        return scenario_.wait_for_completions("lookup-", 30) &&
               run_request_count(leaving_service) == runs_before;
    }));
    const auto runs_after = run_request_count(leaving_service);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 30));
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    EXPECT_EQ(run_request_count(leaving_service), runs_after);
}

// An engine is marked as leaving. The streams that it runs must complete, and
// it must get no new ones.
TEST_F(system_failures_test, a_leaving_engine_gets_no_new_stream) {
    const auto& leaving_engine = scenario_.engine_names().front();
    const auto& remaining_engine = scenario_.engine_names().back();
    mark_leaving(leaving_engine);
    const auto wait_for_starts_elsewhere = [&](int count) {
        const int started_before = started_stream_count(remaining_engine);
        return eventually([&] {
            return started_stream_count(remaining_engine) >=
                   started_before + count;
        });
    };
    EXPECT_TRUE(eventually([&] {
        const int started_before = started_stream_count(leaving_engine);
        return wait_for_starts_elsewhere(5) &&
               started_stream_count(leaving_engine) == started_before;
    }));
    const int started_after = started_stream_count(leaving_engine);
    EXPECT_TRUE(wait_for_starts_elsewhere(10));
    EXPECT_EQ(started_stream_count(leaving_engine), started_after);
}

// An engine is killed while it generates samples. The samples must be generated
// on other engines, or the trainer waits forever.
TEST_F(system_failures_test, a_killed_engine_blocks_no_step) {
    scenario_.cluster()
        .fake_process(scenario_.engine_names().front())
        .signal(SIGKILL);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 20));
}

// An engine hangs: its connections stay open but silent. After some seconds it
// resumes its streams, although their samples have been restarted on other
// engines.
TEST_F(system_failures_test, a_frozen_engine_blocks_no_step) {
    scenario_.inject_fault(scenario_.engine_names().front(),
                           R"({"freeze": true})");
    pause_for(fault_duration_ms);
    scenario_.inject_fault(scenario_.engine_names().front(),
                           R"({"freeze": false})");
}

// An engine crashes and its supervisor restarts it at once: it responds again,
// but has no streams and no weights.
TEST_F(system_failures_test, a_crashed_engine_is_initialized_again) {
    scenario_.inject_fault(scenario_.engine_names().front(),
                           R"({"crash": true})");
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 20));
}

// Engines cannot load new weights: the weight store is unavailable, and two of
// three loads fail after that. Samples of the old version exceed the staleness
// bound after a while; none of these may be delivered.
TEST_F(system_failures_test, failing_swaps_make_no_stale_sample) {
    scenario_.inject_fault("weights", R"({"outage": true})");
    pause_for(fault_duration_ms / 2);
    scenario_.inject_fault("weights",
                           R"({"outage": false, "fail_share": 0.66})");
    pause_for(fault_duration_ms / 2);
    scenario_.inject_fault("weights", R"({"fail_share": 0})");
}

// Instances of a service run charges but their responses are lost. The charges
// must not run again, and callers must get the outcome `unknown`.
TEST_F(system_failures_test, a_charge_whose_answer_was_lost_runs_once) {
    for (const auto& service : scenario_.service_names()) {
        scenario_.inject_fault(service, R"({"lose_answers": 2})");
    }
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 10));
}

// The home node of a step is killed during a log outage. Its keys can be taken
// over only when the log is back, the step of its trainer at once.
TEST_F(system_failures_test, a_home_killed_in_a_log_outage_loses_nothing) {
    auto& home = find_step_home();
    scenario_.inject_fault("log", R"({"outage": true})");
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 10));
    home.daemon->signal(SIGKILL);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 30));
    scenario_.inject_fault("log", R"({"outage": false})");
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
}

// A home node resumes from a pause during a log outage. It still considers its
// claims valid and cannot learn from the log that another node has taken over
// with a newer epoch.
TEST_F(system_failures_test, a_home_that_wakes_in_a_log_outage_does_no_harm) {
    auto& home = find_step_home();
    home.daemon->signal(SIGSTOP);
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    scenario_.inject_fault("log", R"({"outage": true})");
    home.daemon->signal(SIGCONT);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 50));
    scenario_.inject_fault("log", R"({"outage": false})");
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
}

// A home node is killed while the instance list is unavailable and still
// contains it. The other nodes must detect the failure themselves.
TEST_F(system_failures_test, a_home_killed_in_a_list_outage_is_excluded) {
    scenario_.inject_fault("instances", R"({"outage": true})");
    find_step_home().daemon->signal(SIGKILL);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 50));
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    scenario_.inject_fault("instances", R"({"outage": false})");
}

} // namespace
} // namespace hibiscus::testing
