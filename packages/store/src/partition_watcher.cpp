#include "hibiscus/store/partition_watcher.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace hibiscus::store {

class partition_watcher::impl : public std::enable_shared_from_this<impl> {
public:
    impl(const log_store& store, partition source, base::clock clock,
         run_after_function after, watcher_times times,
         watcher_callbacks events)
        : store_(store), source_(std::move(source)), clock_(std::move(clock)),
          run_after_(std::move(after)), times_(times),
          callbacks_(std::move(events)) {}

    void start() { begin_snapshot(); }

    void stop() { stopped_ = true; }

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
        const auto after =
            snapshot_.empty() ? std::string() : snapshot_.back().content.key;
        store_.read_latest(source_, after,
                           [self = shared_from_this()](latest_result r) {
                               self->on_page(std::move(r));
                           });
    }

    void on_page(latest_result result) {
        if (stopped_) {
            return;
        }
        auto* p = base::value_if(result);
        if (p == nullptr || has_no_cursor(*p)) {
            // The pages so far hold on: reading goes on from the first one's
            // end in any case.
            mark_disconnected();
            schedule_retry([](impl& self) { self.request_page(); });
            return;
        }
        if (!snapshot_end_) {
            snapshot_end_ = p->end;
        }
        const bool more = p->has_more;
        std::move(p->records.begin(), p->records.end(),
                  std::back_inserter(snapshot_));
        if (more) {
            request_page();
            return;
        }
        finish_snapshot();
    }

    /// A store that answers from an old state would take keys back that were
    /// already seen; such a snapshot is dropped and asked for again.
    void finish_snapshot() {
        if (loaded_ && *snapshot_end_ < next_offset_) {
            schedule_retry([](impl& self) { self.begin_snapshot(); });
            return;
        }
        std::set<std::string> present;
        for (const auto& r : snapshot_) {
            present.insert(r.content.key);
        }
        std::vector<change> gone;
        for (const auto& row : key_offsets_) {
            if (present.count(row.first) == 0 && row.second < *snapshot_end_) {
                gone.push_back({row.first, std::nullopt, row.second});
            }
        }
        for (const auto& g : gone) {
            key_offsets_.erase(g.key);
        }
        if (!gone.empty()) {
            callbacks_.on_changes(gone);
        }
        next_offset_ = std::max(next_offset_, *snapshot_end_);
        loaded_ = true;
        mark_connected();
        apply(std::exchange(snapshot_, {}));
        request_records();
    }

    void request_records() {
        const auto started = clock_.now();
        store_.read(source_, next_offset_, times_.read_wait_ms,
                    [self = shared_from_this(), started](read_result r) {
                        self->on_read(std::move(r), started);
                    });
    }

    void on_read(read_result result, base::millis started) {
        if (stopped_) {
            return;
        }
        std::visit(base::overloaded{
                       [&](fetched_records& r) { apply_read(r, started); },
                       [&](records_trimmed&) { begin_snapshot(); },
                       [&](rejected&) { on_read_failure(); },
                       [&](outcome_unknown&) { on_read_failure(); },
                   },
                   result);
    }

    void apply_read(fetched_records& r, base::millis started) {
        mark_connected();
        std::vector<stored_record> fresh;
        for (auto& row : r.records) {
            if (row.offset >= next_offset_) {
                next_offset_ = row.offset + 1;
                fresh.push_back(std::move(row));
            }
        }
        if (next_offset_ >= r.end) {
            current_as_of_ = std::max(current_as_of_, started);
        }
        if (r.records.empty() && r.end > next_offset_) {
            schedule_retry([](impl& self) { self.request_records(); });
            return;
        }
        if (r.records.empty() && r.end == next_offset_) {
            // The store waited before it said that nothing came, and began to
            // wait after the read was sent.
            const bool waited = clock_.now() - started >= times_.read_wait_ms;
            current_as_of_ = std::max(
                current_as_of_, started + (waited ? times_.read_wait_ms : 0));
        }
        const bool pause = !fresh.empty() && times_.read_interval_ms;
        apply(fresh);
        if (pause && times_.read_interval_ms() > 0) {
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
        mark_disconnected();
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

    void mark_connected() {
        if (!std::exchange(connected_, true) &&
            callbacks_.on_reachable_changed) {
            callbacks_.on_reachable_changed(true);
        }
    }

    void mark_disconnected() {
        if (std::exchange(connected_, false) &&
            callbacks_.on_reachable_changed) {
            callbacks_.on_reachable_changed(false);
        }
    }

    void schedule_retry(void (*what)(impl&)) {
        run_after_(times_.retry_delay_ms, [self = shared_from_this(), what] {
            if (!self->stopped_) {
                what(*self);
            }
        });
    }

    const log_store& store_;
    partition source_;
    base::clock clock_;
    run_after_function run_after_;
    watcher_times times_;
    watcher_callbacks callbacks_;
    std::map<std::string, log_offset> key_offsets_;
    std::vector<stored_record> snapshot_;
    std::optional<log_offset> snapshot_end_;
    log_offset next_offset_ = 0;
    base::millis current_as_of_ = 0;

    bool loaded_ = false;
    bool connected_ = false;
    bool stopped_ = false;
};

partition_watcher::partition_watcher(const log_store& store, partition source,
                                     base::clock clock,
                                     run_after_function after,
                                     watcher_times times,
                                     watcher_callbacks events)
    : impl_(std::make_shared<impl>(store, std::move(source), std::move(clock),
                                   std::move(after), times,
                                   std::move(events))) {}

partition_watcher::~partition_watcher() {
    impl_->stop();
}

void partition_watcher::start() {
    impl_->start();
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
