#include "entry/kept_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <chrono>

namespace hibiscus::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

/// How long a client waits between two tries to connect.
constexpr base::millis reconnect_ms = 5;

/// The time between two pieces of a request.
constexpr base::millis piece_ms = 3;

std::string bytes_of(const kept_request& request) {
    auto out = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& f : request.fields) {
        out += f.name + ": " + f.value + "\r\n";
    }
    out += "Request-Id: " + request.id + "\r\n";
    out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return out + "\r\n" + request.body;
}

/// True if neither the end of the connection nor bytes have come.
bool is_quiet(tcp::socket& socket) {
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <
               0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

class kept_client::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& io, const base::endpoint& node, next_function next,
         ended_function ended)
        : socket_(io), timer_(io),
          node_(asio::ip::make_address(node.ip), node.port),
          next_(std::move(next)), ended_(std::move(ended)) {}

    void begin() {
        if (stopping_) {
            stopped_ = true;
            close();
            return;
        }
        request_ = next_();
        after(request_.pause_ms, &impl::connect);
    }

    void stop() { stopping_ = true; }
    bool stopped() const { return stopped_; }

private:
    void after(base::millis ms, void (impl::*then)()) {
        timer_.expires_after(std::chrono::milliseconds(ms));
        timer_.async_wait([self = shared_from_this(), then](const auto&) {
            (self.get()->*then)();
        });
    }

    void close() {
        beast::error_code ignored;
        socket_.close(ignored);
    }

    void connect() {
        if (socket_.is_open() && is_quiet(socket_)) {
            send();
            return;
        }
        close();
        buffer_.clear();
        socket_.async_connect(node_, [self = shared_from_this()](auto error) {
            if (!error) {
                self->send();
            } else if (self->stopping_) {
                self->stopped_ = true;
                self->close();
            } else {
                self->after(reconnect_ms, &impl::connect);
            }
        });
    }

    void send() {
        bytes_ = bytes_of(request_);
        sent_bytes_ = 0;
        answer_.emplace();
        answer_->body_limit(boost::none);
        reply_ = {};
        send_piece();
    }

    void send_piece() {
        const auto size = std::min(bytes_.size() / request_.pieces + 1,
                                   bytes_.size() - sent_bytes_);
        asio::async_write(
            socket_, asio::buffer(bytes_.data() + sent_bytes_, size),
            [self = shared_from_this()](auto error, std::size_t count) {
                self->on_sent(error, count);
            });
    }

    void on_sent(beast::error_code error, std::size_t count) {
        if (error) {
            on_broken(error);
            return;
        }
        sent_bytes_ += count;
        if (sent_bytes_ < bytes_.size()) {
            after(piece_ms, &impl::send_piece);
            return;
        }
        reply_.sent = true;
        sent_at_ = clock_.now();
        http::async_read(
            socket_, buffer_, *answer_,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                self->on_answer(e);
            });
    }

    void on_answer(beast::error_code error) {
        if (error) {
            on_broken(error);
            return;
        }
        auto message = answer_->release();
        reply_.status = static_cast<int>(message.result_int());
        reply_.body = std::move(message.body());
        if (!message.keep_alive()) {
            close();
        }
        end();
    }

    void on_broken(beast::error_code error) {
        reply_.reset = error == asio::error::connection_reset ||
                       error == asio::error::broken_pipe;
        close();
        end();
    }

    void end() {
        reply_.waited = reply_.sent ? clock_.now() - sent_at_ : 0;
        ended_(request_, reply_);
        begin();
    }

    base::clock clock_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    tcp::endpoint node_;
    next_function next_;
    ended_function ended_;
    kept_request request_;
    kept_reply reply_;
    std::string bytes_;
    std::size_t sent_bytes_ = 0;
    base::millis sent_at_ = 0;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> answer_;
    bool stopping_ = false;
    bool stopped_ = false;
};

kept_client::kept_client(asio::io_context& io, const base::endpoint& node,
                         next_function next, ended_function ended)
    : impl_(
          std::make_shared<impl>(io, node, std::move(next), std::move(ended))) {
    impl_->begin();
}

kept_client::~kept_client() {
    impl_->stop();
}

void kept_client::stop() {
    impl_->stop();
}

bool kept_client::stopped() const {
    return impl_->stopped();
}

} // namespace hibiscus::testing
