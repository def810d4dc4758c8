#include "hibiscus/entry/settings.hpp"

#include "hibiscus/settings/mapping_reader.hpp"

namespace hibiscus::entry {

namespace {

using settings::mapping_reader;

constexpr long max_duration_ms = 3600000;
constexpr long max_size_bytes = 1L << 30;
constexpr long max_descriptors = 1L << 30;
constexpr double max_memory_mb = 1e6;
constexpr long max_usage_seconds = 3600;
constexpr double max_calls_per_s = 1e7;
constexpr double max_mb_per_s = 1e6;
constexpr double max_overage = 1000;
constexpr double bytes_per_mb = 1e6;

constexpr const char* usage_reporting_duty = "usage_reporting";
constexpr const char* autoscaling_duty = "autoscaling";

node_settings read_node_settings(mapping_reader& in) {
    node_settings s;
    in.name("node", s.node);
    in.name("zone", s.zone);
    in.mapping("listen", true, [&](mapping_reader& m) {
        m.address("callers", s.listen_callers);
        m.address("readiness", s.listen_readiness);
        m.address("directory", s.listen_directory);
        m.address("metrics", s.listen_metrics);
    });
    in.mapping("store", true, [&](mapping_reader& m) {
        m.address("address", s.store);
        m.integer("partitions", s.partitions_per_topic, 1, 4096);
        m.integer("record_bytes", s.max_record_bytes, 4096, max_size_bytes);
        m.integer("append_bytes", s.max_append_bytes, 4096, max_size_bytes);
        auto& capacity = s.store_capacity;
        m.decimal("writes_per_s", capacity.writes_per_s, 1, max_calls_per_s);
        m.decimal("reads_per_s", capacity.reads_per_s, 1, max_calls_per_s);
        double read_mb_per_s = capacity.read_bytes_per_s / bytes_per_mb;
        m.decimal("read_mb_per_s", read_mb_per_s, 0.1, max_mb_per_s);
        capacity.read_bytes_per_s = read_mb_per_s * bytes_per_mb;
        m.integer("server_renewal_ms", s.server_renewal_ms, 100,
                  max_duration_ms);
    });
    in.mapping("limits", false, [&](mapping_reader& m) {
        m.decimal("cpu_share", s.cpu_share, 0.001, 1024);
        auto memory_mb = static_cast<double>(s.memory_mb);
        m.decimal("memory_mb", memory_mb, 0, max_memory_mb);
        if (memory_mb >= 1) {
            s.memory_mb = static_cast<std::size_t>(memory_mb);
        }
        m.integer("max_fds", s.max_descriptors, 0, max_descriptors);
    });
    in.mapping("bounds", false, [&](mapping_reader& m) {
        m.integer("lease_ms", s.order_lease_ms, 0, max_duration_ms);
        m.integer("drain_ms", s.server_drain_ms, 0, max_duration_ms);
        m.integer("cancel_ms", s.cancel_deadline_ms, 100, max_duration_ms);
        m.flag("fences_checked", s.servers_check_fences);
        m.integer("config_ms", s.configuration_deadline_ms, 100,
                  max_duration_ms);
        m.flag("strict_revocation", s.strict_revocation);
        m.integer("revoke_ms", s.revocation_deadline_ms, 100, max_duration_ms);
        m.decimal("warm_up_overage", s.warm_up_overage, 0, max_overage);
        m.decimal("warm_up_slack", s.warm_up_slack, 0, max_calls_per_s);
        base::millis usage_window_s = s.usage_window_ms / 1000;
        base::millis usage_late_s = s.usage_due_ms / 1000;
        m.integer("usage_window_s", usage_window_s, 1, max_usage_seconds);
        m.integer("usage_late_s", usage_late_s, 1, max_usage_seconds);
        s.usage_window_ms = usage_window_s * 1000;
        s.usage_due_ms = usage_late_s * 1000;
        base::millis status_s = s.result_retention_ms / 1000;
        base::millis grace_s = s.shutdown_grace_ms / 1000;
        base::millis margin_s = s.retention_margin_ms / 1000;
        m.integer("status_s", status_s, 1, max_duration_ms);
        m.integer("margin_s", margin_s, 0, max_duration_ms);
        s.retention_margin_ms = margin_s * 1000;
        m.integer("grace_s", grace_s, 1, max_duration_ms);
        s.result_retention_ms = status_s * 1000;
        s.shutdown_grace_ms = grace_s * 1000;
    });
    in.mapping("duties", false, [&](mapping_reader& m) {
        duty_settings duties;
        m.address("address", duties.address);
        m.decimal("calls_per_s", duties.max_calls_per_s, 0.1, 1e6);
        std::set<std::string> names;
        m.words("names", names, {usage_reporting_duty, autoscaling_duty});
        duties.usage_reporting = names.count(usage_reporting_duty) != 0;
        duties.autoscaling = names.count(autoscaling_duty) != 0;
        s.duties = duties;
    });
    in.mapping("admission", false, [&](mapping_reader& m) {
        m.decimal("retry_ratio", s.retry_ratio, 0, 1);
        m.decimal("reward_share", s.reward_share, 0, 1);
    });
    in.mapping("policy", false, [&](mapping_reader& m) {
        for (const auto& row : base::enum_names<base::feature>::table) {
            bool on = true;
            m.flag(std::string(row.name).c_str(), on);
            s.features.set_enabled(row.value, on);
        }
    });
    in.report_unknown_keys();
    return s;
}

} // namespace

base::result<node_settings, settings::setting_errors>
load_node_settings(const std::string& path) {
    auto loaded = settings::load_yaml(path);
    const auto* root = base::value_if(loaded);
    if (root == nullptr) {
        return std::get<settings::setting_errors>(loaded);
    }
    settings::setting_errors errors;
    mapping_reader reader(*root, "", path, errors);
    auto s = read_node_settings(reader);
    if (!errors.empty()) {
        return errors;
    }
    return s;
}

} // namespace hibiscus::entry
