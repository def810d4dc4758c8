// Stand-in for the platform's weight store, which serves reads at a limited
// rate. POST /v1/fault injects faults: "outage" (all requests fail with 503),
// "fail_share" (the share of reads that fail with 500) and "read_ms". Stores
// only the names of the versions, not their bytes, and does not model reads
// that fail halfway.

#include "support/fake_server.hpp"

#include "hibiscus/base/clock.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <set>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(int, read_ms, 150, "duration of a read in ms");
ABSL_FLAG(int, parallel, 4, "number of concurrent reads; others are queued");

namespace hibiscus::testing {
namespace {

/// Implements the service. Single-threaded.
class weight_store_stand_in {
public:
    explicit weight_store_stand_in(boost::asio::io_context& io) : io_(io) {}

    /// Handles one request.
    void handle(const net::http_request& request,
                const net::http_responder& respond) {
        if (request.target == "/v1/fault") {
            set_fault(request, respond);
        } else if (outage_) {
            respond({503, "{}", "application/json"});
        } else if (request.method == "PUT") {
            versions_.insert(request.target);
            respond({200, "{}", "application/json"});
        } else if (versions_.count(request.target) == 0) {
            respond({404, "{}", "application/json"});
        } else {
            read(respond);
        }
    }

private:
    void set_fault(const net::http_request& request,
                   const net::http_responder& respond) {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (body.is_object()) {
            outage_ = body.value("outage", outage_);
            fail_share_ = body.value("fail_share", fail_share_);
            read_ms_ = body.value("read_ms", read_ms_);
        }
        respond({200, "{}", "application/json"});
    }

    void read(const net::http_responder& respond) {
        const auto read_interval =
            read_ms_ / std::max(1, absl::GetFlag(FLAGS_parallel));
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        const int status = uniform(random_) < fail_share_ ? 500 : 200;
        const auto now = clock_.now();
        const auto start = std::max(now, next_read_at_);
        next_read_at_ = start + read_interval;
        auto timer = std::make_shared<boost::asio::steady_timer>(io_);
        timer->expires_after(std::chrono::milliseconds(start - now + read_ms_));
        timer->async_wait(
            [timer, respond, status](const boost::system::error_code&) {
                respond({status, "{}", "application/json"});
            });
    }

    boost::asio::io_context& io_;
    base::clock clock_;
    base::millis next_read_at_ = 0;
    base::millis read_ms_ = absl::GetFlag(FLAGS_read_ms);
    bool outage_ = false;
    double fail_share_ = 0.0;
    std::mt19937_64 random_{3};
    std::set<std::string> versions_;
};

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    using hibiscus::testing::weight_store_stand_in;
    return hibiscus::testing::run_fake_server(
        absl::GetFlag(FLAGS_address), [](boost::asio::io_context& io) {
            auto store = std::make_shared<weight_store_stand_in>(io);
            return [store](const hibiscus::net::http_request& request,
                           const hibiscus::net::http_responder& respond) {
                store->handle(request, respond);
            };
        });
}
