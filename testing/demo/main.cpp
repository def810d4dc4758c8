// Runs a demo on a cluster in the shape of one of two deployments: nodes in all
// zones, ten engines, plain services, two trainers that share the engines, and
// applications that send lookups (idempotent requests) and syncs
// (non-idempotent requests). During the run it publishes a changed document and
// performs a planned stop of a node. The last line of the output summarizes
// what the clients and stand-ins recorded.

#include "demo/report.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, programs, "build", "build directory");
ABSL_FLAG(std::string, examples, "examples", "directory of the documents");
ABSL_FLAG(std::string, deployment, "cascadia",
          "deployment to run: cascadia or veritas");
ABSL_FLAG(int, steps, 8, "number of steps of each trainer");
ABSL_FLAG(int, seconds, 14,
          "duration of the load of the applications in seconds");
ABSL_FLAG(bool, keep, false, "keep the logs of all processes after the run");

namespace hibiscus::testing {
namespace {

using nlohmann::json;

/// A deployment: the numbers of its processes, and services that its document
/// declares.
struct deployment {
    const char* name;
    int zones;
    int nodes;
    int engines;
    int services;
    const char* lookup_service;
    const char* sync_service;
};

constexpr deployment deployments[] = {
    {"cascadia", 3, 9, 10, 5, "balance", "ledger"},
    {"veritas", 4, 12, 10, 15, "sources", "archive"},
};

const deployment* find_deployment(const std::string& name) {
    for (const auto& candidate : deployments) {
        if (candidate.name == name) {
            return &candidate;
        }
    }
    return nullptr;
}

/// One run of the demo.
class demo_run {
public:
    demo_run(const deployment& selected_deployment, json document)
        : deployment_(selected_deployment), document_(std::move(document)),
          cluster_(absl::GetFlag(FLAGS_programs)) {}

    /// Runs the demo and returns its exit code: 0 if no client or stand-in saw
    /// a failure.
    int run() {
        if (absl::GetFlag(FLAGS_keep)) {
            cluster_.keep_files();
            log_progress("logs in " + cluster_.file_path(""));
        }
        start_processes();
        if (cluster_.publish_document(document_.dump()) != 0 ||
            !cluster_.wait_until_ready()) {
            log_progress("the cluster did not become ready");
            return 1;
        }
        log_progress("first document in force on " +
                     std::to_string(deployment_.nodes) + " nodes");
        start_clients();
        report_progress(3);
        const bool published = change_document();
        report_progress(2);
        const bool stopped_cleanly =
            stop_node(static_cast<std::size_t>(deployment_.nodes) / 2);
        while (has_running_clients()) {
            report_progress(2);
        }
        demo_report report;
        for (auto* trainer : trainers_) {
            add_trainer_output(report, trainer->output());
        }
        for (auto* app : apps_) {
            add_app_output(report, app->output());
        }
        add_duplicate_runs(report, cluster_);
        print(report);
        return published && stopped_cleanly && is_clean(report) ? 0 : 1;
    }

private:
    void log_progress(const std::string& text) const {
        std::cout << "demo: " << (clock_.now() - started_at_) / 1000
                  << " s: " << text << std::endl;
    }

    std::string zone_name(int index) const {
        return "z" + std::to_string(index % deployment_.zones + 1);
    }

    void start_processes() {
        cluster_.start_platform();
        for (int i = 0; i < deployment_.nodes; ++i) {
            const auto ip = "127.0." +
                            std::to_string(i % deployment_.zones + 1) + "." +
                            std::to_string(i / deployment_.zones + 1);
            cluster_.start_node(ip, zone_name(i));
        }
        const std::string pool = document_["pools"][0]["name"];
        for (int i = 0; i < deployment_.engines; ++i) {
            cluster_.start_engine(pool, zone_name(i));
        }
        for (int i = 0; i < deployment_.services; ++i) {
            const bool is_lookup = i % 2 == 0;
            cluster_.start_service(is_lookup ? deployment_.lookup_service
                                             : deployment_.sync_service,
                                   zone_name(i));
        }
        log_progress(std::string(deployment_.name) + ": " +
                     std::to_string(deployment_.nodes) + " nodes in " +
                     std::to_string(deployment_.zones) + " zones, " +
                     std::to_string(deployment_.engines) + " engines, " +
                     std::to_string(deployment_.services) +
                     " services started");
    }

