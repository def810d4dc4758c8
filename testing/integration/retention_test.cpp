#include "support/system.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <set>

namespace hibiscus::testing {

extern std::string programs; // NOLINT

namespace {

using nlohmann::json;

constexpr const char* small_document = R"({"schema": 1,
    "owners": [{"name": "campus"}],
    "services": [{"name": "ledger", "owner": "campus"}],
    "limits": {"entries_ttl_ms": 500}})";

/// Two nodes before a log that keeps few records of each stream.
class retention_test : public ::testing::Test {
protected:
    retention_test() : system_(programs) {
        system_.start_platform({"--retention=6"});
        system_.start_node("127.0.0.1", "z1");
        system_.start_node("127.0.0.2", "z2");
        service_ = system_.start_service("ledger", "z1");
    }

    /// Returns the revisions that the nodes report.
    std::set<int> revisions() {
        std::set<int> result;
        const auto status = json::parse(
            system_.ctl({"status", "--output=json"}).second, nullptr, false);
        if (status.is_object()) {
            for (const auto& node : status["nodes"]) {
                result.insert(node.value("revision", 0));
            }
        }
        return result;
    }

    /// Returns the base that the last publish in the log names.
    wire::log_offset last_base() {
        const auto page = wire::from_json<wire::log_page>(
            system_.ask("log", "GET", "/v1/streams/config/records?from=0"));
        wire::log_offset base = -1;
        for (const auto& row : std::get<wire::log_page>(page).records) {
            const auto record = wire::from_json<wire::config_record>(row.data);
            const auto& content = std::get<wire::config_record>(record);
            base = content.revision == 0 ? content.base : base;
        }
        return base;
    }

    system system_;
    std::string service_;
};

// Operators publish more often than the log keeps records. The record that
// carried the document is gone, and both a fresh node and the next publisher
// need the revision in force.
TEST_F(retention_test, a_publish_and_a_fresh_node_find_the_revision_in_force) {
    wire::log_offset before = -1;
    for (int i = 0; i < 9; ++i) {
        ASSERT_TRUE(
            eventually([&] { return system_.publish(small_document) == 0; }));
        EXPECT_GT(last_base(), before);
        before = last_base();
    }
    system_.start_node("127.0.0.3", "z3");
    ASSERT_TRUE(system_.wait_ready());
    ASSERT_TRUE(
        eventually([&] { return system_.publish(small_document) == 0; }));
    EXPECT_GT(last_base(), before);
    EXPECT_TRUE(eventually([&] {
        const auto seen = revisions();
        return seen.size() == 1 && *seen.begin() >= 10;
    }));
}

// Retention drops the records of a charge that was made, and every entry is
// replaced. The caller asks again; a fresh home that took the key for free
// would charge twice.
TEST_F(retention_test, a_charge_is_not_made_again_by_fresh_homes) {
    ASSERT_TRUE(
        eventually([&] { return system_.publish(small_document) == 0; }));
    ASSERT_TRUE(system_.wait_ready());
    caller c(system_.entries());
    const auto created = base::clock().wall();
    const auto charge = [&](int number) {
        const wire::service_request request{
            base::request_id("charge-" + std::to_string(number)),
            base::service_id("ledger"),
            false,
            3000,
            created,
            "body"};
        return c.ask<wire::answer>("POST", "/v1/requests",
                                   wire::to_json(request), 5000);
    };
    for (int i = 0; i < 80; ++i) {
        ASSERT_TRUE(eventually([&] {
            const auto answer = charge(i);
            return answer && answer->result != wire::outcome::not_run;
        }));
    }
    for (std::size_t n = 0; n < system_.nodes().size(); ++n) {
        system_.restart_node(n);
    }
    ASSERT_TRUE(system_.wait_ready());
    for (int i = 0; i < 80; ++i) {
        EXPECT_TRUE(eventually([&] {
            const auto answer = charge(i);
            return answer && answer->result != wire::outcome::not_run;
        }));
    }
    const auto runs = json::parse(system_.ask(service_, "GET", "/v1/runs"));
    for (const auto& [key, count] : runs.items()) {
        EXPECT_EQ(count.get<int>(), 1) << key;
    }
    const auto said = system_.ctl(
        {"explain", "charge-0",
         "--logs=" + system_.path("n1.log") + "," + system_.path("n2.log")});
    EXPECT_EQ(said.first, 0) << said.second;
    EXPECT_NE(said.second.find("claim charge-0 -> ledger"), std::string::npos)
        << said.second;
}

TEST_F(retention_test, diff_tells_what_a_publish_would_change) {
    ASSERT_TRUE(
        eventually([&] { return system_.publish(small_document) == 0; }));
    std::ofstream(system_.path("next.json"))
        << R"({"owners": [{"name": "campus", "weight": 2}]})";
    const auto said = system_.ctl({"diff", system_.path("next.json")});
    EXPECT_EQ(said.first, 0);
    EXPECT_NE(said.second.find("changed /owners/campus/weight: 1 -> 2"),
              std::string::npos)
        << said.second;
    EXPECT_EQ(system_.ctl({"explain", "nothing"}).first, 5);
}

} // namespace
} // namespace hibiscus::testing
