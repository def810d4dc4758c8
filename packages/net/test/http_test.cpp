#include "hibiscus/net/http_client.hpp"
#include "hibiscus/net/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <future>
#include <string>
#include <thread>
#include <vector>

namespace hibiscus::net {
namespace {

/// A server that returns the body of each request, and a client.
class http_test : public ::testing::Test {
protected:
    http_test()
        : server_(io_, limits(),
                  [](http_request request, const http_responder& respond) {
                      respond({200, request.body, "text/plain"});
                  }),
          client_(io_, 1000) {
        address_ = *server_.listen({"127.0.0.1", 0});
        thread_ = std::thread([this] { io_.run(); });
    }

    ~http_test() override {
        io_.stop();
        thread_.join();
    }

    static http_limits limits() {
        http_limits result;
        result.max_body_bytes = 1000;
        return result;
    }

    /// Sends `body` and waits for the result.
    http_result post(const base::endpoint& target, const std::string& body,
                     connection_reuse mode = connection_reuse::allowed) {
        std::promise<http_result> promise;
        http_request request;
        request.method = "POST";
        request.body = body;
        client_.send(target, request, 5000, mode, [&](http_result result) {
            promise.set_value(std::move(result));
        });
        return promise.get_future().get();
    }

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_guard_{io_.get_executor()};
    http_server server_;
    http_client client_;
    base::endpoint address_;
    std::thread thread_;
};

TEST_F(http_test, serves_several_requests_in_sequence) {
    for (const std::string body : {"a", "b", "c"}) {
        const auto result = post(address_, body);
        const auto* response = std::get_if<http_response>(&result);
        ASSERT_NE(response, nullptr);
        EXPECT_EQ(response->body, body);
    }
}

// A server stops accepting while connections with requests are in the kernel's
// backlog. If these were closed, the requests would be lost.
TEST(http_stop_test, connections_in_the_backlog_are_served) {
    namespace asio = boost::asio;
    using tcp = asio::ip::tcp;
    asio::io_context io;
    http_server server(io, {}, [](http_request, const http_responder& respond) {
        respond({200, "served", "text/plain"});
    });
    const auto address = *server.listen({"127.0.0.1", 0});
    asio::io_context callers;
    std::vector<tcp::socket> sockets;
    for (int n = 0; n < 3; ++n) {
        sockets.emplace_back(callers);
        sockets.back().connect(
            {asio::ip::make_address(address.ip), address.port});
        asio::write(sockets.back(),
                    asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n"
                                             "Connection: close\r\n\r\n")));
    }
    server.stop_accepting();
    std::thread server_thread([&io] { io.run(); });
    for (auto& socket : sockets) {
        std::string response;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(response), error);
        EXPECT_EQ(error, asio::error::eof);
        EXPECT_NE(response.find("served"), std::string::npos);
    }
    // The server closes a connection once the caller has closed it.
    sockets.clear();
    server_thread.join();
}

TEST_F(http_test, rejects_a_body_over_the_limit) {
    const auto result = post(address_, std::string(2000, 'x'));
    const auto* response = std::get_if<http_response>(&result);
    ASSERT_NE(response, nullptr);
    EXPECT_EQ(response->status, 413);
    EXPECT_TRUE(std::holds_alternative<http_response>(post(address_, "next")));
}

// Nothing listens at the address. No byte of the request was sent, so the
// client reports that it did not run.
TEST_F(http_test, a_request_to_a_closed_port_is_not_sent) {
    http_server other(io_, limits(), nullptr);
    const auto unused_address = *other.listen({"127.0.0.1", 0});
    other.stop_accepting();
    for (int i = 0; i < 50; ++i) {
        const auto result = post(unused_address, "x", connection_reuse::never);
        const auto* failure = std::get_if<http_failure>(&result);
        if (failure != nullptr &&
            failure->status == delivery_status::not_sent) {
            SUCCEED();
            return;
        }
    }
    FAIL() << "no attempt reported not_sent";
}

} // namespace
} // namespace hibiscus::net
