#include "hibiscus/transport/streaming_http_server.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace hibiscus::transport {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

const std::string request = "POST /a HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
                            "Content-Length: 2\r\n\r\nhi";

/// A request that is read in several pieces.
const std::string long_request = "POST /b HTTP/1.1\r\nHost: h\r\n"
                                 "Content-Length: 4000\r\n\r\n" +
                                 std::string(4000, 'x');

class streaming_http_server_test : public testing::Test {
protected:
    streaming_http_server_test()
        : server_(io_, {},
                  [this](auto request, auto answer) {
                      requests_.push_back(std::move(request));
                      responses_.push_back(std::move(answer));
                      if (handler_) {
                          handler_();
                      }
                  },
                  {"Id", [this](const auto& cut) {
                       aborted_requests_.push_back(cut);
                   }}) {
        const auto at = server_.listen({"127.0.0.1", 0});
        socket_.connect(
            tcp::endpoint(asio::ip::address_v4::loopback(), at->port));
    }

    void send(const std::string& text) {
        asio::write(socket_, asio::buffer(text));
    }

    /// Runs until a condition holds; each round waits for work a little.
    template <class Condition>
    void run_until(Condition holds) {
        for (int n = 0; n < 2000 && !holds(); ++n) {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(10));
        }
        EXPECT_TRUE(holds());
    }

    /// Runs for a while.
    void run_for(base::millis ms) {
        io_.restart();
        io_.run_for(std::chrono::milliseconds(ms));
    }

    /// Runs what is ready.
    void poll() {
        io_.restart();
        io_.poll();
    }

    /// Has a first request of the connection answered.
    void complete_first_request() {
        send(request);
        run_until([&] { return !responses_.empty(); });
        responses_[0]->send({200, {}, "first"});
        expect_received("first");
        run_until([&] { return server_.requests_in_flight() == 0; });
    }

    /// Lets the time of a sweep, and some more, pass while the thread does
    /// something else.
    static void block_for_a_sweep(base::millis more = 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(600 + more));
    }

    /// Returns whether the server has closed the connection, and why it seems
    /// closed in `close_error_`. There must be nothing to read.
    bool is_closed() {
        char byte = 0;
        socket_.non_blocking(true);
        socket_.read_some(asio::buffer(&byte, 1), close_error_);
        return close_error_ && close_error_ != asio::error::would_block;
    }

    /// Reads what has come until `text` is in it.
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
    std::function<void()> handler_;
    streaming_http_server server_;
    tcp::socket socket_{io_};
    std::string received_;
    boost::system::error_code close_error_;
};

TEST_F(streaming_http_server_test, reads_a_request_whole_and_answers) {
    send(request);
    run_until([&] { return !responses_.empty(); });
    EXPECT_EQ(requests_[0].body, "hi");
    responses_[0]->send({200, {{"X", "y"}}, "ok"});
    expect_received("X: y\r\nContent-Length: 2\r\n\r\nok");
}

