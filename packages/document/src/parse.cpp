#include "hibiscus/document/parse.hpp"

#include "hibiscus/base/bounded_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace hibiscus::document {

namespace {

using nlohmann::json;

constexpr int max_schema = 1;
constexpr std::size_t max_name_bytes = 128;

/// Reads the values of one object and collects their errors. An invalid value
/// leaves its target unchanged, so that one pass reports all errors.
class object_reader {
public:
    /// Constructs a reader of `object` at `path` in the document.
    object_reader(const json& object, std::string path, parse_errors& errors)
        : object_(object), path_(std::move(path)), errors_(errors) {
        if (!object_.is_object()) {
            add_error(parse_error_kind::wrong_type, "", "an object");
        }
    }

    /// Reports the keys of the object that no function has read.
    void check_unknown_keys() {
        if (!object_.is_object()) {
            return;
        }
        for (const auto& [key, value] : object_.items()) {
            if (known_keys_.count(key) == 0) {
                add_error(parse_error_kind::unknown_key, key,
                          "a key of the schema");
            }
        }
    }

    /// Reads a required name.
    template <class Id>
    void name(const char* key, Id& target) {
        const json* value = find(key);
        if (value == nullptr) {
            add_error(parse_error_kind::missing, key, "a name");
            return;
        }
        if (!value->is_string() || value->get<std::string>().empty() ||
            value->get<std::string>().size() > max_name_bytes) {
            add_error(parse_error_kind::wrong_type, key,
                      "a string of 1 to 128 bytes");
            return;
        }
        target = Id(value->get<std::string>());
    }

    /// Reads an optional integer from `min` to `max`.
    template <class T>
    void integer(const char* key, T& target, T min, T max) {
        const json* value = find(key);
        if (value == nullptr) {
            return;
        }
        const auto range = std::to_string(min) + " to " + std::to_string(max);
        if (!value->is_number_integer()) {
            add_error(parse_error_kind::wrong_type, key,
                      "a whole number, " + range);
            return;
        }
        const double number = value->get<double>();
        if (number < static_cast<double>(min) ||
            number > static_cast<double>(max)) {
            add_error(parse_error_kind::out_of_range, key, range);
            return;
        }
        target = value->get<T>();
    }

    /// Reads an optional number from `min` to `max`.
    void number(const char* key, double& target, double min, double max) {
        const json* value = find(key);
        if (value == nullptr) {
            return;
        }
        if (!value->is_number()) {
            add_error(parse_error_kind::wrong_type, key, "a number");
            return;
        }
        if (value->get<double>() < min || value->get<double>() > max) {
            add_error(parse_error_kind::out_of_range, key,
                      std::to_string(min) + " to " + std::to_string(max));
            return;
        }
        target = value->get<double>();
    }

    /// Reads an optional boolean.
    void boolean(const char* key, bool& target) {
        const json* value = find(key);
        if (value == nullptr) {
            return;
        }
        if (!value->is_boolean()) {
            add_error(parse_error_kind::wrong_type, key, "true or false");
            return;
        }
        target = value->get<bool>();
    }

    /// Reads an optional enumerator by its name.
    template <class E>
    void enumeration(const char* key, E& target) {
        const json* value = find(key);
        if (value == nullptr) {
            return;
        }
        const auto parsed = value->is_string()
                                ? base::from_name<E>(value->get<std::string>())
                                : std::nullopt;
        if (!parsed) {
            add_error(parse_error_kind::unknown_name, key, list_names<E>());
            return;
        }
        target = *parsed;
    }

    /// Reads an optional array of objects. Calls `read` for each object.
    template <class Row, class F>
    void array(const char* key, std::vector<Row>& target, F read) {
        const json* value = find(key);
        if (value == nullptr) {
            return;
        }
        if (!value->is_array()) {
            add_error(parse_error_kind::wrong_type, key, "an array");
            return;
        }
        for (std::size_t i = 0; i < value->size(); ++i) {
            const auto path = path_to(key) + "/" + std::to_string(i);
            object_reader reader((*value)[i], path, errors_);
            target.push_back(read(reader));
            reader.check_unknown_keys();
        }
    }

    /// Reads an optional object with `read`.
    template <class F>
    void object(const char* key, F read) {
        const json* value = find(key);
        if (value == nullptr) {
            return;
        }
        object_reader reader(*value, path_to(key), errors_);
        read(reader);
        reader.check_unknown_keys();
    }

private:
    template <class E>
    static std::string list_names() {
        std::string text = "one of";
        for (const auto& row : base::enum_names<E>::table) {
            text += ' ';
            text += row.name;
        }
        return text;
    }

    const json* find(const char* key) {
        known_keys_.insert(key);
        if (!object_.is_object()) {
            return nullptr;
        }
        const auto it = object_.find(key);
        return it == object_.end() ? nullptr : &*it;
    }

    std::string path_to(const std::string& key) const {
        return key.empty() ? path_ : path_ + "/" + key;
    }

    void add_error(parse_error_kind kind, const std::string& key,
                   std::string expected) {
        errors_.push_back({kind, path_to(key), std::move(expected)});
    }

