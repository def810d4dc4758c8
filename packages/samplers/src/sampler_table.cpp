#include "hibiscus/samplers/sampler_table.hpp"

#include "hibiscus/base/hash.hpp"

#include <algorithm>
#include <limits>

namespace hibiscus::samplers {

namespace {

/// The first pause after a failure and the longest, in ms. A crashed server is
/// taken from the registry after three heartbeats of 1.2 s; the longest pause
/// lets one that was only cut off serve again within a second.
constexpr base::millis first_pause_ms = 150;
constexpr base::millis longest_pause_ms = 1200;

/// The weight of the newest value in a running mean: about ten values back
/// count, which is half a second of one run.
constexpr double newest_share = 0.1;

void mix(double& mean, double value) {
    mean = mean == 0 ? value : mean + newest_share * (value - mean);
}

} // namespace

std::int64_t sampler_row::version_of(const std::string& model) const {
    const auto known = known_versions.find(model);
    return known == known_versions.end() ? 0 : known->second;
}

void sampler_table::put(const sampler_id& id, registration r) {
    const auto [at, listed_anew] = rows_.try_emplace(id);
    auto& row = at->second;
    if (listed_anew) {
        const auto left = unlisted_loads_.find(id);
        if (left != unlisted_loads_.end()) {
            row.running = left->second.running;
            row.tokens = left->second.tokens;
            unlisted_loads_.erase(left);
        }
    }
    const bool anew = row.registered.started != r.started ||
                      !(row.registered.address == r.address);
    if (anew) {
        const auto running = row.running;
        const auto tokens = row.tokens;
        row = sampler_row();
        row.running = running;
        row.tokens = tokens;
    }
    row.unlisted = false;
    row.registered = std::move(r);
    row.known_versions = row.registered.versions;
    for (const auto& [model, version] : row.seen_versions) {
        auto& known = row.known_versions[model];
        known = std::max(known, version);
    }
    row.draw = static_cast<double>(base::stable_hash(id.str(), salt_)) /
               static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

void sampler_table::remove(const sampler_id& id) {
    const auto row = rows_.find(id);
    if (row != rows_.end()) {
        erase(row);
    }
}

/// Requests may go on at a server whose entry is gone, and it may be listed
/// again before they end.
sampler_table::row_map::iterator sampler_table::erase(row_map::iterator row) {
    const auto& r = row->second;
    if (r.running > 0) {
        unlisted_loads_[row->first] = {r.running, r.tokens};
    }
    return rows_.erase(row);
}

void sampler_table::mark_unlisted(const sampler_id& id) {
    if (auto* row = find(id)) {
        row->unlisted = true;
    }
}

void sampler_table::remove_unlisted() {
    for (auto row = rows_.begin(); row != rows_.end();) {
        row = row->second.unlisted ? erase(row) : std::next(row);
    }
}

bool sampler_table::serves(const service_name& service,
                           const std::string& model) const {
    return std::any_of(rows_.begin(), rows_.end(), [&](const auto& row) {
        const auto& r = row.second.registered;
        return r.service == service && !r.draining && !row.second.unlisted &&
               r.versions.count(model) != 0;
    });
}

sampler_row* sampler_table::find(const sampler_id& id) {
    const auto row = rows_.find(id);
    return row == rows_.end() ? nullptr : &row->second;
}

void sampler_table::started(const sampler_id& id, std::int64_t tokens) {
    if (auto* row = find(id)) {
        ++row->running;
        row->tokens += tokens;
    }
}

void sampler_table::ended(const sampler_id& id, std::int64_t tokens) {
    if (auto* row = find(id)) {
        row->running = std::max(0, row->running - 1);
        row->tokens = std::max<std::int64_t>(0, row->tokens - tokens);
        return;
    }
    const auto left = unlisted_loads_.find(id);
    if (left != unlisted_loads_.end()) {
        left->second.tokens -= tokens;
        if (--left->second.running <= 0) {
            unlisted_loads_.erase(left);
        }
    }
}

void sampler_table::set_memory(const service_name& service,
                               std::int64_t tokens) {
    memory_[service] = tokens;
}

double sampler_table::memory_share(const sampler_row& row,
                                   std::int64_t tokens) const {
    const auto memory = memory_.find(row.registered.service);
    if (memory == memory_.end() || memory->second <= 0) {
        return 0;
    }
    return static_cast<double>(row.tokens + tokens) /
           static_cast<double>(memory->second);
}

void sampler_table::failed(const sampler_id& id) {
    auto* row = find(id);
    if (row == nullptr) {
        return;
    }
    const auto pause = std::min(longest_pause_ms,
                                first_pause_ms << std::min(row->failures, 4));
    ++row->failures;
    row->blocked_until = std::max(row->blocked_until, clock_.now() + pause);
}

void sampler_table::block(const sampler_id& id, base::millis ms) {
    if (auto* row = find(id)) {
        row->blocked_until = std::max(row->blocked_until, clock_.now() + ms);
    }
}

void sampler_table::answered(const sampler_id& id, base::millis ms) {
    if (auto* row = find(id)) {
        row->failures = 0;
        row->answered_at = clock_.now();
        mix(row->answer_ms, static_cast<double>(ms));
    }
}

void sampler_table::event(const sampler_id& id, base::millis ms) {
    if (auto* row = find(id)) {
        row->failures = 0;
        row->event_seen = clock_.now();
        mix(row->event_ms, static_cast<double>(ms));
    }
}

void sampler_table::saw_version(const sampler_id& id, const std::string& model,
                                std::int64_t version) {
    if (auto* row = find(id)) {
        row->seen_versions[model] = version;
        auto& listed = row->registered.versions[model];
        listed = std::min(listed, version);
        row->known_versions[model] = version;
    }
}

void sampler_table::loading(const sampler_id& id, const std::string& model,
                            base::millis longest) {
    if (auto* row = find(id)) {
        row->loading[model] = clock_.now() + longest;
    }
}

void sampler_table::loaded(const sampler_id& id) {
    if (auto* row = find(id)) {
        row->loading.clear();
    }
}

void sampler_table::clear_loading() {
    for (auto& [id, row] : rows_) {
        row.loading.clear();
    }
}

} // namespace hibiscus::samplers
