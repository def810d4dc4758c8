#include "hibiscus/membership/server_registry.hpp"

#include <utility>

namespace hibiscus::membership {

namespace {

/// Time after an outage of the store during which the removal of a registration
/// is not trusted, in ms. Running servers register again within two seconds.
constexpr base::millis reregistration_ms = 2200;

/// Interval between two reads of the registrations, in ms. Each server renews
/// its own every 1.2 s, so with 60 servers there is always something to read.
constexpr base::millis poll_interval_ms = 100;

} // namespace

server_registry::server_registry(samplers::sampler_table& servers,
                                 registration_order& order,
                                 telemetry::event_log& log,
                                 const store::log_store& log_store,
                                 store::partition source, base::clock clock,
                                 store::run_after_function run_after,
                                 base::millis store_reachable_since,
                                 registry_callbacks callbacks)
    : servers_(servers), order_(order), log_(log), clock_(std::move(clock)),
      run_after_(std::move(run_after)), callbacks_(std::move(callbacks)),
      store_reachable_since_(store_reachable_since),
      watcher_(log_store, std::move(source), clock_, run_after_,
               {store::watcher_times().read_wait_ms,
                store::watcher_times().retry_delay_ms,
                [] { return poll_interval_ms; }},
               {[this](const auto& changes) { apply_changes(changes); },
                [this](bool reachable) { set_store_reachable(reachable); }}) {}

double server_registry::mean_record_bytes() const {
    return record_count_ == 0 ? 0
                              : static_cast<double>(record_bytes_) /
                                    static_cast<double>(record_count_);
}

void server_registry::apply_changes(const std::vector<store::change>& changes) {
    for (const auto& c : changes) {
        const samplers::sampler_id id(c.key);
        auto entry = c.value ? callbacks_.decode(*c.value) : std::nullopt;
        if (entry) {
            ++record_count_;
            record_bytes_ += c.value->size();
            if (!has_snapshot_) {
                registered_.insert(id);
            }
            apply_registration(id, std::move(*entry));
        } else {
            if (c.value) {
                log_.write("record_skipped",
                           {{"topic", "registry"}, {"key", c.key}});
            }
            apply_removal(id);
        }
    }
    if (!std::exchange(has_snapshot_, true)) {
        remove_unregistered();
    }
}

void server_registry::apply_registration(const samplers::sampler_id& id,
                                         samplers::registration registered) {
    if (!order_.accept(id, registered)) {
        log_.write("registration_outdated",
                   {{"server", id},
                    {"started_ms", registered.started_ms},
                    {"sequence", registered.sequence},
                    {"draining", registered.draining}});
        return;
    }
    servers_.put(id, std::move(registered));
    callbacks_.on_server_changed(id);
}

void server_registry::apply_removal(const samplers::sampler_id& id) {
    order_.on_removed(id);
    const bool removal_uncertain =
        !store_reachable_ ||
        clock_.now() - store_reachable_since_ < reregistration_ms;
    log_.write("server_gone",
               {{"server", id}, {"believed", !removal_uncertain}});
    if (removal_uncertain) {
        servers_.mark_unlisted(id);
    } else {
        servers_.remove(id);
    }
    callbacks_.on_server_changed(id);
}

/// Removes the rows that an earlier source has left behind.
void server_registry::remove_unregistered() {
    std::vector<samplers::sampler_id> unregistered;
    for (const auto& row : servers_.rows()) {
        if (registered_.count(row.first) == 0) {
            unregistered.push_back(row.first);
        }
    }
    for (const auto& id : unregistered) {
        servers_.remove(id);
    }
    registered_.clear();
    callbacks_.on_all_changed();
}

void server_registry::set_store_reachable(bool reachable) {
    store_reachable_ = reachable;
    if (!reachable) {
        had_no_outage_ = false;
        return;
    }
    if (!had_no_outage_) {
        store_reachable_since_ = clock_.now();
    }
    const auto reconnect = ++reconnects_;
    run_after_(reregistration_ms, [this, alive = std::weak_ptr<bool>(alive_),
                                   reconnect] {
        if (!alive.expired() && reconnect == reconnects_ && store_reachable_) {
            servers_.remove_unlisted();
            callbacks_.on_all_changed();
        }
    });
}

} // namespace hibiscus::membership
