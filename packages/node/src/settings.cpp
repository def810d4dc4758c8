#include "hibiscus/node/settings.hpp"

#include "hibiscus/settings/mapping_reader.hpp"

namespace hibiscus::node {

namespace {

using hibiscus::settings::mapping_reader;

constexpr long megabyte = 1024 * 1024;

settings read_settings(mapping_reader& in) {
    settings s;
    in.name("node", s.node);
    in.name("zone", s.zone);
    in.mapping("listen", true, [&](mapping_reader& m) {
        m.address("callers", s.listen_callers);
        m.address("peers", s.listen_peers);
    });
    in.mapping("platform", true, [&](mapping_reader& m) {
        m.address("log", s.platform_log);
        m.address("instances", s.platform_instances);
        m.address("weights", s.platform_weights);
    });
    in.mapping("limits", false, [&](mapping_reader& m) {
        m.integer("traffic_threads", s.traffic_threads, 1, 64);
        m.integer("body_bytes", s.body_bytes, 1024, 1024 * megabyte);
        m.integer("header_bytes", s.header_bytes, 1024, megabyte);
        m.integer("connections", s.connections, 16, 1000000);
        m.integer("non_idempotent_in_work", s.non_idempotent_in_work, 1,
                  1000000);
    });
    in.mapping("cluster", false, [&](mapping_reader& m) {
        m.integer("claim_shards", s.claim_shards, 1, 65536);
        m.integer("claim_window_ms", s.claim_window_ms, 0, 10000);
        m.integer("heartbeat_ms", s.heartbeat_ms, 10, 60000);
        m.integer("member_timeout_ms", s.member_timeout_ms, 100, 600000);
    });
    in.word("log_level", s.log_level, {"debug", "info", "warn", "error"});
    in.report_unknown_keys();
    return s;
}

} // namespace

base::result<settings, setting_errors> load_settings(const std::string& path) {
    auto loaded = hibiscus::settings::load_yaml(path);
    const auto* root = base::value_if(loaded);
    if (root == nullptr) {
        return std::get<setting_errors>(loaded);
    }
    setting_errors errors;
    mapping_reader reader(*root, "", path, errors);
    settings s = read_settings(reader);
    if (!errors.empty()) {
        return errors;
    }
    return s;
}

} // namespace hibiscus::node
