#include "support/system.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>

namespace hibiscus::testing {

/// The build folder, from the flag --programs.
std::string programs = "build"; // NOLINT

namespace {

using nlohmann::json;

constexpr const char* small_document = R"({"schema": 1,
    "owners": [{"name": "campus"}],
    "pools": [{"name": "tagging", "owner": "campus"}],
    "trainers": [{"name": "tagger", "owner": "campus", "pool": "tagging",
                  "staleness_bound": 1}],
    "services": [{"name": "ledger", "owner": "campus"}],
    "limits": {"entries_ttl_ms": 500}})";

/// Three nodes, two engines and one plain service.
class whole_path_test : public ::testing::Test {
protected:
    whole_path_test() : system_(programs) {
        system_.start_platform();
        for (const char* zone : {"1", "2", "3"}) {
            system_.start_node(std::string("127.0.0.") + zone,
                               std::string("z") + zone);
        }
        system_.start_engine("tagging", "z1");
        system_.start_engine("tagging", "z2");
        service_ = system_.start_service("ledger", "z1");
    }

    /// Returns the first answer to `request` that is `completed`.
    std::optional<wire::answer> run(caller& c,
                                    const wire::service_request& request) {
        std::optional<wire::answer> answer;
        eventually([&] {
            answer = c.ask<wire::answer>("POST", "/v1/requests",
                                         wire::to_json(request), 5000);
            return answer && answer->result == wire::outcome::completed;
        });
        return answer;
    }

    /// Returns a request to the ledger.
    static wire::service_request request(const std::string& id,
                                         bool idempotent) {
        return {base::request_id(id), base::service_id("ledger"),
                idempotent,           3000,
                base::clock().wall(), "body"};
    }

    system system_;
    std::string service_;
};

TEST_F(whole_path_test, a_step_a_lookup_a_sync_and_a_change_are_served) {
    ASSERT_EQ(system_.publish(small_document), 0);
    ASSERT_TRUE(system_.wait_ready());
    caller c(system_.entries());

    const auto lookup = run(c, request("lookup-1", true));
    ASSERT_TRUE(lookup.has_value());
    EXPECT_EQ(lookup->body, "ran lookup-1 with body");

    const auto sync = run(c, request("sync-1", false));
    ASSERT_TRUE(sync.has_value());
    const auto again = run(c, request("sync-1", false));
    ASSERT_TRUE(again.has_value());
    EXPECT_EQ(again->body, sync->body);
    const auto runs = json::parse(system_.ask(service_, "GET", "/v1/runs"));
    EXPECT_EQ(runs.value("sync-1", 0), 1) << runs;

    auto& trainer = system_.start_client(
        "trainer", "tagger",
        {"--steps=2", "--groups=4", "--train_ms=50",
         "--weights=" + base::to_string(system_.address("weights"))});
    EXPECT_EQ(trainer.wait(60000), 0) << trainer.output();
    EXPECT_NE(trainer.output().find("\"got\":32"), std::string::npos)
        << trainer.output();
    EXPECT_NE(trainer.output().find("\"untrue\":0"), std::string::npos)
        << trainer.output();

    ASSERT_EQ(system_.publish(small_document), 0);
    EXPECT_TRUE(eventually([&] {
        const auto status =
            json::parse(system_.ctl({"status", "--output=json"}).second);
        for (const auto& node : status["nodes"]) {
            if (node.value("revision", 0) != 2) {
                return false;
            }
        }
        return status["nodes"].size() == 3U;
    }));
}

// An operator writes a setting wrongly. The process must say where, and must
// not take traffic first.
TEST_F(whole_path_test, a_wrong_setting_ends_with_code_2) {
    std::ofstream(system_.path("bad.yaml")) << "node: n\nzone: z\n";
    process daemon({programs + "/packages/node/hibiscusd",
                    "--settings=" + system_.path("bad.yaml")},
                   system_.path("bad.out"));
    EXPECT_EQ(daemon.wait(20000), 2) << daemon.output();
    EXPECT_NE(daemon.output().find("bad.yaml:1: listen: missing"),
              std::string::npos)
        << daemon.output();
}

} // namespace
} // namespace hibiscus::testing
