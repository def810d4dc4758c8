#pragma once

#include "hibiscus/base/wall_clock_guard.hpp"
#include "hibiscus/batch/job_table.hpp"
#include "hibiscus/entry/settings.hpp"
#include "hibiscus/gateway/configuration.hpp"
#include "hibiscus/samplers/sampler_table.hpp"
#include "hibiscus/store/log_store.hpp"
#include "hibiscus/telemetry/event_log.hpp"
#include "hibiscus/telemetry/metrics.hpp"
#include "hibiscus/transport/upstream.hpp"
#include "shutdown_schedule.hpp"

#include <optional>
#include <random>
#include <string>

namespace hibiscus::entry {

/// State shared by the parts of a node. It is used by one thread only.
struct node_state {
    explicit node_state(node_settings s, base::clock time = {},
                        int log_descriptor = 1)
        : clock(std::move(time)), settings(std::move(s)),
          log(settings.node, log_descriptor, {}, clock), jobs(clock),
          samplers(clock, std::random_device{}(), settings.features),
          random_engine(std::random_device{}()) {}

    base::clock clock;
    node_settings settings;
    telemetry::event_log log;
    telemetry::metrics counters;
    /// The current configuration; empty until the first one is read.
    std::optional<gateway::configuration> configuration;
    batch::job_table jobs;
    samplers::sampler_table samplers;
    std::mt19937 random_engine;
    /// Set once the node has received a stop signal.
    bool stopping = false;
    /// When it received the signal, by the clock of the node.
    base::millis stopping_since = 0;

    base::wall_clock_guard wall_clock;

    /// Returns the best estimate of the true time of day, in ms since the Unix
    /// epoch.
    base::millis true_time() {
        return wall_clock.true_time(base::read_clocks(clock));
    }

    /// Returns the schedule of a stopping node. Its grace period may change.
    shutdown_schedule make_shutdown_schedule() const {
        return {stopping_since, settings.shutdown_grace_ms};
    }

    /// Returns a name that no other process or call has returned.
    std::string unique_name() {
        return std::to_string(random_engine()) + "-" +
               std::to_string(random_engine());
    }

    /// Returns a random number in [0, 1).
    double random_fraction() {
        return std::uniform_real_distribution<double>(0, 1)(random_engine);
    }
};

} // namespace hibiscus::entry
