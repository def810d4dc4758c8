#include "registry.hpp"

#include "platform/documents.hpp"
#include "platform/store_client.hpp"

namespace hibiscus::entry {

namespace {

/// Entries of living servers are back within two seconds of the store's
/// return; for so long a missing one is not believed, in ms.
constexpr base::millis return_ms = 2200;

/// How often the entries are read while there is something new, in ms: each
/// server writes its own every 1.2 s, which with 60 of them is all the time.
constexpr base::millis read_pace_ms = 100;

} // namespace

registry::registry(node_state& state, const store::log_store& store,
                   const store::delay_function& after)
    : state_(state), after_(after),
      follower_(store, {adapter::registry_topic, 0}, state.clock, after,
                {store::follower_times().wait, store::follower_times().retry,
                 [] { return read_pace_ms; }},
                {[this](const auto& changes) { apply(changes); },
                 [this](bool up) { contact(up); }}) {}

void registry::apply(const std::vector<store::change>& changes) {
    for (const auto& c : changes) {
        const samplers::sampler_id id(c.key);
        const auto entry =
            c.value ? adapter::decode_registration(*c.value) : std::nullopt;
        if (entry) {
            state_.samplers.put(id, *entry);
            continue;
        }
        if (c.value) {
            state_.log.write("record_skipped",
                             {{"topic", "registry"}, {"key", c.key}});
        }
        const auto now = state_.clock.now();
        const bool doubtful = !up_ || now - up_at_ < return_ms;
        state_.log.write("server_gone",
                         {{"server", id}, {"believed", !doubtful}});
        if (doubtful) {
            state_.samplers.mark_unlisted(id);
        } else {
            state_.samplers.remove(id);
        }
    }
}

void registry::contact(bool up) {
    up_ = up;
    state_.log.write("dependency", {{"name", "store"}, {"up", up}});
    if (!up) {
        return;
    }
    up_at_ = state_.clock.now();
    const auto number = ++returns_;
    after_(return_ms, [this, number] {
        if (number == returns_ && up_) {
            state_.samplers.remove_unlisted();
        }
    });
}

} // namespace hibiscus::entry
