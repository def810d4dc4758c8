#include "hibiscus/transport/event_server.hpp"

#include "server_session.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <utility>

namespace hibiscus::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

/// How often connections are looked through for overdue reads, in ms. A
/// caller's time-outs are seconds, so a delay of half a second does not matter.
constexpr base::millis sweep_ms = 500;

/// The same while the server closes, in ms.
constexpr base::millis closing_sweep_ms = 20;

} // namespace

/// Accepts connections and looks through them for overdue ones.
class event_server::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& io, event_server_limits limits,
         exchange_handler handler, event_server_report report)
        : acceptor_(io), timer_(io), state_(std::make_shared<server_state>()) {
        state_->limits = limits;
        state_->handler = std::move(handler);
        state_->report = std::move(report);
    }

    std::optional<base::endpoint> listen(const base::endpoint& address) {
        beast::error_code error;
        const auto ip = asio::ip::make_address(address.ip, error);
        if (error) {
            return std::nullopt;
        }
        const tcp::endpoint at(ip, address.port);
        acceptor_.open(at.protocol(), error);
        if (!error) {
            acceptor_.set_option(asio::socket_base::reuse_address(true), error);
        }
        if (!error) {
            acceptor_.bind(at, error);
        }
        if (!error) {
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return std::nullopt;
        }
        accept();
        sweep();
        return base::endpoint{address.ip, acceptor_.local_endpoint().port()};
    }

    void stop() {
        beast::error_code ignored;
        acceptor_.close(ignored);
        timer_.cancel();
    }

    void close() {
        state_->phase = server_phase::closing;
        accept_waiting();
        beast::error_code ignored;
        acceptor_.close(ignored);
        sweep();
    }

    bool closed() const {
        return state_->phase == server_phase::closing && !accepting_ &&
               state_->connections == 0;
    }

    server_state& state() { return *state_; }

    /// Calls `f` with each session that is still there when its turn
    /// comes: one that closes may end others.
    template <class F>
    void for_each_session(F f) {
        const auto copy = state_->sessions;
        for (auto* s : copy) {
            if (state_->sessions.count(s) != 0) {
                f(*s);
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
                if (!error) {
                    self->serve(std::move(socket));
                }
                if (self->acceptor_.is_open()) {
                    self->accept();
                }
            });
    }

    void serve(tcp::socket socket) {
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<server_session>(std::move(socket), state_)->run();
    }

    /// Accepts what the kernel has connected already: to close the listener
    /// would reset it, and its callers may have sent their requests.
    void accept_waiting() {
        beast::error_code error;
        acceptor_.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(acceptor_.get_executor());
            acceptor_.accept(socket, error);
            if (!error) {
                serve(std::move(socket));
            }
        }
    }

    void sweep() {
        const bool closing = state_->phase == server_phase::closing;
        timer_.expires_after(
            std::chrono::milliseconds(closing ? closing_sweep_ms : sweep_ms));
        timer_.async_wait([self = shared_from_this()](beast::error_code error) {
            if (error) {
                return;
            }
            const auto now = self->state_->clock.now();
            self->for_each_session([now](server_session& s) { s.sweep(now); });
            self->sweep();
        });
    }

    tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    std::shared_ptr<server_state> state_;
    bool accepting_ = false;
};

event_server::event_server(asio::io_context& io, event_server_limits limits,
                           exchange_handler handler, event_server_report report)
    : impl_(std::make_shared<impl>(io, limits, std::move(handler),
                                   std::move(report))) {}

event_server::~event_server() {
    impl_->stop();
}

std::optional<base::endpoint>
event_server::listen(const base::endpoint& address) {
    return impl_->listen(address);
}

void event_server::set_limits(event_server_limits limits) {
    impl_->state().limits = limits;
    impl_->for_each_session([](server_session& s) { s.take_limits(); });
}

void event_server::drain() {
    impl_->state().phase = server_phase::draining;
}

void event_server::close() {
    impl_->close();
}

bool event_server::closed() const {
    return impl_->closed();
}

void event_server::answer_open(int status) {
    impl_->for_each_session(
        [status](server_session& s) { s.answer_open(status); });
}

std::size_t event_server::in_flight() const {
    return impl_->state().in_flight;
}

} // namespace hibiscus::transport
