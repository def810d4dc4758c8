#include "usage_meter.hpp"

namespace hibiscus::node {

namespace {

void count_streams(const cluster::engine_state& engine,
                   const document::document& document,
                   policy::engine_usage& use) {
    for (const auto& [id, row] : engine.streams) {
        const auto* trainer = document.find(row.start.trainer);
        if (trainer == nullptr || row.state == wire::stream_state::done) {
            continue;
        }
        const bool running = row.state == wire::stream_state::running;
        ++(running ? use.running : use.queued)[trainer->owner];
    }
}

} // namespace

std::vector<policy::engine_usage>
collect_engine_uses(const cluster::engine_coordinator& home,
                    const cluster::engine_table& engines,
                    const document::document& document) {
    std::vector<policy::engine_usage> uses;
    uses.reserve(home.engines().size());
    for (const auto& [id, engine] : home.engines()) {
        const auto* row = engines.find(id);
        const auto* pool = row != nullptr ? document.find(row->pool) : nullptr;
        if (pool == nullptr) {
            continue;
        }
        policy::engine_usage use;
        use.engine = id;
        use.owner = pool->owner;
        use.slots = engine.traits.slots;
        count_streams(engine, document, use);
        uses.push_back(std::move(use));
    }
    return uses;
}

} // namespace hibiscus::node
