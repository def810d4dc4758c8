#include "hibiscus/transport/event_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <deque>
#include <set>
#include <utility>

namespace hibiscus::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

/// How often connections are looked through for overdue reads, in ms. A
/// caller's time-outs are seconds, so a delay of half a second does not matter.
constexpr base::millis sweep_ms = 500;

/// The same while the server closes, in ms.
constexpr base::millis closing_sweep_ms = 20;

/// A caller sends its request as soon as its connection is open. A closing
/// server waits for it so long, in ms.
constexpr base::millis first_request_ms = 250;

/// An answer that a caller does not take for so long is given up; it bounds
/// the memory that callers who stopped reading hold.
constexpr base::millis write_ms = 15000;

/// How long the rest of what a refused caller sends is read and dropped. To
/// close with unread bytes resets the connection, and the caller would lose
/// the answer that says why.
constexpr base::millis linger_ms = 2000;

std::string head_of(int status, const headers& fields) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    const auto reason =
        http::obsolete_reason(static_cast<http::status>(status));
    out.append(reason.data(), reason.size());
    out += "\r\n";
    for (const auto& f : fields) {
        out += f.name;
        out += ": ";
        out += f.value;
        out += "\r\n";
    }
    return out;
}

class session;

enum class server_phase { serving, draining, closing };

struct server_state {
    event_server_limits limits;
    exchange_handler handler;
    event_server_report report;
    base::clock clock;
    std::set<session*> sessions;
    std::size_t in_flight = 0;
    std::size_t connections = 0;
    server_phase phase = server_phase::serving;
};

