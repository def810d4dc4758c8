#include "hibiscus/store/follower.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace hibiscus::store {

class follower::impl : public std::enable_shared_from_this<impl> {
public:
    impl(const log_store& store, partition source, base::clock clock,
         delay_function after, follower_times times, follower_events events)
        : store_(store), source_(std::move(source)), clock_(std::move(clock)),
          after_(std::move(after)), times_(times), events_(std::move(events)) {}

    void start() { begin_snapshot(); }

    void stop() { stopped_ = true; }

    bool loaded() const { return loaded_; }

    log_offset next() const { return next_; }

    base::millis current_at() const { return current_at_; }

    void appended_here(log_offset first, const std::vector<record>& records,
                       base::millis sent_at) {
        if (!loaded_ || first != next_) {
            return;
        }
        current_at_ = std::max(current_at_, sent_at);
        std::vector<stored_record> stored;
        stored.reserve(records.size());
        for (const auto& r : records) {
            stored.push_back({first++, r});
        }
        next_ = first;
        apply(stored);
    }

private:
    void begin_snapshot() {
        snapshot_.clear();
        snapshot_end_.reset();
        page();
    }

    void page() {
        const auto after =
            snapshot_.empty() ? std::string() : snapshot_.back().content.key;
        store_.newest(source_, after,
                      [self = shared_from_this()](newest_result r) {
                          self->on_page(std::move(r));
                      });
    }

    void on_page(newest_result result) {
        if (stopped_) {
            return;
        }
        auto* p = base::value_if(result);
        if (p == nullptr || lacks_cursor(*p)) {
            // The pages so far hold on: reading goes on from the first one's
            // end in any case.
            lost();
            later([](impl& self) { self.page(); });
            return;
        }
        if (!snapshot_end_) {
            snapshot_end_ = p->end;
        }
        const bool more = p->more;
        std::move(p->records.begin(), p->records.end(),
                  std::back_inserter(snapshot_));
        if (more) {
            page();
            return;
        }
        finish_snapshot();
    }

    /// A store that answers from an old state would take keys back that were
    /// already seen; such a snapshot is dropped and asked for again.
    void finish_snapshot() {
        if (loaded_ && *snapshot_end_ < next_) {
            later([](impl& self) { self.begin_snapshot(); });
            return;
        }
        std::set<std::string> present;
        for (const auto& r : snapshot_) {
            present.insert(r.content.key);
        }
        std::vector<change> gone;
        for (const auto& row : known_) {
            if (present.count(row.first) == 0 && row.second < *snapshot_end_) {
                gone.push_back({row.first, std::nullopt, row.second});
            }
        }
        for (const auto& g : gone) {
            known_.erase(g.key);
        }
        if (!gone.empty()) {
            events_.changed(gone);
        }
        next_ = std::max(next_, *snapshot_end_);
        loaded_ = true;
        heard();
        apply(std::exchange(snapshot_, {}));
        read();
    }

    void read() {
        const auto started = clock_.now();
        store_.read(source_, next_, times_.wait,
                    [self = shared_from_this(), started](read_result r) {
                        self->on_read(std::move(r), started);
                    });
    }

    void on_read(read_result result, base::millis started) {
        if (stopped_) {
            return;
        }
        std::visit(base::overloaded{
                       [&](read_records& r) { take(r, started); },
                       [&](trimmed&) { begin_snapshot(); },
                       [&](refused&) { failed(); },
                       [&](unanswered&) { failed(); },
                   },
                   result);
    }

    void take(read_records& r, base::millis started) {
        heard();
        std::vector<stored_record> fresh;
        for (auto& row : r.records) {
            if (row.at >= next_) {
                next_ = row.at + 1;
                fresh.push_back(std::move(row));
            }
        }
        if (next_ >= r.end) {
            current_at_ = std::max(current_at_, started);
        }
        if (r.records.empty() && r.end > next_) {
            later([](impl& self) { self.read(); });
            return;
        }
        if (r.records.empty() && r.end == next_) {
            // The store waited before it said that nothing came, and began to
            // wait after the read was sent.
            const bool waited = clock_.now() - started >= times_.wait;
            current_at_ =
                std::max(current_at_, started + (waited ? times_.wait : 0));
        }
        const bool pause = !fresh.empty() && times_.pace;
        apply(fresh);
        if (pause && times_.pace() > 0) {
            after_(times_.pace(), [self = shared_from_this()] {
                if (!self->stopped_) {
                    self->read();
                }
            });
            return;
        }
        read();
    }

    void failed() {
        lost();
        later([](impl& self) { self.read(); });
    }

    void apply(const std::vector<stored_record>& records) {
        std::vector<change> changes;
        for (const auto& r : records) {
            const auto known = known_.find(r.content.key);
            if (known != known_.end() && known->second >= r.at) {
                continue;
            }
            if (r.content.value.empty()) {
                known_.erase(r.content.key);
                changes.push_back({r.content.key, std::nullopt, r.at});
            } else {
                known_[r.content.key] = r.at;
                changes.push_back({r.content.key, r.content.value, r.at});
            }
        }
        if (!changes.empty()) {
            events_.changed(changes);
        }
    }

    void heard() {
        if (!std::exchange(contact_, true) && events_.contact) {
            events_.contact(true);
        }
    }

    void lost() {
        if (std::exchange(contact_, false) && events_.contact) {
            events_.contact(false);
        }
    }

    void later(void (*what)(impl&)) {
        after_(times_.retry, [self = shared_from_this(), what] {
            if (!self->stopped_) {
                what(*self);
            }
        });
    }

    const log_store& store_;
    partition source_;
    base::clock clock_;
    delay_function after_;
    follower_times times_;
    follower_events events_;
    std::map<std::string, log_offset> known_;
    std::vector<stored_record> snapshot_;
    std::optional<log_offset> snapshot_end_;
    log_offset next_ = 0;
    base::millis current_at_ = 0;

    bool loaded_ = false;
    bool contact_ = false;
    bool stopped_ = false;
};

follower::follower(const log_store& store, partition source, base::clock clock,
                   delay_function after, follower_times times,
                   follower_events events)
    : impl_(std::make_shared<impl>(store, std::move(source), std::move(clock),
                                   std::move(after), times,
                                   std::move(events))) {}

follower::~follower() {
    impl_->stop();
}

void follower::start() {
    impl_->start();
}

bool follower::loaded() const {
    return impl_->loaded();
}

log_offset follower::next() const {
    return impl_->next();
}

base::millis follower::current_at() const {
    return impl_->current_at();
}

void follower::appended_here(log_offset first,
                             const std::vector<record>& records,
                             base::millis sent_at) {
    impl_->appended_here(first, records, sent_at);
}

} // namespace hibiscus::store
