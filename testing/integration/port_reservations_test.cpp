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
    /// Tries to listen on the reserved port and returns the error. With
    /// `reuse_address`, binds as a program that was assigned the port; without
    /// it, as the kernel does when it picks a port for another socket.
    boost::system::error_code try_listen(bool reuse_address) {
        boost::system::error_code error;
        tcp::acceptor acceptor(io_, tcp::v4());
        acceptor.set_option(asio::socket_base::reuse_address(reuse_address));
        acceptor.bind(endpoint_, error);
        if (!error) {
            acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        return error;
    }

    port_reservations reserved_ports_;
    asio::io_context io_;
    tcp::endpoint endpoint_{asio::ip::make_address("127.0.0.1"),
                            reserved_ports_.reserve("127.0.0.1")};
};

// Guards against nodes whose port is taken by another program.
TEST_F(port_reservations_test, a_reserved_port_is_not_given_to_other_sockets) {
    EXPECT_EQ(try_listen(false), asio::error::address_in_use);
}

TEST_F(port_reservations_test, a_program_can_bind_its_reserved_port_again) {
    EXPECT_FALSE(try_listen(true));
    EXPECT_FALSE(try_listen(true));
}

// Callers poll a node until it listens; until then a connection must be
// refused, not accepted by the reservation.
TEST_F(port_reservations_test, a_connection_before_the_start_is_refused) {
    boost::system::error_code error;
    tcp::socket socket(io_);
    socket.connect(endpoint_, error);
    EXPECT_EQ(error, asio::error::connection_refused);
}

} // namespace

} // namespace hibiscus::testing
