#include "support/failure_run.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace hibiscus::testing {

extern std::string programs; // NOLINT

namespace {

using nlohmann::json;

/// How long a fault lasts that is to outlive the system's timeouts, in ms.
constexpr base::millis some_seconds = 4000;

/// A whole system under load. Each test brings about a failure and ends with
/// the oracle.
class system_failures_test : public ::testing::Test {
protected:
    system_failures_test() : run_(programs) {}

    void SetUp() override {
        ASSERT_TRUE(run_.start());
        run_.load();
        ASSERT_TRUE(run_.completes("lookup-"));
        ASSERT_TRUE(run_.completes("sync-"));
    }

    void TearDown() override {
        const auto found = run_.finish();
        EXPECT_TRUE(found.empty()) << to_string(found);
    }

    /// Returns the node that is home of the trainer's steps.
    node_process& home_of_steps() {
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
        caller c({nodes()[node].callers});
        net::http_request request;
        request.target = "/v1/status";
        const auto result = c.send_to(nodes()[node].callers, request, 5000);
        const auto* answer = std::get_if<net::http_response>(&result);
        return answer != nullptr ? json::parse(answer->body, nullptr, false)
                                 : json::object();
    }

    /// Returns the first answer so far with this outcome and reason.
    std::optional<kept_answer> answer_with(const std::string& result,
                                           const std::string& why) {
        for (const auto& a : run_.answers()) {
            if (a.result == result && a.why == why) {
                return a;
            }
        }
        return std::nullopt;
    }

    /// Returns how many requests an instance of a service has run.
    std::size_t runs_of(const std::string& service) {
        return json::parse(run_.processes().ask(service, "GET", "/v1/runs"))
            .size();
    }

    /// Returns how many streams an engine has started.
    int started_at(const std::string& engine) {
        return json::parse(run_.processes().ask(engine, "GET", "/v1/counts"))
            .value("started", 0);
    }

    void leave(const std::string& instance) {
        auto row = run_.processes().listed().at(instance);
        row.state = wire::instance_state::leaving;
        run_.processes().list(row);
    }

    std::vector<node_process>& nodes() { return run_.processes().nodes(); }

