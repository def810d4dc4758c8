#include "server_session.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace hibiscus::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

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

std::string empty_answer(int status) {
    return head_of(status, {{"Connection", "close"}, {"Content-Length", "0"}}) +
           "\r\n";
}

} // namespace

/// The way to answer one request of a session.
class server_session::answer : public exchange {
public:
    answer(std::shared_ptr<server_session> owner, std::uint64_t number)
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

    std::shared_ptr<server_session> session_;
    std::uint64_t number_;
    bool ended_ = false;
};

server_session::server_session(tcp::socket socket,
                               std::shared_ptr<server_state> state)
    : socket_(std::move(socket)), state_(std::move(state)),
      opened_at_(state_->clock.now()) {
    state_->sessions.insert(this);
    ++state_->connections;
}

server_session::~server_session() {
    state_->sessions.erase(this);
    state_->connections -= open_ ? 1 : 0;
}

void server_session::sweep(base::millis now) {
    if (write_due_ != 0 && now > write_due_) {
        close(cut_cause::write_overdue);
    }
    if (current_) {
        return;
    }
    const bool overdue = is_overdue(now);
    if (lingering_) {
        if (overdue) {
            close();
        }
    } else if (overdue || (!given_more_time_ && may_close(now))) {
        cancel_idle_read();
    }
}

void server_session::set_closed(std::uint64_t number,
                                std::function<void()> closed) {
    if (current_ != number || !open_) {
        closed();
        return;
    }
    on_caller_closed_ = std::move(closed);
}

void server_session::send(std::uint64_t number, std::string bytes, bool last) {
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

bool server_session::keep_alive() const {
    return keep_alive_ && state_->phase == server_phase::serving;
}

void server_session::abort(std::uint64_t number) {
    if (current_ == number) {
        close(cut_cause::abandoned);
    }
}

void server_session::answer_open(int status) {
    if (!current_ || last_) {
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
    if (auto closed = std::exchange(on_caller_closed_, nullptr)) {
        closed();
    }
}

void server_session::read() {
    parser_.emplace();
    take_limits();
    given_more_time_ = false;
    read_on();
}

void server_session::take_limits() {
    if (!parser_ || parser_->got_some()) {
        return;
    }
    parser_->header_limit(
        static_cast<std::uint32_t>(state_->limits.header_bytes));
    parser_->body_limit(state_->limits.body_bytes);
}

void server_session::wait_for_caller() {
    waits_since_ = state_->clock.now();
    idle_ms_ = state_->limits.idle_ms;
}

/// A caller may go by the limit that it knew or by the one in force.
bool server_session::is_overdue(base::millis now) const {
    const auto idle_ms = std::max(idle_ms_, state_->limits.idle_ms);
    return waits_since_ &&
           now - *waits_since_ > (lingering_ ? linger_ms : idle_ms);
}

void server_session::read_on() {
    wait_for_caller();
    http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t) {
            self->on_read(error);
        });
}

bool server_session::may_close(base::millis now) const {
    return state_->phase == server_phase::closing &&
           (numbers_ > 0 || now - opened_at_ > first_request_ms);
}

void server_session::cancel_idle_read() {
    idle_read_cancelled_ = true;
    beast::error_code ignored;
    socket_.cancel(ignored);
}

void server_session::on_idle_read_cancelled() {
    beast::error_code ignored;
    const bool request_began = parser_->got_some() || buffer_.size() > 0 ||
                               socket_.available(ignored) > 0;
    if (!request_began || given_more_time_) {
        close();
        return;
    }
    given_more_time_ = true;
    read_on();
}

void server_session::on_read(beast::error_code error) {
    const bool cancelled = std::exchange(idle_read_cancelled_, false);
    waits_since_.reset();
    if (!open_) {
        return;
    }
    if (cancelled && error == asio::error::operation_aborted) {
        on_idle_read_cancelled();
        return;
    }
    if (error) {
        on_read_error(error);
        return;
    }
    if (lingering_) {
        wait_for_caller();
        discard();
        return;
    }
    if (current_) {
        waiting_ = true;
        return;
    }
    handle();
}

void server_session::on_read_error(beast::error_code error) {
    const bool protocol =
        error.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message;
    if (!protocol || lingering_) {
        close();
        return;
    }
    if (current_) {
        // What follows is no request; the one before is still answered.
        keep_alive_ = false;
        discard_rest_ = true;
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
    malformed_ = true;
    keep_alive_ = false;
    discard_rest_ = true;
    send(current_, empty_answer(status), true);
}

void server_session::note_request(const inbound_request& request) {
    const auto* id = find_header(request.fields, state_->report.id_field);
    request_id_ = id == nullptr ? "" : *id;
    target_ = request.target;
    read_at_ = state_->clock.now();
    began_ = false;
}

void server_session::write_next() {
    write_due_ = state_->clock.now() + write_ms;
    asio::async_write(
        socket_, asio::buffer(out_.front()),
        [self = shared_from_this()](beast::error_code error, std::size_t) {
            self->on_write(error);
        });
}

void server_session::on_write(beast::error_code error) {
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

void server_session::finish() {
    last_ = false;
    current_ = 0;
    --state_->in_flight;
    on_caller_closed_ = nullptr;
    if (discard_rest_ || !keep_alive_) {
        shutdown_send();
        return;
    }
    if (waiting_) {
        waiting_ = false;
        handle();
        return;
    }
    wait_for_caller();
}

void server_session::shutdown_send() {
    lingering_ = true;
    beast::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    wait_for_caller();
    if (discard_rest_ || waiting_) {
        discard();
    }
}

void server_session::discard() {
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

void server_session::close(cut_cause cause) {
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
    if (auto closed = std::exchange(on_caller_closed_, nullptr)) {
        closed();
    }
}

void server_session::report_cut(cut_cause cause) const {
    if (state_->report.cut && !malformed_) {
        state_->report.cut({request_id_, target_, cause,
                            state_->clock.now() - read_at_, began_});
    }
}

void server_session::handle() {
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
    auto responder = std::make_shared<answer>(shared_from_this(), current_);
    read();
    state_->handler(std::move(request), std::move(responder));
}

} // namespace hibiscus::transport
