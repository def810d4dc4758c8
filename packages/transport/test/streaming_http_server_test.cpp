#include "hibiscus/transport/streaming_http_server.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <sys/resource.h>

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace hibiscus::transport {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

const std::string request = "POST /a HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
                            "Content-Length: 2\r\n\r\nhi";

/// A request that needs several reads.
const std::string long_request = "POST /b HTTP/1.1\r\nHost: h\r\n"
                                 "Content-Length: 4000\r\n\r\n" +
                                 std::string(4000, 'x');

class streaming_http_server_test : public testing::Test {
protected:
    streaming_http_server_test()
        : server_(io_, {},
                  [this](auto request, auto writer) {
                      requests_.push_back(std::move(request));
                      responses_.push_back(std::move(writer));
                      if (handler_) {
                          handler_();
                      }
                  },
                  {"Id",
                   [this](const auto& aborted) {
                       aborted_requests_.push_back(aborted);
                   },
                   [this](const auto& rejected) {
                       rejected_requests_.push_back(rejected);
                   }}) {
        const auto address = server_.listen({"127.0.0.1", 0});
        socket_.connect(
            tcp::endpoint(asio::ip::address_v4::loopback(), address->port));
    }

    void send(const std::string& text) {
        asio::write(socket_, asio::buffer(text));
    }

    /// Runs the I/O context until `condition` is true. Fails the test if it is
    /// still false after 20 s.
    template <class Condition>
    void run_until(Condition condition) {
        for (int n = 0; n < 2000 && !condition(); ++n) {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(10));
        }
        EXPECT_TRUE(condition());
    }

    void run_for(base::millis duration_ms) {
        io_.restart();
        io_.run_for(std::chrono::milliseconds(duration_ms));
    }

    /// Runs all ready handlers without waiting.
    void poll() {
        io_.restart();
        io_.poll();
    }

    /// Sends a request and completes the response to it.
    void complete_first_request() {
        send(request);
        run_until([&] { return !responses_.empty(); });
        responses_[0]->send({200, {}, "first"});
        expect_received("first");
        run_until([&] { return server_.requests_in_flight() == 0; });
    }

    /// Blocks the thread for longer than the interval of timeout checks, plus
    /// `extra_ms`.
    static void block_past_timeout_check(base::millis extra_ms = 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(600 + extra_ms));
    }

    /// Returns true if the server has closed the connection, and stores the
    /// error in `close_error_`. There must be no unread data.
    bool is_closed() {
        char byte = 0;
        socket_.non_blocking(true);
        socket_.read_some(asio::buffer(&byte, 1), close_error_);
        return close_error_ && close_error_ != asio::error::would_block;
    }

    /// Reads until the received data contains `text`.
    void expect_received(const std::string& text) {
        run_until([&] {
            if (socket_.available() > 0) {
                std::vector<char> bytes(socket_.available());
                asio::read(socket_, asio::buffer(bytes));
                received_.append(bytes.begin(), bytes.end());
            }
            return received_.find(text) != std::string::npos;
        });
    }

    asio::io_context io_{1};
    std::vector<inbound_request> requests_;
    std::vector<std::shared_ptr<response_writer>> responses_;
    std::vector<aborted_request> aborted_requests_;
    std::vector<rejected_request> rejected_requests_;
    std::function<void()> handler_;
    streaming_http_server server_;
    tcp::socket socket_{io_};
    std::string received_;
    boost::system::error_code close_error_;
};

TEST_F(streaming_http_server_test, receives_a_request_and_sends_a_response) {
    send(request);
    run_until([&] { return !responses_.empty(); });
    EXPECT_EQ(requests_[0].body, "hi");
    responses_[0]->send({200, {{"X", "y"}}, "ok"});
    expect_received("X: y\r\nContent-Length: 2\r\n\r\nok");
}

