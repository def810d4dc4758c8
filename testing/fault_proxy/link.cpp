#include "fault_proxy/link.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace hibiscus::testing {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

link::link(asio::io_context& io, tcp::socket client, const rule& r)
    : client_(std::move(client)), target_(io),
      rule_(r), request_{client_, target_, r.to_target, false,
                         asio::steady_timer(io)},
      answer_{target_, client_, r.to_client, true, asio::steady_timer(io)} {}

void link::start(const tcp::endpoint& target) {
    if (rule_.to_target == 0) {
        act(request_);
        return;
    }
    target_.async_connect(target,
                          [self = shared_from_this()](const error_code& error) {
                              if (error) {
                                  self->cut();
                                  return;
                              }
                              self->read(self->request_);
                              self->read(self->answer_);
                          });
}

void link::cut() {
    closed_ = true;
    error_code ignored;
    client_.close(ignored);
    target_.close(ignored);
    frozen_self_.reset();
}

void link::freeze() {
    frozen_ = true;
    // The sockets must stay open although nothing is being read.
    if (!closed_) {
        frozen_self_ = shared_from_this();
    }
}

void link::read(direction& d) {
    d.from.async_read_some(asio::buffer(d.bytes),
                           [self = shared_from_this(),
                            &d](const error_code& error, std::size_t n) {
                               if (self->frozen_ || self->closed_) {
                                   return;
                               }
                               if (error) {
                                   self->ended(d);
                               } else {
                                   self->delayed(d, n);
                               }
                           });
}

void link::delayed(direction& d, std::size_t count) {
    if (rule_.delay_ms == 0) {
        write(d, count);
        return;
    }
    d.delay.expires_after(std::chrono::milliseconds(rule_.delay_ms));
    d.delay.async_wait(
        [self = shared_from_this(), &d, count](const error_code&) {
            if (!self->frozen_ && !self->closed_) {
                self->write(d, count);
            }
        });
}

void link::write(direction& d, std::size_t count) {
    auto passing = static_cast<std::int64_t>(count);
    if (d.left >= 0) {
        passing = std::min(passing, d.left);
        d.left -= passing;
    }
    const bool used_up = d.left == 0;
    asio::async_write(
        d.to, asio::buffer(d.bytes.data(), static_cast<std::size_t>(passing)),
        [self = shared_from_this(), &d, used_up](const error_code& error,
                                                 std::size_t) {
            if (self->frozen_ || self->closed_) {
                return;
            }
            if (error) {
                self->cut();
            } else if (used_up) {
                self->act(d);
            } else {
                self->read(d);
            }
        });
}

void link::act(direction& d) {
    switch (rule_.then) {
    case fault_action::cut:
        cut();
        return;
    case fault_action::freeze:
        freeze();
        return;
    case fault_action::half_close:
        error_code ignored;
        d.to.shutdown(tcp::socket::shutdown_send, ignored);
        return;
    }
}

/// One side has closed its half; the other learns that and may still send.
void link::ended(direction& d) {
    error_code ignored;
    d.to.shutdown(tcp::socket::shutdown_send, ignored);
    if (d.to_client) {
        cut();
    }
}

} // namespace hibiscus::testing