TEST_F(streaming_http_server_test, answers_in_pieces_and_keeps_the_connection) {
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

TEST_F(streaming_http_server_test, tells_when_a_caller_leaves) {
    // A caller gives up and closes its connection. Its request would go on at
    // a backend server for nobody.
    bool left = false;
    handler_ = [&] { responses_.back()->on_disconnect([&] { left = true; }); };
    send(request);
    run_until([&] { return !responses_.empty(); });
    EXPECT_FALSE(left);
    socket_.close();
    run_until([&] { return left; });
    responses_[0]->send({200, {}, "late"});
    EXPECT_EQ(server_.requests_in_flight(), 0U);
}

TEST_F(streaming_http_server_test, closes_after_the_answer_once_it_drains) {
    send(request);
    run_until([&] { return !responses_.empty(); });
    server_.drain();
    responses_[0]->send({200, {}, "ok"});
    expect_received("Connection: close");
    expect_received("ok");
}

// A request that came while the thread was busy is not taken for idleness.
TEST_F(streaming_http_server_test,
       what_arrives_on_a_kept_connection_is_answered) {
    complete_first_request();
    send(long_request);
    server_.close();
    block_for_a_sweep();
    run_until([&] { return responses_.size() == 2 || is_closed(); });
    ASSERT_EQ(responses_.size(), 2U) << close_error_.message();
    responses_[1]->send({200, {}, "second"});
    expect_received("second");
}

// A read that was carried out at once has its handler behind the sweep.
TEST_F(streaming_http_server_test,
       what_arrives_on_a_new_connection_is_answered) {
    poll();
    server_.close();
    send(long_request);
    block_for_a_sweep();
    run_until([&] { return !responses_.empty() || is_closed(); });
    ASSERT_FALSE(responses_.empty()) << close_error_.message();
    responses_[0]->send({200, {}, "ok"});
    expect_received("ok");
}

// The part of a request that was read is not lost with the cancelled read.
TEST_F(streaming_http_server_test,
       a_request_is_read_on_after_a_look_at_its_connection) {
    const std::string chunked = "POST /c HTTP/1.1\r\nHost: h\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "5\r\nhello\r\n3\r\nabc\r\n0\r\n\r\n";
    complete_first_request();
    for (std::size_t at = 0; at < chunked.size(); ++at) {
        send(chunked.substr(at, 1));
        poll();
        if (at == 0) {
            server_.close();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        poll();
    }
    run_until([&] { return responses_.size() == 2 || is_closed(); });
    ASSERT_EQ(responses_.size(), 2U) << close_error_.message();
    EXPECT_EQ(requests_[1].body, "helloabc");
}

// Guards against a lost request of a caller that was told of no end.
TEST_F(streaming_http_server_test,
       a_request_behind_an_answer_is_served_while_draining) {
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

// A request that comes just before its connection's time is over is read.
TEST_F(streaming_http_server_test,
       a_request_that_meets_the_idle_timeout_is_answered) {
    constexpr base::millis idle_ms = 1000;
    server_.set_limits({16 * 1024, 1024 * 1024, 3000, idle_ms});
    complete_first_request();
    send(long_request);
    block_for_a_sweep(idle_ms);
    run_until([&] { return responses_.size() == 2 || is_closed(); });
    ASSERT_EQ(responses_.size(), 2U) << close_error_.message();
    responses_[1]->send({200, {}, "second"});
    expect_received("second");
}

// More time that runs out while the rest of a request waits to be read.
TEST_F(streaming_http_server_test, a_request_that_comes_late_is_answered) {
    constexpr base::millis idle_ms = 2000;
    server_.set_limits({16 * 1024, 1024 * 1024, 3000, idle_ms});
    send(long_request.substr(0, 100));
    run_for(idle_ms + 1000);
    ASSERT_FALSE(is_closed());
    send(long_request.substr(100));
    block_for_a_sweep(idle_ms);
    run_until([&] { return !responses_.empty() || is_closed(); });
    ASSERT_FALSE(responses_.empty()) << close_error_.message();
}

// A caller that stops in the middle of a request does not hold a connection.
TEST_F(streaming_http_server_test, half_a_request_ends_with_its_connection) {
    server_.set_limits({16 * 1024, 1024 * 1024, 3000, 100});
    send(long_request.substr(0, 1000));
    run_until([&] { return is_closed(); });
    EXPECT_TRUE(requests_.empty());
}

TEST_F(streaming_http_server_test, a_closing_server_ends_idle_connections) {
    send(request);
    run_until([&] { return !responses_.empty(); });
    responses_[0]->send({200, {}, "ok"});
    expect_received("ok");
    server_.drain();
    server_.close();
    EXPECT_FALSE(server_.is_closed());
    run_until([&] { return is_closed() && server_.is_closed(); });
}

// To close the listener resets connections that wait to be accepted.
TEST_F(streaming_http_server_test,
       a_closing_server_serves_what_waits_to_be_accepted) {
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
       a_new_connection_may_still_send_its_request) {
    server_.close();
    io_.restart();
    io_.poll();
    send(request);
    run_until([&] { return !responses_.empty() || is_closed(); });
    ASSERT_FALSE(responses_.empty()) << close_error_.message();
    responses_[0]->send({200, {}, "ok"});
    expect_received("ok");
}

// A stop that has run out of time closes no connection without an answer.
TEST_F(streaming_http_server_test, what_is_open_at_the_end_is_answered) {
    bool told = false;
    handler_ = [&] { responses_.back()->on_disconnect([&] { told = true; }); };
    send(request);
    run_until([&] { return !responses_.empty(); });
    server_.fail_open_requests(504);
    EXPECT_TRUE(told);
    EXPECT_EQ(aborted_requests_.size(), 1U);
    responses_[0]->send({200, {}, "late"});
    expect_received("504 Gateway Timeout\r\nConnection: close");
    EXPECT_EQ(received_.find("late"), std::string::npos);
}

TEST_F(streaming_http_server_test, a_complete_answer_is_not_answered_again) {
    send(request);
    run_until([&] { return !responses_.empty(); });
    responses_[0]->send({200, {}, "complete"});
    server_.fail_open_requests(504);
    EXPECT_TRUE(aborted_requests_.empty());
    expect_received("complete");
    EXPECT_EQ(received_.find("504"), std::string::npos);
}

// What follows a request does not take its answer along.
TEST_F(streaming_http_server_test,
       a_request_before_something_else_is_answered) {
    for (const auto& behind : {std::string("\r\n"), long_request}) {
        streaming_http_server server(
            io_, {1024, 10, 3000, 15000}, [this](auto, auto answer) {
                responses_.push_back(std::move(answer));
            });
        const auto at = server.listen({"127.0.0.1", 0});
        socket_.close();
        socket_.connect(
            tcp::endpoint(asio::ip::address_v4::loopback(), at->port));
        send(request + behind);
        run_until([&] { return !responses_.empty(); });
        run_for(50);
        responses_.back()->send({200, {}, "ok"});
        expect_received("ok");
        responses_.clear();
        received_.clear();
    }
}

// What was never a request is not told as one that was cut off.
TEST_F(streaming_http_server_test, what_is_no_request_is_not_told) {
    poll();
    send("\x01garbage\r\n\r\n" + std::string(4000, 'x'));
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
    run_for(50);
    EXPECT_TRUE(aborted_requests_.empty());
    EXPECT_EQ(server_.requests_in_flight(), 0U);
}

TEST_F(streaming_http_server_test,
       garbage_behind_the_last_answer_is_not_answered) {
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

// A caller that was told of the end and sends on does not hold up a stop.
TEST_F(streaming_http_server_test,
       a_closing_server_does_not_wait_for_what_is_dropped) {
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
       what_ends_without_an_answer_is_told_with_its_cause) {
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

TEST_F(streaming_http_server_test, refuses_a_body_over_the_limit) {
    server_.set_limits({1024, 10, 3000, 15000});
    send(request);
    run_until([&] { return !responses_.empty(); });
    responses_[0]->send({200, {}, ""});
    expect_received("200");
    send("POST /a HTTP/1.1\r\nContent-Length: 2000\r\n\r\n");
    expect_received("413");
    EXPECT_EQ(requests_.size(), 1U);
}

// A 413 for what the limits in force allow is never asked again.
TEST_F(streaming_http_server_test,
       limits_that_rise_count_on_an_idle_connection) {
    server_.set_limits({1024, 10, 3000, 15000});
    complete_first_request();
    server_.set_limits({1024, 4000, 3000, 15000});
    send(long_request);
    run_until([&] { return responses_.size() == 2 || is_closed(); });
    ASSERT_EQ(responses_.size(), 2U) << close_error_.message();
}

// Callers go by the newest idle time and would meet a closed connection.
TEST_F(streaming_http_server_test,
       an_idle_time_that_rises_counts_on_idle_connections) {
    server_.set_limits({1024, 10, 3000, 300});
    complete_first_request();
    server_.set_limits({1024, 10, 3000, 15000});
    run_for(1500);
    send(request);
    run_until([&] { return responses_.size() == 2 || is_closed(); });
    ASSERT_EQ(responses_.size(), 2U) << close_error_.message();
}

TEST_F(streaming_http_server_test,
       an_answer_that_is_forgotten_ends_the_connection) {
    // A handler drops its request without an answer. The caller must not wait
    // until its own time is over.
    send(request);
    run_until([&] { return !responses_.empty(); });
    responses_.clear();
    run_until([&] { return is_closed(); });
}

// Guards against a refusal of a request that began under larger limits.
TEST_F(streaming_http_server_test, limits_that_fall_spare_a_request_half_read) {
    send(request.substr(0, request.size() - 1));
    run_until([&] { return socket_.available() == 0; });
    io_.restart();
    io_.run_for(std::chrono::milliseconds(20));
    server_.set_limits({8, 1, 100, 100});
    send(request.substr(request.size() - 1));
    run_until([&] { return responses_.size() == 1; });
}

} // namespace

} // namespace hibiscus::transport
