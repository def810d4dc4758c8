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

/// What a faulty server does with one request.
enum class conduct {
    answers,
    answers_in_chunks,
    answers_without_length,
    answers_slowly,
    answers_and_closes,
    answers_before_the_body,
    answers_twice,
    sends_bytes_behind_the_answer,
    sends_the_last_answer_again,
    drops_the_idle_connection,
    resets_unread,
    resets_after_the_run,
    resets_in_the_answer,
    resets_without_length,
    cuts_the_answer,
    is_silent,
    sends_garbage,
    answers_unsigned,
    fails,
    refuses,
    refuses_after_the_run,
    is_another_server,
};

constexpr int conducts = static_cast<int>(conduct::is_another_server) + 1;

/// Returns true if a stream that meets this conduct must end whole.
inline bool is_sound(conduct c) {
    return c <= conduct::drops_the_idle_connection;
}

/// What the servers have seen of one request.
struct seen_request {
    std::string body;
    bool streamed = false;
    std::vector<conduct> plan;
    int sends = 0;
    /// Sends on kept connections that ended before an answer.
    int sends_lost_with_connection = 0;
    int runs = 0;
    std::set<std::string> ran_at;
    std::set<int> failures_signed;
    conduct last = conduct::answers;
    bool last_lost_with_connection = false;
    std::string wrong;
};

using seen_requests = std::map<std::string, seen_request>;

constexpr int stream_events = 6;

/// Returns the events of a stream behind the event `after`.
inline std::string events_of(const std::string& id, int after = 0) {
    std::string out;
    for (int n = after + 1; n <= stream_events; ++n) {
        out += "id: " + std::to_string(n) + "\ndata: " + id + "." +
               std::to_string(n) + "\n\n";
    }
    return out;
}

/// Returns the plain answer to a request.
inline std::string answer_of(const std::string& id) {
    return "answer to " + id + std::string(200, '.');
}