    void start_clients() {
        const auto to_text = [](int value) { return std::to_string(value); };
        for (const auto& trainer : document_["trainers"]) {
            const std::string name = trainer["name"];
            trainers_.push_back(&cluster_.start_client(
                "trainer", name,
                {"--steps=" + to_text(absl::GetFlag(FLAGS_steps)),
                 "--bound=" + to_text(trainer["staleness_bound"]),
                 "--weights=" + base::to_string(cluster_.address_of("weights")),
                 "--answers=" + cluster_.file_path(name + ".jsonl")}));
        }
        const auto seconds =
            "--seconds=" + to_text(absl::GetFlag(FLAGS_seconds));
        apps_.push_back(&cluster_.start_client(
            "app", "lookups",
            {seconds, "--sync_every=0", "--callers=3",
             std::string("--service=") + deployment_.lookup_service,
             "--answers=" + cluster_.file_path("lookups.jsonl")}));
        apps_.push_back(&cluster_.start_client(
            "app", "syncs",
            {seconds, "--sync_every=1", "--callers=1",
             std::string("--service=") + deployment_.sync_service,
             "--answers=" + cluster_.file_path("syncs.jsonl")}));
    }

    bool change_document() {
        document_["trainers"][0]["weight"] = 4.0;
        const bool published = cluster_.publish_document(document_.dump()) == 0;
        log_progress(std::string("second document ") +
                     (published ? "accepted" : "not accepted"));
        return published;
    }

    bool stop_node(std::size_t index) {
        auto& node = cluster_.nodes()[index];
        log_progress("planned stop of " + node.name);
        node.daemon->signal(SIGTERM);
        const auto code = node.daemon->wait_for_exit(20000);
        log_progress(node.name + " ended with code " +
                     std::to_string(code.value_or(-1)));
        return code == 0;
    }

    bool has_running_clients() {
        bool any_running = false;
        for (auto* client : trainers_) {
            any_running = any_running || client->is_running();
        }
        for (auto* client : apps_) {
            any_running = any_running || client->is_running();
        }
        return any_running;
    }

    /// Waits for `seconds` and logs how many responses the clients got.
    void report_progress(int seconds) {
        pause_for(seconds * base::millis{1000});
        std::string text;
        for (const auto& trainer : document_["trainers"]) {
            const std::string name = trainer["name"];
            text += name + " " + std::to_string(count_responses(name)) +
                    " samples, ";
        }
        text += std::to_string(count_responses("lookups")) + " lookups, " +
                std::to_string(count_responses("syncs")) + " syncs answered";
        log_progress(text);
    }

    std::size_t count_responses(const std::string& name) const {
        std::ifstream file(cluster_.file_path(name + ".jsonl"));
        std::string line;
        std::size_t count = 0;
        while (std::getline(file, line)) {
            ++count;
        }
        return count;
    }

    const deployment& deployment_;
    json document_;
    test_cluster cluster_;
    base::clock clock_;
    base::millis started_at_ = clock_.now();
    std::vector<process*> trainers_;
    std::vector<process*> apps_;
};

int run() {
    const auto name = absl::GetFlag(FLAGS_deployment);
    const auto* found_deployment = find_deployment(name);
    std::ifstream file(absl::GetFlag(FLAGS_examples) + "/" + name + ".json");
    auto document = json::parse(file, nullptr, false);
    if (found_deployment == nullptr || !document.is_object()) {
        std::cerr << "demo: unknown deployment or missing document: " << name
                  << '\n';
        return 2;
    }
    return demo_run(*found_deployment, std::move(document)).run();
}

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    return hibiscus::testing::run();
}
