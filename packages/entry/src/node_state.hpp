#pragma once

#include "hibiscus/batch/ledger.hpp"
#include "hibiscus/entry/settings.hpp"
#include "hibiscus/gateway/configuration.hpp"
#include "hibiscus/samplers/sampler_table.hpp"
#include "hibiscus/store/log_store.hpp"
#include "hibiscus/telemetry/event_log.hpp"
#include "hibiscus/telemetry/metrics.hpp"
#include "hibiscus/transport/upstream.hpp"

#include <optional>
#include <random>
#include <string>

namespace hibiscus::entry {

/// What the parts of a node share. All of it belongs to the one thread.
struct node_state {
    explicit node_state(node_settings s, base::clock time = {},
                        int log_descriptor = 1)
        : clock(std::move(time)), config(std::move(s)),
          log(config.node, log_descriptor, {}, clock), jobs(clock),
          samplers(clock, std::random_device{}(), config.mechanisms),
          random(std::random_device{}()) {}

    base::clock clock;
    node_settings config;
    telemetry::event_log log;
    telemetry::metrics counters;
    /// The configuration in force; nothing before the first one came.
    std::optional<gateway::configuration> routes;
    batch::ledger jobs;
    samplers::sampler_table samplers;
    std::mt19937 random;
    /// Set once the node has been told to stop.
    bool stopping = false;

    /// Returns a number from 0 to 1.
    double draw() {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }
};

} // namespace hibiscus::entry
