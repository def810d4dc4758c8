#include "support/test_cluster.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>

namespace hibiscus::testing {

/// The build directory, from the flag --programs.
std::string build_dir = "build"; // NOLINT

namespace {

using nlohmann::json;

constexpr const char* small_document = R"({"schema": 1,
    "owners": [{"name": "campus"}],
    "pools": [{"name": "tagging", "owner": "campus"}],
    "trainers": [{"name": "tagger", "owner": "campus", "pool": "tagging",
                  "staleness_bound": 1}],
    "services": [{"name": "ledger", "owner": "campus"}],
    "limits": {"entries_ttl_ms": 500}})";

/// A cluster of three nodes, two engines and one plain service.
class whole_path_test : public ::testing::Test {
protected:
    whole_path_test() : cluster_(build_dir) {
        cluster_.start_platform();
        for (const char* zone : {"1", "2", "3"}) {
            cluster_.start_node(std::string("127.0.0.") + zone,
                                std::string("z") + zone);
        }
        cluster_.start_engine("tagging", "z1");
        cluster_.start_engine("tagging", "z2");
        service_ = cluster_.start_service("ledger", "z1");
    }

    /// Repeats `request` until it is completed and returns its response.
    std::optional<wire::service_response>
    run_until_completed(entry_client& client,
                        const wire::service_request& request) {
        std::optional<wire::service_response> response;
        eventually([&] {
            response = client.call<wire::service_response>(
                "POST", "/v1/requests", wire::to_json(request), 5000);
            return response && response->result == wire::outcome::completed;
        });
        return response;
    }

    /// Returns a request to the ledger service.
    static wire::service_request make_request(const std::string& id,
                                              bool idempotent) {
        return {base::request_id(id),
                base::service_id("ledger"),
                idempotent,
                3000,
                base::clock().wall_time(),
                "body"};
    }

    test_cluster cluster_;
    std::string service_;
};

TEST_F(whole_path_test, a_step_a_lookup_a_sync_and_a_change_are_served) {
    ASSERT_EQ(cluster_.publish_document(small_document), 0);
    ASSERT_TRUE(cluster_.wait_until_ready());
    entry_client client(cluster_.entry_addresses());

    const auto lookup =
        run_until_completed(client, make_request("lookup-1", true));
    ASSERT_TRUE(lookup.has_value());
    EXPECT_EQ(lookup->body, "ran lookup-1 with body");

    const auto sync =
        run_until_completed(client, make_request("sync-1", false));
    ASSERT_TRUE(sync.has_value());
    const auto repeated_sync =
        run_until_completed(client, make_request("sync-1", false));
    ASSERT_TRUE(repeated_sync.has_value());
    EXPECT_EQ(repeated_sync->body, sync->body);
    const auto runs =
        json::parse(cluster_.send_request(service_, "GET", "/v1/runs"));
    EXPECT_EQ(runs.value("sync-1", 0), 1) << runs;

    auto& trainer = cluster_.start_client(
        "trainer", "tagger",
        {"--steps=2", "--groups=4", "--train_ms=50",
         "--weights=" + base::to_string(cluster_.address_of("weights"))});
    EXPECT_EQ(trainer.wait_for_exit(60000), 0) << trainer.output();
    EXPECT_NE(trainer.output().find("\"got\":32"), std::string::npos)
        << trainer.output();
    EXPECT_NE(trainer.output().find("\"untrue\":0"), std::string::npos)
        << trainer.output();

    ASSERT_EQ(cluster_.publish_document(small_document), 0);
    EXPECT_TRUE(eventually([&] {
        const auto status =
            json::parse(cluster_.run_ctl({"status", "--output=json"}).second);
        for (const auto& node : status["nodes"]) {
            if (node.value("revision", 0) != 2) {
                return false;
            }
        }
        return status["nodes"].size() == 3U;
    }));
}

// A settings file lacks a required key. The process must report the position
// and exit before it accepts requests.
TEST_F(whole_path_test, an_invalid_setting_exits_with_code_2) {
    std::ofstream(cluster_.file_path("bad.yaml")) << "node: n\nzone: z\n";
    process daemon({build_dir + "/packages/node/hibiscusd",
                    "--settings=" + cluster_.file_path("bad.yaml")},
                   cluster_.file_path("bad.out"));
    EXPECT_EQ(daemon.wait_for_exit(20000), 2) << daemon.output();
    EXPECT_NE(daemon.output().find("bad.yaml:1: listen: missing"),
              std::string::npos)
        << daemon.output();
}

} // namespace
} // namespace hibiscus::testing
