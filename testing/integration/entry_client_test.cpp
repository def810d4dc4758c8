#include "hibiscus/net/http_server.hpp"
#include "support/entry_client.hpp"
#include "support/process.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <thread>

namespace hibiscus::testing {
namespace {

/// A fake entry instance that responds to every request with the current list
/// of entry addresses and a time to live of zero. The destructor closes the
/// listening socket and all connections.
class fake_entry {
public:
    /// Starts the entry; `get_addresses` returns the addresses to respond with.
    explicit fake_entry(
        const std::function<std::vector<base::endpoint>()>& get_addresses)
        : server_(std::make_unique<net::http_server>(
              io_, net::http_limits{},
              [get_addresses](const net::http_request&,
                              const net::http_responder& respond) {
                  wire::entries_response response;
                  for (const auto& address : get_addresses()) {
                      response.entries.push_back({base::node_id("n"),
                                                  base::zone_id("z"),
                                                  base::to_string(address)});
                  }
                  respond({200, wire::to_json(response), "application/json"});
              })),
          address_(*server_->listen({"127.0.0.1", 0})),
          thread_([this] { io_.run(); }) {}

    ~fake_entry() {
        server_.reset();
        io_.stop();
        thread_.join();
    }

    fake_entry(const fake_entry&) = delete;
    fake_entry& operator=(const fake_entry&) = delete;

    /// Returns the address that the entry listens on.
    const base::endpoint& address() const { return address_; }

private:
    boost::asio::io_context io_;
    std::unique_ptr<net::http_server> server_;
    base::endpoint address_;
    std::thread thread_;
};

/// Sends `count` requests and returns how many of them got a response.
int count_responded(entry_client& client, int count) {
    int responded = 0;
    for (int i = 0; i < count; ++i) {
        const auto result = client.send({}, 5000);
        responded += std::holds_alternative<net::http_response>(result) ? 1 : 0;
    }
    return responded;
}

// All entries that a client knew at its start have been replaced, and one that
// it learned of later does not respond. A client that returned to its seed
// addresses would never reach an entry again.
TEST(entry_client_test, finds_entries_after_its_seed_addresses_are_gone) {
    port_reservations reserved_ports;
    const base::endpoint unreachable_address{
        "127.0.0.1", reserved_ports.reserve("127.0.0.1")};
    std::vector<base::endpoint> addresses{unreachable_address};
    const auto get_addresses = [&addresses] { return addresses; };
    fake_entry second(get_addresses);
    addresses.push_back(second.address());
    auto first = std::make_unique<fake_entry>(get_addresses);
    entry_client client({first->address()});
    EXPECT_GT(count_responded(client, 6), 0);
    first.reset();
    count_responded(client, 6);
    EXPECT_GT(count_responded(client, 6), 0);
}

} // namespace
} // namespace hibiscus::testing
