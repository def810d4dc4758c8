#pragma once

#include "hibiscus/transport/streaming_http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hibiscus::transport {

class server_session;

/// The stage of a server's shutdown.
enum class server_phase { serving, draining, closing };

/// What a server and its sessions share.
struct server_state {
    http_server_limits limits;
    request_handler handler;
    abort_reporting reporting;
    base::clock clock;
    std::set<server_session*> sessions;
    /// Requests without a complete answer.
    std::size_t requests_in_flight = 0;
    /// Connections that are open.
    std::size_t open_connections = 0;
    server_phase phase = server_phase::serving;
};

/// Serves one connection: reads ahead by one request, so that the end of the
/// connection is seen while an answer is being made.
class server_session : public std::enable_shared_from_this<server_session> {
public:
    server_session(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<server_state> state);
    ~server_session();

    server_session(const server_session&) = delete;
    server_session& operator=(const server_session&) = delete;

    /// Begins to read.
    void start() { read_next_request(); }

    /// Ends what is overdue and, once the server closes, what is idle.
    void check_timeouts(base::millis now);

    /// Takes the limits in force, unless a request has begun to come.
    void apply_limits();

    /// Sets what is called if the caller of request `number` leaves.
    void set_on_disconnect(std::uint64_t number, std::function<void()> closed);

    /// Sends a part of the answer to request `number`, or the last one.
    void send(std::uint64_t number, std::string bytes, bool last);

    /// Returns whether another request may follow the present answer.
    bool keep_alive() const;

    /// Notes that the caller is told of the connection's end.
    void disable_keep_alive() { keep_alive_ = false; }

    /// Closes the connection if request `number` is not answered yet.
    void abort(std::uint64_t number);

    /// Answers the present request in its handler's place, or closes the
    /// connection if some of an answer was sent.
    void fail_open_request(int status);

private:
    class writer;

    void read_next_request();

    void continue_read();

    void start_idle_timer();

    bool is_idle_timeout_over(base::millis now) const;

    /// Whether a closing server need not wait for a request any longer.
    bool may_close_idle(base::millis now) const;

    /// Ends the connection unless a request has begun to come. Bytes of one may
    /// have been read without their handler having run, which only the end of
    /// the pending read shows.
    void cancel_idle_read();

    void on_idle_read_cancelled();

    void on_read(boost::beast::error_code error);

    void on_read_error(boost::beast::error_code error);

    void dispatch_request();

    void record_request(const inbound_request& request);

    void write_next();

    void on_write(boost::beast::error_code error);

    /// The answer has been sent whole.
    void on_response_sent();

    /// Ends the connection after the last answer; what the caller still sends
    /// is dropped for a while by the pending read and the sweep.
    void shutdown_send();

    void discard_input();

    void close(abort_cause cause = abort_cause::caller_disconnected);

    void report_abort(abort_cause cause) const;

    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<server_state> state_;
    boost::beast::flat_buffer buffer_;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser_;
    std::deque<std::string> write_queue_;
    std::string discard_buffer_;
    std::function<void()> on_disconnect_;
    std::uint64_t last_request_number_ = 0;
    /// The number of the request that is being answered, or 0.
    std::uint64_t current_request_number_ = 0;
    /// Of the present request: its name, its target and when it was read whole.
    std::string request_id_;
    std::string target_;
    base::millis request_read_at_ = 0;
    /// Whether some of the present answer was handed on to be sent.
    bool response_started_ = false;
    /// Since when bytes of the caller are waited for, and how long it was then
    /// allowed to be idle.
    std::optional<base::millis> idle_since_;
    base::millis idle_timeout_ms_ = 0;
    base::millis write_deadline_ = 0;
    base::millis opened_at_;
    bool open_ = true;
    bool next_request_ready_ = false;
    bool last_write_queued_ = false;
    /// False once the caller was told, or has said, that this answer is the
    /// connection's last.
    bool keep_alive_ = true;
    /// The pending read was cancelled to see whether a request has begun.
    bool idle_read_cancelled_ = false;
    /// A request had begun when its connection would have been closed.
    bool read_deadline_extended_ = false;
    /// What was read is no request.
    bool malformed_ = false;
    /// What the caller still sends is read and dropped behind the answer.
    bool discard_remaining_input_ = false;
    /// The connection's last answer was sent.
    bool lingering_ = false;
};

} // namespace hibiscus::transport
