#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/features.hpp"
#include "hibiscus/base/ids.hpp"
#include "hibiscus/samplers/server_end_log.hpp"
#include "hibiscus/samplers/start_limits.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// The table of backend servers: what they register and what this process has
/// observed of them. It holds samplers and all other backend servers.
namespace hibiscus::samplers {

/// The most slots that a registration may name. The sum over a large fleet has
/// to fit an int.
constexpr int max_slots = 100000;

/// The registry entry of a backend server.
struct registration {
    service_name service;
    base::endpoint address;
    base::zone_id zone;
    int slots = 1;
    bool draining = false;
    /// Whether the server may be reclaimed at any time.
    bool spot = false;
    /// Versions of the weights that the server has, by model.
    std::map<std::string, std::int64_t> versions;
    /// Start time in ms since the Unix epoch; 0 if not registered.
    std::int64_t started_ms = 0;
    /// The number of this entry among those that the process has written; 0 if
    /// not registered.
    std::int64_t sequence = 0;
    /// How much longer the server warms up, in ms.
    base::millis warm_up_ms = 0;
};

/// What is known of one backend server.
struct sampler_row {
    registration registered;
    /// Requests of this process in flight at the server, and the tokens that
    /// they are expected to hold in its memory when they end.
    int in_flight = 0;
    std::int64_t reserved_tokens = 0;
    /// The server warms up until this time.
    base::millis warming_up_until = 0;
    /// When this process has sent it requests.
    start_window starts;
    /// Until this time the server gets no runs, and plain requests only if all
    /// servers are blocked.
    base::millis blocked_until = 0;
    int consecutive_failures = 0;
    /// Models whose weights the server is loading, each with the time at which
    /// the load is no longer assumed to be in progress. The server refuses new
    /// runs of these models only.
    std::map<std::string, base::millis> loading_until;
    /// Running mean of the time between two events of a run, in ms; 0 if
    /// unknown.
    double event_interval_ms = 0;
    base::millis last_event_at = 0;
    /// When its entry was last written, as seen by this process.
    base::millis registered_at = 0;
    /// Running mean of the response time of plain requests, in ms; 0 if
    /// unknown.
    double mean_response_ms = 0;
    /// When the server last responded to a plain request; 0 if never.
    base::millis last_response_at = 0;
    /// When an event, a response or a report last came from the server; 0 if
    /// never.
    base::millis last_heard_at = 0;
    /// When a request found the server silent; 0 if never.
    base::millis silence_noticed_at = 0;
    /// A number from 0 to 1 that differs between servers and between processes.
    double tie_breaker = 0;
    /// A number that differs between servers and is the same in all processes.
    std::uint64_t rank = 0;
    /// Versions shown by the server's responses or by the results of orders, by
    /// model. They may be newer than the registered ones.
    std::map<std::string, std::int64_t> observed_versions;
    /// The newer of the registered and the observed version, by model.
    std::map<std::string, std::int64_t> known_versions;
    /// Set if the server's entry is gone but the registry can't be trusted
    /// because it was unreachable.
    bool unlisted = false;

    /// Returns true if idle connections to the server are probably open: it
    /// has responded since the last failure there. Those to a process that has
    /// ended would fail one after the other.
    bool may_reuse_connections() const { return consecutive_failures == 0; }

    /// Returns when something last came from the server or its registration.
    base::millis last_sign_at() const {
        return std::max(last_heard_at, registered_at);
    }

    /// Returns true if the server was found silent and nothing has come from it
    /// since.
    bool is_silent() const { return silence_noticed_at > last_sign_at(); }

    /// Returns the known version of `model`, or 0.
    std::int64_t version_of(const std::string& model) const;
};

/// The backend servers that may take requests.
class sampler_table {
public:
    /// `salt` differs between processes, so that they choose differently among
    /// equal servers.
    explicit sampler_table(base::clock clock, std::uint64_t salt = 0,
                           base::feature_set features = {})
        : clock_(std::move(clock)), salt_(salt), features_(features),
          ends_(clock_) {}

    /// Returns true if placement decisions may use `feature`.
    bool is_enabled(base::feature feature) const {
        return features_.is_enabled(feature);
    }

    /// Adds or updates a server. If it has restarted under the same id,
    /// everything observed of it is dropped; its requests in flight still
    /// count.
    void put(const sampler_id& id, registration r);

    /// Removes a server whose entry is gone.
    void remove(const sampler_id& id);

    /// Marks a server whose entry is gone while the registry can't be trusted.
    void mark_unlisted(const sampler_id& id);

    /// Removes all servers that are still marked as unlisted.
    void remove_unlisted();

    /// Returns true if a listed server of the service that is not draining has
    /// weights of the model.
    bool has_model(const service_name& service, const std::string& model) const;

    using entry = std::pair<const sampler_id, sampler_row>;
    using entry_list = std::vector<const entry*>;

