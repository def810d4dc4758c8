#include "control_plane.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace hibiscus::node {

namespace {

constexpr base::millis tick_interval_ms = 20;
constexpr base::millis instance_list_interval_ms = 500;
constexpr base::millis log_timeout_ms = 6000;

cluster::claim_options claim_times_of(const settings& s) {
    cluster::claim_options times;
    times.append_interval = s.claim_window_ms;
    return times;
}

} // namespace

control_plane::control_plane(const control_dependencies& parts)
    : dependencies_(parts), self_(parts.config.node),
      incarnation_(static_cast<std::uint64_t>(parts.clock.wall_time())),
      timer_(parts.io), members_(self_, parts.config.member_timeout_ms),
      calls_(self_, parts.mesh, parts.io, parts.clock),
      config_(self_, parts.io, parts.log, parts.mesh, parts.logger,
              parts.counters, parts.clock, [this] { on_config_changed(); }),
      claims_(self_, incarnation_, claim_times_of(parts.config),
              static_cast<cluster::shard_number>(parts.config.claim_shards),
              parts.io, parts.log, parts.services, parts.logger, parts.counters,
              parts.clock),
      samples_(self_, parts.io, members_, calls_, parts.mesh, parts.log,
               parts.engines, parts.logger, parts.counters, parts.clock,
               [this]() -> const document::document* {
                   const auto* r = config_.in_force();
                   return r != nullptr ? &r->content : nullptr;
               }),
      started_at_(parts.clock.now()) {}

void control_plane::start() {
    boost::asio::post(dependencies_.io, [this] {
        config_.start();
        tick();
    });
}

void control_plane::tick() {
    // Armed before the work: an exception in one tick must not be the end of
    // all ticks, after which the node would look alive and follow nothing.
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
    if (now - heartbeat_at_ >= dependencies_.config.heartbeat_ms) {
        send_heartbeat();
    }
    for (const auto& gone : members_.remove_expired(now)) {
        dependencies_.logger.event(severity::warn, "member_gone",
                                   {{"member", gone.str()}});
        calls_.fail_calls_to(gone);
    }
    if (members_.generation() != generation_) {
        on_members_changed();
    }
    calls_.expire_calls();
    config_.tick(members_.is_home("config"));
    claims_.on_tick();
    samples_.tick();
    finish_drain();
}

void control_plane::send_heartbeat() {
    heartbeat_at_ = dependencies_.clock.now();
    const auto* config = config_.in_force();
    wire::heartbeat beat{self_,
                         incarnation_,
                         dependencies_.config.zone,
                         base::to_string(dependencies_.config.listen_callers),
                         base::to_string(dependencies_.config.listen_peers),
                         state_,
                         config != nullptr ? config->number : 0,
                         samples_.versions().all(),
                         samples_.engine_statuses()};
    members_.record_heartbeat(heartbeat_at_, beat);
    samples_.on_heartbeat(beat);
    for (const auto& i : instance_list_.instances) {
        if (i.role == wire::instance_role::entry && i.id != self_.str()) {
            dependencies_.mesh.send(base::node_id(i.id), beat);
        }
    }
    dependencies_.counters.set("members",
                               static_cast<double>(members_.all().size()));
}

void control_plane::fetch_instances() {
    fetching_instances_ = true;
    instances_fetched_at_ = dependencies_.clock.now();
    dependencies_.instances.fetch(
        [this](std::optional<wire::instance_list> page) {
            boost::asio::post(dependencies_.io, [this, p = std::move(page)] {
                fetching_instances_ = false;
                if (p) {
                    on_instance_list(*p);
                } else {
                    dependencies_.counters.count_event("instance_list_failed");
                }
            });
        });
}

