#pragma once

#include "hibiscus/transport/event_server.hpp"

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
    event_server_limits limits;
    exchange_handler handler;
    event_server_report report;
    base::clock clock;
    std::set<server_session*> sessions;
    /// Requests without a complete answer.
    std::size_t in_flight = 0;
    /// Connections that are open.
    std::size_t connections = 0;
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
    void run() { read(); }

    /// Ends what is overdue and, once the server closes, what is idle.
    void sweep(base::millis now);

    /// Takes the limits in force, unless a request has begun to come.
    void take_limits();

    /// Sets what is called if the caller of request `number` leaves.
    void set_closed(std::uint64_t number, std::function<void()> closed);

    /// Sends a part of the answer to request `number`, or the last one.
    void send(std::uint64_t number, std::string bytes, bool last);

    /// Returns whether another request may follow the present answer.
    bool keep_alive() const;

    /// Notes that the caller is told of the connection's end.
    void drop_keep_alive() { keep_alive_ = false; }

    /// Closes the connection if request `number` is not answered yet.
    void abort(std::uint64_t number);

    /// Answers the present request in its handler's place, or closes the
    /// connection if some of an answer was sent.
    void answer_open(int status);

private:
    class answer;

    void read();

    void read_on();

    void wait_for_caller();

    bool is_overdue(base::millis now) const;

    /// Whether a closing server need not wait for a request any longer.
    bool may_close(base::millis now) const;

    /// Ends the connection unless a request has begun to come. Bytes of one may
    /// have been read without their handler having run, which only the end of
    /// the pending read shows.
    void cancel_idle_read();

    void on_idle_read_cancelled();

    void on_read(boost::beast::error_code error);

    void on_read_error(boost::beast::error_code error);

    void handle();

    void note_request(const inbound_request& request);

    void write_next();

    void on_write(boost::beast::error_code error);

    /// The answer has been sent whole.
    void finish();

    /// Ends the connection after the last answer; what the caller still sends
    /// is dropped for a while by the pending read and the sweep.
    void shutdown_send();

    void discard();

    void close(cut_cause cause = cut_cause::caller_left);

    void report_cut(cut_cause cause) const;

    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<server_state> state_;
    boost::beast::flat_buffer buffer_;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser_;
    std::deque<std::string> out_;
    std::string dropped_;
    std::function<void()> on_caller_closed_;
    std::uint64_t numbers_ = 0;
    /// The number of the request that is being answered, or 0.
    std::uint64_t current_ = 0;
    /// Of the present request: its name, its target and when it was read whole.
    std::string request_id_;
    std::string target_;
    base::millis read_at_ = 0;
    /// Whether some of the present answer was handed on to be sent.
    bool began_ = false;
    /// Since when bytes of the caller are waited for, and how long it was then
    /// allowed to be idle.
    std::optional<base::millis> waits_since_;
    base::millis idle_ms_ = 0;
    base::millis write_due_ = 0;
    base::millis opened_at_;
    bool open_ = true;
    bool waiting_ = false;
    bool last_ = false;
    /// False once the caller was told, or has said, that this answer is the
    /// connection's last.
    bool keep_alive_ = true;
    /// The pending read was cancelled to see whether a request has begun.
    bool idle_read_cancelled_ = false;
    /// A request had begun when its connection would have been closed.
    bool given_more_time_ = false;
    /// What was read is no request.
    bool malformed_ = false;
    /// What the caller still sends is read and dropped behind the answer.
    bool discard_rest_ = false;
    /// The connection's last answer was sent.
    bool lingering_ = false;
};

} // namespace hibiscus::transport
