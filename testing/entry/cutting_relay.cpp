#include "entry/cutting_relay.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace hibiscus::testing {

namespace asio = boost::asio;
using error_code = boost::system::error_code;

/// One connection of a caller and the one to the server.
class cutting_relay::relayed_connection
    : public std::enable_shared_from_this<relayed_connection> {
public:
    relayed_connection(tcp::socket caller, tcp::socket server,
                       std::shared_ptr<std::deque<std::size_t>> limits,
                       std::shared_ptr<std::size_t> cut_count)
        : caller_(std::move(caller)), server_(std::move(server)),
          limits_(std::move(limits)), cut_count_(std::move(cut_count)) {}

    void start(const tcp::endpoint& server_address) {
        server_.async_connect(server_address,
                              [self = shared_from_this()](error_code error) {
                                  if (error) {
                                      self->close();
                                      return;
                                  }
                                  self->pass_on_request();
                                  self->pass_on_response();
                              });
    }

private:
    static constexpr std::size_t buffer_bytes = 16384;
    static constexpr std::string_view report_call = "GET /report ";
    using buffer = std::array<char, buffer_bytes>;

    void pass_on_request() {
        caller_.async_read_some(
            asio::buffer(request_),
            [self = shared_from_this()](error_code error, std::size_t bytes) {
                if (error) {
                    self->close();
                    return;
                }
                self->take_limit({self->request_.data(), bytes});
                asio::async_write(
                    self->server_, asio::buffer(self->request_, bytes),
                    [self](error_code write_error, std::size_t /*bytes*/) {
                        write_error ? self->close() : self->pass_on_request();
                    });
            });
    }

    /// Takes the next limit with the first request that is no call for a
    /// report.
    void take_limit(std::string_view request) {
        if (request.substr(0, report_call.size()) == report_call ||
            std::exchange(has_request_, true) || limits_->empty()) {
            return;
        }
        limit_ = limits_->front();
        limits_->pop_front();
    }

    void pass_on_response() {
        server_.async_read_some(
            asio::buffer(response_),
            [self = shared_from_this()](error_code error, std::size_t bytes) {
                if (error) {
                    self->close();
                    return;
                }
                self->send_to_caller(bytes);
            });
    }

    void send_to_caller(std::size_t bytes) {
        const auto sent = limit_ ? std::min(bytes, *limit_) : bytes;
        const bool is_cut = limit_ && sent == *limit_;
        asio::async_write(caller_, asio::buffer(response_, sent),
                          [self = shared_from_this(), sent,
                           is_cut](error_code error, std::size_t /*bytes*/) {
                              if (error || is_cut) {
                                  *self->cut_count_ += is_cut ? 1 : 0;
                                  self->close();
                                  return;
                              }
                              if (self->limit_) {
                                  *self->limit_ -= sent;
                              }
                              self->pass_on_response();
                          });
    }

    void close() {
        error_code ignored;
        caller_.close(ignored);
        server_.close(ignored);
    }

    tcp::socket caller_;
    tcp::socket server_;
    std::shared_ptr<std::deque<std::size_t>> limits_;
    bool has_request_ = false;
    std::optional<std::size_t> limit_;
    std::shared_ptr<std::size_t> cut_count_;
    buffer request_{};
    buffer response_{};
};

cutting_relay::cutting_relay(asio::io_context& io, base::endpoint server,
                             const std::vector<std::size_t>& limits)
    : io_(io), server_(std::move(server)),
      limits_(std::make_shared<std::deque<std::size_t>>(limits.begin(),
                                                        limits.end())),
      acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    accept();
}

base::endpoint cutting_relay::address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void cutting_relay::accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket caller) {
        if (error) {
            return;
        }
        std::make_shared<relayed_connection>(
            std::move(caller), tcp::socket(io_), limits_, cut_count_)
            ->start({asio::ip::make_address(server_.ip), server_.port});
        accept();
    });
}

} // namespace hibiscus::testing
