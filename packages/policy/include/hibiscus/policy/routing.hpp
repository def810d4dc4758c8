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

/// The outcome of an attempt at an instance.
enum class attempt_outcome {
    answered,    ///< The instance responded.
    rejected,    ///< The instance is overloaded.
    no_response, ///< No response arrived.
    cancelled    ///< The caller no longer waits.
};

/// Routes idempotent requests to the instances of services: of two drawn at
/// random it uses the one with fewer requests of this node in flight. Not
/// thread-safe.
class service_router {
public:
    /// Constructs a router that seeds its random numbers with `seed`.
    explicit service_router(std::uint64_t seed);

    /// Chooses an instance, counts the request as in flight there and returns
    /// the instance's index. Returns nothing if there are no instances or all
    /// have `max_in_flight` requests. The instance with the id `avoided_id` is
    /// used only if no other is available.
    std::optional<std::size_t>
    begin_request(const std::vector<instance_candidate>& instances,
                  int max_in_flight, const std::string& avoided_id,
                  base::millis now);

    /// Counts the end of a request to the instance `id`. An instance that does
    /// not respond is ejected for a while. One that rejects requests gets fewer
    /// at a time; the limit slowly grows again while it responds.
    void end_request(const std::string& id, attempt_outcome outcome,
                     base::millis now);

    /// Returns the requests in flight to the instance `id`.
    int in_flight(const std::string& id) const;

private:
    struct instance_state {
        int in_flight = 0;
        int consecutive_failures = 0;
        base::millis ejected_until = 0;
        /// Concurrent requests that the instance takes, as learned from its
        /// rejections; 0 before the first rejection.
        double learned_limit = 0.0;
        base::millis limit_lowered_at = 0;
    };

    static bool is_full(const instance_state& state, int max_in_flight);
    static void lower_limit(instance_state& state, base::millis now);

    std::vector<std::size_t>
    available_instances(const std::vector<instance_candidate>& instances,
                        int max_in_flight, const std::string& avoided_id,
                        base::millis now);

    std::map<std::string, instance_state> instances_;
    std::mt19937_64 random_;
};

/// Allows retries up to a share of the requests, so that a failing service is
/// not hit by a multiple of its load.
class retry_budget {
public:
    /// Constructs a full budget of `reserve` retries, to which each request
    /// adds `ratio`.
    retry_budget(double ratio, double reserve);

    /// Adds the share of one request to the budget, up to the reserve.
    void deposit();

    /// Takes one retry from the budget; returns false if it has none.
    bool withdraw();

    void set_ratio(double ratio) { ratio_ = ratio; }

private:
    double ratio_;
    double reserve_;
    double tokens_;
};

} // namespace hibiscus::policy
