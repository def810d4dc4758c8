#pragma once

#include "support/oracle.hpp"

#include <csignal>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// The document that failure runs start with.
extern const char* const failure_document;

/// How much load a failure run has.
struct failure_load {
    int steps = 5;
    /// How long callers go on, in s. More than any failure lasts: a caller that
    /// ends before its test has seen what it waits for fails the test, however
    /// well the system does.
    int seconds = 20;
    int train_ms = 300;
};

/// A small whole system under load, for one failure: three nodes in three
/// zones, three engines, two instances of one plain service, a trainer and an
/// application.
class failure_run {
public:
    /// Constructs a run of the programs in the build folder `programs`.
    explicit failure_run(const std::string& programs);

    /// Starts everything, publishes the document, and waits until all nodes
    /// are ready and a first sync has run. Returns false if that fails.
    bool start();

    /// Starts the trainer and the applications, one for lookups and one for
    /// syncs.
    void load(const failure_load& load = {});

    /// Switches a fault of a stand-in; `body` is JSON.
    void fault(const std::string& stand_in, const std::string& body);

    /// Returns the answers that the application has kept so far.
    std::vector<kept_answer> answers() const;

    /// Waits until `count` more requests whose ids begin with `prefix` have
    /// been completed.
    bool completes(const std::string& prefix, int count = 5);

    /// Waits for the clients, prints the longest gaps and waits, and
    /// returns everything that was broken.
    std::vector<violation> finish();

    /// Returns the system.
    system& processes() { return system_; }

    /// Returns the names of the instances of the plain service.
    const std::vector<std::string>& services() const { return services_; }

    /// Returns the names of the engines.
    const std::vector<std::string>& engines() const { return engines_; }

private:
    process* start_app(const std::string& name, int sync_every,
                       const failure_load& load);
    int completed(const std::string& prefix) const;

    system system_;
    std::vector<std::string> services_;
    std::vector<std::string> engines_;
    process* trainer_ = nullptr;
    std::vector<process*> apps_;
};

/// Returns `violations` as lines, for messages of tests.
std::string to_string(const std::vector<violation>& violations);

} // namespace hibiscus::testing
