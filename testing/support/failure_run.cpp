#include "support/failure_run.hpp"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace hibiscus::testing {

namespace {

constexpr base::millis client_limit = 120000;
constexpr base::millis completion_limit = 60000;

} // namespace

const char* const failure_document = R"({"schema": 1,
    "owners": [{"name": "campus"}],
    "pools": [{"name": "tagging", "owner": "campus"}],
    "trainers": [{"name": "tagger", "owner": "campus", "pool": "tagging",
                  "staleness_bound": 1}],
    "services": [{"name": "ledger", "owner": "campus"}],
    "limits": {"entries_ttl_ms": 500}})";

failure_run::failure_run(const std::string& programs) : system_(programs) {}

bool failure_run::start() {
    system_.start_platform();
    for (const char* zone : {"1", "2", "3"}) {
        system_.start_node(std::string("127.0.0.") + zone,
                           std::string("z") + zone);
        engines_.push_back(
            system_.start_engine("tagging", std::string("z") + zone));
    }
    services_.push_back(system_.start_service("ledger", "z1"));
    services_.push_back(system_.start_service("ledger", "z2"));
    return system_.publish(failure_document) == 0 && system_.wait_ready();
}

void failure_run::load(const failure_load& load) {
    trainer_ = &system_.start_client(
        "trainer", "tagger",
        {"--steps=" + std::to_string(load.steps),
         "--train_ms=" + std::to_string(load.train_ms),
         "--weights=" + base::to_string(system_.address("weights")),
         "--answers=" + system_.path("trainer.jsonl")});
    // A caller whose sync is refused waits; lookups must go on meanwhile, so
    // they have callers of their own.
    apps_ = {start_app("lookups", 0, load), start_app("syncs", 1, load)};
}

process* failure_run::start_app(const std::string& name, int sync_every,
                                const failure_load& load) {
    return &system_.start_client(
        "app", name,
        {"--seconds=" + std::to_string(load.seconds),
         "--sync_every=" + std::to_string(sync_every), "--most_tries=500",
         "--answers=" + system_.path(name + ".jsonl")});
}

void failure_run::fault(const std::string& stand_in, const std::string& body) {
    system_.ask(stand_in, "POST", "/v1/fault", body);
}

std::vector<kept_answer> failure_run::answers() const {
    auto all = read_answers(system_.path("lookups.jsonl"));
    const auto syncs = read_answers(system_.path("syncs.jsonl"));
    all.insert(all.end(), syncs.begin(), syncs.end());
    return all;
}

int failure_run::completed(const std::string& prefix) const {
    const auto all = answers();
    return static_cast<int>(
        std::count_if(all.begin(), all.end(), [&](const kept_answer& a) {
            return a.id.rfind(prefix, 0) == 0 && a.result == "completed";
        }));
}

bool failure_run::completes(const std::string& prefix, int count) {
    const int wanted = completed(prefix) + count;
    return eventually([&] { return completed(prefix) >= wanted; },
                      completion_limit);
}

std::vector<violation> failure_run::finish() {
    std::vector<violation> found;
    if (trainer_->wait(client_limit) != 0) {
        found.push_back({violation_kind::client_failed, "trainer"});
    }
    const auto add = [&](const std::vector<violation>& more) {
        found.insert(found.end(), more.begin(), more.end());
    };
    for (auto* app : apps_) {
        if (app->wait(client_limit) != 0) {
            found.push_back({violation_kind::client_failed, "app"});
        }
        add(check_app(app->output()));
    }
    const auto kept = answers();
    add(check_trainer(system_, trainer_->output(),
                      system_.path("trainer.jsonl")));
    add(check_runs(system_, kept));
    std::cout << "measured: longest gap lookup_ms="
              << longest_gap(kept, "lookup-")
              << " sync_ms=" << longest_gap(kept, "sync-") << " sample_ms="
              << longest_sample_gap(system_.path("trainer.jsonl"))
              << "; longest wait lookup_ms=" << longest_wait(kept, "lookup-")
              << " sync_ms=" << longest_wait(kept, "sync-") << "; left open "
              << left_open(kept).size() << std::endl;
    return found;
}

std::string to_string(const std::vector<violation>& violations) {
    std::ostringstream text;
    for (const auto& v : violations) {
        text << v << "\n";
    }
    return text.str();
}

} // namespace hibiscus::testing
