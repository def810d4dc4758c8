#include "hibiscus/samplers/weight_rollout.hpp"

#include <algorithm>
#include <tuple>

namespace hibiscus::samplers {

namespace {

/// One in so many servers may load at a time, and at least two. Loads of two
/// out of nine took 1.15 s each, of four at once 2.1 s.
constexpr std::size_t loading_share = 5;
constexpr std::size_t least_loading = 2;

/// How long a load is taken to last, in ms. A load lasts 0.9 s; the next one
/// may begin while its end is still being reported, as what is asked before
/// an order takes some 20 ms.
constexpr base::millis load_ms = 950;

/// The pause before a server that did not take an order is asked again, in
/// ms: what it reports of itself is some 200 ms old.
constexpr base::millis retry_ms = 400;

} // namespace

void weight_rollout::name_version(const std::string& model,
                                  std::int64_t version) {
    auto& newest = newest_[model];
    newest = std::max(newest, version);
}

std::int64_t weight_rollout::newest(const std::string& model) const {
    const auto row = newest_.find(model);
    return row == newest_.end() ? 0 : row->second;
}

std::vector<load_order> weight_rollout::due(const sampler_table& table) {
    const auto now = clock_.now();
    struct candidate {
        std::int64_t version;
        int running;
        load_order order;
    };
    std::vector<candidate> behind;
    std::size_t with_models = 0;
    for (const auto& [id, row] : table.rows()) {
        if (row.registered.versions.empty() || row.unlisted) {
            continue;
        }
        ++with_models;
        if (row.registered.draining || loading(id) || now < row.blocked_until) {
            continue;
        }
        for (const auto& [model, listed] : row.registered.versions) {
            const auto has = row.version_of(model);
            if (has < newest(model)) {
                behind.push_back({has, row.running,
                                  {id, model, newest(model)}});
            }
        }
    }
    std::size_t busy = 0;
    for (auto l = loads_.begin(); l != loads_.end();) {
        if (now >= l->second.until) {
            l = loads_.erase(l);
        } else {
            busy += l->second.version > 0 ? 1 : 0;
            ++l;
        }
    }
    std::sort(behind.begin(), behind.end(), [](const auto& a, const auto& b) {
        return std::tie(a.version, a.running, a.order.sampler) <
               std::tie(b.version, b.running, b.order.sampler);
    });
    const auto most = std::max(least_loading, with_models / loading_share);
    std::vector<load_order> out;
    for (const auto& c : behind) {
        if (busy >= most) {
            break;
        }
        if (loading(c.order.sampler)) {
            continue;
        }
        loads_[c.order.sampler] = {now + load_ms, c.order.version};
        ++busy;
        out.push_back(c.order);
    }
    return out;
}

void weight_rollout::accepted(const load_order& order) {
    loads_[order.sampler] = {clock_.now() + load_ms, order.version};
}

void weight_rollout::already_held(const load_order& order) {
    loads_.erase(order.sampler);
}

void weight_rollout::not_taken(const load_order& order) {
    loads_[order.sampler] = {clock_.now() + retry_ms, 0};
}

bool weight_rollout::loading(const sampler_id& id) const {
    const auto row = loads_.find(id);
    return row != loads_.end() && clock_.now() < row->second.until;
}

void weight_rollout::reset() {
    loads_.clear();
}

} // namespace hibiscus::samplers
