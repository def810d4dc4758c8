#pragma once

#include "hibiscus/batch/records.hpp"
#include "hibiscus/store/log_store.hpp"
#include "hibiscus/store/value_chunks.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace hibiscus::entry {

/// What lies in the store for each job besides the journal: its items, its
/// texts and texts under way. A job's records lie in one partition of each
/// topic, so that one reading finds little of other jobs.
class job_store {
public:
    job_store(const store::log_store& log_store, int partitions,
              store::append_limits limits)
        : log_store_(log_store), partitions_(partitions), limits_(limits) {}

    using append_callback = std::function<void(const store::append_result&)>;

    /// Each stores records of any size, in as many appends as it takes; the
    /// first that fails ends them and is what `done` gets.

    void append_items(const batch::job_id& job,
                      const std::vector<store::record>& records,
                      append_callback done) const;
    void append_texts(const batch::job_id& job,
                      const std::vector<store::record>& records,
                      append_callback done) const;
    void append_progress(const batch::job_id& job,
                         const std::vector<store::record>& records,
                         append_callback done) const;

    /// Erases all of a job; `done` is told whether all of it is gone.
    void erase(const batch::job_id& job, std::function<void(bool)> done) const;

    /// Each calls `done` with nothing if the store gave no answer.
    void load_items(const batch::job_id& job,
                    std::function<void(std::optional<std::vector<batch::item>>)>
                        done) const;
    using progress_by_item = std::map<int, std::vector<batch::progress_part>>;
    void load_progress(
        const batch::job_id& job,
        std::function<void(std::optional<progress_by_item>)> done) const;
    /// Reads the records with texts from those named `texts` at a listed
    /// position on, up to `most_bytes`.
    void
    load_texts(const batch::job_id& job, int position,
               const std::string& texts_name, std::size_t max_bytes,
               std::function<void(std::optional<std::vector<store::record>>)>
                   done) const;

private:
    store::partition partition_for(const char* topic,
                                   const batch::job_id& job) const;

    void append(const char* topic, const batch::job_id& job,
                const std::vector<store::record>& records,
                append_callback done) const;

    const store::log_store& log_store_;
    int partitions_;
    store::append_limits limits_;
};

} // namespace hibiscus::entry
