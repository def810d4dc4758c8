#include "world.hpp"

/// review/7: a header of an item in a batch job holds line ends and a second
/// request.
namespace review {
namespace {

const char* const configuration = R"({"version":1,"routes":[
 {"name":"roll","host":"h","pathPrefix":"/roll/","kind":"rollout",
  "targetLatencyMs":400,"runTargetMs":7500,"retentionS":40,"attempts":3,
  "priority":0,"service":"draft"}],
 "services":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,
 "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

constexpr int job_count = 3;
constexpr int items_per_job = 8;

class trial {
public:
    trial(std::string dir, recorder& record, bool trouble)
        : dir_(std::move(dir)), record_(record), trouble_(trouble) {}

    int run();
    void end() {
        for (const auto& n : nodes_) {
            n->stop(SIGKILL);
        }
    }

private:
    std::string make_job(const std::string& id);
    bool read_whole(const std::string& id);

    std::string dir_;
    recorder& record_;
    bool trouble_;
    store store_;
    std::vector<std::unique_ptr<sampler>> samplers_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::mutex mutex_;
    /// The ids of requests that clients sent, and of those that ran.
    std::set<std::string> sent_;
    std::set<std::string> ran_;
};

std::string trial::make_job(const std::string& id) {
    json job{{"items", json::array()}};
    for (int n = 0; n < items_per_job; ++n) {
        const auto item = id + "i" + std::to_string(n);
        sent_.insert(item);
        json headers{{"Model", "m"}, {"Token-Counts", "16,640"}};
        // Sorts after the others, so that what follows is a whole request.
        headers["X-Note"] =
            trouble_ && n == 0
                ? "a\r\nContent-Length: 0\r\n\r\nPOST /roll/other HTTP/1.1\r\n"
                  "Host: h\r\nRequest-Id: smuggled-" +
                      id + "\r\nModel: m\r\nX-Note: b"
                : std::string("a");
        job["items"].push_back({{"id", item},
                                {"path", "/roll/" + item},
                                {"headers", headers},
                                {"body", "YWJj"},
                                {"tokens", 656}});
    }
    return job.dump();
}

bool trial::read_whole(const std::string& id) {
    std::size_t next = 0;
    for (int n = 0; n < 25 && next < items_per_job; ++n) {
        const auto answer =
            call(nodes_[n % nodes_.size()]->callers(), "GET",
                 "/lots/" + id + "?after=" + std::to_string(next),
                 {{"Host", "h"}, {"Wait-Ms", "1000"}}, "", 2500);
        const auto page = json::parse(answer.body, nullptr, false);
        if (answer.status == 200 && page.is_object()) {
            next = page["next"].get<std::size_t>();
        }
        sleep_ms(200);
    }
    record_.note("job " + id + ": " + std::to_string(next) + " of " +
                 std::to_string(items_per_job) + " results");
    return next == items_per_job;
}

int trial::run() {
    store_.put("keyed.op", "config", configuration);
    const char* const zones[] = {"a", "b", "c", "d"};
    for (int n = 0; n < 4; ++n) {
        sampler::settings s;
        s.id = "draft-" + std::to_string(n);
        s.service = "draft";
        s.zone = zones[n];
        s.has_model = true;
        s.event_count = [](const std::string&) { return 8; };
        samplers_.push_back(
            std::make_unique<sampler>(store_, record_, std::move(s)));
        samplers_.back()->on_run_begun = [this](const std::string& id) {
            const std::lock_guard<std::mutex> lock(mutex_);
            ran_.insert(id);
            record_.note("a sampler runs " + id);
        };
    }
    for (int n = 0; n < 3; ++n) {
        nodes_.push_back(std::make_unique<node>("edge-" + std::to_string(n),
                                                zones[n], dir_, store_.port()));
        nodes_.back()->start();
    }
    for (const auto& n : nodes_) {
        if (!n->wait_until_ready(20000)) {
            record_.note("a node is not ready");
            return 2;
        }
    }
    int accepted = 0;
    for (int n = 0; n < job_count; ++n) {
        const auto id = "j" + std::to_string(n);
        const auto body = make_job(id);
        int status = 0;
        for (int k = 0; k < 10 && status != 202 && status / 100 != 4; ++k) {
            status =
                call(nodes_[k % nodes_.size()]->callers(), "POST", "/roll/j",
                     {{"Host", "h"},
                      {"Request-Id", id},
                      {"Content-Type", "application/json"}},
                     body, 4000)
                    .status;
            record_.note("submit " + id + " " + std::to_string(status));
            sleep_ms(status == 202 ? 0 : 300);
        }
        accepted += status == 202 && (trouble_ || read_whole(id)) ? 1 : 0;
    }
    sleep_ms(4000);
    if (!trouble_ && accepted != job_count) {
        return 2;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    int unasked = 0;
    for (const auto& id : ran_) {
        if (sent_.count(id) == 0) {
            ++unasked;
            record_.note("UNASKED: " + id + " ran, which no client sent");
        }
    }
    record_.note("requests that no client sent: " + std::to_string(unasked));
    return unasked > 0 ? 1 : 0;
}

} // namespace
} // namespace review

int main(int argc, char** argv) {
    if (argc != 3) {
        return 2;
    }
    review::now_ms();
    review::recorder record(argv[1]);
    const char* const trouble = std::getenv("TROUBLE");
    review::trial t(argv[2], record,
                    trouble == nullptr || std::string(trouble) != "0");
    const int result = t.run();
    t.end();
    record.note("result " + std::to_string(result));
    std::_Exit(result);
}
