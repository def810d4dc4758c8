#include "hibiscus/net/http_server.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>

namespace hibiscus::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace detail {

/// What the sessions of one server share.
struct server_state {
    http_limits limits;
    http_handler handler;
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> in_flight{0};
};

/// Returns the body of an answer that the server itself gives.
std::string problem_body(const std::string& where,
                         const std::string& expected) {
    return R"({"why":"invalid_request","where":")" + where +
           R"(","expected":")" + expected + R"("})";
}

/// Serves one connection, one request after the other.
class session : public std::enable_shared_from_this<session> {
public:
    session(tcp::socket socket, std::shared_ptr<server_state> state)
        : stream_(std::move(socket)), state_(std::move(state)) {
        ++state_->connections;
    }

    ~session() { --state_->connections; }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    /// Starts to read the first request.
    void run() {
        asio::dispatch(stream_.get_executor(),
                       [self = shared_from_this()] { self->read(); });
    }

private:
    void read() {
        parser_.emplace();
        parser_->header_limit(
            static_cast<std::uint32_t>(state_->limits.header_bytes));
        parser_->body_limit(state_->limits.body_bytes);
        stream_.expires_after(
            std::chrono::milliseconds(state_->limits.read_ms));
        http::async_read(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](beast::error_code error, std::size_t) {
                self->on_read(error);
            });
    }

    void on_read(beast::error_code error) {
        if (error == http::error::end_of_stream) {
            close();
            return;
        }
        if (error == http::error::body_limit) {
            refuse(413, "/body", "a shorter body");
            return;
        }
        if (error == http::error::header_limit) {
            refuse(431, "/header", "shorter headers");
            return;
        }
        if (error.category() ==
            http::make_error_code(http::error{}).category()) {
            refuse(400, "", "HTTP/1.1");
            return;
        }
        if (error) {
            return;
        }
        handle();
    }

    void handle() {
        auto message = parser_->release();
        keep_alive_ = message.keep_alive();
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.content_type = std::string(message[http::field::content_type]);
        request.body = std::move(message.body());
        stream_.expires_never();
        ++state_->in_flight;
        state_->handler(std::move(request), [self = shared_from_this()](
                                                http_response response) {
            asio::dispatch(self->stream_.get_executor(),
                           [self, r = std::move(response)]() mutable {
                               self->answer(std::move(r));
                           });
        });
    }

    void answer(http_response response) {
        handled_ = true;
        write(std::move(response));
    }

    /// Answers what cannot be read further; the rest of the bytes may be of
    /// any kind, so the connection ends.
    void refuse(int status, const std::string& where,
                const std::string& expected) {
        keep_alive_ = false;
        write({status, problem_body(where, expected), "application/json"});
    }

    void write(http_response response) {
        message_ = {};
        message_.version(11);
        message_.result(static_cast<unsigned>(response.status));
        message_.set(http::field::content_type, response.content_type);
        message_.keep_alive(keep_alive_);
        message_.body() = std::move(response.body);
        message_.prepare_payload();
        stream_.expires_after(
            std::chrono::milliseconds(state_->limits.write_ms));
        http::async_write(
            stream_, message_,
            [self = shared_from_this()](beast::error_code error, std::size_t) {
                self->on_write(error);
            });
    }

    void on_write(beast::error_code error) {
        // Counted down only now: a planned stop waits for this count, and an
        // answer that is not sent yet would be cut off.
        if (std::exchange(handled_, false)) {
            --state_->in_flight;
        }
        if (error) {
            return;
        }
        if (keep_alive_) {
            read();
        } else {
            close();
        }
    }

    void close() {
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    beast::tcp_stream stream_;
    std::shared_ptr<server_state> state_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> message_;
    bool keep_alive_ = false;
    /// True while the answer of the handler is on its way.
    bool handled_ = false;
};

} // namespace detail

/// Accepts connections until it is stopped.
class http_server::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& io, http_limits limits, http_handler handler)
        : io_(io), acceptor_(asio::make_strand(io)),
          state_(std::make_shared<detail::server_state>()) {
        state_->limits = limits;
        state_->handler = std::move(handler);
    }

    std::optional<base::endpoint> listen(const base::endpoint& address) {
        beast::error_code error;
        const auto ip = asio::ip::make_address(address.ip, error);
        if (error) {
            return std::nullopt;
        }
        const tcp::endpoint endpoint(ip, address.port);
        acceptor_.open(endpoint.protocol(), error);
        if (!error) {
            acceptor_.set_option(asio::socket_base::reuse_address(true), error);
        }
        if (!error) {
            acceptor_.bind(endpoint, error);
        }
        if (!error) {
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return std::nullopt;
        }
        accept();
        return base::endpoint{address.ip, acceptor_.local_endpoint().port()};
    }

    void stop() {
        asio::dispatch(acceptor_.get_executor(), [self = shared_from_this()] {
            beast::error_code ignored;
            self->acceptor_.close(ignored);
        });
    }

    std::size_t in_flight() const { return state_->in_flight; }

private:
    void accept() {
        acceptor_.async_accept(
            asio::make_strand(io_),
            [self = shared_from_this()](beast::error_code error,
                                        tcp::socket socket) {
                self->on_accept(error, std::move(socket));
            });
    }

    void on_accept(beast::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        // A stranger who opens connections without end would use up the
        // process's descriptors; what is over the limit is closed at once.
        if (!error && state_->connections < state_->limits.connections) {
            std::make_shared<detail::session>(std::move(socket), state_)->run();
        }
        accept();
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    std::shared_ptr<detail::server_state> state_;
};

http_server::http_server(asio::io_context& io, http_limits limits,
                         http_handler handler)
    : impl_(std::make_shared<impl>(io, limits, std::move(handler))) {}

http_server::~http_server() {
    impl_->stop();
}

std::optional<base::endpoint>
http_server::listen(const base::endpoint& address) {
    return impl_->listen(address);
}

void http_server::stop_accepting() {
    impl_->stop();
}

std::size_t http_server::in_flight() const {
    return impl_->in_flight();
}

} // namespace hibiscus::net
