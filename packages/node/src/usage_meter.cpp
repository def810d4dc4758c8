#include "usage_meter.hpp"

namespace hibiscus::node {

namespace {

void count_streams(const cluster::engine_state& engine,
                   const document::document& document,
                   policy::engine_usage& usage) {
    for (const auto& [id, stream] : engine.streams) {
        const auto* trainer = document.find(stream.start.trainer);
        if (trainer == nullptr || stream.state == wire::stream_state::done) {
            continue;
        }
        const bool running = stream.state == wire::stream_state::running;
        ++(running ? usage.running : usage.queued)[trainer->owner];
    }
}

} // namespace

std::vector<policy::engine_usage>
collect_engine_usage(const cluster::engine_coordinator& coordinator,
                     const cluster::engine_table& engines,
                     const document::document& document) {
    std::vector<policy::engine_usage> usages;
    usages.reserve(coordinator.engines().size());
    for (const auto& [id, engine] : coordinator.engines()) {
        const auto* entry = engines.find(id);
        const auto* pool =
            entry != nullptr ? document.find(entry->pool) : nullptr;
        if (pool == nullptr) {
            continue;
        }
        policy::engine_usage usage;
        usage.engine = id;
        usage.owner = pool->owner;
        usage.slots = engine.traits.slots;
        count_streams(engine, document, usage);
        usages.push_back(std::move(usage));
    }
    return usages;
}

} // namespace hibiscus::node
