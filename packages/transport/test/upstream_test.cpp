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

/// Answers each connection's requests with scripted bytes, in order.
class scripted_server {
public:
    struct answer {
        std::string bytes;
        bool close = false;
    };

    scripted_server(asio::io_context& io, std::deque<answer> script)
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
    struct connection {
        explicit connection(tcp::socket s) : socket(std::move(s)) {}
        tcp::socket socket;
        asio::streambuf in;
    };

    void accept() {
        acceptor_.async_accept([this](const auto& error, tcp::socket socket) {
            if (error) {
                return;
            }
            ++connections_;
            serve(std::make_shared<connection>(std::move(socket)));
            accept();
        });
    }

    void serve(const std::shared_ptr<connection>& c) {
        asio::async_read_until(
            c->socket, c->in, "\r\n\r\n",
            [this, c](const auto& error, std::size_t n) {
                if (error || script_.empty()) {
                    return;
                }
                ++requests_;
                c->in.consume(n);
                auto a = std::make_shared<answer>(script_.front());
                script_.pop_front();
                asio::async_write(c->socket, asio::buffer(a->bytes),
                                  [this, c, a](const auto& e, std::size_t) {
                                      if (!e && !a->close) {
                                          serve(c);
                                      }
                                  });
            });
    }

    tcp::acceptor acceptor_;
    std::deque<answer> script_;
    int connections_ = 0;
    int requests_ = 0;
};

struct call_result {
    int status = 0;
    std::string body;
    int pieces = 0;
    std::optional<call_outcome> outcome;
};

class upstream_test : public testing::Test {
protected:
    call_result get(const base::endpoint& to, const std::string& id = "",
                    upstream_call_options options = {}) {
        auto out = std::make_shared<call_result>();
        upstream_request request;
        if (!id.empty()) {
            request.fields.push_back({"Request-Id", id});
        }
        upstream_callbacks events;
        events.on_head = [out](const auto& h) { out->status = h.status; };
        events.on_data = [out](std::string_view piece) {
            out->body += piece;
            ++out->pieces;
        };
        events.on_end = [this, out](call_outcome end) {
            out->outcome = end;
            io_.stop();
        };
        const auto call = client_.start(to, request, options, events,
                                        id.empty() ? "" : "Request-Id");
        io_.restart();
        io_.run_for(std::chrono::seconds(20));
        return *out;
    }

    asio::io_context io_{1};
    upstream_client client_{io_};
};

std::string encode_chunk(const std::string& piece) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    return size + piece + "\r\n";
}

const std::string chunked_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST_F(upstream_test,
       hands_on_all_of_a_body_in_chunks_that_comes_with_the_head) {
    const std::string event(350, 'x');
    std::string bytes = chunked_head;
    for (int i = 0; i < 20; ++i) {
        bytes += encode_chunk(event);
    }
    scripted_server server(io_, {{bytes + "0\r\n\r\n"}});
    const auto got = get(server.address());
    EXPECT_EQ(got.outcome, call_outcome::complete);
    EXPECT_EQ(got.body.size(), 20 * event.size());
}

TEST_F(upstream_test, hands_on_what_came_of_a_body_before_its_end) {
    // The first piece and its head fill more than one read; the server then
    // pauses. A reader of events must see the first one at once.
    const std::string event(900, 'x');
    scripted_server server(io_, {{chunked_head + encode_chunk(event)}});
    upstream_call_options options;
    options.idle_timeout_ms = 300;
    const auto got = get(server.address(), "", options);
    EXPECT_EQ(got.outcome, call_outcome::idle_timeout);
    EXPECT_EQ(got.body.size(), event.size());
}

TEST_F(upstream_test, uses_a_connection_again) {
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    scripted_server server(io_, {{whole}, {whole}});
    EXPECT_EQ(get(server.address()).body, "ok");
    EXPECT_EQ(get(server.address()).body, "ok");
    EXPECT_EQ(server.connections(), 1);
    EXPECT_EQ(client_.counts().connections_reused, 1U);
}

TEST_F(upstream_test, an_answer_to_another_request_is_broken) {
    // A server sends a second answer to an earlier request where the next
    // one's is due. Its caller would get what belongs to another.
    const std::string other = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                              "Content-Length: 2\r\n\r\nok";
    scripted_server server(io_, {{other}});
    const auto got = get(server.address(), "b");
    EXPECT_EQ(got.outcome, call_outcome::broken);
    EXPECT_EQ(got.status, 0);
}