    /// Returns the listed servers of a service that are not draining and that
    /// runs may be placed on: as many as set_run_slots() asks for. All
    /// processes choose the same ones, so that the next job owner finds loaded
    /// weights there.
    const entry_list& run_candidates(const service_name& service) const;

    /// Limits the servers of a service that runs are placed on to as many as
    /// have `slots` slots, but not fewer than some. In a fleet of thousands of
    /// servers, the cost of a decision and the number of connections then grow
    /// with the load and not with the fleet.
    void set_run_slots(const service_name& service, std::size_t slots);

    /// Returns the listed servers of a service that are not draining and that
    /// plain requests from `zone` may be sent to. Of a large service only some,
    /// first those of the zone; processes choose different ones.
    const entry_list& request_candidates(const service_name& service,
                                         const base::zone_id& zone) const;

    /// Returns the services of the listed servers that are not draining.
    std::vector<service_name> services() const;

    /// Returns the number of slots of all listed servers of a service that are
    /// not draining.
    int slot_count(const service_name& service) const;

    /// Returns the server processes that have ended, as far as registrations
    /// show it.
    const server_end_log& ends() const { return ends_; }

    sampler_row* find(const sampler_id& id);
    const std::map<sampler_id, sampler_row>& rows() const { return rows_; }

    /// Called when a request is sent to a server and when it has ended there.
    /// `tokens` is the memory that the request is expected to hold.
    void on_request_started(const sampler_id& id, std::int64_t tokens = 0);
    void on_request_ended(const sampler_id& id, std::int64_t tokens = 0);

    /// Sets the limits of the services whose servers have any. They hold for
    /// runs; other requests only count.
    void set_start_limits(std::map<service_name, start_limits> limits) {
        start_limits_ = std::move(limits);
    }

    /// Returns how many runs may be started at a server now, whatever its
    /// slots.
    int startable_runs(const sampler_row& row, base::millis now) const;

    /// Sets the memory size of each server of a service, in tokens.
    void set_memory_tokens(const service_name& service, std::int64_t tokens);

    /// Returns the share of a server's memory that is reserved once a request
    /// with `tokens` is added; 0 if the memory size is unknown.
    double memory_share(const sampler_row& row, std::int64_t tokens) const;

    /// Called when a request failed without a response. Blocks the server for a
    /// time that doubles with each consecutive failure.
    void on_failure(const sampler_id& id);

    /// Called when a request timed out and nothing came from the server.
    void on_silence(const sampler_id& id);

    /// Blocks a server for `ms`. Called when it rejected a request without
    /// running it: it is full, loading, or not the expected server.
    void block(const sampler_id& id, base::millis ms);

    /// Called when a whole response arrived after `ms`.
    void on_response(const sampler_id& id, base::millis ms);

    /// Called when an event arrived `ms` after the previous event of its run.
    void on_event(const sampler_id& id, base::millis ms);

    /// Called when a report or the head of a response has come from a server.
    void on_heard(const sampler_id& id);

    /// Records the version of a model that a response or an order showed a
    /// server to have. If the registered version is newer, it is lowered to
    /// this one until the next put().
    void set_observed_version(const sampler_id& id, const std::string& model,
                              std::int64_t version);

    /// Marks a server as loading weights of a model, for at most `max_ms`.
    void set_loading(const sampler_id& id, const std::string& model,
                     base::millis max_ms);
    /// Called when a server no longer loads any weights.
    void clear_loading_of(const sampler_id& id);
    /// Forgets the loads of all servers.
    void clear_all_loading();

private:
    using row_map = std::map<sampler_id, sampler_row>;

    /// Requests still in flight at a server whose row was removed.
    struct removed_usage {
        int in_flight = 0;
        std::int64_t reserved_tokens = 0;
    };

    /// The listed servers of one service that are not draining, and parts of
    /// them; each part is empty until it is asked for.
    struct service_index {
        entry_list servers;
        int slots = 0;
        entry_list run_candidates;
        std::map<base::zone_id, entry_list> request_candidates;
    };

    static server_end end_of(const row_map::value_type& row);
    row_map::iterator erase(row_map::iterator row);
    service_index& index_of(const service_name& service) const;
    void update_index() const;

    base::clock clock_;
    std::uint64_t salt_;
    base::feature_set features_;
    row_map rows_;
    server_end_log ends_;
    /// By server; erased when the last request ends.
    std::map<sampler_id, removed_usage> removed_usage_;
    std::map<service_name, std::int64_t> memory_tokens_;
    std::map<service_name, start_limits> start_limits_;
    /// Limits set by set_run_slots().
    std::map<service_name, std::size_t> run_slots_;
    /// Derived from rows_ when it is needed.
    mutable std::map<service_name, service_index> index_;
    mutable bool index_outdated_ = true;
};

} // namespace hibiscus::samplers
