#pragma once

#include "hibiscus/base/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::testing {

/// The behavior of a faulty server at one request. The order matters: a stream
/// must be complete for all values up to resets_idle_connection.
enum class server_behavior {
    responds,
    responds_chunked,
    responds_without_length,
    responds_slowly,
    responds_and_closes,
    responds_before_body,
    responds_twice,
    sends_extra_bytes_after_response,
    repeats_response_before_next,
    resets_idle_connection,
    resets_before_reading,
    resets_after_run,
    resets_in_response,
    resets_in_response_without_length,
    truncates_response,
    never_responds,
    sends_garbage,
    omits_response_stamp,
    fails,
    rejects,
    rejects_after_run,
    is_wrong_server,
    closes_in_head,
    resets_in_head,
};

constexpr int server_behavior_count =
    static_cast<int>(server_behavior::resets_in_head) + 1;

/// Returns true if a stream must be complete when the server behaves like this.
inline bool must_complete_stream(server_behavior behavior) {
    return behavior <= server_behavior::resets_idle_connection;
}

/// The planned behavior of the servers for one request, and what they have
/// observed of it.
struct observed_request {
    std::string body;
    bool streamed = false;
    std::vector<server_behavior> planned_behaviors;
    int send_count = 0;
    /// Requests on reused connections that ended before a response.
    int lost_send_count = 0;
    int run_count = 0;
    std::set<std::string> servers_run_at;
    std::set<int> signed_failure_statuses;
    server_behavior last_behavior = server_behavior::responds;
    bool last_send_lost = false;
    std::string failure;
};

using observed_requests = std::map<std::string, observed_request>;

constexpr int stream_events = 6;

/// Returns the events of a stream after the event `after`.
inline std::string make_events(const std::string& id, int after = 0) {
    std::string events;
    for (int n = after + 1; n <= stream_events; ++n) {
        events += "id: " + std::to_string(n) + "\ndata: " + id + "." +
                  std::to_string(n) + "\n\n";
    }
    return events;
}

/// Returns the body of a response that is not streamed.
inline std::string make_plain_body(const std::string& id) {
    return "answer to " + id + std::string(200, '.');
}

