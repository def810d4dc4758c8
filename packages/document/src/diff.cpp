#include "hibiscus/document/diff.hpp"

#include <map>
#include <sstream>

namespace hibiscus::document {

namespace {

/// The values of a document by their paths.
using value_map = std::map<std::string, std::string>;

std::string text_of(bool value) {
    return value ? "true" : "false";
}

template <class Tag>
std::string text_of(const base::id<Tag>& value) {
    return value.str();
}

template <class T>
std::string text_of(const T& value) {
    if constexpr (std::is_enum_v<T>) {
        return std::string(base::name_of(value));
    } else {
        std::ostringstream out;
        out << value;
        return out.str();
    }
}

/// Notes the values of one row.
class value_writer {
public:
    value_writer(value_map& target, std::string path)
        : target_(target), path_(std::move(path)) {}

    /// Notes one value of the row.
    template <class T>
    value_writer& put(const char* key, const T& value) {
        target_[path_ + "/" + key] = text_of(value);
        return *this;
    }

private:
    value_map& target_;
    std::string path_;
};

void write(value_map& to, const owner& o) {
    value_writer(to, "/owners/" + o.name.str()).put("weight", o.weight);
}

void write(value_map& to, const pool& p) {
    value_writer(to, "/pools/" + p.name.str())
        .put("owner", p.owner)
        .put("slots_per_engine", p.slots_per_engine)
        .put("queue_share", p.queue_share)
        .put("checks_fencing", p.checks_fencing)
        .put("swap_share", p.swap_share)
        .put("placement", p.placement)
        .put("start_version", p.start_version);
}

void write(value_map& to, const trainer& t) {
    value_writer(to, "/trainers/" + t.name.str())
        .put("owner", t.owner)
        .put("pool", t.pool)
        .put("weight", t.weight)
        .put("priority", t.priority)
        .put("staleness_bound", t.staleness_bound)
        .put("stragglers", t.stragglers);
}

void write(value_map& to, const service& s) {
    value_writer(to, "/services/" + s.name.str())
        .put("owner", s.owner)
        .put("max_in_flight", s.max_in_flight)
        .put("hedge", s.hedge);
}

void write(value_map& to, const limits& l) {
    value_writer(to, "/limits")
        .put("entries_ttl_ms", l.entries_ttl_ms)
        .put("claim_window_ms", l.claim_window_ms)
        .put("pull_wait_ms", l.pull_wait_ms)
        .put("retry_ratio", l.retry_ratio)
        .put("order_life_ms", l.order_life_ms);
}

template <class Row>
void write_all(value_map& to, const std::vector<Row>& rows) {
    for (const auto& row : rows) {
        write(to, row);
    }
}

value_map values_of(const document& d) {
    value_map result;
    write_all(result, d.owners);
    write_all(result, d.pools);
    write_all(result, d.trainers);
    write_all(result, d.services);
    write(result, d.limit);
    return result;
}

} // namespace

std::vector<change> diff(const document& before, const document& after) {
    const auto old_values = values_of(before);
    const auto new_values = values_of(after);
    std::map<std::string, change> changes;
    for (const auto& [path, value] : old_values) {
        const auto at = new_values.find(path);
        if (at == new_values.end()) {
            changes[path] = {change_kind::removed, path, value, ""};
        } else if (at->second != value) {
            changes[path] = {change_kind::changed, path, value, at->second};
        }
    }
    for (const auto& [path, value] : new_values) {
        if (old_values.count(path) == 0) {
            changes[path] = {change_kind::added, path, "", value};
        }
    }
    std::vector<change> result;
    result.reserve(changes.size());
    for (auto& [path, one] : changes) {
        result.push_back(std::move(one));
    }
    return result;
}

} // namespace hibiscus::document
