#include "server_session.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hibiscus::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

/// The largest body, in bytes, that is read without a reservation.
constexpr std::size_t max_unreserved_body_bytes = 64 * 1024;

/// How much a body without a length may grow until it needs more room, in
/// bytes: at least one read.
constexpr std::size_t min_growth_bytes = 64 * 1024;

/// Bytes that have to arrive for a request to make progress.
constexpr std::size_t progress_bytes = 16 * 1024;

/// How often the fields of a head are held: as parsed, and for the handler.
/// What each of them takes beside its text, in bytes.
constexpr std::size_t head_copies = 2;
constexpr std::size_t field_overhead_bytes = 192;

/// Interval between checks for room for the body of a request.
constexpr std::chrono::milliseconds room_check_interval(20);

/// How long a closing server waits for the first request on a new connection.
/// Callers send their request as soon as the connection is open.
constexpr base::millis first_request_timeout_ms = 250;

/// How long a connection may be idle while its remaining input is read and
/// dropped after the last response. Closing a socket with unread input resets
/// the connection, and the caller could lose the response.
constexpr base::millis linger_timeout_ms = 2000;

/// Maximum time for which a body waits for room, in ms.
constexpr base::millis room_timeout_ms = 3000;

/// Retry-after time, in seconds, for a caller whose request was given up.
/// Requests that stopped have made room by then.
constexpr const char* no_room_retry_after_s = "2";

/// Returns the room for a body without a length that has `needed` bytes. Each
/// step doubles the last one, and the last one is the limit, so that the old
/// and the new memory together are never larger than the limit.
std::size_t next_body_room(std::size_t needed, std::size_t limit) {
    auto room = limit;
    while (room / 2 >= needed) {
        room /= 2;
    }
    return room;
}

template <class Fields>
std::size_t memory_of(const Fields& fields) {
    std::size_t bytes = 0;
    for (const auto& f : fields) {
        bytes += head_copies * (f.name_string().size() + f.value().size()) +
                 field_overhead_bytes;
    }
    return bytes;
}

int status_of(beast::error_code error) {
    if (error == http::error::body_limit) {
        return 413;
    }
    return error == http::error::header_limit ? 431 : 400;
}

} // namespace

void server_session::read_next_request() {
    parser_.emplace();
    parser_->eager(true);
    apply_limits();
    idle_timeout_restarted_ = false;
    head_bytes_ = 0;
    recent_bytes_ = 0;
    input_progress_at_ = state_->clock.now();
    start_idle_timer();
    if (unparsed_.empty()) {
        wait_for_input();
        return;
    }
    on_input(std::exchange(unparsed_, {}));
}

void server_session::apply_limits() {
    if (!parser_ || parser_->got_some()) {
        return;
    }
    const auto& limits = state_->limits;
    head_timeout_ms_ = limits.header_timeout_ms;
    body_limit_ = limits.max_body_bytes;
    unparsed_limit_ = limits.max_header_bytes;
    parser_->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser_->body_limit(limits.max_body_bytes);
}

void server_session::start_idle_timer() {
    idle_since_ = state_->clock.now();
    idle_timeout_ms_ = state_->limits.idle_timeout_ms;
}

void server_session::continue_read() {
    waiting_for_room_ = !reserve_body();
    if (waiting_for_room_) {
        room_awaited_since_ = state_->clock.now();
        wait_for_room();
        return;
    }
    wait_for_input();
}

void server_session::wait_for_input() {
    if (!open_ || std::exchange(input_awaited_, true)) {
        return;
    }
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](beast::error_code error) {
                           self->input_awaited_ = false;
                           self->on_readable(error);
                       });
}

void server_session::on_readable(beast::error_code error) {
    if (!open_ || (!parser_ && !lingering_)) {
        return;
    }
    if (error) {
        close();
        return;
    }
    const auto input = read_input();
    if (!input) {
        return;
    }
    if (lingering_) {
        wait_for_input();
        return;
    }
    on_input(*input);
}

