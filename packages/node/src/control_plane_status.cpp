#include "control_plane.hpp"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <cmath>

namespace hibiscus::node {

namespace {

using nlohmann::json;

json members_to_json(const cluster::member_table& members) {
    json rows = json::array();
    for (const auto& [node, member] : members.all()) {
        rows.push_back({{"node", node.str()},
                        {"zone", member.heartbeat.zone.str()},
                        {"address", member.heartbeat.address},
                        {"state", base::name_of(member.heartbeat.state)},
                        {"revision", member.heartbeat.revision},
                        {"engines", member.heartbeat.engines.size()}});
    }
    return rows;
}

json engines_to_json(const cluster::engine_table& engines,
                     const cluster::member_table& members) {
    json rows = json::array();
    for (const auto& [id, engine] : engines.all()) {
        json serving = json::object();
        for (const auto& served : engine.status.serving) {
            serving[served.trainer.str()] = served.version;
        }
        rows.push_back({{"engine", id.str()},
                        {"pool", engine.pool.str()},
                        {"zone", engine.zone.str()},
                        {"home", members.home_of("engine/" + id.str()).str()},
                        {"healthy", engine.status.healthy},
                        {"leaving", engine.leaving},
                        {"admitted", engine.status.admitted},
                        {"slots", engine.status.slots},
                        {"serving", std::move(serving)}});
    }
    return rows;
}

json usage_to_json(const policy::usage_meter& meter) {
    json rows = json::array();
    for (const auto& [owner, usage] : meter.owners()) {
        rows.push_back(
            {{"owner", owner.str()},
             {"used_ms", std::llround(usage.used_ms)},
             {"idle_ms", std::llround(usage.idle_ms)},
             {"idle_while_queued_ms", std::llround(usage.idle_while_queued_ms)},
             {"queued_ms", std::llround(usage.queued_ms)}});
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

void control_plane::collect_status(std::function<void(std::string)> done) {
    boost::asio::post(dependencies_.control_io, [this, done = std::move(done)] {
        const auto* revision = config_watcher_.in_force();
        json status{
            {"node", self_.str()},
            {"zone", dependencies_.node_settings.zone.str()},
            {"state", base::name_of(state_)},
            {"revision", revision != nullptr ? revision->number : 0},
            {"document", revision != nullptr ? revision->text : ""},
            {"pending_claims", claim_driver_.pending_count()},
            {"nodes", members_to_json(members_)},
            {"engines", engines_to_json(sample_driver_.engines(), members_)},
            {"usage", usage_to_json(sample_driver_.usage())},
            {"steps", steps_to_json(sample_driver_.steps())}};
        done(status.dump(-1, ' ', false, json::error_handler_t::replace));
    });
}

} // namespace hibiscus::node
