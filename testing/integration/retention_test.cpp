#include "support/test_cluster.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <set>

namespace hibiscus::testing {

extern std::string build_dir; // NOLINT

namespace {

using nlohmann::json;

constexpr const char* small_document = R"({"schema": 1,
    "owners": [{"name": "campus"}],
    "services": [{"name": "ledger", "owner": "campus"}],
    "limits": {"entries_ttl_ms": 500}})";

/// Two nodes before a log that keeps few records of each stream.
class retention_test : public ::testing::Test {
protected:
    retention_test() : cluster_(build_dir) {
        cluster_.start_platform({"--retention=6"});
        cluster_.start_node("127.0.0.1", "z1");
        cluster_.start_node("127.0.0.2", "z2");
        service_ = cluster_.start_service("ledger", "z1");
    }

    /// Returns the revisions that the nodes report.
    std::set<int> revisions() {
        std::set<int> result;
        const auto status =
            json::parse(cluster_.run_ctl({"status", "--output=json"}).second,
                        nullptr, false);
        if (status.is_object()) {
            for (const auto& node : status["nodes"]) {
                result.insert(node.value("revision", 0));
            }
        }
        return result;
    }

    /// Returns the base that the last publish in the log names.
    wire::log_offset last_publish_base() {
        const auto page = wire::from_json<wire::log_page>(cluster_.send_request(
            "log", "GET", "/v1/streams/config/records?from=0"));
        wire::log_offset base = -1;
        for (const auto& row : std::get<wire::log_page>(page).records) {
            const auto record = wire::from_json<wire::config_record>(row.data);
            const auto& content = std::get<wire::config_record>(record);
            base = content.revision == 0 ? content.base : base;
        }
        return base;
    }

    test_cluster cluster_;
    std::string service_;
};

// Operators publish more often than the log keeps records. The record that
// carried the document is gone, and both a fresh node and the next publisher
// need the revision in force.
TEST_F(retention_test, a_publish_and_a_fresh_node_find_the_revision_in_force) {
    wire::log_offset before = -1;
    for (int i = 0; i < 9; ++i) {
        ASSERT_TRUE(eventually(
            [&] { return cluster_.publish_document(small_document) == 0; }));
        EXPECT_GT(last_publish_base(), before);
        before = last_publish_base();
    }
    cluster_.start_node("127.0.0.3", "z3");
    ASSERT_TRUE(cluster_.wait_until_ready());
    ASSERT_TRUE(eventually(
        [&] { return cluster_.publish_document(small_document) == 0; }));
    EXPECT_GT(last_publish_base(), before);
    EXPECT_TRUE(eventually([&] {
        const auto seen = revisions();
        return seen.size() == 1 && *seen.begin() >= 10;
    }));
}

// Retention drops the records of a charge that was made, and every entry is
// replaced. The caller asks again; a fresh home that took the key for free
// would charge twice.
TEST_F(retention_test, a_charge_is_not_repeated_by_new_homes) {
    ASSERT_TRUE(eventually(
        [&] { return cluster_.publish_document(small_document) == 0; }));
    ASSERT_TRUE(cluster_.wait_until_ready());
    entry_client c(cluster_.entry_addresses());
    const auto created = base::clock().wall_time();
    const auto charge = [&](int number) {
        const wire::service_request request{
            base::request_id("charge-" + std::to_string(number)),
            base::service_id("ledger"),
            false,
            3000,
            created,
            "body"};
        return c.call<wire::service_response>("POST", "/v1/requests",
                                              wire::to_json(request), 5000);
    };
    for (int i = 0; i < 80; ++i) {
        ASSERT_TRUE(eventually([&] {
            const auto answer = charge(i);
            return answer && answer->result != wire::outcome::not_run;
        }));
    }
    for (std::size_t n = 0; n < cluster_.nodes().size(); ++n) {
        cluster_.restart_node(n);
    }
    ASSERT_TRUE(cluster_.wait_until_ready());
    for (int i = 0; i < 80; ++i) {
        EXPECT_TRUE(eventually([&] {
            const auto answer = charge(i);
            return answer && answer->result != wire::outcome::not_run;
        }));
    }
    const auto runs =
        json::parse(cluster_.send_request(service_, "GET", "/v1/runs"));
    for (const auto& [key, count] : runs.items()) {
        EXPECT_EQ(count.get<int>(), 1) << key;
    }
    const auto said =
        cluster_.run_ctl({"explain", "charge-0",
                          "--logs=" + cluster_.file_path("n1.log") + "," +
                              cluster_.file_path("n2.log")});
    EXPECT_EQ(said.first, 0) << said.second;
    EXPECT_NE(said.second.find("claim charge-0 -> ledger"), std::string::npos)
        << said.second;
}

TEST_F(retention_test, diff_shows_what_a_publish_would_change) {
    ASSERT_TRUE(eventually(
        [&] { return cluster_.publish_document(small_document) == 0; }));
    std::ofstream(cluster_.file_path("next.json"))
        << R"({"owners": [{"name": "campus", "weight": 2}]})";
    const auto said =
        cluster_.run_ctl({"diff", cluster_.file_path("next.json")});
    EXPECT_EQ(said.first, 0);
    EXPECT_NE(said.second.find("changed /owners/campus/weight: 1 -> 2"),
              std::string::npos)
        << said.second;
    EXPECT_EQ(cluster_.run_ctl({"explain", "nothing"}).first, 5);
}

} // namespace
} // namespace hibiscus::testing
