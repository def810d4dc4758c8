#pragma once

#include "hibiscus/transport/event_server.hpp"

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
class keyed_store {
public:
    explicit keyed_store(boost::asio::io_context& io);

    base::endpoint address() const { return address_; }

    /// Writes a record as the operator, a trainer or a server would.
    void put(const std::string& topic, const std::string& key,
             const std::string& value);

    /// Sets which calls are refused with 503; none if empty.
    void set_refusing(bool refusing) { refusing_ = refusing; }

    /// Refuses appends to one partition of a topic from now on.
    void refuse_appends(const std::string& topic, int number) {
        refused_.insert({topic, number});
    }

    /// Sets the topic whose appends are carried out without an answer; none if
    /// empty.
    void hold_answers(const std::string& topic) { held_topic_ = topic; }

    /// Returns how many answers were held back.
    int held_answers() const { return held_answers_; }

    /// Sets how many of a hundred appends are carried out without an answer.
    void set_losing(int percent) { losing_ = percent; }

    /// Returns how many keys of a topic begin with `prefix`.
    std::size_t keys(const std::string& topic, const std::string& prefix) const;

    /// Returns the newest value of a key, or "".
    std::string newest(const std::string& topic, const std::string& key) const;

    /// Returns all values that a key has had, the oldest first.
    std::vector<std::string> values(const std::string& topic,
                                    const std::string& key) const;

private:
    struct record {
        std::string key;
        std::string value;
    };
    using partition = std::pair<std::string, int>;
    using answer = std::shared_ptr<transport::exchange>;

    void handle(const transport::inbound_request& request, const answer& to);
    void append(const transport::inbound_request& request, const answer& to);
    void read(const partition& from, std::size_t offset, int wait_ms,
              const answer& to);
    void send_records(const partition& from, std::size_t offset,
                      const answer& to);
    void newest_page(const partition& from, const std::string& after,
                     const answer& to);

    boost::asio::io_context& io_;
    std::map<partition, std::vector<record>> logs_;
    bool refusing_ = false;
    std::set<partition> refused_;
    std::string held_topic_;
    int held_answers_ = 0;
    int losing_ = 0;
    int appends_ = 0;
    std::vector<answer> unanswered_;
    transport::event_server server_;
    base::endpoint address_;
};

} // namespace hibiscus::testing
