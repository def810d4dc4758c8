#include "control.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace hibiscus::node {

namespace {

constexpr base::millis tick_ms = 20;
constexpr base::millis list_ms = 500;
constexpr base::millis log_silence = 6000;

cluster::claim_times claim_times_of(const settings& s) {
    cluster::claim_times times;
    times.window = s.claim_window_ms;
    return times;
}

} // namespace

control::control(const control_parts& parts)
    : parts_(parts), self_(parts.config.node),
      incarnation_(static_cast<std::uint64_t>(parts.clock.wall())),
      timer_(parts.io), members_(self_, parts.config.member_timeout_ms),
      calls_(self_, parts.mesh, parts.io, parts.clock),
      config_(self_, parts.io, parts.log, parts.mesh, parts.lines,
              parts.counters, parts.clock, [this] { config_changed(); }),
      claims_(self_, incarnation_, claim_times_of(parts.config),
              static_cast<cluster::shard_number>(parts.config.claim_shards),
              parts.io, parts.log, parts.services, parts.lines, parts.counters,
              parts.clock),
      samples_(self_, parts.io, members_, calls_, parts.mesh, parts.log,
               parts.engines, parts.lines, parts.counters, parts.clock,
               [this]() -> const document::document* {
                   const auto* r = config_.in_force();
                   return r != nullptr ? &r->content : nullptr;
               }),
      started_at_(parts.clock.now()) {}

void control::start() {
    boost::asio::post(parts_.io, [this] {
        config_.start();
        tick();
    });
}

void control::tick() {
    // Armed before the work: an exception in one tick must not be the end of
    // all ticks, after which the node would look alive and follow nothing.
    timer_.expires_after(std::chrono::milliseconds(tick_ms));
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
    const auto now = parts_.clock.now();
    if (now - listed_at_ >= list_ms && !listing_) {
        fetch_instances();
    }
    refresh_state();
    if (now - beat_at_ >= parts_.config.heartbeat_ms) {
        heartbeat();
    }
    for (const auto& gone : members_.expire(now)) {
        parts_.lines.event(severity::warn, "member_gone",
                           {{"member", gone.str()}});
        calls_.gone(gone);
    }
    if (members_.generation() != generation_) {
        members_changed();
    }
    calls_.tick();
    config_.tick(members_.is_home("config"));
    claims_.tick();
    samples_.tick();
    finish_drain();
}

void control::heartbeat() {
    beat_at_ = parts_.clock.now();
    const auto* config = config_.in_force();
    wire::heartbeat beat{self_,
                         incarnation_,
                         parts_.config.zone,
                         base::to_string(parts_.config.listen_callers),
                         base::to_string(parts_.config.listen_peers),
                         state_,
                         config != nullptr ? config->number : 0,
                         samples_.versions().all(),
                         samples_.digests()};
    members_.hear(beat_at_, beat);
    samples_.hear(beat);
    for (const auto& i : listed_.instances) {
        if (i.role == wire::instance_role::entry && i.id != self_.str()) {
            parts_.mesh.send(base::node_id(i.id), beat);
        }
    }
    parts_.counters.set("members", static_cast<double>(members_.all().size()));
}

void control::fetch_instances() {
    listing_ = true;
    listed_at_ = parts_.clock.now();
    parts_.instances.fetch([this](std::optional<wire::instance_page> page) {
        boost::asio::post(parts_.io, [this, p = std::move(page)] {
            listing_ = false;
            if (p) {
                took(*p);
            } else {
                parts_.counters.count_event("instance_list_failed");
            }
        });
    });
}

void control::took(const wire::instance_page& page) {
    listed_ = page;
    std::map<base::node_id, base::endpoint> peers;
    for (const auto& i : page.instances) {
        const auto address = base::parse_endpoint(i.peer_address);
        if (i.role == wire::instance_role::entry && i.id != self_.str() &&
            address) {
            peers.emplace(base::node_id(i.id), *address);
        }
    }
    parts_.mesh.set_peers(std::move(peers));
    samples_.update(page);
    publish_view();
}

void control::members_changed() {
    generation_ = members_.generation();
    claims_.assign(members_);
    samples_.assign();
    publish_view();
}

void control::config_changed() {
    claims_.set_keep(config_.in_force()->content.limit.claim_window_ms);
    samples_.assign();
    refresh_state();
    publish_view();
}

bool control::isolated() const {
    const auto now = parts_.clock.now();
    const auto heard = std::max(config_.log_heard_at(), started_at_);
    if (now - heard <= log_silence) {
        return false;
    }
    const auto entries =
        std::count_if(listed_.instances.begin(), listed_.instances.end(),
                      [](const wire::instance& i) {
                          return i.role == wire::instance_role::entry &&
                                 i.state == wire::instance_state::live;
                      });
    return static_cast<std::ptrdiff_t>(members_.all().size()) * 2 <= entries;
}

void control::refresh_state() {
    auto next = state_;
    if (state_ != wire::node_state::draining) {
        if (config_.in_force() == nullptr) {
            next = wire::node_state::starting;
        } else {
            // A node that sees neither the log nor most peers cannot know
            // whether its document is still in force, and callers would be
            // served by rules that are over.
            next = isolated() ? wire::node_state::isolated
                              : wire::node_state::ready;
        }
    }
    if (next != state_) {
        parts_.lines.event(severity::info, "state",
                           {{"state", std::string(base::name_of(next))}});
        state_ = next;
        heartbeat();
        publish_view();
    }
}

void control::publish_view() {
    auto v = std::make_shared<view>();
    v->state = state_;
    if (const auto* config = config_.in_force()) {
        const auto old = parts_.shared.get()->config;
        v->config = old && old->number == config->number
                        ? old
                        : std::make_shared<document::revision>(*config);
    }
    for (const auto& [node, row] : members_.all()) {
        if (row.last.state == wire::node_state::ready) {
            v->entries.push_back({node, row.last.zone, row.last.address});
        }
    }
    std::stable_partition(v->entries.begin(), v->entries.end(),
                          [&](const wire::entry_address& e) {
                              return e.zone == parts_.config.zone;
                          });
    for (const auto& i : listed_.instances) {
        if (i.role == wire::instance_role::service &&
            i.state == wire::instance_state::live) {
            v->services[base::service_id(i.group)].push_back(
                {i.id, i.address, i.zone});
        }
    }
    parts_.shared.publish(std::move(v));
}

void control::drain(std::function<void()> done) {
    boost::asio::post(parts_.io, [this, d = std::move(done)] {
        const auto* config = config_.in_force();
        const auto ttl =
            config != nullptr ? config->content.limit.entries_ttl_ms : 0;
        drained_ = d;
        // Callers keep the old answer of GET /v1/entries for its time to
        // live; one that came in the last moment must still find this node.
        drain_until_ =
            parts_.clock.now() + ttl + parts_.config.member_timeout_ms;
        state_ = wire::node_state::draining;
        parts_.lines.event(severity::info, "state", {{"state", "draining"}});
        heartbeat();
        publish_view();
    });
}

void control::finish_drain() {
    if (drained_ && parts_.clock.now() >= drain_until_ &&
        claims_.pending() == 0) {
        std::exchange(drained_, nullptr)();
    }
}

} // namespace hibiscus::node
