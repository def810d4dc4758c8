// Stands in for a plain service beside the model engines. It records each run
// of each key, so that a test can tell what ran twice and what ran after a
// refusal. It does not model work of uneven length.

#include "support/stand_in.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <memory>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "where to listen");
ABSL_FLAG(int, run_ms, 5, "how long a run takes");
ABSL_FLAG(int, capacity, 256, "runs at a time; more are refused with 503");

namespace hibiscus::testing {
namespace {

/// The whole service. Runs in one thread.
class plain_service {
public:
    explicit plain_service(boost::asio::io_context& io) : io_(io) {}

    /// Handles one request.
    void handle(const net::http_request& request,
                const net::http_responder& respond) {
        const std::string prefix = "/v1/run/";
        if (request.target == "/v1/runs") {
            respond({200, nlohmann::json(runs_).dump(), "application/json"});
        } else if (request.method == "POST" &&
                   request.target.rfind(prefix, 0) == 0) {
            run(request.target.substr(prefix.size()), request.body, respond);
        } else {
            respond({404, "{}", "application/json"});
        }
    }

private:
    void run(const std::string& key, const std::string& body,
             const net::http_responder& respond) {
        if (running_ >= absl::GetFlag(FLAGS_capacity)) {
            respond({503, "{}", "application/json"});
            return;
        }
        ++running_;
        ++runs_[key];
        auto timer = std::make_shared<boost::asio::steady_timer>(io_);
        timer->expires_after(
            std::chrono::milliseconds(absl::GetFlag(FLAGS_run_ms)));
        timer->async_wait([this, timer, key, body,
                           respond](const boost::system::error_code&) {
            --running_;
            respond({200, "ran " + key + " with " + body, "text/plain"});
        });
    }

    boost::asio::io_context& io_;
    int running_ = 0;
    std::map<std::string, int> runs_;
};

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    using hibiscus::testing::plain_service;
    return hibiscus::testing::run_stand_in(
        absl::GetFlag(FLAGS_address), [](boost::asio::io_context& io) {
            auto service = std::make_shared<plain_service>(io);
            return [service](const hibiscus::net::http_request& request,
                             const hibiscus::net::http_responder& respond) {
                service->handle(request, respond);
            };
        });
}
