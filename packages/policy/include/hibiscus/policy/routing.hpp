#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/ids.hpp"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hibiscus::policy {

/// An instance of a service that may be chosen.
struct instance_candidate {
    std::string id;
    std::string address;
    base::zone_id zone;
};

/// What became of a request to an instance.
enum class attempt_outcome {
    answered,    ///< It answered.
    rejected,    ///< It said that it has too much to do.
    no_response, ///< No answer came.
    cancelled    ///< Nobody waits for the answer any more.
};

/// Routes idempotent requests over the instances of services, by the better
/// of two drawn at random, judged by this node's own requests in flight.
/// Not safe for use by several threads at once.
class service_router {
public:
    /// Constructs a router with a seeded source of chance.
    explicit service_router(std::uint64_t seed);

    /// Returns the index of the instance to use and counts the request as in
    /// flight, or nothing if each has `max_in_flight` or there are none.
    /// An instance in `avoid` is used only when there is no other.
    std::optional<std::size_t>
    begin_request(const std::vector<instance_candidate>& instances,
                  int max_in_flight, const std::string& avoid,
                  base::millis now);

    /// Counts the end of a request to the instance `id`. One that could not
    /// be reached is avoided for a while; one that refuses gets fewer requests
    /// at a time, and slowly more again while it answers.
    void end_request(const std::string& id, attempt_outcome how,
                     base::millis now);

    /// Returns the requests in flight to the instance `id`.
    int in_flight(const std::string& id) const;

private:
    struct instance_state {
        int in_flight = 0;
        int consecutive_failures = 0;
        base::millis ejected_until = 0;
        /// Requests that the instance takes at a time, as learned from its
        /// refusals; 0 before the first.
        double learned_limit = 0.0;
        base::millis limit_lowered_at = 0;
    };

    static bool is_full(const instance_state& row, int max_in_flight);
    static void lower_limit(instance_state& row, base::millis now);

    std::vector<std::size_t>
    available_instances(const std::vector<instance_candidate>& instances,
                        int max_in_flight, const std::string& avoid,
                        base::millis now);

    std::map<std::string, instance_state> instances_;
    std::mt19937_64 random_;
};

/// Allows retries up to a share of the requests, so that a failing service is
/// not hit by a multiple of its load.
class retry_budget {
public:
    /// Constructs a budget that allows `ratio` retries for each request, and
    /// `reserve` more after a quiet time.
    retry_budget(double ratio, double reserve);

    /// Notes a request.
    void deposit();

    /// Returns true, and takes one retry from the budget, if it allows one.
    bool withdraw();

    /// Changes the ratio.
    void set_ratio(double ratio) { ratio_ = ratio; }

private:
    double ratio_;
    double reserve_;
    double tokens_;
};

} // namespace hibiscus::policy
