#pragma once

#include "hibiscus/membership/fleet_load.hpp"
#include "hibiscus/membership/node_table.hpp"
#include "hibiscus/membership/records.hpp"
#include "hibiscus/membership/server_registry.hpp"
#include "hibiscus/membership/server_view.hpp"
#include "hibiscus/membership/view_layout.hpp"
#include "hibiscus/membership/view_publisher.hpp"
#include "hibiscus/store/partition_watcher.hpp"
#include "hibiscus/telemetry/event_log.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hibiscus::membership {

/// What a node follows.
enum class membership_role {
    /// Nothing yet; it is not known whether the fleet is large.
    waiting,
    /// All registrations, in a small fleet or without a publisher.
    registrations,
    /// The fleet view.
    fleet_view,
    /// All registrations, to publish the fleet view.
    publishing,
};

/// Settings of a fleet_membership.
struct membership_settings {
    std::string node;
    node_entry own_entry;
    store::partition server_registrations;
    view_layout layout;
    store_capacity capacity;
    /// Interval between two renewals of a server, in ms.
    base::millis server_renewal_ms = 1200;
    /// Upper bound of the interval between two reads of the fleet view, in ms.
    base::millis max_follow_interval_ms = 500;
    std::size_t max_append_bytes = 2097152;
    base::feature_set features;
};

/// What a fleet_membership needs of the process.
struct membership_callbacks {
    /// Decodes the registration of a server.
    std::function<std::optional<samplers::registration>(const std::string&)>
        decode_server;
    /// Returns the estimate of the time of day, in ms since the Unix epoch.
    std::function<base::millis()> true_time;
    /// Called with the estimate of another node.
    std::function<void(const std::string& node, base::millis true_time)>
        on_peer_time;
    /// Called with the configuration that the publisher has passed on.
    std::function<void(const std::string&)> on_configuration;
    /// Returns the age of this node's own view of the configuration, in ms.
    std::function<base::millis()> configuration_age;
    /// Returns what this node wants of services. May be empty.
    std::function<service_demands()> demands = nullptr;
    /// Returns the shares that this node publishes. May be empty.
    std::function<service_levels()> levels = nullptr;
};

/// Knows the nodes of the fleet and the backend servers, and announces this
/// node to the others.
///
/// In a small fleet each node follows all registrations in the store. In a
/// large one only the publisher does. It publishes the fleet view, which
/// changes only if a node or a server comes, changes or goes; the other nodes
/// follow the list of nodes and the servers that they use. The publisher
/// chooses between the two and says so in the status record of the view.
class fleet_membership {
public:
    fleet_membership(membership_settings settings,
                     samplers::sampler_table& servers,
                     telemetry::event_log& log,
                     const store::log_store& log_store, base::clock clock,
                     store::run_after_function run_after,
                     double random_fraction, membership_callbacks callbacks);

    /// Starts to follow the fleet and to announce this node.
    void start();

    /// Announces that this node is stopping.
    void announce_shutdown();

    /// Sets whether this node publishes the fleet view. Exactly one node
    /// should; two do no lasting harm.
    void set_publishing(bool publishing);

    /// Sets the services whose servers this node uses.
    void set_services(std::set<samplers::service_name> services);

    const node_table& nodes() const { return nodes_; }

    /// Returns what the other nodes want of services, or nullptr if this node
    /// does not know it.
    const std::vector<const service_demands*>* other_demands();

    /// Returns the shares that the publisher passes on, or nullptr if this node
    /// does not follow the fleet view or the view is old.
    const service_levels* published_levels() const;

    /// Returns true if this node publishes the fleet view to other nodes.
    bool is_publishing_view() const;

    /// Returns true once the backend servers are known.
    bool is_loaded() const;

    /// Returns true if this node should follow the journal of the jobs: callers
    /// are directed to it, or the publisher has been silent, so that another
    /// node may have to replace it.
    bool needs_journal() const { return needs_journal_; }

    /// Sets the configuration that this node passes on if it publishes.
    void set_configuration(const std::string& text);

    /// Returns true if this node should read the configuration from the store
    /// because no publisher passes it on.
    bool needs_configuration() const;

    /// Returns the latest time for which the configuration that the publisher
    /// passed on is known to be current; 0 if never.
    base::millis configuration_as_of() const { return configuration_as_of_; }

