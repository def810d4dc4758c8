#include "hibiscus/transport/upstream.hpp"

#include "hibiscus/base/stall_detector.hpp"
#include "idle_connection_pool.hpp"
#include "response_reader.hpp"
#include "serialize_head.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace hibiscus::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

/// Interval between checks of the timeouts of all calls.
constexpr base::millis timeout_check_interval_ms = 50;

/// A longer gap between two of these checks means that the thread was stalled.
constexpr base::millis stall_threshold_ms = 100;

/// How long an idle connection may be reused if the server sends no Keep-Alive
/// timeout.
constexpr base::millis default_keep_alive_ms = 4000;

/// How long an idle connection may be reused at most. A middlebox on the
/// network path may have dropped its state of a connection that was idle for
/// longer.
constexpr base::millis max_keep_alive_ms = 30000;

/// Safety margin before the server's Keep-Alive timeout. An idle connection is
/// closed this long before it, so that no request is sent while the server
/// closes the connection.
constexpr base::millis keep_alive_margin_ms = 500;

/// The kernel closes a connection if sent data stays unacknowledged for this
/// time in milliseconds. This detects peers that disappear without closing
/// their connections.
constexpr unsigned tcp_user_timeout_ms = 3000;

/// Returns true if the peer has closed its side of the connection in order.
/// After a reset or a timeout the connection is in another state.
bool was_closed_by_peer(tcp::socket& socket) {
    ::tcp_info info{};
    ::socklen_t size = sizeof info;
    return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                        &size) == 0 &&
           info.tcpi_state == TCP_CLOSE_WAIT;
}

struct client_state {
    explicit client_state(std::shared_ptr<response_buffers> shared_buffers)
        : buffers(std::move(shared_buffers)) {}

    std::shared_ptr<response_buffers> buffers;
    idle_connection_pool idle_connections;
    base::clock clock;
    upstream_counts counts;
};

