#include "mapping.hpp"

namespace hibiscus::wire {

void to_json(nlohmann::json& j, const service_request& r) {
    j = {{"id", r.id},
         {"service", r.service},
         {"idempotent", r.idempotent},
         {"deadline_ms", r.deadline_ms},
         {"created_ms", r.created_ms},
         {"body", r.body}};
}

void from_json(const nlohmann::json& j, service_request& r) {
    j.at("id").get_to(r.id);
    j.at("service").get_to(r.service);
    j.at("idempotent").get_to(r.idempotent);
    j.at("deadline_ms").get_to(r.deadline_ms);
    r.created_ms = j.value("created_ms", base::millis{0});
    r.body = j.value("body", std::string());
}

void to_json(nlohmann::json& j, const slot_range& r) {
    j = nlohmann::json::array({r.first, r.last});
}

void from_json(const nlohmann::json& j, slot_range& r) {
    j.at(0).get_to(r.first);
    j.at(1).get_to(r.last);
}

void to_json(nlohmann::json& j, const pull_request& r) {
    j = {{"pull", r.pull},
         {"version", r.version},
         {"received", r.received},
         {"max_samples", r.max_samples},
         {"wait_ms", r.wait_ms}};
}

void from_json(const nlohmann::json& j, pull_request& r) {
    j.at("pull").get_to(r.pull);
    j.at("version").get_to(r.version);
    j.at("received").get_to(r.received);
    r.max_samples = j.value("max_samples", std::uint32_t{0});
    r.wait_ms = j.value("wait_ms", base::millis{0});
}

} // namespace hibiscus::wire
