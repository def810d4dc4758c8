#include "hibiscus/store/partition_watcher.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace hibiscus::store {

class partition_watcher::impl : public std::enable_shared_from_this<impl> {
public:
    impl(const log_store& store, partition source, base::clock clock,
         run_after_function run_after, watcher_times times,
         watcher_callbacks callbacks)
        : store_(store), source_(std::move(source)), clock_(std::move(clock)),
          run_after_(std::move(run_after)), times_(times),
          callbacks_(std::move(callbacks)) {}

    void start() { begin_snapshot(); }

    void stop() { stopped_ = true; }

    void pause() { paused_ = true; }

    void resume() {
        paused_ = false;
        if (const auto request = std::exchange(paused_request_, nullptr)) {
            (this->*request)();
        }
    }

    void set_read_wait(base::millis wait_ms) { times_.read_wait_ms = wait_ms; }

    bool is_loaded() const { return loaded_; }

    log_offset next_offset() const { return next_offset_; }

    base::millis current_as_of() const { return current_as_of_; }

    void apply_own_append(log_offset first, const std::vector<record>& records,
                          base::millis sent_at) {
        if (!loaded_ || first != next_offset_) {
            return;
        }
        current_as_of_ = std::max(current_as_of_, sent_at);
        std::vector<stored_record> stored;
        stored.reserve(records.size());
        for (const auto& r : records) {
            stored.push_back({first++, r});
        }
        next_offset_ = first;
        apply(stored);
    }

private:
    void begin_snapshot() {
        snapshot_.clear();
        snapshot_end_.reset();
        request_page();
    }

    void request_page() {
        if (paused_) {
            paused_request_ = &impl::request_page;
            return;
        }
        if (!snapshot_end_) {
            snapshot_requested_at_ = clock_.now();
        }
        const auto after_key =
            snapshot_.empty() ? std::string() : snapshot_.back().content.key;
        store_.read_latest(source_, after_key,
                           [self = shared_from_this()](latest_result r) {
                               self->on_page(std::move(r));
                           });
    }

    void on_page(latest_result result) {
        if (stopped_) {
            return;
        }
        auto* page = base::value_if(result);
        if (page == nullptr || has_no_cursor(*page)) {
            // The pages loaded so far stay valid: the log is read from the end
            // reported with the first page in any case.
            mark_unreachable();
            schedule_retry([](impl& self) { self.request_page(); });
            return;
        }
        if (!snapshot_end_) {
            snapshot_end_ = page->end;
        }
        const bool has_more = page->has_more;
        std::move(page->records.begin(), page->records.end(),
                  std::back_inserter(snapshot_));
        if (has_more) {
            request_page();
            return;
        }
        finish_snapshot();
    }

    /// Applies the snapshot, or requests a new one if it is stale: a store that
    /// responds with an old state would revert keys already reported.
    void finish_snapshot() {
        if (loaded_ && *snapshot_end_ < next_offset_) {
            schedule_retry([](impl& self) { self.begin_snapshot(); });
            return;
        }
        std::set<std::string> keys;
        for (const auto& r : snapshot_) {
            keys.insert(r.content.key);
        }
        std::vector<change> deletions;
        for (const auto& row : key_offsets_) {
            if (keys.count(row.first) == 0 && row.second < *snapshot_end_) {
                deletions.push_back({row.first, std::nullopt, row.second});
            }
        }
        for (const auto& d : deletions) {
            key_offsets_.erase(d.key);
        }
        if (!deletions.empty()) {
            callbacks_.on_changes(deletions);
        }
        next_offset_ = std::max(next_offset_, *snapshot_end_);
        current_as_of_ = std::max(current_as_of_, snapshot_requested_at_);
        loaded_ = true;
        mark_reachable();
        apply(std::exchange(snapshot_, {}));
        request_records();
    }

    void request_records() {
        if (paused_) {
            paused_request_ = &impl::request_records;
            return;
        }
        const auto sent_at = clock_.now();
        const auto wait_ms = times_.read_wait_ms;
        store_.read(
            source_, next_offset_, wait_ms,
            [self = shared_from_this(), sent_at, wait_ms](read_result r) {
                self->on_read(std::move(r), sent_at, wait_ms);
            });
    }

    void on_read(read_result result, base::millis sent_at,
                 base::millis wait_ms) {
        if (stopped_) {
            return;
        }
        std::visit(
            base::overloaded{
                [&](fetched_records& r) { apply_read(r, sent_at, wait_ms); },
                [&](records_trimmed&) { begin_snapshot(); },
                [&](rejected&) { on_read_failure(); },
                [&](outcome_unknown&) { on_read_failure(); },
            },
            result);
    }