    /// Returns the interval between two reads of the journal, in ms, but not
    /// less than `min_ms`.
    base::millis journal_read_interval(base::millis min_ms) const;

private:
    membership_role choose_role() const;
    bool is_fleet_view() const;
    base::millis publisher_silence() const;
    base::millis view_read_interval() const;
    base::millis view_read_wait() const;
    /// Returns a value that differs from the interval by up to a quarter, so
    /// that the nodes don't read at the same time.
    base::millis vary(base::millis interval_ms);
    void update();
    void update_role();
    void enter(membership_role next);
    void follow_registrations(int node_partitions);
    void follow_view();
    std::set<int> wanted_partitions() const;
    void update_journal_need();

    void renew_registration();
    void on_renewed(bool is_final, const store::append_result& result);
    void apply_view_changes(const std::vector<store::change>& changes);
    void apply_configuration();
    void apply_status(const fleet_status& status);
    void apply_registrations(const std::vector<store::change>& changes);

    void start_publishing();
    int published_node_partitions() const;
    bool are_registrations_loaded() const;
    bool are_registrations_current() const;
    base::millis registrations_current_as_of() const;
    void mark_registrations_stale();
    void offer_configuration();
    view_source choose_source();
    void publish();
    void offer_all();
    void offer_server(const samplers::sampler_id& id);
    void offer_nodes();
    void publish_status();
    fleet_status make_status(view_source source) const;

    membership_settings settings_;
    samplers::sampler_table& servers_;
    telemetry::event_log& log_;
    const store::log_store& log_store_;
    base::clock clock_;
    store::run_after_function run_after_;
    membership_callbacks callbacks_;
    node_table nodes_;
    registration_order registration_order_;

    membership_role role_ = membership_role::waiting;
    base::millis started_at_ = 0;
    /// Random part of the silence of the publisher after which this node
    /// follows the registrations, in ms.
    base::millis fallback_jitter_ms_;
    std::minstd_rand random_;
    bool stopping_ = false;
    bool renewal_failed_ = false;
    bool publishing_ = false;
    bool needs_journal_ = false;
    base::millis journal_need_checked_at_ = 0;
    int caller_facing_nodes_ = 0;
    std::optional<std::set<samplers::service_name>> services_;

    base::millis store_reachable_since_ = 0;
    store::partition_watcher view_watcher_;
    std::optional<fleet_status> status_;
    base::millis status_at_ = 0;
    /// The time until which the view was known to be current before the last
    /// read.
    base::millis view_as_of_ = 0;
    base::millis configuration_as_of_ = 0;
    /// Compressed, as the publisher passes it on; empty if it does not.
    std::string listed_configuration_;
    /// The configuration that this node passes on, compressed.
    std::string own_configuration_;
    /// The nodes that the fleet view lists.
    std::map<std::string, node_entry> listed_nodes_;

    std::unique_ptr<server_registry> registry_;
    std::vector<std::unique_ptr<store::partition_watcher>> node_watchers_;
    std::unique_ptr<server_view> server_view_;

    std::unique_ptr<view_publisher> publisher_;
    base::millis publishing_since_ = 0;
    base::millis status_published_at_ = 0;
    std::int64_t status_sequence_ = 0;
    /// The source that this publisher has chosen.
    std::optional<view_source> chosen_source_;
    /// Since when another source would be better; 0 if it is not.
    base::millis other_source_since_ = 0;
    /// True while the renewals of the nodes can't be read.
    bool registrations_stale_ = false;
    base::millis registrations_stale_since_ = 0;
    bool all_offered_ = false;
    base::millis nodes_offered_at_ = 0;
    std::map<std::string, node_entry> offered_nodes_;
    /// Nodes of which only one registration was seen.
    std::set<std::string> unconfirmed_nodes_;
    std::vector<const service_demands*> other_demands_;
    struct heard_time {
        base::millis true_time = 0;
        base::millis received_at = 0;
    };
    std::map<std::string, heard_time> heard_times_;
};

} // namespace hibiscus::membership

namespace hibiscus::base {

template <>
struct enum_names<membership::membership_role> {
    using role = membership::membership_role;
    static constexpr std::array<enum_name<role>, 4> table{{
        {role::waiting, "waiting"},
        {role::registrations, "registrations"},
        {role::fleet_view, "fleet_view"},
        {role::publishing, "publishing"},
    }};
};

} // namespace hibiscus::base
