#include "control_plane.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace hibiscus::node {

namespace {

constexpr base::millis tick_interval_ms = 20;
constexpr base::millis instance_list_interval_ms = 500;
/// Time without a successful read of the log after which the log counts as
/// unreachable.
constexpr base::millis log_timeout_ms = 6000;

cluster::claim_options make_claim_options(const settings& s) {
    cluster::claim_options options;
    options.append_interval = s.claim_window_ms;
    return options;
}

} // namespace

control_plane::control_plane(const control_dependencies& dependencies)
    : dependencies_(dependencies), self_(dependencies.node_settings.node),
      incarnation_(static_cast<std::uint64_t>(dependencies.clock.wall_time())),
      timer_(dependencies.control_io),
      members_(self_, dependencies.node_settings.member_timeout_ms),
      peer_rpc_client_(self_, dependencies.mesh, dependencies.control_io,
                       dependencies.clock),
      config_watcher_(self_, dependencies.control_io, dependencies.log,
                      dependencies.mesh, dependencies.logger,
                      dependencies.counters, dependencies.clock,
                      [this] { on_config_changed(); }),
      claim_driver_(
          self_, incarnation_, make_claim_options(dependencies.node_settings),
          static_cast<cluster::shard_number>(
              dependencies.node_settings.claim_shards),
          dependencies.control_io, dependencies.log, dependencies.services,
          dependencies.logger, dependencies.counters, dependencies.clock),
      sample_driver_(
          self_, dependencies.control_io, members_, peer_rpc_client_,
          dependencies.mesh, dependencies.log, dependencies.engines,
          dependencies.logger, dependencies.counters, dependencies.clock,
          [this]() -> const document::document* {
              const auto* revision = config_watcher_.in_force();
              return revision != nullptr ? &revision->content : nullptr;
          }),
      started_at_(dependencies.clock.now()) {}

void control_plane::start() {
    boost::asio::post(dependencies_.control_io, [this] {
        config_watcher_.start();
        tick();
    });
}

void control_plane::tick() {
    // The timer is armed before the other work: if an exception in one tick
    // prevented all later ticks, the node would appear alive but would follow
    // neither the log nor its peers.
    timer_.expires_after(std::chrono::milliseconds(tick_interval_ms));
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
    const auto now = dependencies_.clock.now();
    if (now - instances_fetched_at_ >= instance_list_interval_ms &&
        !fetching_instances_) {
        fetch_instances();
    }
    update_state();
    if (now - heartbeat_at_ >= dependencies_.node_settings.heartbeat_ms) {
        send_heartbeat();
    }
    for (const auto& member : members_.remove_expired(now)) {
        dependencies_.logger.event(severity::warn, "member_gone",
                                   {{"member", member.str()}});
        peer_rpc_client_.fail_calls_to(member);
    }
    if (members_.generation() != generation_) {
        on_members_changed();
    }
    peer_rpc_client_.expire_calls();
    config_watcher_.tick(members_.is_home("config"));
    claim_driver_.tick();
    sample_driver_.tick();
    finish_drain();
}

void control_plane::send_heartbeat() {
    heartbeat_at_ = dependencies_.clock.now();
    const auto* revision = config_watcher_.in_force();
    wire::heartbeat heartbeat{
        self_,
        incarnation_,
        dependencies_.node_settings.zone,
        base::to_string(dependencies_.node_settings.listen_callers),
        base::to_string(dependencies_.node_settings.listen_peers),
        state_,
        revision != nullptr ? revision->number : 0,
        sample_driver_.versions().all(),
        sample_driver_.engine_statuses()};
    members_.record_heartbeat(heartbeat_at_, heartbeat);
    sample_driver_.on_heartbeat(heartbeat);
    for (const auto& instance : instance_list_.instances) {
        if (instance.role == wire::instance_role::entry &&
            instance.id != self_.str()) {
            dependencies_.mesh.send(base::node_id(instance.id), heartbeat);
        }
    }
    dependencies_.counters.set("members",
                               static_cast<double>(members_.all().size()));
}

void control_plane::fetch_instances() {
    fetching_instances_ = true;
    instances_fetched_at_ = dependencies_.clock.now();
    dependencies_.instances.fetch([this](
                                      std::optional<wire::instance_list> list) {
        boost::asio::post(
            dependencies_.control_io, [this, list = std::move(list)] {
                fetching_instances_ = false;
                if (list) {
                    on_instance_list(*list);
                } else {
                    dependencies_.counters.count_event("instance_list_failed");
                }
            });
    });
}

