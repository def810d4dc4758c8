#pragma once

#include "support/oracle.hpp"

#include <csignal>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// The document that failure_scenario::start() publishes.
extern const char* const failure_scenario_document;

/// The load of a failure scenario.
struct load_options {
    /// How many steps the trainer runs.
    int steps = 5;
    /// How long the applications send requests, in s. Longer than any injected
    /// failure: if they ended before the test has seen the responses that it
    /// waits for, the test would fail although the system is correct.
    int duration_s = 20;
    /// How long the trainer trains on each step, in ms.
    int train_ms = 300;
};

/// A small complete system under load, into which a test injects one failure:
/// three nodes in three availability zones, three engines, two instances of one
/// plain service, a trainer and two applications.
class failure_scenario {
public:
    /// Constructs a scenario with the programs in the build folder `programs`.
    explicit failure_scenario(const std::string& programs);

    /// Starts the platform, nodes, engines and services, publishes the
    /// configuration document and waits until all nodes are ready. Returns
    /// false if that fails.
    bool start();

    /// Starts the trainer and two applications, one for lookups and one for
    /// syncs (requests that are not idempotent).
    void start_load(const load_options& load = {});

    /// Sets the faults of a stand-in; `body` is JSON.
    void inject_fault(const std::string& stand_in, const std::string& body);

    /// Returns the responses that the applications have recorded so far.
    std::vector<recorded_response> recorded_responses() const;

    /// Waits until `count` more requests whose ids begin with `prefix` have
    /// completed. Returns false on timeout.
    bool wait_for_completions(const std::string& prefix, int count = 5);

    /// Waits until the clients exit, prints the longest gaps between responses
    /// and the longest waiting times, and returns all violations.
    std::vector<violation> finish_and_check();

    test_cluster& cluster() { return cluster_; }

    /// Returns the names of the plain service's instances.
    const std::vector<std::string>& service_names() const {
        return service_names_;
    }

    const std::vector<std::string>& engine_names() const {
        return engine_names_;
    }

private:
    process* start_app(const std::string& name, int sync_every,
                       const load_options& load);
    int count_completed(const std::string& prefix) const;

    test_cluster cluster_;
    std::vector<std::string> service_names_;
    std::vector<std::string> engine_names_;
    process* trainer_ = nullptr;
    std::vector<process*> apps_;
};

/// Returns one line for each violation, for test failure messages.
std::string to_string(const std::vector<violation>& violations);

} // namespace hibiscus::testing
