#include "job_files.hpp"

#include "hibiscus/base/hash.hpp"
#include "hibiscus/store/prefix_reader.hpp"
#include "platform/store_client.hpp"

namespace hibiscus::entry {

namespace {

/// More than any job holds: a call without a bound.
constexpr std::size_t no_bound = std::size_t{1} << 40U;

} // namespace

store::partition job_files::part_of(const char* topic,
                                    const batch::job_id& job) const {
    const auto hash = base::stable_hash(job.str());
    return {topic,
            static_cast<int>(hash % static_cast<std::uint64_t>(partitions_))};
}

void job_files::append_items(const batch::job_id& job,
                             const std::vector<store::record>& records,
                             append_done done) const {
    store_.append(part_of(adapter::items_topic, job), records, nullptr,
                  std::move(done));
}

void job_files::append_texts(const batch::job_id& job,
                             const std::vector<store::record>& records,
                             append_done done) const {
    store_.append(part_of(adapter::texts_topic, job), records, nullptr,
                  std::move(done));
}

void job_files::append_progress(const batch::job_id& job,
                                const std::vector<store::record>& records,
                                append_done done) const {
    store_.append(part_of(adapter::progress_topic, job), records, nullptr,
                  std::move(done));
}

void job_files::load_items(
    const batch::job_id& job,
    std::function<void(std::optional<std::vector<batch::item>>)> done) const {
    const auto prefix = batch::job_prefix(job);
    store::read_prefix(
        store_, part_of(adapter::items_topic, job), prefix, prefix, no_bound,
        [done = std::move(done)](
            const std::optional<std::vector<store::record>>& records) {
            if (!records) {
                done(std::nullopt);
                return;
            }
            std::vector<batch::item> out;
            for (const auto& r : *records) {
                auto items = batch::decode_items(r.value);
                if (!items) {
                    done(std::nullopt);
                    return;
                }
                std::move(items->begin(), items->end(),
                          std::back_inserter(out));
            }
            done(std::move(out));
        });
}

void job_files::load_progress(
    const batch::job_id& job,
    std::function<void(std::optional<progress_map>)> done) const {
    const auto prefix = batch::job_prefix(job);
    store::read_prefix(
        store_, part_of(adapter::progress_topic, job), prefix, prefix, no_bound,
        [done = std::move(done)](
            const std::optional<std::vector<store::record>>& records) {
            if (!records) {
                done(std::nullopt);
                return;
            }
            progress_map out;
            for (const auto& r : *records) {
                // A part that can't be read only costs its events.
                if (auto part = batch::decode_progress(r.value)) {
                    out[part->item].push_back(std::move(*part));
                }
            }
            done(std::move(out));
        });
}

void job_files::load_texts(
    const batch::job_id& job, int position, const std::string& texts,
    std::size_t most_bytes,
    std::function<void(std::optional<std::vector<store::record>>)> done) const {
    store::read_prefix(
        store_, part_of(adapter::texts_topic, job), batch::job_prefix(job),
        batch::before_texts(job, position, texts), most_bytes, std::move(done));
}

} // namespace hibiscus::entry
