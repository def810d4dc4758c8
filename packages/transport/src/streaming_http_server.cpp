#include "hibiscus/transport/streaming_http_server.hpp"

#include "server_session.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace hibiscus::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

/// Interval between checks of the timeouts of all connections. Timeouts are
/// seconds long, so a delay of half a second does not matter.
constexpr base::millis timeout_check_interval_ms = 500;

/// Interval between these checks while the server is closing.
constexpr base::millis closing_timeout_check_interval_ms = 20;

/// Bounds of the pause after a failed accept. Descriptors become free when
/// other connections end, which takes a part of a second at least.
constexpr base::millis min_accept_pause_ms = 10;
constexpr base::millis max_accept_pause_ms = 200;

/// How much the kernel takes of a response, in bytes, beyond what the caller's
/// window admits.
constexpr int max_unsent_kernel_bytes = 64 * 1024;

} // namespace

/// Accepts connections and checks their timeouts.
class streaming_http_server::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& io, http_server_limits limits,
         request_handler handler, abort_reporting reporting,
         std::shared_ptr<server_resources> resources)
        : acceptor_(io), timer_(io), accept_timer_(io),
          state_(std::make_shared<server_state>()) {
        state_->limits = limits;
        state_->handler = std::move(handler);
        state_->reporting = std::move(reporting);
        state_->resources = std::move(resources);
    }

    std::optional<base::endpoint> listen(const base::endpoint& address) {
        beast::error_code error;
        const auto ip = asio::ip::make_address(address.ip, error);
        if (error) {
            return std::nullopt;
        }
        const tcp::endpoint local_endpoint(ip, address.port);
        acceptor_.open(local_endpoint.protocol(), error);
        if (!error) {
            acceptor_.set_option(asio::socket_base::reuse_address(true), error);
        }
        if (!error) {
            acceptor_.bind(local_endpoint, error);
        }
        if (!error) {
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return std::nullopt;
        }
        state_->on_excess = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->schedule_excess_check();
            }
        };
        accept();
        schedule_timeout_check();
        return base::endpoint{address.ip, acceptor_.local_endpoint().port()};
    }

    void stop() {
        beast::error_code ignored;
        acceptor_.close(ignored);
        timer_.cancel();
        accept_timer_.cancel();
    }

    void close() {
        state_->phase = server_phase::closing;
        accept_pending();
        beast::error_code ignored;
        acceptor_.close(ignored);
        schedule_timeout_check();
    }

    bool is_closed() const {
        return state_->phase == server_phase::closing && !accepting_ &&
               state_->open_connections == 0;
    }

    server_state& state() { return *state_; }

    void
    set_on_accept_failed(std::function<void(const std::string&)> callback) {
        on_accept_failed_ = std::move(callback);
    }

    std::uint64_t accept_failures() const { return accept_failures_; }

    /// Calls `function` with each session. Skips sessions that were destroyed
    /// by an earlier call, because closing one session may end others.
    template <class F>
    void for_each_session(F function) {
        const auto sessions = state_->sessions;
        for (auto* session : sessions) {
            if (state_->sessions.count(session) != 0) {
                function(*session);
            }
        }
    }

