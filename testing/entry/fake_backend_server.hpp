#pragma once

#include "hibiscus/transport/streaming_http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// A stand-in for a server of the users: it makes events for requests that
/// name a model, resumes them, takes orders for weights, and answers all else
/// at once. Its events depend on the request's id and their number only; those
/// of ids that begin with "big" are large, those of "noid" have no id.
class fake_backend_server {
public:
    fake_backend_server(boost::asio::io_context& io, std::string id, int events,
                        int event_ms);

    base::endpoint address() const { return address_; }
    std::int64_t weight_version() const { return weight_version_; }
    int run_count() const { return run_count_; }

    /// Returns the requests that it has worked on.
    const std::set<std::string>& executed_ids() const { return executed_ids_; }

    /// Breaks off all streams at their next event, in the middle of it.
    void abort_streams() { ++abort_count_; }

    /// Changes the weights; streams go on and tell the change.
    void set_weight_version(std::int64_t version) { weight_version_ = version; }

    /// Sets whether answers to requests without a model are lost once the
    /// server has worked on them.
    void set_dropping_responses(bool losing) { dropping_responses_ = losing; }

    /// Sets the time between two events, in ms.
    void set_event_interval_ms(int ms) { event_interval_ms_ = ms; }

    /// Sets how long the server works on requests without a model, in ms.
    void set_service_time_ms(int ms) { service_time_ms_ = ms; }

    /// From now on requests without a model are worked on and never answered,
    /// while their connections stay open.
    void stop_responding() { silent_ = true; }

    /// Returns the whole text of a request.
    static std::string expected_text(const std::string& id, int events);

    /// Returns the entry that such a server registers.
    std::string make_registration(const std::string& service,
                                  bool tokens) const;

private:
    using exchange_ptr = std::shared_ptr<transport::response_writer>;

    /// A stream under way.
    struct stream {
        std::string id;
        /// The count of breaks at its start.
        int abort_count = 0;
        /// The version of the weights that its reader knows of.
        std::int64_t announced_version = 0;
        exchange_ptr exchange;
    };

    void handle(const transport::inbound_request& request,
                const exchange_ptr& to);
    void response_plain_request(const std::string& id, const exchange_ptr& to);
    void send_events(stream s, int next);

    boost::asio::io_context& io_;
    std::string id_;
    int events_;
    int event_interval_ms_;
    int service_time_ms_ = 0;
    std::int64_t weight_version_ = 1;
    std::int64_t accepted_orders_ = 0;
    int run_count_ = 0;
    int abort_count_ = 0;
    bool dropping_responses_ = false;
    bool silent_ = false;
    std::vector<exchange_ptr> open_exchanges_;
    std::set<std::string> executed_ids_;
    transport::streaming_http_server server_;
    base::endpoint address_;
};

} // namespace hibiscus::testing
