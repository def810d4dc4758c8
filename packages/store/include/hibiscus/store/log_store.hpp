#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/result.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// The shared log as the product sees it: partitions of keyed records, of
/// which the newest of each key stays readable.
namespace hibiscus::store {

/// The place of a record in its partition, from 0 without gaps.
using log_offset = std::uint64_t;

/// One partition of a topic.
struct partition {
    std::string topic;
    int number = 0;
};

/// A key and its value. An empty value deletes the key.
struct record {
    std::string key;
    std::string value;
};

/// A record and where it stands.
struct stored_record {
    log_offset at = 0;
    record content;
};

/// The store answered that it did nothing.
struct refused {
    int status = 0;
};

/// No answer came: the call may have been carried out, or may be later.
struct unanswered {};

/// All records of an append stand from `first` on; the partition ends at
/// `end`.
struct appended {
    log_offset first = 0;
    log_offset end = 0;
};

/// Nothing was appended, since the partition does not end where the caller
/// expected it.
struct end_differs {
    log_offset end = 0;
};

using append_result = base::result<appended, end_differs, refused, unanswered>;

/// What a partition held from the asked offset on; no records if none came
/// within the wait.
struct read_records {
    log_offset end = 0;
    std::vector<stored_record> records;
};

/// The asked records are no longer kept.
struct trimmed {};

using read_result = base::result<read_records, trimmed, refused, unanswered>;

/// A page of the newest record of each key, in the order of keys.
struct newest_page {
    std::vector<stored_record> records;
    bool more = false;
    log_offset end = 0;
};

/// Returns true if a page holds nothing though others follow: no key says
/// where to go on, and what stands behind it is not absent.
inline bool lacks_cursor(const newest_page& page) {
    return page.more && page.records.empty();
}

using newest_result = base::result<newest_page, refused, unanswered>;

/// The calls of the store. Each calls its last argument once, later.
struct log_store {
    /// Appends all records or none. With `at`, only if the partition ends
    /// there.
    std::function<void(const partition&, const std::vector<record>&,
                       const log_offset* at,
                       std::function<void(append_result)>)>
        append;
    /// Reads from an offset on, waiting up to `wait_ms` for a record.
    std::function<void(const partition&, log_offset from, base::millis wait_ms,
                       std::function<void(read_result)>)>
        read;
    /// Reads the newest records of the keys after `after`.
    std::function<void(const partition&, const std::string& after,
                       std::function<void(newest_result)>)>
        newest;
};

/// Calls a function after so many ms, on the caller's thread.
using delay_function = std::function<void(base::millis, std::function<void()>)>;

} // namespace hibiscus::store
