#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/result.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// Client interface of the shared log, a partitioned, compacted log of keyed
/// records: the latest record of each key always stays readable.
namespace hibiscus::store {

/// Position of a record in its partition; starts at 0 and has no gaps.
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

/// A record and its offset.
struct stored_record {
    log_offset offset = 0;
    record content;
};

/// The store rejected the call and did not carry it out.
struct rejected {
    /// HTTP status; 0 if the call was not sent.
    int status = 0;
};

/// The call got no response. The store may have carried it out, or may still
/// do so.
struct outcome_unknown {};

/// The records were appended at the offsets [first, end). `end` is the new end
/// of the partition.
struct appended {
    log_offset first = 0;
    log_offset end = 0;
};

/// Nothing was appended because the partition ends at `end`, not at the
/// expected offset.
struct append_conflict {
    log_offset end = 0;
};

using append_result =
    base::result<appended, append_conflict, rejected, outcome_unknown>;

/// The records from the requested offset on, and the end of the partition.
/// `records` is empty if none arrived within the wait. The store may also
/// return no records although `end` is greater than the requested offset.
struct fetched_records {
    log_offset end = 0;
    std::vector<stored_record> records;
};

/// The store no longer holds the requested records.
struct records_trimmed {};

using read_result =
    base::result<fetched_records, records_trimmed, rejected, outcome_unknown>;

/// A page of the latest record of each key, sorted by key.
struct latest_page {
    std::vector<stored_record> records;
    bool has_more = false;
    log_offset end = 0;
};

/// Returns true if a page is empty although more pages follow. The next page
/// can't be requested without a last key, and the remaining keys must not be
/// treated as absent.
inline bool has_no_cursor(const latest_page& page) {
    return page.has_more && page.records.empty();
}

using latest_result = base::result<latest_page, rejected, outcome_unknown>;

/// The asynchronous calls of the store. Each call invokes its callback exactly
/// once, after the call has returned.
struct log_store {
    /// Appends all records or none. If `expected_end` is not null, appends only
    /// if the partition ends at that offset.
    std::function<void(const partition&, const std::vector<record>&,
                       const log_offset* expected_end,
                       std::function<void(append_result)>)>
        append;
    /// Reads records from the offset `from` on; waits up to `wait_ms` for the
    /// first one.
    std::function<void(const partition&, log_offset from, base::millis wait_ms,
                       std::function<void(read_result)>)>
        read;
    /// Reads a page of the latest records whose keys are greater than
    /// `after_key`.
    std::function<void(const partition&, const std::string& after_key,
                       std::function<void(latest_result)>)>
        read_latest;
};

/// Runs a function on the calling thread after a delay in ms.
using run_after_function =
    std::function<void(base::millis, std::function<void()>)>;

} // namespace hibiscus::store
