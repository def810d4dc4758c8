#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/features.hpp"
#include "hibiscus/base/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The backend servers behind the nodes: what they say of themselves and what
/// this process has seen of them.
namespace hibiscus::samplers {

/// Names one backend server, of any service.
using sampler_id = base::id<struct sampler_tag>;
using service_name = base::id<struct service_name_tag>;

/// What a backend server registers of itself.
struct registration {
    service_name service;
    base::endpoint address;
    base::zone_id zone;
    int slots = 1;
    bool draining = false;
    /// The weights that it serves, by model.
    std::map<std::string, std::int64_t> versions;
    /// The time of day of its start, in ms since 1970; 0 if it doesn't say.
    std::int64_t started_ms = 0;
};

/// One row of the table.
struct sampler_row {
    registration registered;
    /// Requests of this process that it works on, and the tokens that they
    /// are expected to hold in its memory at their ends.
    int in_flight = 0;
    std::int64_t reserved_tokens = 0;
    /// Nothing is sent before this time.
    base::millis blocked_until = 0;
    /// Failures in a row.
    int consecutive_failures = 0;
    /// The models whose weights it is known to load, and until when at most.
    /// It refuses new runs of these alone.
    std::map<std::string, base::millis> loading_until;
    /// The mean time between two events of a run, in ms; 0 if not known.
    double event_interval_ms = 0;
    base::millis last_event_at = 0;
    /// The mean time of a plain answer, in ms; 0 if not known.
    double mean_response_ms = 0;
    /// When it last answered a plain request; 0 for never.
    base::millis last_response_at = 0;
    /// A number from 0 to 1 that differs between processes.
    double tie_breaker = 0;
    /// Weights that its own answers or orders showed, newer than registered.
    std::map<std::string, std::int64_t> observed_versions;
    /// The newer of what is registered and what was seen, for each model.
    std::map<std::string, std::int64_t> known_versions;
    /// Set when its entry is gone from the registry, but the registry may be
    /// wrong since it was out of reach.
    bool unlisted = false;

    /// Returns the version of `model`, as far as it is known; 0 if not.
    std::int64_t version_of(const std::string& model) const;
};

/// All backend servers that may take work.
class sampler_table {
public:
    /// `salt` differs between processes, so that they choose differently
    /// among servers that are alike.
    explicit sampler_table(base::clock clock, std::uint64_t salt = 0,
                           base::feature_set mechanisms = {})
        : clock_(std::move(clock)), salt_(salt), features_(mechanisms) {}

    /// Returns true if decisions over the table may use `m`.
    bool is_enabled(base::feature m) const { return features_.is_enabled(m); }

    /// Takes in an entry. A server that started anew under its id is a new
    /// one: what was seen of it before no longer holds.
    void put(const sampler_id& id, registration r);

    /// Removes a server whose entry is gone.
    void remove(const sampler_id& id);

    /// Marks a server whose entry is gone while the registry can't be trusted.
    void mark_unlisted(const sampler_id& id);

    /// Removes all that are still marked.
    void remove_unlisted();

    /// Returns true if a server of the service that stays has weights of a
    /// model.
    bool has_model(const service_name& service, const std::string& model) const;

    sampler_row* find(const sampler_id& id);
    const std::map<sampler_id, sampler_row>& rows() const { return rows_; }

    /// A request was sent to a server, or has ended there. `tokens` is what
    /// it is expected to hold in the server's memory.
    void on_request_started(const sampler_id& id, std::int64_t tokens = 0);
    void on_request_ended(const sampler_id& id, std::int64_t tokens = 0);

    /// Sets the memory of the servers of a service, in tokens.
    void set_memory_tokens(const service_name& service, std::int64_t tokens);

    /// Returns the share of a server's memory that is taken once a request
    /// with `tokens` is added; 0 if its memory is not known.
    double memory_share(const sampler_row& row, std::int64_t tokens) const;

    /// A request failed there without an answer: the server is left alone for
    /// a time that doubles with each failure in a row.
    void on_failure(const sampler_id& id);

    /// A server refused without running: it is full, loading or not the one
    /// that was expected. It is left alone for `ms`.
    void block(const sampler_id& id, base::millis ms);

    /// A whole answer came after `ms`.
    void on_response(const sampler_id& id, base::millis ms);

    /// An event came `ms` after the one before.
    void on_event(const sampler_id& id, base::millis ms);

    /// An answer or an order showed which weights a server has.
    void set_observed_version(const sampler_id& id, const std::string& model,
                              std::int64_t version);

    /// A server loads weights of a model, for `longest` ms at most, or has
    /// done so.
    void set_loading(const sampler_id& id, const std::string& model,
                     base::millis longest);
    void clear_loading_of(const sampler_id& id);
    /// Nothing is known of loads any more.
    void clear_all_loading();

private:
    using row_map = std::map<sampler_id, sampler_row>;

    /// What goes on at a server.
    struct unlisted_usage {
        int in_flight = 0;
        std::int64_t reserved_tokens = 0;
    };

    row_map::iterator erase(row_map::iterator row);

    base::clock clock_;
    std::uint64_t salt_;
    base::feature_set features_;
    row_map rows_;
    /// The work that goes on at servers whose entries are gone.
    std::map<sampler_id, unlisted_usage> unlisted_usage_;
    std::map<service_name, std::int64_t> memory_tokens_;
};

} // namespace hibiscus::samplers
