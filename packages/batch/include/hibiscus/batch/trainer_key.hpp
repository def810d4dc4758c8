#pragma once

#include "hibiscus/samplers/sampler_table.hpp"

#include <string>
#include <tuple>

namespace hibiscus::batch {

/// Identifies a trainer: whoever submits the jobs of one model.
struct trainer_key {
    samplers::service_name service;
    /// The workspace of its jobs; may be empty.
    std::string workspace;
    std::string model;

    bool operator<(const trainer_key& other) const {
        return std::tie(service, workspace, model) <
               std::tie(other.service, other.workspace, other.model);
    }
    bool operator==(const trainer_key& other) const {
        return std::tie(service, workspace, model) ==
               std::tie(other.service, other.workspace, other.model);
    }
};

} // namespace hibiscus::batch
