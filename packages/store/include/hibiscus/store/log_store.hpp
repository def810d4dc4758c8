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
    log_offset offset = 0;
    record content;
};

/// The store answered that it did nothing.
struct rejected {
    int status = 0;
};

/// No answer came: the call may have been carried out, or may be later.
struct outcome_unknown {};

/// All records of an append stand from `first` on; the partition ends at
/// `end`.
struct appended {
    log_offset first = 0;
    log_offset end = 0;
};

/// Nothing was appended, since the partition does not end where the caller
/// expected it.
struct append_conflict {
    log_offset end = 0;
};

using append_result =
    base::result<appended, append_conflict, rejected, outcome_unknown>;

/// What a partition held from the asked offset on; no records if none came
/// within the wait.
struct fetched_records {
    log_offset end = 0;
    std::vector<stored_record> records;
};

/// The asked records are no longer kept.
struct records_trimmed {};

using read_result =
    base::result<fetched_records, records_trimmed, rejected, outcome_unknown>;

/// A page of the newest record of each key, in the order of keys.
struct latest_page {
    std::vector<stored_record> records;
    bool has_more = false;
    log_offset end = 0;
};

/// Returns true if a page holds nothing though others follow: no key says
/// where to go on, and what stands behind it is not absent.
inline bool has_no_cursor(const latest_page& page) {
    return page.has_more && page.records.empty();
}

using latest_result = base::result<latest_page, rejected, outcome_unknown>;

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
                       std::function<void(latest_result)>)>
        read_latest;
};

/// Calls a function after so many ms, on the caller's thread.
using run_after_function =
    std::function<void(base::millis, std::function<void()>)>;

} // namespace hibiscus::store