/// Serves one connection: reads ahead by one request, so that the end of the
/// connection is seen while an answer is being made.
class session : public std::enable_shared_from_this<session> {
public:
    session(tcp::socket socket, std::shared_ptr<server_state> state)
        : socket_(std::move(socket)), state_(std::move(state)),
          opened_at_(state_->clock.now()) {
        state_->sessions.insert(this);
        ++state_->connections;
    }
    ~session() {
        state_->sessions.erase(this);
        state_->connections -= open_ ? 1 : 0;
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void run() { read(); }

    void sweep(base::millis now) {
        if (write_due_ != 0 && now > write_due_) {
            close(cut_cause::write_overdue);
        }
        if (current_) {
            return;
        }
        const bool overdue = read_due_ != 0 && now > read_due_;
        if (shut_ || extended_) {
            if (overdue) {
                close();
            }
        } else if (overdue || may_close(now)) {
            retire();
        }
    }

    bool is_current(std::uint64_t number) const { return current_ == number; }

    void set_closed(std::uint64_t number, std::function<void()> closed) {
        if (current_ != number || !open_) {
            closed();
            return;
        }
        closed_ = std::move(closed);
    }

    void send(std::uint64_t number, std::string bytes, bool last) {
        if (current_ != number || !open_) {
            return;
        }
        last_ = last;
        began_ = true;
        out_.push_back(std::move(bytes));
        if (out_.size() == 1) {
            write_next();
        }
    }

    bool keep_alive() const {
        return keep_alive_ && state_->phase == server_phase::serving;
    }

    void drop_keep_alive() { keep_alive_ = false; }

    void abort(std::uint64_t number) {
        if (current_ == number) {
            close(cut_cause::abandoned);
        }
    }

    /// Answers the present request in its handler's place, or closes the
    /// connection if some of an answer was sent.
    void give_up(int status) {
        if (!current_) {
            return;
        }
        if (began_) {
            close(cut_cause::server_ended);
            return;
        }
        report_cut(cut_cause::server_ended);
        current_ = ++numbers_;
        keep_alive_ = false;
        send(current_, empty_answer(status), true);
        if (auto closed = std::exchange(closed_, nullptr)) {
            closed();
        }
    }

private:
    class answer;

    static std::string empty_answer(int status) {
        return head_of(status,
                       {{"Connection", "close"}, {"Content-Length", "0"}}) +
               "\r\n";
    }

    void read() {
        parser_.emplace();
        parser_->header_limit(
            static_cast<std::uint32_t>(state_->limits.header_bytes));
        parser_->body_limit(state_->limits.body_bytes);
        extended_ = false;
        read_on();
    }

    void read_on() {
        read_due_ = state_->clock.now() + state_->limits.idle_ms;
        http::async_read(
            socket_, buffer_, *parser_,
            [self = shared_from_this()](beast::error_code error, std::size_t) {
                self->on_read(error);
            });
    }

    /// Whether a closing server need not wait for a request any longer.
    bool may_close(base::millis now) const {
        return state_->phase == server_phase::closing &&
               (numbers_ > 0 || now - opened_at_ > first_request_ms);
    }

    /// Ends the connection unless a request has begun to come. Bytes of one may
    /// have been read without their handler having run, which only the end of
    /// the pending read shows.
    void retire() {
        retiring_ = true;
        beast::error_code ignored;
        socket_.cancel(ignored);
    }

    void on_retired() {
        beast::error_code ignored;
        const bool request_began = parser_->got_some() || buffer_.size() > 0 ||
                                   socket_.available(ignored) > 0;
        if (!request_began) {
            close();
            return;
        }
        extended_ = true;
        read_on();
    }

    void on_read(beast::error_code error) {
        const bool retired = std::exchange(retiring_, false);
        read_due_ = 0;
        if (!open_) {
            return;
        }
        if (retired && error == asio::error::operation_aborted) {
            on_retired();
            return;
        }
        if (error) {
            on_read_error(error);
            return;
        }
        if (shut_) {
            read_due_ = state_->clock.now() + linger_ms;
            discard();
            return;
        }
        if (current_) {
            waiting_ = true;
            return;
        }
        handle();
    }

    void on_read_error(beast::error_code error) {
        const bool protocol =
            error.category() ==
                http::make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream &&
            error != http::error::partial_message;
        if (!protocol || current_) {
            close();
            return;
        }
        int status = 400;
        if (error == http::error::body_limit) {
            status = 413;
        } else if (error == http::error::header_limit) {
            status = 431;
        }
        current_ = ++numbers_;
        ++state_->in_flight;
        keep_alive_ = false;
        linger_ = true;
        send(current_, empty_answer(status), true);
    }

    void handle();

    void note_request(const inbound_request& request) {
        const auto* id = find_header(request.fields, state_->report.id_field);
        request_id_ = id == nullptr ? "" : *id;
        target_ = request.target;
        read_at_ = state_->clock.now();
        began_ = false;
    }

    void write_next() {
        write_due_ = state_->clock.now() + write_ms;
        asio::async_write(
            socket_, asio::buffer(out_.front()),
            [self = shared_from_this()](beast::error_code error, std::size_t) {
                self->on_write(error);
            });
    }

    void on_write(beast::error_code error) {
        write_due_ = 0;
        if (!open_) {
            return;
        }
        if (error) {
            close();
            return;
        }
        out_.pop_front();
        if (!out_.empty()) {
            write_next();
            return;
        }
        if (last_) {
            finish();
        }
    }

    /// The answer has been sent whole.
    void finish() {
        last_ = false;
        current_ = 0;
        --state_->in_flight;
        closed_ = nullptr;
        if (linger_ || !keep_alive_) {
            shut();
            return;
        }
        if (waiting_) {
            waiting_ = false;
            handle();
            return;
        }
        read_due_ = state_->clock.now() + state_->limits.idle_ms;
    }

    /// Ends the connection after the last answer; what the caller still sends
    /// is dropped for a while by the pending read and the sweep.
    void shut() {
        shut_ = true;
        beast::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        read_due_ = state_->clock.now() + linger_ms;
        if (linger_ || waiting_) {
            discard();
        }
    }

    void discard() {
        if (!open_) {
            return;
        }
        dropped_.resize(16 * 1024);
        socket_.async_read_some(
            asio::buffer(dropped_),
            [self = shared_from_this()](beast::error_code error, std::size_t) {
                if (error) {
                    self->close();
                } else {
                    self->discard();
                }
            });
    }

    void close(cut_cause cause = cut_cause::caller_left) {
        if (!std::exchange(open_, false)) {
            return;
        }
        --state_->connections;
        beast::error_code ignored;
        socket_.close(ignored);
        if (current_) {
            report_cut(cause);
            current_ = 0;
            --state_->in_flight;
        }
        if (auto closed = std::exchange(closed_, nullptr)) {
            closed();
        }
    }

    void report_cut(cut_cause cause) const {
        if (state_->report.cut) {
            state_->report.cut({request_id_, target_, cause,
                                state_->clock.now() - read_at_, began_});
        }
    }

    tcp::socket socket_;
    std::shared_ptr<server_state> state_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::deque<std::string> out_;
    std::string dropped_;
    std::function<void()> closed_;
    std::uint64_t numbers_ = 0;
    /// The number of the request that is being answered, or 0.
    std::uint64_t current_ = 0;
    /// Of the present request: its name, its target and when it was read whole.
    std::string request_id_;
    std::string target_;
    base::millis read_at_ = 0;
    /// Whether some of the present answer was handed on to be sent.
    bool began_ = false;
    base::millis read_due_ = 0;
    base::millis write_due_ = 0;
    base::millis opened_at_;
    bool open_ = true;
    bool waiting_ = false;
    bool last_ = false;
    /// False once the caller was told, or has said, that this answer is the
    /// connection's last.
    bool keep_alive_ = true;
    /// The pending read was cancelled to see whether a request has begun.
    bool retiring_ = false;
    /// A request had begun when its connection would have been closed.
    bool extended_ = false;
    bool linger_ = false;
    bool shut_ = false;
};

/// The way to answer one request of a session.
class session::answer : public exchange {
public:
    answer(std::shared_ptr<session> owner, std::uint64_t number)
        : session_(std::move(owner)), number_(number) {}

