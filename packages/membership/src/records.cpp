#include "hibiscus/membership/records.hpp"

#include "hibiscus/base/bounded_json.hpp"
#include "hibiscus/base/cbor.hpp"

#include <nlohmann/json.hpp>
#include <zlib.h>

#include <algorithm>
#include <cmath>

namespace hibiscus::membership {

namespace {

using json = nlohmann::json;

/// Largest configuration that is decompressed, in bytes.
constexpr std::size_t max_decompressed_bytes = std::size_t{64} << 20U;

constexpr std::size_t length_bytes = 4;

enum listed_node_field : std::size_t {
    callers_field,
    peers_field,
    node_zone_field,
    cpu_share_field,
};

enum server_field : std::size_t {
    service_field,
    address_field,
    zone_field,
    slots_field,
    draining_field,
    spot_field,
    started_field,
    models_field,
};

/// Amounts of slots are whole hundredths in the records.
constexpr double parts_per_slot = 100;

enum demand_field : std::size_t {
    demand_callers_field,
    demand_rewards_field,
    demand_factor_field,
    demand_weight_field,
    demand_in_flight_field,
    demand_served_field,
};

enum level_field : std::size_t {
    level_room_field,
    level_demand_callers_field,
    level_demand_rewards_field,
    level_load_field,
    level_callers_field,
    level_rewards_field,
};

/// Returns -1 if `slots` is unlimited.
std::int64_t to_parts(double slots) {
    return slots == admission::unlimited
               ? -1
               : static_cast<std::int64_t>(std::lround(slots * parts_per_slot));
}

double from_parts(const json& in, std::size_t field) {
    const auto parts = in.at(field).get<std::int64_t>();
    return parts < 0 ? admission::unlimited
                     : static_cast<double>(parts) / parts_per_slot;
}

json encode_demands(const service_demands& demands) {
    json out = json::object();
    for (const auto& [service, d] : demands) {
        if (out.size() == max_demands) {
            break;
        }
        out[service] =
            json::array({to_parts(d.slots.callers), to_parts(d.slots.rewards),
                         to_parts(d.room_factor), to_parts(d.weight),
                         to_parts(d.in_flight), to_parts(d.served)});
    }
    return out;
}

service_demands decode_demands(const json& in) {
    service_demands demands;
    for (const auto& [service, fields] : in.items()) {
        if (demands.size() == max_demands) {
            break;
        }
        auto& d = demands[service];
        d.slots = {from_parts(fields, demand_callers_field),
                   from_parts(fields, demand_rewards_field)};
        d.room_factor = from_parts(fields, demand_factor_field);
        d.weight = std::max(1.0, from_parts(fields, demand_weight_field));
        d.in_flight = from_parts(fields, demand_in_flight_field);
        d.served = from_parts(fields, demand_served_field);
    }
    return demands;
}

json encode_levels(const service_levels& levels) {
    json out = json::object();
    for (const auto& [service, l] : levels) {
        out[service] =
            json::array({to_parts(l.room), to_parts(l.demand.callers),
                         to_parts(l.demand.rewards), to_parts(l.load),
                         to_parts(l.level.callers), to_parts(l.level.rewards)});
    }
    return out;
}

service_levels decode_levels(const json& in) {
    service_levels levels;
    for (const auto& [service, fields] : in.items()) {
        auto& l = levels[service];
        l.room = from_parts(fields, level_room_field);
        l.demand = {from_parts(fields, level_demand_callers_field),
                    from_parts(fields, level_demand_rewards_field)};
        l.load = from_parts(fields, level_load_field);
        l.level = {from_parts(fields, level_callers_field),
                   from_parts(fields, level_rewards_field)};
    }
    return levels;
}

} // namespace

std::string encode_node(const node_renewal& renewal) {
    const auto& e = renewal.entry;
    json out({{"callers", to_string(e.caller_address)},
              {"nodes", to_string(e.peer_address)},
              {"zone", e.zone.str()},
              {"stopping", e.stopping},
              {"true_time", renewal.true_time},
              {"cpu_share", e.cpu_share},
              {"renewal_ms", e.renewal_ms}});
    if (!e.demands.empty()) {
        out["demands"] = encode_demands(e.demands);
    }
    return base::encode_cbor(out);
}

std::optional<node_renewal> decode_node(const std::string& value) {
    return base::decode_cbor(
        value, [](const json& in) -> std::optional<node_renewal> {
            if (!in.is_object()) {
                return std::nullopt;
            }
            const auto callers = base::parse_endpoint(in.value("callers", ""));
            const auto peers = base::parse_endpoint(in.value("nodes", ""));
            if (!callers || !peers) {
                return std::nullopt;
            }
            node_renewal r;
            r.entry = {*callers,
                       *peers,
                       base::zone_id(in.value("zone", "")),
                       in.value("stopping", false),
                       in.value("cpu_share", 1.0),
                       in.value("renewal_ms", r.entry.renewal_ms),
                       decode_demands(in.value("demands", json::object()))};
            r.true_time = in.value("true_time", base::millis{0});
            return r;
        });
}

std::string encode_listed_node(const node_entry& node) {
    return base::encode_cbor(json::array({to_string(node.caller_address),
                                          to_string(node.peer_address),
                                          node.zone.str(), node.cpu_share}));
}

std::optional<node_entry> decode_listed_node(const std::string& value) {
    return base::decode_cbor(
        value, [](const json& in) -> std::optional<node_entry> {
            const auto endpoint_at = [&in](std::size_t field) {
                return base::parse_endpoint(in.at(field).get<std::string>());
            };
            const auto callers = endpoint_at(callers_field);
            const auto peers = endpoint_at(peers_field);
            if (!callers || !peers) {
                return std::nullopt;
            }
            node_entry node;
            node.caller_address = *callers;
            node.peer_address = *peers;
            node.zone =
                base::zone_id(in.at(node_zone_field).get<std::string>());
            node.cpu_share = in.at(cpu_share_field).get<double>();
            return node;
        });
}

std::string encode_status(const fleet_status& status) {
    json servers = json::object();
    for (const auto& [service, zones] : status.servers) {
        for (const auto& [zone, count] : zones) {
            servers[service.str()][zone.str()] = count;
        }
    }
    json out({{"publisher", status.publisher},
              {"sequence", status.sequence},
              {"source", base::name_of(status.source)},
              {"nodes", status.nodes},
              {"configuration_age_ms", status.configuration_age_ms},
              {"servers", std::move(servers)},
              {"true_times", status.true_times}});
    if (!status.levels.empty()) {
        out["levels"] = encode_levels(status.levels);
    }
    return base::encode_cbor(out);
}

std::optional<fleet_status> decode_status(const std::string& value) {
    return base::decode_cbor(
        value, [](const json& in) -> std::optional<fleet_status> {
            fleet_status s;
            s.publisher = in.at("publisher").get<std::string>();
            s.sequence = in.at("sequence").get<std::int64_t>();
            const auto source = base::from_name<view_source>(
                in.at("source").get<std::string>());
            if (!source) {
                return std::nullopt;
            }
            s.source = *source;
            s.nodes = in.at("nodes").get<int>();
            s.configuration_age_ms =
                in.at("configuration_age_ms").get<base::millis>();
            for (const auto& [service, zones] : in.at("servers").items()) {
                for (const auto& [zone, count] : zones.items()) {
                    s.servers[samplers::service_name(service)]
                             [base::zone_id(zone)] = count.get<int>();
                }
            }
            s.true_times =
                in.at("true_times").get<std::map<std::string, base::millis>>();
            s.levels = decode_levels(in.value("levels", json::object()));
            return s;
        });
}

std::string encode_server(const samplers::registration& server) {
    json models = json::array();
    for (const auto& [model, version] : server.versions) {
        models.push_back(model);
    }
    return base::encode_cbor(
        json::array({server.service.str(), to_string(server.address),
                     server.zone.str(), server.slots, server.draining,
                     server.spot, server.started_ms, std::move(models)}));
}

std::optional<samplers::registration> decode_server(const std::string& value) {
    return base::decode_cbor(
        value, [](const json& in) -> std::optional<samplers::registration> {
            const auto address =
                base::parse_endpoint(in.at(address_field).get<std::string>());
            if (!address) {
                return std::nullopt;
            }
            samplers::registration r;
            r.service =
                samplers::service_name(in.at(service_field).get<std::string>());
            r.address = *address;
            r.zone = base::zone_id(in.at(zone_field).get<std::string>());
            r.slots =
                base::to_integer(in.at(slots_field), 0, samplers::max_slots);
            r.draining = in.at(draining_field).get<bool>();
            r.spot = in.at(spot_field).get<bool>();
            r.started_ms = in.at(started_field).get<std::int64_t>();
            for (const auto& model : in.at(models_field)) {
                r.versions[model.get<std::string>()] = 1;
            }
            return r;
        });
}

std::string compress(const std::string& text) {
    auto size = compressBound(static_cast<uLong>(text.size()));
    std::string bytes(length_bytes + size, '\0');
    for (std::size_t n = 0; n < length_bytes; ++n) {
        bytes[n] = static_cast<char>(text.size() >> (8 * n) & 0xffU);
    }
    compress2(reinterpret_cast<Bytef*>(bytes.data() + length_bytes), &size,
              reinterpret_cast<const Bytef*>(text.data()),
              static_cast<uLong>(text.size()), Z_BEST_SPEED);
    bytes.resize(length_bytes + size);
    return bytes;
}

std::optional<std::string> decompress(const std::string& bytes) {
    if (bytes.size() < length_bytes) {
        return std::nullopt;
    }
    std::size_t length = 0;
    for (std::size_t n = 0; n < length_bytes; ++n) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[n]))
                  << (8 * n);
    }
    if (length > max_decompressed_bytes) {
        return std::nullopt;
    }
    std::string text(length, '\0');
    auto size = static_cast<uLong>(length);
    const int result =
        uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                   reinterpret_cast<const Bytef*>(bytes.data() + length_bytes),
                   static_cast<uLong>(bytes.size() - length_bytes));
    if (result != Z_OK || size != length) {
        return std::nullopt;
    }
    return text;
}

} // namespace hibiscus::membership