private:
    void accept() {
        accepting_ = true;
        acceptor_.async_accept(
            [self = shared_from_this()](beast::error_code error,
                                        tcp::socket socket) {
                self->accepting_ = false;
                if (!self->acceptor_.is_open()) {
                    return;
                }
                if (error) {
                    self->on_accept_failed(error);
                    return;
                }
                self->accept_pause_ms_ = 0;
                self->start_session(std::move(socket));
                self->accept();
            });
    }

    /// Accepts again after a pause: without descriptors, each try would fail at
    /// once.
    void on_accept_failed(beast::error_code error) {
        ++accept_failures_;
        if (accept_pause_ms_ == 0 && on_accept_failed_) {
            on_accept_failed_(error.message());
        }
        accept_pause_ms_ = std::clamp(2 * accept_pause_ms_, min_accept_pause_ms,
                                      max_accept_pause_ms);
        accept_timer_.expires_after(
            std::chrono::milliseconds(accept_pause_ms_));
        accept_timer_.async_wait(
            [self = shared_from_this()](beast::error_code cancelled) {
                if (!cancelled && self->acceptor_.is_open()) {
                    self->accept();
                }
            });
    }

    void start_session(tcp::socket socket) {
        if (!state_->connections().make_place(state_->clock.now())) {
            return;
        }
        beast::error_code ignored;
        socket.non_blocking(true, ignored);
        socket.set_option(tcp::no_delay(true), ignored);
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                     &max_unsent_kernel_bytes, sizeof max_unsent_kernel_bytes);
        std::make_shared<server_session>(std::move(socket), state_)->start();
    }

    /// Accepts the connections in the kernel's accept queue. Closing the
    /// listener would reset them, and their callers may already have sent
    /// requests.
    void accept_pending() {
        beast::error_code error;
        acceptor_.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(acceptor_.get_executor());
            acceptor_.accept(socket, error);
            if (!error) {
                start_session(std::move(socket));
            }
        }
    }

    void schedule_timeout_check() {
        const bool closing = state_->phase == server_phase::closing;
        timer_.expires_after(std::chrono::milliseconds(
            closing ? closing_timeout_check_interval_ms
                    : timeout_check_interval_ms));
        timer_.async_wait([self = shared_from_this()](beast::error_code error) {
            if (error) {
                return;
            }
            const auto now = self->state_->clock.now();
            self->for_each_session(
                [now](server_session& s) { s.check_timeouts(now); });
            self->close_stalled_readers(now);
            self->schedule_timeout_check();
        });
    }

    void close_stalled_readers(base::millis now) {
        while (const auto id = state_->buffers().find_stalled(now)) {
            close_slow_reader(*id);
        }
    }

    /// Closes the largest holders until the rest is within the limit. Called
    /// later, because the caller may be sending to one of them.
    void schedule_excess_check() {
        asio::post(timer_.get_executor(), [self = shared_from_this()] {
            while (const auto id = self->state_->buffers().find_excess()) {
                self->close_slow_reader(*id);
            }
        });
    }

    void close_slow_reader(peer_buffers::connection_id id) {
        if (auto* session = state_->connections().find(id)) {
            session->close_slow_reader();
        }
        state_->buffers().erase(id);
    }

    tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    asio::steady_timer accept_timer_;
    std::shared_ptr<server_state> state_;
    std::function<void(const std::string&)> on_accept_failed_;
    std::uint64_t accept_failures_ = 0;
    /// The pause after the last failed accept, or 0 if the last one succeeded.
    base::millis accept_pause_ms_ = 0;
    bool accepting_ = false;
};

streaming_http_server::streaming_http_server(
    asio::io_context& io, http_server_limits limits, request_handler handler,
    abort_reporting reporting, std::shared_ptr<server_resources> resources)
    : impl_(std::make_shared<impl>(
          io, limits, std::move(handler), std::move(reporting),
          resources ? std::move(resources)
                    : std::make_shared<server_resources>())) {}

streaming_http_server::~streaming_http_server() {
    impl_->stop();
}

std::optional<base::endpoint>
streaming_http_server::listen(const base::endpoint& address) {
    return impl_->listen(address);
}

void streaming_http_server::set_limits(http_server_limits limits) {
    impl_->state().limits = limits;
    impl_->for_each_session([](server_session& s) { s.apply_limits(); });
}

void streaming_http_server::set_buffer_limits(peer_buffer_limits limits) {
    impl_->state().buffers().set_limits(limits);
}

void streaming_http_server::set_on_accept_failed(
    std::function<void(const std::string&)> callback) {
    impl_->set_on_accept_failed(std::move(callback));
}

std::uint64_t streaming_http_server::accept_failures() const {
    return impl_->accept_failures();
}

const peer_buffers& streaming_http_server::buffers() const {
    return impl_->state().buffers();
}

void streaming_http_server::drain() {
    impl_->state().phase = server_phase::draining;
}

void streaming_http_server::close() {
    impl_->close();
}

void streaming_http_server::abort_connections() {
    impl_->for_each_session([](server_session& s) { s.abort_connection(); });
}

bool streaming_http_server::is_closed() const {
    return impl_->is_closed();
}

void streaming_http_server::fail_open_requests(int status) {
    impl_->for_each_session(
        [status](server_session& s) { s.fail_open_request(status); });
}

std::size_t streaming_http_server::requests_in_flight() const {
    return impl_->state().requests_in_flight;
}

} // namespace hibiscus::transport
