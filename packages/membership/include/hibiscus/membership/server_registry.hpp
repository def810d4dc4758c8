#pragma once

#include "hibiscus/membership/registration_order.hpp"
#include "hibiscus/samplers/sampler_table.hpp"
#include "hibiscus/store/partition_watcher.hpp"
#include "hibiscus/telemetry/event_log.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hibiscus::membership {

/// Callbacks of a server_registry.
struct registry_callbacks {
    /// Decodes a registration; returns std::nullopt if it names no server.
    std::function<std::optional<samplers::registration>(const std::string&)>
        decode;
    /// Called after the row of a server has changed.
    std::function<void(const samplers::sampler_id&)> on_server_changed;
    /// Called after any rows may have changed.
    std::function<void()> on_all_changed;
};

/// Keeps the table of backend servers up to date with their registrations in
/// the store. Registrations that disappear during an outage of the store may
/// belong to running servers, which get some time to register again.
/// Registrations that the store executed late are ignored. Once loaded, removes
/// rows of the table that have no registration.
class server_registry {
public:
    /// `order` outlives this object, so that another one that follows the same
    /// servers knows what was accepted. `store_reachable_since` is the end of
    /// the last outage of the store.
    server_registry(samplers::sampler_table& servers, registration_order& order,
                    telemetry::event_log& log,
                    const store::log_store& log_store, store::partition source,
                    base::clock clock, store::run_after_function run_after,
                    base::millis store_reachable_since,
                    registry_callbacks callbacks);

    void start() { watcher_.start(); }
    bool is_loaded() const { return watcher_.is_loaded(); }

    /// Returns the mean size of a registration, in bytes; 0 if none was read.
    double mean_record_bytes() const;

private:
    void apply_changes(const std::vector<store::change>& changes);
    void apply_registration(const samplers::sampler_id& id,
                            samplers::registration registered);
    void apply_removal(const samplers::sampler_id& id);
    void remove_unregistered();
    void set_store_reachable(bool reachable);

    samplers::sampler_table& servers_;
    registration_order& order_;
    telemetry::event_log& log_;
    base::clock clock_;
    store::run_after_function run_after_;
    registry_callbacks callbacks_;
    /// Expires with this object; guards delayed callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    /// Servers with a registration; only used until it was loaded.
    std::set<samplers::sampler_id> registered_;
    bool has_snapshot_ = false;
    std::uint64_t record_count_ = 0;
    std::uint64_t record_bytes_ = 0;
    /// True until the store became unreachable for the first time.
    bool had_no_outage_ = true;
    bool store_reachable_ = false;
    base::millis store_reachable_since_;
    std::uint64_t reconnects_ = 0;
    store::partition_watcher watcher_;
};

} // namespace hibiscus::membership
