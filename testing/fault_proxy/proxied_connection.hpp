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

/// What happens to a connection when its bytes are used up.
enum class fault_action {
    cut,       ///< Both sides are closed.
    freeze,    ///< Nothing is passed on any more, and nothing is closed.
    half_close ///< The client sees the end of the answer; requests go on.
};

/// What happens to a connection that is accepted.
struct fault_rule {
    /// Nothing listens, so that the client's connection is refused.
    bool refuse_connections = false;
    /// Each piece of bytes is passed on so much later.
    base::millis delay_ms = 0;
    /// The bytes that pass to the target before the action; -1: no limit.
    std::int64_t bytes_to_target = -1;
    /// The bytes that pass to the client before the action; -1: no limit. With
    /// 0 the answer is dropped after its request took effect.
    std::int64_t bytes_to_client = -1;
    fault_action action = fault_action::cut;
    /// How many connections the rule holds for; -1: all.
    int connections_left = -1;
};

/// A client's connection and the one to the target that belongs to it.
class proxied_connection
    : public std::enable_shared_from_this<proxied_connection> {
public:
    /// Constructs a link that follows `r`.
    proxied_connection(boost::asio::io_context& io,
                       boost::asio::ip::tcp::socket client,
                       const fault_rule& r);

    /// Connects to `target` and passes bytes in both directions.
    void start(const boost::asio::ip::tcp::endpoint& target);

    /// Closes both connections.
    void close();

    /// Passes nothing on from now on, and closes nothing.
    void freeze();

    /// Returns true if the link was cut or has ended.
    bool is_closed() const { return closed_; }

private:
    /// One of the two directions.
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
