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

/// Erases the records whose keys begin with `prefix`. Calls `done` with true
/// once the store has taken it for all, with false if it gave no answer or
/// refused; what is erased by then stays so.
void erase_prefix(const log_store& store, const partition& source,
                  const std::string& prefix, std::function<void(bool)> done);

} // namespace hibiscus::store