TEST_F(streaming_http_server_test,
       sends_a_chunked_response_and_keeps_the_connection_open) {
    send(request + request);
    run_until([&] { return !responses_.empty(); });
    responses_[0]->send_head(200, {});
    responses_[0]->write("abc");
    responses_[0]->finish();
    expect_received("3\r\nabc\r\n0\r\n\r\n");
    run_until([&] { return responses_.size() == 2; });
    responses_[1]->send({204, {}, ""});
    expect_received("204");
}

TEST_F(streaming_http_server_test, reports_a_disconnected_caller) {
    // A caller closes its connection before the response. The handler must be
    // notified, or the request would keep running at a backend server although
    // nobody waits for the response.
    bool disconnected = false;
    handler_ = [&] {
        responses_.back()->on_disconnect([&] { disconnected = true; });
    };
    send(request);
    run_until([&] { return !responses_.empty(); });
    EXPECT_FALSE(disconnected);
    socket_.close();
    run_until([&] { return disconnected; });
    responses_[0]->send({200, {}, "late"});
    EXPECT_EQ(server_.requests_in_flight(), 0U);
}

TEST_F(streaming_http_server_test,
       announces_the_close_in_responses_while_draining) {
    send(request);
    run_until([&] { return !responses_.empty(); });
    server_.drain();
    responses_[0]->send({200, {}, "ok"});
    expect_received("Connection: close");
    expect_received("ok");
}

// A request arrives on an idle connection while the thread is busy. Closing
// must not treat the connection as still idle.
TEST_F(streaming_http_server_test,
       closing_answers_a_request_unread_on_an_idle_connection) {
    complete_first_request();
    send(long_request);
    server_.close();
    block_past_timeout_check();
    run_until([&] { return responses_.size() == 2 || is_closed(); });
    ASSERT_EQ(responses_.size(), 2U) << close_error_.message();
    responses_[1]->send({200, {}, "second"});
    expect_received("second");
}

// A read that completes immediately runs its completion handler only after the
// timeout check, which must not close the connection.
TEST_F(streaming_http_server_test,
       closing_answers_a_request_unread_on_a_new_connection) {
    poll();
    server_.close();
    send(long_request);
    block_past_timeout_check();
    run_until([&] { return !responses_.empty() || is_closed(); });
    ASSERT_FALSE(responses_.empty()) << close_error_.message();
    responses_[0]->send({200, {}, "ok"});
    expect_received("ok");
}

