#include "hibiscus/transport/event_stream.hpp"
#include "hibiscus/transport/upstream.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <thread>

namespace hibiscus::transport {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// A server that sends scripted responses in order, one for each request on any
/// connection.
class scripted_server {
public:
    struct scripted_response {
        std::string bytes;
        /// Whether to close the connection after the response.
        bool close = false;
    };

    scripted_server(asio::io_context& io, std::deque<scripted_response> script)
        : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          script_(std::move(script)) {
        accept();
    }

    base::endpoint address() const {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    int connections() const { return connections_; }
    int requests() const { return requests_; }

private:
    struct client_connection {
        explicit client_connection(tcp::socket socket)
            : socket(std::move(socket)) {}
        tcp::socket socket;
        asio::streambuf input;
    };

    void accept() {
        acceptor_.async_accept([this](const auto& error, tcp::socket socket) {
            if (error) {
                return;
            }
            ++connections_;
            serve(std::make_shared<client_connection>(std::move(socket)));
            accept();
        });
    }

    void serve(const std::shared_ptr<client_connection>& connection) {
        asio::async_read_until(
            connection->socket, connection->input, "\r\n\r\n",
            [this, connection](const auto& error, std::size_t bytes) {
                if (error || script_.empty()) {
                    return;
                }
                ++requests_;
                connection->input.consume(bytes);
                auto response =
                    std::make_shared<scripted_response>(script_.front());
                script_.pop_front();
                asio::async_write(connection->socket,
                                  asio::buffer(response->bytes),
                                  [this, connection, response](
                                      const auto& write_error, std::size_t) {
                                      if (!write_error && !response->close) {
                                          serve(connection);
                                      }
                                  });
            });
    }

    tcp::acceptor acceptor_;
    std::deque<scripted_response> script_;
    int connections_ = 0;
    int requests_ = 0;
};

struct call_result {
    int status = 0;
    std::string body;
    int chunks = 0;
    std::optional<call_outcome> outcome;
    bool resent = false;
    bool refused = false;
};

class upstream_test : public testing::Test {
protected:
    /// Sends a GET request, with `id` as its `Request-Id` if not empty, and
    /// runs until the call ends.
    call_result get(const base::endpoint& target, const std::string& id = "",
                    upstream_call_options options = {}) {
        auto result = std::make_shared<call_result>();
        upstream_request request;
        if (!id.empty()) {
            request.fields.push_back({"Request-Id", id});
        }
        upstream_callbacks callbacks;
        callbacks.on_head = [result](const auto& head) {
            result->status = head.status;
        };
        callbacks.on_data = [result](std::string_view data) {
            result->body += data;
            ++result->chunks;
        };
        callbacks.on_end = [this, result](call_outcome outcome) {
            result->outcome = outcome;
            io_.stop();
        };
        const auto call = client_.start(target, request, options, callbacks,
                                        id.empty() ? "" : "Request-Id");
        io_.restart();
        io_.run_for(std::chrono::seconds(20));
        result->resent = call->was_resent();
        result->refused = call->was_refused();
        return *result;
    }

