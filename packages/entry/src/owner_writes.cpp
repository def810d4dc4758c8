#include "hibiscus/base/result.hpp"
#include "owner.hpp"
#include "platform/store_client.hpp"

/// What an owner writes: listings, its own record, texts under way.
namespace hibiscus::entry {

namespace {

/// The least time between two appends of results, in ms: each wakes a read
/// of every node, and readers ask only twice a second.
constexpr base::millis commit_ms = 30;

/// The pause before results are stored again after a failure, in ms.
constexpr base::millis commit_retry_ms = 150;

/// The pause between two renewals that go out by themselves, in ms: more
/// would only add calls while the store is away.
constexpr base::millis overdue_pause_ms = 150;

/// How often texts under way are saved, in ms, and the least number of new
/// events of a run. A kill then costs half a second of a run.
constexpr base::millis progress_ms = 500;

constexpr int progress_events = 6;

/// The text in one append, in bytes; half of what the store takes, since the
/// last result may be long.
constexpr std::size_t commit_bytes = 768 * 1024;

/// The share of a record that results fill before the next one is begun; the
/// last result may be long.
constexpr std::size_t record_share = 2;

} // namespace

store::record owner::own_record(store::log_offset fence, bool left) {
    return {batch::to_text(batch::owner_key{}),
            batch::encode(batch::owner_record{state_.config.node, incarnation_,
                                              fence, ++beats_, left})};
}

/// Appends to the journal if nothing came that this node has not read.
void owner::append(const std::vector<store::record>& records,
                   std::function<void(bool)> done) {
    appending_ = true;
    const auto at = journal_.next();
    const auto sent_at = state_.clock.now();
    store_.append({adapter::journal_topic, 0}, records, &at,
                  [this, records, sent_at,
                   done = std::move(done)](const store::append_result& r) {
                      appending_ = false;
                      const auto ms = state_.clock.now() - sent_at;
                      state_.counters.observe("store_append", ms);
                      log_append(r, records.size(), ms);
                      const auto* a = base::value_if(r);
                      if (a != nullptr) {
                          ownership_.renewed();
                          journal_.appended_here(a->first, records, sent_at);
                      }
                      done(a != nullptr);
                  });
}

void owner::log_append(const store::append_result& result, std::size_t records,
                       base::millis ms) {
    std::visit(base::overloaded{
                   [&](const store::appended&) {},
                   [&](const store::end_differs& d) {
                       state_.log.write("append_refused",
                                        {{"reason", "end_differs"},
                                         {"end", d.end},
                                         {"read_to", journal_.next()}});
                   },
                   [&](const store::refused& f) {
                       state_.log.write(
                           "append_refused",
                           {{"reason", "store"}, {"status", f.status}});
                   },
                   [&](const store::unanswered&) {
                       state_.log.write(
                           "append_unanswered",
                           {{"records", static_cast<std::int64_t>(records)},
                            {"ms", ms}});
                   }},
               result);
}

/// Renews the ownership apart from results, if those do not come through.
void owner::renew_overdue() {
    const auto now = state_.clock.now();
    if (appending_ || hand_over_.begun() || !ownership_.overdue() ||
        now - last_overdue_ < overdue_pause_ms) {
        return;
    }
    last_overdue_ = now;
    renew_due_ = false;
    state_.log.write("renew_overdue", {{"read_to", journal_.next()}});
    append({own_record(state_.jobs.owner()->record.fence, false)}, [](bool) {});
}

/// Lists what is ready: first the texts, under keys that nobody else uses,
/// then, on the condition that this node is still the owner, where they are.
void owner::commit() {
    const auto now = state_.clock.now();
    if (committing_ || !owns() || hand_over_.is_due() ||
        now - last_commit_ < commit_ms) {
        return;
    }
    auto lists = collect();
    if (lists.empty()) {
        if (std::exchange(renew_due_, false) && !appending_) {
            const auto fence = state_.jobs.owner()->record.fence;
            append({own_record(fence, false)}, [](bool) {});
        }
        return;
    }
    committing_ = true;
    last_commit_ = now;
    struct storing {
        std::vector<batch::planned_listing> lists;
        std::set<batch::job_id> unstored;
        std::size_t waiting = 0;
    };
    auto all = std::make_shared<storing>();
    all->lists = std::move(lists);
    all->waiting = all->lists.size();
    for (const auto& l : all->lists) {
        files_.append_texts(
            l.job, {l.texts},
            [this, all, job = l.job](const store::append_result& r) {
                if (base::value_if(r) == nullptr) {
                    all->unstored.insert(job);
                }
                if (--all->waiting == 0) {
                    texts_stored(std::move(all->lists), all->unstored);
                }
            });
    }
}

std::vector<batch::planned_listing> owner::collect() {
    const auto now = state_.clock.now();
    std::set<batch::job_id> except;
    for (auto row = unstored_until_.begin(); row != unstored_until_.end();) {
        if (now >= row->second) {
            row = unstored_until_.erase(row);
        } else {
            except.insert((row++)->first);
        }
    }
    return batch::plan_listings(
        state_.jobs, work_.ready(commit_bytes, except),
        state_.config.record_bytes / record_share, [this] {
            return incarnation_ + "-" + std::to_string(++texts_written_);
        });
}

/// Jobs whose texts were not stored are left out for a while: each try would
/// encode and send all that has become ready once more.
void owner::texts_stored(std::vector<batch::planned_listing> lists,
                         const std::set<batch::job_id>& unstored) {
    for (const auto& id : unstored) {
        unstored_until_[id] = state_.clock.now() + commit_retry_ms;
        state_.log.write("append_refused", {{"reason", "texts"}, {"job", id}});
    }
    list(batch::without_jobs(std::move(lists), unstored));
}

void owner::list(const std::vector<batch::planned_listing>& lists) {
    const bool fits = batch::still_fits(state_.jobs, lists);
    if (lists.empty() || !fits || !owns() || appending_ ||
        hand_over_.is_due()) {
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
            {batch::to_text(batch::listing_key{l.job, l.position}),
             batch::encode(l.content)});
    }
    // Each append renews the ownership as well; a separate one would find the
    // journal's end moved half of the time.
    renew_due_ = false;
    records.push_back(own_record(state_.jobs.owner()->record.fence, false));
    append(records, [this, lists](bool done) {
        committing_ = false;
        if (!done) {
            return;
        }
        for (const auto& l : lists) {
            state_.log.write(
                "listed", {{"job", l.job},
                           {"position", l.position},
                           {"items", static_cast<int>(l.content.rows.size())},
                           {"ms", state_.clock.now() - last_commit_}});
        }
    });
}

