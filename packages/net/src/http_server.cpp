#include "hibiscus/net/http_server.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <exception>
#include <utility>
#include <vector>

namespace hibiscus::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace detail {

/// The state that the connections of one server share.
struct server_state {
    http_limits limits;
    http_handler handler;
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> in_flight{0};
    std::atomic<std::size_t> buffered_bytes{0};
    std::atomic<bool> draining{false};
    base::clock clock;
    std::atomic<base::millis> last_response_at{0};
};

/// Reserves part of the server's max_buffered_bytes for one connection.
class buffer_reservation {
public:
    explicit buffer_reservation(server_state& state) : state_(state) {}

    ~buffer_reservation() { release(); }

    buffer_reservation(const buffer_reservation&) = delete;
    buffer_reservation& operator=(const buffer_reservation&) = delete;

    /// Replaces the reservation with one of `bytes` bytes. Returns false, and
    /// holds none, if the server's limit would be exceeded.
    bool reserve(std::size_t bytes) {
        release();
        if (state_.buffered_bytes.fetch_add(bytes) + bytes >
            state_.limits.max_buffered_bytes) {
            state_.buffered_bytes -= bytes;
            return false;
        }
        reserved_bytes_ = bytes;
        return true;
    }

    void release() {
        state_.buffered_bytes -= std::exchange(reserved_bytes_, 0);
    }

private:
    server_state& state_;
    std::size_t reserved_bytes_ = 0;
};

/// Returns the body of an error response that the server itself sends.
std::string make_problem_body(const std::string& where,
                              const std::string& expected) {
    return R"({"why":"invalid_request","where":")" + where +
           R"(","expected":")" + expected + R"("})";
}

/// Limits on the time spent and the bytes read and discarded after the last
/// response of a connection.
constexpr base::millis linger_timeout_ms = 2000;
constexpr std::size_t max_linger_bytes = 64 * 1024 * 1024;
constexpr std::size_t discard_buffer_bytes = 16 * 1024;

/// Pause after a failed accept. Descriptors become free when other connections
/// end.
constexpr std::chrono::milliseconds accept_pause(50);

/// Serves the requests of one connection in sequence.
class server_connection
    : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(tcp::socket socket, std::shared_ptr<server_state> state)
        : stream_(std::move(socket)), state_(std::move(state)),
          reservation_(*state_) {
        ++state_->connections;
    }

    ~server_connection() { --state_->connections; }

    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// Starts reading the first request.
    void run() {
        asio::dispatch(stream_.get_executor(),
                       [self = shared_from_this()] { self->read(); });
    }

