#include "hibiscus/store/partition_watcher.hpp"
#include "support/fuzz.hpp"
#include "support/simulated_store.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscus::store {

namespace {

const partition source{"t", 0};
constexpr int key_count = 12;

std::string make_key(int n) {
    return "k" + std::to_string(10 + n % key_count);
}

/// Checks the changes reported by a watcher against all records ever appended.
class view_oracle {
public:
    explicit view_oracle(testing::simulated_store& store) : store_(store) {}

    void check_changes(const std::vector<change>& changes) {
        for (const auto& c : changes) {
            if (c.value) {
                check_value(c);
            } else {
                check_deletion(c);
            }
        }
    }

    /// Checks that all records appended until `time` have been applied.
    void check_complete_until(base::millis time) {
        std::map<std::string, log_offset> latest;
        const auto& all = store_.entries(source);
        for (log_offset n = 0; n < all.size() && all[n].appended_at <= time;
             ++n) {
            latest[all[n].record.key] = n;
        }
        for (const auto& [key, offset] : latest) {
            if (!is_applied(key, offset)) {
                fail(key + ": record at offset " + std::to_string(offset) +
                     " is missing from a view reported as current");
            }
        }
    }

    /// Checks that the view equals the contents of the store.
    void check_equals_store() {
        std::map<std::string, std::string> view;
        for (const auto& [key, offset] : view_offsets_) {
            view[key] = store_.entries(source)[offset].record.value;
        }
        if (view != store_.newest_values(source)) {
            fail("view differs from the store after it has settled");
        }
    }

    /// Returns the first violation, or "".
    const std::string& violation() const { return violation_; }

    void fail(const std::string& text) {
        violation_ = violation_.empty() ? text : violation_;
    }

private:
    void check_value(const change& c) {
        const auto& all = store_.entries(source);
        const auto previous = last_reported_.find(c.key);
        if (c.offset >= all.size() || all[c.offset].record.key != c.key ||
            all[c.offset].record.value != *c.value) {
            fail(c.key + ": value was never stored at the reported offset");
        } else if (previous != last_reported_.end() &&
                   previous->second >= c.offset) {
            fail(c.key + ": reverted to offset " + std::to_string(c.offset));
        }
        last_reported_[c.key] = c.offset;
        view_offsets_[c.key] = c.offset;
    }

    void check_deletion(const change& c) {
        const auto known = view_offsets_.find(c.key);
        if (known != view_offsets_.end() &&
            !is_deleted_after(c.key, known->second)) {
            fail(c.key + ": reported as deleted but exists");
        }
        view_offsets_.erase(c.key);
    }

    bool is_deleted_after(const std::string& key, log_offset offset) const {
        const auto& all = store_.entries(source);
        for (++offset; offset < all.size(); ++offset) {
            if (all[offset].record.key == key &&
                all[offset].record.value.empty()) {
                return true;
            }
        }
        return false;
    }

    bool is_applied(const std::string& key, log_offset offset) const {
        const auto known = view_offsets_.find(key);
        if (known != view_offsets_.end()) {
            return known->second >= offset;
        }
        const bool is_deletion =
            store_.entries(source)[offset].record.value.empty();
        return is_deletion || is_deleted_after(key, offset);
    }

    testing::simulated_store& store_;
    /// Offset of each value in the view.
    std::map<std::string, log_offset> view_offsets_;
    /// Offset of the last value reported for each key, also if it was deleted
    /// since.
    std::map<std::string, log_offset> last_reported_;
    std::string violation_;
};

/// A process with a partition_watcher that also appends records itself.
class watching_process {
public:
    watching_process(testing::simulated_store& store,
                     testing::virtual_scheduler& time,
                     base::millis read_interval_ms)
        : clock_(time.clock()), oracle_(store), store_(store.client(alive_)),
          watcher_(
              store_, source, time.clock(),
              [&time, alive = alive_](base::millis ms,
                                      std::function<void()> f) {
                  time.run_after(ms, [alive, f = std::move(f)] {
                      if (*alive) {
                          f();
                      }
                  });
              },
              {150, 100, [read_interval_ms] { return read_interval_ms; }},
              {[this](const auto& changes) { oracle_.check_changes(changes); },
               {}}) {
        watcher_.start();
    }

    ~watching_process() { *alive_ = false; }

    watching_process(const watching_process&) = delete;
    watching_process& operator=(const watching_process&) = delete;

