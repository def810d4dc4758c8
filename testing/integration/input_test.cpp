#include "integration/traffic_fixture.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <fstream>
#include <limits>

namespace hibiscus::testing {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// A node that receives malformed and oversized input.
class input_test : public traffic_test {
protected:
    void SetUp() override {
        cluster_.start_platform();
        start_nodes(1);
        service_ = cluster_.start_service("ledger", "z1");
        publish_and_wait_until_ready();
    }

    /// Opens a connection to `target` and sends `bytes` unchanged.
    tcp::socket connect_and_send(const base::endpoint& target,
                                 const std::string& bytes) {
        tcp::socket socket(io_);
        socket.connect({asio::ip::make_address(target.ip), target.port});
        boost::system::error_code ignored_error;
        asio::write(socket, asio::buffer(bytes), ignored_error);
        return socket;
    }

    /// Sends a request with `body` and returns the status of the response, or 0
    /// if there was none.
    int status_of(const std::string& method, const std::string& target,
                  const std::string& body,
                  const std::string& type = "application/json") {
        net::http_request request{method, target, body, type};
        const auto result =
            client_.send_to(cluster_.nodes()[0].caller_address, request, 20000);
        const auto* response = std::get_if<net::http_response>(&result);
        return response != nullptr ? response->status : 0;
    }

    /// Returns the resident memory of the node in KiB.
    long resident_kib() {
        const auto pid = std::to_string(cluster_.nodes()[0].daemon->pid());
        std::ifstream in("/proc/" + pid + "/status");
        std::string field;
        long kib = 0;
        while (in >> field) {
            if (field == "VmRSS:") {
                in >> kib;
            }
        }
        return kib;
    }

    /// Expects that the node is still running and serves a request;
    /// `preceding_input` is printed on failure.
    void expect_serving(const std::string& preceding_input) {
        const auto key = "after-" + std::to_string(++counter_);
        const auto response = send_request(0, make_request(key, true, 10000));
        ASSERT_TRUE(response.has_value()) << preceding_input;
        EXPECT_EQ(response->result, wire::outcome::completed)
            << preceding_input;
        EXPECT_TRUE(cluster_.nodes()[0].daemon->is_running())
            << preceding_input;
    }

    asio::io_context io_;
    std::string service_;
    int counter_ = 0;
};

std::string make_garbage(std::size_t size) {
    std::string bytes;
    unsigned generator_state = 7;
    for (std::size_t i = 0; i < size; ++i) {
        generator_state = generator_state * 1664525U + 1013904223U;
        bytes.push_back(static_cast<char>(generator_state >> 24U));
    }
    return bytes;
}

std::string make_post_request(const std::string& headers,
                              const std::string& body) {
    return "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
           "Content-Type: application/json\r\n" +
           headers + "\r\n" + body;
}

// Clients connect to the ports for callers and for peers and send bytes that
// are not valid requests. The process must keep serving other requests.
TEST_F(input_test, malformed_input_does_not_disturb_other_requests) {
    const auto& node = cluster_.nodes()[0];
    const std::string upgrade =
        "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
        "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    const std::vector<std::string> inputs = {
        make_garbage(100000),
        make_post_request("Content-Length: 10\r\n", "{"),
        make_post_request("Content-Length: 99999999999999\r\n", "{}"),
        make_post_request("Content-Length: -1\r\n", "{}"),
        make_post_request("Transfer-Encoding: chunked\r\n",
                          "FFFFFFFFFFFFFFFF\r\nx"),
        "GET /" + std::string(100000, 'a') + " HTTP/1.1\r\n\r\n",
        upgrade + make_garbage(5000),
        // A masked frame with an announced length of 2^62 bytes, and a text
        // frame.
        upgrade + std::string("\x82\xff\x40\0\0\0\0\0\0\0abcd", 14),
        upgrade + std::string("\x81\x81\0\0\0\0x", 7),
    };
    std::vector<tcp::socket> open_sockets;
    for (std::size_t i = 0; i < inputs.size(); ++i) {
        open_sockets.push_back(
            connect_and_send(node.caller_address, inputs[i]));
        open_sockets.push_back(connect_and_send(node.peer_address, inputs[i]));
        expect_serving("input " + std::to_string(i));
    }
}

