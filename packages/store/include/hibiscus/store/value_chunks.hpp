#pragma once

#include "hibiscus/store/log_store.hpp"

#include <string>
#include <vector>

/// Chunking of values that exceed the store's record size limit, such as the
/// text of a long run or the body of an item. The store would reject such a
/// record, and with it the whole append. The value is therefore split into
/// chunks under keys that sort directly after the key of the value, and a
/// single scan reads the chunks in order.
namespace hibiscus::store {

/// Size limits of the store, in bytes.
struct append_limits {
    /// One record, including its key.
    std::size_t max_record_bytes = 262144;
    /// All records of one append.
    std::size_t max_append_bytes = 2097152;
};

/// Splits values that do not fit into one record, and distributes all records
/// in order over appends within the limits. Together, the appends are
/// not atomic; a value with missing chunks is read as absent.
std::vector<std::vector<record>>
split_into_appends(std::vector<record> records, const append_limits& limits);

/// Returns true for a whole value and for the last chunk of a value.
bool completes_value(const record& r);

/// Joins the chunks in `records`, which must be sorted by key. Omits values
/// with a missing chunk.
std::vector<record> join_chunks(std::vector<record> records);

} // namespace hibiscus::store
