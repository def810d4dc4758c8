#include "hibiscus/gateway/configuration.hpp"

#include <algorithm>

namespace hibiscus::gateway {

const route* find_route(const configuration& c, std::string_view host,
                        std::string_view request_target) {
    const auto path = request_target.substr(0, request_target.find('?'));
    const route* longest = nullptr;
    for (const auto& r : c.routes) {
        if (r.host != host ||
            path.substr(0, r.path_prefix.size()) != r.path_prefix) {
            continue;
        }
        if (longest == nullptr ||
            r.path_prefix.size() > longest->path_prefix.size()) {
            longest = &r;
        }
    }
    return longest;
}

int effective_priority(const route& r, const workspace* holder) {
    return holder != nullptr ? holder->priority.value_or(r.priority)
                             : r.priority;
}

const std::string& choose_service(const route& r, double random_value) {
    int total_weight = 0;
    for (const auto& s : r.services) {
        total_weight += std::max(0, s.weight);
    }
    double remaining = random_value * total_weight;
    for (const auto& s : r.services) {
        remaining -= std::max(0, s.weight);
        if (remaining < 0) {
            return s.service;
        }
    }
    return r.services.back().service;
}

bool has_service(const route& r, std::string_view service) {
    return std::any_of(
        r.services.begin(), r.services.end(),
        [service](const auto& s) { return s.service == service; });
}

} // namespace hibiscus::gateway
