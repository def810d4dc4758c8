#include "hibiscus/net/http_client.hpp"
#include "hibiscus/net/http_server.hpp"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace hibiscus::net {
namespace {

/// A server that sends each body back, and a client of it.
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
        http_limits l;
        l.body_bytes = 1000;
        return l;
    }

    /// Sends `body` and waits for what comes of it.
    http_result post(const base::endpoint& to, const std::string& body,
                     reuse mode = reuse::allowed) {
        std::promise<http_result> promise;
        http_request request;
        request.method = "POST";
        request.body = body;
        client_.send(to, request, 5000, mode, [&](http_result result) {
            promise.set_value(std::move(result));
        });
        return promise.get_future().get();
    }

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_{io_.get_executor()};
    http_server server_;
    http_client client_;
    base::endpoint address_;
    std::thread thread_;
};

TEST_F(http_test, answers_one_request_after_the_other) {
    for (const std::string body : {"a", "b", "c"}) {
        const auto result = post(address_, body);
        const auto* response = std::get_if<http_response>(&result);
        ASSERT_NE(response, nullptr);
        EXPECT_EQ(response->body, body);
    }
}

TEST_F(http_test, refuses_a_body_over_the_limit) {
    const auto result = post(address_, std::string(2000, 'x'));
    const auto* response = std::get_if<http_response>(&result);
    ASSERT_NE(response, nullptr);
    EXPECT_EQ(response->status, 413);
    EXPECT_TRUE(std::holds_alternative<http_response>(post(address_, "next")));
}

// Nothing listens at the address. No byte of the request can have left, and
// the caller may be told that it was not run.
TEST_F(http_test, a_refused_connection_is_not_sent) {
    http_server other(io_, limits(), nullptr);
    const auto free = *other.listen({"127.0.0.1", 0});
    other.stop_accepting();
    for (int i = 0; i < 50; ++i) {
        const auto result = post(free, "x", reuse::never);
        const auto* failure = std::get_if<http_failure>(&result);
        if (failure != nullptr && failure->how == delivery::not_sent) {
            SUCCEED();
            return;
        }
    }
    FAIL() << "never not_sent";
}

} // namespace
} // namespace hibiscus::net
