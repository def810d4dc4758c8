#include "support/failure_scenario.hpp"

#include "hibiscus/wire/codec.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <memory>
#include <set>

namespace hibiscus::testing {

extern std::string build_dir; // NOLINT

namespace {

using nlohmann::json;

/// Three nodes with a document in force.
class config_failures_test : public ::testing::Test {
protected:
    config_failures_test() : cluster_(build_dir) {}

    void SetUp() override {
        cluster_.start_platform();
        for (const char* zone : {"1", "2", "3"}) {
            cluster_.start_node(std::string("127.0.0.") + zone,
                                std::string("z") + zone);
        }
        ASSERT_EQ(cluster_.publish_document(failure_scenario_document), 0);
        ASSERT_TRUE(cluster_.wait_until_ready());
    }

    /// Returns a valid document that differs by `bound`.
    static std::string make_document(int bound) {
        auto d = json::parse(failure_scenario_document);
        d["trainers"][0]["staleness_bound"] = bound;
        return d.dump();
    }

    /// Starts a publish and returns it while it runs.
    std::unique_ptr<process> start_publish(const std::string& name,
                                           const std::string& text) {
        std::ofstream(cluster_.file_path(name + ".json")) << text;
        return std::make_unique<process>(
            std::vector<std::string>{
                build_dir + "/packages/ctl/hibiscusctl",
                "--log=" + base::to_string(cluster_.address_of("log")),
                "publish", cluster_.file_path(name + ".json")},
            cluster_.file_path(name + ".out"));
    }

    /// Returns the documents that the nodes have in force; one if they agree.
    std::set<std::string> active_documents() {
        std::set<std::string> found;
        for (const auto& entry : cluster_.entry_addresses()) {
            net::http_request request;
            request.target = "/v1/status";
            entry_client c({entry});
            const auto result = c.send_to(entry, request, 5000);
            const auto* answer = std::get_if<net::http_response>(&result);
            const auto status = answer != nullptr
                                    ? json::parse(answer->body, nullptr, false)
                                    : json::object();
            found.insert(status.value("document", ""));
        }
        return found;
    }

    bool is_active_on_all_nodes(const std::string& text) {
        return eventually(
            [&] { return active_documents() == std::set<std::string>{text}; });
    }

    /// Appends a record to the config stream, past hibiscusctl.
    void append_config_record(const std::string& data) {
        cluster_.send_request("log", "POST", "/v1/streams/config/records",
                              json{{"id", "raw"}, {"data", data}}.dump());
    }

    test_cluster cluster_;
};

// Two operators press publish at the same moment. Both build on the revision
// that they saw; if both were accepted, the first one's change would be gone
// without anybody noticing.
TEST_F(config_failures_test, one_of_two_concurrent_publishes_is_accepted) {
    cluster_.send_request("log", "POST", "/v1/fault",
                          R"({"hold_stream": "config"})");
    auto first = start_publish("first", make_document(2));
    auto second = start_publish("second", make_document(3));
    // Both have read the revision in force by the time they append.
    ASSERT_TRUE(eventually([&] {
        const auto counts = json::parse(
            cluster_.send_request("log", "GET", "/v1/counts"), nullptr, false);
        return counts.is_object() && counts.value("held", 0) == 2;
    }));
    cluster_.send_request("log", "POST", "/v1/fault", R"({"hold_stream": ""})");
    const auto one = first->wait_for_exit(30000);
    const auto two = second->wait_for_exit(30000);
    ASSERT_TRUE(one == 0 || two == 0) << first->output() << second->output();
    EXPECT_EQ(one.value_or(-1) + two.value_or(-1), 1)
        << first->output() << second->output();
    EXPECT_TRUE(is_active_on_all_nodes(make_document(one == 0 ? 2 : 3)));
}

// The log service takes a publish but its answer is lost. The operator must
// hear what became of it, and sending it again must not count as a second
// change.
TEST_F(config_failures_test, a_publish_with_lost_responses_is_accepted) {
    for (const int lost : {1, 3}) {
        cluster_.send_request("log", "POST", "/v1/fault",
                              json{{"lose_answers", lost}}.dump());
        EXPECT_EQ(cluster_.publish_document(make_document(10 + lost)), 0);
        EXPECT_TRUE(is_active_on_all_nodes(make_document(10 + lost)));
    }
}

// Something else than hibiscusctl has written to the stream: bytes that are
// no record, a record with a document that is wrong, and one by a program of
// the future. All nodes must pass over them alike and go on.
TEST_F(config_failures_test, invalid_records_are_ignored) {
    const auto before = active_documents();
    ASSERT_EQ(before.size(), 1U);
    append_config_record("no record");
    append_config_record("{}");
    append_config_record(json{
        {"schema", 1},
        {"publish_id", "bad"},
        {"base", 1},
        {"document", R"({"schema": 1, "pools": 7})"},
        {"revision", 0}}.dump());
    append_config_record(json{
        {"schema", 1},
        {"publish_id", "future"},
        {"base", 1},
        {"document", R"({"schema": 99})"},
        {"revision", 0}}.dump());
    EXPECT_EQ(cluster_.publish_document(make_document(5)), 0);
    EXPECT_TRUE(is_active_on_all_nodes(make_document(5)));
}

// An instance is replaced while the log service is down. The new one cannot
// read the stream; it gets the document from its peers, and takes no requests
// before it has it.
TEST_F(config_failures_test,
       a_new_node_gets_the_document_from_peers_in_a_log_outage) {
    ASSERT_EQ(cluster_.publish_document(make_document(7)), 0);
    ASSERT_TRUE(is_active_on_all_nodes(make_document(7)));
    cluster_.send_request("log", "POST", "/v1/fault", R"({"outage": true})");
    cluster_.start_node("127.0.0.4", "z1");
    EXPECT_TRUE(cluster_.wait_until_ready());
    EXPECT_TRUE(is_active_on_all_nodes(make_document(7)));
    cluster_.send_request("log", "POST", "/v1/fault", R"({"outage": false})");
    EXPECT_EQ(cluster_.publish_document(make_document(8)), 0);
    EXPECT_TRUE(is_active_on_all_nodes(make_document(8)));
}

// A publish is accepted while a node is paused. When the node goes on, it must
// take the new document over, and must not bring the old one back to others.
TEST_F(config_failures_test, a_resumed_node_does_not_restore_an_old_document) {
    auto& paused = *cluster_.nodes()[1].daemon;
    paused.signal(SIGSTOP);
    EXPECT_EQ(cluster_.publish_document(make_document(3)), 0);
    pause_for(2000);
    paused.signal(SIGCONT);
    EXPECT_TRUE(is_active_on_all_nodes(make_document(3)));
}

} // namespace
} // namespace hibiscus::testing
