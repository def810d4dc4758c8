#include "integration/traffic_fixture.hpp"

namespace hibiscus::testing {
namespace {

/// A point at which a connection to a backend server fails, as a rule of the
/// fault proxy. `to_target` and `to_client` are the numbers of bytes that the
/// proxy forwards in that direction before the fault.
struct failure_point {
    const char* name;
    const char* rule;
};

/// Failures while connecting, within and after the request, and within the
/// status line, headers and body of the response.
constexpr failure_point failure_points[] = {
    {"refused", R"({"refuse": true})"},
    {"cut before the request", R"({"to_target": 0})"},
    {"cut after 1 byte", R"({"to_target": 1})"},
    {"cut in the headers", R"({"to_target": 60})"},
    {"cut in the body", R"({"to_target": 300})"},
    {"cut before the response", R"({"to_client": 0})"},
    {"cut in the status line", R"({"to_client": 5})"},
    {"cut in the response's headers", R"({"to_client": 40})"},
    {"cut in the response's body", R"({"to_client": 80})"},
    {"half closed in the response",
     R"({"to_client": 80, "action": "half_close"})"},
};

/// One node and one instance of the ledger service behind a fault proxy.
class traffic_refusal_test : public traffic_test {
protected:
    void SetUp() override {
        cluster_.start_platform();
        start_nodes(1);
        service_ = cluster_.start_service("ledger", "z1");
        cluster_.insert_proxy(service_);
        publish_and_wait_until_ready();
    }

    /// Sets the rule for new connections and closes the open ones.
    void set_fault_rule(const std::string& rule) {
        cluster_.control_proxy(service_, "rule", rule);
        cluster_.control_proxy(service_, "cut");
    }

    /// Returns a request with a body long enough that each failure point falls
    /// into the part of the message that it is named after.
    static wire::service_request make_long_request(const std::string& id,
                                                   bool idempotent) {
        auto request = make_request(id, idempotent, 1500);
        request.body = std::string(400, 'x');
        return request;
    }

    std::string service_;
};

// The connection to the backend server fails at some byte. A caller that gets
// `not_run` may send the sync again under another id, so a request that ran
// after all would be charged twice.
TEST_F(traffic_refusal_test, what_is_called_not_run_was_not_run) {
    int number = 0;
    for (const auto& point : failure_points) {
        for (const bool idempotent : {true, false}) {
            set_fault_rule(point.rule);
            const auto key = "cut-" + std::to_string(++number);
            const auto response =
                send_request(0, make_long_request(key, idempotent));
            ASSERT_TRUE(response.has_value()) << point.name;
            EXPECT_NE(response->result, wire::outcome::completed) << point.name;
            const auto runs = run_count(service_, key);
            if (response->result == wire::outcome::not_run) {
                EXPECT_EQ(runs, 0) << point.name;
                EXPECT_GT(response->retry_after_ms, 0) << point.name;
            }
            if (!idempotent) {
                EXPECT_LE(runs, 1) << point.name;
            }
        }
    }
}

// One connection fails at some byte and the next one works. A lookup may be
// retried, so its caller must see neither the failure nor a partial response.
TEST_F(traffic_refusal_test, a_lookup_survives_a_cut_at_any_byte) {
    int number = 0;
    for (const auto& point : failure_points) {
        auto rule = nlohmann::json::parse(point.rule);
        if (rule.contains("refuse")) {
            continue;
        }
        rule["times"] = 1;
        set_fault_rule(rule.dump());
        const auto key = "again-" + std::to_string(++number);
        const auto response = send_request(0, make_long_request(key, true));
        ASSERT_TRUE(response.has_value()) << point.name;
        EXPECT_EQ(response->result, wire::outcome::completed) << point.name;
        EXPECT_EQ(response->body,
                  "ran " + key + " with " + std::string(400, 'x'))
            << point.name;
    }
}

} // namespace
} // namespace hibiscus::testing
