#include "hibiscus/transport/upstream.hpp"

#include "hibiscus/base/own_delay.hpp"

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
constexpr std::size_t read_bytes = 16 * 1024;

/// How often the bounds of calls are looked at.
constexpr base::millis sweep_ms = 50;

/// A sweep that comes so long after the one before shows that the thread was
/// busy with something else, in ms.
constexpr base::millis late_sweep_ms = 100;

/// A kept connection is not used again after so long without a request if its
/// server does not say how long it keeps it, and never after the longer time:
/// something on the way may have lost track of it.
constexpr base::millis keep_ms = 4000;
constexpr base::millis longest_keep_ms = 30000;

/// How long before the server's own time-out a connection is given up, so
/// that a request does not cross the close.
constexpr base::millis keep_margin_ms = 500;

/// Unacknowledged bytes for so long end a connection whose other side has
/// gone without a word.
constexpr unsigned user_timeout_ms = 3000;

/// Answers are events or documents; more than this in one body is no answer.
constexpr std::uint64_t body_limit = 64 * 1024 * 1024;

/// An open connection that is not in use.
struct kept {
    std::shared_ptr<tcp::socket> socket;
    base::millis until = 0;
};

using pool = std::map<base::endpoint, std::deque<kept>>;

struct client_state {
    pool idle;
    base::clock clock;
    upstream_counts counts;
};

/// True if nothing has come on an idle connection: neither its end nor bytes
/// that belong to no request.
bool is_quiet(tcp::socket& socket, upstream_counts& counts) {
    char byte = 0;
    const auto n =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        ++counts.stray_bytes;
    }
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

class call : public upstream_call, public std::enable_shared_from_this<call> {
public:
    call(asio::io_context& io, std::shared_ptr<client_state> state,
         base::endpoint target, upstream_request request, call_options options,
         upstream_events events, std::string echo)
        : io_(io), state_(std::move(state)), target_(std::move(target)),
          options_(options), events_(std::move(events)), echo_(std::move(echo)),
          started_(state_->clock.now()), heard_(started_),
          head_only_(request.method == "HEAD") {
        if (const auto* id = find_header(request.fields, echo_)) {
            echo_value_ = *id;
        }
        bytes_ = serialize(request);
    }

    void begin() {
        if (options_.reuse && take_kept()) {
            ++state_->counts.reused;
            send();
            return;
        }
        connect();
    }

    void cancel() override {
        if (!done_) {
            done_ = true;
            close();
            release_events();
        }
    }

    bool opened() const override { return opened_; }

    bool done() const { return done_; }

    void abandon(const base::endpoint& target, base::millis before) {
        if (target_ == target && started_ < before) {
            finish(connected_ ? call_end::timed_out : call_end::not_sent);
        }
    }

    /// Leaves time out of the wait for the connection or the next byte.
    void leave_out(base::millis held_up, base::millis now) {
        heard_ = std::min(now, heard_ + held_up);
    }

    void check(base::millis now) {
        if (done_) {
            return;
        }
        if (!connected_ && now - heard_ > options_.connect_ms) {
            finish(call_end::not_sent);
        } else if (options_.total_ms > 0 &&
                   now - started_ > options_.total_ms) {
            finish(call_end::timed_out);
        } else if (connected_ && options_.silence_ms > 0 &&
                   now - heard_ > options_.silence_ms) {
            finish(call_end::silent);
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

    bool take_kept() {
        auto& row = state_->idle[target_];
        const auto now = state_->clock.now();
        while (!row.empty()) {
            auto k = std::move(row.back());
            row.pop_back();
            if (now < k.until && is_quiet(*k.socket, state_->counts)) {
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
                self->finish(call_end::not_sent);
            });
            return;
        }
        socket_ = std::make_shared<tcp::socket>(io_);
        ++state_->counts.connections;
        opened_ = true;
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
            finish(call_end::not_sent);
            return;
        }
        beast::error_code ignored;
        socket_->set_option(tcp::no_delay(true), ignored);
        ::setsockopt(socket_->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &user_timeout_ms, sizeof user_timeout_ms);
        connected_ = true;
        send();
    }