TEST_F(upstream_test, bytes_on_an_idle_connection_end_it) {
    // A server sends more bytes after a whole answer. They belong to no
    // request; the next one must go out on another connection.
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    scripted_server server(io_, {{whole + "HTTP/1.1 200 OK\r\n"}, {whole}});
    EXPECT_EQ(get(server.address()).outcome, call_outcome::complete);
    EXPECT_EQ(get(server.address()).outcome, call_outcome::complete);
    EXPECT_EQ(server.connections(), 2);
}

TEST_F(upstream_test, an_answer_without_a_length_is_told_from_a_framed_one) {
    scripted_server server(io_, {{"HTTP/1.1 200 OK\r\n\r\nabc", true}});
    const auto got = get(server.address());
    EXPECT_EQ(got.outcome, call_outcome::closed_without_length);
    EXPECT_EQ(got.body, "abc");
}

TEST_F(upstream_test, a_chunked_body_that_breaks_off_is_broken) {
    scripted_server server(io_, {{chunked_head + encode_chunk("abc"), true}});
    EXPECT_EQ(get(server.address()).outcome, call_outcome::broken);
}

TEST_F(upstream_test, says_not_sent_if_nobody_listens) {
    base::endpoint nobody;
    {
        scripted_server server(io_, {});
        nobody = server.address();
    }
    EXPECT_EQ(get(nobody).outcome, call_outcome::not_sent);
}

TEST_F(upstream_test, calls_from_before_a_silence_are_abandoned) {
    // A server takes requests and answers nothing for some seconds. It answers
    // new ones then, but never those of before; who waits for these waits in
    // vain until its bound.
    scripted_server silent(io_, {{"HTTP/1.1 "}, {"HTTP/1.1 "}, {"HTTP/1.1 "}});
    const auto now = base::clock().now();
    std::map<std::string, call_outcome> ends;
    const auto begin = [&](const std::string& name) {
        upstream_callbacks events;
        events.on_end = [&ends, name](call_outcome end) { ends[name] = end; };
        return client_.start(silent.address(), {}, {}, std::move(events));
    };
    const auto kept = begin("other server");
    client_.end_calls_started_before({"127.0.0.1", 1}, now + 60000);
    client_.end_calls_started_before(silent.address(), now);
    EXPECT_TRUE(ends.empty());
    const auto unconnected = begin("without a connection");
    client_.end_calls_started_before(silent.address(), now + 60000);
    EXPECT_EQ(ends.at("other server"), call_outcome::not_sent);
    EXPECT_EQ(ends.at("without a connection"), call_outcome::not_sent);
    const auto asked = begin("asked");
    while (silent.requests() < 1) {
        io_.run_one_for(std::chrono::seconds(20));
    }
    client_.end_calls_started_before(silent.address(), now + 60000);
    EXPECT_EQ(ends.at("asked"), call_outcome::total_timeout);
}

// Guards against a crash when an event of a call makes its owner cancel it.
TEST_F(upstream_test, a_call_is_cancelled_from_its_own_events) {
    struct owner {
        std::shared_ptr<upstream_call> call;
        int cancelled = 0;
    };
    const std::string bytes = chunked_head + encode_chunk("abc");
    scripted_server server(io_, {{bytes}, {bytes}});
    for (const bool at_head : {true, false}) {
        owner state;
        const auto cancel = [at = &state](int number) {
            at->call->cancel();
            at->cancelled = number;
        };
        upstream_callbacks events;
        if (at_head) {
            events.on_head = [cancel](const auto&) { cancel(1); };
        } else {
            events.on_data = [cancel](std::string_view) { cancel(2); };
        }
        state.call = client_.start(server.address(), {}, {}, std::move(events));
        io_.restart();
        for (int n = 0; n < 2000 && state.cancelled == 0; ++n) {
            io_.run_one_for(std::chrono::milliseconds(10));
        }
        EXPECT_EQ(state.cancelled, at_head ? 1 : 2);
    }
}

/// A client whose thread is held up for longer than the bounds of its call,
/// with a sweep due as soon as the thread goes on.
class stalled_thread_test : public upstream_test {
protected:
    stalled_thread_test() {
        // Keeps the client sweeping.
        background_call_ =
            client_.start(address_of(silent_acceptor_), {}, {}, {});
        run_until([] { return false; }, 4);
    }

    static base::endpoint address_of(const tcp::acceptor& at) {
        return {"127.0.0.1", at.local_endpoint().port()};
    }

    void start(upstream_call_options options) {
        upstream_callbacks events;
        events.on_data = [this](std::string_view piece) {
            received_bytes_ += piece.size();
        };
        events.on_end = [this](call_outcome end) { outcome_ = end; };
        call_ = client_.start(address_of(responding_acceptor_), {}, options,
                              events);
    }

