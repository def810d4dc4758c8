#include "hibiscus/document/diff.hpp"

#include <map>
#include <sstream>

namespace hibiscus::document {

namespace {

/// The values of a document by path.
using value_map = std::map<std::string, std::string>;

std::string to_text(bool value) {
    return value ? "true" : "false";
}

template <class Tag>
std::string to_text(const base::id<Tag>& value) {
    return value.str();
}

template <class T>
std::string to_text(const T& value) {
    if constexpr (std::is_enum_v<T>) {
        return std::string(base::name_of(value));
    } else {
        std::ostringstream stream;
        stream << value;
        return stream.str();
    }
}

/// Adds the values of one row to a value_map.
class value_writer {
public:
    value_writer(value_map& target, std::string path)
        : target_(target), path_(std::move(path)) {}

    /// Adds one value of the row.
    template <class T>
    value_writer& add(const char* key, const T& value) {
        target_[path_ + "/" + key] = to_text(value);
        return *this;
    }

private:
    value_map& target_;
    std::string path_;
};

void write(value_map& target, const owner& o) {
    value_writer(target, "/owners/" + o.name.str()).add("weight", o.weight);
}

void write(value_map& target, const pool& p) {
    value_writer(target, "/pools/" + p.name.str())
        .add("owner", p.owner)
        .add("slots_per_engine", p.slots_per_engine)
        .add("queue_share", p.queue_share)
        .add("checks_fencing", p.checks_fencing)
        .add("swap_share", p.swap_share)
        .add("placement", p.placement)
        .add("start_version", p.start_version);
}

void write(value_map& target, const trainer& t) {
    value_writer(target, "/trainers/" + t.name.str())
        .add("owner", t.owner)
        .add("pool", t.pool)
        .add("weight", t.weight)
        .add("priority", t.priority)
        .add("staleness_bound", t.staleness_bound)
        .add("stragglers", t.stragglers);
}

void write(value_map& target, const service& s) {
    value_writer(target, "/services/" + s.name.str())
        .add("owner", s.owner)
        .add("max_in_flight", s.max_in_flight)
        .add("hedge", s.hedge);
}

void write(value_map& target, const limits& l) {
    value_writer(target, "/limits")
        .add("entries_ttl_ms", l.entries_ttl_ms)
        .add("claim_window_ms", l.claim_window_ms)
        .add("pull_wait_ms", l.pull_wait_ms)
        .add("retry_ratio", l.retry_ratio)
        .add("order_life_ms", l.order_life_ms);
}

template <class Row>
void write_all(value_map& target, const std::vector<Row>& rows) {
    for (const auto& row : rows) {
        write(target, row);
    }
}

value_map collect_values(const document& d) {
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
    const auto old_values = collect_values(before);
    const auto new_values = collect_values(after);
    std::map<std::string, change> changes;
    for (const auto& [path, value] : old_values) {
        const auto it = new_values.find(path);
        if (it == new_values.end()) {
            changes[path] = {change_kind::removed, path, value, ""};
        } else if (it->second != value) {
            changes[path] = {change_kind::changed, path, value, it->second};
        }
    }
    for (const auto& [path, value] : new_values) {
        if (old_values.count(path) == 0) {
            changes[path] = {change_kind::added, path, "", value};
        }
    }
    std::vector<change> result;
    result.reserve(changes.size());
    for (auto& [path, entry] : changes) {
        result.push_back(std::move(entry));
    }
    return result;
}

} // namespace hibiscus::document
