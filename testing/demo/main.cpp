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
        : shape_(shape), document_(std::move(document)),
          system_(absl::GetFlag(FLAGS_programs)) {}

    /// Runs all of it. Returns the exit code.
    int run() {
        if (absl::GetFlag(FLAGS_keep)) {
            system_.keep();
            say("logs in " + system_.path(""));
        }
        start_processes();
        if (system_.publish(document_.dump()) != 0 || !system_.wait_ready()) {
            say("the system did not become ready");
            return 1;
        }
        say("first document in force on " + std::to_string(shape_.nodes) +
            " nodes");
        start_clients();
        watch(3);
        const bool changed = change_document();
        watch(2);
        const bool stopped =
            stop_node(static_cast<std::size_t>(shape_.nodes) / 2);
        while (running()) {
            watch(2);
        }
        report r;
        for (auto* trainer : trainers_) {
            add_trainer(r, trainer->output());
        }
        for (auto* app : apps_) {
            add_app(r, app->output());
        }
        add_runs(r, system_);
        print(r);
        return changed && stopped && clean(r) ? 0 : 1;
    }

private:
    void say(const std::string& text) const {
        std::cout << "demo: " << (clock_.now() - begin_) / 1000
                  << " s: " << text << std::endl;
    }

    std::string zone(int i) const {
        return "z" + std::to_string(i % shape_.zones + 1);
    }

    void start_processes() {
        system_.start_platform();
        for (int i = 0; i < shape_.nodes; ++i) {
            const auto ip = "127.0." + std::to_string(i % shape_.zones + 1) +
                            "." + std::to_string(i / shape_.zones + 1);
            system_.start_node(ip, zone(i));
        }
        const std::string pool = document_["pools"][0]["name"];
        for (int i = 0; i < shape_.engines; ++i) {
            system_.start_engine(pool, zone(i));
        }
        for (int i = 0; i < shape_.services; ++i) {
            const bool lookup = i % 2 == 0;
            system_.start_service(
                lookup ? shape_.lookup_service : shape_.sync_service, zone(i));
        }
        say(std::string(shape_.name) + ": " + std::to_string(shape_.nodes) +
            " nodes in " + std::to_string(shape_.zones) + " zones, " +
            std::to_string(shape_.engines) + " engines, " +
            std::to_string(shape_.services) + " services started");
    }

    void start_clients() {
        const auto number = [](int n) { return std::to_string(n); };
        for (const auto& trainer : document_["trainers"]) {
            const std::string name = trainer["name"];
            trainers_.push_back(&system_.start_client(
                "trainer", name,
                {"--steps=" + number(absl::GetFlag(FLAGS_steps)),
                 "--bound=" + number(trainer["staleness_bound"]),
                 "--weights=" + base::to_string(system_.address("weights")),
                 "--answers=" + system_.path(name + ".jsonl")}));
        }
        const auto seconds =
            "--seconds=" + number(absl::GetFlag(FLAGS_seconds));
        apps_.push_back(&system_.start_client(
            "app", "lookups",
            {seconds, "--sync_every=0", "--callers=3",
             std::string("--service=") + shape_.lookup_service,
             "--answers=" + system_.path("lookups.jsonl")}));
        apps_.push_back(&system_.start_client(
            "app", "syncs",
            {seconds, "--sync_every=1", "--callers=1",
             std::string("--service=") + shape_.sync_service,
             "--answers=" + system_.path("syncs.jsonl")}));
    }

    bool change_document() {
        document_["trainers"][0]["weight"] = 4.0;
        const bool changed = system_.publish(document_.dump()) == 0;
        say(std::string("second document ") +
            (changed ? "accepted" : "not accepted"));
        return changed;
    }

    bool stop_node(std::size_t index) {
        auto& node = system_.nodes()[index];
        say("planned stop of " + node.name);
        node.running->signal(SIGTERM);
        const auto code = node.running->wait(20000);
        say(node.name + " ended with code " +
            std::to_string(code.value_or(-1)));
        return code == 0;
    }

    bool running() {
        bool any = false;
        for (auto* p : trainers_) {
            any = any || p->running();
        }
        for (auto* p : apps_) {
            any = any || p->running();
        }
        return any;
    }

    /// Waits for some seconds and tells how far the clients are.
    void watch(int seconds) {
        pause_for(seconds * base::millis{1000});
        std::string text;
        for (const auto& trainer : document_["trainers"]) {
            const std::string name = trainer["name"];
            text += name + " " + std::to_string(lines_of(name)) + " samples, ";
        }
        text += std::to_string(lines_of("lookups")) + " lookups, " +
                std::to_string(lines_of("syncs")) + " syncs answered";
        say(text);
    }

    std::size_t lines_of(const std::string& name) const {
        std::ifstream in(system_.path(name + ".jsonl"));
        std::string line;
        std::size_t count = 0;
        while (std::getline(in, line)) {
            ++count;
        }
        return count;
    }

    const deployment& shape_;
    json document_;
    system system_;
    base::clock clock_;
    base::millis begin_ = clock_.now();
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
