#include "fault_proxy/proxied_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace hibiscus::testing {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

proxied_connection::proxied_connection(asio::io_context& io, tcp::socket client,
                                       const fault_rule& rule)
    : client_(std::move(client)), target_(io),
      rule_(rule), to_target_{client_, target_, rule.bytes_to_target, false,
                              asio::steady_timer(io)},
      to_client_{target_, client_, rule.bytes_to_client, true,
                 asio::steady_timer(io)} {}

void proxied_connection::start(const tcp::endpoint& target) {
    if (rule_.bytes_to_target == 0) {
        apply_action(to_target_);
        return;
    }
    target_.async_connect(target,
                          [self = shared_from_this()](const error_code& error) {
                              if (error) {
                                  self->close();
                                  return;
                              }
                              self->read(self->to_target_);
                              self->read(self->to_client_);
                          });
}

void proxied_connection::close() {
    closed_ = true;
    error_code ignored;
    client_.close(ignored);
    target_.close(ignored);
    self_while_frozen_.reset();
}

void proxied_connection::freeze() {
    frozen_ = true;
    // No pending operation keeps a frozen connection alive.
    if (!closed_) {
        self_while_frozen_ = shared_from_this();
    }
}

void proxied_connection::read(direction& d) {
    d.source.async_read_some(asio::buffer(d.buffer),
                             [self = shared_from_this(),
                              &d](const error_code& error, std::size_t count) {
                                 if (self->frozen_ || self->closed_) {
                                     return;
                                 }
                                 if (error) {
                                     self->on_end_of_stream(d);
                                 } else {
                                     self->write_after_delay(d, count);
                                 }
                             });
}

void proxied_connection::write_after_delay(direction& d, std::size_t count) {
    if (rule_.delay_ms == 0) {
        write(d, count);
        return;
    }
    d.delay_timer.expires_after(std::chrono::milliseconds(rule_.delay_ms));
    d.delay_timer.async_wait(
        [self = shared_from_this(), &d, count](const error_code&) {
            if (!self->frozen_ && !self->closed_) {
                self->write(d, count);
            }
        });
}

void proxied_connection::write(direction& d, std::size_t count) {
    auto forwarded = static_cast<std::int64_t>(count);
    if (d.bytes_left >= 0) {
        forwarded = std::min(forwarded, d.bytes_left);
        d.bytes_left -= forwarded;
    }
    const bool limit_reached = d.bytes_left == 0;
    asio::async_write(
        d.destination,
        asio::buffer(d.buffer.data(), static_cast<std::size_t>(forwarded)),
        [self = shared_from_this(), &d, limit_reached](const error_code& error,
                                                       std::size_t) {
            if (self->frozen_ || self->closed_) {
                return;
            }
            if (error) {
                self->close();
            } else if (limit_reached) {
                self->apply_action(d);
            } else {
                self->read(d);
            }
        });
}

void proxied_connection::apply_action(direction& d) {
    switch (rule_.action) {
    case fault_action::cut:
        close();
        return;
    case fault_action::freeze:
        freeze();
        return;
    case fault_action::half_close:
        error_code ignored;
        d.destination.shutdown(tcp::socket::shutdown_send, ignored);
        return;
    }
}

/// Forwards an end of stream or a read error as end of stream. Closes both
/// sockets if the target ended its direction; if the client did, the target may
/// still send.
void proxied_connection::on_end_of_stream(direction& d) {
    error_code ignored;
    d.destination.shutdown(tcp::socket::shutdown_send, ignored);
    if (d.is_to_client) {
        close();
    }
}

} // namespace hibiscus::testing
