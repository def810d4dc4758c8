#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/enum_names.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <memory>

namespace hibiscus::testing {

/// What happens to a connection that has reached a byte limit of its rule.
enum class fault_action {
    cut,       ///< Both sockets are closed.
    freeze,    ///< No more bytes are forwarded; the sockets stay open.
    half_close ///< The receiver sees end of stream; the other direction
               ///< continues.
};

/// The faults to inject into new connections.
struct fault_rule {
    /// Closes the listening socket, so connection attempts are refused.
    bool refuse_connections = false;
    /// Delay before each chunk of bytes is forwarded, in ms.
    base::millis delay_ms = 0;
    /// How many bytes are forwarded to the target before the action; -1: no
    /// limit. With 0 the target is never connected.
    std::int64_t bytes_to_target = -1;
    /// How many bytes are forwarded to the client before the action; -1: no
    /// limit. With 0 the response is dropped although the target has processed
    /// the request.
    std::int64_t bytes_to_client = -1;
    fault_action action = fault_action::cut;
    /// How many more connections the rule applies to; -1: all.
    int connections_left = -1;
};

/// A client's connection and the corresponding connection to the target.
class proxied_connection
    : public std::enable_shared_from_this<proxied_connection> {
public:
    /// Constructs a connection with the faults of `rule`.
    proxied_connection(boost::asio::io_context& io,
                       boost::asio::ip::tcp::socket client,
                       const fault_rule& rule);

    /// Connects to `target` and forwards bytes in both directions.
    void start(const boost::asio::ip::tcp::endpoint& target);

    /// Closes both connections.
    void close();

    /// Stops forwarding and keeps both sockets open.
    void freeze();

    /// Returns true if the connection was cut or has ended.
    bool is_closed() const { return closed_; }

private:
    /// The state of forwarding in one direction.
    struct direction {
        boost::asio::ip::tcp::socket& source;
        boost::asio::ip::tcp::socket& destination;
        std::int64_t bytes_left;
        bool is_to_client;
        boost::asio::steady_timer delay_timer;
        std::array<char, 16384> buffer{};
    };

    void read(direction& d);
    void write_after_delay(direction& d, std::size_t count);
    void write(direction& d, std::size_t count);
    void apply_action(direction& d);
    void on_end_of_stream(direction& d);

    boost::asio::ip::tcp::socket client_;
    boost::asio::ip::tcp::socket target_;
    fault_rule rule_;
    direction to_target_;
    direction to_client_;
    /// Keeps a frozen connection alive, as no operation is pending on it.
    std::shared_ptr<proxied_connection> self_while_frozen_;
    bool frozen_ = false;
    bool closed_ = false;
};

} // namespace hibiscus::testing

namespace hibiscus::base {

template <>
struct enum_names<testing::fault_action> {
    static constexpr std::array<enum_name<testing::fault_action>, 3> table{{
        {testing::fault_action::cut, "cut"},
        {testing::fault_action::freeze, "freeze"},
        {testing::fault_action::half_close, "half_close"},
    }};
};

} // namespace hibiscus::base
