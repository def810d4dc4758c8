// Stands in for the platform's list of instances, which lags behind the
// truth. Faults are switched by POST /v1/fault: "outage" (reads are refused
// with 503) and "lag_ms". It does not model health checks: a row stays until
// it is changed. Nor does it model lists that differ between readers.

#include "hibiscus/wire/codec.hpp"
#include "support/stand_in.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <map>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "where to listen");
ABSL_FLAG(int, lag_ms, 200, "how long a change takes to be seen");

namespace hibiscus::testing {
namespace {

/// The whole service. Runs in one thread.
class instance_list {
public:
    /// Handles one request.
    void handle(const net::http_request& request,
                const net::http_responder& respond) {
        const auto path = path_of(request.target);
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
            change(request, respond);
        } else if (request.method == "DELETE" && path.rfind(prefix, 0) == 0) {
            rows_.erase(path.substr(prefix.size()));
            note();
            respond({200, "{}", "application/json"});
        } else if (request.method == "GET" && path == "/v1/instances") {
            respond(outage_
                        ? net::http_response{503, "{}", ""}
                        : net::http_response{200, seen(), "application/json"});
        } else {
            respond({404, "{}", "application/json"});
        }
    }

private:
    void change(const net::http_request& request,
                const net::http_responder& respond) {
        const auto read = wire::from_json<wire::instance>(request.body);
        const auto* row = base::value_if(read);
        if (row == nullptr) {
            respond({400, "{}", "application/json"});
            return;
        }
        rows_[row->id] = *row;
        note();
        respond({200, "{}", "application/json"});
    }

    void note() {
        wire::instance_page page;
        for (const auto& [id, row] : rows_) {
            page.instances.push_back(row);
        }
        history_.emplace_back(clock_.now(), wire::to_json(page));
    }

    std::string seen() {
        const auto limit = clock_.now() - lag_ms_;
        while (history_.size() > 1 && history_[1].first <= limit) {
            history_.pop_front();
        }
        if (history_.empty() || history_.front().first > limit) {
            return wire::to_json(wire::instance_page{});
        }
        return history_.front().second;
    }

    base::clock clock_;
    std::map<std::string, wire::instance> rows_;
    std::deque<std::pair<base::millis, std::string>> history_;
    bool outage_ = false;
    base::millis lag_ms_ = absl::GetFlag(FLAGS_lag_ms);
};

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    auto list = std::make_shared<hibiscus::testing::instance_list>();
    return hibiscus::testing::run_stand_in(
        absl::GetFlag(FLAGS_address), [&](boost::asio::io_context&) {
            return [list](const hibiscus::net::http_request& request,
                          const hibiscus::net::http_responder& respond) {
                list->handle(request, respond);
            };
        });
}
