#include "control_plane.hpp"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <cmath>

namespace hibiscus::node {

namespace {

using nlohmann::json;

json members_to_json(const cluster::member_table& members) {
    json rows = json::array();
    for (const auto& [node, row] : members.all()) {
        rows.push_back({{"node", node.str()},
                        {"zone", row.heartbeat.zone.str()},
                        {"address", row.heartbeat.address},
                        {"state", base::name_of(row.heartbeat.state)},
                        {"revision", row.heartbeat.revision},
                        {"engines", row.heartbeat.engines.size()}});
    }
    return rows;
}

json engines_to_json(const cluster::engine_table& engines,
                     const cluster::member_table& members) {
    json rows = json::array();
    for (const auto& [id, row] : engines.all()) {
        json serving = json::object();
        for (const auto& s : row.status.serving) {
            serving[s.trainer.str()] = s.version;
        }
        rows.push_back({{"engine", id.str()},
                        {"pool", row.pool.str()},
                        {"zone", row.zone.str()},
                        {"home", members.home_of("engine/" + id.str()).str()},
                        {"healthy", row.status.healthy},
                        {"leaving", row.leaving},
                        {"admitted", row.status.admitted},
                        {"slots", row.status.slots},
                        {"serving", std::move(serving)}});
    }
    return rows;
}

json usage_to_json(const policy::usage_meter& account) {
    json rows = json::array();
    for (const auto& [owner, row] : account.owners()) {
        rows.push_back(
            {{"owner", owner.str()},
             {"used_ms", std::llround(row.used_ms)},
             {"idle_ms", std::llround(row.idle_ms)},
             {"idle_while_queued_ms", std::llround(row.idle_while_queued_ms)},
             {"queued_ms", std::llround(row.queued_ms)}});
    }
    return rows;
}

json steps_to_json(const cluster::step_coordinator& steps) {
    json rows = json::array();
    for (const auto& [key, step] : steps.steps()) {
        rows.push_back({{"trainer", key.first.str()},
                        {"step", key.second},
                        {"slots", step.slots().size()},
                        {"missing", step.missing_count()}});
    }
    return rows;
}

} // namespace

void control_plane::write_status(std::function<void(std::string)> done) {
    boost::asio::post(dependencies_.io, [this, d = std::move(done)] {
        const auto* config = config_.in_force();
        json out{{"node", self_.str()},
                 {"zone", dependencies_.config.zone.str()},
                 {"state", base::name_of(state_)},
                 {"revision", config != nullptr ? config->number : 0},
                 {"document", config != nullptr ? config->text : ""},
                 {"pending_claims", claims_.pending_count()},
                 {"nodes", members_to_json(members_)},
                 {"engines", engines_to_json(samples_.engines(), members_)},
                 {"usage", usage_to_json(samples_.usage())},
                 {"steps", steps_to_json(samples_.steps())}};
        d(out.dump(-1, ' ', false, json::error_handler_t::replace));
    });
}

} // namespace hibiscus::node
