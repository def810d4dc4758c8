#include "hibiscus/samplers/sampler_table.hpp"

#include "hibiscus/base/hash.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace hibiscus::samplers {

namespace {

/// The initial and the maximum backoff after failures, in ms. The registry
/// removes a crashed server after three missed heartbeats of 1.2 s. With the
/// maximum backoff, a server that was only unreachable serves again within
/// about a second.
constexpr base::millis initial_backoff_ms = 150;
constexpr base::millis max_backoff_ms = 1200;

/// Weight of the newest value in a running mean. About the last ten values
/// count, which is half a second of one run.
constexpr double newest_weight = 0.1;

/// Minimum number of servers of a service that runs are placed on, if it has as
/// many. With this many, a fault of some leaves enough others.
constexpr std::size_t min_run_candidates = 256;

/// Maximum number of servers that a process chooses between for a plain
/// request.
constexpr std::size_t max_request_candidates = 256;

void update_mean(double& mean, double value) {
    mean = mean == 0 ? value : mean + newest_weight * (value - mean);
}

} // namespace

std::int64_t sampler_row::version_of(const std::string& model) const {
    const auto known = known_versions.find(model);
    return known == known_versions.end() ? 0 : known->second;
}

void sampler_table::put(const sampler_id& id, registration r) {
    const auto [entry, inserted] = rows_.try_emplace(id);
    auto& row = entry->second;
    if (inserted) {
        const auto usage = removed_usage_.find(id);
        if (usage != removed_usage_.end()) {
            row.in_flight = usage->second.in_flight;
            row.reserved_tokens = usage->second.reserved_tokens;
            removed_usage_.erase(usage);
        }
    }
    const bool is_new_process = row.registered.started_ms != r.started_ms ||
                                !(row.registered.address == r.address);
    if (inserted) {
        ends_.on_added(id, r.started_ms);
    } else if (row.registered.started_ms != r.started_ms &&
               !row.registered.draining) {
        ends_.on_replaced(end_of(*entry));
    }
    if (is_new_process) {
        const auto in_flight_count = row.in_flight;
        const auto tokens = row.reserved_tokens;
        auto starts = std::move(row.starts);
        row = sampler_row();
        row.in_flight = in_flight_count;
        row.reserved_tokens = tokens;
        row.starts = std::move(starts);
    }
    index_outdated_ = index_outdated_ || inserted || row.unlisted ||
                      row.registered.service != r.service ||
                      row.registered.zone != r.zone ||
                      row.registered.slots != r.slots ||
                      row.registered.draining != r.draining;
    row.unlisted = false;
    row.registered_at = clock_.now();
    row.warming_up_until = row.registered_at + r.warm_up_ms;
    row.registered = std::move(r);
    row.rank = base::stable_hash(id.str());
    row.known_versions = row.registered.versions;
    for (const auto& [model, version] : row.observed_versions) {
        auto& known = row.known_versions[model];
        known = std::max(known, version);
    }
    row.tie_breaker =
        static_cast<double>(base::stable_hash(id.str(), salt_)) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

void sampler_table::remove(const sampler_id& id) {
    const auto row = rows_.find(id);
    if (row != rows_.end()) {
        erase(row);
    }
}

server_end sampler_table::end_of(const row_map::value_type& row) {
    const auto& [id, r] = row;
    return {id, r.registered.started_ms, r.registered.service, r.registered_at};
}

/// Removes a row but keeps its usage: requests may continue at a server whose
/// entry is gone, and it may be listed again before they end.
sampler_table::row_map::iterator sampler_table::erase(row_map::iterator row) {
    const auto& r = row->second;
    index_outdated_ = true;
    if (!r.registered.draining) {
        ends_.on_removed(end_of(*row));
    }
    if (r.in_flight > 0) {
        removed_usage_[row->first] = {r.in_flight, r.reserved_tokens};
    }
    return rows_.erase(row);
}

void sampler_table::mark_unlisted(const sampler_id& id) {
    if (auto* row = find(id)) {
        row->unlisted = true;
        index_outdated_ = true;
    }
}

void sampler_table::remove_unlisted() {
    for (auto row = rows_.begin(); row != rows_.end();) {
        row = row->second.unlisted ? erase(row) : std::next(row);
    }
}

bool sampler_table::has_model(const service_name& service,
                              const std::string& model) const {
    return std::any_of(rows_.begin(), rows_.end(), [&](const auto& row) {
        const auto& r = row.second.registered;
        return r.service == service && !r.draining && !row.second.unlisted &&
               r.versions.count(model) != 0;
    });
}

void sampler_table::update_index() const {
    if (!std::exchange(index_outdated_, false)) {
        return;
    }
    index_.clear();
    for (const auto& row : rows_) {
        const auto& r = row.second.registered;
        if (!r.draining && !row.second.unlisted) {
            auto& index = index_[r.service];
            index.servers.push_back(&row);
            index.slots += r.slots;
        }
    }
}

sampler_table::service_index&
sampler_table::index_of(const service_name& service) const {
    update_index();
    return index_[service];
}

const sampler_table::entry_list&
sampler_table::run_candidates(const service_name& service) const {
    auto& index = index_of(service);
    const auto limit = run_slots_.find(service);
    if (limit == run_slots_.end() ||
        index.servers.size() <= min_run_candidates) {
        return index.servers;
    }
    if (!index.run_candidates.empty()) {
        return index.run_candidates;
    }
    auto ranked = index.servers;
    std::sort(ranked.begin(), ranked.end(), [](const auto* a, const auto* b) {
        return a->second.rank < b->second.rank;
    });
    std::size_t slots = 0;
    for (const auto* server : ranked) {
        if (index.run_candidates.size() >= min_run_candidates &&
            slots >= limit->second) {
            break;
        }
        slots += static_cast<std::size_t>(server->second.registered.slots);
        index.run_candidates.push_back(server);
    }
    return index.run_candidates;
}

void sampler_table::set_run_slots(const service_name& service,
                                  std::size_t slots) {
    const auto [limit, inserted] = run_slots_.try_emplace(service, slots);
    if (inserted || limit->second != slots) {
        limit->second = slots;
        index_of(service).run_candidates.clear();
    }
}

const sampler_table::entry_list&
sampler_table::request_candidates(const service_name& service,
                                  const base::zone_id& zone) const {
    auto& index = index_of(service);
    if (index.servers.size() <= max_request_candidates) {
        return index.servers;
    }
    auto& candidates = index.request_candidates[zone];
    if (candidates.empty()) {
        candidates = index.servers;
        const auto middle = candidates.begin() + max_request_candidates;
        std::partial_sort(candidates.begin(), middle, candidates.end(),
                          [&](const auto* a, const auto* b) {
                              const auto key = [&](const sampler_row& row) {
                                  return std::make_pair(row.registered.zone !=
                                                            zone,
                                                        row.tie_breaker);
                              };
                              return key(a->second) < key(b->second);
                          });
        candidates.erase(middle, candidates.end());
    }
    return candidates;
}

std::vector<service_name> sampler_table::services() const {
    update_index();
    std::vector<service_name> names;
    for (const auto& [name, index] : index_) {
        if (!index.servers.empty()) {
            names.push_back(name);
        }
    }
    return names;
}

int sampler_table::slot_count(const service_name& service) const {
    return index_of(service).slots;
}

sampler_row* sampler_table::find(const sampler_id& id) {
    const auto row = rows_.find(id);
    return row == rows_.end() ? nullptr : &row->second;
}

void sampler_table::on_request_started(const sampler_id& id,
                                       std::int64_t tokens) {
    if (auto* row = find(id)) {
        ++row->in_flight;
        row->reserved_tokens += tokens;
        if (start_limits_.count(row->registered.service) != 0) {
            row->starts.add(clock_.now());
        }
    }
}

void sampler_table::on_request_ended(const sampler_id& id,
                                     std::int64_t tokens) {
    if (auto* row = find(id)) {
        row->in_flight = std::max(0, row->in_flight - 1);
        row->reserved_tokens =
            std::max<std::int64_t>(0, row->reserved_tokens - tokens);
        return;
    }
    const auto usage = removed_usage_.find(id);
    if (usage != removed_usage_.end()) {
        usage->second.reserved_tokens -= tokens;
        if (--usage->second.in_flight <= 0) {
            removed_usage_.erase(usage);
        }
    }
}

int sampler_table::startable_runs(const sampler_row& row,
                                  base::millis now) const {
    constexpr int unlimited = std::numeric_limits<int>::max();
    const auto found = start_limits_.find(row.registered.service);
    if (found == start_limits_.end()) {
        return unlimited;
    }
    const auto& limits = found->second;
    if (now >= row.warming_up_until && !limits.usual) {
        return unlimited;
    }
    const int limit =
        now < row.warming_up_until ? limits.warming_up : *limits.usual;
    return std::max(0, limit - row.starts.count(now));
}

void sampler_table::set_memory_tokens(const service_name& service,
                                      std::int64_t tokens) {
    memory_tokens_[service] = tokens;
}

double sampler_table::memory_share(const sampler_row& row,
                                   std::int64_t tokens) const {
    const auto memory = memory_tokens_.find(row.registered.service);
    if (memory == memory_tokens_.end() || memory->second <= 0) {
        return 0;
    }
    return static_cast<double>(row.reserved_tokens + tokens) /
           static_cast<double>(memory->second);
}

void sampler_table::on_failure(const sampler_id& id) {
    auto* row = find(id);
    if (row == nullptr) {
        return;
    }
    const auto backoff_ms =
        std::min(max_backoff_ms,
                 initial_backoff_ms << std::min(row->consecutive_failures, 4));
    ++row->consecutive_failures;
    row->blocked_until =
        std::max(row->blocked_until, clock_.now() + backoff_ms);
}

void sampler_table::on_silence(const sampler_id& id) {
    if (auto* row = find(id)) {
        row->silence_noticed_at = clock_.now();
    }
}

void sampler_table::block(const sampler_id& id, base::millis ms) {
    if (auto* row = find(id)) {
        row->blocked_until = std::max(row->blocked_until, clock_.now() + ms);
    }
}

void sampler_table::on_response(const sampler_id& id, base::millis ms) {
    if (auto* row = find(id)) {
        row->consecutive_failures = 0;
        row->last_response_at = clock_.now();
        row->last_heard_at = row->last_response_at;
        update_mean(row->mean_response_ms, static_cast<double>(ms));
    }
}

void sampler_table::on_event(const sampler_id& id, base::millis ms) {
    if (auto* row = find(id)) {
        row->consecutive_failures = 0;
        row->last_event_at = clock_.now();
        row->last_heard_at = row->last_event_at;
        update_mean(row->event_interval_ms, static_cast<double>(ms));
    }
}

void sampler_table::on_heard(const sampler_id& id) {
    if (auto* row = find(id)) {
        row->last_heard_at = clock_.now();
    }
}

void sampler_table::set_observed_version(const sampler_id& id,
                                         const std::string& model,
                                         std::int64_t version) {
    if (auto* row = find(id)) {
        row->observed_versions[model] = version;
        auto& registered = row->registered.versions[model];
        registered = std::min(registered, version);
        row->known_versions[model] = version;
    }
}

void sampler_table::set_loading(const sampler_id& id, const std::string& model,
                                base::millis max_ms) {
    if (auto* row = find(id)) {
        row->loading_until[model] = clock_.now() + max_ms;
    }
}

void sampler_table::clear_loading_of(const sampler_id& id) {
    if (auto* row = find(id)) {
        row->loading_until.clear();
    }
}

void sampler_table::clear_all_loading() {
    for (auto& [id, row] : rows_) {
        row.loading_until.clear();
    }
}

} // namespace hibiscus::samplers
