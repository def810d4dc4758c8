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

/// A cluster of three nodes with a document in force.
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

    /// Returns a valid document whose staleness bound is `bound`.
    static std::string make_document(int bound) {
        auto document = json::parse(failure_scenario_document);
        document["trainers"][0]["staleness_bound"] = bound;
        return document.dump();
    }

    /// Starts `hibiscusctl publish` with the document `text` and returns the
    /// running process.
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

    /// Returns the distinct documents that are in force on the nodes: one if
    /// all nodes agree.
    std::set<std::string> active_documents() {
        std::set<std::string> documents;
        for (const auto& entry : cluster_.entry_addresses()) {
            net::http_request request;
            request.target = "/v1/status";
            entry_client client({entry});
            const auto result = client.send_to(entry, request, 5000);
            const auto* response = std::get_if<net::http_response>(&result);
            const auto status =
                response != nullptr
                    ? json::parse(response->body, nullptr, false)
                    : json::object();
            documents.insert(status.value("document", ""));
        }
        return documents;
    }

    bool is_active_on_all_nodes(const std::string& text) {
        return eventually(
            [&] { return active_documents() == std::set<std::string>{text}; });
    }

    /// Appends a record to the config stream without hibiscusctl.
    void append_config_record(const std::string& data) {
        cluster_.send_request("log", "POST", "/v1/streams/config/records",
                              json{{"id", "raw"}, {"data", data}}.dump());
    }

    test_cluster cluster_;
};

// Two operators publish at the same time, both based on the same revision. If
// both publishes were accepted, the second would silently undo the change of
// the first.
TEST_F(config_failures_test, one_of_two_concurrent_publishes_is_accepted) {
    cluster_.send_request("log", "POST", "/v1/fault",
                          R"({"hold_stream": "config"})");
    auto first = start_publish("first", make_document(2));
    auto second = start_publish("second", make_document(3));
    // Both have read the revision in force when their appends are held.
    ASSERT_TRUE(eventually([&] {
        const auto counts = json::parse(
            cluster_.send_request("log", "GET", "/v1/counts"), nullptr, false);
        return counts.is_object() && counts.value("held", 0) == 2;
    }));
    cluster_.send_request("log", "POST", "/v1/fault", R"({"hold_stream": ""})");
    const auto first_exit = first->wait_for_exit(30000);
    const auto second_exit = second->wait_for_exit(30000);
    ASSERT_TRUE(first_exit == 0 || second_exit == 0)
        << first->output() << second->output();
    EXPECT_EQ(first_exit.value_or(-1) + second_exit.value_or(-1), 1)
        << first->output() << second->output();
    EXPECT_TRUE(is_active_on_all_nodes(make_document(first_exit == 0 ? 2 : 3)));
}

// The log service stores a publish but its response is lost. hibiscusctl must
// report the outcome, and its retry must not count as a second change.
TEST_F(config_failures_test, a_publish_with_lost_responses_is_accepted) {
    for (const int lost_count : {1, 3}) {
        cluster_.send_request("log", "POST", "/v1/fault",
                              json{{"lose_answers", lost_count}}.dump());
        EXPECT_EQ(cluster_.publish_document(make_document(10 + lost_count)), 0);
        EXPECT_TRUE(is_active_on_all_nodes(make_document(10 + lost_count)));
    }
}

// The stream contains records that hibiscusctl did not write: bytes that are
// not a record, a record with an invalid document, and one with an unknown
// schema. All nodes must skip the same records.
TEST_F(config_failures_test, invalid_records_are_ignored) {
    const auto initial_documents = active_documents();
    ASSERT_EQ(initial_documents.size(), 1U);
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

// A node starts during a log outage and cannot read the config stream. It must
// get the document from its peers, and must not accept requests before that.
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

// A publish is accepted while a node is paused. The resumed node must adopt the
// new document and must not make other nodes return to the old one.
TEST_F(config_failures_test, a_resumed_node_does_not_restore_an_old_document) {
    auto& paused_node = *cluster_.nodes()[1].daemon;
    paused_node.signal(SIGSTOP);
    EXPECT_EQ(cluster_.publish_document(make_document(3)), 0);
    pause_for(2000);
    paused_node.signal(SIGCONT);
    EXPECT_TRUE(is_active_on_all_nodes(make_document(3)));
}

} // namespace
} // namespace hibiscus::testing