    void apply_read(fetched_records& r, base::millis sent_at,
                    base::millis wait_ms) {
        mark_reachable();
        std::vector<stored_record> new_records;
        for (auto& row : r.records) {
            if (row.offset >= next_offset_) {
                next_offset_ = row.offset + 1;
                new_records.push_back(std::move(row));
            }
        }
        if (next_offset_ >= r.end) {
            current_as_of_ = std::max(current_as_of_, sent_at);
        }
        if (r.records.empty() && r.end > next_offset_) {
            schedule_retry([](impl& self) { self.request_records(); });
            return;
        }
        if (r.records.empty() && r.end == next_offset_) {
            // The wait at the store began after the read was sent, and no
            // record arrived before it ended.
            const bool waited = clock_.now() - sent_at >= wait_ms;
            current_as_of_ =
                std::max(current_as_of_, sent_at + (waited ? wait_ms : 0));
        }
        const bool use_interval =
            (!new_records.empty() || wait_ms == 0) && times_.read_interval_ms;
        apply(new_records);
        if (use_interval && times_.read_interval_ms() > 0) {
            run_after_(times_.read_interval_ms(), [self = shared_from_this()] {
                if (!self->stopped_) {
                    self->request_records();
                }
            });
            return;
        }
        request_records();
    }

    void on_read_failure() {
        mark_unreachable();
        schedule_retry([](impl& self) { self.request_records(); });
    }

    void apply(const std::vector<stored_record>& records) {
        std::vector<change> changes;
        for (const auto& r : records) {
            const auto known = key_offsets_.find(r.content.key);
            if (known != key_offsets_.end() && known->second >= r.offset) {
                continue;
            }
            if (r.content.value.empty()) {
                key_offsets_.erase(r.content.key);
                changes.push_back({r.content.key, std::nullopt, r.offset});
            } else {
                key_offsets_[r.content.key] = r.offset;
                changes.push_back({r.content.key, r.content.value, r.offset});
            }
        }
        if (!changes.empty()) {
            callbacks_.on_changes(changes);
        }
    }

    void mark_reachable() {
        if (!std::exchange(reachable_, true) &&
            callbacks_.on_reachable_changed) {
            callbacks_.on_reachable_changed(true);
        }
    }

    void mark_unreachable() {
        if (std::exchange(reachable_, false) &&
            callbacks_.on_reachable_changed) {
            callbacks_.on_reachable_changed(false);
        }
    }

    void schedule_retry(void (*action)(impl&)) {
        run_after_(times_.retry_delay_ms, [self = shared_from_this(), action] {
            if (!self->stopped_) {
                action(*self);
            }
        });
    }

    const log_store& store_;
    partition source_;
    base::clock clock_;
    run_after_function run_after_;
    watcher_times times_;
    watcher_callbacks callbacks_;
    /// Offset of the value of each key in the view.
    std::map<std::string, log_offset> key_offsets_;
    std::vector<stored_record> snapshot_;
    /// End of the partition as of the first page of the snapshot.
    std::optional<log_offset> snapshot_end_;
    /// When the first page of the snapshot was requested.
    base::millis snapshot_requested_at_ = 0;
    log_offset next_offset_ = 0;
    base::millis current_as_of_ = 0;
    bool loaded_ = false;
    bool reachable_ = false;
    bool stopped_ = false;
    bool paused_ = false;
    /// The request that was held back by the pause, or null.
    void (impl::*paused_request_)() = nullptr;
};

partition_watcher::partition_watcher(const log_store& store, partition source,
                                     base::clock clock,
                                     run_after_function run_after,
                                     watcher_times times,
                                     watcher_callbacks callbacks)
    : impl_(std::make_shared<impl>(store, std::move(source), std::move(clock),
                                   std::move(run_after), times,
                                   std::move(callbacks))) {}

partition_watcher::~partition_watcher() {
    impl_->stop();
}

void partition_watcher::start() {
    impl_->start();
}

void partition_watcher::pause() {
    impl_->pause();
}

void partition_watcher::resume() {
    impl_->resume();
}

void partition_watcher::set_read_wait(base::millis wait_ms) {
    impl_->set_read_wait(wait_ms);
}

bool partition_watcher::is_loaded() const {
    return impl_->is_loaded();
}

log_offset partition_watcher::next_offset() const {
    return impl_->next_offset();
}

base::millis partition_watcher::current_as_of() const {
    return impl_->current_as_of();
}

void partition_watcher::apply_own_append(log_offset first,
                                         const std::vector<record>& records,
                                         base::millis sent_at) {
    impl_->apply_own_append(first, records, sent_at);
}

} // namespace hibiscus::store
