#include "result_committer.hpp"

#include "hibiscus/base/result.hpp"

#include <memory>
#include <utility>

namespace hibiscus::entry {

namespace {

/// Delay before texts are stored again after a failure, in ms. Each attempt
/// sends all of them.
constexpr base::millis texts_retry_delay_ms = 150;

/// Results fill a record up to `max_record_bytes` divided by this number; then
/// the next record is started. The rest is left for the last result, which may
/// be long.
constexpr std::size_t record_fill_divisor = 2;

} // namespace

std::set<batch::job_id> result_committer::update() {
    for (const auto& id : pending_.update(state_.jobs)) {
        state_.log.write("append_refused",
                         {{"reason", "listed_before"}, {"job", id}});
    }
    return pending_.unstored_jobs();
}

bool result_committer::attempt(std::vector<batch::ready_result> results) {
    pending_.add(state_.jobs, std::move(results),
                 state_.settings.max_record_bytes / record_fill_divisor,
                 [this] {
                     return incarnation_ + "-" +
                            std::to_string(++last_texts_record_number_);
                 });
    auto unstored = pending_.unstored(jobs_to_retry_later());
    if (unstored.empty() && pending_.ready().empty()) {
        return false;
    }
    busy_ = true;
    started_at_ = state_.clock.now();
    if (unstored.empty()) {
        append_commits();
    } else {
        store_texts(std::move(unstored));
    }
    return true;
}

void result_committer::clear() {
    pending_.clear();
    texts_retry_at_.clear();
}

/// Returns the jobs whose texts could not be stored shortly before.
std::set<batch::job_id> result_committer::jobs_to_retry_later() {
    const auto now = state_.clock.now();
    std::set<batch::job_id> jobs;
    for (auto row = texts_retry_at_.begin(); row != texts_retry_at_.end();) {
        if (now >= row->second) {
            row = texts_retry_at_.erase(row);
        } else {
            jobs.insert((row++)->first);
        }
    }
    return jobs;
}

void result_committer::store_texts(std::vector<batch::planned_commit> commits) {
    struct text_appends {
        std::set<batch::job_id> failed;
        std::size_t in_flight = 0;
    };
    auto appends = std::make_shared<text_appends>();
    appends->in_flight = commits.size();
    for (const auto& planned : commits) {
        job_store_.append_texts(
            planned.job, {planned.texts_record},
            [this, appends, job = planned.job,
             key = planned.texts_record.key](const store::append_result& r) {
                if (base::value_if(r) != nullptr) {
                    pending_.on_texts_stored(key);
                } else {
                    appends->failed.insert(job);
                }
                if (--appends->in_flight == 0) {
                    on_texts_stored(appends->failed);
                }
            });
    }
}

void result_committer::on_texts_stored(const std::set<batch::job_id>& failed) {
    for (const auto& id : failed) {
        texts_retry_at_[id] = state_.clock.now() + texts_retry_delay_ms;
        state_.log.write("append_refused", {{"reason", "texts"}, {"job", id}});
    }
    append_commits();
}

void result_committer::append_commits() {
    // While the texts were stored, an earlier append whose response was lost
    // may have turned out to be in the journal.
    update();
    auto commits = pending_.ready();
    if (commits.empty() || !journal_.may_append()) {
        busy_ = false;
        return;
    }
    std::vector<store::record> records;
    records.reserve(commits.size() + 1);
    for (const auto& planned : commits) {
        records.push_back({batch::format_key(batch::commit_key{
                               planned.job, planned.position}),
                           batch::encode(planned.commit)});
    }
    journal_.append(std::move(records),
                    [this, commits = std::move(commits)](bool done) {
                        busy_ = false;
                        if (done) {
                            log_listed(commits);
                        }
                    });
}

void result_committer::log_listed(
    const std::vector<batch::planned_commit>& commits) {
    for (const auto& planned : commits) {
        state_.log.write(
            "listed", {{"job", planned.job},
                       {"position", planned.position},
                       {"items", static_cast<int>(planned.commit.rows.size())},
                       {"ms", state_.clock.now() - started_at_}});
    }
}

} // namespace hibiscus::entry
