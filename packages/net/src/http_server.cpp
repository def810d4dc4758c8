#include "hibiscus/net/http_server.hpp"

#include <boost/asio/dispatch.hpp>
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

/// What the sessions of one server share.
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

/// Takes its share of the bytes that a server may buffer, and gives it back.
class buffer_reservation {
public:
    explicit buffer_reservation(server_state& state) : state_(state) {}

    ~buffer_reservation() { release(); }

    buffer_reservation(const buffer_reservation&) = delete;
    buffer_reservation& operator=(const buffer_reservation&) = delete;

    /// Returns true, and takes `bytes`, if the limit allows it.
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

    /// Gives back what was taken.
    void release() {
        state_.buffered_bytes -= std::exchange(reserved_bytes_, 0);
    }

private:
    server_state& state_;
    std::size_t reserved_bytes_ = 0;
};

/// Returns the body of an answer that the server itself gives.
std::string problem_body(const std::string& where,
                         const std::string& expected) {
    return R"({"why":"invalid_request","where":")" + where +
           R"(","expected":")" + expected + R"("})";
}

/// How long, and how much, is read after a connection's last answer.
constexpr base::millis linger_timeout_ms = 2000;
constexpr std::size_t max_linger_bytes = 64 * 1024 * 1024;
constexpr std::size_t discard_buffer_bytes = 16 * 1024;

/// Serves one connection, one request after the other.
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

    /// Starts to read the first request.
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

    /// Strangers who announce long bodies on many connections would fill the
    /// memory although each keeps to the limit; so all share one.
    void on_header(beast::error_code error) {
        if (error) {
            on_read(error);
            return;
        }
        const auto length = parser_->content_length();
        const std::size_t most =
            parser_->chunked() ? state_->limits.max_body_bytes : 0;
        if (!reservation_.reserve(length ? static_cast<std::size_t>(*length)
                                         : most)) {
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
        const auto respond = responder();
        // An exception would end the thread, and with it the process: one
        // request that nobody thought of would take all others with it.
        try {
            state_->handler(std::move(request), respond);
        } catch (const std::exception&) {
            respond({500, R"({"result":"unknown","why":"backend_failed"})"});
        }
    }

    /// Returns a function that sends the answer, at its first call.
    http_responder responder() {
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
        handled_ = true;
        write(std::move(response));
    }

    /// Answers what cannot be read further; the rest of the bytes may be of
    /// any kind, so the connection ends.
    void reject(int status, const std::string& where,
                const std::string& expected) {
        keep_alive_ = false;
        write({status, problem_body(where, expected), "application/json"});
    }

    void write(http_response response) {
        message_ = {};
        message_.version(11);
        message_.result(static_cast<unsigned>(response.status));
        message_.set(http::field::content_type, response.content_type);
        keep_alive_ = keep_alive_ && !state_->draining;
        message_.keep_alive(keep_alive_);
        message_.body() = std::move(response.body);
        message_.prepare_payload();
        stream_.expires_after(
            std::chrono::milliseconds(state_->limits.write_timeout_ms));
        http::async_write(
            stream_, message_,
            [self = shared_from_this()](beast::error_code error, std::size_t) {
                self->on_write(error);
            });
    }

    void on_write(beast::error_code error) {
        // Counted down only now: a planned stop waits for this count, and an
        // answer that is not sent yet would be cut off.
        reservation_.release();
        if (std::exchange(handled_, false)) {
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

    /// Ends the connection. What the other side still sends is read and
    /// thrown away for a while: to close with unread bytes resets the
    /// connection, and a refused sender would lose the answer that says why.
    void close() {
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        parser_.reset();
        buffer_.clear();
        stream_.expires_after(std::chrono::milliseconds(linger_timeout_ms));
        discard(0);
    }

    void discard(std::size_t so_far) {
        if (so_far > max_linger_bytes) {
            return;
        }
        discarded_.resize(discard_buffer_bytes);
        stream_.async_read_some(asio::buffer(discarded_),
                                [self = shared_from_this(), so_far](
                                    beast::error_code error, std::size_t n) {
                                    if (!error) {
                                        self->discard(so_far + n);
                                    }
                                });
    }

    beast::tcp_stream stream_;
    std::shared_ptr<server_state> state_;
    buffer_reservation reservation_;
    beast::flat_buffer buffer_;
    std::vector<char> discarded_;
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
            self->accept_backlog();
            beast::error_code ignored;
            self->acceptor_.close(ignored);
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

    /// Takes what the kernel has connected already. Its callers have sent their
    /// requests perhaps; were it closed with the listener, they would not know
    /// whether these were carried out.
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
        if (!error) {
            serve(std::move(socket));
        }
        if (error != asio::error::operation_aborted && acceptor_.is_open()) {
            accept();
        }
    }

    /// A stranger who opens connections without end would use up the process's
    /// descriptors; what is over the limit is closed at once.
    void serve(tcp::socket socket) {
        if (state_->connections < state_->limits.max_connections) {
            std::make_shared<detail::server_connection>(std::move(socket),
                                                        state_)
                ->run();
        }
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
