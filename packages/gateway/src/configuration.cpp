#include "hibiscus/gateway/configuration.hpp"

#include <algorithm>

namespace hibiscus::gateway {

const route* match(const configuration& c, std::string_view host,
                   std::string_view path) {
    const auto bare = path.substr(0, path.find('?'));
    const route* best = nullptr;
    for (const auto& r : c.routes) {
        if (r.host != host ||
            bare.substr(0, r.path_prefix.size()) != r.path_prefix) {
            continue;
        }
        if (best == nullptr ||
            r.path_prefix.size() > best->path_prefix.size()) {
            best = &r;
        }
    }
    return best;
}

const std::string& choose_target(const route& r, double point) {
    int total = 0;
    for (const auto& t : r.targets) {
        total += std::max(0, t.weight);
    }
    double left = point * total;
    for (const auto& t : r.targets) {
        left -= std::max(0, t.weight);
        if (left < 0) {
            return t.service;
        }
    }
    return r.targets.back().service;
}

bool has_target(const route& r, std::string_view service) {
    return std::any_of(
        r.targets.begin(), r.targets.end(),
        [service](const auto& t) { return t.service == service; });
}

} // namespace hibiscus::gateway
