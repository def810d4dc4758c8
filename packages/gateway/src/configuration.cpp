#include "hibiscus/gateway/configuration.hpp"

#include <algorithm>

namespace hibiscus::gateway {

const route* find_route(const configuration& c, std::string_view host,
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

const std::string& choose_service(const route& r, double point) {
    int total = 0;
    for (const auto& t : r.services) {
        total += std::max(0, t.weight);
    }
    double left = point * total;
    for (const auto& t : r.services) {
        left -= std::max(0, t.weight);
        if (left < 0) {
            return t.service;
        }
    }
    return r.services.back().service;
}

bool has_service(const route& r, std::string_view service) {
    return std::any_of(
        r.services.begin(), r.services.end(),
        [service](const auto& t) { return t.service == service; });
}

} // namespace hibiscus::gateway
