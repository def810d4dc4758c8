#include "support/failure_scenario.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace hibiscus::testing {

extern std::string build_dir; // NOLINT

namespace {

using nlohmann::json;

/// How long a fault lasts that is to outlive the system's timeouts, in ms.
constexpr base::millis fault_duration_ms = 4000;

/// A whole system under load. Each test brings about a failure and ends with
/// the oracle.
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
        const auto found = scenario_.finish_and_check();
        EXPECT_TRUE(found.empty()) << to_string(found);
    }

    /// Returns the node that is home of the trainer's steps.
    node_process& find_step_home() {
        std::size_t home = 0;
        eventually([&] {
            for (std::size_t i = 0; i < nodes().size(); ++i) {
                const auto status = status_of(i);
                if (!status.value("steps", json::array()).empty()) {
                    home = i;
                    return true;
                }
            }
            return false;
        });
        return nodes()[home];
    }

    json status_of(std::size_t node) {
        entry_client c({nodes()[node].caller_address});
        net::http_request request;
        request.target = "/v1/status";
        const auto result =
            c.send_to(nodes()[node].caller_address, request, 5000);
        const auto* answer = std::get_if<net::http_response>(&result);
        return answer != nullptr ? json::parse(answer->body, nullptr, false)
                                 : json::object();
    }

    /// Returns the first answer so far with this outcome and reason.
    std::optional<recorded_response> find_response(const std::string& result,
                                                   const std::string& why) {
        for (const auto& a : scenario_.recorded_responses()) {
            if (a.result == result && a.reason == why) {
                return a;
            }
        }
        return std::nullopt;
    }

    /// Returns how many requests an instance of a service has run.
    std::size_t run_count(const std::string& service) {
        return json::parse(
                   scenario_.cluster().send_request(service, "GET", "/v1/runs"))
            .size();
    }

    /// Returns how many streams an engine has started.
    int started_stream_count(const std::string& engine) {
        return json::parse(scenario_.cluster().send_request(engine, "GET",
                                                            "/v1/counts"))
            .value("started", 0);
    }

    void mark_leaving(const std::string& instance) {
        auto row = scenario_.cluster().registered_instances().at(instance);
        row.state = wire::instance_state::leaving;
        scenario_.cluster().register_instance(row);
    }

    std::vector<node_process>& nodes() { return scenario_.cluster().nodes(); }

    failure_scenario scenario_;
};

// The platform's log service is down for some seconds. Nothing can be claimed
// meanwhile, so kiosks still show balances and trainers still get samples, but
// a ledger sync is refused at once and told when to come back. When the log
// is up again, syncs go on without anybody's help.
TEST_F(system_failures_test, a_log_outage_stops_only_syncs) {
    scenario_.inject_fault("log", R"({"outage": true})");
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 50));
    std::optional<recorded_response> refused;
    EXPECT_TRUE(eventually([&] {
        refused = find_response("not_run", "log_unavailable");
        return refused.has_value();
    }));
    ASSERT_TRUE(refused.has_value());
    EXPECT_GT(refused->retry_after_ms, 0);
    pause_for(fault_duration_ms);
    scenario_.inject_fault("log", R"({"outage": false})");
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 20));
}

// The log service takes records but its answers are lost on the way. The home
// of a key cannot know whether its claim is in the log; if it appended the
// claim anew as another one, or gave up, a student would be charged twice or
// not at all.
TEST_F(system_failures_test, lost_append_answers_lose_no_sync) {
    for (int i = 0; i < 3; ++i) {
        scenario_.inject_fault("log", R"({"lose_answers": 3})");
        EXPECT_TRUE(scenario_.wait_for_completions("sync-", 5));
    }
}

// Appends neither take effect nor are answered, as when a switch drops them.
TEST_F(system_failures_test, dropped_appends_lose_no_sync) {
    scenario_.inject_fault("log", R"({"drop_appends": 6})");
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
}

// The log service needs half a second for each append and read. Syncs take
// longer; nobody is refused for good.
TEST_F(system_failures_test, a_slow_log_delays_syncs_only) {
    scenario_.inject_fault("log", R"({"slow_ms": 500})");
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 50));
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 5));
    scenario_.inject_fault("log", R"({"slow_ms": 0})");
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
}

// The machine of an entry instance loses power in the middle of a step. The
// instance was home of the step and of a share of the keys. The trainer must
// get the rest of its step from another node, and a sync that was under way
// must not run again. Then a new instance takes the place of the old one.
TEST_F(system_failures_test, a_killed_home_is_replaced) {
    auto& home = find_step_home();
    home.daemon->signal(SIGKILL);
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    scenario_.cluster().deregister_instance(home.name);
    scenario_.cluster().start_node("127.0.0.4", "z1");
    EXPECT_TRUE(scenario_.cluster().wait_until_ready());
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
}

// An entry instance is paused for several seconds, as when its host is moved,
// and then goes on in the belief that it is still home of its share. Others
// have taken over meanwhile. What it delivers, dispatches or orders now would
// come twice.
TEST_F(system_failures_test, a_paused_home_does_no_harm_when_it_goes_on) {
    auto& home = find_step_home();
    home.daemon->signal(SIGSTOP);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 20));
    pause_for(fault_duration_ms);
    home.daemon->signal(SIGCONT);
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 20));
    EXPECT_TRUE(scenario_.cluster().wait_until_ready());
}

