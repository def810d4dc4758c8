#pragma once

#include "connection_table.hpp"
#include "hibiscus/transport/streaming_http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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

/// Whether a server serves normally, announces its shutdown in responses, or
/// closes its connections.
enum class server_phase { serving, draining, closing };

/// The state that a server and its sessions share.
struct server_state {
    http_server_limits limits;
    request_handler handler;
    abort_reporting reporting;
    base::clock clock;
    std::set<server_session*> sessions;
    std::shared_ptr<server_resources> resources;
    /// Called when more is held than the limit; closes connections later.
    std::function<void()> on_excess;
    /// The number of requests whose response has not been sent completely.
    std::size_t requests_in_flight = 0;
    /// The number of open connections.
    std::size_t open_connections = 0;
    server_phase phase = server_phase::serving;

    connection_table& connections() const { return resources->connections(); }
    /// What is held for callers that have not read it yet, and for requests.
    peer_buffers& buffers() const { return connections().buffers(); }
};

/// Serves one connection. While a request is being answered, it already reads
/// the next one, which detects when the caller closes the connection.
class server_session : public std::enable_shared_from_this<server_session> {
public:
    server_session(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<server_state> state);
    ~server_session();

    server_session(const server_session&) = delete;
    server_session& operator=(const server_session&) = delete;

    /// Starts reading the first request.
    void start() { read_next_request(); }

    /// Closes the connection if a timeout has expired, or if the connection is
    /// idle while the server is closing.
    void check_timeouts(base::millis now);

    /// Closes the connection if its caller reads too slowly.
    void close_slow_reader() { close(abort_cause::write_timeout); }

    /// Closes the connection at once.
    void abort_connection() { close(abort_cause::server_shutdown); }

    /// Returns the bytes held for the request that is being read.
    std::size_t input_bytes() const {
        return unreserved_bytes_ + next_body_bytes_;
    }

    /// Returns the part of them that was not reserved.
    std::size_t unreserved_bytes() const { return unreserved_bytes_; }

    /// Returns the part of these that its head takes.
    std::size_t head_bytes() const { return head_bytes_; }

    /// Returns when the request that is being read last made progress.
    base::millis input_progress_at() const { return input_progress_at_; }

    /// Returns how long the connection has been waiting for input, or -1 if it
    /// is not waiting.
    base::millis idle_ms(base::millis now) const;

    /// Rejects the request that is being read and releases its memory. Its
    /// caller learns that it has not run.
    void give_up_request(reject_cause cause);

    /// Closes the connection, which waits for input, to make place.
    void close_for_another();

    /// Returns true while the source of the response to request `number` is to
    /// pause.
    bool is_full(std::uint64_t number) const;

    /// Returns how many bytes a response may add at once; 0 if it has to wait.
    std::size_t room() const { return state_->buffers().room(); }

    /// Sets the callback for the time when the response to request `number`
    /// may go on.
    void set_on_room(std::uint64_t number, std::function<void()> callback);

    /// Applies the current limits, unless a request has been partly read.
    void apply_limits();

    /// Sets the callback for the end of request `number` before its response
    /// has been sent completely. Calls it immediately if the request has
    /// already ended.
    void set_on_disconnect(std::uint64_t number,
                           std::function<void()> callback);

    /// Sends the next part of the response to request `number`. `last` marks
    /// the final part. Does nothing if the request has already ended.
    void send(std::uint64_t number, std::string bytes, bool last);

    /// Returns true if the connection stays open after the current response.
    bool keep_alive() const;

    /// Makes the current response the last one of the connection. Called when
    /// the response announces this to the caller.
    void disable_keep_alive() { keep_alive_ = false; }

    /// Closes the connection if the response to request `number` is incomplete.
    void abort(std::uint64_t number);

    /// Sends an empty response with `status` to the current request in place of
    /// its handler, or closes the connection if a response has already started.
    void fail_open_request(int status);

private:
    class writer;

    void read_next_request();

    /// Waits for input once there is room for the body.
    void continue_read();

    void wait_for_input();

    void wait_for_room();

    void on_readable(boost::beast::error_code error);

    /// Reads into the memory that all connections share. Returns nothing if
    /// there is no input yet, or if the connection has ended.
    std::optional<std::string_view> read_input();

    /// Parses input that begins with what was not parsed before.
    void on_input(std::string_view input);

    /// Notes how much has arrived, which decides who makes room for others.
    void note_progress(std::size_t bytes);

    /// Reserves room for the body of the request that is being read. Returns
    /// false if there is none.
    bool reserve_body();

    std::size_t unparsed_bytes() const;

    /// Counts what is held for the request that is being read, beside the room
    /// that is reserved. Gives up requests if that is too much.
    void count_input();

    /// Drops what was read of the next request and reads no more requests.
    void stop_reading();

    /// Rejects the request that is being read. A request before it is still
    /// answered; if there is none, a response with `status` is sent.
    void reject_input(reject_cause cause, int status, const headers& fields);