class client_call : public upstream_call,
                    public std::enable_shared_from_this<client_call> {
public:
    client_call(asio::io_context& io, std::shared_ptr<client_state> state,
                base::endpoint address, upstream_request request,
                upstream_call_options options, upstream_callbacks callbacks,
                std::string echo_header)
        : io_(io), state_(std::move(state)), address_(std::move(address)),
          options_(options), callbacks_(std::move(callbacks)),
          echo_header_(std::move(echo_header)),
          reader_(request.method == "HEAD", options.max_body_bytes),
          started_at_(state_->clock.now()), last_activity_(started_at_) {
        if (const auto* id = find_header(request.fields, echo_header_)) {
            echo_value_ = *id;
        }
        request_head_ = serialize_head(request, address_);
        request_body_ = std::move(request.body);
    }

    void start() {
        if (options_.reuse_connection && take_idle_connection()) {
            ++state_->counts.connections_reused;
            send();
            return;
        }
        connect();
    }

    ~client_call() override { keep_nothing(); }

    client_call(const client_call&) = delete;
    client_call& operator=(const client_call&) = delete;

    void cancel() override {
        if (!done_) {
            done_ = true;
            close();
            keep_nothing();
            release_callbacks();
        }
    }

    void pause() override {
        if (!std::exchange(paused_, true)) {
            paused_at_ = state_->clock.now();
        }
    }

    void resume() override {
        if (!std::exchange(paused_, false) || done_) {
            return;
        }
        const auto now = state_->clock.now();
        started_at_ += now - paused_at_;
        last_activity_ = now;
        if (std::exchange(read_deferred_, false)) {
            read();
        }
    }

    bool keep(std::size_t bytes) override {
        lacks_room_ = !done_ && !state_->buffers->resize(kept_bytes_, bytes);
        if (!done_ && !lacks_room_) {
            kept_bytes_ = bytes;
        }
        return !lacks_room_;
    }

    bool opened_connection() const override { return opened_connection_; }

    bool was_resent() const override { return resent_; }

    bool was_refused() const override { return refused_; }

    bool is_done() const { return done_; }

    void end_if_started_before(const base::endpoint& address,
                               base::millis cutoff) {
        if (address_ == address && started_at_ < cutoff) {
            finish(connected_ ? call_outcome::total_timeout
                              : call_outcome::not_sent);
        }
    }

    /// Excludes `stall_ms` from the connect timeout and the idle timeout.
    void exclude_stall(base::millis stall_ms, base::millis now) {
        last_activity_ = std::min(now, last_activity_ + stall_ms);
    }

    void check_timeouts(base::millis now) {
        if (done_ || paused_) {
            return;
        }
        if (!connected_ && now - last_activity_ > options_.connect_timeout_ms) {
            finish(call_outcome::not_sent);
        } else if (options_.total_timeout_ms > 0 &&
                   now - started_at_ > options_.total_timeout_ms) {
            finish(call_outcome::total_timeout);
        } else if (connected_ && options_.idle_timeout_ms > 0 &&
                   now - last_activity_ > options_.idle_timeout_ms) {
            finish(call_outcome::idle_timeout);
        }
    }

private:
    bool take_idle_connection() {
        socket_ = state_->idle_connections.take(address_, state_->clock.now(),
                                                state_->counts);
        connected_ = socket_ != nullptr;
        return connected_;
    }

    void connect() {
        beast::error_code error;
        const auto ip = asio::ip::make_address(address_.ip, error);
        if (error) {
            asio::post(io_, [self = shared_from_this()] {
                self->finish(call_outcome::not_sent);
            });
            return;
        }
        socket_ = std::make_shared<tcp::socket>(io_);
        ++state_->counts.connections_opened;
        opened_connection_ = true;
        socket_->async_connect(
            tcp::endpoint(ip, address_.port),
            [self = shared_from_this()](beast::error_code e) {
                self->on_connect(e);
            });
    }

    void on_connect(beast::error_code error) {
        if (done_) {
            return;
        }
        if (error) {
            refused_ = error == asio::error::connection_refused;
            finish(call_outcome::not_sent);
            return;
        }
        beast::error_code ignored;
        socket_->set_option(tcp::no_delay(true), ignored);
        ::setsockopt(socket_->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &tcp_user_timeout_ms, sizeof tcp_user_timeout_ms);
        connected_ = true;
        send();
    }

    void send() {
        last_activity_ = state_->clock.now();
        const std::array<asio::const_buffer, 2> message{
            asio::buffer(request_head_), asio::buffer(request_body_.view())};
        asio::async_write(*socket_, message,
                          [self = shared_from_this(), socket = socket_](
                              beast::error_code error, std::size_t) {
                              if (socket != self->socket_) {
                                  return;
                              }
                              self->request_written_ = !error;
                              self->write_failed_ = bool(error);
                              if (!self->may_resend()) {
                                  self->request_head_ = {};
                                  self->request_body_ = {};
                              }
                          });
        reader_.reset();
        read();
    }

    /// Reads from the socket directly. The read operations of Boost.Beast
    /// buffer a part of a chunk until the next chunk arrives, which would delay
    /// each event until the next one.
    void read() {
        if (paused_) {
            read_deferred_ = true;
            return;
        }
        socket_->async_read_some(
            reader_.prepare(), [self = shared_from_this()](
                                   beast::error_code error, std::size_t bytes) {
                self->on_read(error, bytes);
            });
    }

    void on_read(beast::error_code error, std::size_t bytes) {
        if (done_) {
            return;
        }
        last_activity_ = state_->clock.now();
        reader_.commit(bytes);
        if (error == asio::error::eof) {
            on_eof();
            return;
        }
        if (error) {
            end_without_response();
            return;
        }
        nothing_received_ = false;
        if (!reader_.parse()) {
            ++state_->counts.malformed_responses;
            finish(call_outcome::broken);
            return;
        }
        if (!deliver_head()) {
            return;
        }
        deliver_data();
        if (done_) {
            return;
        }
        if (!reader_.is_complete()) {
            read();
            return;
        }
        return_to_pool();
        finish(call_outcome::complete);
    }

    /// Called when the server has closed the connection. This completes a body
    /// without a declared length and truncates any other.
    void on_eof() {
        if (reader_.ends_with_connection()) {
            finish(has_ended_in_order() && reader_.finish()
                       ? call_outcome::closed_without_length
                       : call_outcome::broken);
            return;
        }
        end_without_response();
    }

    /// Returns true if the connection was neither reset nor given up. The
    /// kernel reports such an error once, and a write in progress takes it: the
    /// next read then sees an end of file.
    bool has_ended_in_order() {
        return request_written_ ||
               (!write_failed_ && was_closed_by_peer(*socket_));
    }

    bool may_resend() const {
        return options_.resend_if_stale && !opened_connection_;
    }

    void end_without_response() {
        if (!nothing_received_) {
            finish(call_outcome::broken);
        } else if (may_resend()) {
            resend();
        } else {
            finish(no_response_outcome());
        }
    }

    void resend() {
        resent_ = true;
        close();
        nothing_received_ = true;
        connected_ = false;
        request_written_ = false;
        write_failed_ = false;
        last_activity_ = state_->clock.now();
        connect();
    }

    /// Returns the outcome of a call that received no part of its response.
    call_outcome no_response_outcome() const {
        return opened_connection_ ? call_outcome::broken
                                  : call_outcome::stale_connection;
    }

    /// Calls `on_head` once the head is complete. Returns false if the call has
    /// ended.
    bool deliver_head() {
        if (head_delivered_ || !reader_.is_head_complete()) {
            return true;
        }
        head_delivered_ = true;
        const auto head = reader_.head();
        // A server may send a second response to an earlier request where the
        // response to this one is expected. Without this check, one caller
        // would receive the response to another.
        const auto* id = find_header(head.fields, echo_header_);
        if (!echo_header_.empty() &&
            (id != nullptr ? *id != echo_value_ : head.status < 400)) {
            ++state_->counts.unsolicited_reads;
            if (may_resend()) {
                head_delivered_ = false;
                resend();
            } else {
                finish(no_response_outcome());
            }
            return false;
        }
        read_keep_alive_timeout(head.fields);
        invoke_callback(callbacks_.on_head, head);
        return !done_;
    }

    void read_keep_alive_timeout(const headers& fields) {
        const auto* value = find_header(fields, "Keep-Alive");
        if (value == nullptr) {
            return;
        }
        const auto position = value->find("timeout=");
        if (position == std::string::npos) {
            return;
        }
        const auto seconds = std::strtol(
            value->c_str() + position + sizeof "timeout=" - 1, nullptr, 10);
        keep_alive_ms_ = std::min<base::millis>(
            max_keep_alive_ms, seconds * 1000 - keep_alive_margin_ms);
    }

    void deliver_data() {
        if (!reader_.data().empty()) {
            invoke_callback(callbacks_.on_data, reader_.data());
            reader_.discard_data();
        }
        if (!done_ && lacks_room_) {
            finish(call_outcome::too_large);
        }
    }

    template <class Callback, class Value>
    void invoke_callback(const Callback& callback, const Value& value) {
        if (!callback) {
            return;
        }
        in_callback_ = true;
        callback(value);
        in_callback_ = false;
        if (done_) {
            release_callbacks();
        }
    }

    /// Destroys the callbacks, unless one of them is running. A callback may
    /// cancel its own call and must not be destroyed while it runs.
    void release_callbacks() {
        if (!in_callback_) {
            callbacks_ = {};
        }
    }

    /// Makes the connection available to later calls, if the request was sent
    /// completely and no input of this call remains.
    void return_to_pool() {
        const bool is_reusable =
            request_written_ && reader_.leaves_connection_open();
        if (is_reusable && keep_alive_ms_ > 0) {
            state_->idle_connections.put(
                address_,
                {std::move(socket_), state_->clock.now() + keep_alive_ms_});
        }
    }

    void finish(call_outcome outcome) {
        if (std::exchange(done_, true)) {
            return;
        }
        close();
        keep_nothing();
        const auto on_end = std::exchange(callbacks_.on_end, nullptr);
        release_callbacks();
        if (on_end) {
            on_end(outcome);
        }
    }

    void keep_nothing() {
        state_->buffers->resize(std::exchange(kept_bytes_, 0), 0);
    }

    void close() {
        if (socket_) {
            beast::error_code ignored;
            socket_->close(ignored);
        }
    }

    asio::io_context& io_;
    std::shared_ptr<client_state> state_;
    base::endpoint address_;
    upstream_call_options options_;
    upstream_callbacks callbacks_;
    std::string echo_header_;
    std::string echo_value_;
    std::string request_head_;
    shared_body request_body_;
    std::shared_ptr<tcp::socket> socket_;
    response_reader reader_;
    base::millis started_at_;
    /// The time of the last progress of the connection, moved forward by the
    /// time in which the thread was stalled.
    base::millis last_activity_;
    base::millis keep_alive_ms_ = default_keep_alive_ms;
    bool opened_connection_ = false;
    bool resent_ = false;
    bool refused_ = false;
    bool connected_ = false;
    bool request_written_ = false;
    bool write_failed_ = false;
    /// Whether no part of the response has been received yet.
    bool nothing_received_ = true;
    bool head_delivered_ = false;
    /// Whether the response is not read at present, since when, and whether a
    /// read is to follow.
    bool paused_ = false;
    base::millis paused_at_ = 0;
    bool read_deferred_ = false;
    /// What the receiver keeps of the response, in bytes, and whether there was
    /// no room for it when it last said so.
    std::size_t kept_bytes_ = 0;
    bool lacks_room_ = false;
    bool done_ = false;
    /// Whether a callback of this call is running.
    bool in_callback_ = false;
};

} // namespace

