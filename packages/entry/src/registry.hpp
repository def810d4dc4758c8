#pragma once

#include "node_state.hpp"

#include "hibiscus/store/follower.hpp"

namespace hibiscus::entry {

/// Keeps the table of backend servers as they register in the store. Entries
/// that vanish while the store is in trouble may belong to servers that live:
/// these are given a moment to come back.
class registry {
public:
    registry(node_state& state, const store::log_store& store,
             const store::delay_function& after);

    void start() { follower_.start(); }
    bool loaded() const { return follower_.loaded(); }

private:
    void apply(const std::vector<store::change>& changes);
    void contact(bool up);

    node_state& state_;
    store::delay_function after_;
    store::follower follower_;
    bool up_ = false;
    base::millis up_at_ = 0;
    std::uint64_t returns_ = 0;
};

} // namespace hibiscus::entry
