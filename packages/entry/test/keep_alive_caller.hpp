#pragma once

#include "hibiscus/base/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace hibiscus::testing {

/// What a caller received for one request.
struct request_result {
    bool done = false;
    bool disconnected = false;
    bool head_received = false;
    bool complete = false;
    int status = 0;
    std::string request_id;
    std::string stamp;
    std::string body;
    /// The connection error that ended the response early, if any.
    std::string error;
    std::string failure;
};

/// A request that a caller is to send.
struct queued_request {
    std::string bytes;
    /// Time after which the caller closes its connection.
    std::optional<std::chrono::milliseconds> disconnect_after;
    std::shared_ptr<request_result> result;
};

/// Sends requests one after the other and reuses the connection as long as
/// possible.
class keep_alive_caller {
public:
    keep_alive_caller(boost::asio::io_context& io,
                      base::endpoint server_address)
        : io_(io), server_address_(std::move(server_address)), timer_(io) {}

    void enqueue(queued_request request) {
        queue_.push_back(std::move(request));
        if (!busy_) {
            send_next();
        }
    }

    bool is_busy() const { return busy_; }

    /// Returns the number of bytes received that belong to no request.
    std::size_t unsolicited_bytes() const {
        if (!socket_) {
            return 0;
        }
        boost::system::error_code ignored;
        return buffer_.size() + socket_->available(ignored);
    }

private:
    using tcp = boost::asio::ip::tcp;
    using error_code = boost::system::error_code;
    using parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    void send_next() {
        busy_ = !queue_.empty();
        if (!busy_) {
            return;
        }
        request_ = std::move(queue_.front());
        queue_.pop_front();
        if (unsolicited_bytes() > 0) {
            request_.result->failure =
                "received bytes without a pending request";
        }
        if (socket_) {
            send();
            return;
        }
        buffer_.clear();
        socket_ = std::make_shared<tcp::socket>(io_);
        socket_->async_connect(
            tcp::endpoint(boost::asio::ip::make_address(server_address_.ip),
                          server_address_.port),
            [this](error_code error) {
                if (error) {
                    request_.result->error = "connect: " + error.message();
                    finish(false);
                } else {
                    send();
                }
            });
    }

    void send() {
        boost::asio::async_write(*socket_, boost::asio::buffer(request_.bytes),
                                 [](error_code, std::size_t) {});
        parser_ = std::make_shared<parser>();
        boost::beast::http::async_read(
            *socket_, buffer_, *parser_,
            [this, p = parser_, s = socket_](error_code error, std::size_t) {
                if (p == parser_) {
                    record_response(*p, error);
                    finish(!error && p->get().keep_alive());
                }
            });
        if (request_.disconnect_after) {
            timer_.expires_after(*request_.disconnect_after);
            timer_.async_wait([this, p = parser_](error_code error) {
                if (!error && p == parser_) {
                    request_.result->disconnected = true;
                    finish(false);
                }
            });
        }
    }

    void record_response(parser& p, error_code error) {
        auto& r = *request_.result;
        r.head_received = p.is_header_done();
        r.complete = !error;
        r.error = error ? error.message() : "";
        if (!r.head_received) {
            return;
        }
        r.status = static_cast<int>(p.get().result_int());
        r.request_id = std::string(p.get()["Request-Id"]);
        r.stamp = std::string(p.get()["Response-Stamp"]);
        r.body = p.get().body();
    }

    void finish(bool keep_connection) {
        timer_.cancel();
        parser_.reset();
        if (!keep_connection && socket_) {
            error_code ignored;
            socket_->close(ignored);
            socket_.reset();
        }
        request_.result->done = true;
        boost::asio::post(io_, [this] { send_next(); });
    }

    boost::asio::io_context& io_;
    base::endpoint server_address_;
    boost::asio::steady_timer timer_;
    std::deque<queued_request> queue_;
    queued_request request_;
    std::shared_ptr<tcp::socket> socket_;
    std::shared_ptr<parser> parser_;
    boost::beast::flat_buffer buffer_;
    bool busy_ = false;
};

} // namespace hibiscus::testing