void control_plane::on_instance_list(const wire::instance_list& list) {
    instance_list_ = list;
    std::map<base::node_id, base::endpoint> peers;
    for (const auto& instance : list.instances) {
        const auto address = base::parse_endpoint(instance.peer_address);
        if (instance.role == wire::instance_role::entry &&
            instance.id != self_.str() && address) {
            peers.emplace(base::node_id(instance.id), *address);
        }
    }
    dependencies_.mesh.set_peers(std::move(peers));
    sample_driver_.update_instances(list);
    publish_view();
}

void control_plane::on_members_changed() {
    generation_ = members_.generation();
    claim_driver_.assign_shards(members_);
    sample_driver_.assign_homes();
    publish_view();
}

void control_plane::on_config_changed() {
    claim_driver_.set_claim_retention(
        config_watcher_.in_force()->content.limit.claim_window_ms);
    sample_driver_.assign_homes();
    update_state();
    publish_view();
}

bool control_plane::is_isolated() const {
    const auto now = dependencies_.clock.now();
    const auto last_response_at =
        std::max(config_watcher_.log_responded_at(), started_at_);
    if (now - last_response_at <= log_timeout_ms) {
        return false;
    }
    const auto live_entries = std::count_if(
        instance_list_.instances.begin(), instance_list_.instances.end(),
        [](const wire::instance& instance) {
            return instance.role == wire::instance_role::entry &&
                   instance.state == wire::instance_state::live;
        });
    return static_cast<std::ptrdiff_t>(members_.all().size()) * 2 <=
           live_entries;
}

void control_plane::update_state() {
    auto next_state = state_;
    if (state_ != wire::node_state::draining) {
        if (config_watcher_.in_force() == nullptr) {
            next_state = wire::node_state::starting;
        } else {
            // A node that can reach neither the log nor a majority of its peers
            // cannot know whether its document is still in force. It is
            // isolated and rejects requests, so that callers are not served
            // according to an outdated document.
            next_state = is_isolated() ? wire::node_state::isolated
                                       : wire::node_state::ready;
        }
    }
    if (next_state != state_) {
        dependencies_.logger.event(
            severity::info, "state",
            {{"state", std::string(base::name_of(next_state))}});
        state_ = next_state;
        send_heartbeat();
        publish_view();
    }
}

void control_plane::publish_view() {
    auto view = std::make_shared<routing_view>();
    view->state = state_;
    if (const auto* revision = config_watcher_.in_force()) {
        const auto published = dependencies_.shared.get()->revision;
        view->revision = published && published->number == revision->number
                             ? published
                             : std::make_shared<document::revision>(*revision);
    }
    for (const auto& [node, member] : members_.all()) {
        if (member.heartbeat.state == wire::node_state::ready) {
            view->entries.push_back(
                {node, member.heartbeat.zone, member.heartbeat.address});
        }
    }
    std::stable_partition(view->entries.begin(), view->entries.end(),
                          [&](const wire::entry_address& entry) {
                              return entry.zone ==
                                     dependencies_.node_settings.zone;
                          });
    for (const auto& instance : instance_list_.instances) {
        if (instance.role == wire::instance_role::service &&
            instance.state == wire::instance_state::live) {
            view->services[base::service_id(instance.group)].push_back(
                {instance.id, instance.address, instance.zone});
        }
    }
    dependencies_.shared.publish(std::move(view));
}

void control_plane::drain(std::function<void()> done) {
    boost::asio::post(dependencies_.control_io, [this, done = std::move(done)] {
        const auto* revision = config_watcher_.in_force();
        const auto ttl =
            revision != nullptr ? revision->content.limit.entries_ttl_ms : 0;
        on_drained_ = done;
        // Callers cache the response to GET /v1/entries for its time to live.
        // This node must stay available to a caller that fetched a list with
        // this node just before the other nodes removed it.
        drain_until_ = dependencies_.clock.now() + ttl +
                       dependencies_.node_settings.member_timeout_ms;
        state_ = wire::node_state::draining;
        dependencies_.logger.event(severity::info, "state",
                                   {{"state", "draining"}});
        send_heartbeat();
        publish_view();
    });
}

void control_plane::finish_drain() {
    if (on_drained_ && dependencies_.clock.now() >= drain_until_ &&
        claim_driver_.pending_count() == 0) {
        std::exchange(on_drained_, nullptr)();
    }
}

} // namespace hibiscus::node
