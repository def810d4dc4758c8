#pragma once

#include "entry/fake_backend_server.hpp"
#include "entry/fake_keyed_store.hpp"
#include "hibiscus/base/result.hpp"
#include "hibiscus/transport/upstream.hpp"
#include "support/process.hpp"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscus::testing {

using json = nlohmann::json;

/// The items of a job, the events of each, and the time between two, in ms.
constexpr int items_per_job = 12;
constexpr int events_per_run = 30;
constexpr int event_interval_ms = 10;

constexpr const char* configuration_json = R"({"version":1,"routes":[
  {"name":"l","host":"h","pathPrefix":"/look/","kind":"idempotent",
   "timeoutMs":2000,"targetLatencyMs":150,"attempts":2,"service":"app"},
  {"name":"b","host":"h","pathPrefix":"/batch/","kind":"rollout",
   "targetLatencyMs":500,"runTargetMs":7500,"retentionS":60,"attempts":3,
   "service":"llm"},
  {"name":"s","host":"h","pathPrefix":"/stream/","kind":"non_idempotent",
   "streaming":true,"resumable":true,"timeoutMs":5000,"targetLatencyMs":500,
   "attempts":3,"service":"llm"},
  {"name":"p","host":"h","pathPrefix":"/plain-stream/","kind":"non_idempotent",
   "streaming":true,"timeoutMs":5000,"targetLatencyMs":500,
   "attempts":3,"service":"llm"},
  {"name":"o","host":"h","pathPrefix":"/once/","kind":"non_idempotent",
   "timeoutMs":2000,"targetLatencyMs":150,"attempts":3,"service":"app"}
  ],"services":[],"limits":{}})";

/// Answers that callers get; status 0 stands for none.
struct call_result {
    int status = 0;
    std::string body;
};

/// Nodes as processes before stand-ins of store and servers, and a caller.
class entry_harness {
public:
    entry_harness() {
        char name[] = "/tmp/hibiscus-entry-XXXXXX";
        work_dir_ = mkdtemp(name);
        for (int n = 0; n < 2; ++n) {
            const auto id = "llm-" + std::to_string(n);
            samplers_.push_back(std::make_unique<fake_backend_server>(
                io_, id, events_per_run, event_interval_ms));
            store_.put("keyed.servers", id,
                       samplers_.back()->make_registration("llm", true));
        }
        store_.put("keyed.servers", "app-0",
                   app_server_.make_registration("app", false));
    }

    ~entry_harness() {
        nodes_.clear();
        if (::testing::Test::HasFailure()) {
            print_log_tails();
        }
        // HIBISCUS_KEEP keeps what the nodes wrote.
        if (std::getenv("HIBISCUS_KEEP") == nullptr) { // NOLINT
            std::filesystem::remove_all(work_dir_);
        }
    }

    entry_harness(const entry_harness&) = delete;
    entry_harness& operator=(const entry_harness&) = delete;

    /// Writes the configuration as the operator, under a version, with the
    /// routes' bounds as they are if `timeout_ms` is 0.
    void publish_configuration(int version = 1, int timeout_ms = 0) {
        auto next = json::parse(configuration_json);
        next["version"] = version;
        for (auto& route : next["routes"]) {
            if (timeout_ms > 0 && route.contains("timeoutMs")) {
                route["timeoutMs"] = timeout_ms;
            }
        }
        store_.put("keyed.op", "config", next.dump());
    }

    /// Writes the settings of a node; its calls to the store go to `store` if
    /// that is given. Returns the file's path.
    std::string
    write_settings(const std::string& name,
                   std::optional<base::endpoint> store = std::nullopt) {
        auto& ports = ports_[name];
        if (ports.empty()) {
            for (int n = 0; n < 4; ++n) {
                ports.push_back(reserved_ports_.reserve("127.0.0.1"));
            }
        }
        auto file = work_dir_ + "/" + name + ".yaml";
        const auto at = [&](std::size_t n) {
            return "127.0.0.1:" + std::to_string(ports[n]) + "\n";
        };
        std::ofstream(file)
            << "node: " << name << "\nzone: z\nlisten:\n"
            << "  callers: " << at(0) << "  readiness: " << at(1)
            << "  directory: " << at(2) << "  metrics: " << at(3)
            << "store:\n  address: "
            << to_string(store.value_or(store_.address())) << "\n"
            << extra_settings_;
        return file;
    }

