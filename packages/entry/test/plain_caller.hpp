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

/// What a caller got for one request.
struct caller_result {
    bool done = false;
    bool left = false;
    bool head = false;
    bool complete = false;
    int status = 0;
    std::string id;
    std::string stamp;
    std::string body;
    /// How the connection ended, if it did before the answer.
    std::string error;
    std::string wrong;
};

/// A request of a caller.
struct caller_request {
    std::string bytes;
    /// After which the caller closes its connection.
    std::optional<std::chrono::milliseconds> leaves_after;
    std::shared_ptr<caller_result> result;
};

/// Sends requests one after the other on a connection that it keeps as long as
/// it can.
class plain_caller {
public:
    plain_caller(boost::asio::io_context& io, base::endpoint to)
        : io_(io), to_(std::move(to)), timer_(io) {}

    void add(caller_request request) {
        waiting_.push_back(std::move(request));
        if (!busy_) {
            next();
        }
    }

    bool busy() const { return busy_; }

    /// Returns how many bytes have come that belong to no request.
    std::size_t stray_bytes() const {
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

    void next() {
        busy_ = !waiting_.empty();
        if (!busy_) {
            return;
        }
        request_ = std::move(waiting_.front());
        waiting_.pop_front();
        if (stray_bytes() > 0) {
            request_.result->wrong = "bytes came while no request waited";
        }
        if (socket_) {
            send();
            return;
        }
        buffer_.clear();
        socket_ = std::make_shared<tcp::socket>(io_);
        socket_->async_connect(
            tcp::endpoint(boost::asio::ip::make_address(to_.ip), to_.port),
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
                    note(*p, error);
                    finish(!error && p->get().keep_alive());
                }
            });
        if (request_.leaves_after) {
            timer_.expires_after(*request_.leaves_after);
            timer_.async_wait([this, p = parser_](error_code error) {
                if (!error && p == parser_) {
                    request_.result->left = true;
                    finish(false);
                }
            });
        }
    }

    void note(parser& p, error_code error) {
        auto& r = *request_.result;
        r.head = p.is_header_done();
        r.complete = !error;
        r.error = error ? error.message() : "";
        if (!r.head) {
            return;
        }
        r.status = static_cast<int>(p.get().result_int());
        r.id = std::string(p.get()["Request-Id"]);
        r.stamp = std::string(p.get()["Response-Stamp"]);
        r.body = p.get().body();
    }

    void finish(bool keep) {
        timer_.cancel();
        parser_.reset();
        if (!keep && socket_) {
            error_code ignored;
            socket_->close(ignored);
            socket_.reset();
        }
        request_.result->done = true;
        boost::asio::post(io_, [this] { next(); });
    }

    boost::asio::io_context& io_;
    base::endpoint to_;
    boost::asio::steady_timer timer_;
    std::deque<caller_request> waiting_;
    caller_request request_;
    std::shared_ptr<tcp::socket> socket_;
    std::shared_ptr<parser> parser_;
    boost::beast::flat_buffer buffer_;
    bool busy_ = false;
};

} // namespace hibiscus::testing