    failure_run run_;
};

// The platform's log service is down for some seconds. Nothing can be claimed
// meanwhile, so kiosks still show balances and trainers still get samples, but
// a ledger sync is refused at once and told when to come back. When the log
// is up again, syncs go on without anybody's help.
TEST_F(system_failures_test, a_log_outage_stops_only_syncs) {
    run_.fault("log", R"({"outage": true})");
    EXPECT_TRUE(run_.completes("lookup-", 50));
    std::optional<kept_answer> refused;
    EXPECT_TRUE(eventually([&] {
        refused = answer_with("not_run", "log_unavailable");
        return refused.has_value();
    }));
    ASSERT_TRUE(refused.has_value());
    EXPECT_GT(refused->retry_after_ms, 0);
    pause_for(some_seconds);
    run_.fault("log", R"({"outage": false})");
    EXPECT_TRUE(run_.completes("sync-", 20));
}

// The log service takes records but its answers are lost on the way. The home
// of a key cannot know whether its claim is in the log; if it appended the
// claim anew as another one, or gave up, a student would be charged twice or
// not at all.
TEST_F(system_failures_test, lost_append_answers_lose_no_sync) {
    for (int i = 0; i < 3; ++i) {
        run_.fault("log", R"({"lose_answers": 3})");
        EXPECT_TRUE(run_.completes("sync-", 5));
    }
}

// Appends neither take effect nor are answered, as when a switch drops them.
TEST_F(system_failures_test, dropped_appends_lose_no_sync) {
    run_.fault("log", R"({"drop_appends": 6})");
    EXPECT_TRUE(run_.completes("sync-", 10));
}

// The log service needs half a second for each append and read. Syncs take
// longer; nobody is refused for good.
TEST_F(system_failures_test, a_slow_log_delays_syncs_only) {
    run_.fault("log", R"({"slow_ms": 500})");
    EXPECT_TRUE(run_.completes("lookup-", 50));
    EXPECT_TRUE(run_.completes("sync-", 5));
    run_.fault("log", R"({"slow_ms": 0})");
    EXPECT_TRUE(run_.completes("sync-", 10));
}

// The machine of an entry instance loses power in the middle of a step. The
// instance was home of the step and of a share of the keys. The trainer must
// get the rest of its step from another node, and a sync that was under way
// must not run again. Then a new instance takes the place of the old one.
TEST_F(system_failures_test, a_killed_home_is_replaced) {
    auto& home = home_of_steps();
    home.running->signal(SIGKILL);
    EXPECT_TRUE(run_.completes("sync-", 10));
    run_.processes().unlist(home.name);
    run_.processes().start_node("127.0.0.4", "z1");
    EXPECT_TRUE(run_.processes().wait_ready());
    EXPECT_TRUE(run_.completes("sync-", 10));
}

// An entry instance is paused for several seconds, as when its host is moved,
// and then goes on in the belief that it is still home of its share. Others
// have taken over meanwhile. What it delivers, dispatches or orders now would
// come twice.
TEST_F(system_failures_test, a_paused_home_does_no_harm_when_it_goes_on) {
    auto& home = home_of_steps();
    home.running->signal(SIGSTOP);
    EXPECT_TRUE(run_.completes("lookup-", 20));
    pause_for(some_seconds);
    home.running->signal(SIGCONT);
    EXPECT_TRUE(run_.completes("sync-", 20));
    EXPECT_TRUE(run_.processes().wait_ready());
}

// The platform's list of instances does not answer. What was listed last is
// still right for the most part, so the system goes on with it; if it took
// the missing answer for an empty list, every request would be refused.
TEST_F(system_failures_test, an_instance_list_outage_changes_nothing) {
    run_.fault("instances", R"({"outage": true})");
    pause_for(some_seconds);
    EXPECT_TRUE(run_.completes("lookup-", 20));
    EXPECT_TRUE(run_.completes("sync-", 10));
    run_.fault("instances", R"({"outage": false})");
}

// The owner of a backend server takes it away: the platform's list says that
// it leaves. Work that it still got after some seconds would be cut off when
// it goes.
TEST_F(system_failures_test, a_leaving_service_gets_no_new_work) {
    const auto& leaving = run_.services().front();
    leave(leaving);
    EXPECT_TRUE(eventually([&] {
        const auto before = runs_of(leaving);
        return run_.completes("lookup-", 30) && runs_of(leaving) == before;
    }));
    const auto after = runs_of(leaving);
    EXPECT_TRUE(run_.completes("lookup-", 30));
    EXPECT_TRUE(run_.completes("sync-", 10));
    EXPECT_EQ(runs_of(leaving), after);
}

// The same for a model engine: the samples that it has begun come out of it,
// and no new one goes in.
TEST_F(system_failures_test, a_leaving_engine_gets_no_new_stream) {
    const auto& leaving = run_.engines().front();
    const auto& staying = run_.engines().back();
    leave(leaving);
    const auto others_start = [&](int count) {
        const int before = started_at(staying);
        return eventually(
            [&] { return started_at(staying) >= before + count; });
    };
    EXPECT_TRUE(eventually([&] {
        const int before = started_at(leaving);
        return others_start(5) && started_at(leaving) == before;
    }));
    const int after = started_at(leaving);
    EXPECT_TRUE(others_start(10));
    EXPECT_EQ(started_at(leaving), after);
}

// A model engine dies with the samples that it was generating. The trainer
// would wait for them for ever if nobody generated them again elsewhere.
TEST_F(system_failures_test, a_killed_engine_holds_up_no_step) {
    run_.processes().stand_in(run_.engines().front()).signal(SIGKILL);
    EXPECT_TRUE(run_.completes("lookup-", 20));
}

// A model engine hangs: connections stay open and nothing comes. After some
// seconds it goes on with what it had, although its samples have been started
// elsewhere meanwhile.
TEST_F(system_failures_test, a_frozen_engine_holds_up_no_step) {
    run_.fault(run_.engines().front(), R"({"freeze": true})");
    pause_for(some_seconds);
    run_.fault(run_.engines().front(), R"({"freeze": false})");
}

// A model engine crashes and is started again at once by its supervisor: it
// answers as before, but has no streams and no weights any more.
TEST_F(system_failures_test, an_engine_that_forgot_everything_is_set_up_again) {
    run_.fault(run_.engines().front(), R"({"crash": true})");
    EXPECT_TRUE(run_.completes("lookup-", 20));
}

// Engines cannot load new weights for a while: the weight store is down, and
// two of three loads fail after that. Samples of the old version stay inside
// the bound only for a while; no sample outside it may be delivered.
TEST_F(system_failures_test, failing_swaps_make_no_stale_sample) {
    run_.fault("weights", R"({"outage": true})");
    pause_for(some_seconds / 2);
    run_.fault("weights", R"({"outage": false, "fail_share": 0.66})");
    pause_for(some_seconds / 2);
    run_.fault("weights", R"({"fail_share": 0})");
}

// An instance of a service runs charges but its answers are lost. Nobody can
// know whether they ran, so they must not run again; callers are told that it
// is unknown.
TEST_F(system_failures_test, a_charge_whose_answer_was_lost_runs_once) {
    for (const auto& service : run_.services()) {
        run_.fault(service, R"({"lose_answers": 2})");
    }
    EXPECT_TRUE(run_.completes("sync-", 10));
    EXPECT_TRUE(run_.completes("lookup-", 10));
}

// The log service is down and, while it is, the home of a step is killed. Its
// keys cannot be taken over before the log is back; its trainer's step can.
TEST_F(system_failures_test, a_home_killed_in_a_log_outage_loses_nothing) {
    auto& home = home_of_steps();
    run_.fault("log", R"({"outage": true})");
    EXPECT_TRUE(run_.completes("lookup-", 10));
    home.running->signal(SIGKILL);
    EXPECT_TRUE(run_.completes("lookup-", 30));
    run_.fault("log", R"({"outage": false})");
    EXPECT_TRUE(run_.completes("sync-", 10));
}

// A node is paused, and the log is down when it goes on: it believes in its
// claims and cannot be told by the log that others hold the epoch.
TEST_F(system_failures_test, a_home_that_wakes_in_a_log_outage_does_no_harm) {
    auto& home = home_of_steps();
    home.running->signal(SIGSTOP);
    EXPECT_TRUE(run_.completes("sync-", 10));
    run_.fault("log", R"({"outage": true})");
    home.running->signal(SIGCONT);
    EXPECT_TRUE(run_.completes("lookup-", 50));
    run_.fault("log", R"({"outage": false})");
    EXPECT_TRUE(run_.completes("sync-", 10));
}

// The instance list is down and a node is killed: the list still names it, so
// the others must find out by themselves.
TEST_F(system_failures_test, a_home_killed_in_a_list_outage_is_left_out) {
    run_.fault("instances", R"({"outage": true})");
    home_of_steps().running->signal(SIGKILL);
    EXPECT_TRUE(run_.completes("lookup-", 50));
    EXPECT_TRUE(run_.completes("sync-", 10));
    run_.fault("instances", R"({"outage": false})");
}

} // namespace
} // namespace hibiscus::testing
