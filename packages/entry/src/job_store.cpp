#include "job_store.hpp"

#include "hibiscus/base/hash.hpp"
#include "hibiscus/base/result.hpp"
#include "hibiscus/store/prefix_operations.hpp"
#include "platform/store_client.hpp"

#include <memory>
#include <utility>

namespace hibiscus::entry {

namespace {

/// Size limit for reads that must return all records of a job, in bytes; larger
/// than any job.
constexpr std::size_t unlimited_bytes = std::size_t{1} << 40U;

/// Consecutive appends to one partition.
struct append_sequence : std::enable_shared_from_this<append_sequence> {
    const store::log_store& store;
    store::partition target;
    std::vector<std::vector<store::record>> appends;
    job_store::append_callback done;
    std::size_t next_index = 0;

    append_sequence(const store::log_store& s, store::partition p,
                    std::vector<std::vector<store::record>> a,
                    job_store::append_callback d)
        : store(s), target(std::move(p)), appends(std::move(a)),
          done(std::move(d)) {}

    void append_next() {
        if (appends.empty()) {
            done(store::appended{});
            return;
        }
        store.append(target, appends[next_index], nullptr,
                     [self = shared_from_this()](const auto& result) {
                         self->on_appended(result);
                     });
    }

    void on_appended(const store::append_result& result) {
        const bool stored = base::value_if(result) != nullptr;
        if (stored && ++next_index < appends.size()) {
            append_next();
            return;
        }
        done(result);
    }
};

} // namespace

store::partition job_store::partition_for(const char* topic,
                                          const batch::job_id& job) const {
    const auto hash = base::stable_hash(job.str());
    return {topic,
            static_cast<int>(hash % static_cast<std::uint64_t>(partitions_))};
}

std::vector<std::string>
job_store::append(const char* topic, const batch::job_id& job,
                  const std::vector<store::record>& records,
                  append_callback done) const {
    auto appends = store::split_into_appends(records, limits_);
    std::vector<std::string> keys;
    for (const auto& stored : appends) {
        for (const auto& r : stored) {
            keys.push_back(r.key);
        }
    }
    auto sequence =
        std::make_shared<append_sequence>(log_store_, partition_for(topic, job),
                                          std::move(appends), std::move(done));
    sequence->append_next();
    return keys;
}

std::vector<std::string>
job_store::append_items(const batch::job_id& job,
                        const std::vector<store::record>& records,
                        append_callback done) const {
    return append(adapter::items_topic, job, records, std::move(done));
}

void job_store::append_texts(const batch::job_id& job,
                             const std::vector<store::record>& records,
                             append_callback done) const {
    append(adapter::texts_topic, job, records, std::move(done));
}

void job_store::append_progress(const batch::job_id& job,
                                const std::vector<store::record>& records,
                                append_callback done) const {
    append(adapter::progress_topic, job, records, std::move(done));
}

void job_store::erase(const batch::job_id& job,
                      std::function<void(bool)> done) const {
    struct erasing {
        int remaining_topics = 3;
        bool all_erased = true;
    };
    auto erasure = std::make_shared<erasing>();
    for (const auto* topic : {adapter::items_topic, adapter::texts_topic,
                              adapter::progress_topic}) {
        store::erase_prefix(
            log_store_, partition_for(topic, job), batch::job_prefix(job),
            [erasure, done](bool erased) {
                erasure->all_erased = erasure->all_erased && erased;
                if (--erasure->remaining_topics == 0) {
                    done(erasure->all_erased);
                }
            });
    }
}

void job_store::load_items(
    const batch::job_header& header,
    std::function<void(std::optional<std::vector<batch::item>>)> done) const {
    const auto prefix = batch::job_prefix(header.id);
    store::read_prefix(
        log_store_, partition_for(adapter::items_topic, header.id), prefix,
        prefix, unlimited_bytes,
        [done = std::move(done),
         header](const std::optional<std::vector<store::record>>& records) {
            if (!records) {
                done(std::nullopt);
                return;
            }
            std::vector<batch::item> all_items;
            for (const auto& r : batch::select_item_records(*records, header)) {
                auto items = batch::decode_items(r.value);
                if (!items) {
                    done(std::nullopt);
                    return;
                }
                std::move(items->begin(), items->end(),
                          std::back_inserter(all_items));
            }
            done(std::move(all_items));
        });
}

void job_store::load_progress(
    const batch::job_id& job,
    std::function<void(std::optional<progress_by_item>)> done) const {
    const auto prefix = batch::job_prefix(job);
    store::read_prefix(
        log_store_, partition_for(adapter::progress_topic, job), prefix, prefix,
        unlimited_bytes,
        [done = std::move(done)](
            const std::optional<std::vector<store::record>>& records) {
            if (!records) {
                done(std::nullopt);
                return;
            }
            progress_by_item progress;
            for (const auto& r : *records) {
                // Skips a part that can't be decoded; only its events are lost.
                if (auto part = batch::decode_progress(r.value)) {
                    progress[part->item_index].push_back(std::move(*part));
                }
            }
            done(std::move(progress));
        });
}

void job_store::load_texts(
    const batch::job_id& job, int position, const std::string& texts_name,
    std::size_t max_bytes,
    std::function<void(std::optional<std::vector<store::record>>)> done) const {
    store::read_prefix(log_store_, partition_for(adapter::texts_topic, job),
                       batch::job_prefix(job),
                       batch::key_before_texts(job, position, texts_name),
                       max_bytes, std::move(done));
}

} // namespace hibiscus::entry