/// A server that does with each request what the request's plan says for that
/// send, and notes what it has got.
class faulty_server {
public:
    faulty_server(boost::asio::io_context& io, std::string name,
                  seen_requests& seen)
        : io_(io), name_(std::move(name)), seen_(seen),
          acceptor_(io,
                    tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
        // A long body must not fit into the kernel's buffers.
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
    static constexpr std::chrono::milliseconds slow_ms{20};

    struct connection {
        explicit connection(tcp::socket s) : socket(std::move(s)) {}
        tcp::socket socket;
        std::array<char, 16384> piece{};
        std::string in;
        std::string last_answer;
        int requests = 0;
        bool reset_at_next = false;
        bool repeat_at_next = false;
        bool answered_early = false;
        bool mute = false;
    };
    using connection_ptr = std::shared_ptr<connection>;

    /// The parts of a request's head that count here.
    struct request_head {
        std::string id;
        int after = 0;
        std::size_t body_bytes = 0;
        std::size_t bytes = 0;
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
        c->socket.async_read_some(boost::asio::buffer(c->piece),
                                  [this, c](error_code error, std::size_t n) {
                                      if (error) {
                                          return;
                                      }
                                      c->in.append(c->piece.data(), n);
                                      if (c->mute || take(c)) {
                                          read(c);
                                      }
                                  });
    }

    static std::string field(const std::string& head, const std::string& name) {
        const auto at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return {};
        }
        const auto begin = at + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    static request_head parse(const std::string& in, std::size_t end) {
        const auto text = in.substr(0, end + 2);
        request_head h;
        h.id = field(text, "Request-Id");
        h.after = std::atoi(field(text, "Last-Event-Id").c_str());
        h.body_bytes = static_cast<std::size_t>(
            std::atoll(field(text, "Content-Length").c_str()));
        h.bytes = end + 4;
        return h;
    }

    /// Takes what has come. Returns false once the connection has ended.
    bool take(const connection_ptr& c) {
        while (!c->in.empty()) {
            if (c->reset_at_next) {
                reset(c);
                return false;
            }
            const auto end = c->in.find("\r\n\r\n");
            if (end == std::string::npos) {
                return true;
            }
            const auto h = parse(c->in, end);
            if (seen_.count(h.id) == 0) {
                seen_[h.id].wrong = c->in.substr(0, end);
            }
            auto& s = seen_[h.id];
            const bool whole = c->in.size() >= h.bytes + h.body_bytes;
            const auto what = conduct_of(s);
            if (!c->answered_early && !whole &&
                what == conduct::answers_before_the_body) {
                c->answered_early = true;
                note_send(c, s, what);
                note_run(s);
                send(c, framed(s, h, what));
            }
            if (!c->answered_early && what == conduct::resets_unread) {
                note_send(c, s, what);
                reset(c);
                return false;
            }
            if (!whole) {
                return true;
            }
            if (c->in.substr(h.bytes, h.body_bytes) != s.body) {
                s.wrong = "another body was sent";
            }
            c->in.erase(0, h.bytes + h.body_bytes);
            if (std::exchange(c->answered_early, false)) {
                continue;
            }
            note_send(c, s, what);
            if (!act(c, s, h, what)) {
                return false;
            }
        }
        return true;
    }

    /// Returns what the plan says for the next send of a request.
    static conduct conduct_of(const seen_request& s) {
        return s.plan.empty()
                   ? conduct::answers
                   : s.plan[static_cast<std::size_t>(s.sends) % s.plan.size()];
    }

    static void note_send(const connection_ptr& c, seen_request& s,
                          conduct what) {
        ++s.sends;
        s.last = what;
        const bool lost = c->repeat_at_next || what == conduct::resets_unread ||
                          what == conduct::resets_after_the_run;
        s.last_lost_with_connection = c->requests > 0 && lost;
        s.sends_lost_with_connection += s.last_lost_with_connection ? 1 : 0;
        ++c->requests;
    }

    void note_run(seen_request& s) {
        ++s.runs;
        s.ran_at.insert(name_);
    }

    /// Does what the plan says with a whole request. Returns false once the
    /// connection has ended.
    bool act(const connection_ptr& c, seen_request& s, const request_head& h,
             conduct what) {
        const bool ran =
            what != conduct::refuses && what != conduct::is_another_server;
        if (ran) {
            note_run(s);
        }
        if (std::exchange(c->repeat_at_next, false)) {
            send(c, c->last_answer);
        }
        const auto answer = framed(s, h, what);
        const auto head_end = answer.find("\r\n\r\n") + 4;
        const auto half = head_end + (answer.size() - head_end) / 2;
        c->last_answer = answer;
        switch (what) {
        case conduct::resets_after_the_run:
            reset(c);
            return false;
        case conduct::resets_in_the_answer:
        case conduct::resets_without_length:
            send(c, answer.substr(0, half), [this, c] { reset_later(c); });
            return true;
        case conduct::cuts_the_answer:
            send(c, answer.substr(0, half), [c] { close(c); });
            return true;
        case conduct::answers_without_length:
        case conduct::answers_and_closes:
            send(c, answer, [c] { close(c); });
            return true;
        case conduct::answers_slowly:
            later([this, c, answer] { send(c, answer); });
            return true;
        case conduct::answers_twice:
            send(c, answer + answer);
            return true;
        case conduct::sends_bytes_behind_the_answer:
            send(c, answer + "HTTP/1.1 200 OK\r\nConte");
            return true;
        case conduct::sends_the_last_answer_again:
            c->repeat_at_next = true;
            break;
        case conduct::drops_the_idle_connection:
            c->reset_at_next = true;
            break;
        case conduct::is_silent:
            c->mute = true;
            return true;
        case conduct::sends_garbage:
            send(c, "\x16\x03 no answer\r\n\r\n");
            return true;
        default:
            break;
        }
        send(c, answer);
        return true;
    }

    static std::string in_chunks(const std::string& body) {
        std::string out;
        constexpr std::size_t chunk = 16;
        for (std::size_t at = 0; at < body.size(); at += chunk) {
            const auto part = body.substr(at, chunk);
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", part.size());
            out += size + part + "\r\n";
        }
        return out + "0\r\n\r\n";
    }

    static std::string framed(seen_request& s, const request_head& h,
                              conduct what) {
        const auto identity = "Request-Id: " + h.id + "\r\n";
        const auto stamp = "Response-Stamp: of-" + h.id + "\r\n";
        const std::string nothing = "Content-Length: 0\r\n\r\n";
        switch (what) {
        case conduct::refuses:
            return "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + identity +
                   nothing;
        case conduct::refuses_after_the_run:
            s.failures_signed.insert(503);
            return "HTTP/1.1 503 Busy\r\n" + identity + stamp + nothing;
        case conduct::is_another_server:
            return "HTTP/1.1 421 Other\r\nNot-Executed: 1\r\n" + identity +
                   nothing;
        case conduct::fails:
            s.failures_signed.insert(500);
            return "HTTP/1.1 500 Failed\r\n" + identity + stamp + nothing;
        default:
            break;
        }
        const auto body =
            s.streamed ? events_of(h.id, h.after) : answer_of(h.id);
        auto head = "HTTP/1.1 200 OK\r\n" + identity;
        head += what == conduct::answers_unsigned ? "" : stamp;
        if (what == conduct::answers_without_length ||
            what == conduct::resets_without_length) {
            return head + "\r\n" + body;
        }
        if (what == conduct::answers_and_closes) {
            head += "Connection: close\r\n";
        }
        if (s.streamed || what == conduct::answers_in_chunks) {
            return head + "Transfer-Encoding: chunked\r\n\r\n" +
                   in_chunks(body);
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
    void later(Then then) {
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, slow_ms);
        timer->async_wait([timer, then](error_code error) {
            if (!error) {
                then();
            }
        });
    }

    /// Resets once the other side can have read what was sent.
    void reset_later(const connection_ptr& c) {
        later([c] { reset(c); });
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
    seen_requests& seen_;
    tcp::acceptor acceptor_;
};

} // namespace hibiscus::testing