    /// Starts a node with settings as write_settings() leaves them.
    void start_node(const std::string& name,
                    std::optional<base::endpoint> store = std::nullopt) {
        const auto file = write_settings(name, store);
        nodes_[name] = std::make_unique<process>(
            std::vector<std::string>{HIBISCUS_ENTRYD, "--settings=" + file},
            work_dir_ + "/" + name + ".log");
    }

    call_result call(const std::string& name, const std::string& method,
                     const std::string& target,
                     const transport::headers& fields = {},
                     const std::string& body = "", std::size_t port = 0) {
        transport::upstream_request request;
        request.method = method;
        request.target = target;
        request.fields = fields;
        request.fields.push_back({"Host", "h"});
        request.body = body;
        auto out = std::make_shared<call_result>();
        auto ended = std::make_shared<bool>(false);
        transport::upstream_call_options options;
        options.total_timeout_ms = 2500;
        options.reuse_connection = false;
        transport::upstream_callbacks on;
        on.on_head = [out](const auto& h) { out->status = h.status; };
        on.on_data = [out](std::string_view piece) { out->body += piece; };
        on.on_end = [out, ended](transport::call_outcome end) {
            out->status =
                end == transport::call_outcome::complete ? out->status : 0;
            *ended = true;
        };
        const auto c =
            client_.start({"127.0.0.1", ports_.at(name).at(port)},
                          std::move(request), options, std::move(on));
        run_until([&] { return *ended; });
        return *out;
    }

    /// Runs the stand-ins until a condition holds, at most half a minute.
    template <class Condition>
    bool run_until(Condition holds) {
        const base::clock clock;
        const auto until = clock.now() + 30000;
        while (!holds() && clock.now() < until) {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(5));
        }
        return holds();
    }

    /// Returns true once a node is ready, and false if it has ended or is not
    /// ready in time.
    bool wait_until_ready(const std::string& name) {
        bool ready = false;
        run_until([&] {
            ready = call(name, "GET", "/readyz", {}, "", 1).status == 200;
            return ready || !nodes_.at(name)->is_running();
        });
        return ready;
    }

    /// Returns the body of a job whose items' ids begin with `prefix` and
    /// whose items have the body `content`, in base64.
    static std::string make_job_body(const std::string& prefix, int least = 1,
                                     const std::string& content = "YQ==") {
        json job{{"step", 0},
                 {"model", "m"},
                 {"minVersion", least},
                 {"targetGroups", 3},
                 {"items", json::array()}};
        for (int n = 0; n < items_per_job; ++n) {
            const auto id = prefix + std::to_string(n);
            job["items"].push_back(
                {{"id", id},
                 {"path", "/batch/" + id},
                 {"headers", {{"Model", "m"}, {"Token-Counts", "10,100"}}},
                 {"body", content},
                 {"tokens", 110},
                 {"group", "g" + std::to_string(n / 4)},
                 {"scorer",
                  {{"id", "s" + id},
                   {"host", "h"},
                   {"path", "/look/s"},
                   {"body", ""}}}});
        }
        return job.dump();
    }

    /// Returns the node that owns the jobs by the journal, or "".
    std::string job_owner() const {
        const auto bytes = store_.newest_value("keyed.journal", "!owner");
        const auto in = json::from_cbor(bytes, true, false);
        return in.is_object() ? in.at("node").get<std::string>() : "";
    }

    /// Prints the last lines of each program's log: the folder is gone with the
    /// object, and a failure that comes once is not understood without them.
    void print_log_tails() const {
        constexpr std::size_t lines = 20;
        for (const auto& file :
             std::filesystem::directory_iterator(work_dir_)) {
            if (file.path().extension() != ".log") {
                continue;
            }
            std::deque<std::string> last;
            std::ifstream in(file.path());
            for (std::string line; std::getline(in, line);) {
                last.push_back(std::move(line));
                if (last.size() > lines) {
                    last.pop_front();
                }
            }
            std::cout << "last lines of " << file.path().filename() << ":\n";
            for (const auto& line : last) {
                std::cout << "  " << line << "\n";
            }
        }
        std::cout << std::flush;
    }

    boost::asio::io_context io_{1};
    transport::upstream_client client_{io_};
    fake_keyed_store store_{io_};
    std::vector<std::unique_ptr<fake_backend_server>> samplers_;
    fake_backend_server app_server_{io_, "app-0", events_per_run,
                                    event_interval_ms};
    std::string work_dir_;
    /// Lines behind the settings of the nodes that are started.
    std::string extra_settings_;
    port_reservations reserved_ports_;
    std::map<std::string, std::vector<std::uint16_t>> ports_;
    std::map<std::string, std::unique_ptr<process>> nodes_;
};

} // namespace hibiscus::testing
