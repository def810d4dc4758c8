#include "support/failure_scenario.hpp"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace hibiscus::testing {

namespace {

constexpr base::millis client_timeout_ms = 120000;
constexpr base::millis completion_timeout_ms = 60000;

} // namespace

const char* const failure_scenario_document = R"({"schema": 1,
    "owners": [{"name": "campus"}],
    "pools": [{"name": "tagging", "owner": "campus"}],
    "trainers": [{"name": "tagger", "owner": "campus", "pool": "tagging",
                  "staleness_bound": 1}],
    "services": [{"name": "ledger", "owner": "campus"}],
    "limits": {"entries_ttl_ms": 500}})";

failure_scenario::failure_scenario(const std::string& programs)
    : cluster_(programs) {}

bool failure_scenario::start() {
    cluster_.start_platform();
    for (const char* zone : {"1", "2", "3"}) {
        cluster_.start_node(std::string("127.0.0.") + zone,
                            std::string("z") + zone);
        engine_names_.push_back(
            cluster_.start_engine("tagging", std::string("z") + zone));
    }
    service_names_.push_back(cluster_.start_service("ledger", "z1"));
    service_names_.push_back(cluster_.start_service("ledger", "z2"));
    return cluster_.publish_document(failure_scenario_document) == 0 &&
           cluster_.wait_until_ready();
}

void failure_scenario::start_load(const load_options& load) {
    trainer_ = &cluster_.start_client(
        "trainer", "tagger",
        {"--steps=" + std::to_string(load.steps),
         "--train_ms=" + std::to_string(load.train_ms),
         "--weights=" + base::to_string(cluster_.address_of("weights")),
         "--answers=" + cluster_.file_path("trainer.jsonl")});
    // An application waits before it retries a rejected sync. A separate
    // application sends the lookups, so that this wait does not delay them.
    apps_ = {start_app("lookups", 0, load), start_app("syncs", 1, load)};
}

process* failure_scenario::start_app(const std::string& name, int sync_every,
                                     const load_options& load) {
    return &cluster_.start_client(
        "app", name,
        {"--seconds=" + std::to_string(load.duration_s),
         "--sync_every=" + std::to_string(sync_every), "--most_tries=500",
         "--answers=" + cluster_.file_path(name + ".jsonl")});
}

void failure_scenario::inject_fault(const std::string& stand_in,
                                    const std::string& body) {
    cluster_.send_request(stand_in, "POST", "/v1/fault", body);
}

std::vector<recorded_response> failure_scenario::recorded_responses() const {
    auto responses = read_answers(cluster_.file_path("lookups.jsonl"));
    const auto syncs = read_answers(cluster_.file_path("syncs.jsonl"));
    responses.insert(responses.end(), syncs.begin(), syncs.end());
    return responses;
}

int failure_scenario::count_completed(const std::string& prefix) const {
    const auto responses = recorded_responses();
    return static_cast<int>(std::count_if(
        responses.begin(), responses.end(), [&](const recorded_response& a) {
            return a.id.rfind(prefix, 0) == 0 && a.result == "completed";
        }));
}

bool failure_scenario::wait_for_completions(const std::string& prefix,
                                            int count) {
    const int expected = count_completed(prefix) + count;
    return eventually([&] { return count_completed(prefix) >= expected; },
                      completion_timeout_ms);
}

std::vector<violation> failure_scenario::finish_and_check() {
    std::vector<violation> found;
    if (trainer_->wait_for_exit(client_timeout_ms) != 0) {
        found.push_back({violation_kind::client_failed, "trainer"});
    }
    const auto add = [&](const std::vector<violation>& added) {
        found.insert(found.end(), added.begin(), added.end());
    };
    for (auto* app : apps_) {
        if (app->wait_for_exit(client_timeout_ms) != 0) {
            found.push_back({violation_kind::client_failed, "app"});
        }
        add(check_app_output(app->output()));
    }
    const auto responses = recorded_responses();
    add(check_trainer_output(cluster_, trainer_->output(),
                             cluster_.file_path("trainer.jsonl")));
    add(check_runs(cluster_, responses));
    std::cout << "measured: longest gap lookup_ms="
              << longest_gap(responses, "lookup-")
              << " sync_ms=" << longest_gap(responses, "sync-") << " sample_ms="
              << longest_sample_gap(cluster_.file_path("trainer.jsonl"))
              << "; longest wait lookup_ms="
              << longest_wait(responses, "lookup-")
              << " sync_ms=" << longest_wait(responses, "sync-")
              << "; unresolved " << find_unresolved_requests(responses).size()
              << std::endl;
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
