#pragma once

#include "hibiscus/store/log_store.hpp"

#include <optional>

namespace hibiscus::store {

/// Reads the records whose keys start with `prefix` and are greater than
/// `after_key`, in key order, until their values reach `max_bytes`. Joins
/// chunked values, and reads the last value to its end even beyond the limit.
/// Omits values with a missing chunk. Calls `done` with std::nullopt if a read
/// fails.
void read_prefix(const log_store& store, const partition& source,
                 const std::string& prefix, const std::string& after_key,
                 std::size_t max_bytes,
                 std::function<void(std::optional<std::vector<record>>)> done);

/// Deletes the records whose keys start with `prefix`. Calls `done` with true
/// once the store has deleted them all, and with false if a call fails; records
/// deleted before the failure stay deleted.
void erase_prefix(const log_store& store, const partition& source,
                  const std::string& prefix, std::function<void(bool)> done);

} // namespace hibiscus::store
