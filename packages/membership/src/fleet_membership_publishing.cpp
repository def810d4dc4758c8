#include "hibiscus/membership/fleet_membership.hpp"

#include <algorithm>
#include <utility>

/// How fleet_membership publishes the fleet view.
namespace hibiscus::membership {

namespace {

/// Time for which another source must be the better one before a publisher
/// changes it, in ms. Right after a takeover it does not know all nodes yet.
constexpr base::millis start_publishing_delay_ms = 2000;
constexpr base::millis stop_publishing_delay_ms = 10000;

/// Age of the view of the node registrations from which a node without renewals
/// does not count as gone, in ms.
constexpr base::millis max_registration_age_ms = 1500;

/// Intervals between two status records, in ms.
constexpr base::millis view_status_interval_ms = 1000;
constexpr base::millis registrations_status_interval_ms = 5000;

/// Time for which the first publisher of a fleet counts its nodes before it
/// chooses the source, in ms.
constexpr base::millis counting_ms = 1200;

/// Interval between two comparisons of the listed nodes with those alive, in
/// ms.
constexpr base::millis node_comparison_interval_ms = 200;

/// Number of nodes whose time of day the status has.
constexpr std::size_t max_true_times = 5;

bool has_same_listing(const node_entry& a, const node_entry& b) {
    return a.caller_address == b.caller_address &&
           a.peer_address == b.peer_address && a.zone == b.zone &&
           a.cpu_share == b.cpu_share;
}

} // namespace

void fleet_membership::start_publishing() {
    publisher_ = std::make_unique<view_publisher>(log_store_, settings_.layout,
                                                  clock_, run_after_, log_,
                                                  settings_.max_append_bytes);
    publisher_->start();
    publishing_since_ = clock_.now();
    status_published_at_ = 0;
    status_sequence_ = 0;
    chosen_source_.reset();
    other_source_since_ = 0;
    registrations_stale_ = false;
    mark_registrations_stale();
    all_offered_ = false;
    offered_nodes_.clear();
    unconfirmed_nodes_.clear();
    offer_configuration();
}

/// Passes the configuration on. It does not wait until the registrations are
/// known.
void fleet_membership::offer_configuration() {
    if (publisher_ && is_fleet_view() && !own_configuration_.empty()) {
        publisher_->set(0, configuration_key, own_configuration_);
    }
}

bool fleet_membership::are_registrations_current() const {
    return registrations_current_as_of() >=
           clock_.now() - max_registration_age_ms;
}

/// Returns the time for which all registrations that are followed are known.
base::millis fleet_membership::registrations_current_as_of() const {
    auto as_of = clock_.now();
    for (const auto& watcher : node_watchers_) {
        as_of = std::min(as_of, watcher->current_as_of());
    }
    return as_of;
}

void fleet_membership::mark_registrations_stale() {
    if (!std::exchange(registrations_stale_, true)) {
        registrations_stale_since_ = registrations_current_as_of();
    }
}

bool fleet_membership::are_registrations_loaded() const {
    return registry_->is_loaded() &&
           std::all_of(node_watchers_.begin(), node_watchers_.end(),
                       [](const auto& w) { return w->is_loaded(); });
}

/// Returns the number of partitions in which nodes may register. Nodes use the
/// first one alone once the status says that the fleet is small.
int fleet_membership::published_node_partitions() const {
    const bool is_small = status_ && !is_fleet_view() &&
                          chosen_source_ != view_source::fleet_view;
    return is_small ? 1 : settings_.layout.nodes_partition_count();
}

void fleet_membership::publish() {
    follow_registrations(published_node_partitions());
    publisher_->publish();
    if (!publisher_->is_loaded() || !are_registrations_loaded()) {
        return;
    }
    if (!are_registrations_current()) {
        mark_registrations_stale();
    } else if (std::exchange(registrations_stale_, false)) {
        nodes_.restart_expiry(registrations_stale_since_);
    }
    if (chosen_source_ == view_source::fleet_view) {
        publisher_->start_all();
        if (!publisher_->is_loaded()) {
            return;
        }
        if (!std::exchange(all_offered_, true)) {
            offer_all();
        }
        if (!registrations_stale_ &&
            clock_.now() - nodes_offered_at_ >= node_comparison_interval_ms) {
            offer_nodes();
        }
    }
    offer_configuration();
    publish_status();
}

void fleet_membership::offer_all() {
    for (const auto& row : servers_.rows()) {
        offer_server(row.first);
    }
    offer_nodes();
    publisher_->remove_unset();
}

void fleet_membership::offer_server(const samplers::sampler_id& id) {
    if (!publisher_ || chosen_source_ != view_source::fleet_view ||
        !all_offered_) {
        return;
    }
    const auto key = view_layout::server_key(id);
    const auto* row = servers_.find(id);
    if (row == nullptr) {
        publisher_->remove(key);
        return;
    }
    const auto& r = row->registered;
    publisher_->move(key, settings_.layout.server_partition(r.service, r.zone),
                     encode_server(r));
}

/// Lists the nodes that are alive, and removes the others from the list.
void fleet_membership::offer_nodes() {
    nodes_offered_at_ = clock_.now();
    for (const auto& [name, row] : nodes_.rows()) {
        const auto key = view_layout::node_key(name);
        const auto offered = offered_nodes_.find(name);
        if (!nodes_.is_alive(name)) {
            if (offered != offered_nodes_.end()) {
                offered_nodes_.erase(offered);
            }
            publisher_->set(0, key, std::nullopt);
        } else if (offered == offered_nodes_.end() ||
                   !has_same_listing(offered->second, row.entry)) {
            offered_nodes_[name] = row.entry;
            publisher_->set(0, key, encode_listed_node(row.entry));
        }
    }
}

void fleet_membership::publish_status() {
    const auto now = clock_.now();
    const bool is_first_of_fleet = !status_;
    if (is_first_of_fleet && now - publishing_since_ < counting_ms) {
        return;
    }
    const auto interval_ms = chosen_source_ == view_source::fleet_view
                                 ? view_status_interval_ms
                                 : registrations_status_interval_ms;
    if (status_published_at_ != 0 && now - status_published_at_ < interval_ms) {
        return;
    }
    chosen_source_ = choose_source();
    const bool is_announced = status_ && status_->source == *chosen_source_;
    if (chosen_source_ == view_source::fleet_view &&
        (!all_offered_ || (!is_announced && !publisher_->is_complete()))) {
        return;
    }
    status_published_at_ = now;
    ++status_sequence_;
    publisher_->set(0, status_key, encode_status(make_status(*chosen_source_)));
}

/// Returns the source that the nodes should follow: the present one, unless
/// another one has been better for some time.
view_source fleet_membership::choose_source() {
    const fleet_size size{
        nodes_.count_alive(), static_cast<int>(servers_.rows().size()),
        registry_->mean_record_bytes(), settings_.server_renewal_ms};
    if (!chosen_source_ && !status_) {
        return choose_view_source(view_source::fleet_view, size,
                                  settings_.capacity);
    }
    const auto current = chosen_source_ ? *chosen_source_ : status_->source;
    const auto better = choose_view_source(current, size, settings_.capacity);
    const auto now = clock_.now();
    if (better == current || registrations_stale_) {
        other_source_since_ = 0;
        return current;
    }
    if (other_source_since_ == 0) {
        other_source_since_ = now;
    }
    const auto delay_ms = better == view_source::fleet_view
                              ? start_publishing_delay_ms
                              : stop_publishing_delay_ms;
    return now - other_source_since_ >= delay_ms ? better : current;
}

fleet_status fleet_membership::make_status(view_source source) const {
    fleet_status s;
    s.publisher = settings_.node;
    s.sequence = status_sequence_;
    s.source = source;
    s.nodes = nodes_.count_alive();
    s.configuration_age_ms = callbacks_.configuration_age();
    for (const auto& row : servers_.rows()) {
        const auto& r = row.second.registered;
        if (!r.draining) {
            ++s.servers[r.service][r.zone];
        }
    }
    if (source == view_source::fleet_view && callbacks_.levels) {
        s.levels = callbacks_.levels();
    }
    const auto now = clock_.now();
    for (const auto& [node, heard] : heard_times_) {
        if (s.true_times.size() < max_true_times && nodes_.is_alive(node)) {
            s.true_times[node] = heard.true_time + (now - heard.received_at);
        }
    }
    return s;
}

} // namespace hibiscus::membership
