// Stand-in for a plain service, a backend server that is not an engine. It
// counts the runs of each key, so that tests can detect repeated runs and runs
// after a rejection. POST /v1/fault injects faults: "refuse" (all requests fail
// with 503 and do not run), "lose_answers" (number of requests that run without
// a response) and "run_ms". Does not model runs of different lengths.

#include "support/fake_server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <vector>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(int, run_ms, 5, "duration of a run in ms");
ABSL_FLAG(int, capacity, 256,
          "maximum number of concurrent runs; more are rejected with 503");

namespace hibiscus::testing {
namespace {

/// Implements the service. Single-threaded.
class plain_service_stand_in {
public:
    explicit plain_service_stand_in(boost::asio::io_context& io) : io_(io) {}

    /// Handles one request.
    void handle(const net::http_request& request,
                const net::http_responder& respond) {
        const std::string prefix = "/v1/run/";
        if (request.target == "/v1/runs") {
            respond(
                {200, nlohmann::json(run_counts_).dump(), "application/json"});
        } else if (request.target == "/v1/fault") {
            set_fault(request, respond);
        } else if (request.method == "POST" &&
                   request.target.rfind(prefix, 0) == 0) {
            run(request.target.substr(prefix.size()), request.body, respond);
        } else {
            respond({404, "{}", "application/json"});
        }
    }

private:
    void set_fault(const net::http_request& request,
                   const net::http_responder& respond) {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (body.is_object()) {
            refuse_ = body.value("refuse", refuse_);
            lose_answers_ = body.value("lose_answers", lose_answers_);
            run_ms_ = body.value("run_ms", run_ms_);
        }
        respond({200, "{}", "application/json"});
    }

    void run(const std::string& key, const std::string& body,
             const net::http_responder& respond) {
        if (refuse_ || running_count_ >= absl::GetFlag(FLAGS_capacity)) {
            respond({503, "{}", "application/json"});
            return;
        }
        ++run_counts_[key];
        if (lose_answers_ > 0) {
            --lose_answers_;
            unresponded_.push_back(respond);
            return;
        }
        ++running_count_;
        auto timer = std::make_shared<boost::asio::steady_timer>(io_);
        timer->expires_after(std::chrono::milliseconds(run_ms_));
        timer->async_wait([this, timer, key, body,
                           respond](const boost::system::error_code&) {
            --running_count_;
            respond({200, "ran " + key + " with " + body, "text/plain"});
        });
    }

    boost::asio::io_context& io_;
    int running_count_ = 0;
    bool refuse_ = false;
    int lose_answers_ = 0;
    int run_ms_ = absl::GetFlag(FLAGS_run_ms);
    std::vector<net::http_responder> unresponded_;
    std::map<std::string, int> run_counts_;
};

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    using hibiscus::testing::plain_service_stand_in;
    return hibiscus::testing::run_fake_server(
        absl::GetFlag(FLAGS_address), [](boost::asio::io_context& io) {
            auto service = std::make_shared<plain_service_stand_in>(io);
            return [service](const hibiscus::net::http_request& request,
                             const hibiscus::net::http_responder& respond) {
                service->handle(request, respond);
            };
        });
}
