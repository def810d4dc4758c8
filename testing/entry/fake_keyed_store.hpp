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

/// An in-memory fake of the store that the users run for us: partitions of
/// keyed records over HTTP. Follows the protocol that the users document.
class fake_keyed_store {
public:
    explicit fake_keyed_store(boost::asio::io_context& io);

    base::endpoint address() const { return address_; }

    /// Appends a record to partition 0 of a topic, as the operator, a trainer
    /// or a server would.
    void put(const std::string& topic, const std::string& key,
             const std::string& value);

    /// Sets whether all calls are rejected with 503.
    void set_unavailable(bool unavailable) { unavailable_ = unavailable; }

    /// Rejects appends to one partition of a topic with 503 from now on.
    void reject_appends(const std::string& topic, int number) {
        rejecting_partitions_.insert({topic, number});
    }

    /// Accepts appends to a partition again.
    void accept_appends(const std::string& topic, int number) {
        rejecting_partitions_.erase({topic, number});
    }

    /// Returns how many appends to a partition reject_appends() has rejected.
    int refused_appends(const std::string& topic, int number) const {
        const auto found = refused_appends_.find({topic, number});
        return found == refused_appends_.end() ? 0 : found->second;
    }

    /// Sets the topic whose appends are carried out but get no response; none
    /// if empty.
    void withhold_responses(const std::string& topic) {
        withheld_topic_ = topic;
    }

    /// Returns how many responses withhold_responses() has suppressed.
    int withheld_responses() const { return withheld_responses_; }

    /// Sets the percentage of appends that are carried out but get no response.
    void set_lost_response_percent(int percent) {
        lost_response_percent_ = percent;
    }

    /// Returns how many keys of a topic begin with `prefix` and have a
    /// non-empty newest value.
    std::size_t count_keys(const std::string& topic,
                           const std::string& prefix) const;

    /// Returns the newest value of a key in partition 0, or "".
    std::string newest_value(const std::string& topic,
                             const std::string& key) const;

    /// Returns the newest value of each key in partition 0 that has one.
    std::map<std::string, std::string>
    newest_values(const std::string& topic) const;

    /// Returns all values of a key in partition 0, oldest first.
    std::vector<std::string> all_values(const std::string& topic,
                                        const std::string& key) const;

private:
    struct record {
        std::string key;
        std::string value;
    };
    using partition = std::pair<std::string, int>;
    using response_writer_ptr = std::shared_ptr<transport::response_writer>;

    void handle(const transport::inbound_request& request,
                const response_writer_ptr& writer);
    void append(const transport::inbound_request& request,
                const response_writer_ptr& writer);
    void read(const partition& part, std::size_t offset, int wait_ms,
              const response_writer_ptr& writer);
    void send_records(const partition& part, std::size_t offset,
                      const response_writer_ptr& writer);
    void send_latest_page(const partition& part, const std::string& after,
                          const response_writer_ptr& writer);

    boost::asio::io_context& io_;
    std::map<partition, std::vector<record>> logs_;
    bool unavailable_ = false;
    std::set<partition> rejecting_partitions_;
    std::map<partition, int> refused_appends_;
    std::string withheld_topic_;
    int withheld_responses_ = 0;
    int lost_response_percent_ = 0;
    int append_count_ = 0;
    std::vector<response_writer_ptr> unfinished_responses_;
    transport::streaming_http_server server_;
    base::endpoint address_;
};

} // namespace hibiscus::testing
