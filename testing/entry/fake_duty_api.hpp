#pragma once

#include "hibiscus/transport/streaming_http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// How the fake API treats calls.
enum class duty_api_behavior {
    responds,
    /// Rejects calls with 503, or 429 in turn, without executing them.
    rejects,
    /// Accepts calls, but never executes or responds to them.
    silent,
    /// Executes calls after a delay and does not respond to them.
    executes_late,
};

/// A fake of the API that the users run for calls that only one node at a time
/// may make. Records the first call that breaks their rules.
class fake_duty_api {
public:
    explicit fake_duty_api(boost::asio::io_context& io);

    base::endpoint address() const { return address_; }

    void set_behavior(duty_api_behavior behavior) { behavior_ = behavior; }

    /// Sets whether a holder with a newer token has called from outside, so
    /// that all calls are refused.
    void set_fenced(bool fenced) { fenced_ = fenced; }

    /// Sets whether there are no more servers, so that orders are refused.
    void set_servers_exhausted(bool exhausted) { exhausted_ = exhausted; }

    /// Number of orders that were refused since there are no more servers.
    int refused_orders() const { return refused_orders_; }

    /// Number of calls that have arrived.
    int call_count() const { return call_count_; }

    /// Returns the sum of all reports by workspace.
    std::map<std::string, std::int64_t> total_usage() const;

    /// An order that was executed.
    struct scaling_order {
        std::string holder;
        std::string service;
        std::string zone;
        int target = 0;
    };

    const std::vector<scaling_order>& scaling_orders() const {
        return scaling_orders_;
    }

    /// Describes the first violation of the users' rules, or is empty.
    const std::string& violation() const { return violation_; }

private:
    using response_writer_ptr = std::shared_ptr<transport::response_writer>;

    void handle(const transport::inbound_request& request,
                const response_writer_ptr& writer);
    /// Executes a call. Returns the status of the response.
    int execute(const transport::inbound_request& request);

    boost::asio::io_context& io_;
    duty_api_behavior behavior_ = duty_api_behavior::responds;
    bool fenced_ = false;
    bool exhausted_ = false;
    int refused_orders_ = 0;
    int call_count_ = 0;
    /// By the path of the call.
    std::map<std::string, std::int64_t> highest_tokens_;
    std::map<std::int64_t, std::string> holder_by_token_;
    std::vector<scaling_order> scaling_orders_;
    std::map<std::int64_t, std::map<std::string, std::int64_t>> reports_;
    std::string violation_;
    std::vector<response_writer_ptr> unfinished_responses_;
    transport::streaming_http_server server_;
    base::endpoint address_;
};

} // namespace hibiscus::testing