// Closing cancels the pending read to find out whether a request has begun to
// arrive. The part that was already read must not be lost.
TEST_F(streaming_http_server_test,
       a_partly_read_request_survives_the_cancelled_read) {
    const std::string chunked = "POST /c HTTP/1.1\r\nHost: h\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "5\r\nhello\r\n3\r\nabc\r\n0\r\n\r\n";
    complete_first_request();
    for (std::size_t offset = 0; offset < chunked.size(); ++offset) {
        send(chunked.substr(offset, 1));
        poll();
        if (offset == 0) {
            server_.close();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        poll();
    }
    run_until([&] { return responses_.size() == 2 || is_closed(); });
    ASSERT_EQ(responses_.size(), 2U) << close_error_.message();
    EXPECT_EQ(requests_[1].body, "helloabc");
}

// The response to the first request was started before draining and did not
// announce the close, so the caller expects a response to its second request.
TEST_F(streaming_http_server_test,
       draining_answers_a_request_pipelined_behind_a_started_response) {
    send(request + request);
    run_until([&] { return !responses_.empty(); });
    responses_[0]->send_head(200, {});
    responses_[0]->write("first");
    expect_received("first");
    server_.drain();
    responses_[0]->finish();
    run_until([&] { return responses_.size() == 2 || is_closed(); });
    ASSERT_EQ(responses_.size(), 2U) << close_error_.message();
    responses_[1]->send({200, {}, "second"});
    expect_received("second");
    expect_received("Connection: close");
}

// A request arrives just before the idle timeout of its connection expires and
// must be answered.
TEST_F(streaming_http_server_test,
       a_request_received_just_before_the_idle_timeout_is_answered) {
    constexpr base::millis idle_ms = 1000;
    server_.set_limits({16 * 1024, 1024 * 1024, 3000, idle_ms});
    complete_first_request();
    send(long_request);
    block_past_timeout_check(idle_ms);
    run_until([&] { return responses_.size() == 2 || is_closed(); });
    ASSERT_EQ(responses_.size(), 2U) << close_error_.message();
    responses_[1]->send({200, {}, "second"});
    expect_received("second");
}

// The idle timeout expires while the rest of a request has arrived but is not
// yet read.
TEST_F(streaming_http_server_test,
       a_request_unread_at_the_idle_timeout_is_answered) {
    constexpr base::millis idle_ms = 2000;
    server_.set_limits({16 * 1024, 1024 * 1024, 3000, idle_ms});
    send(long_request.substr(0, 100));
    run_for(idle_ms + 1000);
    ASSERT_FALSE(is_closed());
    send(long_request.substr(100));
    block_past_timeout_check(idle_ms);
    run_until([&] { return !responses_.empty() || is_closed(); });
    ASSERT_FALSE(responses_.empty()) << close_error_.message();
}

// A caller that stops in the middle of a request must not occupy a connection.
TEST_F(streaming_http_server_test, an_incomplete_request_times_out) {
    server_.set_limits({16 * 1024, 1024 * 1024, 3000, 100});
    send(long_request.substr(0, 1000));
    run_until([&] { return is_closed(); });
    EXPECT_TRUE(requests_.empty());
}

TEST_F(streaming_http_server_test, closing_closes_idle_connections) {
    send(request);
    run_until([&] { return !responses_.empty(); });
    responses_[0]->send({200, {}, "ok"});
    expect_received("ok");
    server_.drain();
    server_.close();
    EXPECT_FALSE(server_.is_closed());
    run_until([&] { return is_closed() && server_.is_closed(); });
}

// Closing the listening socket resets connections in the accept queue, whose
// callers may already have sent requests.
TEST_F(streaming_http_server_test,
       closing_serves_connections_in_the_accept_queue) {
    send(request);
    server_.drain();
    server_.close();
    run_until([&] { return !responses_.empty() || is_closed(); });
    ASSERT_FALSE(responses_.empty()) << close_error_.message();
    EXPECT_FALSE(server_.is_closed());
    responses_[0]->send({200, {}, "ok"});
    expect_received("ok");
    socket_.close();
    run_until([&] { return server_.is_closed(); });
}

TEST_F(streaming_http_server_test,
       closing_waits_for_the_first_request_on_a_new_connection) {
    server_.close();
    io_.restart();
    io_.poll();
    send(request);
    run_until([&] { return !responses_.empty() || is_closed(); });
    ASSERT_FALSE(responses_.empty()) << close_error_.message();
    responses_[0]->send({200, {}, "ok"});
    expect_received("ok");
}

// A server that must stop before its handlers have responded must not close
// connections without a response.
TEST_F(streaming_http_server_test,
       fail_open_requests_answers_requests_in_flight) {
    bool notified = false;
    handler_ = [&] {
        responses_.back()->on_disconnect([&] { notified = true; });
    };
    send(request);
    run_until([&] { return !responses_.empty(); });
    server_.fail_open_requests(504);
    EXPECT_TRUE(notified);
    EXPECT_EQ(aborted_requests_.size(), 1U);
    responses_[0]->send({200, {}, "late"});
    expect_received("504 Gateway Timeout\r\nConnection: close");
    EXPECT_EQ(received_.find("late"), std::string::npos);
}

TEST_F(streaming_http_server_test,
       fail_open_requests_skips_completed_responses) {
    send(request);
    run_until([&] { return !responses_.empty(); });
    responses_[0]->send({200, {}, "complete"});
    server_.fail_open_requests(504);
    EXPECT_TRUE(aborted_requests_.empty());
    expect_received("complete");
    EXPECT_EQ(received_.find("504"), std::string::npos);
}

// Invalid or oversized input after a request must not prevent the response to
// the request.
TEST_F(streaming_http_server_test, a_request_before_invalid_input_is_answered) {
    for (const auto& trailing_input : {std::string("\r\n"), long_request}) {
        streaming_http_server server(
            io_, {1024, 10, 3000, 15000}, [this](auto, auto writer) {
                responses_.push_back(std::move(writer));
            });
        const auto address = server.listen({"127.0.0.1", 0});
        socket_.close();
        socket_.connect(
            tcp::endpoint(asio::ip::address_v4::loopback(), address->port));
        send(request + trailing_input);
        run_until([&] { return !responses_.empty(); });
        run_for(50);
        responses_.back()->send({200, {}, "ok"});
        expect_received("ok");
        responses_.clear();
        received_.clear();
    }
}

// Malformed input is not a request and must not be reported as an aborted one.
TEST_F(streaming_http_server_test, malformed_input_is_not_reported_as_aborted) {
    poll();
    send("\x01garbage\r\n\r\n" + std::string(4000, 'x'));
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
    run_for(50);
    EXPECT_TRUE(aborted_requests_.empty());
    EXPECT_EQ(server_.requests_in_flight(), 0U);
}

TEST_F(streaming_http_server_test,
       malformed_input_after_the_last_response_is_dropped) {
    send(request);
    run_until([&] { return !responses_.empty(); });
    server_.drain();
    responses_[0]->send({200, {}, "ok"});
    expect_received("ok");
    run_until([&] { return server_.requests_in_flight() == 0; });
    send("\x01garbage\r\n\r\n");
    run_until([&] { return is_closed(); });
    EXPECT_TRUE(aborted_requests_.empty());
}

// A caller that keeps sending after a response with `Connection: close` must
// not delay the shutdown.
TEST_F(streaming_http_server_test, closing_does_not_wait_for_dropped_input) {
    send(request);
    run_until([&] { return !responses_.empty(); });
    server_.drain();
    server_.close();
    responses_[0]->send({200, {}, "ok"});
    expect_received("ok");
    run_until([&] {
        boost::system::error_code ignored;
        socket_.non_blocking(true);
        socket_.write_some(asio::buffer(request), ignored);
        return server_.is_closed();
    });
}

TEST_F(streaming_http_server_test,
       an_aborted_request_is_reported_with_its_cause) {
    send(request);
    run_until([&] { return !responses_.empty(); });
    responses_[0]->send_head(200, {});
    responses_[0]->write("half");
    responses_[0]->abort();
    ASSERT_EQ(aborted_requests_.size(), 1U);
    EXPECT_EQ(aborted_requests_[0].request_id, "r1");
    EXPECT_EQ(aborted_requests_[0].target, "/a");
    EXPECT_EQ(aborted_requests_[0].cause, abort_cause::handler_aborted);
    EXPECT_TRUE(aborted_requests_[0].response_started);
}

TEST_F(streaming_http_server_test, rejects_a_body_over_the_limit) {
    server_.set_limits({1024, 10, 3000, 15000});
    send(request);
    run_until([&] { return !responses_.empty(); });
    responses_[0]->send({200, {}, ""});
    expect_received("200");
    send("POST /a HTTP/1.1\r\nContent-Length: 2000\r\n\r\n");
    expect_received("413");
    EXPECT_EQ(requests_.size(), 1U);
}

// Callers do not retry after a 413 response, so it must not be sent for a body
// that the current limits allow.
TEST_F(streaming_http_server_test, raised_limits_apply_to_an_idle_connection) {
    server_.set_limits({1024, 10, 3000, 15000});
    complete_first_request();
    server_.set_limits({1024, 4000, 3000, 15000});
    send(long_request);
    run_until([&] { return responses_.size() == 2 || is_closed(); });
    ASSERT_EQ(responses_.size(), 2U) << close_error_.message();
}

// Callers rely on the newest idle timeout and would send requests on a closed
// connection.
TEST_F(streaming_http_server_test,
       a_raised_idle_timeout_applies_to_idle_connections) {
    server_.set_limits({1024, 10, 3000, 300});
    complete_first_request();
    server_.set_limits({1024, 10, 3000, 15000});
    run_for(1500);
    send(request);
    run_until([&] { return responses_.size() == 2 || is_closed(); });
    ASSERT_EQ(responses_.size(), 2U) << close_error_.message();
}

TEST_F(streaming_http_server_test,
       a_handler_that_never_responds_closes_the_connection) {
    // A handler releases its response_writer without responding. The caller
    // must not wait until its own timeout.
    send(request);
    run_until([&] { return !responses_.empty(); });
    responses_.clear();
    run_until([&] { return is_closed(); });
}

// Guards against the rejection of a request that began under larger limits.
TEST_F(streaming_http_server_test,
       lowered_limits_do_not_apply_to_a_partly_read_request) {
    send(request.substr(0, request.size() - 1));
    run_until([&] { return socket_.available() == 0; });
    io_.restart();
    io_.run_for(std::chrono::milliseconds(20));
    server_.set_limits({8, 1, 100, 100});
    send(request.substr(request.size() - 1));
    run_until([&] { return responses_.size() == 1; });
}

// A caller that reads little by little makes progress, however long it takes.
TEST_F(streaming_http_server_test, a_slow_caller_is_not_cut_while_it_reads) {
    server_.set_buffer_limits({256 * 1024, 1024 * 1024, 1500});
    send(request);
    run_until([&] { return !responses_.empty(); });
    responses_[0]->send({200, {}, std::string(900 * 1024, 'x')});
    for (int n = 0; n < 40; ++n) {
        run_for(100);
        std::vector<char> bytes(16 * 1024);
        received_.append(bytes.data(), socket_.read_some(asio::buffer(bytes)));
    }
    EXPECT_TRUE(aborted_requests_.empty());
    EXPECT_GT(server_.buffers().held(), 0U);
}

TEST_F(streaming_http_server_test, a_caller_that_stops_reading_is_cut) {
    server_.set_buffer_limits({256 * 1024, 32 * 1024 * 1024, 1000});
    send(request);
    run_until([&] { return !responses_.empty(); });
    responses_[0]->send({200, {}, std::string(16 * 1024 * 1024, 'x')});
    run_until([&] { return !aborted_requests_.empty(); });
    EXPECT_EQ(aborted_requests_[0].cause, abort_cause::write_timeout);
    EXPECT_EQ(server_.buffers().held(), 0U);
}

TEST_F(streaming_http_server_test, the_largest_holder_is_cut_at_the_bound) {
    server_.set_buffer_limits({256 * 1024, 8 * 1024 * 1024, 60000});
    send(request);
    run_until([&] { return !responses_.empty(); });
    responses_[0]->send({200, {}, std::string(16 * 1024 * 1024, 'x')});
    run_until([&] { return !aborted_requests_.empty(); });
    EXPECT_EQ(server_.buffers().held(), 0U);
}

// A node out of descriptors must not spend its processor on failing accepts.
TEST_F(streaming_http_server_test, a_failed_accept_is_repeated_after_a_pause) {
    poll();
    int reported = 0;
    server_.set_on_accept_failed([&](const std::string&) { ++reported; });
    tcp::socket second(io_, tcp::v4());
    ::rlimit original{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &original), 0);
    auto none_left = original;
    none_left.rlim_cur = 1;
    ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &none_left), 0);
    second.connect(socket_.remote_endpoint());
    run_for(1000);
    ::setrlimit(RLIMIT_NOFILE, &original);
    EXPECT_GT(server_.accept_failures(), 1U);
    EXPECT_LT(server_.accept_failures(), 50U);
    EXPECT_EQ(reported, 1);
    asio::write(second, asio::buffer(request));
    run_until([&] { return requests_.size() == 1; });
}