    void send() {
        heard_ = state_->clock.now();
        asio::async_write(
            *socket_, asio::buffer(bytes_),
            [self = shared_from_this()](beast::error_code error, std::size_t) {
                self->written_ = !error;
            });
        parser_.emplace();
        parser_->body_limit(body_limit);
        parser_->header_limit(64 * 1024);
        parser_->eager(true);
        parser_->skip(head_only_);
        read();
    }

    /// Reads for itself rather than by the library's read, which keeps a part
    /// of a chunk until the next one comes: an event would then wait for the
    /// one behind it.
    void read() {
        socket_->async_read_some(buffer_.prepare(read_bytes),
                                 [self = shared_from_this()](
                                     beast::error_code error, std::size_t n) {
                                     self->on_read(error, n);
                                 });
    }

    void on_read(beast::error_code error, std::size_t n) {
        if (done_) {
            return;
        }
        heard_ = state_->clock.now();
        buffer_.commit(n);
        if (error == asio::error::eof) {
            on_eof();
            return;
        }
        if (error) {
            finish(silent_ ? lost() : call_end::broken);
            return;
        }
        silent_ = false;
        if (!parse() || !take_head()) {
            return;
        }
        take_data();
        if (done_) {
            return;
        }
        if (!parser_->is_done()) {
            read();
            return;
        }
        keep();
        finish(call_end::complete);
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
                finish(call_end::broken);
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
            finish(error ? call_end::broken : call_end::closed);
            return;
        }
        finish(silent_ ? lost() : call_end::broken);
    }

    /// How a call ends whose connection brought nothing of its answer.
    call_end lost() const {
        return opened_ ? call_end::broken : call_end::stale;
    }

    /// Hands the head on, once. Returns false if the call has ended.
    bool take_head() {
        if (head_told_ || !parser_->is_header_done()) {
            return true;
        }
        head_told_ = true;
        upstream_head head;
        head.status = static_cast<int>(parser_->get().result_int());
        for (const auto& f : parser_->get()) {
            head.fields.push_back(
                {std::string(f.name_string()), std::string(f.value())});
        }
        // A second answer to an earlier request may stand on the connection
        // where this one's is due; taken as this one's, a caller would get
        // what belongs to another.
        const auto* id = find_header(head.fields, echo_);
        if (!echo_.empty() &&
            (id != nullptr ? *id != echo_value_ : head.status < 400)) {
            ++state_->counts.stray_bytes;
            finish(lost());
            return false;
        }
        note_keep_alive(head.fields);
        tell(events_.head, head);
        return !done_;
    }

    void note_keep_alive(const headers& fields) {
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
        keep_for_ = std::min<base::millis>(longest_keep_ms,
                                           seconds * 1000 - keep_margin_ms);
    }

    void take_data() {
        auto& body = parser_->get().body();
        if (body.empty()) {
            return;
        }
        const std::string piece = std::exchange(body, std::string());
        tell(events_.data, std::string_view(piece));
    }

    template <class Handler, class Value>
    void tell(const Handler& handler, const Value& value) {
        if (!handler) {
            return;
        }
        telling_ = true;
        handler(value);
        telling_ = false;
        if (done_) {
            release_events();
        }
    }

    /// A handler that cancels its own call still runs; it must outlive that.
    void release_events() {
        if (!telling_) {
            events_ = {};
        }
    }

    /// Keeps the connection for the next call, if it is in a state that says
    /// nothing about this one any more.
    void keep() {
        const bool clean = parser_->keep_alive() && written_ &&
                           buffer_.size() == 0 && !parser_->need_eof();
        if (clean && keep_for_ > 0) {
            state_->idle[target_].push_back(
                {std::move(socket_), state_->clock.now() + keep_for_});
        }
    }

    void finish(call_end end) {
        if (std::exchange(done_, true)) {
            return;
        }
        close();
        const auto ended = std::exchange(events_.ended, nullptr);
        release_events();
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
    call_options options_;
    upstream_events events_;
    std::string echo_;
    std::string echo_value_;
    std::string bytes_;
    std::shared_ptr<tcp::socket> socket_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    base::millis started_;
    /// Since when it waits for its connection or the next byte, without the
    /// time in which the thread was held up.
    base::millis heard_;
    base::millis keep_for_ = keep_ms;
    bool head_only_;
    bool opened_ = false;
    bool connected_ = false;
    bool written_ = false;
    /// Nothing has come on the connection yet.
    bool silent_ = true;
    bool head_told_ = false;
    bool done_ = false;
    /// A handler of this call is running.
    bool telling_ = false;
};

} // namespace