void control_plane::on_instance_list(const wire::instance_list& page) {
    instance_list_ = page;
    std::map<base::node_id, base::endpoint> peers;
    for (const auto& i : page.instances) {
        const auto address = base::parse_endpoint(i.peer_address);
        if (i.role == wire::instance_role::entry && i.id != self_.str() &&
            address) {
            peers.emplace(base::node_id(i.id), *address);
        }
    }
    dependencies_.mesh.set_peers(std::move(peers));
    samples_.update_instances(page);
    publish_view();
}

void control_plane::on_members_changed() {
    generation_ = members_.generation();
    claims_.assign_shards(members_);
    samples_.assign_homes();
    publish_view();
}

void control_plane::on_config_changed() {
    claims_.set_claim_retention(
        config_.in_force()->content.limit.claim_window_ms);
    samples_.assign_homes();
    update_state();
    publish_view();
}

bool control_plane::is_isolated() const {
    const auto now = dependencies_.clock.now();
    const auto heard = std::max(config_.log_responded_at(), started_at_);
    if (now - heard <= log_timeout_ms) {
        return false;
    }
    const auto entries = std::count_if(
        instance_list_.instances.begin(), instance_list_.instances.end(),
        [](const wire::instance& i) {
            return i.role == wire::instance_role::entry &&
                   i.state == wire::instance_state::live;
        });
    return static_cast<std::ptrdiff_t>(members_.all().size()) * 2 <= entries;
}

void control_plane::update_state() {
    auto next = state_;
    if (state_ != wire::node_state::draining) {
        if (config_.in_force() == nullptr) {
            next = wire::node_state::starting;
        } else {
            // A node that sees neither the log nor most peers cannot know
            // whether its document is still in force, and callers would be
            // served by rules that are over.
            next = is_isolated() ? wire::node_state::isolated
                                 : wire::node_state::ready;
        }
    }
    if (next != state_) {
        dependencies_.logger.event(
            severity::info, "state",
            {{"state", std::string(base::name_of(next))}});
        state_ = next;
        send_heartbeat();
        publish_view();
    }
}

void control_plane::publish_view() {
    auto v = std::make_shared<routing_view>();
    v->state = state_;
    if (const auto* config = config_.in_force()) {
        const auto old = dependencies_.shared.get()->config;
        v->config = old && old->number == config->number
                        ? old
                        : std::make_shared<document::revision>(*config);
    }
    for (const auto& [node, row] : members_.all()) {
        if (row.heartbeat.state == wire::node_state::ready) {
            v->entries.push_back(
                {node, row.heartbeat.zone, row.heartbeat.address});
        }
    }
    std::stable_partition(v->entries.begin(), v->entries.end(),
                          [&](const wire::entry_address& e) {
                              return e.zone == dependencies_.config.zone;
                          });
    for (const auto& i : instance_list_.instances) {
        if (i.role == wire::instance_role::service &&
            i.state == wire::instance_state::live) {
            v->services[base::service_id(i.group)].push_back(
                {i.id, i.address, i.zone});
        }
    }
    dependencies_.shared.publish(std::move(v));
}

void control_plane::drain(std::function<void()> done) {
    boost::asio::post(dependencies_.io, [this, d = std::move(done)] {
        const auto* config = config_.in_force();
        const auto ttl =
            config != nullptr ? config->content.limit.entries_ttl_ms : 0;
        on_drained_ = d;
        // Callers keep the old answer of GET /v1/entries for its time to
        // live; one that came in the last moment must still find this node.
        drain_until_ = dependencies_.clock.now() + ttl +
                       dependencies_.config.member_timeout_ms;
        state_ = wire::node_state::draining;
        dependencies_.logger.event(severity::info, "state",
                                   {{"state", "draining"}});
        send_heartbeat();
        publish_view();
    });
}

void control_plane::finish_drain() {
    if (on_drained_ && dependencies_.clock.now() >= drain_until_ &&
        claims_.pending_count() == 0) {
        std::exchange(on_drained_, nullptr)();
    }
}

} // namespace hibiscus::node
