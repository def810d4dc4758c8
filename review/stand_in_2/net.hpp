#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Blocking HTTP/1.1 over loopback sockets for the stand-ins of review/6 and
/// later cases. One thread serves one connection.
namespace review {

using clock_type = std::chrono::steady_clock;

/// Returns the time since the first call, in ms.
inline long now_ms() {
    static const auto begin = clock_type::now();
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            clock_type::now() - begin)
            .count());
}

inline void sleep_ms(long ms) {
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    }
}

inline long unix_ms() {
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

/// A header block with names in lower case.
using fields = std::map<std::string, std::string>;

struct http_message {
    /// The request line or the status line.
    std::string first_line;
    std::string method;
    std::string target;
    int status = 0;
    fields headers;
    std::string body;
    /// Whether the body ended as its framing says.
    bool complete = false;

    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/// A connected socket.
class connection {
public:
    explicit connection(int fd) : fd_(fd) {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void close() {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

    bool send(const std::string& bytes) const {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n = ::send(fd_, bytes.data() + sent, bytes.size() - sent,
                                  MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Returns true if the peer has closed the connection.
    bool is_closed_by_peer() const {
        char byte = 0;
        const auto n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Reads a request or a response. Returns nothing if the connection ended
    /// before the head, or if `deadline` (by now_ms(), 0 for none) passed.
    std::optional<http_message> read(bool is_response, long deadline = 0) {
        std::size_t head_end = 0;
        while ((head_end = input_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        auto message = parse_head(input_.substr(0, head_end), is_response);
        input_.erase(0, head_end + 4);
        if (message.header("transfer-encoding") == "chunked") {
            message.complete = read_chunks(message.body, deadline);
        } else if (message.headers.count("content-length") != 0) {
            const auto length = std::strtoull(
                message.header("content-length").c_str(), nullptr, 10);
            while (input_.size() < length && fill(deadline)) {
            }
            message.body = input_.substr(0, length);
            message.complete = message.body.size() == length;
            input_.erase(0, length);
        } else {
            message.complete = true;
        }
        return message;
    }

private:
    bool fill(long deadline) {
        pollfd entry{fd_, POLLIN, 0};
        const int wait =
            deadline > 0 ? static_cast<int>(std::max(0L, deadline - now_ms()))
                         : -1;
        if (::poll(&entry, 1, wait) <= 0) {
            return false;
        }
        char buffer[65536];
        const auto n = ::recv(fd_, buffer, sizeof buffer, 0);
        if (n <= 0) {
            return false;
        }
        input_.append(buffer, static_cast<std::size_t>(n));
        return true;
    }

    bool read_chunks(std::string& body, long deadline) {
        for (;;) {
            std::size_t end = 0;
            while ((end = input_.find("\r\n")) == std::string::npos) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            const auto size = std::strtoull(input_.c_str(), nullptr, 16);
            while (input_.size() < end + 2 + size + 2) {
                if (!fill(deadline)) {
                    body += input_.substr(std::min(end + 2, input_.size()));
                    return false;
                }
            }
            body += input_.substr(end + 2, size);
            input_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    static http_message parse_head(const std::string& head, bool is_response) {
        http_message message;
        std::size_t begin = head.find("\r\n");
        message.first_line = head.substr(0, begin);
        const auto& line = message.first_line;
        const auto first = line.find(' ');
        const auto second = line.find(' ', first + 1);
        if (is_response) {
            message.status = std::atoi(line.c_str() + first + 1);
        } else {
            message.method = line.substr(0, first);
            message.target = line.substr(first + 1, second - first - 1);
        }
        while (begin != std::string::npos) {
            const auto end = head.find("\r\n", begin + 2);
            const auto field = head.substr(
                begin + 2, end == std::string::npos ? end : end - begin - 2);
            const auto colon = field.find(':');
            if (colon != std::string::npos) {
                auto name = field.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(),
                               [](unsigned char c) { return std::tolower(c); });
                const auto value = field.find_first_not_of(" \t", colon + 1);
                message.headers[name] =
                    value == std::string::npos ? "" : field.substr(value);
            }
            begin = end;
        }
        return message;
    }

    int fd_;
    std::string input_;
};

inline int open_socket() {
    return ::socket(AF_INET, SOCK_STREAM, 0);
}

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Connects to a loopback port; null if nothing listens there.
inline std::unique_ptr<connection> connect_to(int port) {
    const int fd = open_socket();
    const auto address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<connection>(fd);
}

/// Returns a response head and body. `extra` are header lines, each with its
/// line end.
inline std::string make_response(int status, const std::string& body,
                                 const std::string& extra = "") {
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on a port of loopback that the kernel chooses, and serves each
/// connection by a thread that calls `handle` for each request until it returns
/// false. Lives until the process ends.
class http_server {
public:
    using handler = std::function<bool(const http_message&, connection&)>;

    explicit http_server(handler handle) : handle_(std::move(handle)) {
        fd_ = open_socket();
        auto address = loopback(0);
        ::bind(fd_, reinterpret_cast<const sockaddr*>(&address),
               sizeof address);
        ::listen(fd_, 512);
        socklen_t size = sizeof address;
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept_all(); }).detach();
    }

    int port() const { return port_; }

private:
    void accept_all() {
        for (;;) {
            const int fd = ::accept(fd_, nullptr, nullptr);
            if (fd < 0) {
                sleep_ms(5);
                continue;
            }
            std::thread([this, fd] {
                connection peer(fd);
                for (;;) {
                    const auto request = peer.read(false);
                    if (!request || !request->complete ||
                        !handle_(*request, peer)) {
                        return;
                    }
                }
            }).detach();
        }
    }

    handler handle_;
    int fd_ = -1;
    int port_ = 0;
};

/// Sends a request on a new connection and reads the response. The status is 0
/// if there is no complete response within `timeout_ms`.
inline http_message call(int port, const std::string& method,
                         const std::string& target, const fields& headers,
                         const std::string& body, long timeout_ms) {
    const auto peer = connect_to(port);
    http_message none;
    if (!peer) {
        return none;
    }
    std::string request = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        request += name + ": " + value + "\r\n";
    }
    request +=
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!peer->send(request)) {
        return none;
    }
    auto response = peer->read(true, now_ms() + timeout_ms);
    if (!response || !response->complete) {
        return none;
    }
    return *response;
}

} // namespace review
