#include "hibiscus/net/http_client.hpp"

#include "hibiscus/base/response_rules.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace hibiscus::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace detail {

constexpr std::size_t max_idle_per_target = 16;
constexpr std::size_t max_response_bytes = 64 * 1024 * 1024;
constexpr std::size_t max_interim_bytes = 64 * 1024;

using stream_ptr = std::unique_ptr<beast::tcp_stream>;

/// Holds the idle connections to all targets.
class connection_pool {
public:
    /// Constructs a pool that drops connections idle for `idle_ms`.
    explicit connection_pool(base::millis idle_ms) : idle_ms_(idle_ms) {}

    /// Returns an idle connection to `target`, or null if there is none.
    stream_ptr acquire(const base::endpoint& target) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = idle_.find(target);
        if (it == idle_.end()) {
            return nullptr;
        }
        auto stream = std::move(it->second.back().stream);
        const bool is_usable = !is_expired(it->second.back());
        it->second.pop_back();
        // The last one was released most recently: if it has expired, so have
        // the others.
        if (!is_usable || it->second.empty()) {
            idle_.erase(it);
        }
        return is_usable ? std::move(stream) : nullptr;
    }

    /// Keeps a connection for the next request, unless the pool already has
    /// max_idle_per_target connections to `target`.
    void release(const base::endpoint& target, stream_ptr stream) {
        const std::lock_guard<std::mutex> lock(mutex_);
        remove_expired();
        auto& connections = idle_[target];
        if (connections.size() < max_idle_per_target) {
            connections.push_back({std::move(stream), clock_.now()});
        }
    }

    /// Drops the idle connections to `target`. If one of them is dead, the
    /// others probably are too, and each would cost a request its whole
    /// timeout.
    void remove_all(const base::endpoint& target) {
        const std::lock_guard<std::mutex> lock(mutex_);
        idle_.erase(target);
    }

private:
    struct idle_connection {
        stream_ptr stream;
        base::millis idle_since = 0;
    };

    bool is_expired(const idle_connection& connection) const {
        return clock_.now() - connection.idle_since >= idle_ms_;
    }

    /// Drops expired connections to all targets, including targets that get
    /// no further requests.
    void remove_expired() {
        const auto now = clock_.now();
        if (now - last_sweep_at_ < idle_ms_) {
            return;
        }
        last_sweep_at_ = now;
        for (auto it = idle_.begin(); it != idle_.end();) {
            auto& connections = it->second;
            connections.erase(
                std::remove_if(connections.begin(), connections.end(),
                               [this](const auto& c) { return is_expired(c); }),
                connections.end());
            it = connections.empty() ? idle_.erase(it) : std::next(it);
        }
    }

    base::millis idle_ms_;
    base::clock clock_;
    std::mutex mutex_;
    std::map<base::endpoint, std::vector<idle_connection>> idle_;
    base::millis last_sweep_at_ = 0;
};

/// One request in flight. Its handlers run in the connection's strand.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    http_exchange(asio::io_context& io, std::shared_ptr<connection_pool> pool,
                  base::endpoint target, base::millis connect_ms,
                  std::function<void(http_result)> done)
        : io_(io), pool_(std::move(pool)), target_(std::move(target)),
          connect_ms_(connect_ms), done_(std::move(done)) {}

    /// Cancels the request. Thread-safe.
    void cancel() {
        cancelled_ = true;
        asio::any_io_executor executor;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            executor = executor_;
        }
        asio::dispatch(executor, [self = shared_from_this(), executor] {
            self->cancel_in_strand(executor);
        });
    }

    /// Sends `request`. All steps together may take `timeout` ms.
    void start(const http_request& request, base::millis timeout,
               connection_reuse mode) {
        request_.version(11);
        request_.method_string(request.method);
        request_.target(request.target);
        request_.set(http::field::host, base::to_string(target_));
        request_.set(http::field::content_type, request.content_type);
        request_.keep_alive(true);
        request_.body() = request.body;
        request_.prepare_payload();
        deadline_ = std::chrono::steady_clock::now() +
                    std::chrono::milliseconds(timeout);
        stream_ = mode == connection_reuse::allowed ? pool_->acquire(target_)
                                                    : nullptr;
        is_reused_ = stream_ != nullptr;
        if (is_reused_) {
            store_executor();
            asio::dispatch(stream_->get_executor(),
                           [self = shared_from_this()] { self->write(); });
        } else {
            connect();
        }
    }