    void append(const std::vector<record>& records) {
        if (!watcher_.is_loaded()) {
            return;
        }
        const auto expected_end = watcher_.next_offset();
        store_.append(
            source, records, &expected_end,
            [this, records, sent_at = clock_.now()](const append_result& r) {
                if (const auto* success = base::value_if(r)) {
                    watcher_.apply_own_append(success->first, records, sent_at);
                }
            });
    }

    /// Returns the first violation so far, or "".
    const std::string& check() {
        if (watcher_.is_loaded() && watcher_.current_as_of() > 0) {
            oracle_.check_complete_until(watcher_.current_as_of());
        }
        return oracle_.violation();
    }

    /// Checks the view after a period without writes; it must be current as of
    /// `since` or later.
    const std::string& check_settled(base::millis since) {
        if (watcher_.current_as_of() < since) {
            oracle_.fail("view is stale although the store is healthy");
        }
        oracle_.check_equals_store();
        return oracle_.violation();
    }

private:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    base::clock clock_;
    view_oracle oracle_;
    log_store store_;
    partition_watcher watcher_;
};

/// Returns one of several sets of store faults.
testing::store_faults make_store_faults(int n) {
    switch (n % 7) {
    case 0:
        return {1, 300, 0, 0, 0};
    case 1:
        return {1, 20, 40, 0, 0};
    case 2:
        return {1, 20, 0, 30, 30};
    case 3:
        return {1, 5, 100, 0, 0};
    case 4:
        return {1, 1500, 10, 10, 10};
    default:
        return {};
    }
}

class watcher_simulation {
public:
    explicit watcher_simulation(
        const std::vector<testing::fuzz_command>& commands)
        : store_(time_, commands.empty() ? 1U : 1U + commands[0].c) {}

    std::string run(const std::vector<testing::fuzz_command>& commands) {
        for (const auto& c : commands) {
            step(c);
            for (const auto& process : processes_) {
                if (const auto& violation = process->check();
                    !violation.empty()) {
                    return violation;
                }
            }
        }
        store_.set_faults({});
        time_.run_for(settle_ms);
        for (const auto& process : processes_) {
            if (const auto& violation =
                    process->check_settled(time_.now() - max_view_age_ms);
                !violation.empty()) {
                return violation;
            }
        }
        return "";
    }

private:
    void step(const testing::fuzz_command& c) {
        const auto n = static_cast<std::size_t>(c.a) % processes_.size();
        if (c.kind < 40) {
            time_.run_for(c.b % 40);
        } else if (c.kind < 45) {
            time_.run_for(c.b * 2);
        } else if (c.kind < 63) {
            store_.append(source, make_records(c));
        } else if (c.kind < 73) {
            processes_[n]->append(make_records(c));
        } else if (c.kind < 80) {
            store_.append(source, {{make_key(c.a), ""}});
        } else if (c.kind < 88) {
            const auto end = store_.entries(source).size();
            store_.trim(source, end - std::min<std::size_t>(end, c.b % 12));
        } else if (c.kind < 96) {
            store_.set_faults(make_store_faults(c.b));
        } else {
            processes_[n] = make_process(c.b % 2 == 0 ? 0 : 60);
        }
    }

    std::vector<record> make_records(const testing::fuzz_command& c) {
        std::vector<record> records;
        for (int n = 0; n <= c.b % 4; ++n) {
            records.push_back(
                {make_key(c.c + 5 * n), std::to_string(++last_value_)});
        }
        return records;
    }

    std::unique_ptr<watching_process>
    make_process(base::millis read_interval_ms) {
        return std::make_unique<watching_process>(store_, time_,
                                                  read_interval_ms);
    }

    /// Longer than the slowest call and its retries.
    static constexpr base::millis settle_ms = 20000;
    static constexpr base::millis max_view_age_ms = 1000;

    testing::virtual_scheduler time_;
    testing::simulated_store store_;
    std::vector<std::unique_ptr<watching_process>> processes_ =
        make_initial_processes();
    int last_value_ = 0;

    std::vector<std::unique_ptr<watching_process>> make_initial_processes() {
        std::vector<std::unique_ptr<watching_process>> processes;
        processes.push_back(make_process(0));
        processes.push_back(make_process(60));
        return processes;
    }
};

TEST(partition_watcher_fuzz_test, current_view_contains_all_records) {
    testing::fuzz("follower", 300, [](const auto& commands) {
        return watcher_simulation(commands).run(commands);
    });
}

} // namespace

} // namespace hibiscus::store
