#include "job_files.hpp"

#include "hibiscus/base/hash.hpp"
#include "hibiscus/base/result.hpp"
#include "hibiscus/store/prefix_reader.hpp"
#include "platform/store_client.hpp"

#include <memory>
#include <utility>

namespace hibiscus::entry {

namespace {

/// More than any job holds: a call without a bound.
constexpr std::size_t no_bound = std::size_t{1} << 40U;

/// Appends to one partition that follow on each other.
struct append_series : std::enable_shared_from_this<append_series> {
    const store::log_store& store;
    store::partition to;
    std::vector<std::vector<store::record>> appends;
    job_files::append_done done;
    std::size_t at = 0;

    append_series(const store::log_store& s, store::partition p,
                  std::vector<std::vector<store::record>> a,
                  job_files::append_done d)
        : store(s), to(std::move(p)), appends(std::move(a)),
          done(std::move(d)) {}

    void next() {
        if (appends.empty()) {
            done(store::appended{});
            return;
        }
        store.append(to, appends[at], nullptr,
                     [self = shared_from_this()](const auto& result) {
                         self->appended(result);
                     });
    }

    void appended(const store::append_result& result) {
        const bool stored = base::value_if(result) != nullptr;
        if (stored && ++at < appends.size()) {
            next();
            return;
        }
        done(result);
    }
};

} // namespace

store::partition job_files::part_of(const char* topic,
                                    const batch::job_id& job) const {
    const auto hash = base::stable_hash(job.str());
    return {topic,
            static_cast<int>(hash % static_cast<std::uint64_t>(partitions_))};
}

void job_files::append(const char* topic, const batch::job_id& job,
                       const std::vector<store::record>& records,
                       append_done done) const {
    auto series = std::make_shared<append_series>(
        store_, part_of(topic, job), store::to_appends(records, limits_),
        std::move(done));
    series->next();
}

void job_files::append_items(const batch::job_id& job,
                             const std::vector<store::record>& records,
                             append_done done) const {
    append(adapter::items_topic, job, records, std::move(done));
}

void job_files::append_texts(const batch::job_id& job,
                             const std::vector<store::record>& records,
                             append_done done) const {
    append(adapter::texts_topic, job, records, std::move(done));
}

void job_files::append_progress(const batch::job_id& job,
                                const std::vector<store::record>& records,
                                append_done done) const {
    append(adapter::progress_topic, job, records, std::move(done));
}

void job_files::erase(const batch::job_id& job,
                      std::function<void(bool)> done) const {
    struct erasing {
        int topics = 3;
        bool all = true;
    };
    auto state = std::make_shared<erasing>();
    for (const auto* topic : {adapter::items_topic, adapter::texts_topic,
                              adapter::progress_topic}) {
        store::erase_prefix(store_, part_of(topic, job), batch::job_prefix(job),
                            [state, done](bool gone) {
                                state->all = state->all && gone;
                                if (--state->topics == 0) {
                                    done(state->all);
                                }
                            });
    }
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
