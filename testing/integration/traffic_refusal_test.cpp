#include "integration/traffic_fixture.hpp"

namespace hibiscus::testing {
namespace {

/// One place at which a connection to a backend server fails.
struct failure_point {
    const char* name;
    const char* rule;
};

/// Before the connection, within the request's line, headers and body, after
/// the request, and within the answer's line, headers and body.
constexpr failure_point failure_points[] = {
    {"refused", R"({"refuse": true})"},
    {"cut before the request", R"({"to_target": 0})"},
    {"cut after 1 byte", R"({"to_target": 1})"},
    {"cut in the headers", R"({"to_target": 60})"},
    {"cut in the body", R"({"to_target": 300})"},
    {"cut before the answer", R"({"to_client": 0})"},
    {"cut in the status line", R"({"to_client": 5})"},
    {"cut in the answer's headers", R"({"to_client": 40})"},
    {"cut in the answer's body", R"({"to_client": 80})"},
    {"half closed in the answer",
     R"({"to_client": 80, "action": "half_close"})"},
};

/// One node and one instance of the ledger behind a fault proxy.
class traffic_refusal_test : public traffic_test {
protected:
    void SetUp() override {
        cluster_.start_platform();
        start_nodes(1);
        service_ = cluster_.start_service("ledger", "z1");
        cluster_.insert_proxy(service_);
        publish_and_wait_until_ready();
    }

    /// Sets the rule for new connections and ends those of before.
    void set_fault_rule(const std::string& rule) {
        cluster_.control_proxy(service_, "rule", rule);
        cluster_.control_proxy(service_, "cut");
    }

    /// Returns a request whose body is longer than its headers, so that the
    /// places are where their names say.
    static wire::service_request make_long_request(const std::string& id,
                                                   bool idempotent) {
        auto r = make_request(id, idempotent, 1500);
        r.body = std::string(400, 'x');
        return r;
    }

    std::string service_;
};

// The connection to the backend server fails at some byte. The caller reads
// `not_run` and, as it may, sends the sync again under another id; had the
// first one run after all, the student would be charged twice.
TEST_F(traffic_refusal_test, what_is_called_not_run_was_not_run) {
    int number = 0;
    for (const auto& place : failure_points) {
        for (const bool idempotent : {true, false}) {
            set_fault_rule(place.rule);
            const auto key = "cut-" + std::to_string(++number);
            const auto answer =
                run_request(0, make_long_request(key, idempotent));
            ASSERT_TRUE(answer.has_value()) << place.name;
            EXPECT_NE(answer->result, wire::outcome::completed) << place.name;
            const auto runs = run_count(service_, key);
            if (answer->result == wire::outcome::not_run) {
                EXPECT_EQ(runs, 0) << place.name;
                EXPECT_GT(answer->retry_after_ms, 0) << place.name;
            }
            if (!idempotent) {
                EXPECT_LE(runs, 1) << place.name;
            }
        }
    }
}

// One connection fails at some byte, the next one works. A lookup may be sent
// again, so its caller sees nothing of the fault but the time it takes, and
// never a part of an answer.
TEST_F(traffic_refusal_test, a_lookup_survives_a_cut_at_any_byte) {
    int number = 0;
    for (const auto& place : failure_points) {
        auto rule = nlohmann::json::parse(place.rule);
        if (rule.contains("refuse")) {
            continue;
        }
        rule["times"] = 1;
        set_fault_rule(rule.dump());
        const auto key = "again-" + std::to_string(++number);
        const auto answer = run_request(0, make_long_request(key, true));
        ASSERT_TRUE(answer.has_value()) << place.name;
        EXPECT_EQ(answer->result, wire::outcome::completed) << place.name;
        EXPECT_EQ(answer->body, "ran " + key + " with " + std::string(400, 'x'))
            << place.name;
    }
}

} // namespace
} // namespace hibiscus::testing
