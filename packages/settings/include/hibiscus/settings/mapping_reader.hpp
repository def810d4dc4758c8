#pragma once

#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/base/result.hpp"
#include "hibiscus/settings/errors.hpp"

#include <yaml-cpp/yaml.h>

#include <set>
#include <string>

namespace hibiscus::settings {

/// Reads the keys of one YAML mapping and collects the errors in them. Reading
/// an optional key that is absent leaves the target unchanged.
class mapping_reader {
public:
    /// Constructs a reader that appends to `errors`, which must outlive it.
    /// `path` is the full path of the mapping in `file`.
    mapping_reader(const YAML::Node& node, std::string path, std::string file,
                   setting_errors& errors)
        : node_(node), path_(std::move(path)), file_(std::move(file)),
          errors_(errors) {
        if (!node_.IsMap()) {
            add_error(setting_fault::wrong_type, node_, "", "a mapping");
        }
    }

    /// Reads an optional decimal number from `min` to `max`.
    void decimal(const char* key, double& target, double min, double max) {
        const auto value = find_value(key);
        if (!value.IsDefined()) {
            return;
        }
        const auto range = std::to_string(min) + " to " + std::to_string(max);
        double number = 0;
        if (!value.IsScalar() ||
            !YAML::convert<double>::decode(value, number)) {
            add_error(setting_fault::wrong_type, value, key,
                      "a number, " + range);
        } else if (number < min || number > max) {
            add_error(setting_fault::out_of_range, value, key, range);
        } else {
            target = number;
        }
    }

    /// Reads a required id. Ignores a value that is not a scalar.
    template <class Id>
    void name(const char* key, Id& target) {
        const auto value = find_required_value(key, "a name");
        if (value.IsScalar()) {
            target = Id(value.Scalar());
        }
    }

    /// Reads a required address.
    void address(const char* key, base::endpoint& target) {
        constexpr const char* expected =
            "an IP address and a port, such as 127.0.0.1:80";
        const auto value = find_required_value(key, expected);
        if (!value.IsDefined() || value.IsNull()) {
            return;
        }
        const auto parsed = value.IsScalar()
                                ? base::parse_endpoint(value.Scalar())
                                : std::nullopt;
        if (!parsed) {
            add_error(setting_fault::wrong_type, value, key, expected);
            return;
        }
        target = *parsed;
    }

    /// Reads an optional integer from `min` to `max`.
    template <class T>
    void integer(const char* key, T& target, long min, long max) {
        const auto value = find_value(key);
        if (!value.IsDefined()) {
            return;
        }
        const auto range = std::to_string(min) + " to " + std::to_string(max);
        long number = 0;
        if (!value.IsScalar() || !YAML::convert<long>::decode(value, number)) {
            add_error(setting_fault::wrong_type, value, key,
                      "a whole number, " + range);
        } else if (number < min || number > max) {
            add_error(setting_fault::out_of_range, value, key, range);
        } else {
            target = static_cast<T>(number);
        }
    }

    /// Reads an optional boolean, `true` or `false`.
    void flag(const char* key, bool& target) {
        std::string text = target ? "true" : "false";
        word(key, text, {"true", "false"});
        target = text == "true";
    }

    /// Reads an optional value that must be one of `choices`.
    void word(const char* key, std::string& target,
              const std::set<std::string>& choices) {
        const auto value = find_value(key);
        if (!value.IsDefined()) {
            return;
        }
        if (!value.IsScalar() || choices.count(value.Scalar()) == 0) {
            add_error(setting_fault::wrong_type, value, key,
                      describe_choices(choices));
            return;
        }
        target = value.Scalar();
    }

    /// Reads an optional list of values, each of which must be one of
    /// `choices`.
    void words(const char* key, std::set<std::string>& target,
               const std::set<std::string>& choices) {
        const auto value = find_value(key);
        if (!value.IsDefined()) {
            return;
        }
        const auto expected = "a list, each " + describe_choices(choices);
        if (!value.IsSequence()) {
            add_error(setting_fault::wrong_type, value, key, expected);
            return;
        }
        for (const auto& element : value) {
            if (!element.IsScalar() || choices.count(element.Scalar()) == 0) {
                add_error(setting_fault::wrong_type, element, key, expected);
                return;
            }
            target.insert(element.Scalar());
        }
    }

    /// Calls `read` with a reader for the mapping at `key`, if it is present,
    /// and reports unknown keys in it. A missing mapping is an error if
    /// `required` is true.
    template <class F>
    void mapping(const char* key, bool required, F read) {
        const auto value =
            required ? find_required_value(key, "a mapping") : find_value(key);
        if (!value.IsDefined() || value.IsNull()) {
            return;
        }
        mapping_reader reader(value, full_key(key), file_, errors_);
        read(reader);
        reader.report_unknown_keys();
    }

    /// Adds an error for each key in the mapping that was not read.
    void report_unknown_keys() {
        if (!node_.IsMap()) {
            return;
        }
        for (const auto& pair : node_) {
            const auto key = pair.first.as<std::string>("");
            if (known_keys_.count(key) == 0) {
                add_error(setting_fault::unknown_key, pair.first, key,
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

    static std::string describe_choices(const std::set<std::string>& choices) {
        std::string description = "one of";
        for (const auto& choice : choices) {
            description += " " + choice;
        }
        return description;
    }

    std::string full_key(const std::string& key) const {
        if (path_.empty() || key.empty()) {
            return path_ + key;
        }
        return path_ + "." + key;
    }

    void add_error(setting_fault fault, const YAML::Node& node,
                   const std::string& key, std::string expected) {
        const int line = node.IsDefined() ? node.Mark().line + 1 : 0;
        errors_.push_back(
            {fault, file_, line, full_key(key), std::move(expected)});
    }

    YAML::Node node_;
    std::string path_;
    std::string file_;
    setting_errors& errors_;
    std::set<std::string> known_keys_;
};

/// Parses the YAML file at `path`. Returns an error if the file cannot be read
/// or is not valid YAML.
base::result<YAML::Node, setting_errors> load_yaml(const std::string& path);

} // namespace hibiscus::settings