    ~answer() override {
        // A handler that forgets to answer would leave its caller waiting.
        if (!ended_) {
            session_->abort(number_);
        }
    }

    answer(const answer&) = delete;
    answer& operator=(const answer&) = delete;

    void respond(outbound_response response) override {
        if (std::exchange(ended_, true)) {
            return;
        }
        auto bytes = head_of(response.status, response.fields);
        add_connection(bytes);
        bytes += "Content-Length: " + std::to_string(response.body.size());
        bytes += "\r\n\r\n";
        bytes += response.body;
        session_->send(number_, std::move(bytes), true);
    }

    void begin(int status, const headers& fields) override {
        auto bytes = head_of(status, fields);
        add_connection(bytes);
        bytes += "Transfer-Encoding: chunked\r\n\r\n";
        session_->send(number_, std::move(bytes), false);
    }

    void write(std::string_view piece) override {
        if (piece.empty() || ended_) {
            return;
        }
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
        std::string bytes = size;
        bytes += piece;
        bytes += "\r\n";
        session_->send(number_, std::move(bytes), false);
    }

    void end() override {
        if (!std::exchange(ended_, true)) {
            session_->send(number_, "0\r\n\r\n", true);
        }
    }

    void abort() override {
        ended_ = true;
        session_->abort(number_);
    }

    void on_closed(std::function<void()> closed) override {
        session_->set_closed(number_, std::move(closed));
    }

private:
    void add_connection(std::string& bytes) const {
        if (!session_->keep_alive()) {
            session_->drop_keep_alive();
            bytes += "Connection: close\r\n";
        }
    }

    std::shared_ptr<session> session_;
    std::uint64_t number_;
    bool ended_ = false;
};

void session::handle() {
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    inbound_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& f : message) {
        request.fields.push_back(
            {std::string(f.name_string()), std::string(f.value())});
    }
    request.body = std::move(message.body());
    current_ = ++numbers_;
    ++state_->in_flight;
    note_request(request);
    auto way = std::make_shared<answer>(shared_from_this(), current_);
    read();
    state_->handler(std::move(request), std::move(way));
}

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

    /// Calls `f` with each session that is still there when its turn comes:
    /// one that closes may take others along.
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
        std::make_shared<session>(std::move(socket), state_)->run();
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
            self->for_each_session([now](session& s) { s.sweep(now); });
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

void event_server::give_up(int status) {
    impl_->for_each_session([status](session& s) { s.give_up(status); });
}

std::size_t event_server::in_flight() const {
    return impl_->state().in_flight;
}

} // namespace hibiscus::transport
