#include "hibiscus/net/http_client.hpp"

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace hibiscus::net {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr const char* whole =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour";

/// A client, and a server that does to each connection what a test says.
class http_client_test : public ::testing::Test {
protected:
    using script = std::function<void(tcp::socket)>;

    http_client_test()
        : acceptor_(server_io_, {asio::ip::make_address("127.0.0.1"), 0}),
          address_{"127.0.0.1", acceptor_.local_endpoint().port()},
          client_(io_, 1000), thread_([this] { io_.run(); }) {}

    ~http_client_test() override {
        io_.stop();
        thread_.join();
        if (server_.joinable()) {
            server_.join();
        }
    }

    /// Accepts one connection for each script; then nothing listens any more.
    void serve(std::vector<script> scripts) {
        server_ = std::thread([this, all = std::move(scripts)] {
            for (const auto& one : all) {
                one(acceptor_.accept());
            }
        });
    }

    /// Reads one request without a body.
    static void read_request(tcp::socket& socket) {
        std::string text;
        asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n");
    }

    static void write(tcp::socket& socket, const std::string& text) {
        asio::write(socket, asio::buffer(text));
    }

    http_result get(base::millis timeout = 20000,
                    connection_reuse mode = connection_reuse::allowed) {
        std::promise<http_result> promise;
        client_.send(address_, {}, timeout, mode, [&](http_result result) {
            promise.set_value(std::move(result));
        });
        return promise.get_future().get();
    }

    static delivery_status how_of(const http_result& result) {
        const auto* failure = std::get_if<http_failure>(&result);
        EXPECT_NE(failure, nullptr) << "an answer came";
        return failure != nullptr ? failure->status : delivery_status::not_sent;
    }

    asio::io_context server_io_;
    tcp::acceptor acceptor_;
    base::endpoint address_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_{
        io_.get_executor()};
    http_client client_;
    std::thread thread_;
    std::thread server_;
};

// The server reads a request that came over a used connection, runs it and
// dies. The client may not say that the request was not sent only because the
// server cannot be reached any more: the caller would run it a second time.
TEST_F(http_client_test, a_request_lost_on_a_used_connection_stays_lost) {
    serve({[this](tcp::socket socket) {
        read_request(socket);
        write(socket, whole);
        read_request(socket);
        acceptor_.close();
    }});
    ASSERT_TRUE(std::holds_alternative<http_response>(get()));
    EXPECT_EQ(how_of(get()), delivery_status::lost);
}

// As above, but the server is back at once and refuses. The refusal is true
// of the second send only, so the answer says that there was a first.
TEST_F(http_client_test, an_answer_says_that_the_request_was_sent_twice) {
    serve({[](tcp::socket socket) {
               read_request(socket);
               write(socket, whole);
               read_request(socket);
           },
           [](tcp::socket socket) {
               read_request(socket);
               write(socket, whole);
           }});
    auto first = get();
    ASSERT_TRUE(std::holds_alternative<http_response>(first));
    EXPECT_FALSE(std::get<http_response>(first).resent);
    auto second = get();
    ASSERT_TRUE(std::holds_alternative<http_response>(second));
    EXPECT_TRUE(std::get<http_response>(second).resent);
}

// The connection is cut within the answer. The caller would take the first
// bytes for the whole answer.
TEST_F(http_client_test, an_answer_that_is_cut_is_no_answer) {
    const std::string text = whole;
    std::vector<script> scripts;
    for (std::size_t n = 0; n < text.size(); ++n) {
        scripts.emplace_back([text, n](tcp::socket socket) {
            read_request(socket);
            write(socket, text.substr(0, n));
        });
    }
    serve(scripts);
    for (std::size_t n = 0; n < text.size(); ++n) {
        EXPECT_EQ(how_of(get(20000, connection_reuse::never)),
                  delivery_status::lost)
            << n;
    }
}

// An answer without a length ends with its connection. Whether it is whole
// cannot be told: a cut looks the same.
TEST_F(http_client_test, an_answer_without_a_length_is_no_answer) {
    serve({[](tcp::socket socket) {
        read_request(socket);
        write(socket, "HTTP/1.1 200 OK\r\n\r\nfou");
    }});
    EXPECT_EQ(how_of(get()), delivery_status::lost);
}

// Several connections wait in the pool when the network loses track of all of
// them. The first request to find out may pay for it; the next one must not.
TEST_F(http_client_test, one_silent_connection_takes_the_others_with_it) {
    std::promise<void> over;
    const auto end = over.get_future().share();
    const script silent_after_one = [end](tcp::socket socket) {
        read_request(socket);
        write(socket, whole);
        end.wait();
    };
    // The two sockets must be served at the same time, so that both wait in
    // the pool.
    std::thread other;
    serve({[&](tcp::socket socket) {
               other = std::thread([&, s = std::move(socket)]() mutable {
                   silent_after_one(std::move(s));
               });
           },
           [&](tcp::socket socket) {
               read_request(socket);
               write(socket, whole);
               tcp::socket next = acceptor_.accept();
               read_request(next);
               write(next, whole);
               end.wait();
           }});
    std::promise<http_result> first;
    client_.send(address_, {}, 20000, connection_reuse::never,
                 [&](http_result r) { first.set_value(std::move(r)); });
    ASSERT_TRUE(std::holds_alternative<http_response>(
        get(20000, connection_reuse::never)));
    ASSERT_TRUE(
        std::holds_alternative<http_response>(first.get_future().get()));
    EXPECT_EQ(how_of(get(200)), delivery_status::lost);
    EXPECT_TRUE(std::holds_alternative<http_response>(get()));
    over.set_value();
    server_.join();
    other.join();
}

// A caller gives a request up. It must hear so at once, not after the
// request's whole time.
TEST_F(http_client_test, a_cancelled_request_ends_at_once) {
    // The server's thread may go on when the test is over: what it uses is its
    // own.
    const auto arrived = std::make_shared<std::promise<void>>();
    std::promise<void> over;
    serve({[arrived, ended = over.get_future().share()](tcp::socket socket) {
        read_request(socket);
        arrived->set_value();
        ended.wait();
    }});
    std::promise<http_result> promise;
    const auto cancel =
        client_.send(address_, {}, 600000, connection_reuse::never,
                     [&](http_result r) { promise.set_value(std::move(r)); });
    arrived->get_future().wait();
    cancel();
    EXPECT_TRUE(
        std::holds_alternative<http_failure>(promise.get_future().get()));
    over.set_value();
}

// A caller gives a request up while a step of it has ended and its handler
// waits for the thread, as on a busy machine. The next step must not begin: the
// caller would wait for the request's whole time.
TEST_F(http_client_test, a_request_is_cancelled_between_any_two_of_its_steps) {
    constexpr int most_steps = 100;
    constexpr auto patience = std::chrono::seconds(10);
    asio::io_context io;
    http_client client(io, 1000);
    int steps = 0;
    for (bool waiting = false; !waiting && steps < most_steps; ++steps) {
        bool ended = false;
        const auto cancel =
            client.send(address_, {}, 600000, connection_reuse::never,
                        [&](const http_result&) { ended = true; });
        io.restart();
        int run = 0;
        while (run < steps && io.poll_one() > 0) {
            ++run;
        }
        // The connection opens by itself, and nobody answers: once no handler
        // is left, the request waits for its answer.
        waiting = run < steps;
        cancel();
        io.restart();
        const auto until = std::chrono::steady_clock::now() + patience;
        while (!ended && std::chrono::steady_clock::now() < until) {
            io.run_one_until(until);
        }
        EXPECT_TRUE(ended) << "cancelled after " << run << " steps";
    }
    EXPECT_GT(steps, 3);
    EXPECT_LT(steps, most_steps);
}

} // namespace
} // namespace hibiscus::net
