// Runs the main job on the shape of one of the two deployments: nodes in all
// zones, ten engines, plain services, two trainers that share the engines and
// an application with lookups and syncs, with a change of the document and a
// planned stop on the way. The last line is computed from what clients and
// stand-ins saw.

#include "demo/report.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, programs, "build", "the build folder");
ABSL_FLAG(std::string, examples, "examples", "folder of the documents");
ABSL_FLAG(std::string, deployment, "cascadia", "cascadia or veritas");
ABSL_FLAG(int, steps, 8, "steps of each trainer");
ABSL_FLAG(int, seconds, 14, "how long the application calls");
ABSL_FLAG(bool, keep, false, "keep the logs of all processes");

namespace hibiscus::testing {
namespace {

using nlohmann::json;

/// The shape of a deployment. Names are those of its document.
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
    for (const auto& d : deployments) {
        if (d.name == name) {
            return &d;
        }
    }
    return nullptr;
}

/// One run of the demo.
class demo_run {
public:
    demo_run(const deployment& shape, json document)
        : deployment_(shape), document_(std::move(document)),
          cluster_(absl::GetFlag(FLAGS_programs)) {}

    /// Runs all of it. Returns the exit code.
    int run() {
        if (absl::GetFlag(FLAGS_keep)) {
            cluster_.keep_files();
            log_progress("logs in " + cluster_.file_path(""));
        }
        start_processes();
        if (cluster_.publish_document(document_.dump()) != 0 ||
            !cluster_.wait_until_ready()) {
            log_progress("the system did not become ready");
            return 1;
        }
        log_progress("first document in force on " +
                     std::to_string(deployment_.nodes) + " nodes");
        start_clients();
        report_progress(3);
        const bool changed = change_document();
        report_progress(2);
        const bool stopped =
            stop_node(static_cast<std::size_t>(deployment_.nodes) / 2);
        while (has_running_clients()) {
            report_progress(2);
        }
        run_report r;
        for (auto* trainer : trainers_) {
            add_trainer_output(r, trainer->output());
        }
        for (auto* app : apps_) {
            add_app_output(r, app->output());
        }
        add_duplicate_runs(r, cluster_);
        print(r);
        return changed && stopped && is_clean(r) ? 0 : 1;
    }

private:
    void log_progress(const std::string& text) const {
        std::cout << "demo: " << (clock_.now() - started_at_) / 1000
                  << " s: " << text << std::endl;
    }

    std::string zone_name(int i) const {
        return "z" + std::to_string(i % deployment_.zones + 1);
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
            const bool lookup = i % 2 == 0;
            cluster_.start_service(lookup ? deployment_.lookup_service
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
        const auto number = [](int n) { return std::to_string(n); };
        for (const auto& trainer : document_["trainers"]) {
            const std::string name = trainer["name"];
            trainers_.push_back(&cluster_.start_client(
                "trainer", name,
                {"--steps=" + number(absl::GetFlag(FLAGS_steps)),
                 "--bound=" + number(trainer["staleness_bound"]),
                 "--weights=" + base::to_string(cluster_.address_of("weights")),
                 "--answers=" + cluster_.file_path(name + ".jsonl")}));
        }
        const auto seconds =
            "--seconds=" + number(absl::GetFlag(FLAGS_seconds));
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
        const bool changed = cluster_.publish_document(document_.dump()) == 0;
        log_progress(std::string("second document ") +
                     (changed ? "accepted" : "not accepted"));
        return changed;
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
        bool any = false;
        for (auto* p : trainers_) {
            any = any || p->is_running();
        }
        for (auto* p : apps_) {
            any = any || p->is_running();
        }
        return any;
    }

    /// Waits for some seconds and tells how far the clients are.
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
        std::ifstream in(cluster_.file_path(name + ".jsonl"));
        std::string line;
        std::size_t count = 0;
        while (std::getline(in, line)) {
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
    const auto* shape = find_deployment(name);
    std::ifstream file(absl::GetFlag(FLAGS_examples) + "/" + name + ".json");
    auto document = json::parse(file, nullptr, false);
    if (shape == nullptr || !document.is_object()) {
        std::cerr << "demo: no deployment " << name << '\n';
        return 2;
    }
    return demo_run(*shape, std::move(document)).run();
}

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    return hibiscus::testing::run();
}