// Bodies that many callers send at once must not take all memory.
TEST_F(streaming_http_server_test, a_large_body_waits_for_room) {
    server_.set_buffer_limits({256 * 1024, 1024 * 1024, 60000});
    const std::string large(400 * 1024, 'x');
    const auto post = "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                      std::to_string(large.size()) + "\r\n\r\n" + large;
    tcp::socket second(io_);
    second.connect(socket_.remote_endpoint());
    asio::async_write(socket_, asio::buffer(post), [](auto, auto) {});
    run_until([&] { return requests_.size() == 1; });
    asio::async_write(second, asio::buffer(post), [](auto, auto) {});
    run_for(300);
    EXPECT_EQ(requests_.size(), 1U);
    responses_[0]->send({200, {}, "first"});
    run_until([&] { return requests_.size() == 2; });
    EXPECT_EQ(requests_[1].body, large);
    responses_[1]->send({200, {}, "second"});
    run_until([&] { return server_.buffers().held() == 0; });
}

const std::string chunked_head = "POST /d HTTP/1.1\r\nHost: h\r\nId: r2\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

/// Returns a chunk of `size` bytes.
std::string make_chunk(std::size_t size) {
    char head[32];
    std::snprintf(head, sizeof head, "%zx\r\n", size);
    return head + std::string(size, 'x') + "\r\n";
}

