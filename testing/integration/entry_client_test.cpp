#include "hibiscus/net/http_server.hpp"
#include "support/entry_client.hpp"
#include "support/process.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <thread>

namespace hibiscus::testing {
namespace {

/// An entry that answers every request with the same list of addresses, which
/// has no time to live. It is gone, open connections too, with the object.
class static_entry {
public:
    /// Starts an entry; `names` returns the addresses that it answers.
    explicit static_entry(
        const std::function<std::vector<base::endpoint>()>& names)
        : server_(std::make_unique<net::http_server>(
              io_, net::http_limits{},
              [names](const net::http_request&,
                      const net::http_responder& respond) {
                  wire::entries_response answer;
                  for (const auto& n : names()) {
                      answer.entries.push_back({base::node_id("n"),
                                                base::zone_id("z"),
                                                base::to_string(n)});
                  }
                  respond({200, wire::to_json(answer), "application/json"});
              })),
          address_(*server_->listen({"127.0.0.1", 0})),
          thread_([this] { io_.run(); }) {}

    ~static_entry() {
        server_.reset();
        io_.stop();
        thread_.join();
    }

    static_entry(const static_entry&) = delete;
    static_entry& operator=(const static_entry&) = delete;

    /// Returns where the entry answers.
    const base::endpoint& address() const { return address_; }

private:
    boost::asio::io_context io_;
    std::unique_ptr<net::http_server> server_;
    base::endpoint address_;
    std::thread thread_;
};

/// Returns how many of `count` requests got an answer.
int count_responded(entry_client& c, int count) {
    int got = 0;
    for (int i = 0; i < count; ++i) {
        const auto result = c.send({}, 5000);
        got += std::holds_alternative<net::http_response>(result) ? 1 : 0;
    }
    return got;
}

// All instances that a caller knew at its start have been replaced. When one
// that it learnt of does not answer, it must ask the others: a trainer that
// goes back to its first addresses stands still for ever.
TEST(entry_client_test, finds_entries_after_its_seed_addresses_are_gone) {
    port_reservations reserved;
    const base::endpoint gone{"127.0.0.1", reserved.reserve("127.0.0.1")};
    std::vector<base::endpoint> named{gone};
    const auto names = [&named] { return named; };
    static_entry second(names);
    named.push_back(second.address());
    auto first = std::make_unique<static_entry>(names);
    entry_client c({first->address()});
    EXPECT_GT(count_responded(c, 6), 0);
    first.reset();
    count_responded(c, 6);
    EXPECT_GT(count_responded(c, 6), 0);
}

} // namespace
} // namespace hibiscus::testing
