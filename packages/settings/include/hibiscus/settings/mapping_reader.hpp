#pragma once

#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/result.hpp"
#include "hibiscus/settings/errors.hpp"

#include <yaml-cpp/yaml.h>

#include <set>
#include <string>

namespace hibiscus::settings {

/// Reads the keys of one mapping and notes what is wrong with them.
class mapping_reader {
public:
    mapping_reader(const YAML::Node& node, std::string path, std::string file,
                   setting_errors& errors)
        : node_(node), path_(std::move(path)), file_(std::move(file)),
          errors_(errors) {
        if (!node_.IsMap()) {
            add_error(setting_fault::wrong_type, node_, "", "a mapping");
        }
    }

    /// Reads a number with a fraction, if it is there.
    void decimal(const char* key, double& target, double low, double high) {
        const auto value = find_value(key);
        if (!value.IsDefined()) {
            return;
        }
        const auto range = std::to_string(low) + " to " + std::to_string(high);
        double number = 0;
        if (!value.IsScalar() ||
            !YAML::convert<double>::decode(value, number)) {
            add_error(setting_fault::wrong_type, value, key,
                      "a number, " + range);
        } else if (number < low || number > high) {
            add_error(setting_fault::out_of_range, value, key, range);
        } else {
            target = number;
        }
    }

    /// Reads a name, which must be there.
    template <class Id>
    void name(const char* key, Id& target) {
        const auto value = find_required_value(key, "a name");
        if (value.IsScalar()) {
            target = Id(value.Scalar());
        }
    }

    /// Reads an address, which must be there.
    void address(const char* key, base::endpoint& target) {
        constexpr const char* form = "an IP number and a port, 127.0.0.1:80";
        const auto value = find_required_value(key, form);
        if (!value.IsDefined() || value.IsNull()) {
            return;
        }
        const auto parsed = value.IsScalar()
                                ? base::parse_endpoint(value.Scalar())
                                : std::nullopt;
        if (!parsed) {
            add_error(setting_fault::wrong_type, value, key, form);
            return;
        }
        target = *parsed;
    }

    /// Reads a whole number from `low` to `high`, if it is there.
    template <class T>
    void integer(const char* key, T& target, long low, long high) {
        const auto value = find_value(key);
        if (!value.IsDefined()) {
            return;
        }
        const auto range = std::to_string(low) + " to " + std::to_string(high);
        long number = 0;
        if (!value.IsScalar() || !YAML::convert<long>::decode(value, number)) {
            add_error(setting_fault::wrong_type, value, key,
                      "a whole number, " + range);
        } else if (number < low || number > high) {
            add_error(setting_fault::out_of_range, value, key, range);
        } else {
            target = static_cast<T>(number);
        }
    }

    /// Reads true or false, if it is there.
    void flag(const char* key, bool& target) {
        std::string text = target ? "true" : "false";
        word(key, text, {"true", "false"});
        target = text == "true";
    }

    /// Reads one of some words, if it is there.
    void word(const char* key, std::string& target,
              const std::set<std::string>& words) {
        const auto value = find_value(key);
        if (!value.IsDefined()) {
            return;
        }
        if (!value.IsScalar() || words.count(value.Scalar()) == 0) {
            add_error(setting_fault::wrong_type, value, key,
                      describe_choices(words));
            return;
        }
        target = value.Scalar();
    }

    /// Reads a mapping, which must be there if `needed`, with `read`.
    template <class F>
    void mapping(const char* key, bool needed, F read) {
        const auto value =
            needed ? find_required_value(key, "a mapping") : find_value(key);
        if (!value.IsDefined() || value.IsNull()) {
            return;
        }
        mapping_reader reader(value, full_key(key), file_, errors_);
        read(reader);
        reader.report_unknown_keys();
    }

    /// Notes the keys that were not asked for.
    void report_unknown_keys() {
        if (!node_.IsMap()) {
            return;
        }
        for (const auto& row : node_) {
            const auto key = row.first.as<std::string>("");
            if (known_keys_.count(key) == 0) {
                add_error(setting_fault::unknown_key, row.first, key,
                          describe_choices(known_keys_));
            }
        }
    }

private:
    YAML::Node find_value(const char* key) {
        known_keys_.insert(key);
        return node_.IsMap() ? node_[key]
                             : YAML::Node(YAML::NodeType::Undefined);
    }

    YAML::Node find_required_value(const char* key,
                                   const std::string& expected) {
        auto value = find_value(key);
        if (!value.IsDefined() || value.IsNull()) {
            add_error(setting_fault::missing, node_, key, expected);
        }
        return value;
    }

    static std::string describe_choices(const std::set<std::string>& words) {
        std::string out = "one of";
        for (const auto& w : words) {
            out += " " + w;
        }
        return out;
    }

    std::string full_key(const std::string& key) const {
        if (path_.empty() || key.empty()) {
            return path_ + key;
        }
        return path_ + "." + key;
    }

    void add_error(setting_fault what, const YAML::Node& at,
                   const std::string& key, std::string expected) {
        const int line = at.IsDefined() ? at.Mark().line + 1 : 0;
        errors_.push_back(
            {what, file_, line, full_key(key), std::move(expected)});
    }

    YAML::Node node_;
    std::string path_;
    std::string file_;
    setting_errors& errors_;
    std::set<std::string> known_keys_;
};

/// Returns the YAML of the file `path`, or why it can't be read.
base::result<YAML::Node, setting_errors> load_yaml(const std::string& path);

} // namespace hibiscus::settings