/// Returns a request with a body of `size` bytes and its length.
std::string make_post(std::size_t size) {
    return "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(size) + "\r\n\r\n" + std::string(size, 'y');
}

TEST_F(streaming_http_server_test, trailers_over_the_limit_are_rejected) {
    send(chunked_head + "2\r\nhi\r\n0\r\nx: " + std::string(40 * 1024, 'x'));
    expect_received("HTTP/1.1 431");
    EXPECT_TRUE(requests_.empty());
    EXPECT_EQ(server_.buffers().held(), 0U);
}

TEST_F(streaming_http_server_test, the_extension_of_a_chunk_is_bounded) {
    send(chunked_head + "2;x=" + std::string(40 * 1024, 'x'));
    expect_received("HTTP/1.1 431");
    EXPECT_TRUE(requests_.empty());
}

TEST_F(streaming_http_server_test, trailers_within_the_limit_are_read) {
    send(chunked_head + "2\r\nhi\r\n0\r\nx: " + std::string(8 * 1024, 'x') +
         "\r\n\r\n");
    run_until([&] { return requests_.size() == 1; });
    EXPECT_EQ(requests_[0].body, "hi");
}

// A body that stops must not keep the room from those that go on.
TEST_F(streaming_http_server_test, a_stalled_body_makes_room_for_another) {
    server_.set_buffer_limits({256 * 1024, 1024 * 1024, 60000});
    const auto unfinished = chunked_head + make_chunk(400 * 1024);
    asio::async_write(socket_, asio::buffer(unfinished), [](auto, auto) {});
    run_until([&] { return server_.buffers().held() > 400 * 1024; });
    tcp::socket second(io_);
    second.connect(socket_.remote_endpoint());
    const auto post = make_post(400 * 1024);
    asio::async_write(second, asio::buffer(post), [](auto, auto) {});
    run_until([&] { return requests_.size() == 1; });
    EXPECT_EQ(requests_[0].body.size(), 400U * 1024);
    expect_received("HTTP/1.1 503");
    expect_received("Retry-After: ");
    ASSERT_EQ(rejected_requests_.size(), 1U);
    EXPECT_EQ(rejected_requests_[0].cause, reject_cause::no_room);
    EXPECT_EQ(rejected_requests_[0].request_id, "r2");
    EXPECT_GT(rejected_requests_[0].held_bytes, 400U * 1024);
}

