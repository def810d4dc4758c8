#pragma once

#include "hibiscus/transport/streaming_http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::testing {

/// A stand-in for the users' store: partitions of keyed records over HTTP, in
/// memory. What it speaks is written down in the users' pages.
class fake_keyed_store {
public:
    explicit fake_keyed_store(boost::asio::io_context& io);

    base::endpoint address() const { return address_; }

    /// Writes a record as the operator, a trainer or a server would.
    void put(const std::string& topic, const std::string& key,
             const std::string& value);

    /// Sets which calls are refused with 503; none if empty.
    void set_unavailable(bool refusing) { unavailable_ = refusing; }

    /// Refuses appends to one partition of a topic from now on.
    void reject_appends(const std::string& topic, int number) {
        rejecting_partitions_.insert({topic, number});
    }

    /// Sets the topic whose appends are carried out without an answer; none if
    /// empty.
    void withhold_responses(const std::string& topic) {
        withheld_topic_ = topic;
    }

    /// Returns how many answers were held back.
    int withheld_responses() const { return withheld_responses_; }

    /// Sets how many of a hundred appends are carried out without an answer.
    void set_lost_response_percent(int percent) {
        lost_response_percent_ = percent;
    }

    /// Returns how many keys of a topic begin with `prefix`.
    std::size_t count_keys(const std::string& topic,
                           const std::string& prefix) const;

    /// Returns the newest value of a key, or "".
    std::string newest_value(const std::string& topic,
                             const std::string& key) const;

    /// Returns all values that a key has had, the oldest first.
    std::vector<std::string> all_values(const std::string& topic,
                                        const std::string& key) const;

private:
    struct record {
        std::string key;
        std::string value;
    };
    using partition = std::pair<std::string, int>;
    using exchange_ptr = std::shared_ptr<transport::response_writer>;

    void handle(const transport::inbound_request& request,
                const exchange_ptr& to);
    void append(const transport::inbound_request& request,
                const exchange_ptr& to);
    void read(const partition& from, std::size_t offset, int wait_ms,
              const exchange_ptr& to);
    void send_records(const partition& from, std::size_t offset,
                      const exchange_ptr& to);
    void send_newest_page(const partition& from, const std::string& after,
                          const exchange_ptr& to);

    boost::asio::io_context& io_;
    std::map<partition, std::vector<record>> logs_;
    bool unavailable_ = false;
    std::set<partition> rejecting_partitions_;
    std::string withheld_topic_;
    int withheld_responses_ = 0;
    int lost_response_percent_ = 0;
    int append_count_ = 0;
    std::vector<exchange_ptr> open_exchanges_;
    transport::streaming_http_server server_;
    base::endpoint address_;
};

} // namespace hibiscus::testing
