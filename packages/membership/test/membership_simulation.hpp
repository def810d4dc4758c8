#pragma once

#include "hibiscus/membership/fleet_membership.hpp"
#include "support/simulated_store.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>

#include <cstdio>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscus::membership {

/// The descriptor to which simulated nodes write their logs.
inline int null_descriptor() {
    static const int descriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
    return descriptor;
}

/// A node of a simulated fleet: its membership and its table of servers.
class simulated_node {
public:
    simulated_node(testing::simulated_store& store,
                   testing::virtual_scheduler& scheduler,
                   const membership_settings& settings, double random_fraction)
        : log_(base::node_id(settings.node), null_descriptor(), {},
               scheduler.clock()),
          servers_(scheduler.clock()), log_store_(store.client(alive_)),
          membership_(
              settings, servers_, log_, log_store_, scheduler.clock(),
              [&scheduler, alive = alive_](base::millis ms,
                                           std::function<void()> f) {
                  scheduler.run_after(ms, [alive, f = std::move(f)] {
                      if (*alive) {
                          f();
                      }
                  });
              },
              random_fraction,
              {decode_registration, [] { return base::millis{1}; },
               [](const auto&, base::millis) {},
               [this](const std::string& text) { configuration_ = text; },
               [] { return base::millis{0}; },
               [this] {
                   return service_demands{
                       {"app", {{demand_, 0}, 1, 1, demand_, demand_}}};
               },
               [this] { return make_levels(); }}) {
        membership_.start();
    }

    ~simulated_node() { *alive_ = false; }

    simulated_node(const simulated_node&) = delete;
    simulated_node& operator=(const simulated_node&) = delete;

    fleet_membership& membership() { return membership_; }
    const samplers::sampler_table& servers() const { return servers_; }

    /// Sets what this node wants of the service "app", in slots.
    void set_demand(double slots) { demand_ = slots; }

    /// What the other nodes want of the service "app", in slots, as far as this
    /// node knows; -1 if it doesn't.
    double other_demand() {
        const auto* others = membership_.other_demands();
        if (others == nullptr) {
            return -1;
        }
        double sum = 0;
        for (const auto* demands : *others) {
            sum += demands->at("app").slots.callers;
        }
        return sum;
    }

    /// The configuration that was passed on to this node.
    const std::string& configuration() const { return configuration_; }

    /// The registration of a server in the simulated fleet: its service, its
    /// availability zone, its state and the number of its renewals.
    static std::string encode_registration(const std::string& service,
                                           const std::string& zone,
                                           bool draining, int renewals) {
        return nlohmann::json{service, zone, draining, renewals}.dump();
    }

    static std::optional<samplers::registration>
    decode_registration(const std::string& value) {
        const auto in = nlohmann::json::parse(value, nullptr, false);
        if (!in.is_array()) {
            return std::nullopt;
        }
        samplers::registration r;
        r.service = samplers::service_name(in.at(0).get<std::string>());
        r.address = {"10.0.0.1", 80};
        r.zone = base::zone_id(in.at(1).get<std::string>());
        r.draining = in.at(2).get<bool>();
        return r;
    }

private:
    service_levels make_levels() {
        admission::share_levels levels;
        levels.demand.callers = other_demand() + demand_;
        return {{"app", levels}};
    }

    double demand_ = 0.5;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    telemetry::event_log log_;
    samplers::sampler_table servers_;
    std::string configuration_;
    store::log_store log_store_;
    fleet_membership membership_;
};

/// A fleet of nodes and servers in five availability zones on a simulated
/// store, in virtual time. Node 0 publishes first.
class simulated_fleet {
public:
    static constexpr int zone_count = 5;
    static constexpr base::millis server_renewal_ms = 5000;

    simulated_fleet(const store_capacity& capacity, std::uint32_t seed = 1)
        : capacity_(capacity), store_(scheduler_, seed) {
        store_.set_response_limits({500, 5000});
    }