/// Owns the idle connections and checks the timeouts of all calls.
class upstream_client::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& io, std::shared_ptr<response_buffers> buffers)
        : io_(io), timer_(io),
          state_(std::make_shared<client_state>(std::move(buffers))) {}

    std::shared_ptr<upstream_call> start(const base::endpoint& address,
                                         upstream_request request,
                                         upstream_call_options options,
                                         upstream_callbacks callbacks,
                                         const std::string& echo_header) {
        auto call = std::make_shared<client_call>(
            io_, state_, address, std::move(request), options,
            std::move(callbacks), echo_header);
        calls_.push_back(call);
        call->start();
        if (!timeout_check_scheduled_) {
            timeout_check_scheduled_ = true;
            stall_detector_.start(state_->clock.now());
            schedule_timeout_check();
        }
        return call;
    }

    void stop() { timer_.cancel(); }

    void end_calls_started_before(const base::endpoint& address,
                                  base::millis cutoff) {
        // The callbacks may start new calls, which changes `calls_`.
        const auto calls = calls_;
        for (const auto& call : calls) {
            call->end_if_started_before(address, cutoff);
        }
    }

    client_state& state() { return *state_; }

private:
    void schedule_timeout_check() {
        timer_.expires_after(
            std::chrono::milliseconds(timeout_check_interval_ms));
        timer_.async_wait([self = shared_from_this()](beast::error_code error) {
            if (!error) {
                self->check_all_timeouts();
            }
        });
    }

    void check_all_timeouts() {
        const auto now = state_->clock.now();
        const auto stall_ms = stall_detector_.tick(now);
        const auto calls = std::exchange(calls_, {});
        for (const auto& call : calls) {
            call->exclude_stall(stall_ms, now);
            // Input that arrived during a stall is handled before timeouts are
            // checked, because it may be the response to a call whose timeout
            // has expired.
            if (!stall_detector_.is_stalled()) {
                call->check_timeouts(now);
            }
        }
        for (const auto& call : calls) {
            if (!call->is_done()) {
                calls_.push_back(call);
            }
        }
        state_->idle_connections.close_expired(now);
        if (calls_.empty() && state_->idle_connections.empty()) {
            timeout_check_scheduled_ = false;
            return;
        }
        schedule_timeout_check();
    }

    asio::io_context& io_;
    asio::steady_timer timer_;
    std::shared_ptr<client_state> state_;
    std::vector<std::shared_ptr<client_call>> calls_;
    base::stall_detector stall_detector_{timeout_check_interval_ms,
                                         stall_threshold_ms};
    bool timeout_check_scheduled_ = false;
};

upstream_client::upstream_client(asio::io_context& io,
                                 std::shared_ptr<response_buffers> buffers)
    : impl_(std::make_shared<impl>(
          io, buffers ? std::move(buffers)
                      : std::make_shared<response_buffers>())) {}

upstream_client::~upstream_client() {
    impl_->stop();
}

std::shared_ptr<upstream_call>
upstream_client::start(const base::endpoint& address, upstream_request request,
                       upstream_call_options options,
                       upstream_callbacks callbacks,
                       const std::string& echo_header) {
    return impl_->start(address, std::move(request), options,
                        std::move(callbacks), echo_header);
}

void upstream_client::end_calls_started_before(const base::endpoint& address,
                                               base::millis cutoff) {
    impl_->end_calls_started_before(address, cutoff);
}

void upstream_client::close_idle_connections(const base::endpoint& address) {
    impl_->state().idle_connections.close(address);
}

upstream_counts upstream_client::counts() const {
    return impl_->state().counts;
}

} // namespace hibiscus::transport