// A request that is being answered is not given up with the next one.
TEST_F(streaming_http_server_test, a_request_before_a_stalled_one_is_answered) {
    server_.set_buffer_limits({256 * 1024, 1024 * 1024, 60000});
    const auto unfinished = request + chunked_head + make_chunk(400 * 1024);
    asio::async_write(socket_, asio::buffer(unfinished), [](auto, auto) {});
    run_until([&] { return server_.buffers().held() > 400 * 1024; });
    ASSERT_EQ(requests_.size(), 1U);
    tcp::socket second(io_);
    second.connect(socket_.remote_endpoint());
    const auto post = make_post(400 * 1024);
    asio::async_write(second, asio::buffer(post), [](auto, auto) {});
    run_until([&] { return requests_.size() == 2; });
    responses_[0]->send({200, {}, "first"});
    expect_received("first");
    EXPECT_EQ(received_.find("HTTP/1.1 200"), 0U);
    EXPECT_NE(received_.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(aborted_requests_.empty());
}

// The memory of a process is one, however many servers it has.
TEST_F(streaming_http_server_test, servers_share_the_room_for_bodies) {
    const auto resources = std::make_shared<server_resources>();
    resources->set_buffer_limits({256 * 1024, 1024 * 1024, 60000});
    const auto keep = [this](auto inbound, auto writer) {
        requests_.push_back(std::move(inbound));
        responses_.push_back(std::move(writer));
    };
    streaming_http_server first(io_, {}, keep, {}, resources);
    streaming_http_server second(io_, {}, keep, {}, resources);
    const auto post = chunked_head + make_chunk(400 * 1024) + "0\r\n\r\n";
    std::vector<tcp::socket> callers;
    for (auto* server : {&first, &second}) {
        const auto address = server->listen({"127.0.0.1", 0});
        callers.emplace_back(io_);
        callers.back().connect(
            tcp::endpoint(asio::ip::address_v4::loopback(), address->port));
    }
    asio::async_write(callers[0], asio::buffer(post), [](auto, auto) {});
    run_until([&] { return requests_.size() == 1; });
    asio::async_write(callers[1], asio::buffer(post), [](auto, auto) {});
    run_for(300);
    EXPECT_EQ(requests_.size(), 1U);
    EXPECT_EQ(resources->open_connections(), 2U);
    responses_[0]->send({200, {}, "first"});
    run_until([&] { return requests_.size() == 2; });
    responses_.clear();
}

// Guards against callers that leave no descriptor for others.
TEST_F(streaming_http_server_test, a_new_connection_displaces_an_idle_one) {
    const auto resources = std::make_shared<server_resources>();
    resources->set_max_connections(2);
    streaming_http_server server(
        io_, {},
        [this](auto, auto writer) { responses_.push_back(std::move(writer)); },
        {}, resources);
    const auto address = server.listen({"127.0.0.1", 0});
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                                 address->port);
    tcp::socket busy(io_);
    tcp::socket idle(io_);
    busy.connect(endpoint);
    asio::write(busy, asio::buffer(request));
    run_until([&] { return responses_.size() == 1; });
    idle.connect(endpoint);
    run_until([&] { return resources->open_connections() == 2; });
    socket_.close();
    socket_.connect(endpoint);
    send(request);
    run_until([&] { return responses_.size() == 2; });
    EXPECT_EQ(resources->open_connections(), 2U);
    EXPECT_EQ(resources->displaced_connections(), 1U);
    char byte = 0;
    boost::system::error_code error;
    idle.read_some(asio::buffer(&byte, 1), error);
    EXPECT_EQ(error, asio::error::eof);
    // None is idle.
    tcp::socket refused(io_);
    refused.connect(endpoint);
    run_until([&] { return resources->displaced_connections() == 2; });
    responses_[0]->send({200, {}, "first"});
    responses_[1]->send({200, {}, "second"});
    expect_received("second");
    asio::read(busy, asio::buffer(&byte, 1), error);
    EXPECT_FALSE(error);
}

