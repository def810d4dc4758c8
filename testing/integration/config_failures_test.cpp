#include "support/failure_run.hpp"

#include "hibiscus/wire/codec.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <memory>
#include <set>

namespace hibiscus::testing {

extern std::string programs; // NOLINT

namespace {

using nlohmann::json;

/// Three nodes with a document in force.
class config_failures_test : public ::testing::Test {
protected:
    config_failures_test() : system_(programs) {}

    void SetUp() override {
        system_.start_platform();
        for (const char* zone : {"1", "2", "3"}) {
            system_.start_node(std::string("127.0.0.") + zone,
                               std::string("z") + zone);
        }
        ASSERT_EQ(system_.publish(failure_document), 0);
        ASSERT_TRUE(system_.wait_ready());
    }

    /// Returns a valid document that differs by `bound`.
    static std::string document(int bound) {
        auto d = json::parse(failure_document);
        d["trainers"][0]["staleness_bound"] = bound;
        return d.dump();
    }

    /// Starts a publish and returns it while it runs.
    std::unique_ptr<process> start_publish(const std::string& name,
                                           const std::string& text) {
        std::ofstream(system_.path(name + ".json")) << text;
        return std::make_unique<process>(
            std::vector<std::string>{
                programs + "/packages/ctl/hibiscusctl",
                "--log=" + base::to_string(system_.address("log")), "publish",
                system_.path(name + ".json")},
            system_.path(name + ".out"));
    }

    /// Returns the documents that the nodes have in force; one if they agree.
    std::set<std::string> documents() {
        std::set<std::string> found;
        for (const auto& entry : system_.entries()) {
            net::http_request request;
            request.target = "/v1/status";
            caller c({entry});
            const auto result = c.send_to(entry, request, 5000);
            const auto* answer = std::get_if<net::http_response>(&result);
            const auto status = answer != nullptr
                                    ? json::parse(answer->body, nullptr, false)
                                    : json::object();
            found.insert(status.value("document", ""));
        }
        return found;
    }

    bool everywhere(const std::string& text) {
        return eventually(
            [&] { return documents() == std::set<std::string>{text}; });
    }

    /// Appends a record to the config stream, past hibiscusctl.
    void append(const std::string& data) {
        system_.ask("log", "POST", "/v1/streams/config/records",
                    json{{"id", "raw"}, {"data", data}}.dump());
    }

    system system_;
};

// Two operators press publish at the same moment. Both build on the revision
// that they saw; if both were accepted, the first one's change would be gone
// without anybody noticing.
TEST_F(config_failures_test, of_two_racing_publishes_one_is_accepted) {
    system_.ask("log", "POST", "/v1/fault", R"({"hold_stream": "config"})");
    auto first = start_publish("first", document(2));
    auto second = start_publish("second", document(3));
    // Both have read the revision in force by the time they append.
    ASSERT_TRUE(eventually([&] {
        const auto counts = json::parse(system_.ask("log", "GET", "/v1/counts"),
                                        nullptr, false);
        return counts.is_object() && counts.value("held", 0) == 2;
    }));
    system_.ask("log", "POST", "/v1/fault", R"({"hold_stream": ""})");
    const auto one = first->wait(30000);
    const auto two = second->wait(30000);
    ASSERT_TRUE(one == 0 || two == 0) << first->output() << second->output();
    EXPECT_EQ(one.value_or(-1) + two.value_or(-1), 1)
        << first->output() << second->output();
    EXPECT_TRUE(everywhere(document(one == 0 ? 2 : 3)));
}

// The log service takes a publish but its answer is lost. The operator must
// hear what became of it, and sending it again must not count as a second
// change.
TEST_F(config_failures_test, a_publish_whose_answers_were_lost_is_accepted) {
    for (const int lost : {1, 3}) {
        system_.ask("log", "POST", "/v1/fault",
                    json{{"lose_answers", lost}}.dump());
        EXPECT_EQ(system_.publish(document(10 + lost)), 0);
        EXPECT_TRUE(everywhere(document(10 + lost)));
    }
}

// Something else than hibiscusctl has written to the stream: bytes that are
// no record, a record with a document that is wrong, and one by a program of
// the future. All nodes must pass over them alike and go on.
TEST_F(config_failures_test, bad_records_in_the_stream_change_nothing) {
    const auto before = documents();
    ASSERT_EQ(before.size(), 1U);
    append("no record");
    append("{}");
    append(json{
        {"schema", 1},
        {"publish_id", "bad"},
        {"base", 1},
        {"document", R"({"schema": 1, "pools": 7})"},
        {"revision",
         0}}.dump());
    append(json{
        {"schema", 1},
        {"publish_id", "future"},
        {"base", 1},
        {"document", R"({"schema": 99})"},
        {"revision",
         0}}.dump());
    EXPECT_EQ(system_.publish(document(5)), 0);
    EXPECT_TRUE(everywhere(document(5)));
}

// An instance is replaced while the log service is down. The new one cannot
// read the stream; it gets the document from its peers, and takes no requests
// before it has it.
TEST_F(config_failures_test, a_fresh_node_in_a_log_outage_asks_its_peers) {
    ASSERT_EQ(system_.publish(document(7)), 0);
    ASSERT_TRUE(everywhere(document(7)));
    system_.ask("log", "POST", "/v1/fault", R"({"outage": true})");
    system_.start_node("127.0.0.4", "z1");
    EXPECT_TRUE(system_.wait_ready());
    EXPECT_TRUE(everywhere(document(7)));
    system_.ask("log", "POST", "/v1/fault", R"({"outage": false})");
    EXPECT_EQ(system_.publish(document(8)), 0);
    EXPECT_TRUE(everywhere(document(8)));
}

// A publish is accepted while a node is paused. When the node goes on, it must
// take the new document over, and must not bring the old one back to others.
TEST_F(config_failures_test, a_paused_node_does_not_bring_back_the_old) {
    auto& paused = *system_.nodes()[1].running;
    paused.signal(SIGSTOP);
    EXPECT_EQ(system_.publish(document(3)), 0);
    pause_for(2000);
    paused.signal(SIGCONT);
    EXPECT_TRUE(everywhere(document(3)));
}

} // namespace
} // namespace hibiscus::testing
