#include "server_session.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <utility>

namespace hibiscus::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr int request_timeout = 408;

std::string serialize_head(int status, const headers& fields) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    const auto reason =
        http::obsolete_reason(static_cast<http::status>(status));
    head.append(reason.data(), reason.size());
    head += "\r\n";
    for (const auto& f : fields) {
        head += f.name;
        head += ": ";
        head += f.value;
        head += "\r\n";
    }
    return head;
}

std::string serialize_empty_response(int status, headers fields = {}) {
    fields.push_back({"Connection", "close"});
    fields.push_back({"Content-Length", "0"});
    return serialize_head(status, fields) + "\r\n";
}

} // namespace

/// Sends the response to one request of a session.
class server_session::writer : public response_writer {
public:
    writer(std::shared_ptr<server_session> session, std::uint64_t number)
        : session_(std::move(session)), number_(number) {}

    ~writer() override {
        // If the handler never responds, the caller would wait until its own
        // timeout.
        if (!finished_) {
            session_->abort(number_);
        }
    }

    writer(const writer&) = delete;
    writer& operator=(const writer&) = delete;

    void send(outbound_response response) override {
        if (std::exchange(finished_, true)) {
            return;
        }
        auto bytes = serialize_head(response.status, response.fields);
        append_connection_header(bytes);
        bytes += "Content-Length: " + std::to_string(response.body.size());
        bytes += "\r\n\r\n";
        bytes += response.body;
        session_->send(number_, std::move(bytes), true);
    }

    void send_head(int status, const headers& fields) override {
        auto bytes = serialize_head(status, fields);
        append_connection_header(bytes);
        bytes += "Transfer-Encoding: chunked\r\n\r\n";
        session_->send(number_, std::move(bytes), false);
    }

    void write(std::string_view data) override {
        if (data.empty() || finished_) {
            return;
        }
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", data.size());
        std::string chunk = size;
        chunk += data;
        chunk += "\r\n";
        session_->send(number_, std::move(chunk), false);
    }

    void finish() override {
        if (!std::exchange(finished_, true)) {
            session_->send(number_, "0\r\n\r\n", true);
        }
    }

    void abort() override {
        finished_ = true;
        session_->abort(number_);
    }

    void on_disconnect(std::function<void()> callback) override {
        session_->set_on_disconnect(number_, std::move(callback));
    }

    bool is_full() const override { return session_->is_full(number_); }

    void on_room(std::function<void()> callback) override {
        session_->set_on_room(number_, std::move(callback));
    }

    std::size_t room() const override { return session_->room(); }

private:
    void append_connection_header(std::string& bytes) const {
        if (!session_->keep_alive()) {
            session_->disable_keep_alive();
            bytes += "Connection: close\r\n";
        }
    }

    std::shared_ptr<server_session> session_;
    std::uint64_t number_;
    bool finished_ = false;
};

server_session::server_session(tcp::socket socket,
                               std::shared_ptr<server_state> state)
    : socket_(std::move(socket)), room_timer_(socket_.get_executor()),
      state_(std::move(state)), id_(state_->connections().insert(*this)),
      opened_at_(state_->clock.now()) {
    state_->sessions.insert(this);
    ++state_->open_connections;
}

server_session::~server_session() {
    state_->sessions.erase(this);
    state_->connections().erase(id_);
    state_->open_connections -= open_ ? 1 : 0;
    state_->buffers().erase(id_);
    release_body();
    release_input();
}

void server_session::check_timeouts(base::millis now) {
    check_read_progress(now);
    if (current_request_number_ || waiting_for_room_) {
        return;
    }
    if (is_head_timeout_over(now)) {
        reject_input(reject_cause::slow_head, request_timeout, {});
        return;
    }
    const bool timed_out = is_idle_timeout_over(now);
    if (lingering_) {
        if (timed_out) {
            close();
        }
    } else if (timed_out ||
               (!idle_timeout_restarted_ && may_close_idle_connection(now))) {
        end_idle_wait();
    }
}

void server_session::set_on_disconnect(std::uint64_t number,
                                       std::function<void()> callback) {
    if (current_request_number_ != number || !open_) {
        callback();
        return;
    }
    on_disconnect_ = std::move(callback);
}

void server_session::send(std::uint64_t number, std::string bytes, bool last) {
    if (current_request_number_ != number || !open_) {
        return;
    }
    last_write_queued_ = last;
    response_started_ = true;
    state_->buffers().add(id_, bytes.size(), state_->clock.now());
    if (state_->buffers().find_excess()) {
        state_->on_excess();
    }
    write_queue_.push_back(std::move(bytes));
    if (write_queue_.size() == 1) {
        write_next();
    }
}

bool server_session::keep_alive() const {
    return keep_alive_ && state_->phase == server_phase::serving;
}

void server_session::abort(std::uint64_t number) {
    if (current_request_number_ == number) {
        close(abort_cause::handler_aborted);
    }
}