// Guards against heads that take all the time that a connection may be idle.
TEST_F(streaming_http_server_test, a_slow_head_is_rejected) {
    server_.set_limits({16 * 1024, 8 * 1024, 200, 60000});
    tcp::socket slow(io_);
    slow.connect(socket_.remote_endpoint());
    asio::write(slow, asio::buffer(request.substr(0, 20)));
    send(request);
    run_until([&] { return requests_.size() == 1; });
    std::string received(12, ' ');
    asio::async_read(slow, asio::buffer(received), [](auto, auto) {});
    run_until([&] { return received == "HTTP/1.1 408"; });
    ASSERT_EQ(rejected_requests_.size(), 1U);
    EXPECT_EQ(rejected_requests_[0].cause, reject_cause::slow_head);
    // The time of a body is not that of its head.
    responses_[0]->send({200, {}, "first"});
    expect_received("first");
    send(long_request.substr(0, 100));
    run_for(1000);
    send(long_request.substr(100));
    run_until([&] { return requests_.size() == 2; });
}

/// Requests in a row on one connection, drawn from a seed.
class drawn_requests {
public:
    explicit drawn_requests(unsigned seed) : random_(seed) {
        const auto count = 1 + below(5);
        while (bodies.size() < count) {
            add(std::string(below(3) == 0 ? below(200000) : below(300), 'x'));
        }
    }

