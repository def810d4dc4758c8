#include "hibiscus/membership/fleet_membership.hpp"

#include "hibiscus/base/result.hpp"

#include <algorithm>
#include <utility>

namespace hibiscus::membership {

namespace {

/// Interval between two updates of the role, in ms.
constexpr base::millis update_interval_ms = 100;

/// Interval between two reads of the node registrations, in ms. Each renewal
/// completes the pending reads of all nodes. If they read again at once, the
/// nodes together would saturate the store.
constexpr base::millis node_poll_interval_ms = 400;

/// How long a read of the fleet view waits in a small fleet, in ms. Only the
/// status record changes there.
constexpr base::millis idle_view_wait_ms = 2500;

/// Interval between two reads of the view at its publisher, in ms.
constexpr base::millis publisher_view_interval_ms = 100;

/// Share of the store's reads that one partition may take which all nodes
/// follow, and that the journal may take, which the nodes with callers follow.
constexpr double view_share_of_reads = 1.0 / 16;
constexpr double journal_share_of_reads = 1.0 / 8;

constexpr base::millis min_view_interval_ms = 300;

constexpr base::millis max_journal_interval_ms = 250;

/// Silence of the publisher after which a node reads the configuration from the
/// store, in ms.
constexpr base::millis configuration_silence_ms = 3000;

/// A publisher that was silent for this long may have to be replaced by any
/// node, in ms. Nodes with callers replace it after about a second.
constexpr base::millis replacement_silence_ms = 4000;

/// Silence of the publisher after which a node follows the registrations, and
/// the maximum random part of it, in ms. If all nodes of a large fleet did so
/// at once, the store would serve none of them.
constexpr base::millis fallback_silence_ms = 12000;
constexpr base::millis max_fallback_jitter_ms = 12000;

/// Silence after which a small node of a fleet without any view follows the
/// journal, in ms, so that a larger node may publish first.
constexpr base::millis first_publisher_wait_ms = 2000;

/// CPU share from which a node follows the journal of a new fleet at once, in
/// cores.
constexpr double min_first_publisher_cpu_share = 0.25;

/// Age of the publisher's status from which its shares are old, in ms: some
/// times its interval.
constexpr base::millis max_levels_age_ms = 4000;

/// A service with fewer servers in an availability zone is followed in all
/// zones.
constexpr int min_servers_in_zone = 16;

} // namespace

fleet_membership::fleet_membership(
    membership_settings settings, samplers::sampler_table& servers,
    telemetry::event_log& log, const store::log_store& log_store,
    base::clock clock, store::run_after_function run_after,
    double random_fraction, membership_callbacks callbacks)
    : settings_(std::move(settings)), servers_(servers), log_(log),
      log_store_(log_store), clock_(std::move(clock)),
      run_after_(std::move(run_after)), callbacks_(std::move(callbacks)),
      nodes_(clock_, settings_.node, settings_.features),
      registration_order_(clock_),
      fallback_jitter_ms_(static_cast<base::millis>(
          random_fraction * static_cast<double>(max_fallback_jitter_ms))),
      random_(static_cast<std::minstd_rand::result_type>(
          random_fraction * std::minstd_rand::max())),
      view_watcher_(
          log_store, settings_.layout.status_partition(), clock_, run_after_,
          {min_view_interval_ms, store::watcher_times().retry_delay_ms,
           [this] { return vary(view_read_interval()); }},
          {[this](const auto& changes) { apply_view_changes(changes); },
           [this](bool reachable) {
               if (reachable) {
                   store_reachable_since_ = clock_.now();
               }
               log_.write("dependency", {{"name", "store"}, {"up", reachable}});
           }}) {}

void fleet_membership::start() {
    started_at_ = clock_.now();
    view_watcher_.start();
    renew_registration();
    update();
}

void fleet_membership::announce_shutdown() {
    stopping_ = true;
    renew_registration();
}

void fleet_membership::set_publishing(bool publishing) {
    publishing_ = publishing;
    update_role();
}

void fleet_membership::set_services(std::set<samplers::service_name> services) {
    services_ = std::move(services);
}

bool fleet_membership::is_loaded() const {
    if (registry_ && registry_->is_loaded()) {
        return true;
    }
    return server_view_ && services_ && status_ && server_view_->is_loaded();
}

bool fleet_membership::is_fleet_view() const {
    return status_ && status_->source == view_source::fleet_view;
}

const std::vector<const service_demands*>* fleet_membership::other_demands() {
    const bool follows_all = role_ == membership_role::registrations ||
                             role_ == membership_role::publishing;
    if (!follows_all || !are_registrations_current()) {
        return nullptr;
    }
    other_demands_.clear();
    for (const auto& [name, row] : nodes_.rows()) {
        if (name != settings_.node && !row.entry.demands.empty() &&
            nodes_.is_alive(name)) {
            other_demands_.push_back(&row.entry.demands);
        }
    }
    return &other_demands_;
}

const service_levels* fleet_membership::published_levels() const {
    const bool is_current = role_ == membership_role::fleet_view && status_ &&
                            clock_.now() - status_at_ <= max_levels_age_ms;
    return is_current ? &status_->levels : nullptr;
}

bool fleet_membership::is_publishing_view() const {
    return role_ == membership_role::publishing && is_fleet_view();
}

void fleet_membership::set_configuration(const std::string& text) {
    own_configuration_ = compress(text);
    offer_configuration();
}

bool fleet_membership::needs_configuration() const {
    if (role_ == membership_role::fleet_view) {
        return listed_configuration_.empty() ||
               publisher_silence() >=
                   configuration_silence_ms + fallback_jitter_ms_ / 10;
    }
    return role_ != membership_role::waiting || view_watcher_.is_loaded();
}

base::millis
fleet_membership::journal_read_interval(base::millis min_ms) const {
    if (!is_fleet_view()) {
        return min_ms;
    }
    return follow_interval(caller_facing_nodes_, settings_.capacity,
                           journal_share_of_reads, min_ms,
                           max_journal_interval_ms);
}

base::millis fleet_membership::view_read_interval() const {
    if (publishing_) {
        return publisher_view_interval_ms;
    }
    return follow_interval(status_ ? status_->nodes : 0, settings_.capacity,
                           view_share_of_reads, min_view_interval_ms,
                           settings_.max_follow_interval_ms);
}

/// The nodes of a large fleet read without waiting. A change would complete the
/// waiting reads of all nodes at the same time, and while the store sends them
/// megabytes, it serves nobody else.
base::millis fleet_membership::view_read_wait() const {
    if (role_ == membership_role::fleet_view) {
        return 0;
    }
    return status_ && !is_fleet_view() ? idle_view_wait_ms
                                       : min_view_interval_ms;
}

base::millis fleet_membership::vary(base::millis interval_ms) {
    return std::uniform_int_distribution<base::millis>(
        interval_ms * 3 / 4, interval_ms * 5 / 4)(random_);
}

/// Returns how long the publisher has shown no sign of life, as far as the
/// store was reachable.
base::millis fleet_membership::publisher_silence() const {
    return view_watcher_.current_as_of() - (status_ ? status_at_ : started_at_);
}

membership_role fleet_membership::choose_role() const {
    if (publishing_) {
        return membership_role::publishing;
    }
    if (status_ && status_->source == view_source::registrations) {
        return membership_role::registrations;
    }
    if (publisher_silence() >= fallback_silence_ms + fallback_jitter_ms_) {
        return membership_role::registrations;
    }
    return status_ ? membership_role::fleet_view : membership_role::waiting;
}

void fleet_membership::update() {
    update_role();
    view_as_of_ = view_watcher_.current_as_of();
    view_watcher_.set_read_wait(view_read_wait());
    if (role_ == membership_role::fleet_view) {
        follow_view();
    } else if (role_ == membership_role::publishing) {
        publish();
    }
    update_journal_need();
    run_after_(update_interval_ms, [this] { update(); });
}

void fleet_membership::update_role() {
    const auto next = choose_role();
    if (next != role_) {
        enter(next);
    }
}

void fleet_membership::enter(membership_role next) {
    log_.write("membership", {{"role", base::name_of(next)},
                              {"before", base::name_of(role_)},
                              {"publisher", status_ ? status_->publisher : ""},
                              {"silent_ms", publisher_silence()}});
    role_ = next;
    publisher_.reset();
    switch (next) {
    case membership_role::waiting:
        break;
    case membership_role::registrations:
        follow_registrations(1);
        server_view_.reset();
        break;
    case membership_role::fleet_view:
        node_watchers_.clear();
        nodes_.set_expiry_enabled(false);
        nodes_.clear();
        for (const auto& [name, entry] : listed_nodes_) {
            nodes_.put(name, entry);
        }
        apply_configuration();
        follow_view();
        break;
    case membership_role::publishing:
        start_publishing();
        follow_registrations(published_node_partitions());
        server_view_.reset();
        break;
    }
    update_journal_need();
}

/// Follows all server registrations and the node registrations of the first
/// `node_partitions` partitions.
void fleet_membership::follow_registrations(int node_partitions) {
    nodes_.set_expiry_enabled(true);
    if (!registry_) {
        registry_ = std::make_unique<server_registry>(
            servers_, registration_order_, log_, log_store_,
            settings_.server_registrations, clock_, run_after_,
            store_reachable_since_,
            registry_callbacks{callbacks_.decode_server,
                               [this](const auto& id) { offer_server(id); },
                               [this] { all_offered_ = false; }});
        registry_->start();
    }
    node_watchers_.resize(std::min(node_watchers_.size(),
                                   static_cast<std::size_t>(node_partitions)));
    while (static_cast<int>(node_watchers_.size()) < node_partitions) {
        const auto number = static_cast<int>(node_watchers_.size());
        store::watcher_callbacks callbacks;
        callbacks.on_changes = [this](const auto& changes) {
            apply_registrations(changes);
        };
        if (number == 0) {
            callbacks.on_reachable_changed = [this](bool reachable) {
                nodes_.set_store_reachable(reachable);
            };
        }
        node_watchers_.push_back(std::make_unique<store::partition_watcher>(
            log_store_, settings_.layout.nodes_partition(number), clock_,
            run_after_,
            store::watcher_times{store::watcher_times().read_wait_ms,
                                 store::watcher_times().retry_delay_ms,
                                 [] { return node_poll_interval_ms; }},
            std::move(callbacks)));
        node_watchers_.back()->start();
    }
}

void fleet_membership::follow_view() {
    if (!server_view_) {
        server_view_ = std::make_unique<server_view>(
            servers_, log_store_, settings_.layout, clock_, run_after_,
            [this] { return vary(view_read_interval()); });
    }
    if (!services_) {
        return;
    }
    server_view_->follow(wanted_partitions());
    if (registry_ && server_view_->is_loaded()) {
        registry_.reset();
    }
}

std::set<int> fleet_membership::wanted_partitions() const {
    std::set<int> partitions;
    for (const auto& service : *services_) {
        const auto zones = status_->servers.find(service);
        if (zones == status_->servers.end()) {
            continue;
        }
        const auto own = zones->second.find(settings_.own_entry.zone);
        const bool is_own_zone_enough =
            own != zones->second.end() && own->second >= min_servers_in_zone;
        for (const auto& row : zones->second) {
            if (!is_own_zone_enough || row.first == own->first) {
                partitions.insert(
                    settings_.layout.server_partition(service, row.first));
            }
        }
    }
    return partitions;
}

void fleet_membership::update_journal_need() {
    switch (role_) {
    case membership_role::publishing:
    case membership_role::registrations:
        needs_journal_ = true;
        return;
    case membership_role::waiting:
        needs_journal_ =
            settings_.own_entry.cpu_share >= min_first_publisher_cpu_share ||
            publisher_silence() >= first_publisher_wait_ms;
        return;
    case membership_role::fleet_view:
        break;
    }
    constexpr base::millis check_interval_ms = 1000;
    const auto now = clock_.now();
    if (now - journal_need_checked_at_ >= check_interval_ms) {
        journal_need_checked_at_ = now;
        caller_facing_nodes_ = nodes_.count_caller_facing();
        needs_journal_ = nodes_.is_caller_facing() ||
                         publisher_silence() >= replacement_silence_ms;
    }
}

void fleet_membership::renew_registration() {
    auto entry = settings_.own_entry;
    entry.stopping = stopping_;
    if (callbacks_.demands) {
        entry.demands = callbacks_.demands();
    }
    entry.renewal_ms =
        is_fleet_view()
            ? node_renewal_interval(status_->nodes, settings_.capacity)
            : node_entry().renewal_ms;
    const bool is_small_fleet = status_ && !is_fleet_view();
    const int partition =
        is_small_fleet
            ? 0
            : settings_.layout.registration_partition(settings_.node);
    log_store_.append(
        settings_.layout.nodes_partition(partition),
        {{settings_.node, encode_node({entry, callbacks_.true_time()})}},
        nullptr,
        [this, is_final = stopping_](const store::append_result& result) {
            on_renewed(is_final, result);
        });
    if (!stopping_) {
        run_after_(entry.renewal_ms, [this] {
            if (!stopping_) {
                renew_registration();
            }
        });
    }
}

/// The next renewal makes up for one that failed.
void fleet_membership::on_renewed(bool is_final,
                                  const store::append_result& result) {
    const bool failed = base::value_if(result) == nullptr;
    if (std::exchange(renewal_failed_, failed) != failed) {
        log_.write("registration",
                   {{"renewed", !failed}, {"stopping", is_final}});
    }
}

void fleet_membership::apply_view_changes(
    const std::vector<store::change>& changes) {
    for (const auto& c : changes) {
        if (c.key == status_key) {
            if (auto status =
                    c.value ? decode_status(*c.value) : std::nullopt) {
                apply_status(*status);
            }
            continue;
        }
        if (c.key == configuration_key) {
            listed_configuration_ = c.value.value_or("");
            apply_configuration();
            continue;
        }
        const auto name = view_layout::node_of_key(c.key);
        if (name.empty()) {
            continue;
        }
        const auto entry =
            c.value ? decode_listed_node(*c.value) : std::nullopt;
        if (entry) {
            listed_nodes_[name] = *entry;
        } else {
            listed_nodes_.erase(name);
        }
        if (role_ != membership_role::fleet_view) {
            continue;
        }
        if (entry) {
            nodes_.put(name, *entry);
        } else {
            nodes_.remove(name);
        }
    }
}

void fleet_membership::apply_configuration() {
    if (role_ != membership_role::fleet_view || listed_configuration_.empty()) {
        return;
    }
    if (const auto text = decompress(listed_configuration_)) {
        callbacks_.on_configuration(*text);
    } else {
        log_.write("record_skipped",
                   {{"topic", "fleet"}, {"key", configuration_key}});
    }
}

void fleet_membership::apply_status(const fleet_status& status) {
    if (!status_ || status_->publisher != status.publisher ||
        status_->source != status.source) {
        log_.write("fleet_status", {{"publisher", status.publisher},
                                    {"source", base::name_of(status.source)},
                                    {"nodes", status.nodes}});
    }
    const bool has_snapshot = view_as_of_ > 0;
    if (has_snapshot) {
        // The record was not in the partition at that time.
        configuration_as_of_ = view_as_of_ - status.configuration_age_ms;
    }
    status_ = status;
    status_at_ = clock_.now();
    if (role_ == membership_role::fleet_view) {
        for (const auto& [node, true_time] : status.true_times) {
            if (node != settings_.node) {
                callbacks_.on_peer_time(node, true_time);
            }
        }
    }
}

void fleet_membership::apply_registrations(
    const std::vector<store::change>& changes) {
    for (const auto& c : changes) {
        if (!c.value) {
            nodes_.remove(c.key);
            continue;
        }
        const auto renewal = decode_node(*c.value);
        if (!renewal) {
            log_.write("record_skipped", {{"topic", "nodes"}, {"key", c.key}});
            continue;
        }
        if (renewal->true_time > 0) {
            if (c.key != settings_.node) {
                callbacks_.on_peer_time(c.key, renewal->true_time);
            }
            heard_times_[c.key] = {renewal->true_time, clock_.now()};
        }
        // The last registration of a node that is gone stays in the store.
        if (role_ == membership_role::publishing && !nodes_.is_known(c.key) &&
            unconfirmed_nodes_.insert(c.key).second) {
            continue;
        }
        nodes_.put(c.key, renewal->entry);
    }
}

} // namespace hibiscus::membership