    /// Starts a call and runs until its server has the request.
    void start_and_send(upstream_call_options options) {
        start(options);
        server_.emplace(responding_acceptor_.accept());
        run_until([this] { return server_->available() > 0; });
    }

    void write(const std::string& bytes) {
        asio::write(*server_, asio::buffer(bytes));
    }

    template <class Condition>
    void run_until(Condition done, int most = 2000) {
        for (int n = 0; n < most && !done(); ++n) {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(10));
        }
    }

    /// Runs `before` on the client's thread and holds the thread up then.
    void stall_thread(const std::function<void()>& before) {
        std::this_thread::sleep_for(sweep_interval);
        bool over = false;
        asio::post(io_, [&] {
            before();
            std::this_thread::sleep_for(
                std::chrono::milliseconds(timeout_ms + 300));
            over = true;
        });
        run_until([&] { return over; });
    }

    void run_to_end() {
        run_until([this] { return outcome_.has_value(); });
    }

    static constexpr base::millis timeout_ms = 1000;
    static constexpr std::chrono::milliseconds sweep_interval{60};
    tcp::acceptor responding_acceptor_{
        io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    tcp::acceptor silent_acceptor_{
        io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::shared_ptr<upstream_call> background_call_;
    std::shared_ptr<upstream_call> call_;
    std::optional<tcp::socket> server_;
    std::optional<call_outcome> outcome_;
    std::size_t received_bytes_ = 0;
};

// Guards against a sound server that counts as unreachable.
TEST_F(stalled_thread_test, a_connection_that_has_opened_is_used) {
    upstream_call_options options;
    options.connect_timeout_ms = timeout_ms;
    stall_thread([&] { start(options); });
    server_.emplace(responding_acceptor_.accept());
    write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    run_to_end();
    ASSERT_TRUE(outcome_);
    EXPECT_EQ(*outcome_, call_outcome::complete);
}

// Guards against a stream that is cut although its bytes have come.
TEST_F(stalled_thread_test, a_stream_that_moves_is_not_silent) {
    upstream_call_options options;
    options.idle_timeout_ms = timeout_ms;
    start_and_send(options);
    stall_thread([&] { write(chunked_head + encode_chunk("abc")); });
    run_until([this] { return outcome_ || received_bytes_ > 0; });
    EXPECT_FALSE(outcome_);
    write("0\r\n\r\n");
    run_to_end();
    ASSERT_TRUE(outcome_);
    EXPECT_EQ(*outcome_, call_outcome::complete);
}

// Guards against a time-out of a call whose answer is there.
TEST_F(stalled_thread_test,
       an_answer_that_has_come_counts_behind_the_deadline) {
    upstream_call_options options;
    options.total_timeout_ms = timeout_ms;
    start_and_send(options);
    stall_thread([&] {
        write("HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" +
              std::string(40000, 'x'));
    });
    run_to_end();
    ASSERT_TRUE(outcome_);
    EXPECT_EQ(*outcome_, call_outcome::complete);
}

// Guards against a call without an end in a thread that is always late.
TEST_F(stalled_thread_test, bounds_hold_in_a_thread_that_is_always_late) {
    for (const auto end :
         {call_outcome::idle_timeout, call_outcome::total_timeout}) {
        upstream_call_options options;
        (end == call_outcome::idle_timeout ? options.idle_timeout_ms
                                           : options.total_timeout_ms) = 100;
        outcome_.reset();
        start_and_send(options);
        for (int n = 0; n < 100 && !outcome_; ++n) {
            std::this_thread::sleep_for(std::chrono::milliseconds(150));
            io_.restart();
            io_.poll();
        }
        ASSERT_TRUE(outcome_);
        EXPECT_EQ(*outcome_, end);
    }
}

TEST(event_stream_parser_test, splits_events_wherever_the_bytes_are_cut) {
    const std::string text = "id: 1\ndata: a\n\nweight-versions: 3\nid: 2\n"
                             "data: b\ndata: c\n\nid: 3\ndata: cut";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        event_stream_parser parser;
        auto events = parser.feed(text.substr(0, cut));
        for (auto& e : parser.feed(text.substr(cut))) {
            events.push_back(std::move(e));
        }
        ASSERT_EQ(events.size(), 2U) << cut;
        EXPECT_EQ(events[0].id, "1");
        EXPECT_EQ(events[1].data, "b\nc");
        ASSERT_EQ(events[1].other_fields.size(), 1U);
        EXPECT_EQ(events[1].other_fields[0].second, "3");
    }
}

} // namespace

} // namespace hibiscus::transport
