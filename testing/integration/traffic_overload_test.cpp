#include "traffic_fixture.hpp"

#include <csignal>
#include <sstream>
#include <thread>

namespace hibiscus::testing {
namespace {

/// One node that accepts one non-idempotent request at a time.
class traffic_overload_test : public traffic_test {
protected:
    traffic_overload_test() {
        cluster_.start_platform();
        cluster_.start_node("127.0.0.1", "z1",
                            "limits:\n  non_idempotent_in_work: 1\n");
        service_ = cluster_.start_service("ledger", "z1");
        publish_and_wait_until_ready();
    }

    /// Returns how many times the service ran `key`.
    int run_count(const std::string& key) {
        const auto runs = nlohmann::json::parse(
            cluster_.send_request(service_, "GET", "/v1/runs"), nullptr, false);
        return runs.is_object() ? runs.value(key, 0) : 0;
    }

    /// Returns true if the node has logged a claim of `key`.
    bool has_logged_claim(const std::string& key) {
        std::istringstream lines(cluster_.nodes()[0].daemon->output());
        std::string line;
        while (std::getline(lines, line)) {
            const auto log_event = nlohmann::json::parse(line, nullptr, false);
            if (log_event.is_object() &&
                log_event.value("kind", "") == "claim" &&
                log_event.value("subject", "") == key) {
                return true;
            }
        }
        return false;
    }

    std::string service_;
};

// More charges arrive than the node accepts. A charge over the limit must not
// wait for the others until its deadline: it must be rejected at once as not
// run, with a retry time.
TEST_F(traffic_overload_test, a_charge_over_the_limit_is_refused_at_once) {
    // The service is paused, so the first charge stays in flight.
    cluster_.fake_process(service_).signal(SIGSTOP);
    std::optional<wire::service_response> first_response;
    std::thread caller([&] {
        eventually([&] {
            first_response =
                send_request(0, make_request("charge-1", false, 60000));
            return first_response &&
                   first_response->result == wire::outcome::completed;
        });
    });
    const bool claim_logged =
        eventually([&] { return has_logged_claim("charge-1"); });
    const auto rejection =
        send_request(0, make_request("charge-2", false, 60000));
    cluster_.fake_process(service_).signal(SIGCONT);
    caller.join();
    const int runs_before_retry = run_count("charge-2");
    ASSERT_TRUE(claim_logged);
    ASSERT_TRUE(rejection.has_value());
    EXPECT_EQ(base::name_of(rejection->result), "not_run");
    EXPECT_EQ(base::name_of(rejection->why), "overloaded");
    EXPECT_GT(rejection->retry_after_ms, 0);
    EXPECT_EQ(runs_before_retry, 0);
    ASSERT_TRUE(first_response.has_value());
    EXPECT_EQ(base::name_of(first_response->result), "completed");
    EXPECT_EQ(
        base::name_of(send_request(0, make_request("charge-2", false, 20000))
                          .value_or(wire::service_response{})
                          .result),
        "completed");
    EXPECT_EQ(run_count("charge-2"), 1);
}

} // namespace
} // namespace hibiscus::testing
