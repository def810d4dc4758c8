#include "entry/entry_harness.hpp"
#include "support/concat.hpp"
#include "support/raw_server.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace hibiscus::testing {

namespace {

/// A route to the servers, and the method of its requests.
struct request_kind {
    const char* target;
    const char* method;
    bool is_stream;
};

constexpr std::array<request_kind, 4> request_kinds{
    {{"/look/x", "GET", false},
     {"/once/x", "POST", false},
     {"/plain-stream/x", "POST", true},
     {"/stream/x", "POST", true}}};

const std::string signed_fields =
    "Request-Id: {id}\r\nResponse-Stamp: stamp\r\nWeight-Versions: 1\r\n"
    "Connection: close\r\n";
const std::string signed_ok = "HTTP/1.1 200 OK\r\n" + signed_fields;
const std::string events = "id: 1\ndata: part\n\n";

std::string with_length(const std::string& head, const std::string& body) {
    return head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Returns responses that no caller may get as complete.
std::vector<std::string> make_broken_responses() {
    std::vector<std::string> responses;
    for (const char* status : {"000", "099", "100", "101", "600", "999"}) {
        const auto head =
            "HTTP/1.1 " + std::string(status) + " Any\r\n" + signed_fields;
        responses.push_back(with_length(head, events));
        // Ends with its connection.
        responses.push_back(concat({head, "\r\n", events}));
    }
    for (const std::string line : {"X Name: v", "X\x01Name: v", "X-Name : v",
                                   "no colon", " folded", "X-Name: a\x02"}) {
        responses.push_back(with_length(signed_ok + line + "\r\n", events));
    }
    const std::string chunked_body = "\r\n2\r\nhi\r\n0\r\n\r\n";
    for (const std::string coding : {"gzip", "gzip, chunked", "identity"}) {
        responses.push_back(concat(
            {signed_ok, "Transfer-Encoding: ", coding, "\r\n", chunked_body}));
    }
    for (const std::string status : {"200", "400", "500"}) {
        responses.push_back(
            concat({"HTTP/1.1 ", status, " Any\r\n", signed_fields,
                    "Content-Length: 999999999999\r\n\r\n", events}));
    }
    return responses;
}

/// One node whose servers send what a test gives them.
class entry_broken_response_test : public ::testing::Test,
                                   protected entry_harness {
protected:
    void start() {
        // Uploads take long beside load, and only the node is to end a call.
        call_timeout_ms_ = 20000;
        register_servers(raw_.address());
        publish_configuration();
        start_node("n1");
        ASSERT_TRUE(wait_until_ready("n1"));
    }

    /// Registers all servers at `address`.
    void register_servers(const base::endpoint& address) {
        put_server("llm-0", "llm", true, *samplers_[0], address);
        put_server("llm-1", "llm", true, *samplers_[1], address);
        put_server("app-0", "app", false, lookup_server_, address);
    }

    void put_server(const std::string& id, const std::string& service,
                    bool is_sampler, fake_backend_server& server,
                    const base::endpoint& address) {
        auto registration =
            json::parse(server.make_registration(service, is_sampler));
        registration["address"] = to_string(address);
        store_.put("keyed.servers", id, registration.dump());
    }

    /// Sends a request until a server has got it.
    call_result call_server(const request_kind& kind,
                            const std::string& body = "") {
        call_result result;
        EXPECT_TRUE(run_until([&] {
            const auto before = answered_;
            result = call("n1", kind.method, kind.target,
                          {{"Request-Id", "r" + std::to_string(++requests_)},
                           {"Model", "m"}},
                          body);
            return answered_ > before || !nodes_.at("n1")->is_running();
        }));
        return result;
    }

    /// Checks that a caller of any kind gets a failure or, once a stream has
    /// begun, a cut response.
    void expect_failure(const raw_response& response, bool may_begin,
                        const std::string& body = "") {
        response_ = response;
        for (const auto& kind : request_kinds) {
            const auto result = call_server(kind, body);
            EXPECT_TRUE(result.status == 502 || result.status == 504 ||
                        (result.status == 0 && may_begin && kind.is_stream))
                << kind.target << " got " << result.status << " for "
                << response.bytes.substr(0, 200);
        }
        EXPECT_TRUE(nodes_.at("n1")->is_running()) << response.bytes;
    }

    void expect_success(const raw_response& response) {
        response_ = response;
        for (const auto& kind : request_kinds) {
            const auto result = call_server(kind);
            EXPECT_EQ(result.status, 200) << kind.target << response.bytes;
            EXPECT_EQ(result.body, events) << kind.target << response.bytes;
        }
    }

    /// Returns what the raw server sends: `response_`, but sound reports.
    raw_response respond(const std::string& head) {
        if (head.find(" /report ") != std::string::npos) {
            raw_response report;
            // The raw server answers one request for each connection.
            report.bytes =
                with_length("HTTP/1.1 200 OK\r\nConnection: close\r\n",
                            R"({"seq":0, "busy":false,
                            "models":[{"name":"m","version":1}]})");
            return report;
        }
        ++answered_;
        return response_;
    }

    raw_response response_;
    /// Number of requests that the raw server has got, without reports.
    int answered_ = 0;
    int requests_ = 0;
    raw_server raw_{io_,
                    [this](const std::string& head) { return respond(head); }};
};

// Guards against broken responses that reach callers as complete.
TEST_F(entry_broken_response_test, broken_responses_do_not_reach_callers) {
    start();
    for (const auto& bytes : make_broken_responses()) {
        for (const auto end : {connection_end::none, connection_end::shutdown,
                               connection_end::reset}) {
            raw_response response;
            response.bytes = bytes;
            response.end = end;
            // An early end would hide what the node makes of the bytes.
            response.end_delay_ms = 20;
            expect_failure(response, false);
        }
    }
}

// Guards against resets that are taken for the end of a response.
TEST_F(entry_broken_response_test, a_reset_during_an_upload_ends_no_response) {
    start();
    const std::string upload(12 * 1024 * 1024, 'x');
    for (const base::millis delay_ms : {20, 50, 400}) {
        raw_response response;
        response.bytes = concat({signed_ok, "\r\n", events});
        response.end = connection_end::reset;
        response.end_delay_ms = delay_ms;
        response.leaves_body_unread = true;
        expect_failure(response, true, upload);
    }
}

TEST_F(entry_broken_response_test, sound_responses_arrive_whole) {
    start();
    const std::string chunked_events =
        signed_ok + "Transfer-Encoding: chunked\r\n\r\n" + "12\r\n" + events +
        "\r\n0\r\nX-Trailer: t\r\n\r\n";
    const auto sized_events = with_length(signed_ok, events);
    for (const auto& bytes :
         {sized_events, chunked_events,
          "HTTP/1.1 100 Continue\r\n\r\n" + sized_events,
          "HTTP/1.1 103 Hints\r\nLink: </x>\r\n\r\n" + chunked_events}) {
        raw_response response;
        response.bytes = bytes;
        expect_success(response);
    }
    response_ = {};
    response_.bytes = signed_ok + "\r\n" + events;
    response_.end = connection_end::shutdown;
    // A resumable stream that ends with its connection may have been cut.
    for (std::size_t n = 0; n + 1 < request_kinds.size(); ++n) {
        const auto result = call_server(request_kinds[n]);
        EXPECT_EQ(result.status, 200);
        EXPECT_EQ(result.body, events);
    }
    response_ = {};
    response_.bytes = "HTTP/1.1 204 None\r\n" + signed_fields + "\r\n";
    EXPECT_EQ(call_server(request_kinds[0]).status, 204);
}

// Guards against broken responses to runs, and against an owner that ends.
TEST_F(entry_broken_response_test, runs_go_on_behind_broken_responses) {
    start();
    ASSERT_TRUE(run_until([&] { return !job_owner().empty(); }));
    const auto broken = make_broken_responses();
    response_.bytes = broken.front();
    ASSERT_TRUE(run_until([&] {
        return call("n1", "POST", "/batch/1", {{"Request-Id", "job1"}},
                    make_job_body("i"))
                   .status == 202;
    }));
    for (const auto& bytes : broken) {
        response_.bytes = bytes;
        const auto before = answered_;
        EXPECT_TRUE(run_until([&] {
            return answered_ > before || !nodes_.at("n1")->is_running();
        })) << bytes;
        ASSERT_TRUE(nodes_.at("n1")->is_running()) << bytes;
    }
    for (int n = 0; n < 2; ++n) {
        store_.put("keyed.servers", samplers_[n]->id(),
                   samplers_[n]->make_registration("llm", true));
    }
    store_.put("keyed.servers", "app-0",
               lookup_server_.make_registration("app", false));
    json results;
    EXPECT_TRUE(run_until([&] {
        const auto read = call("n1", "GET", "/lots/job1?after=0");
        results =
            read.status == 200 ? json::parse(read.body)["results"] : json();
        return results.size() == items_per_job;
    }));
    for (const auto& result : results) {
        const auto id = result.at("id").get<std::string>();
        EXPECT_EQ(result.at("state"), "succeeded") << id;
        EXPECT_EQ(result.at("text"),
                  fake_backend_server::expected_text(id, events_per_run));
        EXPECT_EQ(result.at("score"), "of-s" + id);
    }
}

// Guards against broken responses to reward calls that are taken for scores.
TEST_F(entry_broken_response_test, broken_responses_are_no_scores) {
    start();
    for (int n = 0; n < 2; ++n) {
        store_.put("keyed.servers", samplers_[n]->id(),
                   samplers_[n]->make_registration("llm", true));
    }
    ASSERT_TRUE(run_until([&] { return !job_owner().empty(); }));
    const auto broken = make_broken_responses();
    response_.bytes = broken.front();
    response_.end = connection_end::shutdown;
    ASSERT_TRUE(run_until([&] {
        return call("n1", "POST", "/batch/1", {{"Request-Id", "job1"}},
                    make_job_body("i"))
                   .status == 202;
    }));
    const auto read_results = [&] {
        const auto read = call("n1", "GET", "/lots/job1?after=0");
        return read.status == 200 ? json::parse(read.body)["results"] : json();
    };
    for (const auto& bytes : broken) {
        response_.bytes = bytes;
        const auto before = answered_;
        EXPECT_TRUE(run_until([&] {
            return answered_ > before || !nodes_.at("n1")->is_running();
        })) << bytes;
        ASSERT_TRUE(nodes_.at("n1")->is_running()) << bytes;
        EXPECT_TRUE(read_results().empty()) << bytes;
    }
    store_.put("keyed.servers", "app-0",
               lookup_server_.make_registration("app", false));
    json results;
    EXPECT_TRUE(run_until([&] {
        results = read_results();
        return results.size() == items_per_job;
    }));
    for (const auto& result : results) {
        EXPECT_EQ(result.at("score"),
                  "of-s" + result.at("id").get<std::string>());
    }
}

// Guards against a job that is accepted on the word of a broken response.
TEST_F(entry_broken_response_test,
       broken_responses_of_the_store_store_nothing) {
    constexpr int calls_per_response = 3;
    start_node("n1", raw_.address());
    for (const auto& bytes : make_broken_responses()) {
        response_.bytes = bytes;
        response_.end = connection_end::shutdown;
        const auto before = answered_;
        EXPECT_TRUE(run_until([&] {
            return answered_ >= before + calls_per_response;
        })) << bytes;
        const auto status = call("n1", "POST", "/batch/1",
                                 {{"Request-Id", "job1"}}, make_job_body("i"))
                                .status;
        EXPECT_TRUE(status == 503 || status == 504) << status << bytes;
        ASSERT_TRUE(nodes_.at("n1")->is_running()) << bytes;
    }
}

} // namespace

} // namespace hibiscus::testing
