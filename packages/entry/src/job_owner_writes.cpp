#include "hibiscus/base/result.hpp"
#include "job_owner.hpp"
#include "platform/store_client.hpp"

/// Writes of job_owner: committed results, the owner record and the progress of
/// active runs.
namespace hibiscus::entry {

namespace {

/// Minimum time between two commits of results, in ms. Each append triggers a
/// read at every node, and readers poll only twice a second.
constexpr base::millis commit_interval_ms = 30;

/// Minimum time between two renewals that are appended without results, in ms.
/// More of them would only add load while the store is unreachable.
constexpr base::millis overdue_renewal_interval_ms = 150;

/// Interval between two saves of progress, in ms. A killed owner then loses
/// half a second of each run.
constexpr base::millis progress_save_interval_ms = 500;

/// Minimum number of unsaved events of a run for its progress to be saved.
constexpr int min_unsaved_events = 6;

/// Maximum size of the texts in one commit, in bytes. This is half of what the
/// store accepts, because the last result may be long.
constexpr std::size_t max_commit_bytes = 768 * 1024;

/// Names a failure for the log; empty for success.
std::string describe(const store::append_result& result) {
    return std::visit(
        base::overloaded{
            [](const store::appended&) { return std::string(); },
            [](const store::append_conflict&) { return std::string("end"); },
            [](const store::rejected& r) { return std::to_string(r.status); },
            [](const store::outcome_unknown&) {
                return std::string("unanswered");
            }},
        result);
}

} // namespace

store::record job_owner::make_owner_record(store::log_offset fencing_token,
                                           bool handed_over) {
    return {batch::format_key(batch::owner_key{}),
            batch::encode(batch::owner_record{state_.settings.node,
                                              incarnation_, fencing_token,
                                              ++renewals_, handed_over})};
}

/// Appends to the journal on the condition that it ends where this node has
/// read to. Calls `done` with whether the records were stored.
void job_owner::append_to_journal(const std::vector<store::record>& records,
                                  std::function<void(bool)> done) {
    appending_ = true;
    const auto expected_end = journal_.next_offset();
    const auto sent_at = state_.clock.now();
    log_store_.append({adapter::journal_topic, 0}, records, &expected_end,
                      [this, records, sent_at,
                       done = std::move(done)](const store::append_result& r) {
                          appending_ = false;
                          const auto ms = state_.clock.now() - sent_at;
                          state_.counters.observe("store_append", ms);
                          log_append_failure(r, records.size(), ms);
                          const auto* stored = base::value_if(r);
                          if (stored == nullptr) {
                              lease_.on_append_failed(r);
                          } else {
                              lease_.on_renewed();
                              journal_.apply_own_append(stored->first, records,
                                                        sent_at);
                          }
                          done(stored != nullptr);
                      });
}

/// Returns the access of the committer. Each append of commits also renews the
/// lease: a separate renewal would fail half of the time because the end of the
/// journal has moved.
result_committer::journal_access job_owner::make_journal_access() {
    return {[this] {
                return is_owner() && !appending_ && !handover_.may_release();
            },
            [this](std::vector<store::record> records,
                   std::function<void(bool)> done) {
                renew_due_ = false;
                records.push_back(make_owner_record(
                    state_.jobs.owner()->record.fencing_token, false));
                append_to_journal(records, std::move(done));
            }};
}

bool job_owner::append_as_owner(std::vector<store::record> records,
                                std::function<void(bool)> done) {
    if (appending_ || !fencing_token()) {
        return false;
    }
    // Each append also renews the lease.
    records.push_back(
        make_owner_record(state_.jobs.owner()->record.fencing_token, false));
    append_to_journal(records, std::move(done));
    return true;
}

void job_owner::log_append_failure(const store::append_result& result,
                                   std::size_t record_count, base::millis ms) {
    if (const auto failures = append_failures_.update(describe(result))) {
        state_.log.write("append_works", {{"failures", *failures}});
    }
    if (!append_failures_.is_new()) {
        return;
    }
    std::visit(base::overloaded{
                   [&](const store::appended&) {},
                   [&](const store::append_conflict& conflict) {
                       state_.log.write("append_refused",
                                        {{"reason", "end_differs"},
                                         {"end", conflict.end},
                                         {"read_to", journal_.next_offset()}});
                   },
                   [&](const store::rejected& failure) {
                       state_.log.write(
                           "append_refused",
                           {{"reason", "store"}, {"status", failure.status}});
                   },
                   [&](const store::outcome_unknown&) {
                       state_.log.write("append_unanswered",
                                        {{"records", static_cast<std::int64_t>(
                                                         record_count)},
                                         {"ms", ms}});
                   }},
               result);
}

/// Renews the lease without results if no append has renewed it in time.
void job_owner::renew_if_overdue() {
    const auto now = state_.clock.now();
    if (appending_ || handover_.has_begun() || !lease_.is_renewal_overdue() ||
        now - last_overdue_renewal_at_ < overdue_renewal_interval_ms) {
        return;
    }
    last_overdue_renewal_at_ = now;
    renew_due_ = false;
    state_.log.write("renew_overdue", {{"read_to", journal_.next_offset()}});
    append_to_journal(
        {make_owner_record(state_.jobs.owner()->record.fencing_token, false)},
        [](bool) {});
}

/// Commits ready results, or renews the lease if there are none.
void job_owner::commit_results() {
    const auto now = state_.clock.now();
    if (committer_.is_busy() || !is_owner() || handover_.may_release() ||
        now - last_commit_at_ < commit_interval_ms) {
        return;
    }
    const auto unstored_jobs = committer_.update();
    if (committer_.attempt(
            scheduler_.ready_results(max_commit_bytes, unstored_jobs))) {
        last_commit_at_ = now;
    } else if (std::exchange(renew_due_, false) && !appending_) {
        append_to_journal(
            {make_owner_record(state_.jobs.owner()->record.fencing_token,
                               false)},
            [](bool) {});
    }
}

/// Saves the partial texts of active runs at an interval.
void job_owner::save_progress_if_due() {
    const auto now = state_.clock.now();
    const bool is_enabled =
        state_.settings.features.is_enabled(base::feature::save_progress);
    if (!is_enabled || saves_in_flight_ > 0 || handover_.has_begun() ||
        now - last_progress_save_at_ < progress_save_interval_ms) {
        return;
    }
    last_progress_save_at_ = now;
    save_progress(min_unsaved_events, [] {});
}

void job_owner::save_progress(int min_events, std::function<void()> done) {
    std::map<batch::job_id, std::vector<batch::unsaved_part>> by_job;
    for (auto& p : scheduler_.unsaved_parts(min_events, max_commit_bytes)) {
        by_job[p.job].push_back(std::move(p));
    }
    if (by_job.empty()) {
        done();
        return;
    }
    ++saves_in_flight_;
    auto appends_in_flight = std::make_shared<std::size_t>(by_job.size());
    for (auto& [id, parts] : by_job) {
        std::vector<store::record> records;
        for (const auto& p : parts) {
            records.push_back(
                {batch::progress_key(p.job, p.part), batch::encode(p.part)});
            progress_keys_[id].push_back(records.back().key);
        }
        job_store_.append_progress(
            id, records,
            [this, parts = std::move(parts), appends_in_flight,
             done](const store::append_result& r) {
                if (base::value_if(r) != nullptr) {
                    for (const auto& p : parts) {
                        scheduler_.on_part_saved(p);
                    }
                } else {
                    state_.log.write("append_refused",
                                     {{"reason", "progress"}});
                }
                if (--*appends_in_flight == 0) {
                    --saves_in_flight_;
                    done();
                }
            });
    }
}

} // namespace hibiscus::entry
