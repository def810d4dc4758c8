#pragma once

#include "entry/fake_keyed_store.hpp"
#include "hibiscus/transport/upstream.hpp"
#include "sampler.hpp"
#include "support/process.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace review {

/// Thrown if a case can't run to its end.
struct cannot_run : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The answer to a client; status 0 stands for no complete answer.
struct answer {
    bool ended = false;
    int status = 0;
    std::string body;
};

/// The nodes of a small deployment as processes, and their store, samplers and
/// clients in this process, on loopback addresses.
class world {
public:
    /// The figures of the deployment, in ms.
    static constexpr base::millis heartbeat_ms = 1200;
    static constexpr base::millis drain_ms = 2000;
    static constexpr base::millis stable_ms = 3000;

    world(std::string program, const std::string& record_path)
        : program_(std::move(program)), record_(record_path) {
        if (!record_ || !std::filesystem::exists(program_)) {
            throw cannot_run("no program or no record");
        }
        folder_ = std::filesystem::temp_directory_path() / "review-XXXXXX";
        if (mkdtemp(folder_.data()) == nullptr) {
            throw cannot_run("no temporary folder");
        }
        started_at_ = clock_.now();
        const char* trouble = std::getenv("TROUBLE"); // NOLINT
        has_trouble_ = trouble == nullptr || std::string(trouble) != "0";
        note(has_trouble_ ? "with the disruption" : "without the disruption");
    }

    ~world() {
        nodes_.clear();
        if (std::getenv("REVIEW_KEEP") == nullptr) { // NOLINT
            std::filesystem::remove_all(folder_);
        }
    }

    world(const world&) = delete;
    world& operator=(const world&) = delete;

    bool has_trouble() const { return has_trouble_; }
    base::millis now() const { return clock_.now() - started_at_; }
    hibiscus::testing::fake_keyed_store& store() { return store_; }

    /// Writes a line to the record.
    void note(const std::string& text) {
        record_ << now() << " ms: " << text << "\n" << std::flush;
    }

    record_function recorder() {
        return [this](const std::string& text) { note(text); };
    }

    sampler& add_sampler(const std::string& id, const std::string& service,
                         int slots, bool has_model) {
        samplers_.push_back(std::make_unique<sampler>(io_, id, service, slots,
                                                      has_model, recorder()));
        auto& added = *samplers_.back();
        beat(added);
        return added;
    }

    std::vector<std::unique_ptr<sampler>>& samplers() { return samplers_; }

    /// Writes an entry of a sampler as the store has accepted it.
    void write_entry(const sampler& s, const std::string& entry) {
        note("store accepts servers/" + s.id() + " " + entry);
        store_.put("keyed.servers", s.id(), entry);
    }

    /// Ends the regular entries of a sampler; the case writes them from now on.
    void stop_beats(const sampler& s) { silent_.insert(s.id()); }

    void write_configuration(const json& configuration) {
        note("store accepts op/config " + configuration.dump());
        store_.put("keyed.op", "config", configuration.dump());
    }

    void name_version(int version) {
        note("store accepts op/version/m version " + std::to_string(version));
        store_.put("keyed.op", "version/m",
                   json{{"model", "m"}, {"version", version}}.dump());
    }

    /// Starts `count` nodes and waits until all are ready.
    void start_nodes(int count) {
        for (int n = 1; n <= count; ++n) {
            start_node("edge-lima-a-" + std::to_string(n));
        }
        for (const auto& node : nodes_) {
            wait_until([&] { return is_ready(node.first); }, 20000,
                       "nodes are not ready");
        }
        note("all nodes are ready");
    }

    std::vector<std::string> node_names() const {
        std::vector<std::string> names;
        for (const auto& node : nodes_) {
            names.push_back(node.first);
        }
        return names;
    }

    hibiscus::testing::process& node(const std::string& name) {
        return *nodes_.at(name);
    }

    /// Kills a node for good.
    void kill_node(const std::string& name) {
        note("kills " + name);
        nodes_.at(name)->signal(SIGKILL);
        nodes_.at(name)->wait_for_exit(5000);
        nodes_.erase(name);
    }

    /// Returns the address at which a node takes requests of clients.
    std::string front_address(const std::string& node) const {
        return "127.0.0.1:" + std::to_string(ports_.at(node).front());
    }

    /// Returns the node that runs the batch jobs according to the store.
    std::string owner() const {
        const auto record = json::from_cbor(
            store_.newest_value("keyed.journal", "!owner"), true, false);
        return record.is_object() ? record.at("node").get<std::string>() : "";
    }