std::optional<std::string_view> server_session::read_input() {
    auto& connections = state_->connections();
    const auto buffer = connections.prepare_read(unparsed_);
    beast::error_code error;
    const auto bytes = socket_.read_some(buffer, error);
    if (error == asio::error::would_block) {
        wait_for_input();
        return std::nullopt;
    }
    if (error) {
        close();
        return std::nullopt;
    }
    note_progress(bytes);
    return connections.received(unparsed_.size() + bytes);
}

void server_session::note_progress(std::size_t bytes) {
    recent_bytes_ += bytes;
    if (recent_bytes_ >= progress_bytes) {
        recent_bytes_ = 0;
        input_progress_at_ = state_->clock.now();
    }
}

void server_session::on_input(std::string_view input) {
    beast::error_code error;
    std::size_t parsed = 0;
    const bool began_in_head = !parser_->is_header_done();
    while (parsed < input.size() && !parser_->is_done() && !error) {
        const auto taken = parser_->put(
            asio::buffer(input.data() + parsed, input.size() - parsed), error);
        parsed += taken;
        if (taken == 0) {
            break;
        }
    }
    if (error == http::error::need_more) {
        error = {};
    }
    if (!parser_->is_header_done()) {
        head_began_at_ =
            head_bytes_ == 0 ? state_->clock.now() : head_began_at_;
        head_bytes_ = input.size();
    } else if (began_in_head) {
        head_bytes_ = memory_of(parser_->get());
    }
    unparsed_ = std::string(input.substr(parsed));
    if (!error && !parser_->is_done() && unparsed_.size() > unparsed_limit_) {
        // The line of a chunk, or the trailers: the parser bounds the head.
        error = http::error::header_limit;
    }
    if (error) {
        on_parse_error(error);
        return;
    }
    count_input();
    if (!open_ || !parser_) {
        return;
    }
    if (parser_->is_done()) {
        on_request_read();
    } else {
        continue_read();
    }
}

void server_session::on_request_read() {
    idle_since_.reset();
    if (current_request_number_) {
        next_request_ready_ = true;
        return;
    }
    dispatch_request();
}

void server_session::on_parse_error(beast::error_code error) {
    const int status = status_of(error);
    reject_input(status == 400 ? reject_cause::malformed
                               : reject_cause::too_large,
                 status, {});
}

void server_session::give_up_request(reject_cause cause) {
    constexpr int unavailable = 503;
    reject_input(cause, unavailable, {{"Retry-After", no_room_retry_after_s}});
}

void server_session::reject_input(reject_cause cause, int status,
                                  const headers& fields) {
    report_rejection(cause, current_request_number_ ? 0 : status);
    idle_since_.reset();
    stop_reading();
    next_request_ready_ = false;
    keep_alive_ = false;
    discard_remaining_input_ = true;
    if (!current_request_number_) {
        send_rejection(status, fields);
    }
}

void server_session::close_for_another() {
    if (parser_ && parser_->got_some()) {
        report_rejection(reject_cause::connection_limit, 0);
    }
    close();
}

void server_session::report_rejection(reject_cause cause, int status) const {
    if (!state_->reporting.on_reject) {
        return;
    }
    rejected_request rejected;
    if (parser_ && parser_->is_header_done()) {
        const auto& message = parser_->get();
        const auto id = message[state_->reporting.request_id_header];
        rejected.request_id = std::string(id);
        rejected.target = std::string(message.target());
    }
    rejected.cause = cause;
    rejected.status = status;
    rejected.held_bytes = input_bytes();
    rejected.age_ms = state_->clock.now() - input_progress_at_;
    state_->reporting.on_reject(rejected);
}

