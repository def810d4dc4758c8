#include "hibiscus/transport/upstream.hpp"

#include "hibiscus/base/stall_detector.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace hibiscus::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

/// The most bytes of one read.
constexpr std::size_t read_buffer_bytes = 16 * 1024;

/// How often the bounds of calls are looked at.
constexpr base::millis sweep_interval_ms = 50;

/// A sweep that comes so long after the one before shows that the thread was
/// busy with something else, in ms.
constexpr base::millis late_sweep_threshold_ms = 100;

/// A kept connection is not used again after so long without a request if its
/// server does not say how long it keeps it, and never after the longer time:
/// something on the way may have lost track of it.
constexpr base::millis default_keep_alive_ms = 4000;
constexpr base::millis max_keep_alive_ms = 30000;

/// How long before the server's own time-out a connection is given up, so
/// that a request does not cross the close.
constexpr base::millis keep_alive_margin_ms = 500;

/// Unacknowledged bytes for so long end a connection whose other side has
/// gone without a word.
constexpr unsigned tcp_user_timeout_ms = 3000;

/// Answers are events or documents; more than this in one body is no answer.
constexpr std::uint64_t max_body_bytes = 64 * 1024 * 1024;

/// An open connection that is not in use.
struct idle_connection {
    std::shared_ptr<tcp::socket> socket;
    base::millis expires_at = 0;
};

using connection_pool = std::map<base::endpoint, std::deque<idle_connection>>;

struct client_state {
    connection_pool idle_connections;
    base::clock clock;
    upstream_counts counts;
};

/// True if nothing has come on an idle connection: neither its end nor bytes
/// that belong to no request.
bool has_no_unread_input(tcp::socket& socket, upstream_counts& counts) {
    char byte = 0;
    const auto n =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        ++counts.unsolicited_reads;
    }
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