    /// Sends a request on a new connection.
    std::shared_ptr<answer>
    send(const std::string& node, const std::string& method,
         const std::string& target, transport::headers fields = {},
         const std::string& body = "", std::size_t port = 0,
         base::millis timeout_ms = 3000) {
        transport::upstream_request request;
        request.method = method;
        request.target = target;
        request.fields = std::move(fields);
        request.fields.push_back({"Host", "desk.example"});
        request.body = body;
        auto result = std::make_shared<answer>();
        transport::upstream_call_options options;
        options.total_timeout_ms = timeout_ms;
        options.reuse_connection = false;
        transport::upstream_callbacks callbacks;
        callbacks.on_head = [result](const auto& head) {
            result->status = head.status;
        };
        callbacks.on_data = [result](std::string_view data) {
            result->body += data;
        };
        callbacks.on_end = [result](transport::call_outcome outcome) {
            if (outcome != transport::call_outcome::complete) {
                result->status = 0;
            }
            result->ended = true;
        };
        client_.start({"127.0.0.1", ports_.at(node).at(port)},
                      std::move(request), options, std::move(callbacks));
        return result;
    }

    answer call(const std::string& node, const std::string& method,
                const std::string& target, transport::headers fields = {},
                const std::string& body = "", std::size_t port = 0) {
        const auto result =
            send(node, method, target, std::move(fields), body, port);
        wait_until([&] { return result->ended; }, 5000, "a call hangs");
        return *result;
    }

    /// Submits a batch job; again at other nodes until it is accepted.
    void submit(const std::string& id, const json& body) {
        const auto names = node_names();
        for (std::size_t n = 0; n < 20; ++n) {
            const auto& node = names[n % names.size()];
            const auto result = call(node, "POST", "/batch/",
                                     {{"Request-Id", id}}, body.dump());
            note("client submits job " + id + " at " + node + " -> " +
                 std::to_string(result.status));
            if (result.status == 202) {
                return;
            }
            run_for(200);
        }
        throw cannot_run("job is not accepted");
    }

    /// Reads the results of a job from position 0.
    std::vector<json> read_results(const std::string& id) {
        std::vector<json> results;
        for (int tries = 0; tries < 50; ++tries) {
            const auto result =
                call(node_names().front(), "GET",
                     "/lots/" + id + "?after=" + std::to_string(results.size()),
                     {{"Wait-Ms", "0"}});
            if (result.status != 200) {
                run_for(100);
                continue;
            }
            const auto body = json::parse(result.body);
            if (body.at("results").empty()) {
                break;
            }
            for (const auto& row : body.at("results")) {
                results.push_back(row);
            }
        }
        return results;
    }

    void end_job(const std::string& id) {
        const auto result = call(node_names().front(), "DELETE", "/lots/" + id);
        note("client ends job " + id + " -> " + std::to_string(result.status));
    }

    void run_for(base::millis ms) {
        const auto until = clock_.now() + ms;
        while (clock_.now() < until) {
            step();
        }
    }

    template <class Condition>
    void wait_until(Condition condition, base::millis timeout_ms,
                    const char* failure) {
        const auto until = clock_.now() + timeout_ms;
        while (!condition()) {
            if (clock_.now() > until) {
                throw cannot_run(failure);
            }
            step();
        }
    }

    /// Calls `f` after a time.
    void after(base::millis ms, std::function<void()> f) {
        auto timer = std::make_shared<boost::asio::steady_timer>(
            io_, std::chrono::milliseconds(ms));
        timer->async_wait([timer, f = std::move(f)](auto error) {
            if (!error) {
                f();
            }
        });
    }

private:
    void step() {
        constexpr base::millis max_ms = 110000;
        if (now() > max_ms) {
            throw cannot_run("time is over");
        }
        io_.restart();
        io_.run_for(std::chrono::milliseconds(2));
    }

    void beat(sampler& s) {
        if (silent_.count(s.id()) != 0) {
            return;
        }
        if (s.is_running()) {
            store_.put("keyed.servers", s.id(), s.next_entry());
        }
        after(heartbeat_ms, [this, &s] { beat(s); });
    }

    bool is_ready(const std::string& name) {
        return call(name, "GET", "/readyz", {}, "", 1).status == 200;
    }