    static std::string zone_of(int number) {
        return "z" + std::to_string(number % zone_count);
    }

    static std::string node_name(int number) {
        return "n" + std::to_string(10000 + number);
    }

    static std::string server_name(int number) {
        return "s" + std::to_string(100000 + number);
    }

    static store::partition registrations() { return {"servers", 0}; }

    static view_layout layout() { return {"fleet", "nodes", 24}; }

    void start_node(int number, double cpu_share = 0.5) {
        node_entry own;
        own.caller_address = {"10.0.0." + std::to_string(number), 1};
        own.peer_address = {"10.0.0." + std::to_string(number), 2};
        own.zone = base::zone_id(zone_of(number));
        own.cpu_share = cpu_share;
        constexpr base::millis max_follow_interval_ms = 1250;
        constexpr std::size_t max_append_bytes = 2097152;
        const membership_settings s{node_name(number),
                                    own,
                                    registrations(),
                                    layout(),
                                    capacity_,
                                    server_renewal_ms,
                                    max_follow_interval_ms,
                                    max_append_bytes,
                                    {}};
        nodes_[number] = std::make_unique<simulated_node>(store_, scheduler_, s,
                                                          (number % 10) / 10.0);
        nodes_[number]->membership().set_services(
            {samplers::service_name("app")});
    }

    void start_nodes(int count) {
        for (int n = 0; n < count; ++n) {
            start_node(n);
        }
        node(0).membership().set_publishing(true);
    }

    void stop_node(int number) { nodes_.erase(number); }

    simulated_node& node(int number) { return *nodes_.at(number); }
    std::map<int, std::unique_ptr<simulated_node>>& nodes() { return nodes_; }

    /// Registers a server, or renews its registration. Every third one is of
    /// the service "llm", which no node uses.
    void register_server(int number, bool draining = false) {
        store_.append(registrations(),
                      {{server_name(number),
                        simulated_node::encode_registration(
                            number % 3 == 0 ? "llm" : "app", zone_of(number),
                            draining, ++renewals_)}});
    }

    void remove_server(int number) {
        store_.append(registrations(), {{server_name(number), ""}});
    }

    /// Registers servers and renews them from now on.
    void start_servers(int count) {
        for (int n = 0; n < count; ++n) {
            register_server(n);
            schedule_renewal(n, 1 + n % server_renewal_ms);
        }
    }

    void stop_renewals() { renewing_ = false; }

    void run_for(base::millis ms) { scheduler_.run_for(ms); }

    testing::simulated_store& store() { return store_; }

    /// Returns the number of nodes whose table has the server in this state.
    int count_nodes_with(int server, bool draining = false) {
        int count = 0;
        for (const auto& row : nodes_) {
            const auto& rows = row.second->servers().rows();
            const auto found =
                rows.find(samplers::sampler_id(server_name(server)));
            count += found != rows.end() &&
                             found->second.registered.draining == draining
                         ? 1
                         : 0;
        }
        return count;
    }

    /// Returns the number of nodes that count `number` among the living.
    int count_nodes_that_list(int number) {
        int count = 0;
        for (const auto& row : nodes_) {
            count +=
                row.second->membership().nodes().is_alive(node_name(number))
                    ? 1
                    : 0;
        }
        return count;
    }

    int count_loaded_nodes() {
        int count = 0;
        for (const auto& row : nodes_) {
            count += row.second->membership().is_loaded() ? 1 : 0;
        }
        return count;
    }

private:
    void schedule_renewal(int number, base::millis delay_ms) {
        scheduler_.run_after(delay_ms, [this, number] {
            if (renewing_) {
                register_server(number);
                schedule_renewal(number, server_renewal_ms);
            }
        });
    }

    store_capacity capacity_;
    testing::virtual_scheduler scheduler_;
    testing::simulated_store store_;
    std::map<int, std::unique_ptr<simulated_node>> nodes_;
    int renewals_ = 0;
    bool renewing_ = true;
};

} // namespace hibiscus::membership
