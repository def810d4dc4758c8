#pragma once

#include "hibiscus/store/log_store.hpp"

#include <string>
#include <vector>

/// Values that are larger than a record of the store. A text of a long run or
/// the body of an item may be; refused whole, it would never be stored, and
/// with it all that is appended together. Such a value is cut into pieces
/// under keys of their own, which sort directly behind the key of the value,
/// so that one reading finds them in their order.
namespace hibiscus::store {

/// What the store takes, in bytes.
struct append_limits {
    /// One record, with its key.
    std::size_t max_record_bytes = 262144;
    /// All records of one append.
    std::size_t max_append_bytes = 2097152;
};

/// Cuts values that do not fit into a record, and deals all records to
/// appends that the store takes, in their order. The appends are not all or
/// nothing together; a value of which pieces are missing is read as absent.
std::vector<std::vector<record>>
split_into_appends(std::vector<record> records, const append_limits& limits);

/// Returns true unless the record is a piece that others follow.
bool completes_value(const record& r);

/// Joins pieces that stand in the order of their keys. Values of which a
/// piece is missing are left out.
std::vector<record> join_chunks(std::vector<record> records);

} // namespace hibiscus::store