    asio::io_context io_{1};
    upstream_client client_{io_};
};

std::string encode_chunk(const std::string& data) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

const std::string chunked_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST_F(upstream_test, delivers_a_whole_chunked_body_received_with_the_head) {
    const std::string event(350, 'x');
    std::string bytes = chunked_head;
    for (int i = 0; i < 20; ++i) {
        bytes += encode_chunk(event);
    }
    scripted_server server(io_, {{bytes + "0\r\n\r\n"}});
    const auto result = get(server.address());
    EXPECT_EQ(result.outcome, call_outcome::complete);
    EXPECT_EQ(result.body.size(), 20 * event.size());
}

TEST_F(upstream_test, delivers_data_before_the_body_is_complete) {
    // The head and the first chunk need more than one read, and the server then
    // pauses. The first event must be delivered without waiting for the next.
    const std::string event(900, 'x');
    scripted_server server(io_, {{chunked_head + encode_chunk(event)}});
    upstream_call_options options;
    options.idle_timeout_ms = 300;
    const auto result = get(server.address(), "", options);
    EXPECT_EQ(result.outcome, call_outcome::idle_timeout);
    EXPECT_EQ(result.body.size(), event.size());
}

TEST_F(upstream_test, reuses_an_idle_connection) {
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    scripted_server server(io_, {{response}, {response}});
    EXPECT_EQ(get(server.address()).body, "ok");
    EXPECT_EQ(get(server.address()).body, "ok");
    EXPECT_EQ(server.connections(), 1);
    EXPECT_EQ(client_.counts().connections_reused, 1U);
}

// Guards against a server that counts as failed because it closed an idle
// connection.
TEST_F(upstream_test, a_request_is_resent_if_its_idle_connection_has_ended) {
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    scripted_server server(io_, {{response}, {"", true}, {response}});
    upstream_call_options options;
    options.resend_if_stale = true;
    EXPECT_EQ(get(server.address(), "", options).body, "ok");
    const auto second = get(server.address(), "", options);
    EXPECT_TRUE(second.resent);
    EXPECT_EQ(second.outcome, call_outcome::complete);
    EXPECT_EQ(second.body, "ok");
    EXPECT_EQ(server.requests(), 3);
    EXPECT_EQ(server.connections(), 2);
}

// Guards against a server that has ended and can't be told from a server that
// can't be reached.
TEST_F(upstream_test, a_refused_connection_is_reported) {
    asio::ip::tcp::acceptor acceptor(
        io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const base::endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    acceptor.close();
    const auto result = get(address);
    EXPECT_EQ(result.outcome, call_outcome::not_sent);
    EXPECT_TRUE(result.refused);
    EXPECT_FALSE(result.resent);
}

// A new connection that ends is the server's failure.
TEST_F(upstream_test, a_request_is_resent_once_at_most) {
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    scripted_server server(io_, {{response}, {"", true}, {"", true}});
    upstream_call_options options;
    options.resend_if_stale = true;
    get(server.address(), "", options);
    EXPECT_EQ(get(server.address(), "", options).outcome, call_outcome::broken);
    EXPECT_EQ(server.requests(), 3);
}

// While a caller reads slowly, the server has to wait and no timeout expires.
TEST_F(upstream_test, a_paused_call_reads_on_when_resumed) {
    const std::string part(10000, 'x');
    std::string bytes = chunked_head;
    for (int i = 0; i < 100; ++i) {
        bytes += encode_chunk(part);
    }
    scripted_server server(io_, {{bytes + "0\r\n\r\n"}});
    std::size_t received = 0;
    std::optional<call_outcome> outcome;
    std::shared_ptr<upstream_call> call;
    upstream_callbacks callbacks;
    callbacks.on_data = [&](std::string_view data) {
        received += data.size();
        call->pause();
    };
    callbacks.on_end = [&](call_outcome o) { outcome = o; };
    upstream_call_options options;
    options.idle_timeout_ms = 100;
    options.total_timeout_ms = 400;
    call = client_.start(server.address(), {}, options, callbacks);
    io_.run_for(std::chrono::milliseconds(800));
    EXPECT_LT(received, 2 * part.size());
    EXPECT_FALSE(outcome);
    while (!outcome) {
        call->resume();
        io_.restart();
        io_.run_one_for(std::chrono::seconds(5));
    }
    EXPECT_EQ(outcome, call_outcome::complete);
    EXPECT_EQ(received, 100 * part.size());
}

TEST_F(upstream_test, a_response_to_another_request_is_broken) {
    // A server sends a second response to an earlier request where the response
    // to the next request is expected. One caller would receive the response to
    // another.
    const std::string other = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                              "Content-Length: 2\r\n\r\nok";
    scripted_server server(io_, {{other}});
    const auto result = get(server.address(), "b");
    EXPECT_EQ(result.outcome, call_outcome::broken);
    EXPECT_EQ(result.status, 0);
}

TEST_F(upstream_test, does_not_reuse_a_connection_with_unread_input) {
    // A server sends more bytes after a complete response. They belong to no
    // request, so the next request must be sent on another connection.
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    scripted_server server(io_,
                           {{response + "HTTP/1.1 200 OK\r\n"}, {response}});
    EXPECT_EQ(get(server.address()).outcome, call_outcome::complete);
    EXPECT_EQ(get(server.address()).outcome, call_outcome::complete);
    EXPECT_EQ(server.connections(), 2);
}

TEST_F(upstream_test, a_response_without_a_length_is_closed_without_length) {
    scripted_server server(io_, {{"HTTP/1.1 200 OK\r\n\r\nabc", true}});
    const auto result = get(server.address());
    EXPECT_EQ(result.outcome, call_outcome::closed_without_length);
    EXPECT_EQ(result.body, "abc");
}

TEST_F(upstream_test, a_truncated_chunked_body_is_broken) {
    scripted_server server(io_, {{chunked_head + encode_chunk("abc"), true}});
    EXPECT_EQ(get(server.address()).outcome, call_outcome::broken);
}

// Guards against servers that fill the memory of a node.
TEST_F(upstream_test, what_is_not_parsed_of_a_response_is_bounded) {
    const std::string endless(200 * 1024, 'x');
    for (const auto& begin :
         {std::string("HTTP/1.1 200 OK\r\nx: "), chunked_head + "2;x=",
          chunked_head + encode_chunk("hi") + "0\r\nx: "}) {
        scripted_server server(io_, {{begin + endless}});
        EXPECT_EQ(get(server.address()).outcome, call_outcome::broken);
    }
    scripted_server server(
        io_, {{chunked_head + encode_chunk("hi") +
               "0\r\nx: " + endless.substr(0, 32 * 1024) + "\r\n\r\n"}});
    EXPECT_EQ(get(server.address()).outcome, call_outcome::complete);
}

// Guards against responses that stop in their heads and look complete.
TEST_F(upstream_test, a_response_that_stops_in_its_head_is_broken) {
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string large_field =
        "X-Large: " + std::string(4000, 'x') + "\r\n";
    for (const auto& fields :
         {std::string("Content-Length: 0\r\n"),
          std::string("Content-Length: 5\r\nConnection: close\r\n"),
          std::string("Transfer-Encoding: chunked\r\n"),
          std::string("Content-Type: text/plain\r\n"),
          large_field + "Content-Length: 0\r\n"}) {
        const auto head = status + fields + "\r\n";
        const auto step = 1 + head.size() / 100;
        for (std::size_t n = 1; n < head.size(); n += step) {
            scripted_server server(io_, {{head.substr(0, n), true}});
            const auto result = get(server.address());
            EXPECT_EQ(result.outcome, call_outcome::broken) << n << " " << head;
            EXPECT_EQ(result.status, 0);
            EXPECT_EQ(result.body, "");
        }
        scripted_server server(io_, {{head.substr(0, head.size() - 1), true}});
        EXPECT_EQ(get(server.address()).outcome, call_outcome::broken);
    }
}

TEST_F(upstream_test, a_refused_connection_is_not_sent) {
    base::endpoint unused_address;
    {
        scripted_server server(io_, {});
        unused_address = server.address();
    }
    EXPECT_EQ(get(unused_address).outcome, call_outcome::not_sent);
}

TEST_F(upstream_test,
       ends_calls_started_before_a_silent_server_responds_again) {
    // A server accepts requests but sends no responses for some seconds. It
    // then responds to new requests but never to the earlier ones, whose
    // callers would wait until their timeouts.
    scripted_server silent(io_, {{"HTTP/1.1 "}, {"HTTP/1.1 "}, {"HTTP/1.1 "}});
    const auto now = base::clock().now();
    std::map<std::string, call_outcome> outcomes;
    const auto start_call = [&](const std::string& name) {
        upstream_callbacks callbacks;
        callbacks.on_end = [&outcomes, name](call_outcome outcome) {
            outcomes[name] = outcome;
        };
        return client_.start(silent.address(), {}, {}, std::move(callbacks));
    };
    const auto first_call = start_call("first call");
    client_.end_calls_started_before({"127.0.0.1", 1}, now + 60000);
    client_.end_calls_started_before(silent.address(), now);
    EXPECT_TRUE(outcomes.empty());
    const auto unconnected_call = start_call("without a connection");
    client_.end_calls_started_before(silent.address(), now + 60000);
    EXPECT_EQ(outcomes.at("first call"), call_outcome::not_sent);
    EXPECT_EQ(outcomes.at("without a connection"), call_outcome::not_sent);
    const auto sent_call = start_call("request sent");
    while (silent.requests() < 1) {
        io_.run_one_for(std::chrono::seconds(20));
    }
    client_.end_calls_started_before(silent.address(), now + 60000);
    EXPECT_EQ(outcomes.at("request sent"), call_outcome::total_timeout);
}

// Guards against a crash when a callback of a call cancels the call.
TEST_F(upstream_test, a_call_can_be_cancelled_from_its_own_callbacks) {
    struct call_owner {
        std::shared_ptr<upstream_call> call;
        /// 1 for `on_head`, 2 for `on_data`.
        int cancelled_by = 0;
    };
    const std::string bytes = chunked_head + encode_chunk("abc");
    scripted_server server(io_, {{bytes}, {bytes}});
    for (const bool in_on_head : {true, false}) {
        call_owner state;
        const auto cancel = [owner = &state](int callback_number) {
            owner->call->cancel();
            owner->cancelled_by = callback_number;
        };
        upstream_callbacks callbacks;
        if (in_on_head) {
            callbacks.on_head = [cancel](const auto&) { cancel(1); };
        } else {
            callbacks.on_data = [cancel](std::string_view) { cancel(2); };
        }
        state.call =
            client_.start(server.address(), {}, {}, std::move(callbacks));
        io_.restart();
        for (int n = 0; n < 2000 && state.cancelled_by == 0; ++n) {
            io_.run_one_for(std::chrono::milliseconds(10));
        }
        EXPECT_EQ(state.cancelled_by, in_on_head ? 1 : 2);
    }
}

/// Stalls the thread of a client for longer than the timeouts of its call, so
/// that the timeout check is due as soon as the thread continues.
class stalled_thread_test : public upstream_test {
protected:
    stalled_thread_test() {
        // A call in flight keeps the periodic timeout checks running.
        background_call_ =
            client_.start(address_of(silent_acceptor_), {}, {}, {});
        run_until([] { return false; }, 4);
    }

    static base::endpoint address_of(const tcp::acceptor& acceptor) {
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }

    void start(upstream_call_options options) {
        upstream_callbacks callbacks;
        callbacks.on_data = [this](std::string_view data) {
            received_bytes_ += data.size();
        };
        callbacks.on_end = [this](call_outcome outcome) { outcome_ = outcome; };
        call_ =
            client_.start(address_of(server_acceptor_), {}, options, callbacks);
    }

    /// Starts a call and runs until the server has received the request.
    void start_and_send(upstream_call_options options) {
        start(options);
        server_.emplace(server_acceptor_.accept());
        run_until([this] { return server_->available() > 0; });
    }

    void write(const std::string& bytes) {
        asio::write(*server_, asio::buffer(bytes));
    }

    template <class Condition>
    void run_until(Condition condition, int max_rounds = 2000) {
        for (int n = 0; n < max_rounds && !condition(); ++n) {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(10));
        }
    }

    /// Runs `function` on the client's thread and then blocks the thread for
    /// longer than `timeout_ms`.
    void stall_thread(const std::function<void()>& function) {
        std::this_thread::sleep_for(past_timeout_check_interval);
        bool stall_ended = false;
        asio::post(io_, [&] {
            function();
            std::this_thread::sleep_for(
                std::chrono::milliseconds(timeout_ms + 300));
            stall_ended = true;
        });
        run_until([&] { return stall_ended; });
    }

    void run_until_call_ends() {
        run_until([this] { return outcome_.has_value(); });
    }

    static constexpr base::millis timeout_ms = 1000;
    static constexpr std::chrono::milliseconds past_timeout_check_interval{60};
    tcp::acceptor server_acceptor_{
        io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    tcp::acceptor silent_acceptor_{
        io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::shared_ptr<upstream_call> background_call_;
    std::shared_ptr<upstream_call> call_;
    std::optional<tcp::socket> server_;
    std::optional<call_outcome> outcome_;
    std::size_t received_bytes_ = 0;
};

// Guards against a connect timeout for a connection that opened during a stall.
TEST_F(stalled_thread_test, uses_a_connection_that_opened_during_a_stall) {
    upstream_call_options options;
    options.connect_timeout_ms = timeout_ms;
    stall_thread([&] { start(options); });
    server_.emplace(server_acceptor_.accept());
    write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    run_until_call_ends();
    ASSERT_TRUE(outcome_);
    EXPECT_EQ(*outcome_, call_outcome::complete);
}

// Guards against an idle timeout of a stream whose data arrived during a stall.
TEST_F(stalled_thread_test,
       data_received_during_a_stall_prevents_an_idle_timeout) {
    upstream_call_options options;
    options.idle_timeout_ms = timeout_ms;
    start_and_send(options);
    stall_thread([&] { write(chunked_head + encode_chunk("abc")); });
    run_until([this] { return outcome_ || received_bytes_ > 0; });
    EXPECT_FALSE(outcome_);
    write("0\r\n\r\n");
    run_until_call_ends();
    ASSERT_TRUE(outcome_);
    EXPECT_EQ(*outcome_, call_outcome::complete);
}

// Guards against a timeout of a call whose response arrived during a stall.
TEST_F(stalled_thread_test,
       accepts_a_response_received_during_a_stall_after_the_timeout) {
    upstream_call_options options;
    options.total_timeout_ms = timeout_ms;
    start_and_send(options);
    stall_thread([&] {
        write("HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" +
              std::string(40000, 'x'));
    });
    run_until_call_ends();
    ASSERT_TRUE(outcome_);
    EXPECT_EQ(*outcome_, call_outcome::complete);
}

// Guards against a call that never times out in a thread that is always late.
TEST_F(stalled_thread_test, timeouts_expire_in_a_thread_that_is_always_late) {
    for (const auto expected :
         {call_outcome::idle_timeout, call_outcome::total_timeout}) {
        upstream_call_options options;
        (expected == call_outcome::idle_timeout ? options.idle_timeout_ms
                                                : options.total_timeout_ms) =
            100;
        outcome_.reset();
        start_and_send(options);
        for (int n = 0; n < 100 && !outcome_; ++n) {
            std::this_thread::sleep_for(std::chrono::milliseconds(150));
            io_.restart();
            io_.poll();
        }
        ASSERT_TRUE(outcome_);
        EXPECT_EQ(*outcome_, expected);
    }
}

TEST(event_stream_parser_test, parses_events_for_any_split_of_the_bytes) {
    const std::string text = "id: 1\ndata: a\n\nweight-versions: 3\nid: 2\n"
                             "data: b\ndata: c\n\nid: 3\ndata: cut";
    for (std::size_t split = 0; split <= text.size(); ++split) {
        event_stream_parser parser;
        auto events = parser.feed(text.substr(0, split));
        for (auto& event : parser.feed(text.substr(split))) {
            events.push_back(std::move(event));
        }
        ASSERT_EQ(events.size(), 2U) << split;
        EXPECT_EQ(events[0].id, "1");
        EXPECT_EQ(events[1].data, "b\nc");
        ASSERT_EQ(events[1].other_fields.size(), 1U);
        EXPECT_EQ(events[1].other_fields[0].second, "3");
    }
}

} // namespace

} // namespace hibiscus::transport