private:
    void store_executor() {
        const std::lock_guard<std::mutex> lock(mutex_);
        executor_ = stream_->get_executor();
    }

    /// Runs in the strand `executor`. If that is no longer the strand of the
    /// current connection, the request is about to start on a new connection
    /// and will check cancelled_ there.
    void cancel_in_strand(const asio::any_io_executor& executor) {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (executor_ != executor) {
                return;
            }
        }
        if (stream_ && done_) {
            // An operation that has completed, but whose handler has not run
            // yet, can't be cancelled: the handler would start the next
            // operation, which could wait until the deadline. On a closed
            // connection the next operation fails at once.
            stream_->close();
        }
    }

    void connect() {
        is_reused_ = false;
        buffer_.clear();
        stream_ = std::make_unique<beast::tcp_stream>(asio::make_strand(io_));
        store_executor();
        asio::dispatch(stream_->get_executor(), [self = shared_from_this()] {
            self->connect_in_strand();
        });
    }

    void connect_in_strand() {
        beast::error_code error;
        const auto ip = asio::ip::make_address(target_.ip, error);
        if (error || cancelled_) {
            finish_without_sending();
            return;
        }
        const auto connect_deadline = std::chrono::steady_clock::now() +
                                      std::chrono::milliseconds(connect_ms_);
        stream_->expires_at(std::min(connect_deadline, deadline_));
        stream_->async_connect(
            tcp::endpoint(ip, target_.port),
            [self = shared_from_this()](beast::error_code e) {
                if (e) {
                    self->finish_without_sending();
                } else {
                    self->write();
                }
            });
    }

    /// Called when the request can't be sent now, because no connection could
    /// be opened or it was cancelled. It may still have been sent before, over
    /// a pooled connection that then broke; reporting not_sent would make the
    /// caller run it a second time.
    void finish_without_sending() {
        finish(http_failure{send_count_ > 0 ? delivery_status::lost
                                            : delivery_status::not_sent});
    }

    void write() {
        if (cancelled_) {
            finish_without_sending();
            return;
        }
        ++send_count_;
        stream_->expires_at(deadline_);
        http::async_write(
            *stream_, request_,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                if (e) {
                    self->on_connection_error();
                } else {
                    self->read();
                }
            });
    }

    void read() {
        parser_.emplace();
        parser_->body_limit(max_response_bytes);
        http::async_read_header(
            *stream_, buffer_, *parser_,
            [self = shared_from_this()](beast::error_code e, std::size_t n) {
                if (e) {
                    self->on_connection_error();
                } else {
                    self->on_head(n);
                }
            });
    }

    /// Called once a head of `bytes` has been read, before the body is.
    void on_head(std::size_t bytes) {
        switch (base::classify_status(parser_->get().result_int())) {
        case base::response_kind::malformed:
            finish(http_failure{delivery_status::lost});
            return;
        case base::response_kind::interim_response:
            interim_bytes_ += bytes;
            if (interim_bytes_ > max_interim_bytes) {
                finish(http_failure{delivery_status::lost});
            } else {
                read();
            }
            return;
        case base::response_kind::final_response:
            break;
        }
        if (!base::has_readable_coding(parser_->get())) {
            finish(http_failure{delivery_status::lost});
            return;
        }
        http::async_read(
            *stream_, buffer_, *parser_,
            [self = shared_from_this()](beast::error_code e, std::size_t) {
                if (e) {
                    self->on_connection_error();
                } else {
                    self->on_response();
                }
            });
    }

    /// The server may close an idle connection at any time, so a request that
    /// fails on a pooled connection is sent again over a new one. Only
    /// idempotent requests use pooled connections.
    void on_connection_error() {
        const bool no_response_bytes =
            interim_bytes_ == 0 && (!parser_ || !parser_->got_some());
        if (is_reused_) {
            pool_->remove_all(target_);
        }
        if (is_reused_ && no_response_bytes && !cancelled_ &&
            std::chrono::steady_clock::now() < deadline_) {
            connect();
            return;
        }
        finish(http_failure{delivery_status::lost});
    }

    void on_response() {
        auto message = parser_->release();
        // A response without a length ends when the connection closes, so the
        // caller would take a truncated response for a complete one.
        constexpr unsigned no_content = 204;
        if (!message.has_content_length() && !message.chunked() &&
            message.result_int() != no_content) {
            finish(http_failure{delivery_status::lost});
            return;
        }
        http_response response;
        response.resent = send_count_ > 1;
        response.status = static_cast<int>(message.result_int());
        response.content_type = std::string(message[http::field::content_type]);
        response.body = std::move(message.body());
        if (message.keep_alive() && !cancelled_) {
            stream_->expires_never();
            pool_->release(target_, std::move(stream_));
        }
        finish(std::move(response));
    }

    void finish(http_result result) {
        auto done = std::exchange(done_, nullptr);
        if (done) {
            done(std::move(result));
        }
    }

    asio::io_context& io_;
    std::shared_ptr<connection_pool> pool_;
    base::endpoint target_;
    base::millis connect_ms_;
    std::function<void(http_result)> done_;
    std::chrono::steady_clock::time_point deadline_;
    /// Guards executor_, which cancel() reads from any thread.
    std::mutex mutex_;
    asio::any_io_executor executor_;
    std::atomic<bool> cancelled_{false};
    stream_ptr stream_;
    bool is_reused_ = false;
    /// How many times the request was written, counting failed writes.
    int send_count_ = 0;
    beast::flat_buffer buffer_;
    /// The size of the interim responses so far.
    std::size_t interim_bytes_ = 0;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
};

} // namespace detail

/// The state that all requests of a client share.
class http_client::impl {
public:
    impl(asio::io_context& io, base::millis connect_ms, base::millis idle_ms)
        : io_(io), connect_ms_(connect_ms),
          pool_(std::make_shared<detail::connection_pool>(idle_ms)) {}

    asio::io_context& io_;
    base::millis connect_ms_;
    std::shared_ptr<detail::connection_pool> pool_;
};

http_client::http_client(asio::io_context& io, base::millis connect_ms,
                         base::millis idle_ms)
    : impl_(std::make_shared<impl>(io, connect_ms, idle_ms)) {}

std::function<void()> http_client::send(const base::endpoint& target,
                                        http_request request,
                                        base::millis timeout,
                                        connection_reuse mode,
                                        std::function<void(http_result)> done) {
    auto exchange = std::make_shared<detail::http_exchange>(
        impl_->io_, impl_->pool_, target, impl_->connect_ms_, std::move(done));
    exchange->start(request, timeout, mode);
    return [weak = std::weak_ptr<detail::http_exchange>(exchange)] {
        if (auto strong = weak.lock()) {
            strong->cancel();
        }
    };
}

} // namespace hibiscus::net