/// A server that follows the plan of each request and records what it has
/// received.
class faulty_server {
public:
    faulty_server(boost::asio::io_context& io, std::string name,
                  observed_requests& observed)
        : io_(io), name_(std::move(name)), observed_(observed),
          acceptor_(io,
                    tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
        // Keeps the buffer small so that a long body does not fit into the
        // buffers of the kernel.
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(
            receive_buffer_bytes));
        accept();
    }

    const std::string& name() const { return name_; }

    base::endpoint address() const {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

private:
    using tcp = boost::asio::ip::tcp;
    using error_code = boost::system::error_code;

    static constexpr int receive_buffer_bytes = 8192;
    static constexpr std::chrono::milliseconds response_delay{20};

    struct connection {
        explicit connection(tcp::socket s) : socket(std::move(s)) {}
        tcp::socket socket;
        std::array<char, 16384> read_buffer{};
        std::string input;
        std::string last_response;
        int request_count = 0;
        bool reset_at_next = false;
        bool repeat_at_next = false;
        bool responded_early = false;
        bool ignores_input = false;
    };
    using connection_ptr = std::shared_ptr<connection>;

    /// The fields of a request head that the server uses.
    struct request_head {
        std::string id;
        int last_event_id = 0;
        std::size_t body_bytes = 0;
        std::size_t head_bytes = 0;
    };

    void accept() {
        acceptor_.async_accept([this](error_code error, tcp::socket socket) {
            if (!error) {
                read(std::make_shared<connection>(std::move(socket)));
                accept();
            }
        });
    }

    void read(const connection_ptr& c) {
        c->socket.async_read_some(boost::asio::buffer(c->read_buffer),
                                  [this, c](error_code error, std::size_t n) {
                                      if (error) {
                                          return;
                                      }
                                      c->input.append(c->read_buffer.data(), n);
                                      if (c->ignores_input ||
                                          process_input(c)) {
                                          read(c);
                                      }
                                  });
    }

    static std::string find_field(const std::string& head,
                                  const std::string& name) {
        const auto offset = head.find("\r\n" + name + ": ");
        if (offset == std::string::npos) {
            return {};
        }
        const auto begin = offset + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    static request_head parse_head(const std::string& in, std::size_t end) {
        const auto text = in.substr(0, end + 2);
        request_head h;
        h.id = find_field(text, "Request-Id");
        h.last_event_id = std::atoi(find_field(text, "Last-Event-Id").c_str());
        h.body_bytes = static_cast<std::size_t>(
            std::atoll(find_field(text, "Content-Length").c_str()));
        h.head_bytes = end + 4;
        return h;
    }

    /// Processes the received bytes. Returns false once the connection has
    /// ended.
    bool process_input(const connection_ptr& c) {
        while (!c->input.empty()) {
            if (c->reset_at_next) {
                reset(c);
                return false;
            }
            const auto end = c->input.find("\r\n\r\n");
            if (end == std::string::npos) {
                return true;
            }
            const auto h = parse_head(c->input, end);
            if (observed_.count(h.id) == 0) {
                observed_[h.id].failure = c->input.substr(0, end);
            }
            auto& s = observed_[h.id];
            const bool is_complete =
                c->input.size() >= h.head_bytes + h.body_bytes;
            const auto behavior = next_behavior(s);
            if (!c->responded_early && !is_complete &&
                behavior == server_behavior::responds_before_body) {
                c->responded_early = true;
                record_send(c, s, behavior);
                record_run(s);
                send(c, make_response(s, h, behavior));
            }
            if (!c->responded_early &&
                behavior == server_behavior::resets_before_reading) {
                record_send(c, s, behavior);
                reset(c);
                return false;
            }
            if (!is_complete) {
                return true;
            }
            if (c->input.substr(h.head_bytes, h.body_bytes) != s.body) {
                s.failure = "request has a wrong body";
            }
            c->input.erase(0, h.head_bytes + h.body_bytes);
            if (std::exchange(c->responded_early, false)) {
                continue;
            }
            record_send(c, s, behavior);
            if (!apply_behavior(c, s, h, behavior)) {
                return false;
            }
        }
        return true;
    }

    /// Returns the behavior planned for the next send of a request.
    static server_behavior next_behavior(const observed_request& s) {
        return s.planned_behaviors.empty()
                   ? server_behavior::responds
                   : s.planned_behaviors[static_cast<std::size_t>(
                                             s.send_count) %
                                         s.planned_behaviors.size()];
    }

    static void record_send(const connection_ptr& c, observed_request& s,
                            server_behavior behavior) {
        ++s.send_count;
        s.last_behavior = behavior;
        const bool lost = c->repeat_at_next ||
                          behavior == server_behavior::resets_before_reading ||
                          behavior == server_behavior::resets_after_run;
        s.last_send_lost = c->request_count > 0 && lost;
        s.lost_send_count += s.last_send_lost ? 1 : 0;
        ++c->request_count;
    }

    void record_run(observed_request& s) {
        ++s.run_count;
        s.servers_run_at.insert(name_);
    }

    /// Applies the planned behavior to a complete request. Returns false once
    /// the connection has ended.
    bool apply_behavior(const connection_ptr& c, observed_request& s,
                        const request_head& h, server_behavior behavior) {
        const bool ran = behavior != server_behavior::rejects &&
                         behavior != server_behavior::is_wrong_server;
        if (ran) {
            record_run(s);
        }
        if (std::exchange(c->repeat_at_next, false)) {
            send(c, c->last_response);
        }
        const auto response = make_response(s, h, behavior);
        const auto head_end = response.find("\r\n\r\n") + 4;
        const auto cut_offset = head_end + (response.size() - head_end) / 2;
        c->last_response = response;
        switch (behavior) {
        case server_behavior::resets_after_run:
            reset(c);
            return false;
        case server_behavior::resets_in_response:
        case server_behavior::resets_in_response_without_length:
            send(c, response.substr(0, cut_offset),
                 [this, c] { reset_later(c); });
            return true;
        case server_behavior::closes_in_head:
            send(c, response.substr(0, cut_in_head(s, head_end)),
                 [c] { close(c); });
            return true;
        case server_behavior::resets_in_head:
            send(c, response.substr(0, cut_in_head(s, head_end)),
                 [this, c] { reset_later(c); });
            return true;
        case server_behavior::truncates_response:
            send(c, response.substr(0, cut_offset), [c] { close(c); });
            return true;
        case server_behavior::responds_without_length:
        case server_behavior::responds_and_closes:
            send(c, response, [c] { close(c); });
            return true;
        case server_behavior::responds_slowly:
            run_later([this, c, response] { send(c, response); });
            return true;
        case server_behavior::responds_twice:
            send(c, response + response);
            return true;
        case server_behavior::sends_extra_bytes_after_response:
            send(c, response + "HTTP/1.1 200 OK\r\nConte");
            return true;
        case server_behavior::repeats_response_before_next:
            c->repeat_at_next = true;
            break;
        case server_behavior::resets_idle_connection:
            c->reset_at_next = true;
            break;
        case server_behavior::never_responds:
            c->ignores_input = true;
            return true;
        case server_behavior::sends_garbage:
            send(c, "\x16\x03 no answer\r\n\r\n");
            return true;
        default:
            break;
        }
        send(c, response);
        return true;
    }

    /// Returns how many bytes of a head are sent: another number each time.
    static std::size_t cut_in_head(const observed_request& s,
                                   std::size_t head_bytes) {
        constexpr std::size_t stride = 29;
        return 1 + (s.body.size() +
                    stride * static_cast<std::size_t>(s.send_count)) %
                       (head_bytes - 1);
    }

    static std::string encode_chunked(const std::string& body) {
        std::string encoded;
        constexpr std::size_t chunk_bytes = 16;
        for (std::size_t offset = 0; offset < body.size();
             offset += chunk_bytes) {
            const auto part = body.substr(offset, chunk_bytes);
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", part.size());
            encoded += size + part + "\r\n";
        }
        return encoded + "0\r\n\r\n";
    }

    static std::string make_response(observed_request& s, const request_head& h,
                                     server_behavior behavior) {
        const auto id_field = "Request-Id: " + h.id + "\r\n";
        const auto stamp_field = "Response-Stamp: of-" + h.id + "\r\n";
        const std::string empty_body = "Content-Length: 0\r\n\r\n";
        switch (behavior) {
        case server_behavior::rejects:
            return "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + id_field +
                   empty_body;
        case server_behavior::rejects_after_run:
            s.signed_failure_statuses.insert(503);
            return "HTTP/1.1 503 Busy\r\n" + id_field + stamp_field +
                   empty_body;
        case server_behavior::is_wrong_server:
            return "HTTP/1.1 421 Other\r\nNot-Executed: 1\r\n" + id_field +
                   empty_body;
        case server_behavior::fails:
            s.signed_failure_statuses.insert(500);
            return "HTTP/1.1 500 Failed\r\n" + id_field + stamp_field +
                   empty_body;
        default:
            break;
        }
        const auto body = s.streamed ? make_events(h.id, h.last_event_id)
                                     : make_plain_body(h.id);
        auto head = "HTTP/1.1 200 OK\r\n" + id_field;
        head += behavior == server_behavior::omits_response_stamp ? ""
                                                                  : stamp_field;
        if (behavior == server_behavior::responds_without_length ||
            behavior == server_behavior::resets_in_response_without_length) {
            return head + "\r\n" + body;
        }
        if (behavior == server_behavior::responds_and_closes) {
            head += "Connection: close\r\n";
        }
        if (s.streamed || behavior == server_behavior::responds_chunked) {
            return head + "Transfer-Encoding: chunked\r\n\r\n" +
                   encode_chunked(body);
        }
        return head + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    template <class Then>
    void send(const connection_ptr& c, const std::string& bytes, Then then) {
        auto text = std::make_shared<std::string>(bytes);
        boost::asio::async_write(
            c->socket, boost::asio::buffer(*text),
            [c, text, then](error_code error, std::size_t) {
                if (!error) {
                    then();
                }
            });
    }

    void send(const connection_ptr& c, const std::string& bytes) {
        send(c, bytes, [] {});
    }

    template <class Then>
    void run_later(Then then) {
        auto timer =
            std::make_shared<boost::asio::steady_timer>(io_, response_delay);
        timer->async_wait([timer, then](error_code error) {
            if (!error) {
                then();
            }
        });
    }

    /// Resets the connection after the peer has had time to read what was sent.
    void reset_later(const connection_ptr& c) {
        run_later([c] { reset(c); });
    }

    static void close(const connection_ptr& c) {
        error_code ignored;
        c->socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

    static void reset(const connection_ptr& c) {
        error_code ignored;
        c->socket.set_option(boost::asio::socket_base::linger(true, 0),
                             ignored);
        c->socket.close(ignored);
    }

    boost::asio::io_context& io_;
    std::string name_;
    observed_requests& observed_;
    tcp::acceptor acceptor_;
};

} // namespace hibiscus::testing