void server_session::send_rejection(int status, const headers& fields) {
    current_request_number_ = ++last_request_number_;
    ++state_->requests_in_flight;
    request_rejected_ = true;
    keep_alive_ = false;
    discard_remaining_input_ = true;
    send(current_request_number_, serialize_empty_response(status, fields),
         true);
}

void server_session::fail_open_request(int status) {
    if (!current_request_number_ || last_write_queued_) {
        return;
    }
    if (response_started_) {
        close(abort_cause::server_shutdown);
        return;
    }
    report_abort(abort_cause::server_shutdown);
    current_request_number_ = ++last_request_number_;
    keep_alive_ = false;
    send(current_request_number_, serialize_empty_response(status), true);
    if (auto callback = std::exchange(on_disconnect_, nullptr)) {
        callback();
    }
}

void server_session::record_request(const inbound_request& request) {
    const auto* id =
        find_header(request.fields, state_->reporting.request_id_header);
    request_id_ = id == nullptr ? "" : *id;
    target_ = request.target;
    request_read_at_ = state_->clock.now();
    response_started_ = false;
}

void server_session::write_next() {
    socket_.async_write_some(asio::buffer(write_queue_.front()) + front_sent_,
                             [self = shared_from_this()](
                                 beast::error_code error, std::size_t bytes) {
                                 self->on_write(error, bytes);
                             });
}

void server_session::on_write(beast::error_code error, std::size_t bytes) {
    if (!open_) {
        return;
    }
    if (error) {
        close();
        return;
    }
    state_->buffers().on_progress(id_, bytes, state_->clock.now());
    front_sent_ += bytes;
    if (front_sent_ == write_queue_.front().size()) {
        write_queue_.pop_front();
        front_sent_ = 0;
    }
    if (!write_queue_.empty()) {
        write_next();
        notify_room();
        return;
    }
    if (last_write_queued_) {
        on_response_sent();
        return;
    }
    notify_room();
}

void server_session::check_read_progress(base::millis now) {
    if (!open_ || write_queue_.empty()) {
        return;
    }
    int unacknowledged = 0;
    if (::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0 &&
        unacknowledged < std::exchange(unacknowledged_, unacknowledged)) {
        state_->buffers().on_progress(id_, 0, now);
    }
    // The share of a connection grows when others end.
    notify_room();
}

bool server_session::is_full(std::uint64_t number) const {
    return current_request_number_ == number && state_->buffers().is_full(id_);
}

void server_session::set_on_room(std::uint64_t number,
                                 std::function<void()> callback) {
    if (current_request_number_ == number && open_) {
        on_room_ = std::move(callback);
    }
}

void server_session::notify_room() {
    if (on_room_ && !state_->buffers().is_full(id_)) {
        const auto callback = on_room_;
        callback();
    }
}

void server_session::on_response_sent() {
    last_write_queued_ = false;
    current_request_number_ = 0;
    --state_->requests_in_flight;
    on_disconnect_ = nullptr;
    on_room_ = nullptr;
    release_body();
    if (discard_remaining_input_ || !keep_alive_) {
        shutdown_send();
        return;
    }
    if (next_request_ready_) {
        next_request_ready_ = false;
        dispatch_request();
        return;
    }
    start_idle_timer();
}

void server_session::shutdown_send() {
    lingering_ = true;
    beast::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    start_idle_timer();
    stop_reading();
    wait_for_input();
}

void server_session::close(abort_cause cause) {
    if (!std::exchange(open_, false)) {
        return;
    }
    --state_->open_connections;
    state_->connections().erase(id_);
    beast::error_code ignored;
    socket_.close(ignored);
    room_timer_.cancel();
    state_->buffers().erase(id_);
    on_room_ = nullptr;
    if (current_request_number_) {
        report_abort(cause);
        current_request_number_ = 0;
        --state_->requests_in_flight;
    }
    if (auto callback = std::exchange(on_disconnect_, nullptr)) {
        callback();
    }
    release_body();
    stop_reading();
}

void server_session::report_abort(abort_cause cause) const {
    if (state_->reporting.on_abort && !request_rejected_) {
        state_->reporting.on_abort({request_id_, target_, cause,
                                    state_->clock.now() - request_read_at_,
                                    response_started_});
    }
}

void server_session::release_body() {
    state_->buffers().release_request(std::exchange(current_body_bytes_, 0));
    state_->buffers().count_unreserved(-static_cast<std::ptrdiff_t>(
        std::exchange(current_unreserved_bytes_, 0)));
}

void server_session::dispatch_request() {
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
    current_request_number_ = ++last_request_number_;
    ++state_->requests_in_flight;
    current_body_bytes_ = std::exchange(next_body_bytes_, 0);
    // What follows the request belongs to the next one.
    current_unreserved_bytes_ =
        std::exchange(unreserved_bytes_, unparsed_bytes());
    current_unreserved_bytes_ -= unreserved_bytes_;
    record_request(request);
    auto responder =
        std::make_shared<writer>(shared_from_this(), current_request_number_);
    read_next_request();
    state_->handler(std::move(request), std::move(responder));
}

} // namespace hibiscus::transport
