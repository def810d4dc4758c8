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

constexpr const char* complete_response =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour";

/// A client, and a server that handles each connection with a function of the
/// test.
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
        if (server_thread_.joinable()) {
            server_thread_.join();
        }
    }

    /// Accepts one connection for each script, in order, and no more after
    /// that.
    void serve(std::vector<script> scripts) {
        server_thread_ =
            std::thread([this, scripts_to_run = std::move(scripts)] {
                for (const auto& run : scripts_to_run) {
                    run(acceptor_.accept());
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

    static delivery_status status_of_failure(const http_result& result) {
        const auto* failure = std::get_if<http_failure>(&result);
        EXPECT_NE(failure, nullptr) << "a response arrived";
        return failure != nullptr ? failure->status : delivery_status::not_sent;
    }

    asio::io_context server_io_;
    tcp::acceptor acceptor_;
    base::endpoint address_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_{
        io_.get_executor()};
    http_client client_;
    std::thread thread_;
    std::thread server_thread_;
};

// The server reads a request from a reused connection, runs it and crashes.
// The client can't reconnect, but must report lost and not not_sent: otherwise
// the caller would run the request a second time.
TEST_F(http_client_test, a_request_lost_on_a_used_connection_stays_lost) {
    serve({[this](tcp::socket socket) {
        read_request(socket);
        write(socket, complete_response);
        read_request(socket);
        acceptor_.close();
    }});
    ASSERT_TRUE(std::holds_alternative<http_response>(get()));
    EXPECT_EQ(status_of_failure(get()), delivery_status::lost);
}

// As above, but the server restarts at once and responds to the second copy of
// the request. A rejection would hold for the second copy only, so the response
// says that there was a first.
TEST_F(http_client_test, a_response_says_that_the_request_was_sent_twice) {
    serve({[](tcp::socket socket) {
               read_request(socket);
               write(socket, complete_response);
               read_request(socket);
           },
           [](tcp::socket socket) {
               read_request(socket);
               write(socket, complete_response);
           }});
    auto first = get();
    ASSERT_TRUE(std::holds_alternative<http_response>(first));
    EXPECT_FALSE(std::get<http_response>(first).resent);
    auto second = get();
    ASSERT_TRUE(std::holds_alternative<http_response>(second));
    EXPECT_TRUE(std::get<http_response>(second).resent);
}

// The connection is closed in the middle of the response. The caller must not
// take the first bytes for the complete response.
TEST_F(http_client_test, an_answer_that_is_cut_is_no_answer) {
    const std::string text = complete_response;
    std::vector<script> scripts;
    for (std::size_t n = 0; n < text.size(); ++n) {
        scripts.emplace_back([text, n](tcp::socket socket) {
            read_request(socket);
            write(socket, text.substr(0, n));
        });
    }
    serve(scripts);
    for (std::size_t n = 0; n < text.size(); ++n) {
        EXPECT_EQ(status_of_failure(get(20000, connection_reuse::never)),
                  delivery_status::lost)
            << n;
    }
}

// Guards against statuses that HTTP does not have.
TEST_F(http_client_test, a_status_that_is_none_is_no_answer) {
    const std::vector<std::string> statuses{"000", "099", "100", "101",
                                            "199", "600", "999"};
    std::vector<script> scripts;
    scripts.reserve(statuses.size());
    for (const auto& status : statuses) {
        scripts.emplace_back([status](tcp::socket socket) {
            read_request(socket);
            write(socket, "HTTP/1.1 " + status +
                              " Trouble\r\nContent-Length: 4\r\n\r\nfour");
        });
    }
    serve(scripts);
    for (const auto& status : statuses) {
        EXPECT_EQ(status_of_failure(get(20000, connection_reuse::never)),
                  delivery_status::lost)
            << status;
    }
}

// Guards against answers that are lost behind interim ones.
TEST_F(http_client_test, interim_answers_are_skipped) {
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    serve({[hints](tcp::socket socket) {
               read_request(socket);
               write(socket, hints + hints + complete_response);
           },
           [hints](tcp::socket socket) {
               read_request(socket);
               write(socket, hints);
           },
           [hints](tcp::socket socket) {
               read_request(socket);
               boost::system::error_code error;
               while (!error) {
                   asio::write(socket, asio::buffer(hints), error);
               }
           }});
    const auto result = get(20000, connection_reuse::never);
    ASSERT_TRUE(std::holds_alternative<http_response>(result));
    EXPECT_EQ(std::get<http_response>(result).status, 200);
    EXPECT_EQ(std::get<http_response>(result).body, "four");
    for (int n = 0; n < 2; ++n) {
        EXPECT_EQ(status_of_failure(get(20000, connection_reuse::never)),
                  delivery_status::lost);
    }
}

// Guards against coded bytes that are taken for the body.
TEST_F(http_client_test, a_transfer_coding_other_than_chunked_is_no_answer) {
    const std::vector<std::string> codings{"gzip, chunked", "identity, chunked",
                                           "gzip\r\nTransfer-Encoding: chunked",
                                           "gzip\r\nContent-Length: 14"};
    std::vector<script> scripts;
    scripts.reserve(codings.size());
    for (const auto& coding : codings) {
        scripts.emplace_back([coding](tcp::socket socket) {
            read_request(socket);
            write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                              "\r\n\r\n4\r\nfour\r\n0\r\n\r\n");
        });
    }
    serve(scripts);
    for (const auto& coding : codings) {
        EXPECT_EQ(status_of_failure(get(20000, connection_reuse::never)),
                  delivery_status::lost)
            << coding;
    }
}

// Guards against memory for lengths that a server only names.
TEST_F(http_client_test, an_answer_over_the_limit_is_no_answer) {
    const std::vector<std::string> lengths{"67108865", "999999999999",
                                           "18446744073709551615"};
    std::vector<script> scripts;
    for (const auto& length : lengths) {
        for (const char* part : {"", "four"}) {
            scripts.emplace_back([length, part](tcp::socket socket) {
                read_request(socket);
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + length +
                                  "\r\n\r\n" + part);
            });
        }
    }
    serve(scripts);
    for (std::size_t n = 0; n < scripts.size(); ++n) {
        EXPECT_EQ(status_of_failure(get(20000, connection_reuse::never)),
                  delivery_status::lost)
            << n;
    }
}

// A response without a length ends when the connection closes, so a truncated
// response looks like a complete one.
TEST_F(http_client_test, an_answer_without_a_length_is_no_answer) {
    serve({[](tcp::socket socket) {
        read_request(socket);
        write(socket, "HTTP/1.1 200 OK\r\n\r\nfou");
    }});
    EXPECT_EQ(status_of_failure(get()), delivery_status::lost);
}

// All pooled connections to a server die silently. The first request over one
// of them runs into its timeout; the next request must not.
TEST_F(http_client_test, one_silent_connection_takes_the_others_with_it) {
    std::promise<void> test_done;
    const auto done = test_done.get_future().share();
    const script respond_once_then_hang = [done](tcp::socket socket) {
        read_request(socket);
        write(socket, complete_response);
        done.wait();
    };
    // The two sockets must be served at the same time, so that both enter the
    // pool.
    std::thread first_server;
    serve({[&](tcp::socket socket) {
               first_server = std::thread([&, s = std::move(socket)]() mutable {
                   respond_once_then_hang(std::move(s));
               });
           },
           [&](tcp::socket socket) {
               read_request(socket);
               write(socket, complete_response);
               tcp::socket next = acceptor_.accept();
               read_request(next);
               write(next, complete_response);
               done.wait();
           }});
    std::promise<http_result> first;
    client_.send(address_, {}, 20000, connection_reuse::never,
                 [&](http_result r) { first.set_value(std::move(r)); });
    ASSERT_TRUE(std::holds_alternative<http_response>(
        get(20000, connection_reuse::never)));
    ASSERT_TRUE(
        std::holds_alternative<http_response>(first.get_future().get()));
    EXPECT_EQ(status_of_failure(get(200)), delivery_status::lost);
    EXPECT_TRUE(std::holds_alternative<http_response>(get()));
    test_done.set_value();
    server_thread_.join();
    first_server.join();
}

// A caller cancels a request. Its callback must run at once, not when the
// request times out.
TEST_F(http_client_test, a_cancelled_request_ends_at_once) {
    // The server thread may outlive the test body, so it owns what it uses.
    const auto arrived = std::make_shared<std::promise<void>>();
    std::promise<void> test_done;
    serve(
        {[arrived, done = test_done.get_future().share()](tcp::socket socket) {
            read_request(socket);
            arrived->set_value();
            done.wait();
        }});
    std::promise<http_result> promise;
    const auto cancel =
        client_.send(address_, {}, 600000, connection_reuse::never,
                     [&](http_result r) { promise.set_value(std::move(r)); });
    arrived->get_future().wait();
    cancel();
    EXPECT_TRUE(
        std::holds_alternative<http_failure>(promise.get_future().get()));
    test_done.set_value();
}

// A caller cancels a request after one of its operations has completed but
// before the handler has run, as happens on a busy machine. The handler must
// not start the next operation: the caller would wait until the request times
// out.
TEST_F(http_client_test, a_request_is_cancelled_between_any_two_of_its_steps) {
    constexpr int max_steps = 100;
    constexpr auto wait_timeout = std::chrono::seconds(10);
    asio::io_context io;
    http_client client(io, 1000);
    int steps = 0;
    for (bool waiting = false; !waiting && steps < max_steps; ++steps) {
        bool is_done = false;
        const auto cancel =
            client.send(address_, {}, 600000, connection_reuse::never,
                        [&](const http_result&) { is_done = true; });
        io.restart();
        int steps_run = 0;
        while (steps_run < steps && io.poll_one() > 0) {
            ++steps_run;
        }
        // The kernel accepts the connection and nothing responds. Once no
        // handler is ready, the request is waiting for its response.
        waiting = steps_run < steps;
        cancel();
        io.restart();
        const auto deadline = std::chrono::steady_clock::now() + wait_timeout;
        while (!is_done && std::chrono::steady_clock::now() < deadline) {
            io.run_one_until(deadline);
        }
        EXPECT_TRUE(is_done) << "cancelled after " << steps_run << " steps";
    }
    EXPECT_GT(steps, 3);
    EXPECT_LT(steps, max_steps);
}

} // namespace
} // namespace hibiscus::net
