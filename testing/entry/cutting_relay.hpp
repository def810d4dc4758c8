#pragma once

#include "hibiscus/base/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

namespace hibiscus::testing {

/// Passes connections on to a server. The first connections end after so many
/// bytes from the server: one for each limit, in their order. Calls for reports
/// and what is sent for them don't count.
class cutting_relay {
public:
    cutting_relay(boost::asio::io_context& io, base::endpoint server,
                  const std::vector<std::size_t>& limits);

    base::endpoint address() const;

    /// Returns how many connections have reached their limit.
    std::size_t cut_count() const { return *cut_count_; }

private:
    using tcp = boost::asio::ip::tcp;
    class relayed_connection;

    void accept();

    boost::asio::io_context& io_;
    base::endpoint server_;
    std::shared_ptr<std::deque<std::size_t>> limits_;
    std::shared_ptr<std::size_t> cut_count_ = std::make_shared<std::size_t>(0);
    tcp::acceptor acceptor_;
};

} // namespace hibiscus::testing
