#pragma once

#include "entry/fake_backend_server.hpp"
#include "entry/fake_keyed_store.hpp"
#include "hibiscus/base/result.hpp"
#include "hibiscus/transport/upstream.hpp"
#include "support/process.hpp"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <algorithm>
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

/// The number of items of a job, the number of events of each item's run, and
/// the time between two events, in ms.
constexpr int items_per_job = 12;
constexpr int events_per_run = 30;
constexpr int event_interval_ms = 10;

/// The memory of the smallest machine, in bytes.
constexpr std::size_t machine_bytes = 120 * 1000 * 1000;

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

/// The response to a caller's request; status 0 means no complete response.
struct call_result {
    int status = 0;
    std::string body;
};

/// Runs hibiscus_entryd nodes as processes against a fake store and fake
/// backend servers, and calls them. The fakes run only while io_ runs, as in
/// run_until() and call().
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
                   lookup_server_.make_registration("app", false));
    }

    ~entry_harness() {
        nodes_.clear();
        if (::testing::Test::HasFailure()) {
            print_log_tails();
        }
        // HIBISCUS_KEEP keeps the settings and logs of the nodes.
        const bool keeps_all =
            std::getenv("HIBISCUS_KEEP") != nullptr; // NOLINT
        if (!keeps_files_ && !keeps_all) {
            std::filesystem::remove_all(work_dir_);
        }
    }

    entry_harness(const entry_harness&) = delete;
    entry_harness& operator=(const entry_harness&) = delete;

    /// Publishes the configuration with the given version, as the operator
    /// would. If `timeout_ms` is not 0, it replaces the timeouts of the routes.
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

    /// Writes the settings file of a node. The node uses the store at `store`,
    /// by default the fake store. Returns the path of the file.
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
        const auto listen_address = [&](std::size_t n) {
            return "127.0.0.1:" + std::to_string(ports[n]) + "\n";
        };
        std::ofstream(file)
            << "node: " << name << "\nzone: z\nlisten:\n"
            << "  callers: " << listen_address(0)
            << "  readiness: " << listen_address(1)
            << "  directory: " << listen_address(2)
            << "  metrics: " << listen_address(3) << "store:\n  address: "
            << to_string(store.value_or(store_.address())) << "\n"
            << extra_settings_;
        return file;
    }

    /// Writes the settings of a node and starts it.
    void start_node(const std::string& name,
                    std::optional<base::endpoint> store = std::nullopt) {
        const auto file = write_settings(name, store);
        nodes_[name] = std::make_unique<process>(
            std::vector<std::string>{HIBISCUS_ENTRYD, "--settings=" + file},
            work_dir_ + "/" + name + ".log");
    }

    /// Sends a request to the node or proxy `name` and runs the fakes until the
    /// call has ended or its time is over. `port_index` selects a port of a
    /// node: 0 for callers, 1 for readiness, 2 for the directory, 3 for
    /// metrics.
    call_result call(const std::string& name, const std::string& method,
                     const std::string& target,
                     const transport::headers& fields = {},
                     const std::string& body = "", std::size_t port_index = 0) {
        transport::upstream_request request;
        request.method = method;
        request.target = target;
        request.fields = fields;
        request.fields.push_back({"Host", "h"});
        request.body = body;
        auto result = std::make_shared<call_result>();
        auto ended = std::make_shared<bool>(false);
        transport::upstream_call_options options;
        options.total_timeout_ms = call_timeout_ms_;
        options.reuse_connection = false;
        transport::upstream_callbacks callbacks;
        callbacks.on_head = [result](const auto& head) {
            result->status = head.status;
        };
        callbacks.on_data = [result](std::string_view chunk) {
            result->body += chunk;
        };
        callbacks.on_end = [result, ended](transport::call_outcome outcome) {
            result->status = outcome == transport::call_outcome::complete
                                 ? result->status
                                 : 0;
            *ended = true;
        };
        const auto call_handle =
            client_.start({"127.0.0.1", ports_.at(name).at(port_index)},
                          std::move(request), options, std::move(callbacks));
        run_until([&] { return *ended; });
        return *result;
    }

    /// Runs the fakes until a condition holds, for at most 30 s. Returns
    /// whether the condition holds.
    template <class Condition>
    bool run_until(Condition condition) {
        const base::clock clock;
        const auto deadline = clock.now() + 30000;
        while (!condition() && clock.now() < deadline) {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    /// Waits until a node is ready. Returns false if the node has ended or is
    /// not ready after 30 s.
    bool wait_until_ready(const std::string& name) {
        bool ready = false;
        run_until([&] {
            ready = call(name, "GET", "/readyz", {}, "", 1).status == 200;
            return ready || !nodes_.at(name)->is_running();
        });
        return ready;
    }

    /// Returns the body of a request that submits a job. The item ids begin
    /// with `prefix`; `content` is the body of each item, in base64.
    static std::string make_job_body(const std::string& prefix,
                                     int min_version = 1,
                                     const std::string& content = "YQ==") {
        json job{{"step", 0},
                 {"model", "m"},
                 {"minVersion", min_version},
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

    /// Returns the name of the job owner according to the journal, or "".
    std::string job_owner() const {
        const auto record = store_.newest_value("keyed.journal", "!owner");
        const auto decoded = json::from_cbor(record, true, false);
        return decoded.is_object() ? decoded.at("node").get<std::string>() : "";
    }

    /// Returns the most memory that a node has used since its start, in bytes.
    std::size_t peak_bytes(const std::string& name) const {
        std::ifstream in("/proc/" + std::to_string(nodes_.at(name)->pid()) +
                         "/status");
        for (std::string line; std::getline(in, line);) {
            if (line.compare(0, 6, "VmHWM:") == 0) {
                return std::strtoull(line.c_str() + 6, nullptr, 10) * 1024;
            }
        }
        return machine_bytes + 1;
    }

    /// Returns how many descriptors a node has open.
    std::size_t open_descriptors(const std::string& name) const {
        const std::filesystem::directory_iterator open(
            "/proc/" + std::to_string(nodes_.at(name)->pid()) + "/fd");
        return static_cast<std::size_t>(std::distance(begin(open), end(open)));
    }

    /// Returns true if a line of the node's log contains all texts.
    bool has_logged(const std::string& name,
                    const std::vector<std::string>& texts) const {
        std::ifstream in(work_dir_ + "/" + name + ".log");
        for (std::string line; std::getline(in, line);) {
            if (std::all_of(texts.begin(), texts.end(), [&](const auto& text) {
                    return line.find(text) != std::string::npos;
                })) {
                return true;
            }
        }
        return false;
    }

    /// Prints the last lines of each log file. The destructor removes the
    /// files, and a rare failure can't be explained without them.
    void print_log_tails() const {
        constexpr std::size_t max_lines = 20;
        for (const auto& file :
             std::filesystem::directory_iterator(work_dir_)) {
            if (file.path().extension() != ".log") {
                continue;
            }
            std::deque<std::string> tail;
            std::ifstream in(file.path());
            for (std::string line; std::getline(in, line);) {
                tail.push_back(std::move(line));
                if (tail.size() > max_lines) {
                    tail.pop_front();
                }
            }
            std::cout << "last lines of " << file.path().filename() << ":\n";
            for (const auto& line : tail) {
                std::cout << "  " << line << "\n";
            }
        }
        std::cout << std::flush;
    }

    boost::asio::io_context io_{1};
    /// Time limit of call(), in ms.
    base::millis call_timeout_ms_ = 2500;
    transport::upstream_client client_{io_};
    fake_keyed_store store_{io_};
    std::vector<std::unique_ptr<fake_backend_server>> samplers_;
    fake_backend_server lookup_server_{io_, "app-0", events_per_run,
                                       event_interval_ms};
    /// Keeps the settings and logs of the nodes.
    void keep_files() { keeps_files_ = true; }

    std::string work_dir_;
    bool keeps_files_ = false;
    /// Lines that are appended to the settings of the nodes that are started.
    std::string extra_settings_;
    port_reservations reserved_ports_;
    std::map<std::string, std::vector<std::uint16_t>> ports_;
    std::map<std::string, std::unique_ptr<process>> nodes_;
};

} // namespace hibiscus::testing
