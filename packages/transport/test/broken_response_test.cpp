#include "hibiscus/transport/upstream.hpp"
#include "support/concat.hpp"
#include "support/raw_server.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>

namespace hibiscus::transport {

namespace {

namespace asio = boost::asio;
using testing::concat;
using testing::connection_end;
using testing::raw_response;
using testing::raw_server;

/// What a caller of the client got.
struct received_response {
    int status = 0;
    headers fields;
    std::string body;
    std::optional<call_outcome> outcome;

    bool is_complete() const {
        return outcome == call_outcome::complete ||
               outcome == call_outcome::closed_without_length;
    }
};

std::string sized(const std::string& head, const std::string& body) {
    return head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

const std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n";

class broken_response_test : public ::testing::Test {
protected:
    /// Sends a request to a server that responds with `response`. Returns what
    /// was delivered.
    received_response call(raw_response response,
                           upstream_request request = {}) {
        raw_server server(io_,
                          [response](const std::string&) { return response; });
        auto result = std::make_shared<received_response>();
        request.fields.push_back({"Request-Id", "r"});
        upstream_callbacks callbacks;
        callbacks.on_head = [result](const response_head& head) {
            result->status = head.status;
            result->fields = head.fields;
        };
        callbacks.on_data = [result](std::string_view data) {
            result->body += data;
        };
        callbacks.on_end = [this, result](call_outcome outcome) {
            result->outcome = outcome;
            io_.stop();
        };
        upstream_call_options options;
        options.idle_timeout_ms = 10000;
        const auto handle =
            client_.start(server.address(), std::move(request), options,
                          std::move(callbacks), "Request-Id");
        io_.restart();
        io_.run_for(std::chrono::seconds(20));
        return *result;
    }

    received_response call(const std::string& bytes,
                           connection_end end = connection_end::none) {
        raw_response response;
        response.bytes = bytes;
        response.end = end;
        return call(std::move(response));
    }

    /// Checks that nothing of a response is delivered.
    void expect_broken(const std::string& bytes,
                       connection_end end = connection_end::none) {
        const auto result = call(bytes, end);
        EXPECT_EQ(result.outcome, call_outcome::broken) << bytes.substr(0, 300);
        EXPECT_EQ(result.status, 0) << bytes.substr(0, 300);
        EXPECT_EQ(result.body, "") << bytes.substr(0, 300);
    }

    asio::io_context io_{1};
    upstream_client client_{io_};
};

TEST_F(broken_response_test, sound_responses_arrive_whole_in_each_framing) {
    const std::string trailers = "0\r\nX-Trailer: t\r\n\r\n";
    for (const auto& bytes :
         {sized(ok, "hello"),
          sized("HTTP/1.0 200 OK\r\nRequest-Id: {id}\r\n", "hello"),
          concat({ok, "Transfer-Encoding: chunked\r\n\r\n",
                  "2\r\nhe\r\n3;x=y\r\nllo\r\n", trailers}),
          concat({ok, "Transfer-Encoding: Chunked\r\n\r\n", "5\r\nhello\r\n",
                  trailers})}) {
        const auto result = call(bytes);
        EXPECT_EQ(result.outcome, call_outcome::complete) << bytes;
        EXPECT_EQ(result.status, 200);
        EXPECT_EQ(result.body, "hello");
    }
    const auto closed = call(ok + "\r\nhello", connection_end::shutdown);
    EXPECT_EQ(closed.outcome, call_outcome::closed_without_length);
    EXPECT_EQ(closed.body, "hello");
    for (const char* status : {"204", "304"}) {
        const auto empty = call("HTTP/1.1 " + std::string(status) +
                                " None\r\nRequest-Id: {id}\r\n\r\n");
        EXPECT_EQ(empty.outcome, call_outcome::complete);
        EXPECT_EQ(empty.status, std::stoi(status));
    }
    upstream_request head_request;
    head_request.method = "HEAD";
    raw_response head_response;
    head_response.bytes = ok + "Content-Length: 999999999999\r\n\r\n";
    EXPECT_EQ(call(head_response, head_request).outcome,
              call_outcome::complete);
}

// Guards against lines that are no header fields.
TEST_F(broken_response_test, fields_with_bytes_that_names_do_not_have) {
    using namespace std::string_literals;
    for (const auto& line :
         {"X Name: v"s, "X\tName: v"s, "X\0Name: v"s, "X\x01Name: v"s,
          "X\x7fName: v"s, "X\x80Name: v"s, "X(Name: v"s, "X[Name]: v"s, ": v"s,
          "X-Name : v"s, "X-Name\t: v"s, "no colon"s, "X-Name: a\0b"s,
          "X-Name: a\x01"s + "b", "X-Name: a\x7f"s + "b", "X-Name: a\rb"s,
          "X-Name: a\nY: b"s}) {
        expect_broken(sized(ok + line + "\r\n", "hello"));
        expect_broken(
            sized("HTTP/1.1 200 OK\r\n" + line + "\r\nRequest-Id: {id}\r\n",
                  "hello"));
    }
}

// Guards against bodies whose end is not certain.
TEST_F(broken_response_test, framings_that_contradict_or_are_malformed) {
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n";
    for (const auto& bytes :
         {ok + "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
          ok + "Content-Length: 5, 4\r\n\r\nhello",
          ok + "Content-Length: -5\r\n\r\nhello",
          ok + "Content-Length: +5\r\n\r\nhello",
          ok + "Content-Length: 5x\r\n\r\nhello",
          ok + "Content-Length: \r\n\r\nhello",
          ok + "Content-Length: 99999999999999999999999\r\n\r\nhello",
          chunked + "Content-Length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
          ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
               "5\r\nhello\r\n0\r\n\r\n",
          std::string("HTTP/1.1 200 OK\nRequest-Id: {id}\n"
                      "Content-Length: 5\n\nhello"),
          std::string("HTTP/2.0 200 OK\r\nRequest-Id: {id}\r\n"
                      "Content-Length: 5\r\n\r\nhello"),
          std::string("HTTP/0.9 200 OK\r\nRequest-Id: {id}\r\n"
                      "Content-Length: 5\r\n\r\nhello"),
          std::string("HTTP/1.1 20 OK\r\nRequest-Id: {id}\r\n"
                      "Content-Length: 5\r\n\r\nhello"),
          std::string("HTTP/1.1 2000 OK\r\nRequest-Id: {id}\r\n"
                      "Content-Length: 5\r\n\r\nhello"),
          std::string("HTTP/1.1 2x0 OK\r\nRequest-Id: {id}\r\n"
                      "Content-Length: 5\r\n\r\nhello")}) {
        expect_broken(bytes, connection_end::shutdown);
    }
    for (const std::string chunk :
         {"g\r\nhello\r\n", "-5\r\nhello\r\n", "\r\nhello\r\n",
          "5\r\nhelloo\r\n0\r\n", "fffffffffffffffff\r\nhello\r\n",
          "5\nhello\n"}) {
        const auto result = call(concat({chunked, "\r\n", chunk, "0\r\n\r\n"}),
                                 connection_end::shutdown);
        EXPECT_EQ(result.outcome, call_outcome::broken) << chunk;
    }
}

// Guards against parts of a body that look like the whole.
TEST_F(broken_response_test, bodies_that_are_cut_are_incomplete) {
    for (const auto end : {connection_end::shutdown, connection_end::reset}) {
        for (const auto& bytes :
             {ok + "Content-Length: 9\r\n\r\nhello",
              ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nhello",
              ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
              ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"}) {
            EXPECT_EQ(call(bytes, end).outcome, call_outcome::broken) << bytes;
        }
    }
    raw_response cut;
    cut.bytes = ok + "\r\nhello";
    cut.end = connection_end::reset;
    cut.end_delay_ms = 20;
    EXPECT_FALSE(call(cut).is_complete());
}

// Guards against statuses that HTTP does not have.
TEST_F(broken_response_test, a_status_that_is_none_is_no_response) {
    for (const char* status :
         {"000", "001", "099", "100", "101", "150", "199", "600", "999"}) {
        const auto head = "HTTP/1.1 " + std::string(status) +
                          " Trouble\r\nRequest-Id: {id}\r\n";
        expect_broken(sized(head, "hello"), connection_end::shutdown);
        expect_broken(head + "\r\nhello", connection_end::shutdown);
        expect_broken(head + "Transfer-Encoding: chunked\r\n\r\n"
                             "5\r\nhello\r\n0\r\n\r\n",
                      connection_end::shutdown);
    }
}

TEST_F(broken_response_test, malformed_responses_are_counted) {
    call(sized(ok, "hello"));
    EXPECT_EQ(client_.counts().malformed_responses, 0U);
    call(sized("HTTP/1.1 000 Trouble\r\nRequest-Id: {id}\r\n", "hello"));
    EXPECT_EQ(client_.counts().malformed_responses, 1U);
}

// Guards against responses that are lost behind interim ones.
TEST_F(broken_response_test, interim_responses_are_skipped) {
    const std::string processing = "HTTP/1.1 102 Processing\r\n\r\n";
    const std::string hints = "HTTP/1.1 103 Early Hints\r\n"
                              "Request-Id: {id}\r\nLink: </x>\r\n\r\n";
    for (const auto& interim : {std::string("HTTP/1.1 100 Continue\r\n\r\n"),
                                hints, processing + hints}) {
        const auto result = call(interim + sized(ok, "hello"));
        EXPECT_EQ(result.outcome, call_outcome::complete) << interim;
        EXPECT_EQ(result.status, 200);
        EXPECT_EQ(result.body, "hello");
        EXPECT_EQ(find_header(result.fields, "Link"), nullptr);
        const auto closed =
            call(interim + ok + "\r\nhello", connection_end::shutdown);
        EXPECT_EQ(closed.outcome, call_outcome::closed_without_length);
        EXPECT_EQ(closed.body, "hello");
        for (const auto end :
             {connection_end::shutdown, connection_end::reset}) {
            expect_broken(interim, end);
            expect_broken(interim + "HTTP/1.1 20", end);
        }
    }
    expect_broken("HTTP/1.1 101 Switching\r\n\r\n" + sized(ok, "hello"));
    expect_broken(
        "HTTP/1.1 100 Continue\r\n\r\n" +
        sized("HTTP/1.1 000 Trouble\r\nRequest-Id: {id}\r\n", "hello"));
    raw_response endless;
    endless.bytes = processing;
    endless.endless_piece = [&](std::size_t) {
        return std::string(processing);
    };
    EXPECT_EQ(call(endless).outcome, call_outcome::broken);
}

upstream_request make_upload() {
    upstream_request request;
    request.method = "POST";
    request.body = std::string(12 * 1024 * 1024, 'x');
    return request;
}

/// Returns a response that ends with its connection, sent while the body of
/// the request is left unread.
raw_response make_early_response(connection_end end, base::millis delay_ms) {
    raw_response early;
    early.bytes = ok + "\r\nhello";
    early.end = end;
    early.end_delay_ms = delay_ms;
    early.leaves_body_unread = true;
    return early;
}

// Guards against a reset that is taken for the end of a body.
TEST_F(broken_response_test, a_reset_during_an_upload_ends_no_response) {
    for (const base::millis delay_ms : {0, 5, 20, 50, 100, 400}) {
        const auto result =
            call(make_early_response(connection_end::reset, delay_ms),
                 make_upload());
        EXPECT_EQ(result.outcome, call_outcome::broken) << delay_ms;
    }
}

// A server may respond, and end its side in order, before it has read a body.
TEST_F(broken_response_test, an_early_response_that_ends_in_order_is_complete) {
    for (const base::millis delay_ms : {0, 50}) {
        const auto result =
            call(make_early_response(connection_end::shutdown, delay_ms),
                 make_upload());
        EXPECT_EQ(result.outcome, call_outcome::closed_without_length);
        EXPECT_EQ(result.body, "hello");
    }
    auto early = make_early_response(connection_end::reset, 50);
    early.bytes = sized(ok, "hello");
    const auto result = call(early, make_upload());
    EXPECT_EQ(result.outcome, call_outcome::complete);
    EXPECT_EQ(result.body, "hello");
}

// Guards against lines that are taken for a part of the field before.
TEST_F(broken_response_test, a_folded_field_is_malformed) {
    for (const std::string fold : {" more", "\tmore", " ", " X-Name: v"}) {
        expect_broken(
            sized(concat({ok, "X-Name: v\r\n", fold, "\r\n"}), "hello"));
        expect_broken(sized(concat({ok, fold, "\r\n"}), "hello"));
        expect_broken(sized(
            concat({"HTTP/1.1 200 OK\r\n", fold, "\r\nRequest-Id: {id}\r\n"}),
            "hello"));
        expect_broken(sized(concat({ok, "Transfer-Encoding: chunked\r\n", fold,
                                    "\r\nX-Name: v\r\n"}),
                            "hello"));
    }
}

// Guards against coded bytes that are taken for the body.
TEST_F(broken_response_test, a_transfer_coding_other_than_chunked_is_broken) {
    const std::string body = "\r\n5\r\nhello\r\n0\r\n\r\n";
    for (const std::string codings :
         {"Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked",
          "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: identity",
          "Transfer-Encoding: identity, chunked", "Transfer-Encoding: xchunked",
          "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: chunked,",
          "Transfer-Encoding:", "Transfer-Encoding: \"chunked\"",
          "Transfer-Encoding: chunked;q=1",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
          "Transfer-Encoding: gzip\r\nContent-Length: 15",
          "Content-Length: 15\r\nTransfer-Encoding: gzip"}) {
        expect_broken(concat({ok, codings, "\r\n", body}),
                      connection_end::shutdown);
    }
    expect_broken("HTTP/1.0 200 OK\r\nRequest-Id: {id}\r\n"
                  "Transfer-Encoding: chunked\r\n" +
                      body,
                  connection_end::shutdown);
}

// Guards against memory for lengths that a server only names.
TEST_F(broken_response_test, a_length_over_the_limit_is_broken) {
    const std::string part(1000, 'x');
    for (const char* length : {"67108865", "1073741824", "999999999999",
                               "9223372036854775807", "18446744073709551615"}) {
        const auto fields = concat(
            {"Request-Id: {id}\r\nContent-Length: ", length, "\r\n\r\n"});
        for (const std::string status : {"200", "400", "500"}) {
            const auto head = concat({"HTTP/1.1 ", status, " Any\r\n", fields});
            expect_broken(head);
            expect_broken(head + part);
        }
        const auto chunked = call(concat(
            {ok, "Transfer-Encoding: chunked\r\n\r\nffffffffffff\r\n", part}));
        EXPECT_EQ(chunked.outcome, call_outcome::broken);
    }
}

} // namespace

} // namespace hibiscus::transport
