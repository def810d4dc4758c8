#pragma once

#include "hibiscus/batch/records.hpp"
#include "hibiscus/store/log_store.hpp"
#include "hibiscus/store/value_chunks.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace hibiscus::entry {

/// Stores the items, texts and progress of jobs, in topics of their own beside
/// the journal. All records of a job are in one partition of each topic, so
/// that a read finds few records of other jobs.
class job_store {
public:
    job_store(const store::log_store& log_store, int partitions,
              store::append_limits limits)
        : log_store_(log_store), partitions_(partitions), limits_(limits) {}

    using append_callback = std::function<void(const store::append_result&)>;

    /// These functions store records of any size in as many appends as needed.
    /// They stop at the first append that fails, and `done` gets its result.

    /// Returns the keys of the records that are stored, those of the chunks for
    /// values that are split.
    std::vector<std::string>
    append_items(const batch::job_id& job,
                 const std::vector<store::record>& records,
                 append_callback done) const;
    void append_texts(const batch::job_id& job,
                      const std::vector<store::record>& records,
                      append_callback done) const;
    void append_progress(const batch::job_id& job,
                         const std::vector<store::record>& records,
                         append_callback done) const;

    /// Erases all records of a job. `done` gets whether all of them are gone.
    void erase(const batch::job_id& job, std::function<void(bool)> done) const;

    /// These functions call `done` with no value if the store did not respond.
    void load_items(const batch::job_header& header,
                    std::function<void(std::optional<std::vector<batch::item>>)>
                        done) const;
    using progress_by_item = std::map<int, std::vector<batch::progress_part>>;
    void load_progress(
        const batch::job_id& job,
        std::function<void(std::optional<progress_by_item>)> done) const;
    /// Reads the text records of a job in key order, from the one at the
    /// committed `position` with the name `texts_name` on, up to `max_bytes`.
    void
    load_texts(const batch::job_id& job, int position,
               const std::string& texts_name, std::size_t max_bytes,
               std::function<void(std::optional<std::vector<store::record>>)>
                   done) const;

private:
    store::partition partition_for(const char* topic,
                                   const batch::job_id& job) const;

    std::vector<std::string> append(const char* topic, const batch::job_id& job,
                                    const std::vector<store::record>& records,
                                    append_callback done) const;

    const store::log_store& log_store_;
    int partitions_;
    store::append_limits limits_;
};

} // namespace hibiscus::entry
