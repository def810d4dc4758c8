#include "world.hpp"

/// review/8: two of sixteen samplers of a plain service turn slow. Some answers
/// are large, and samplers send them as they make them.
namespace review {
namespace {

const char* const configuration = R"({"version":1,"routes":[
 {"name":"look","host":"h","pathPrefix":"/look/","kind":"idempotent",
  "timeoutMs":2000,"targetLatencyMs":150,"priority":2,"attempts":2,
  "service":"desk"}],
 "services":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,
 "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

constexpr int client_count = 24;
constexpr long run_ms = 40000;
constexpr long deadline_ms = 2000;

/// The site file: `srv_slow`, share = 0.17, x = 3.5, for 6.5 s.
constexpr int slow_samplers = 2;
constexpr double slow_factor = 3.5;
constexpr long slow_ms = 6500;
constexpr long pause_ms = 3500;

constexpr long small_work_ms = 25;
constexpr long large_work_ms = 150;
constexpr std::size_t large_bytes = 600 * 1000;

/// RULES.md, LOST: more than three times.
constexpr int allowed_cuts = 3;

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
    void use(int client);
    void cause_slowness();

    std::string dir_;
    recorder& record_;
    bool trouble_;
    store store_;
    std::vector<std::unique_ptr<sampler>> samplers_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> whole_{0};
    std::atomic<int> cut_{0};
    std::atomic<int> other_{0};
};

/// Sends one request after the other on a kept connection.
void trial::use(int client) {
    const auto& node =
        *nodes_[static_cast<std::size_t>(client) % nodes_.size()];
    auto peer = connect_to(node.callers());
    for (int n = 0; !stopping_; ++n) {
        if (!peer) {
            peer = connect_to(node.callers());
            if (!peer) {
                sleep_ms(100);
                continue;
            }
        }
        const bool is_large = n % 4 == 3;
        const auto id = "c" + std::to_string(client) + "n" + std::to_string(n);
        const long begin = now_ms();
        peer->send("POST /look/" + std::string(is_large ? "large" : "small") +
                   " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
                   "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                   "\r\nContent-Length: 3\r\n\r\nabc");
        const auto answer = peer->read(true, begin + deadline_ms);
        const long ms = now_ms() - begin;
        if (answer && answer->complete && answer->status == 200) {
            ++whole_;
        } else if (ms < deadline_ms && (!answer || !answer->complete)) {
            ++cut_;
            record_.note("client " + id + ": " + node.name() +
                         " closed the connection after " + std::to_string(ms) +
                         " ms, with " +
                         std::to_string(answer ? answer->body.size() : 0) +
                         " bytes of the body");
            peer.reset();
        } else {
            ++other_;
            record_.note("client " + id + ": status " +
                         std::to_string(answer ? answer->status : 0) +
                         " after " + std::to_string(ms) + " ms");
            peer.reset();
        }
        sleep_ms(20);
    }
}

void trial::cause_slowness() {
    const long until = now_ms() + run_ms;
    for (std::size_t first = 0; now_ms() < until; first += slow_samplers) {
        for (int n = 0; n < slow_samplers; ++n) {
            auto& s = *samplers_[(first + n) % samplers_.size()];
            s.slowness = trouble_ ? slow_factor : 1;
            record_.note("slow: " + s.id());
        }
        sleep_ms(slow_ms);
        for (const auto& s : samplers_) {
            s->slowness = 1;
        }
        record_.note("none is slow");
        sleep_ms(pause_ms);
    }
}

int trial::run() {
    store_.put("keyed.op", "config", configuration);
    const char* const zones[] = {"a", "b", "c", "d"};
    for (int n = 0; n < 16; ++n) {
        sampler::settings s;
        s.id = "desk-" + std::to_string(n);
        s.service = "desk";
        s.zone = zones[n % 4];
        s.slots = 6;
        s.work = [](const http_message& request) {
            const bool is_large = request.target == "/look/large";
            return is_large ? plain_work{large_work_ms, large_bytes, true}
                            : plain_work{small_work_ms};
        };
        samplers_.push_back(
            std::make_unique<sampler>(store_, record_, std::move(s)));
    }
    for (int n = 0; n < 4; ++n) {
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
    std::vector<std::thread> clients;
    for (int n = 0; n < client_count; ++n) {
        clients.emplace_back([this, n] { use(n); });
    }
    sleep_ms(5000);
    cause_slowness();
    stopping_ = true;
    for (auto& c : clients) {
        c.join();
    }
    record_.note("whole answers: " + std::to_string(whole_) +
                 ", connections closed inside an answer: " +
                 std::to_string(cut_) + ", other: " + std::to_string(other_));
    return whole_ == 0 ? 2 : cut_ > allowed_cuts ? 1 : 0;
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