    /// Sends an empty response in place of a handler and closes the connection
    /// after it.
    void send_rejection(int status, const headers& fields);

    void report_rejection(reject_cause cause, int status) const;

    void release_body();

    void release_input();

    void start_idle_timer();

    /// Returns true if the connection has been idle longer than both the limit
    /// in force when it became idle and the current limit, because the caller
    /// may know either of them. While lingering, a fixed timeout applies.
    bool is_idle_timeout_over(base::millis now) const;

    /// Returns true if the head of the request that is being read takes too
    /// long. Input that the session has not read yet may complete it.
    bool is_head_timeout_over(base::millis now);

    /// Returns true if the server is closing and need not wait any longer for a
    /// request on this connection.
    bool may_close_idle_connection(base::millis now) const;

    /// Closes the connection unless a request has begun to arrive.
    void end_idle_wait();

    void on_request_read();

    void on_parse_error(boost::beast::error_code error);

    void dispatch_request();

    void record_request(const inbound_request& request);

    void write_next();

    void on_write(boost::beast::error_code error, std::size_t bytes);

    /// Notes whether the caller has read since the last check, also if the
    /// kernel has taken no more bytes from the session.
    void check_read_progress(base::millis now);

    /// Calls `on_room_` if the source of the response may go on.
    void notify_room();

    /// Called when the current response has been sent completely.
    void on_response_sent();

    /// Shuts down the sending side after the last response. Input is read and
    /// dropped until the caller closes the connection or a timeout expires.
    void shutdown_send();

    void discard_input();

    void close(abort_cause cause = abort_cause::caller_disconnected);

    void report_abort(abort_cause cause) const;

    boost::asio::ip::tcp::socket socket_;
    /// Runs while a request waits for room for its body.
    boost::asio::steady_timer room_timer_;
    std::shared_ptr<server_state> state_;
    /// Input that the parser can't take before more has arrived, or that
    /// follows the request that was read.
    std::string unparsed_;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser_;
    std::deque<std::string> write_queue_;
    /// Bytes of the first entry of the queue that were sent.
    std::size_t front_sent_ = 0;
    /// Bytes sent that the caller had not acknowledged at the last check.
    int unacknowledged_ = 0;
    std::function<void()> on_disconnect_;
    std::function<void()> on_room_;
    peer_buffers::connection_id id_;
    /// Bytes reserved for the body of the request that is being read or has
    /// been read, and for the body of the request that is being answered.
    std::size_t next_body_bytes_ = 0;
    std::size_t current_body_bytes_ = 0;
    /// Bytes held for these requests that were not reserved.
    std::size_t unreserved_bytes_ = 0;
    std::size_t current_unreserved_bytes_ = 0;
    /// The limits on the body and on what can't be parsed yet, in bytes, for
    /// the request that is being read.
    std::size_t body_limit_ = 0;
    std::size_t unparsed_limit_ = 0;
    /// What is held for the head, and bytes read since the last progress.
    std::size_t head_bytes_ = 0;
    std::size_t recent_bytes_ = 0;
    base::millis head_began_at_ = 0;
    base::millis head_timeout_ms_ = 0;
    base::millis input_progress_at_ = 0;
    base::millis room_awaited_since_ = 0;
    std::uint64_t last_request_number_ = 0;
    /// The number of the request that is being answered, or 0.
    std::uint64_t current_request_number_ = 0;
    /// The id and the target of the current request, and the time when it was
    /// read completely.
    std::string request_id_;
    std::string target_;
    base::millis request_read_at_ = 0;
    /// Whether a part of the current response was queued for sending.
    bool response_started_ = false;
    /// The time since which the session has been waiting for input, and the
    /// idle timeout in force at that time.
    std::optional<base::millis> idle_since_;
    base::millis idle_timeout_ms_ = 0;
    base::millis opened_at_;
    bool open_ = true;
    bool next_request_ready_ = false;
    /// Whether the body of a request is read only once there is room for it.
    bool waiting_for_room_ = false;
    bool last_write_queued_ = false;
    /// False once the server or the caller has announced that the current
    /// response is the last one of the connection.
    bool keep_alive_ = true;
    /// Whether the session waits for its socket to become readable.
    bool input_awaited_ = false;
    /// Whether the idle timeout was restarted because a request had begun to
    /// arrive when the connection was due to be closed. This happens at most
    /// once for each request.
    bool idle_timeout_restarted_ = false;
    /// Whether the session itself rejected the input as malformed or too large.
    /// Such a request is not reported as aborted.
    bool request_rejected_ = false;
    /// Whether further input is read and dropped after the current response.
    bool discard_remaining_input_ = false;
    /// Whether the last response was sent and the connection stays open only to
    /// read and drop the remaining input.
    bool lingering_ = false;
};

} // namespace hibiscus::transport
