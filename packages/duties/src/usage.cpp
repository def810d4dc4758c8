#include "hibiscus/duties/usage.hpp"

#include "hibiscus/base/cbor.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdio>

namespace hibiscus::duties {

namespace {

using json = nlohmann::json;

/// No job id begins with this character and contains only digits after the
/// separator, so the keys don't collide with those of jobs.
const std::string report_key_prefix = "!usage/";

std::optional<usage_counts> read_counts(const json& in) {
    if (!in.is_object()) {
        return std::nullopt;
    }
    usage_counts counts;
    for (const auto& row : in.items()) {
        if (!row.value().is_number_integer()) {
            return std::nullopt;
        }
        counts[row.key()] = row.value().get<std::int64_t>();
    }
    return counts;
}

} // namespace

std::string report_key(window_number window) {
    return report_key_prefix + std::to_string(window);
}

std::optional<window_number> parse_report_key(const std::string& key) {
    if (key.compare(0, report_key_prefix.size(), report_key_prefix) != 0) {
        return std::nullopt;
    }
    window_number window = 0;
    const auto* end = key.data() + key.size();
    const auto read =
        std::from_chars(key.data() + report_key_prefix.size(), end, window);
    if (read.ec != std::errc() || read.ptr != end) {
        return std::nullopt;
    }
    return window;
}

std::string count_prefix(window_number window) {
    char text[32];
    std::snprintf(text, sizeof text, "%016lld/",
                  static_cast<long long>(window));
    return text;
}

std::string format_key(const count_record_key& key) {
    char generation[16];
    std::snprintf(generation, sizeof generation, "/%06d", key.generation);
    return count_prefix(key.window) + key.node + "/" + key.incarnation +
           generation;
}

usage_counts
sum_counts(const std::vector<std::pair<std::string, std::string>>& records) {
    std::map<std::string, usage_counts> by_process;
    for (const auto& [key, value] : records) {
        if (auto counts = decode_counts(value)) {
            by_process[key.substr(0, key.rfind('/'))] = std::move(*counts);
        }
    }
    usage_counts sum;
    for (const auto& process : by_process) {
        for (const auto& [workspace, count] : process.second) {
            if (count > 0) {
                sum[workspace] += count;
            }
        }
    }
    return sum;
}

std::string encode(const usage_report& report) {
    return base::encode_cbor(
        {{"counts", report.counts}, {"delivered", report.delivered}});
}

std::string encode(const usage_counts& counts) {
    return base::encode_cbor(json(counts));
}

std::optional<usage_report> decode_report(window_number window,
                                          const std::string& bytes) {
    return base::decode_cbor(
        bytes, [&](const json& in) -> std::optional<usage_report> {
            if (!in.is_object() || !in.contains("counts") ||
                !in.value("delivered", json()).is_boolean()) {
                return std::nullopt;
            }
            auto counts = read_counts(in.at("counts"));
            if (!counts) {
                return std::nullopt;
            }
            return usage_report{window, std::move(*counts),
                                in.at("delivered").get<bool>()};
        });
}

std::optional<usage_counts> decode_counts(const std::string& bytes) {
    return base::decode_cbor(bytes, read_counts);
}

} // namespace hibiscus::duties
