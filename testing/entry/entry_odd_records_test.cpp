#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace hibiscus::testing {

namespace {

/// Deeper than the stack of a thread bears if each level takes a stack frame.
constexpr std::size_t nested_levels = 300000;

/// The header of a CBOR array with one element.
constexpr char cbor_array_of_one = '\x81';

std::string nested_json() {
    return std::string(nested_levels, '[') + std::string(nested_levels, ']');
}

std::string nested_cbor() {
    return std::string(nested_levels, cbor_array_of_one) + '\x01';
}

/// Nodes in front of a store and servers that another program also writes to.
class entry_odd_records_test : public ::testing::Test, protected entry_harness {
protected:
    void start_and_wait(const std::string& name) {
        start_node(name);
        ASSERT_TRUE(wait_until_ready(name));
    }

    void put_in_all_topics(const std::string& value) {
        for (const auto* topic :
             {"keyed.servers", "keyed.op", "keyed.journal", "keyed.nodes",
              "keyed.fleet", "keyed.usage"}) {
            store_.put(topic, "odd", value);
        }
        store_.put("keyed.op", "version/odd", value);
        store_.put("keyed.journal", "odd/h", value);
        store_.put("keyed.journal", "odd/l/000000", value);
        store_.put("keyed.journal", "!losses/odd", value);
    }

    bool finish_job(const std::string& node, const std::string& job) {
        return call(node, "POST", "/batch/1", {{"Request-Id", job}},
                    make_job_body(job))
                       .status == 202 &&
               run_until([&] {
                   const auto response =
                       call(node, "GET", "/lots/" + job + "?after=0",
                            {{"Wait-Ms", "200"}});
                   return response.status == 200 &&
                          json::parse(response.body).at("results").size() ==
                              items_per_job;
               });
    }

    /// Returns the registration of a server that can't be reached.
    static std::string make_registration(const std::string& service,
                                         const char* member,
                                         const char* number) {
        json registration{{"service", service},
                          {"address", "127.0.0.1:1"},
                          {"zone", "z"},
                          {"version", "v1"},
                          {"slots", 4},
                          {"state", "ready"},
                          {"coldLeftMs", 0},
                          {"seq", 1},
                          {"born", 1},
                          {"models", {{{"name", "m"}, {"version", 1}}}}};
        const std::string placeholder = "number";
        registration[member] = placeholder;
        auto text = registration.dump();
        text.replace(text.find('"' + placeholder + '"'), placeholder.size() + 2,
                     number);
        return text;
    }
};

// Guards against nodes that end when they read a deeply nested record.
TEST_F(entry_odd_records_test, nested_records_end_no_node) {
    store_.put("keyed.op", "config", configuration_json);
    start_and_wait("n1");
    for (const auto& value : {nested_json(), nested_cbor()}) {
        put_in_all_topics(value);
    }
    EXPECT_TRUE(finish_job("n1", "a"));
    start_and_wait("n2");
    EXPECT_TRUE(finish_job("n2", "b"));
    EXPECT_TRUE(nodes_.at("n1")->is_running());
}

// Guards against nodes that end when a client sends a deeply nested job.
TEST_F(entry_odd_records_test, a_nested_job_is_refused) {
    store_.put("keyed.op", "config", configuration_json);
    start_and_wait("n1");
    auto body = make_job_body("c");
    const std::string model = R"("Model":"m")";
    body.replace(body.find(model), model.size(),
                 R"("Model":"m","X-Odd":)" + nested_json());
    EXPECT_EQ(
        call("n1", "POST", "/batch/1", {{"Request-Id", "c"}}, body).status,
        400);
    EXPECT_TRUE(finish_job("n1", "d"));
}

// Guards against nodes that count places of a server that can't have them.
TEST_F(entry_odd_records_test, numbers_out_of_range_take_no_server_away) {
    store_.put("keyed.op", "config", configuration_json);
    start_and_wait("n1");
    int job = 0;
    for (const auto* member : {"slots", "seq", "born"}) {
        for (const auto* number :
             {"2147483647", "-2147483648", "1e300", "-1e300",
              "9223372036854775807", "99999999999999999999"}) {
            for (const auto* service : {"llm", "app"}) {
                store_.put("keyed.servers", service + std::string("-odd"),
                           make_registration(service, member, number));
            }
            EXPECT_TRUE(finish_job("n1", "j" + std::to_string(++job)))
                << member << " " << number;
        }
    }
    start_and_wait("n2");
    EXPECT_TRUE(finish_job("n2", "b"));
}

} // namespace

} // namespace hibiscus::testing
