#include "support/process.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace hibiscus::testing {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class port_reservations_test : public ::testing::Test {
protected:
    /// Returns what comes of an attempt to listen on the port; `named` as a
    /// program does that was given the port, else as one that must not share
    /// it, which is how the kernel chooses ports for others.
    boost::system::error_code try_listen(bool named) {
        boost::system::error_code error;
        tcp::acceptor a(io_, tcp::v4());
        a.set_option(asio::socket_base::reuse_address(named));
        a.bind(endpoint_, error);
        if (!error) {
            a.listen(asio::socket_base::max_listen_connections, error);
        }
        return error;
    }

    port_reservations reserved_ports_;
    asio::io_context io_;
    tcp::endpoint endpoint_{asio::ip::make_address("127.0.0.1"),
                            reserved_ports_.reserve("127.0.0.1")};
};

// Guards against nodes that find their port taken by another program.
TEST_F(port_reservations_test, a_reserved_port_is_not_given_to_other_sockets) {
    EXPECT_EQ(try_listen(false), asio::error::address_in_use);
}

TEST_F(port_reservations_test, a_program_can_bind_its_reserved_port_again) {
    EXPECT_FALSE(try_listen(true));
    EXPECT_FALSE(try_listen(true));
}

// Callers ask for a node until it is there.
TEST_F(port_reservations_test, a_connection_before_the_start_is_refused) {
    boost::system::error_code error;
    tcp::socket s(io_);
    s.connect(endpoint_, error);
    EXPECT_EQ(error, asio::error::connection_refused);
}

} // namespace

} // namespace hibiscus::testing
