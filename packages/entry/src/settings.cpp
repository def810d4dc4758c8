#include "hibiscus/entry/settings.hpp"

#include "hibiscus/settings/mapping_reader.hpp"

namespace hibiscus::entry {

namespace {

using settings::mapping_reader;

constexpr long longest_ms = 3600000;
constexpr long largest_bytes = 1L << 30;

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
        m.integer("partitions", s.partitions, 1, 4096);
        m.integer("record_bytes", s.record_bytes, 4096, largest_bytes);
        m.integer("append_bytes", s.append_bytes, 4096, largest_bytes);
    });
    in.mapping("limits", false, [&](mapping_reader& m) {
        m.decimal("cpu_share", s.cpu_share, 0.001, 1024);
    });
    in.mapping("bounds", false, [&](mapping_reader& m) {
        m.integer("lease_ms", s.lease_ms, 0, longest_ms);
        m.integer("drain_ms", s.drain_ms, 0, longest_ms);
        m.integer("cancel_ms", s.cancel_ms, 100, longest_ms);
        m.flag("fences_checked", s.fences_checked);
        base::millis status_s = s.status_ms / 1000;
        base::millis grace_s = s.grace_ms / 1000;
        base::millis margin_s = s.margin_ms / 1000;
        m.integer("status_s", status_s, 1, longest_ms);
        m.integer("margin_s", margin_s, 0, longest_ms);
        s.margin_ms = margin_s * 1000;
        m.integer("grace_s", grace_s, 1, longest_ms);
        s.status_ms = status_s * 1000;
        s.grace_ms = grace_s * 1000;
    });
    in.mapping("policy", false, [&](mapping_reader& m) {
        for (const auto& row : base::enum_names<base::mechanism>::table) {
            bool on = true;
            m.flag(std::string(row.name).c_str(), on);
            s.mechanisms.set(row.value, on);
        }
    });
    in.finish();
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