/// Saves what has come of texts under way.
void owner::save() {
    const auto now = state_.clock.now();
    const bool saves =
        state_.config.mechanisms.has(base::mechanism::save_progress);
    if (!saves || saves_ > 0 || hand_over_.begun() ||
        now - last_progress_ < progress_ms) {
        return;
    }
    last_progress_ = now;
    save_now(progress_events, [] {});
}

void owner::save_now(int least, std::function<void()> done) {
    std::map<batch::job_id, std::vector<batch::unsaved_part>> by_job;
    for (auto& p : work_.unsaved(least, commit_bytes)) {
        by_job[p.job].push_back(std::move(p));
    }
    if (by_job.empty()) {
        done();
        return;
    }
    ++saves_;
    auto open = std::make_shared<std::size_t>(by_job.size());
    for (auto& [id, parts] : by_job) {
        std::vector<store::record> records;
        for (const auto& p : parts) {
            records.push_back(
                {batch::progress_text(p.job, p.part), batch::encode(p.part)});
            progress_keys_[id].push_back(records.back().key);
        }
        files_.append_progress(id, records,
                               [this, parts = std::move(parts), open,
                                done](const store::append_result& r) {
                                   if (base::value_if(r) != nullptr) {
                                       for (const auto& p : parts) {
                                           work_.saved(p);
                                       }
                                   } else {
                                       state_.log.write(
                                           "append_refused",
                                           {{"reason", "progress"}});
                                   }
                                   if (--*open == 0) {
                                       --saves_;
                                       done();
                                   }
                               });
    }
}

} // namespace hibiscus::entry
