#include "entry/misbehaving_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace hibiscus::testing {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t max_kept_bytes = 4096;

} // namespace

byte_source send_once(std::string text) {
    return send_repeatedly(std::move(text), 1);
}

byte_source send_repeatedly(std::string piece, std::size_t count) {
    return [piece = std::move(piece), count]() mutable {
        return count > 0 && count-- > 0 ? piece : std::string();
    };
}

byte_source send_in_order(byte_source first, byte_source second) {
    return [first = std::move(first), second = std::move(second)] {
        auto bytes = first();
        return bytes.empty() ? second() : bytes;
    };
}

std::string make_head(const std::string& id, const std::string& target,
                      const std::string& framing) {
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
           "\r\n" + framing + "\r\n\r\n";
}

std::string make_chunk(const std::string& bytes) {
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

class misbehaving_client::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& io, byte_source source, base::millis pause_ms)
        : socket_(io), timer_(io), source_(std::move(source)),
          pause_(pause_ms) {}

    void start(const base::endpoint& node) {
        socket_.async_connect({asio::ip::make_address(node.ip), node.port},
                              [self = shared_from_this()](const auto& error) {
                                  if (error) {
                                      self->closed = true;
                                      return;
                                  }
                                  self->write();
                                  self->read();
                              });
    }

    void close() {
        boost::system::error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
    }

    bool done = false;
    bool closed = false;
    std::string received;

private:
    void write() {
        piece_ = source_();
        if (piece_.empty()) {
            done = true;
            return;
        }
        asio::async_write(
            socket_, asio::buffer(piece_),
            [self = shared_from_this()](const auto& error, std::size_t) {
                if (error) {
                    self->closed = true;
                } else {
                    self->write_after_pause();
                }
            });
    }

    void write_after_pause() {
        if (pause_.count() == 0) {
            write();
            return;
        }
        timer_.expires_after(pause_);
        timer_.async_wait([self = shared_from_this()](const auto& error) {
            if (!error) {
                self->write();
            }
        });
    }

    void read() {
        socket_.async_read_some(
            asio::buffer(input_),
            [self = shared_from_this()](const auto& error, std::size_t bytes) {
                const auto kept =
                    std::min(bytes, max_kept_bytes - self->received.size());
                self->received.append(self->input_.data(), kept);
                if (error) {
                    self->closed = true;
                } else {
                    self->read();
                }
            });
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    byte_source source_;
    std::chrono::milliseconds pause_;
    std::string piece_;
    std::array<char, 4096> input_{};
};

misbehaving_client::misbehaving_client(asio::io_context& io,
                                       const base::endpoint& node,
                                       byte_source source,
                                       base::millis pause_ms)
    : impl_(std::make_shared<impl>(io, std::move(source), pause_ms)) {
    impl_->start(node);
}

misbehaving_client::~misbehaving_client() {
    impl_->close();
}

bool misbehaving_client::is_done() const {
    return impl_->done || impl_->closed;
}

bool misbehaving_client::is_closed() const {
    return impl_->closed;
}

int misbehaving_client::status() const {
    const std::string prefix = "HTTP/1.1 ";
    return received().compare(0, prefix.size(), prefix) == 0
               ? std::atoi(received().c_str() + prefix.size())
               : 0;
}

const std::string& misbehaving_client::received() const {
    return impl_->received;
}

} // namespace hibiscus::testing
