#include "hibiscus/base/result.hpp"
#include "job_owner.hpp"
#include "platform/store_client.hpp"

/// What an owner writes: listings, its own record, texts under way.
namespace hibiscus::entry {

namespace {

/// The least time between two appends of results, in ms: each wakes a read
/// of every node, and readers ask only twice a second.
constexpr base::millis commit_interval_ms = 30;

/// The pause before results are stored again after a failure, in ms.
constexpr base::millis commit_retry_delay_ms = 150;

/// The pause between two renewals that go out by themselves, in ms: more
/// would only add calls while the store is away.
constexpr base::millis overdue_renewal_interval_ms = 150;

/// How often texts under way are saved, in ms, and the least number of new
/// events of a run. A kill then costs half a second of a run.
constexpr base::millis progress_save_interval_ms = 500;

constexpr int min_unsaved_events = 6;

/// The text in one append, in bytes; half of what the store takes, since the
/// last result may be long.
constexpr std::size_t max_commit_bytes = 768 * 1024;

/// The share of a record that results fill before the next one is begun; the
/// last result may be long.
constexpr std::size_t record_fill_divisor = 2;

} // namespace

store::record job_owner::make_owner_record(store::log_offset fence, bool left) {
    return {batch::format_key(batch::owner_key{}),
            batch::encode(batch::owner_record{
                state_.settings.node, incarnation_, fence, ++renewals_, left})};
}

/// Appends to the journal if nothing came that this node has not read.
void job_owner::append_to_journal(const std::vector<store::record>& records,
                                  std::function<void(bool)> done) {
    appending_ = true;
    const auto at = journal_.next_offset();
    const auto sent_at = state_.clock.now();
    log_store_.append({adapter::journal_topic, 0}, records, &at,
                      [this, records, sent_at,
                       done = std::move(done)](const store::append_result& r) {
                          appending_ = false;
                          const auto ms = state_.clock.now() - sent_at;
                          state_.counters.observe("store_append", ms);
                          log_append_failure(r, records.size(), ms);
                          const auto* a = base::value_if(r);
                          if (a != nullptr) {
                              ownership_.on_renewed();
                              journal_.apply_own_append(a->first, records,
                                                        sent_at);
                          }
                          done(a != nullptr);
                      });
}

void job_owner::log_append_failure(const store::append_result& result,
                                   std::size_t records, base::millis ms) {
    std::visit(base::overloaded{
                   [&](const store::appended&) {},
                   [&](const store::append_conflict& d) {
                       state_.log.write("append_refused",
                                        {{"reason", "end_differs"},
                                         {"end", d.end},
                                         {"read_to", journal_.next_offset()}});
                   },
                   [&](const store::rejected& f) {
                       state_.log.write(
                           "append_refused",
                           {{"reason", "store"}, {"status", f.status}});
                   },
                   [&](const store::outcome_unknown&) {
                       state_.log.write(
                           "append_unanswered",
                           {{"records", static_cast<std::int64_t>(records)},
                            {"ms", ms}});
                   }},
               result);
}

/// Renews the ownership apart from results, if those do not come through.
void job_owner::renew_if_overdue() {
    const auto now = state_.clock.now();
    if (appending_ || handover_.has_begun() ||
        !ownership_.is_renewal_overdue() ||
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

/// Lists what is ready: first the texts, under keys that nobody else uses,
/// then, on the condition that this node is still the owner, where they are.
void job_owner::commit_results() {
    const auto now = state_.clock.now();
    if (committing_ || !is_owner() || handover_.may_release() ||
        now - last_commit_at_ < commit_interval_ms) {
        return;
    }
    auto lists = plan_ready_listings();
    if (lists.empty()) {
        if (std::exchange(renew_due_, false) && !appending_) {
            const auto fence = state_.jobs.owner()->record.fencing_token;
            append_to_journal({make_owner_record(fence, false)}, [](bool) {});
        }
        return;
    }
    committing_ = true;
    last_commit_at_ = now;
    struct storing {
        std::vector<batch::planned_commit> lists;
        std::set<batch::job_id> unstored;
        std::size_t waiting = 0;
    };
    auto all = std::make_shared<storing>();
    all->lists = std::move(lists);
    all->waiting = all->lists.size();
    for (const auto& l : all->lists) {
        job_store_.append_texts(
            l.job, {l.texts_record},
            [this, all, job = l.job](const store::append_result& r) {
                if (base::value_if(r) == nullptr) {
                    all->unstored.insert(job);
                }
                if (--all->waiting == 0) {
                    on_texts_stored(std::move(all->lists), all->unstored);
                }
            });
    }
}

std::vector<batch::planned_commit> job_owner::plan_ready_listings() {
    const auto now = state_.clock.now();
    std::set<batch::job_id> except;
    for (auto row = commit_retry_at_.begin(); row != commit_retry_at_.end();) {
        if (now >= row->second) {
            row = commit_retry_at_.erase(row);
        } else {
            except.insert((row++)->first);
        }
    }
    return batch::plan_commits(
        state_.jobs, work_.ready_results(max_commit_bytes, except),
        state_.settings.max_record_bytes / record_fill_divisor, [this] {
            return incarnation_ + "-" + std::to_string(++text_key_counter_);
        });
}

/// Jobs whose texts were not stored are left out for a while: each try would
/// encode and send all that has become ready once more.
void job_owner::on_texts_stored(std::vector<batch::planned_commit> lists,
                                const std::set<batch::job_id>& unstored) {
    for (const auto& id : unstored) {
        commit_retry_at_[id] = state_.clock.now() + commit_retry_delay_ms;
        state_.log.write("append_refused", {{"reason", "texts"}, {"job", id}});
    }
    append_listings(batch::exclude_jobs(std::move(lists), unstored));
}

void job_owner::append_listings(
    const std::vector<batch::planned_commit>& lists) {
    const bool fits = batch::is_plan_current(state_.jobs, lists);
    if (lists.empty() || !fits || !is_owner() || appending_ ||
        handover_.may_release()) {
        committing_ = false;
        if (!fits) {
            state_.log.write("append_refused", {{"reason", "listed_before"}});
        }
        return;
    }
    std::vector<store::record> records;
    records.reserve(lists.size() + 1);
    for (const auto& l : lists) {
        records.push_back(
            {batch::format_key(batch::commit_key{l.job, l.position}),
             batch::encode(l.commit)});
    }
    // Each append renews the ownership as well; a separate one would find the
    // journal's end moved half of the time.
    renew_due_ = false;
    records.push_back(
        make_owner_record(state_.jobs.owner()->record.fencing_token, false));
    append_to_journal(records, [this, lists](bool done) {
        committing_ = false;
        if (!done) {
            return;
        }
        for (const auto& l : lists) {
            state_.log.write("listed",
                             {{"job", l.job},
                              {"position", l.position},
                              {"items", static_cast<int>(l.commit.rows.size())},
                              {"ms", state_.clock.now() - last_commit_at_}});
        }
    });
}

/// Saves what has come of texts under way.
void job_owner::save_progress_if_due() {
    const auto now = state_.clock.now();
    const bool saves =
        state_.settings.features.is_enabled(base::feature::save_progress);
    if (!saves || saves_in_flight_ > 0 || handover_.has_begun() ||
        now - last_progress_save_at_ < progress_save_interval_ms) {
        return;
    }
    last_progress_save_at_ = now;
    save_progress(min_unsaved_events, [] {});
}

void job_owner::save_progress(int least, std::function<void()> done) {
    std::map<batch::job_id, std::vector<batch::unsaved_part>> by_job;
    for (auto& p : work_.unsaved_parts(least, max_commit_bytes)) {
        by_job[p.job].push_back(std::move(p));
    }
    if (by_job.empty()) {
        done();
        return;
    }
    ++saves_in_flight_;
    auto open = std::make_shared<std::size_t>(by_job.size());
    for (auto& [id, parts] : by_job) {
        std::vector<store::record> records;
        for (const auto& p : parts) {
            records.push_back(
                {batch::progress_key(p.job, p.part), batch::encode(p.part)});
            progress_keys_[id].push_back(records.back().key);
        }
        job_store_.append_progress(id, records,
                                   [this, parts = std::move(parts), open,
                                    done](const store::append_result& r) {
                                       if (base::value_if(r) != nullptr) {
                                           for (const auto& p : parts) {
                                               work_.on_part_saved(p);
                                           }
                                       } else {
                                           state_.log.write(
                                               "append_refused",
                                               {{"reason", "progress"}});
                                       }
                                       if (--*open == 0) {
                                           --saves_in_flight_;
                                           done();
                                       }
                                   });
    }
}

} // namespace hibiscus::entry
