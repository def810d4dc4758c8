// Stand-in for the platform's instance list, whose content is published with a
// lag. POST /v1/fault injects faults: "outage" (reads fail with 503) and
// "lag_ms". Does not model health checks (an entry stays until it is changed)
// or lists that differ between readers.

#include "hibiscus/wire/codec.hpp"
#include "support/fake_server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <map>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(int, lag_ms, 200, "delay in ms until a change is visible to readers");

namespace hibiscus::testing {
namespace {

/// Implements the service. Single-threaded.
class instance_list_stand_in {
public:
    /// Handles one request.
    void handle(const net::http_request& request,
                const net::http_responder& respond) {
        const auto path = strip_query(request.target);
        const std::string prefix = "/v1/instances/";
        if (path == "/v1/fault") {
            const auto body =
                nlohmann::json::parse(request.body, nullptr, false);
            if (body.is_object()) {
                outage_ = body.value("outage", outage_);
                lag_ms_ = body.value("lag_ms", lag_ms_);
            }
            respond({200, "{}", "application/json"});
        } else if (request.method == "POST" && path == "/v1/instances") {
            update_instance(request, respond);
        } else if (request.method == "DELETE" && path.rfind(prefix, 0) == 0) {
            instances_.erase(path.substr(prefix.size()));
            record_snapshot();
            respond({200, "{}", "application/json"});
        } else if (request.method == "GET" && path == "/v1/instances") {
            respond(outage_ ? net::http_response{503, "{}", ""}
                            : net::http_response{200, visible_page(),
                                                 "application/json"});
        } else {
            respond({404, "{}", "application/json"});
        }
    }

private:
    void update_instance(const net::http_request& request,
                         const net::http_responder& respond) {
        const auto parsed = wire::from_json<wire::instance>(request.body);
        const auto* entry = base::value_if(parsed);
        if (entry == nullptr) {
            respond({400, "{}", "application/json"});
            return;
        }
        instances_[entry->id] = *entry;
        record_snapshot();
        respond({200, "{}", "application/json"});
    }

    void record_snapshot() {
        wire::instance_list list;
        for (const auto& [id, entry] : instances_) {
            list.instances.push_back(entry);
        }
        snapshots_.emplace_back(clock_.now(), wire::to_json(list));
    }

    std::string visible_page() {
        const auto visible_until = clock_.now() - lag_ms_;
        while (snapshots_.size() > 1 && snapshots_[1].first <= visible_until) {
            snapshots_.pop_front();
        }
        if (snapshots_.empty() || snapshots_.front().first > visible_until) {
            return wire::to_json(wire::instance_list{});
        }
        return snapshots_.front().second;
    }

    base::clock clock_;
    std::map<std::string, wire::instance> instances_;
    std::deque<std::pair<base::millis, std::string>> snapshots_;
    bool outage_ = false;
    base::millis lag_ms_ = absl::GetFlag(FLAGS_lag_ms);
};

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    auto list = std::make_shared<hibiscus::testing::instance_list_stand_in>();
    return hibiscus::testing::run_fake_server(
        absl::GetFlag(FLAGS_address), [&](boost::asio::io_context&) {
            return [list](const hibiscus::net::http_request& request,
                          const hibiscus::net::http_responder& respond) {
                list->handle(request, respond);
            };
        });
}