private:
    void read() {
        parser_.emplace();
        parser_->header_limit(
            static_cast<std::uint32_t>(state_->limits.max_header_bytes));
        parser_->body_limit(state_->limits.max_body_bytes);
        stream_.expires_after(
            std::chrono::milliseconds(state_->limits.read_timeout_ms));
        http::async_read_header(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](beast::error_code error, std::size_t) {
                self->on_header(error);
            });
    }

    /// Reserves memory for the body before reading it. Many connections with
    /// large bodies would otherwise exhaust the memory, although each body is
    /// within max_body_bytes.
    void on_header(beast::error_code error) {
        if (error) {
            on_read(error);
            return;
        }
        const auto length = parser_->content_length();
        const std::size_t max_unknown_length =
            parser_->chunked() ? state_->limits.max_body_bytes : 0;
        if (!reservation_.reserve(length ? static_cast<std::size_t>(*length)
                                         : max_unknown_length)) {
            keep_alive_ = false;
            write({429, R"({"why":"overloaded","result":"not_run",)"
                        R"("retry_after_ms":1000})"});
            return;
        }
        http::async_read(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                self->on_read(e);
            });
    }

    void on_read(beast::error_code error) {
        if (error == http::error::end_of_stream) {
            close();
            return;
        }
        if (error == http::error::body_limit) {
            reject(413, "/body", "a shorter body");
            return;
        }
        if (error == http::error::header_limit) {
            reject(431, "/header", "shorter headers");
            return;
        }
        if (error.category() ==
            http::make_error_code(http::error{}).category()) {
            reject(400, "", "HTTP/1.1");
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
        const auto respond = make_responder();
        // An uncaught exception would terminate the process and abort all
        // other requests in flight.
        try {
            state_->handler(std::move(request), respond);
        } catch (const std::exception&) {
            respond({500, R"({"result":"unknown","why":"backend_failed"})"});
        }
    }

    /// Returns a function that sends the response. Only its first call has an
    /// effect.
    http_responder make_responder() {
        return [self = shared_from_this(),
                called = std::make_shared<std::atomic<bool>>(false)](
                   http_response response) {
            if (called->exchange(true)) {
                return;
            }
            asio::dispatch(self->stream_.get_executor(),
                           [self, r = std::move(response)]() mutable {
                               self->send_response(std::move(r));
                           });
        };
    }

    void send_response(http_response response) {
        sending_handler_response_ = true;
        write(std::move(response));
    }

    /// Responds to a request that is malformed or too large, and closes the
    /// connection, because the rest of the request was not read.
    void reject(int status, const std::string& where,
                const std::string& expected) {
        keep_alive_ = false;
        write({status, make_problem_body(where, expected), "application/json"});
    }

    void write(http_response response) {
        response_ = {};
        response_.version(11);
        response_.result(static_cast<unsigned>(response.status));
        response_.set(http::field::content_type, response.content_type);
        keep_alive_ = keep_alive_ && !state_->draining;
        response_.keep_alive(keep_alive_);
        response_.body() = std::move(response.body);
        response_.prepare_payload();
        stream_.expires_after(
            std::chrono::milliseconds(state_->limits.write_timeout_ms));
        http::async_write(
            stream_, response_,
            [self = shared_from_this()](beast::error_code error, std::size_t) {
                self->on_write(error);
            });
    }

    void on_write(beast::error_code error) {
        // The request counts as in flight until its response is sent. A
        // shutdown waits for this count and would otherwise truncate the
        // response.
        reservation_.release();
        if (std::exchange(sending_handler_response_, false)) {
            state_->last_response_at = state_->clock.now();
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

    /// Closes the connection. Reads and discards bytes from the caller for
    /// linger_timeout_ms before that: closing a socket with unread bytes resets
    /// the connection, and a rejected caller would lose the error response.
    void close() {
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        parser_.reset();
        buffer_.clear();
        stream_.expires_after(std::chrono::milliseconds(linger_timeout_ms));
        discard(0);
    }

    void discard(std::size_t discarded_bytes) {
        if (discarded_bytes > max_linger_bytes) {
            return;
        }
        discard_buffer_.resize(discard_buffer_bytes);
        stream_.async_read_some(asio::buffer(discard_buffer_),
                                [self = shared_from_this(), discarded_bytes](
                                    beast::error_code error, std::size_t n) {
                                    if (!error) {
                                        self->discard(discarded_bytes + n);
                                    }
                                });
    }

    beast::tcp_stream stream_;
    std::shared_ptr<server_state> state_;
    buffer_reservation reservation_;
    beast::flat_buffer buffer_;
    std::vector<char> discard_buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    bool keep_alive_ = false;
    /// True while the handler's response is being sent.
    bool sending_handler_response_ = false;
};

} // namespace detail

/// Accepts connections and starts a server_connection for each.
class http_server::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& io, http_limits limits, http_handler handler)
        : io_(io), acceptor_(asio::make_strand(io)),
          accept_timer_(acceptor_.get_executor()),
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
            self->accept_backlog();
            beast::error_code ignored;
            self->acceptor_.close(ignored);
            self->accept_timer_.cancel();
        });
    }

    void drain() { state_->draining = true; }

    std::size_t in_flight() const { return state_->in_flight; }

    base::millis idle_ms() const {
        return state_->in_flight > 0
                   ? 0
                   : state_->clock.now() - state_->last_response_at;
    }

private:
    void accept() {
        acceptor_.async_accept(
            asio::make_strand(io_),
            [self = shared_from_this()](beast::error_code error,
                                        tcp::socket socket) {
                self->on_accept(error, std::move(socket));
            });
    }

    /// Accepts the connections in the kernel's backlog. Their callers may have
    /// sent requests already. If these connections were closed with the
    /// listener, the callers would not know whether the requests ran.
    void accept_backlog() {
        beast::error_code error;
        acceptor_.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(asio::make_strand(io_));
            acceptor_.accept(socket, error);
            if (!error) {
                serve(std::move(socket));
            }
        }
    }

    void on_accept(beast::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (error) {
            accept_after_pause();
            return;
        }
        serve(std::move(socket));
        accept();
    }

    /// Accepts again after a pause: without descriptors, each try would fail at
    /// once.
    void accept_after_pause() {
        accept_timer_.expires_after(detail::accept_pause);
        accept_timer_.async_wait(
            [self = shared_from_this()](beast::error_code cancelled) {
                if (!cancelled && self->acceptor_.is_open()) {
                    self->accept();
                }
            });
    }

    /// Closes a connection over max_connections at once, so that callers can't
    /// exhaust the file descriptors of the process.
    void serve(tcp::socket socket) {
        if (state_->connections < state_->limits.max_connections) {
            std::make_shared<detail::server_connection>(std::move(socket),
                                                        state_)
                ->run();
        }
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
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

void http_server::drain() {
    impl_->drain();
}

base::millis http_server::idle_ms() const {
    return impl_->idle_ms();
}

void http_server::stop_accepting() {
    impl_->stop();
}

std::size_t http_server::in_flight() const {
    return impl_->in_flight();
}

} // namespace hibiscus::net