class client_call : public upstream_call,
                    public std::enable_shared_from_this<client_call> {
public:
    client_call(asio::io_context& io, std::shared_ptr<client_state> state,
                base::endpoint target, upstream_request request,
                upstream_call_options options, upstream_callbacks events,
                std::string echo)
        : io_(io), state_(std::move(state)), target_(std::move(target)),
          options_(options), callbacks_(std::move(events)),
          echo_header_(std::move(echo)), started_at_(state_->clock.now()),
          last_activity_(started_at_),
          is_head_request_(request.method == "HEAD") {
        if (const auto* id = find_header(request.fields, echo_header_)) {
            echo_value_ = *id;
        }
        request_bytes_ = serialize(request);
    }

    void start() {
        if (options_.reuse_connection && take_idle_connection()) {
            ++state_->counts.connections_reused;
            send();
            return;
        }
        connect();
    }

    void cancel() override {
        if (!done_) {
            done_ = true;
            close();
            release_callbacks();
        }
    }

    bool opened_connection() const override { return opened_connection_; }

    bool done() const { return done_; }

    void end_if_started_before(const base::endpoint& target,
                               base::millis before) {
        if (target_ == target && started_at_ < before) {
            finish(connected_ ? call_outcome::total_timeout
                              : call_outcome::not_sent);
        }
    }

    /// Leaves time out of the wait for the connection or the next byte.
    void exclude_stall(base::millis held_up, base::millis now) {
        last_activity_ = std::min(now, last_activity_ + held_up);
    }

    void check_timeouts(base::millis now) {
        if (done_) {
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
    std::string serialize(const upstream_request& request) const {
        std::string out =
            request.method + " " + request.target + " HTTP/1.1\r\n";
        if (find_header(request.fields, "host") == nullptr) {
            out += "Host: " + to_string(target_) + "\r\n";
        }
        for (const auto& f : request.fields) {
            out += f.name;
            out += ": ";
            out += f.value;
            out += "\r\n";
        }
        if (!request.body.empty() || request.method != "GET") {
            out += "Content-Length: " + std::to_string(request.body.size()) +
                   "\r\n";
        }
        out += "\r\n";
        out += request.body;
        return out;
    }

    bool take_idle_connection() {
        auto& row = state_->idle_connections[target_];
        const auto now = state_->clock.now();
        while (!row.empty()) {
            auto k = std::move(row.back());
            row.pop_back();
            if (now < k.expires_at &&
                has_no_unread_input(*k.socket, state_->counts)) {
                socket_ = std::move(k.socket);
                connected_ = true;
                return true;
            }
        }
        return false;
    }

    void connect() {
        beast::error_code error;
        const auto ip = asio::ip::make_address(target_.ip, error);
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
            tcp::endpoint(ip, target_.port),
            [self = shared_from_this()](beast::error_code e) {
                self->on_connect(e);
            });
    }

    void on_connect(beast::error_code error) {
        if (done_) {
            return;
        }
        if (error) {
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
        asio::async_write(
            *socket_, asio::buffer(request_bytes_),
            [self = shared_from_this()](beast::error_code error, std::size_t) {
                self->request_written_ = !error;
            });
        parser_.emplace();
        parser_->body_limit(max_body_bytes);
        parser_->header_limit(64 * 1024);
        parser_->eager(true);
        parser_->skip(is_head_request_);
        read();
    }

    /// Reads for itself rather than by the library's read, which keeps a part
    /// of a chunk until the next one comes: an event would then wait for the
    /// one behind it.
    void read() {
        socket_->async_read_some(buffer_.prepare(read_buffer_bytes),
                                 [self = shared_from_this()](
                                     beast::error_code error, std::size_t n) {
                                     self->on_read(error, n);
                                 });
    }

    void on_read(beast::error_code error, std::size_t n) {
        if (done_) {
            return;
        }
        last_activity_ = state_->clock.now();
        buffer_.commit(n);
        if (error == asio::error::eof) {
            on_eof();
            return;
        }
        if (error) {
            finish(nothing_received_ ? lost_connection_outcome()
                                     : call_outcome::broken);
            return;
        }
        nothing_received_ = false;
        if (!parse() || !deliver_head()) {
            return;
        }
        deliver_data();
        if (done_) {
            return;
        }
        if (!parser_->is_done()) {
            read();
            return;
        }
        return_to_pool();
        finish(call_outcome::complete);
    }

    /// Parses what was read. Returns false if it is no answer.
    bool parse() {
        while (buffer_.size() > 0 && !parser_->is_done()) {
            beast::error_code error;
            const auto used = parser_->put(buffer_.data(), error);
            buffer_.consume(used);
            if (error == http::error::need_more) {
                return true;
            }
            if (error) {
                finish(call_outcome::broken);
                return false;
            }
            if (used == 0) {
                return true;
            }
        }
        return true;
    }

    /// The connection has ended: a body without a length ends with it, any
    /// other is cut off.
    void on_eof() {
        beast::error_code error;
        if (parser_->is_header_done() && parser_->need_eof()) {
            parser_->put_eof(error);
            finish(error ? call_outcome::broken
                         : call_outcome::closed_without_length);
            return;
        }
        finish(nothing_received_ ? lost_connection_outcome()
                                 : call_outcome::broken);
    }

    /// How a call ends whose connection brought nothing of its answer.
    call_outcome lost_connection_outcome() const {
        return opened_connection_ ? call_outcome::broken
                                  : call_outcome::stale_connection;
    }

    /// Hands the head on, once. Returns false if the call has ended.
    bool deliver_head() {
        if (head_delivered_ || !parser_->is_header_done()) {
            return true;
        }
        head_delivered_ = true;
        response_head head;
        head.status = static_cast<int>(parser_->get().result_int());
        for (const auto& f : parser_->get()) {
            head.fields.push_back(
                {std::string(f.name_string()), std::string(f.value())});
        }
        // A second answer to an earlier request may stand on the connection
        // where this one's is due; taken as this one's, a caller would get
        // what belongs to another.
        const auto* id = find_header(head.fields, echo_header_);
        if (!echo_header_.empty() &&
            (id != nullptr ? *id != echo_value_ : head.status < 400)) {
            ++state_->counts.unsolicited_reads;
            finish(lost_connection_outcome());
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
        const auto at = value->find("timeout=");
        if (at == std::string::npos) {
            return;
        }
        const auto seconds = std::strtol(
            value->c_str() + at + sizeof "timeout=" - 1, nullptr, 10);
        keep_alive_ms_ = std::min<base::millis>(
            max_keep_alive_ms, seconds * 1000 - keep_alive_margin_ms);
    }

    void deliver_data() {
        auto& body = parser_->get().body();
        if (body.empty()) {
            return;
        }
        const std::string piece = std::exchange(body, std::string());
        invoke_callback(callbacks_.on_data, std::string_view(piece));
    }

    template <class Handler, class Value>
    void invoke_callback(const Handler& handler, const Value& value) {
        if (!handler) {
            return;
        }
        in_callback_ = true;
        handler(value);
        in_callback_ = false;
        if (done_) {
            release_callbacks();
        }
    }

    /// A handler that cancels its own call still runs; it must outlive that.
    void release_callbacks() {
        if (!in_callback_) {
            callbacks_ = {};
        }
    }

    /// Keeps the connection for the next call, if it is in a state that says
    /// nothing about this one any more.
    void return_to_pool() {
        const bool clean = parser_->keep_alive() && request_written_ &&
                           buffer_.size() == 0 && !parser_->need_eof();
        if (clean && keep_alive_ms_ > 0) {
            state_->idle_connections[target_].push_back(
                {std::move(socket_), state_->clock.now() + keep_alive_ms_});
        }
    }

    void finish(call_outcome end) {
        if (std::exchange(done_, true)) {
            return;
        }
        close();
        const auto ended = std::exchange(callbacks_.on_end, nullptr);
        release_callbacks();
        if (ended) {
            ended(end);
        }
    }

    void close() {
        if (socket_) {
            beast::error_code ignored;
            socket_->close(ignored);
        }
    }

    asio::io_context& io_;
    std::shared_ptr<client_state> state_;
    base::endpoint target_;
    upstream_call_options options_;
    upstream_callbacks callbacks_;
    std::string echo_header_;
    std::string echo_value_;
    std::string request_bytes_;
    std::shared_ptr<tcp::socket> socket_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    base::millis started_at_;
    /// Since when it waits for its connection or the next byte, without the
    /// time in which the thread was held up.
    base::millis last_activity_;
    base::millis keep_alive_ms_ = default_keep_alive_ms;
    bool is_head_request_;
    bool opened_connection_ = false;
    bool connected_ = false;
    bool request_written_ = false;
    /// Nothing has come on the connection yet.
    bool nothing_received_ = true;
    bool head_delivered_ = false;
    bool done_ = false;
    /// A handler of this call is running.
    bool in_callback_ = false;
};

} // namespace

/// Holds the kept connections and looks at the bounds of all calls.
class upstream_client::impl : public std::enable_shared_from_this<impl> {
public:
    explicit impl(asio::io_context& io)
        : io_(io), timer_(io), state_(std::make_shared<client_state>()) {}

    std::shared_ptr<upstream_call> start(const base::endpoint& target,
                                         upstream_request request,
                                         upstream_call_options options,
                                         upstream_callbacks events,
                                         const std::string& echo) {
        auto c = std::make_shared<client_call>(io_, state_, target,
                                               std::move(request), options,
                                               std::move(events), echo);
        calls_.push_back(c);
        c->start();
        if (!sweeping_) {
            sweeping_ = true;
            stall_detector_.start(state_->clock.now());
            schedule_sweep();
        }
        return c;
    }

    void stop() { timer_.cancel(); }

    void end_calls_started_before(const base::endpoint& target,
                                  base::millis before) {
        // Callers may start new calls when theirs end.
        const auto calls = calls_;
        for (const auto& c : calls) {
            c->end_if_started_before(target, before);
        }
    }

    client_state& state() { return *state_; }

private:
    void schedule_sweep() {
        timer_.expires_after(std::chrono::milliseconds(sweep_interval_ms));
        timer_.async_wait([self = shared_from_this()](beast::error_code error) {
            if (!error) {
                self->sweep();
            }
        });
    }

    void sweep() {
        const auto now = state_->clock.now();
        const auto held_up = stall_detector_.tick(now);
        const auto calls = std::exchange(calls_, {});
        for (const auto& c : calls) {
            c->exclude_stall(held_up, now);
            // What came while the thread was held up is handled first; it may
            // be the answer of a call whose time is over.
            if (!stall_detector_.is_stalled()) {
                c->check_timeouts(now);
            }
        }
        for (const auto& c : calls) {
            if (!c->done()) {
                calls_.push_back(c);
            }
        }
        close_expired_connections(now);
        if (calls_.empty() && state_->idle_connections.empty()) {
            sweeping_ = false;
            return;
        }
        schedule_sweep();
    }

    void close_expired_connections(base::millis now) {
        for (auto row = state_->idle_connections.begin();
             row != state_->idle_connections.end();) {
            auto& list = row->second;
            while (!list.empty() && now >= list.front().expires_at) {
                list.pop_front();
            }
            row = list.empty() ? state_->idle_connections.erase(row)
                               : std::next(row);
        }
    }

    asio::io_context& io_;
    asio::steady_timer timer_;
    std::shared_ptr<client_state> state_;
    std::vector<std::shared_ptr<client_call>> calls_;
    base::stall_detector stall_detector_{sweep_interval_ms,
                                         late_sweep_threshold_ms};
    bool sweeping_ = false;
};

upstream_client::upstream_client(asio::io_context& io)
    : impl_(std::make_shared<impl>(io)) {}

upstream_client::~upstream_client() {
    impl_->stop();
}

std::shared_ptr<upstream_call>
upstream_client::start(const base::endpoint& target, upstream_request request,
                       upstream_call_options options, upstream_callbacks events,
                       const std::string& echo) {
    return impl_->start(target, std::move(request), options, std::move(events),
                        echo);
}

void upstream_client::end_calls_started_before(const base::endpoint& target,
                                               base::millis before) {
    impl_->end_calls_started_before(target, before);
}

void upstream_client::close_idle_connections(const base::endpoint& target) {
    impl_->state().idle_connections.erase(target);
}

upstream_counts upstream_client::counts() const {
    return impl_->state().counts;
}

} // namespace hibiscus::transport
