#include "traffic_fixture.hpp"

#include <csignal>
#include <sstream>
#include <thread>

namespace hibiscus::testing {
namespace {

/// One node that takes one non-idempotent request at a time.
class traffic_overload_test : public traffic_test {
protected:
    traffic_overload_test() {
        cluster_.start_platform();
        cluster_.start_node("127.0.0.1", "z1",
                            "limits:\n  non_idempotent_in_work: 1\n");
        service_ = cluster_.start_service("ledger", "z1");
        publish_and_wait_until_ready();
    }

    /// Returns how often the service ran `key`.
    int run_count(const std::string& key) {
        const auto seen = nlohmann::json::parse(
            cluster_.send_request(service_, "GET", "/v1/runs"), nullptr, false);
        return seen.is_object() ? seen.value(key, 0) : 0;
    }

    /// Returns true if the node has written that it sends `key`.
    bool was_dispatched(const std::string& key) {
        std::istringstream lines(cluster_.nodes()[0].daemon->output());
        std::string line;
        while (std::getline(lines, line)) {
            const auto l = nlohmann::json::parse(line, nullptr, false);
            if (l.is_object() && l.value("kind", "") == "claim" &&
                l.value("subject", "") == key) {
                return true;
            }
        }
        return false;
    }

    std::string service_;
};

// More charges come than the node takes. One that is over the limit must not
// wait behind the others until its deadline: its caller hears at once that it
// was not run, and when to come back.
TEST_F(traffic_overload_test, a_charge_over_the_limit_is_refused_at_once) {
    // The service stands still, so that the first charge stays in work.
    cluster_.fake_process(service_).signal(SIGSTOP);
    std::optional<wire::service_response> first;
    std::thread caller([&] {
        eventually([&] {
            first = run_request(0, make_request("charge-1", false, 60000));
            return first && first->result == wire::outcome::completed;
        });
    });
    const bool running = eventually([&] { return was_dispatched("charge-1"); });
    const auto refused = run_request(0, make_request("charge-2", false, 60000));
    cluster_.fake_process(service_).signal(SIGCONT);
    caller.join();
    const int ran_meanwhile = run_count("charge-2");
    ASSERT_TRUE(running);
    ASSERT_TRUE(refused.has_value());
    EXPECT_EQ(base::name_of(refused->result), "not_run");
    EXPECT_EQ(base::name_of(refused->why), "overloaded");
    EXPECT_GT(refused->retry_after_ms, 0);
    EXPECT_EQ(ran_meanwhile, 0);
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(base::name_of(first->result), "completed");
    EXPECT_EQ(
        base::name_of(run_request(0, make_request("charge-2", false, 20000))
                          .value_or(wire::service_response{})
                          .result),
        "completed");
    EXPECT_EQ(run_count("charge-2"), 1);
}

} // namespace
} // namespace hibiscus::testing