// The platform's list of instances does not answer. What was listed last is
// still right for the most part, so the system goes on with it; if it took
// the missing answer for an empty list, every request would be refused.
TEST_F(system_failures_test, an_instance_list_outage_changes_nothing) {
    scenario_.inject_fault("instances", R"({"outage": true})");
    pause_for(fault_duration_ms);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 20));
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    scenario_.inject_fault("instances", R"({"outage": false})");
}

// The owner of a backend server takes it away: the platform's list says that
// it leaves. Work that it still got after some seconds would be cut off when
// it goes.
TEST_F(system_failures_test, a_leaving_service_gets_no_new_work) {
    const auto& leaving = scenario_.service_names().front();
    mark_leaving(leaving);
    EXPECT_TRUE(eventually([&] {
        const auto before = run_count(leaving);
        return scenario_.wait_for_completions("lookup-", 30) &&
               run_count(leaving) == before;
    }));
    const auto after = run_count(leaving);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 30));
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    EXPECT_EQ(run_count(leaving), after);
}

// The same for a model engine: the samples that it has begun come out of it,
// and no new one goes in.
TEST_F(system_failures_test, a_leaving_engine_gets_no_new_stream) {
    const auto& leaving = scenario_.engine_names().front();
    const auto& staying = scenario_.engine_names().back();
    mark_leaving(leaving);
    const auto others_start = [&](int count) {
        const int before = started_stream_count(staying);
        return eventually(
            [&] { return started_stream_count(staying) >= before + count; });
    };
    EXPECT_TRUE(eventually([&] {
        const int before = started_stream_count(leaving);
        return others_start(5) && started_stream_count(leaving) == before;
    }));
    const int after = started_stream_count(leaving);
    EXPECT_TRUE(others_start(10));
    EXPECT_EQ(started_stream_count(leaving), after);
}

// A model engine dies with the samples that it was generating. The trainer
// would wait for them for ever if nobody generated them again elsewhere.
TEST_F(system_failures_test, a_killed_engine_blocks_no_step) {
    scenario_.cluster()
        .fake_process(scenario_.engine_names().front())
        .signal(SIGKILL);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 20));
}

// A model engine hangs: connections stay open and nothing comes. After some
// seconds it goes on with what it had, although its samples have been started
// elsewhere meanwhile.
TEST_F(system_failures_test, a_frozen_engine_blocks_no_step) {
    scenario_.inject_fault(scenario_.engine_names().front(),
                           R"({"freeze": true})");
    pause_for(fault_duration_ms);
    scenario_.inject_fault(scenario_.engine_names().front(),
                           R"({"freeze": false})");
}

// A model engine crashes and is started again at once by its supervisor: it
// answers as before, but has no streams and no weights any more.
TEST_F(system_failures_test, a_crashed_engine_is_initialized_again) {
    scenario_.inject_fault(scenario_.engine_names().front(),
                           R"({"crash": true})");
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 20));
}

// Engines cannot load new weights for a while: the weight store is down, and
// two of three loads fail after that. Samples of the old version stay inside
// the bound only for a while; no sample outside it may be delivered.
TEST_F(system_failures_test, failing_swaps_make_no_stale_sample) {
    scenario_.inject_fault("weights", R"({"outage": true})");
    pause_for(fault_duration_ms / 2);
    scenario_.inject_fault("weights",
                           R"({"outage": false, "fail_share": 0.66})");
    pause_for(fault_duration_ms / 2);
    scenario_.inject_fault("weights", R"({"fail_share": 0})");
}

// An instance of a service runs charges but its answers are lost. Nobody can
// know whether they ran, so they must not run again; callers are told that it
// is unknown.
TEST_F(system_failures_test, a_charge_whose_answer_was_lost_runs_once) {
    for (const auto& service : scenario_.service_names()) {
        scenario_.inject_fault(service, R"({"lose_answers": 2})");
    }
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 10));
}

// The log service is down and, while it is, the home of a step is killed. Its
// keys cannot be taken over before the log is back; its trainer's step can.
TEST_F(system_failures_test, a_home_killed_in_a_log_outage_loses_nothing) {
    auto& home = find_step_home();
    scenario_.inject_fault("log", R"({"outage": true})");
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 10));
    home.daemon->signal(SIGKILL);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 30));
    scenario_.inject_fault("log", R"({"outage": false})");
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
}

// A node is paused, and the log is down when it goes on: it believes in its
// claims and cannot be told by the log that others hold the epoch.
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

// The instance list is down and a node is killed: the list still names it, so
// the others must find out by themselves.
TEST_F(system_failures_test, a_home_killed_in_a_list_outage_is_excluded) {
    scenario_.inject_fault("instances", R"({"outage": true})");
    find_step_home().daemon->signal(SIGKILL);
    EXPECT_TRUE(scenario_.wait_for_completions("lookup-", 50));
    EXPECT_TRUE(scenario_.wait_for_completions("sync-", 10));
    scenario_.inject_fault("instances", R"({"outage": false})");
}

} // namespace
} // namespace hibiscus::testing
