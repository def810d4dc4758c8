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
    boost::system::error_code bind(bool named) {
        boost::system::error_code error;
        tcp::acceptor a(io_, tcp::v4());
        a.set_option(asio::socket_base::reuse_address(named));
        a.bind(at_, error);
        if (!error) {
            a.listen(asio::socket_base::max_listen_connections, error);
        }
        return error;
    }

    port_reservations reserved_;
    asio::io_context io_;
    tcp::endpoint at_{asio::ip::make_address("127.0.0.1"),
                      reserved_.take("127.0.0.1")};
};

// Guards against nodes that find their port taken by another program.
TEST_F(port_reservations_test, nobody_else_is_given_the_port) {
    EXPECT_EQ(bind(false), asio::error::address_in_use);
}

TEST_F(port_reservations_test, the_program_that_was_given_it_may_start_again) {
    EXPECT_FALSE(bind(true));
    EXPECT_FALSE(bind(true));
}

// Callers ask for a node until it is there.
TEST_F(port_reservations_test, a_connection_before_the_start_is_refused) {
    boost::system::error_code error;
    tcp::socket s(io_);
    s.connect(at_, error);
    EXPECT_EQ(error, asio::error::connection_refused);
}

} // namespace

} // namespace hibiscus::testing