    std::size_t below(std::size_t n) { return random_() % n; }

    /// Returns the size of the next piece to send, mostly a small one.
    std::size_t piece_bytes() {
        const auto kind = below(3);
        return 1 + below(kind == 0 ? 70000 : kind == 1 ? 3 : 2000);
    }

    std::string bytes;
    std::vector<std::string> bodies;

private:
    void add(std::string body) {
        bytes += "POST /" + std::to_string(bodies.size()) +
                 " HTTP/1.1\r\nHost: h\r\n";
        if (below(2) == 0) {
            bytes += "Content-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body;
        } else {
            add_chunks(body);
        }
        bodies.push_back(std::move(body));
    }

    void add_chunks(const std::string& body) {
        bytes += "Transfer-Encoding: chunked\r\n\r\n";
        for (std::size_t at = 0; at < body.size();) {
            const auto size = std::min(body.size() - at,
                                       1 + below(below(2) == 0 ? 20 : 100000));
            bytes += make_chunk(size);
            at += size;
        }
        bytes += below(2) == 0 ? "0\r\n\r\n" : "0;x\r\nt: 1\r\nu: 2\r\n\r\n";
    }

    std::mt19937 random_;
};

// Guards against input that is read otherwise when it arrives in other pieces.
TEST_F(streaming_http_server_test, requests_arrive_in_any_pieces) {
    constexpr unsigned seeds = 60;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        drawn_requests drawn(seed);
        const auto count = drawn.bodies.size();
        requests_.clear();
        responses_.clear();
        tcp::socket caller(io_);
        caller.connect(socket_.remote_endpoint());
        caller.non_blocking(true);
        std::size_t sent = 0;
        std::size_t answered = 0;
        run_until([&] {
            const auto piece =
                std::min(drawn.bytes.size() - sent, drawn.piece_bytes());
            boost::system::error_code error;
            sent += caller.write_some(
                asio::buffer(drawn.bytes.data() + sent, piece), error);
            poll();
            if (responses_.size() > answered && drawn.below(3) == 0) {
                responses_[answered++]->send({200, {}, "x"});
            }
            return answered == count || HasFailure();
        });
        ASSERT_EQ(requests_.size(), count) << seed;
        for (std::size_t n = 0; n < count; ++n) {
            EXPECT_EQ(requests_[n].target, "/" + std::to_string(n)) << seed;
            EXPECT_TRUE(requests_[n].body == drawn.bodies[n]) << seed;
        }
        run_until([&] { return server_.requests_in_flight() == 0; });
        EXPECT_EQ(server_.buffers().held(), 0U) << seed;
    }
}

// A body that never gets room is rejected while its caller still waits.
TEST_F(streaming_http_server_test, a_body_waits_for_room_for_a_bounded_time) {
    server_.set_buffer_limits({256 * 1024, 1024 * 1024, 60000});
    const auto post = chunked_head + make_chunk(400 * 1024) + "0\r\n\r\n";
    tcp::socket second(io_);
    second.connect(socket_.remote_endpoint());
    asio::async_write(second, asio::buffer(post), [](auto, auto) {});
    run_until([&] { return requests_.size() == 1; });
    asio::async_write(socket_, asio::buffer(post), [](auto, auto) {});
    expect_received("HTTP/1.1 503");
    EXPECT_EQ(requests_.size(), 1U);
}

} // namespace

} // namespace hibiscus::transport
