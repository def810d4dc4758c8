#pragma once

#include "hibiscus/store/log_store.hpp"

#include <optional>

namespace hibiscus::store {

/// Reads the records whose keys begin with `prefix`, in the order of keys,
/// from the first one behind `after` on, until they hold `most_bytes`. Values
/// that were stored in pieces are joined; the last one is read to its end.
/// Calls `done` with nothing if the store gave no answer.
void read_prefix(const log_store& store, const partition& source,
                 const std::string& prefix, const std::string& after,
                 std::size_t most_bytes,
                 std::function<void(std::optional<std::vector<record>>)> done);

} // namespace hibiscus::store
