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

/// Two nodes and a log service that retains only six records of each stream.
class retention_test : public ::testing::Test {
protected:
    retention_test() : cluster_(build_dir) {
        cluster_.start_platform({"--retention=6"});
        cluster_.start_node("127.0.0.1", "z1");
        cluster_.start_node("127.0.0.2", "z2");
        service_ = cluster_.start_service("ledger", "z1");
    }

    /// Returns the distinct revisions that the nodes report.
    std::set<int> revisions() {
        std::set<int> revisions_in_force;
        const auto status =
            json::parse(cluster_.run_ctl({"status", "--output=json"}).second,
                        nullptr, false);
        if (status.is_object()) {
            for (const auto& node : status["nodes"]) {
                revisions_in_force.insert(node.value("revision", 0));
            }
        }
        return revisions_in_force;
    }

    /// Returns the base revision of the last publish in the log. Records with a
    /// revision other than 0 repeat a document and are skipped.
    wire::log_offset last_publish_base() {
        const auto page = wire::from_json<wire::log_page>(cluster_.send_request(
            "log", "GET", "/v1/streams/config/records?from=0"));
        wire::log_offset base = -1;
        for (const auto& row : std::get<wire::log_page>(page).records) {
            const auto record = wire::from_json<wire::config_record>(row.data);
            const auto& publish = std::get<wire::config_record>(record);
            base = publish.revision == 0 ? publish.base : base;
        }
        return base;
    }

    test_cluster cluster_;
    std::string service_;
};

// More documents are published than the log retains records, so the record with
// the document in force is gone. A new node and the next publisher must still
// find the revision in force.
TEST_F(retention_test, a_publish_and_a_new_node_find_the_revision_in_force) {
    wire::log_offset previous_base = -1;
    for (int i = 0; i < 9; ++i) {
        ASSERT_TRUE(eventually(
            [&] { return cluster_.publish_document(small_document) == 0; }));
        EXPECT_GT(last_publish_base(), previous_base);
        previous_base = last_publish_base();
    }
    cluster_.start_node("127.0.0.3", "z3");
    ASSERT_TRUE(cluster_.wait_until_ready());
    ASSERT_TRUE(eventually(
        [&] { return cluster_.publish_document(small_document) == 0; }));
    EXPECT_GT(last_publish_base(), previous_base);
    EXPECT_TRUE(eventually([&] {
        const auto reported_revisions = revisions();
        return reported_revisions.size() == 1 &&
               *reported_revisions.begin() >= 10;
    }));
}

// Retention drops the record of a completed charge, and every node is replaced.
// When the caller repeats the request, a new home node that considered the key
// unused would charge twice.
TEST_F(retention_test, a_charge_is_not_repeated_by_new_homes) {
    ASSERT_TRUE(eventually(
        [&] { return cluster_.publish_document(small_document) == 0; }));
    ASSERT_TRUE(cluster_.wait_until_ready());
    entry_client client(cluster_.entry_addresses());
    const auto created_at = base::clock().wall_time();
    const auto send_charge = [&](int charge_number) {
        const wire::service_request request{
            base::request_id("charge-" + std::to_string(charge_number)),
            base::service_id("ledger"),
            false,
            3000,
            created_at,
            "body"};
        return client.call<wire::service_response>(
            "POST", "/v1/requests", wire::to_json(request), 5000);
    };
    for (int i = 0; i < 80; ++i) {
        ASSERT_TRUE(eventually([&] {
            const auto response = send_charge(i);
            return response && response->result != wire::outcome::not_run;
        }));
    }
    for (std::size_t n = 0; n < cluster_.nodes().size(); ++n) {
        cluster_.restart_node(n);
    }
    ASSERT_TRUE(cluster_.wait_until_ready());
    for (int i = 0; i < 80; ++i) {
        EXPECT_TRUE(eventually([&] {
            const auto response = send_charge(i);
            return response && response->result != wire::outcome::not_run;
        }));
    }
    const auto runs =
        json::parse(cluster_.send_request(service_, "GET", "/v1/runs"));
    for (const auto& [key, count] : runs.items()) {
        EXPECT_EQ(count.get<int>(), 1) << key;
    }
    const auto ctl_result =
        cluster_.run_ctl({"explain", "charge-0",
                          "--logs=" + cluster_.file_path("n1.log") + "," +
                              cluster_.file_path("n2.log")});
    EXPECT_EQ(ctl_result.first, 0) << ctl_result.second;
    EXPECT_NE(ctl_result.second.find("claim charge-0 -> ledger"),
              std::string::npos)
        << ctl_result.second;
}

TEST_F(retention_test, diff_shows_what_a_publish_would_change) {
    ASSERT_TRUE(eventually(
        [&] { return cluster_.publish_document(small_document) == 0; }));
    std::ofstream(cluster_.file_path("next.json"))
        << R"({"owners": [{"name": "campus", "weight": 2}]})";
    const auto ctl_result =
        cluster_.run_ctl({"diff", cluster_.file_path("next.json")});
    EXPECT_EQ(ctl_result.first, 0);
    EXPECT_NE(ctl_result.second.find("changed /owners/campus/weight: 1 -> 2"),
              std::string::npos)
        << ctl_result.second;
    EXPECT_EQ(cluster_.run_ctl({"explain", "nothing"}).first, 5);
}

} // namespace
} // namespace hibiscus::testing
