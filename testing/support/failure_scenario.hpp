#pragma once

#include "support/oracle.hpp"

#include <csignal>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// The document that failure runs start with.
extern const char* const failure_scenario_document;

/// How much load a failure run has.
struct load_options {
    int steps = 5;
    /// How long callers go on, in s. More than any failure lasts: a caller that
    /// ends before its test has seen what it waits for fails the test, however
    /// well the system does.
    int duration_s = 20;
    int train_ms = 300;
};

/// A small whole system under load, for one failure: three nodes in three
/// zones, three engines, two instances of one plain service, a trainer and an
/// application.
class failure_scenario {
public:
    /// Constructs a run of the programs in the build folder `programs`.
    explicit failure_scenario(const std::string& programs);

    /// Starts everything, publishes the document, and waits until all nodes
    /// are ready and a first sync has run. Returns false if that fails.
    bool start();

    /// Starts the trainer and the applications, one for lookups and one for
    /// syncs.
    void start_load(const load_options& load = {});

    /// Switches a fault of a stand-in; `body` is JSON.
    void inject_fault(const std::string& stand_in, const std::string& body);

    /// Returns the answers that the application has kept so far.
    std::vector<recorded_response> recorded_responses() const;

    /// Waits until `count` more requests whose ids begin with `prefix` have
    /// been completed.
    bool wait_for_completions(const std::string& prefix, int count = 5);

    /// Waits for the clients, prints the longest gaps and waits, and
    /// returns everything that was broken.
    std::vector<violation> finish_and_check();

    /// Returns the system.
    test_cluster& cluster() { return cluster_; }

    /// Returns the names of the instances of the plain service.
    const std::vector<std::string>& service_names() const {
        return service_names_;
    }

    /// Returns the names of the engines.
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

/// Returns `violations` as lines, for messages of tests.
std::string to_string(const std::vector<violation>& violations);

} // namespace hibiscus::testing