    void start_node(const std::string& name) {
        auto& ports = ports_[name];
        for (int n = 0; n < 4; ++n) {
            ports.push_back(reserved_.reserve("127.0.0.1"));
        }
        const auto at = [&](std::size_t n) {
            return "127.0.0.1:" + std::to_string(ports[n]) + "\n";
        };
        const auto file = folder_ + "/" + name + ".conf";
        // What deploy/settings.yaml.tmpl gives for a machine of va-lima.
        std::ofstream(file)
            << "node: " << name << "\nzone: lima-a\nlisten:\n"
            << "  callers: " << at(0) << "  readiness: " << at(1)
            << "  directory: " << at(2) << "  metrics: " << at(3)
            << "store:\n  address: " << to_string(store_.address())
            << "\n  partitions: 24\n  record_bytes: 262144\n"
            << "  append_bytes: 2097152\n  writes_per_s: 800\n"
            << "  reads_per_s: 2000\n  read_mb_per_s: 80.0\n"
            << "  server_renewal_ms: 1200\nlimits:\n  cpu_share: 0.5\n"
            << "bounds:\n  lease_ms: 3000\n  fences_checked: true\n"
            << "  config_ms: 2000\n  drain_ms: 2000\n  cancel_ms: 3000\n"
            << "  status_s: 120\n  grace_s: 8\n";
        nodes_[name] = std::make_unique<hibiscus::testing::process>(
            std::vector<std::string>{program_, "--settings=" + file},
            folder_ + "/" + name + ".log");
        note("starts " + name);
    }

    boost::asio::io_context io_{1};
    base::clock clock_;
    base::millis started_at_ = 0;
    std::string program_;
    std::ofstream record_;
    std::string folder_;
    bool has_trouble_ = true;
    transport::upstream_client client_{io_};
    hibiscus::testing::fake_keyed_store store_{io_};
    std::vector<std::unique_ptr<sampler>> samplers_;
    std::set<std::string> silent_;
    hibiscus::testing::port_reservations reserved_;
    std::map<std::string, std::vector<std::uint16_t>> ports_;
    std::map<std::string, std::unique_ptr<hibiscus::testing::process>> nodes_;
};

/// Returns the configuration of a desk with lookups, scorers and a trainer.
inline json make_configuration(int version) {
    return {{"version", version},
            {"routes",
             {{{"name", "lookup"},
               {"host", "desk.example"},
               {"pathPrefix", "/look/"},
               {"kind", "idempotent"},
               {"timeoutMs", 2000},
               {"targetLatencyMs", 150},
               {"priority", 2},
               {"service", "desk-api"},
               {"attempts", 2}},
              {{"name", "score"},
               {"host", "desk.example"},
               {"pathPrefix", "/score/"},
               {"kind", "idempotent"},
               {"timeoutMs", 3000},
               {"targetLatencyMs", 800},
               {"priority", 2},
               {"service", "desk-api"},
               {"attempts", 4}},
              {{"name", "rollout"},
               {"host", "desk.example"},
               {"pathPrefix", "/batch/"},
               {"kind", "rollout"},
               {"timeoutMs", 10000},
               {"targetLatencyMs", 400},
               {"priority", 0},
               {"runTargetMs", 7500},
               {"retentionS", 40},
               {"service", "draft-llm"},
               {"attempts", 3}}}},
            {"services",
             {{{"name", "draft-llm"},
               {"healthPath", "/healthz"},
               {"maxConns", 170},
               {"engine", {{"slots", 12}, {"kvCapacity", 41294}}}},
              {{"name", "desk-api"},
               {"healthPath", "/healthz"},
               {"maxConns", 110}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 33554432},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
}

/// Returns the body of a batch job of `groups` groups of 8 items. The items'
/// ids begin with `prefix`.
inline json make_job(const std::string& prefix, int step, int min_version,
                     int groups) {
    constexpr int group_size = 8;
    json job{{"step", step},
             {"model", "m"},
             {"minVersion", min_version},
             {"targetGroups", std::max(1, groups * 9 / 10)},
             {"items", json::array()}};
    for (int n = 0; n < groups * group_size; ++n) {
        const auto id = prefix + std::to_string(n);
        const auto group = "g" + prefix + std::to_string(n / group_size);
        job["items"].push_back({{"id", id},
                                {"path", "/batch/" + id},
                                {"headers",
                                 {{"Model", "m"},
                                  {"Token-Counts", "271,3000"},
                                  {"Prompt-Prefix", "9c2e41:255,5d07b8:16"}}},
                                {"body", "YQ=="},
                                {"tokens", 3271},
                                {"group", group},
                                {"scorer",
                                 {{"id", "s" + id},
                                  {"host", "desk.example"},
                                  {"path", "/score/" + id},
                                  {"body", "Yg=="}}}});
    }
    return job;
}

/// Runs a case. It returns true if the rule was broken.
inline int run_case(int argc, char** argv, bool (*play)(world&)) {
    if (argc != 3) {
        std::cerr << "usage: case PROGRAM RECORD\n";
        return 2;
    }
    try {
        world w(argv[1], argv[2]);
        const bool is_broken = play(w);
        w.note(is_broken ? "the rule was broken" : "the rule held");
        std::cout << (is_broken ? "broken\n" : "held\n");
        return is_broken ? 1 : 0;
    } catch (const std::exception& e) {
        std::cerr << "the case could not run: " << e.what() << "\n";
        return 2;
    }
}

} // namespace review