bool server_session::reserve_body() {
    if (!parser_->is_header_done()) {
        return true;
    }
    const auto length = parser_->content_length();
    auto& body = parser_->get().body();
    const auto needed =
        length ? static_cast<std::size_t>(*length)
               : std::min(body_limit_, body.size() + min_growth_bytes);
    if (needed <= std::max(max_unreserved_body_bytes, next_body_bytes_)) {
        return true;
    }
    const auto room = length ? needed : next_body_room(needed, body_limit_);
    if (!state_->buffers().reserve_request(room - next_body_bytes_,
                                           next_body_bytes_)) {
        return false;
    }
    next_body_bytes_ = room;
    if (!length) {
        body.reserve(room);
    }
    count_input();
    return true;
}

void server_session::wait_for_room() {
    idle_since_.reset();
    room_timer_.expires_after(room_check_interval);
    room_timer_.async_wait(
        [self = shared_from_this()](beast::error_code error) {
            if (error || !self->open_ || !self->waiting_for_room_) {
                return;
            }
            const auto now = self->state_->clock.now();
            if (self->reserve_body()) {
                self->waiting_for_room_ = false;
                self->start_idle_timer();
                self->wait_for_input();
            } else if (now - self->room_awaited_since_ > room_timeout_ms) {
                self->give_up_request(reject_cause::no_room);
            } else {
                self->wait_for_room();
                self->state_->connections().give_up_stalled_request(now);
            }
        });
}

std::size_t server_session::unparsed_bytes() const {
    return unparsed_.empty() ? 0 : unparsed_.capacity();
}

void server_session::count_input() {
    auto bytes = unparsed_bytes();
    if (parser_ && parser_->got_some()) {
        bytes += head_bytes_;
        if (parser_->is_header_done() && next_body_bytes_ == 0) {
            bytes += parser_->get().body().size();
        }
    }
    const auto before = std::exchange(unreserved_bytes_, bytes);
    state_->buffers().count_unreserved(static_cast<std::ptrdiff_t>(bytes) -
                                       static_cast<std::ptrdiff_t>(before));
    if (bytes > before) {
        state_->connections().make_request_room(*this, state_->clock.now());
    }
}

void server_session::release_input() {
    state_->buffers().release_request(std::exchange(next_body_bytes_, 0));
    state_->buffers().count_unreserved(
        -static_cast<std::ptrdiff_t>(std::exchange(unreserved_bytes_, 0)));
}

void server_session::stop_reading() {
    waiting_for_room_ = false;
    parser_.reset();
    unparsed_ = {};
    head_bytes_ = 0;
    release_input();
}

bool server_session::is_idle_timeout_over(base::millis now) const {
    const auto idle_ms =
        std::max(idle_timeout_ms_, state_->limits.idle_timeout_ms);
    return idle_since_ &&
           now - *idle_since_ > (lingering_ ? linger_timeout_ms : idle_ms);
}

bool server_session::is_head_timeout_over(base::millis now) {
    if (!parser_ || head_bytes_ == 0 || parser_->is_header_done()) {
        return false;
    }
    const auto limit_ms =
        std::max(head_timeout_ms_, state_->limits.header_timeout_ms);
    beast::error_code ignored;
    return now - head_began_at_ > limit_ms && socket_.available(ignored) == 0;
}

base::millis server_session::idle_ms(base::millis now) const {
    return current_request_number_ || !idle_since_ ? -1 : now - *idle_since_;
}

bool server_session::may_close_idle_connection(base::millis now) const {
    return state_->phase == server_phase::closing &&
           (last_request_number_ > 0 ||
            now - opened_at_ > first_request_timeout_ms);
}

void server_session::end_idle_wait() {
    beast::error_code ignored;
    const bool request_began = (parser_ && parser_->got_some()) ||
                               !unparsed_.empty() ||
                               socket_.available(ignored) > 0;
    if (!request_began || idle_timeout_restarted_) {
        close();
        return;
    }
    idle_timeout_restarted_ = true;
    start_idle_timer();
}

} // namespace hibiscus::transport
