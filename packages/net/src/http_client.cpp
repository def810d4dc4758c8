#include "hibiscus/net/http_client.hpp"

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

constexpr std::size_t idle_per_target = 16;
constexpr std::size_t largest_answer = 64 * 1024 * 1024;

using stream_ptr = std::unique_ptr<beast::tcp_stream>;

/// Open connections that wait for their next request.
class connection_pool {
public:
    /// Constructs a pool that drops connections after `idle_ms`.
    explicit connection_pool(base::millis idle_ms) : idle_ms_(idle_ms) {}

    /// Returns a connection to `target`, or null if none waits.
    stream_ptr acquire(const base::endpoint& target) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto at = idle_.find(target);
        if (at == idle_.end()) {
            return nullptr;
        }
        auto stream = std::move(at->second.back().stream);
        const bool fresh = !is_expired(at->second.back());
        at->second.pop_back();
        // The last one that came is the youngest: the others are old too.
        if (!fresh || at->second.empty()) {
            idle_.erase(at);
        }
        return fresh ? std::move(stream) : nullptr;
    }

    /// Keeps a connection for the next request, unless enough wait.
    void release(const base::endpoint& target, stream_ptr stream) {
        const std::lock_guard<std::mutex> lock(mutex_);
        remove_expired();
        auto& waiting = idle_[target];
        if (waiting.size() < idle_per_target) {
            waiting.push_back({std::move(stream), clock_.now()});
        }
    }

    /// Drops the connections to `target`. When one has gone silent the others
    /// that waited beside it probably have too, and each would cost a request
    /// its whole patience.
    void remove_all(const base::endpoint& target) {
        const std::lock_guard<std::mutex> lock(mutex_);
        idle_.erase(target);
    }

private:
    struct idle_connection {
        stream_ptr stream;
        base::millis since = 0;
    };

    bool is_expired(const idle_connection& row) const {
        return clock_.now() - row.since >= idle_ms_;
    }

    /// Drops old connections to all targets, also to those that are never
    /// called again.
    void remove_expired() {
        const auto now = clock_.now();
        if (now - last_sweep_at_ < idle_ms_) {
            return;
        }
        last_sweep_at_ = now;
        for (auto at = idle_.begin(); at != idle_.end();) {
            auto& rows = at->second;
            rows.erase(
                std::remove_if(rows.begin(), rows.end(),
                               [this](const auto& r) { return is_expired(r); }),
                rows.end());
            at = rows.empty() ? idle_.erase(at) : std::next(at);
        }
    }

    base::millis idle_ms_;
    base::clock clock_;
    std::mutex mutex_;
    std::map<base::endpoint, std::vector<idle_connection>> idle_;
    base::millis last_sweep_at_ = 0;
};

/// One request on its way. Its handlers run in the connection's strand.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    http_exchange(asio::io_context& io, std::shared_ptr<connection_pool> pool,
                  base::endpoint target, base::millis connect_ms,
                  std::function<void(http_result)> done)
        : io_(io), pool_(std::move(pool)), target_(std::move(target)),
          connect_ms_(connect_ms), done_(std::move(done)) {}

    /// Gives the request up. May be called by any thread, at any time.
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

    /// Sends `request`, which has `timeout` ms in all.
    void start(const http_request& request, base::millis timeout,
               connection_reuse mode) {
        message_.version(11);
        message_.method_string(request.method);
        message_.target(request.target);
        message_.set(http::field::host, base::to_string(target_));
        message_.set(http::field::content_type, request.content_type);
        message_.keep_alive(true);
        message_.body() = request.body;
        message_.prepare_payload();
        deadline_ = std::chrono::steady_clock::now() +
                    std::chrono::milliseconds(timeout);
        stream_ = mode == connection_reuse::allowed ? pool_->acquire(target_)
                                                    : nullptr;
        reused_ = stream_ != nullptr;
        if (reused_) {
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

    /// Runs in the strand `executor`. If that is no longer the present
    /// connection's, the next one has not begun yet and sees cancelled_.
    void cancel_in_strand(const asio::any_io_executor& executor) {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (executor_ != executor) {
                return;
            }
        }
        if (stream_ && done_) {
            // A step that has ended, but whose handler has not run yet, can't
            // be cancelled: it would begin the next one, which waits for the
            // request's whole time. On a closed connection that one fails.
            stream_->close();
        }
    }

    void connect() {
        reused_ = false;
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
            finish_unreachable();
            return;
        }
        const auto limit = std::chrono::steady_clock::now() +
                           std::chrono::milliseconds(connect_ms_);
        stream_->expires_at(std::min(limit, deadline_));
        stream_->async_connect(
            tcp::endpoint(ip, target_.port),
            [self = shared_from_this()](beast::error_code e) {
                if (e) {
                    self->finish_unreachable();
                } else {
                    self->write();
                }
            });
    }

    /// No connection can be had. The request may still have arrived by an
    /// earlier, used one that then broke; to call it not sent would make the
    /// caller run it a second time.
    void finish_unreachable() {
        finish(http_failure{send_count_ > 0 ? delivery_status::lost
                                            : delivery_status::not_sent});
    }

    void write() {
        if (cancelled_) {
            finish_unreachable();
            return;
        }
        ++send_count_;
        stream_->expires_at(deadline_);
        http::async_write(
            *stream_, message_,
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
        parser_->body_limit(largest_answer);
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

    /// A connection that waited may have been closed by the other side at any
    /// time; the request then gets a new one. Only requests that may run
    /// twice come here with a used connection.
    void on_connection_error() {
        const bool untouched = !parser_ || !parser_->got_some();
        if (reused_) {
            pool_->remove_all(target_);
        }
        if (reused_ && untouched && !cancelled_ &&
            std::chrono::steady_clock::now() < deadline_) {
            connect();
            return;
        }
        finish(http_failure{delivery_status::lost});
    }

    void on_response() {
        auto message = parser_->release();
        // An answer without a length ends where its connection does, so a cut
        // looks like its end; the caller would take a prefix for the whole.
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
    bool reused_ = false;
    /// How often the request began to leave.
    int send_count_ = 0;
    beast::flat_buffer buffer_;
    http::request<http::string_body> message_;
    std::optional<http::response_parser<http::string_body>> parser_;
};

} // namespace detail

/// What all requests of a client share.
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
    auto e = std::make_shared<detail::http_exchange>(
        impl_->io_, impl_->pool_, target, impl_->connect_ms_, std::move(done));
    e->start(request, timeout, mode);
    return [weak = std::weak_ptr<detail::http_exchange>(e)] {
        if (auto strong = weak.lock()) {
            strong->cancel();
        }
    };
}

} // namespace hibiscus::net
