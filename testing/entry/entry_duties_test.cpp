#include "entry/entry_harness.hpp"
#include "entry/fake_duty_api.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace hibiscus::testing {

namespace {

using usage = std::map<std::string, std::int64_t>;

/// Two nodes that report the usage of windows of one second.
class entry_duties_test : public ::testing::Test, protected entry_harness {
protected:
    entry_duties_test() {
        extra_settings_ = "limits:\n  cpu_share: 1\n"
                          "bounds:\n  fences_checked: true\n  lease_ms: 1000\n"
                          "  usage_window_s: 1\n  usage_late_s: 2\n"
                          "duties:\n  address: " +
                          to_string(api_.address()) +
                          "\n  names: [usage_reporting, autoscaling]\n";
        auto configuration = json::parse(configuration_json);
        configuration["tenants"] = {
            {{"name", "one"}, {"apiKeys", {"key-1"}}},
            {{"name", "two"}, {"apiKeys", {"key-2", "key-3"}}}};
        configuration["services"] = {{{"name", "llm"},
                                      {"scaling",
                                       {{"min", 1},
                                        {"max", 5},
                                        {"bootS", 1.0},
                                        {"zonePrices", {{"z", 1.0}}}}}}};
        store_.put("keyed.op", "config", configuration.dump());
    }

    ~entry_duties_test() override { EXPECT_EQ(api_.violation(), ""); }

    void start_nodes() {
        for (const char* name : {"n1", "n2"}) {
            start_node(name);
        }
        for (const char* name : {"n1", "n2"}) {
            ASSERT_TRUE(wait_until_ready(name));
        }
        ASSERT_TRUE(run_until([&] { return !job_owner().empty(); }));
    }

    /// Sends lookups with a key to a node.
    void send_lookups(const std::string& node, const std::string& key,
                      int count) {
        for (int n = 0; n < count; ++n) {
            const auto id = "q" + std::to_string(++last_request_);
            const auto response =
                call(node, "POST", "/look/x",
                     {{"Request-Id", id}, {"Authorization", "Token " + key}});
            EXPECT_EQ(response.status, 200);
        }
    }

    bool wait_for_usage(const usage& expected) {
        return run_until([&] { return api_.total_usage() == expected; });
    }

    /// Waits until the report of a window with requests is in the journal.
    bool wait_for_fixed_report() {
        return run_until([&] {
            for (const auto& [key, value] :
                 store_.newest_values("keyed.journal")) {
                const auto report = json::from_cbor(value, true, false);
                if (key.rfind("!usage/", 0) == 0 &&
                    !report.at("counts").empty()) {
                    return true;
                }
            }
            return false;
        });
    }

    std::string other_node(const std::string& name) const {
        return name == "n1" ? "n2" : "n1";
    }

