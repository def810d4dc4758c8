#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace hibiscus::testing {

/// How a raw_server ends a connection after what it has sent.
enum class connection_end {
    /// Reads on, and sends nothing more.
    none,
    /// Closes its side in order and reads on.
    shutdown,
    /// Resets the connection.
    reset,
};

/// What a raw_server sends for one request.
struct raw_response {
    /// Sent as it is, but for "{id}", which stands for the Request-Id of the
    /// request.
    std::string bytes;
    connection_end end = connection_end::none;
    /// The time between the last byte and the end, in ms.
    base::millis end_delay_ms = 0;
    /// Returns the n-th piece, from 0 on, of what is sent after `bytes` until
    /// the connection ends. May be empty.
    std::function<std::string(std::size_t n)> endless_piece;
    /// Whether the server leaves the body of the request unread.
    bool leaves_body_unread = false;
};

/// A server that sends the bytes that a test gives it, whether they are a
/// response or not. It answers one request for each connection.
class raw_server {
public:
    /// Returns the response to a request, by its head.
    using responder = std::function<raw_response(const std::string& head)>;

    raw_server(boost::asio::io_context& io, responder respond)
        : state_(std::make_shared<state>(state{std::move(respond)})),
          acceptor_(io,
                    tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
        accept();
    }

    base::endpoint address() const {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    /// Returns how many requests the server has received.
    int requests() const { return state_->requests; }

    /// Returns how many bytes the server has sent of endless responses.
    std::size_t endless_bytes() const { return state_->endless_bytes; }

private:
    using tcp = boost::asio::ip::tcp;
    using error_code = boost::system::error_code;

    /// Outlives the server while connections use it.
    struct state {
        responder respond;
        int requests = 0;
        std::size_t endless_bytes = 0;
    };
    using state_ptr = std::shared_ptr<state>;

    struct connection {
        explicit connection(tcp::socket s)
            : socket(std::move(s)), timer(socket.get_executor()) {}
        tcp::socket socket;
        boost::asio::steady_timer timer;
        std::string input;
        std::array<char, 16384> discarded{};
        raw_response response;
        std::string piece;
        std::size_t pieces_sent = 0;
    };
    using connection_ptr = std::shared_ptr<connection>;

    void accept() {
        acceptor_.async_accept([this](error_code error, tcp::socket socket) {
            if (!error) {
                read_head(state_,
                          std::make_shared<connection>(std::move(socket)));
                accept();
            }
        });
    }

    static void read_head(const state_ptr& shared, const connection_ptr& c) {
        boost::asio::async_read_until(
            c->socket, boost::asio::dynamic_buffer(c->input), "\r\n\r\n",
            [shared, c](error_code error, std::size_t bytes) {
                if (!error) {
                    ++shared->requests;
                    const auto head = c->input.substr(0, bytes);
                    c->response = shared->respond(head);
                    set_request_id(c->response.bytes, head);
                    if (!c->response.leaves_body_unread) {
                        discard_input(c);
                    }
                    send(shared, c);
                }
            });
    }

    static void set_request_id(std::string& bytes, const std::string& head) {
        const std::string name = "\r\nRequest-Id: ";
        const auto found = head.find(name);
        const auto begin = found + name.size();
        const auto id =
            found == std::string::npos
                ? std::string()
                : head.substr(begin, head.find('\r', begin) - begin);
        for (auto at = bytes.find("{id}"); at != std::string::npos;
             at = bytes.find("{id}")) {
            bytes.replace(at, 4, id);
        }
    }

    static void discard_input(const connection_ptr& c) {
        c->socket.async_read_some(boost::asio::buffer(c->discarded),
                                  [c](error_code error, std::size_t) {
                                      if (!error) {
                                          discard_input(c);
                                      }
                                  });
    }

    static void send(const state_ptr& shared, const connection_ptr& c) {
        boost::asio::async_write(c->socket,
                                 boost::asio::buffer(c->response.bytes),
                                 [shared, c](error_code error, std::size_t) {
                                     if (!error) {
                                         end(shared, c);
                                     }
                                 });
    }

    static void end(const state_ptr& shared, const connection_ptr& c) {
        if (c->response.endless_piece) {
            send_endlessly(shared, c);
            return;
        }
        c->timer.expires_after(
            std::chrono::milliseconds(c->response.end_delay_ms));
        c->timer.async_wait([c](error_code) { end_now(c); });
    }

    static void end_now(const connection_ptr& c) {
        error_code ignored;
        if (c->response.end == connection_end::reset) {
            c->socket.set_option(boost::asio::socket_base::linger(true, 0),
                                 ignored);
            c->socket.close(ignored);
            return;
        }
        if (c->response.end == connection_end::shutdown) {
            c->socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
        if (c->response.leaves_body_unread) {
            keep_open(c);
        }
    }

    /// Keeps a connection whose input is left unread.
    static void keep_open(const connection_ptr& c) {
        c->timer.expires_at(boost::asio::steady_timer::time_point::max());
        c->timer.async_wait([c](error_code) {});
    }

    static void send_endlessly(const state_ptr& shared,
                               const connection_ptr& c) {
        c->piece = c->response.endless_piece(c->pieces_sent++);
        boost::asio::async_write(
            c->socket, boost::asio::buffer(c->piece),
            [shared, c](error_code error, std::size_t bytes) {
                shared->endless_bytes += bytes;
                if (!error) {
                    send_endlessly(shared, c);
                }
            });
    }

    state_ptr state_;
    tcp::acceptor acceptor_;
};

} // namespace hibiscus::testing
