#pragma once

#include "hibiscus/base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hibiscus::admission {

/// A request that waits for admission.
struct queued_request {
    std::uint64_t number = 0;
    /// 0 is the most urgent.
    int priority = 0;
    std::string workspace;
    /// Expected server time, in ms.
    double cost_ms = 0;
    /// Time that the response may take once the request is sent, in ms.
    double response_ms = 0;
    /// Time by which the response must have arrived.
    base::millis deadline = 0;
};

/// The queue of a service at one node. Requests leave it by priority, and
/// within a priority the workspaces get equal server time. Every few requests,
/// the one that has waited longest goes first, so that no priority starves.
class request_queue {
public:
    /// Adds a request.
    void push(queued_request request);

    /// Returns the request that leaves next, if any.
    const queued_request* front() const;

    /// Removes the request that leaves next. The queue must not be empty.
    queued_request pop();

    /// Removes a request, if it is queued.
    void remove(std::uint64_t number);

    /// Removes and returns the requests that can't be answered in time if the
    /// queue drains at `slots`, the first one after `wait_ms`.
    std::vector<queued_request> take_hopeless(double slots, double wait_ms,
                                              base::millis now);

    /// Returns the server time of all queued requests, in ms.
    double total_cost_ms() const;

    bool empty() const { return waiting_.empty(); }
    std::size_t size() const { return waiting_.size(); }

private:
    /// What decides about the order: server time that each workspace has had,
    /// and the requests since the last turn of the oldest one.
    struct order_state {
        std::map<std::string, double> used_ms;
        int since_oldest = 0;
    };

    using waiting_map = std::map<std::uint64_t, queued_request>;
    static waiting_map::const_iterator next(const waiting_map& waiting,
                                            const order_state& order);
    static void charge(order_state& order, const queued_request& request,
                       const waiting_map& waiting);

    /// Forgets the workspaces without a waiting request.
    static void forget_absent(order_state& order, const waiting_map& waiting);

    /// By order of arrival.
    waiting_map waiting_;
    std::uint64_t arrivals_ = 0;
    order_state order_;
};

} // namespace hibiscus::admission
