#include "entry/keep_alive_client.hpp"

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

/// The delay between two connection attempts, in ms.
constexpr base::millis reconnect_delay_ms = 5;

/// The delay between two writes of a request, in ms.
constexpr base::millis write_delay_ms = 3;

std::string serialize_request(const client_request& request) {
    auto text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& field : request.fields) {
        text += field.name + ": " + field.value + "\r\n";
    }
    text += "Request-Id: " + request.id + "\r\n";
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

/// Returns true if neither data nor the end of the connection was received.
bool is_idle(tcp::socket& socket) {
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <
               0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

class keep_alive_client::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& io, const base::endpoint& node,
         request_source next_request, completion_handler on_complete)
        : socket_(io), timer_(io),
          node_(asio::ip::make_address(node.ip), node.port),
          next_request_(std::move(next_request)),
          on_complete_(std::move(on_complete)) {}

    void start_next_request() {
        if (stopping_) {
            stopped_ = true;
            close();
            return;
        }
        request_ = next_request_();
        schedule(request_.delay_ms, &impl::connect);
    }

    void stop() { stopping_ = true; }
    bool is_stopped() const { return stopped_; }

private:
    void schedule(base::millis delay_ms, void (impl::*method)()) {
        timer_.expires_after(std::chrono::milliseconds(delay_ms));
        timer_.async_wait([self = shared_from_this(), method](const auto&) {
            (self.get()->*method)();
        });
    }

    void close() {
        beast::error_code ignored;
        socket_.close(ignored);
    }

    void connect() {
        if (socket_.is_open() && is_idle(socket_)) {
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
                self->schedule(reconnect_delay_ms, &impl::connect);
            }
        });
    }

    void send() {
        request_bytes_ = serialize_request(request_);
        sent_bytes_ = 0;
        response_parser_.emplace();
        response_parser_->body_limit(boost::none);
        response_ = {};
        send_chunk();
    }

    void send_chunk() {
        const auto size =
            std::min(request_bytes_.size() / request_.write_count + 1,
                     request_bytes_.size() - sent_bytes_);
        asio::async_write(
            socket_, asio::buffer(request_bytes_.data() + sent_bytes_, size),
            [self = shared_from_this()](auto error, std::size_t count) {
                self->on_sent(error, count);
            });
    }

    void on_sent(beast::error_code error, std::size_t count) {
        if (error) {
            on_connection_error(error);
            return;
        }
        sent_bytes_ += count;
        if (sent_bytes_ < request_bytes_.size()) {
            schedule(write_delay_ms, &impl::send_chunk);
            return;
        }
        response_.fully_sent = true;
        sent_at_ = clock_.now();
        http::async_read(
            socket_, buffer_, *response_parser_,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                self->on_response(e);
            });
    }

    void on_response(beast::error_code error) {
        if (error) {
            on_connection_error(error);
            return;
        }
        auto message = response_parser_->release();
        response_.status = static_cast<int>(message.result_int());
        response_.body = std::move(message.body());
        if (!message.keep_alive()) {
            close();
        }
        finish_request();
    }

    void on_connection_error(beast::error_code error) {
        response_.connection_reset = error == asio::error::connection_reset ||
                                     error == asio::error::broken_pipe;
        close();
        finish_request();
    }

    void finish_request() {
        response_.wait_ms = response_.fully_sent ? clock_.now() - sent_at_ : 0;
        on_complete_(request_, response_);
        start_next_request();
    }

    base::clock clock_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    tcp::endpoint node_;
    request_source next_request_;
    completion_handler on_complete_;
    client_request request_;
    client_response response_;
    std::string request_bytes_;
    std::size_t sent_bytes_ = 0;
    base::millis sent_at_ = 0;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> response_parser_;
    bool stopping_ = false;
    bool stopped_ = false;
};

keep_alive_client::keep_alive_client(asio::io_context& io,
                                     const base::endpoint& node,
                                     request_source next_request,
                                     completion_handler on_complete)
    : impl_(std::make_shared<impl>(io, node, std::move(next_request),
                                   std::move(on_complete))) {
    impl_->start_next_request();
}

keep_alive_client::~keep_alive_client() {
    impl_->stop();
}

void keep_alive_client::stop() {
    impl_->stop();
}

bool keep_alive_client::is_stopped() const {
    return impl_->is_stopped();
}

} // namespace hibiscus::testing