/// Holds the kept connections and looks at the bounds of all calls.
class upstream_client::impl : public std::enable_shared_from_this<impl> {
public:
    explicit impl(asio::io_context& io)
        : io_(io), timer_(io), state_(std::make_shared<client_state>()) {}

    std::shared_ptr<upstream_call> start(const base::endpoint& target,
                                         upstream_request request,
                                         call_options options,
                                         upstream_events events,
                                         const std::string& echo) {
        auto c = std::make_shared<call>(io_, state_, target, std::move(request),
                                        options, std::move(events), echo);
        calls_.push_back(c);
        c->begin();
        if (!sweeping_) {
            sweeping_ = true;
            delay_.begin(state_->clock.now());
            sweep();
        }
        return c;
    }

    void stop() { timer_.cancel(); }

    void abandon(const base::endpoint& target, base::millis before) {
        // Callers may start new calls when theirs end.
        const auto calls = calls_;
        for (const auto& c : calls) {
            c->abandon(target, before);
        }
    }

    client_state& state() { return *state_; }

private:
    void sweep() {
        timer_.expires_after(std::chrono::milliseconds(sweep_ms));
        timer_.async_wait([self = shared_from_this()](beast::error_code error) {
            if (!error) {
                self->check();
            }
        });
    }

    void check() {
        const auto now = state_->clock.now();
        const auto held_up = delay_.look(now);
        const auto calls = std::exchange(calls_, {});
        for (const auto& c : calls) {
            c->leave_out(held_up, now);
            // What came while the thread was held up is handled first; it may
            // be the answer of a call whose time is over.
            if (!delay_.held_up()) {
                c->check(now);
            }
        }
        for (const auto& c : calls) {
            if (!c->done()) {
                calls_.push_back(c);
            }
        }
        drop_old(now);
        if (calls_.empty() && state_->idle.empty()) {
            sweeping_ = false;
            return;
        }
        sweep();
    }

    void drop_old(base::millis now) {
        for (auto row = state_->idle.begin(); row != state_->idle.end();) {
            auto& list = row->second;
            while (!list.empty() && now >= list.front().until) {
                list.pop_front();
            }
            row = list.empty() ? state_->idle.erase(row) : std::next(row);
        }
    }

    asio::io_context& io_;
    asio::steady_timer timer_;
    std::shared_ptr<client_state> state_;
    std::vector<std::shared_ptr<call>> calls_;
    base::own_delay delay_{sweep_ms, late_sweep_ms};
    bool sweeping_ = false;
};

upstream_client::upstream_client(asio::io_context& io)
    : impl_(std::make_shared<impl>(io)) {}

upstream_client::~upstream_client() {
    impl_->stop();
}

std::shared_ptr<upstream_call>
upstream_client::start(const base::endpoint& target, upstream_request request,
                       call_options options, upstream_events events,
                       const std::string& echo) {
    return impl_->start(target, std::move(request), options, std::move(events),
                        echo);
}

void upstream_client::abandon(const base::endpoint& target,
                              base::millis before) {
    impl_->abandon(target, before);
}

void upstream_client::forget(const base::endpoint& target) {
    impl_->state().idle.erase(target);
}

upstream_counts upstream_client::counts() const {
    return impl_->state().counts;
}

} // namespace hibiscus::transport