    const json& object_;
    std::string path_;
    parse_errors& errors_;
    std::set<std::string> known_keys_;
};

constexpr double max_weight = 1000.0;
constexpr base::millis one_hour_ms = 3600000;

owner read_owner(object_reader& in) {
    owner row;
    in.name("name", row.name);
    in.number("weight", row.weight, 0.001, max_weight);
    return row;
}

pool read_pool(object_reader& in) {
    pool row;
    in.name("name", row.name);
    in.name("owner", row.owner);
    in.integer("slots_per_engine", row.slots_per_engine, 1, 4096);
    in.number("queue_share", row.queue_share, 0.0, 16.0);
    in.boolean("checks_fencing", row.checks_fencing);
    in.number("swap_share", row.swap_share, 0.01, 1.0);
    in.enumeration("placement", row.placement);
    in.enumeration("start_version", row.start_version);
    return row;
}

trainer read_trainer(object_reader& in) {
    trainer row;
    in.name("name", row.name);
    in.name("owner", row.owner);
    in.name("pool", row.pool);
    in.number("weight", row.weight, 0.001, max_weight);
    in.integer("priority", row.priority, -100, 100);
    in.integer("staleness_bound", row.staleness_bound, 0, 1000);
    in.enumeration("stragglers", row.stragglers);
    return row;
}

service read_service(object_reader& in) {
    service row;
    in.name("name", row.name);
    in.name("owner", row.owner);
    in.integer("max_in_flight", row.max_in_flight, 1, 100000);
    in.boolean("hedge", row.hedge);
    return row;
}

void read_limits(object_reader& in, limits& target) {
    in.integer("entries_ttl_ms", target.entries_ttl_ms, base::millis{100},
               one_hour_ms);
    in.integer("claim_window_ms", target.claim_window_ms, base::millis{1000},
               24 * one_hour_ms);
    in.integer("pull_wait_ms", target.pull_wait_ms, base::millis{10},
               base::millis{60000});
    in.number("retry_ratio", target.retry_ratio, 0.0, 1.0);
    in.integer("order_life_ms", target.order_life_ms, base::millis{100},
               base::millis{60000});
}

document read_document(object_reader& in) {
    document d;
    in.integer("schema", d.schema, 1, max_schema);
    in.array("owners", d.owners, read_owner);
    in.array("pools", d.pools, read_pool);
    in.array("trainers", d.trainers, read_trainer);
    in.array("services", d.services, read_service);
    in.object("limits", [&](object_reader& l) { read_limits(l, d.limit); });
    in.check_unknown_keys();
    return d;
}

/// Reports each row whose name an earlier row has.
template <class Row>
void check_unique_names(const std::vector<Row>& rows,
                        const std::string& section, parse_errors& errors) {
    std::set<std::string> names;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const auto& name = rows[i].name.str();
        if (!name.empty() && !names.insert(name).second) {
            errors.push_back({parse_error_kind::repeated_name,
                              section + "/" + std::to_string(i) + "/name",
                              "a name that no other entry has"});
        }
    }
}

/// Reports each row whose `member` is not the name of one of `targets`.
template <class Row, class Id, class Target>
void check_references(const std::vector<Row>& rows, const std::string& section,
                      const char* key, Id Row::*member,
                      const std::vector<Target>& targets,
                      parse_errors& errors) {
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const auto& name = rows[i].*member;
        const bool known =
            std::any_of(targets.begin(), targets.end(),
                        [&](const Target& t) { return t.name == name; });
        if (!name.empty() && !known) {
            errors.push_back({parse_error_kind::unknown_name,
                              section + "/" + std::to_string(i) + "/" + key,
                              std::string("the name of a ") + key});
        }
    }
}

void check_names(const document& d, parse_errors& errors) {
    check_unique_names(d.owners, "/owners", errors);
    check_unique_names(d.pools, "/pools", errors);
    check_unique_names(d.trainers, "/trainers", errors);
    check_unique_names(d.services, "/services", errors);
    check_references(d.pools, "/pools", "owner", &pool::owner, d.owners,
                     errors);
    check_references(d.trainers, "/trainers", "owner", &trainer::owner,
                     d.owners, errors);
    check_references(d.trainers, "/trainers", "pool", &trainer::pool, d.pools,
                     errors);
    check_references(d.services, "/services", "owner", &service::owner,
                     d.owners, errors);
}

/// Returns true if `root` has a newer schema version than this program
/// supports. Its other errors would be misleading.
bool has_newer_schema(const json& root) {
    const auto it = root.is_object() ? root.find("schema") : root.end();
    return root.is_object() && it != root.end() && it->is_number_integer() &&
           it->get<double>() > max_schema;
}

} // namespace

base::result<document, parse_errors> parse(std::string_view text) {
    const json root = base::parse_json(text);
    if (root.is_discarded()) {
        return parse_errors{{parse_error_kind::not_json, "", "JSON"}};
    }
    if (has_newer_schema(root)) {
        return parse_errors{{parse_error_kind::unknown_schema, "/schema",
                             std::to_string(max_schema) + " at most"}};
    }
    parse_errors errors;
    object_reader reader(root, "", errors);
    document d = read_document(reader);
    check_names(d, errors);
    if (!errors.empty()) {
        return errors;
    }
    return d;
}

} // namespace hibiscus::document