// Valid HTTP requests that the API does not accept get a specific 4xx status,
// and the next request on the same connection is served.
TEST_F(input_test, invalid_requests_get_a_specific_4xx) {
    const std::string deeply_nested = std::string(100000, '[');
    EXPECT_EQ(status_of("POST", "/v1/requests", deeply_nested), 400);
    EXPECT_EQ(status_of("POST", "/v1/requests", "{\"id\":7}"), 400);
    EXPECT_EQ(status_of("POST", "/v1/requests", "{\"id\":\"a\""), 400);
    EXPECT_EQ(status_of("POST", "/v1/requests", "{}", "text/plain"), 415);
    EXPECT_EQ(status_of("PUT", "/v1/requests", "{}"), 405);
    EXPECT_EQ(status_of("DELETE", "/v1/trainers/t/steps/1", "{}"), 405);
    EXPECT_EQ(status_of("POST", "/v2/requests", "{}"), 404);
    EXPECT_EQ(status_of("PUT", "/v1/trainers/t/steps/-1", "{}"), 404);
    EXPECT_EQ(
        status_of("PUT", "/v1/trainers/t/steps/99999999999999999999", "{}"),
        404);
    auto max_deadline_request = make_request("absurd", true);
    max_deadline_request.deadline_ms = std::numeric_limits<base::millis>::max();
    EXPECT_EQ(
        status_of("POST", "/v1/requests", wire::to_json(max_deadline_request)),
        400);
    EXPECT_EQ(status_of("POST", "/v1/requests",
                        R"({"id":"a","service":"ledger","idempotent":true,
                            "deadline_ms":1e300,"created_ms":-5})"),
              400);
    EXPECT_EQ(status_of("PUT", "/v1/trainers/tagger/steps/1",
                        R"({"version":0,"groups":[{"prompt":"p",
                            "samples":4294967295,"max_tokens":1}]})"),
              400);
    EXPECT_EQ(status_of("POST", "/v1/trainers/tagger/steps/1/pull",
                        R"({"pull":1,"version":0,"wait_ms":-1})"),
              400);
    EXPECT_EQ(
        status_of("POST", "/v1/requests", std::string(5 * 1024 * 1024, ' ')),
        413);
    expect_serving("invalid requests");
}

// One sync is sent 20 times and one pull 50 times. The sync must run once, and
// every pull must get a response.
TEST_F(input_test, a_repeated_sync_runs_once_and_repeated_pulls_get_responses) {
    const auto sync = make_request("sync-1", false, 10000);
    for (int i = 0; i < 20; ++i) {
        const auto response = send_request(0, sync);
        ASSERT_TRUE(response.has_value());
        EXPECT_EQ(response->result, wire::outcome::completed);
    }
    EXPECT_EQ(run_count(service_, "sync-1"), 1);
    for (int i = 0; i < 50; ++i) {
        EXPECT_NE(status_of("POST", "/v1/trainers/tagger/steps/9/pull",
                            R"({"pull":1,"version":0,"wait_ms":0})"),
                  0);
    }
    expect_serving("repeated pulls");
}

// Many clients announce long bodies and send only a part of each. Every body is
// within the limit for one request; together they would exhaust the memory.
TEST_F(input_test, unfinished_bodies_keep_memory_bounded) {
    const auto& node = cluster_.nodes()[0];
    const std::string partial_body(3 * 1024 * 1024, ' ');
    constexpr std::size_t client_count = 150;
    std::vector<tcp::socket> open_sockets;
    open_sockets.reserve(client_count);
    for (std::size_t i = 0; i < client_count; ++i) {
        open_sockets.push_back(connect_and_send(
            node.caller_address,
            make_post_request("Content-Length: 4000000\r\n", partial_body)));
    }
    expect_serving("unfinished bodies");
    // At most 128 MiB are buffered in total, in addition to the memory that the
    // process itself needs.
    EXPECT_LT(resident_kib(), 300 * 1024);
}

} // namespace
} // namespace hibiscus::testing
