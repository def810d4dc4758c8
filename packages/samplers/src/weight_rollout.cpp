#include "hibiscus/samplers/weight_rollout.hpp"

#include <algorithm>
#include <tuple>

namespace hibiscus::samplers {

namespace {

/// One in so many servers may load at a time, and at least two. Loads of two
/// out of nine took 1.15 s each, of four at once 2.1 s.
constexpr std::size_t loading_share = 6;
constexpr std::size_t least_loading = 2;

/// How long a load is expected to last, in ms. A load lasts 0.9 s; the next
/// one may begin while its end is still being reported, which takes 200 ms.
constexpr base::millis load_ms = 950;

/// How often a server whose load should have ended is asked, in ms.
constexpr base::millis check_ms = 200;

/// A load that is not reported to have ended after so long is forgotten, in
/// ms: its server may be out of reach, and must not hold up the others.
constexpr base::millis forget_ms = 6000;

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

bool weight_rollout::has_room(std::size_t servers) const {
    const auto most = std::max(least_loading, servers / loading_share);
    const auto now = clock_.now();
    std::size_t fresh = 0;
    for (const auto& [id, l] : loads_) {
        fresh += now - l.since < load_ms ? 1 : 0;
    }
    // Those that are past their time are about to be reported as done, but
    // for one that is not, no more than another may begin.
    return fresh < most && loads_.size() <= most;
}

void weight_rollout::forget_old(const sampler_table& table) {
    const auto now = clock_.now();
    for (auto l = loads_.begin(); l != loads_.end();) {
        const bool gone = table.rows().count(l->first) == 0;
        l = gone || now - l->second.since > forget_ms ? loads_.erase(l)
                                                      : std::next(l);
    }
}

std::vector<load_order> weight_rollout::due(const sampler_table& table) {
    forget_old(table);
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
        const auto again = ask_again_.find(id);
        if (row.registered.draining || loading(id) ||
            (again != ask_again_.end() && now < again->second)) {
            continue;
        }
        for (const auto& [model, listed] : row.registered.versions) {
            const auto has = row.version_of(model);
            if (has < newest(model)) {
                behind.push_back(
                    {has, row.running, {id, model, newest(model)}});
            }
        }
    }
    std::sort(behind.begin(), behind.end(), [](const auto& a, const auto& b) {
        return std::tie(a.version, a.running, a.order.sampler) <
               std::tie(b.version, b.running, b.order.sampler);
    });
    std::vector<load_order> out;
    for (const auto& c : behind) {
        if (!has_room(with_models)) {
            break;
        }
        if (!loading(c.order.sampler)) {
            loads_[c.order.sampler] = {now, now + load_ms};
            out.push_back(c.order);
        }
    }
    return out;
}

std::vector<sampler_id> weight_rollout::checks() {
    const auto now = clock_.now();
    std::vector<sampler_id> out;
    for (auto& [id, l] : loads_) {
        if (now >= l.check_at) {
            l.check_at = now + check_ms;
            out.push_back(id);
        }
    }
    return out;
}

void weight_rollout::accepted(const load_order& order) {
    const auto now = clock_.now();
    loads_[order.sampler] = {now, now + load_ms};
}

void weight_rollout::busy(const sampler_id& id) {
    const auto now = clock_.now();
    const auto l = loads_.find(id);
    if (l == loads_.end()) {
        loads_[id] = {now, now + check_ms};
    } else {
        l->second.check_at = now + check_ms;
    }
}

void weight_rollout::not_taken(const load_order& order) {
    loads_.erase(order.sampler);
    ask_again_[order.sampler] = clock_.now() + retry_ms;
}

void weight_rollout::done(const sampler_id& id) {
    loads_.erase(id);
}

void weight_rollout::reset() {
    loads_.clear();
    ask_again_.clear();
}

} // namespace hibiscus::samplers