    fake_duty_api api_{io_};
    int last_request_ = 0;
};

TEST_F(entry_duties_test, the_usage_of_all_nodes_is_reported) {
    start_nodes();
    send_lookups("n1", "key-1", 5);
    send_lookups("n2", "key-2", 3);
    send_lookups("n1", "key-3", 4);
    EXPECT_EQ(
        call("n1", "POST", "/look/x", {{"Authorization", "Token no"}}).status,
        401);
    EXPECT_TRUE(wait_for_usage({{"one", 5}, {"two", 7}}));
}

// Guards against windows that are lost while the API is down.
TEST_F(entry_duties_test, windows_are_reported_after_the_api_was_down) {
    api_.set_behavior(duty_api_behavior::rejects);
    start_nodes();
    send_lookups("n1", "key-1", 3);
    ASSERT_TRUE(wait_for_fixed_report());
    send_lookups("n2", "key-2", 2);
    ASSERT_TRUE(run_until([&] { return api_.call_count() >= 6; }));
    api_.set_behavior(duty_api_behavior::responds);
    EXPECT_TRUE(wait_for_usage({{"one", 3}, {"two", 2}}));
}

// Guards against two reports of a window if the holder is killed after it has
// fixed the report and before the API has confirmed it.
TEST_F(entry_duties_test, the_next_holder_sends_what_the_killed_one_fixed) {
    api_.set_behavior(duty_api_behavior::silent);
    start_nodes();
    const auto killed = job_owner();
    send_lookups(other_node(killed), "key-1", 3);
    send_lookups(killed, "key-2", 2);
    ASSERT_TRUE(wait_for_fixed_report());
    const auto calls = api_.call_count();
    ASSERT_TRUE(run_until([&] { return api_.call_count() > calls; }));
    nodes_.at(killed)->signal(SIGKILL);
    api_.set_behavior(duty_api_behavior::executes_late);
    ASSERT_TRUE(run_until([&] { return job_owner() != killed; }));
    const auto later_calls = api_.call_count();
    ASSERT_TRUE(run_until([&] { return api_.call_count() > later_calls; }));
    api_.set_behavior(duty_api_behavior::responds);
    EXPECT_TRUE(wait_for_usage({{"one", 3}, {"two", 2}}));
}

// Guards against a holder that calls again with a token that was refused.
TEST_F(entry_duties_test, a_fenced_holder_does_not_call_again) {
    start_nodes();
    api_.set_fenced(true);
    const auto calls = api_.call_count();
    ASSERT_TRUE(run_until([&] { return api_.call_count() > calls; }));
    const auto calls_when_fenced = api_.call_count();
    send_lookups("n1", "key-1", 2);
    ASSERT_TRUE(wait_for_fixed_report());
    EXPECT_EQ(api_.call_count(), calls_when_fenced);
    api_.set_fenced(false);
    nodes_.at(job_owner())->signal(SIGKILL);
    EXPECT_TRUE(wait_for_usage({{"one", 2}}));
}

// Guards against an order that a later holder does not know, and so takes back.
TEST_F(entry_duties_test, a_lasting_shortage_orders_servers_once) {
    constexpr int slow_event_interval_ms = 600;
    for (const auto& s : samplers_) {
        s->set_event_interval_ms(slow_event_interval_ms);
    }
    start_nodes();
    const auto job = make_job_body("i");
    const auto response =
        call("n1", "POST", "/batch/x",
             {{"Request-Id", "j"}, {"Authorization", "Token key-1"}}, job);
    ASSERT_EQ(response.status, 202);
    ASSERT_TRUE(run_until([&] { return !api_.scaling_orders().empty(); }));
    const auto first = api_.scaling_orders().front();
    EXPECT_EQ(first.service, "llm");
    EXPECT_EQ(first.zone, "z");
    EXPECT_EQ(first.target, 3);
    nodes_.at(first.holder)->signal(SIGKILL);
    ASSERT_TRUE(run_until(
        [&] { return api_.scaling_orders().back().holder != first.holder; }));
    EXPECT_EQ(api_.scaling_orders().back().target, 3);
}

// Guards against a refusal that is taken for the end of this holder's turn, and
// against an order that a later holder repeats.
TEST_F(entry_duties_test, an_order_that_is_refused_is_taken_back) {
    constexpr int slow_event_interval_ms = 600;
    for (const auto& s : samplers_) {
        s->set_event_interval_ms(slow_event_interval_ms);
    }
    api_.set_servers_exhausted(true);
    start_nodes();
    for (const std::string name : {"i", "k", "l"}) {
        const auto response =
            call("n1", "POST", "/batch/x",
                 {{"Request-Id", name}, {"Authorization", "Token key-1"}},
                 make_job_body(name));
        ASSERT_EQ(response.status, 202);
    }
    ASSERT_TRUE(run_until([&] { return api_.refused_orders() > 0; }));
    const auto stored_target = [&] {
        const auto values = store_.newest_values("keyed.journal");
        const auto row = values.find("!scale/llm/z");
        return row == values.end() ? std::string() : row->second;
    };
    ASSERT_TRUE(run_until([&] { return stored_target() == "2"; }));
    api_.set_servers_exhausted(false);
    EXPECT_TRUE(run_until([&] { return !api_.scaling_orders().empty(); }));
    EXPECT_EQ(api_.scaling_orders().front().target, 3);
    EXPECT_EQ(api_.refused_orders(), 1);
}

} // namespace

} // namespace hibiscus::testing
