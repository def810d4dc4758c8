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
constexpr int keys = 12;

std::string key_of(int n) {
    return "k" + std::to_string(10 + n % keys);
}

/// Checks what a follower tells against all that was ever appended.
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

    /// Checks that all that was appended until `current_at` is applied.
    void check_complete_until(base::millis current_at) {
        std::map<std::string, log_offset> newest;
        const auto& all = store_.entries(source);
        for (log_offset n = 0;
             n < all.size() && all[n].appended_at <= current_at; ++n) {
            newest[all[n].record.key] = n;
        }
        for (const auto& [key, n] : newest) {
            if (!is_applied(key, n)) {
                fail(key + " misses " + std::to_string(n) +
                     " in a view that counts as current");
            }
        }
    }

    /// Checks that the view is what the store holds.
    void check_equals_store() {
        std::map<std::string, std::string> view;
        for (const auto& [key, n] : view_offsets_) {
            view[key] = store_.entries(source)[n].record.value;
        }
        if (view != store_.newest_values(source)) {
            fail("the view differs from the store in the end");
        }
    }

    const std::string& error() const { return error_; }

    void fail(const std::string& what) {
        error_ = error_.empty() ? what : error_;
    }

private:
    void check_value(const change& c) {
        const auto& all = store_.entries(source);
        const auto before = last_reported_.find(c.key);
        if (c.offset >= all.size() || all[c.offset].record.key != c.key ||
            all[c.offset].record.value != *c.value) {
            fail(c.key + " gets a value that was never stored there");
        } else if (before != last_reported_.end() &&
                   before->second >= c.offset) {
            fail(c.key + " goes back to " + std::to_string(c.offset));
        }
        last_reported_[c.key] = c.offset;
        view_offsets_[c.key] = c.offset;
    }

    void check_deletion(const change& c) {
        const auto known = view_offsets_.find(c.key);
        if (known != view_offsets_.end() &&
            !is_deleted_after(c.key, known->second)) {
            fail(c.key + " lives and is reported gone");
        }
        view_offsets_.erase(c.key);
    }

    bool is_deleted_after(const std::string& key, log_offset n) const {
        const auto& all = store_.entries(source);
        for (++n; n < all.size(); ++n) {
            if (all[n].record.key == key && all[n].record.value.empty()) {
                return true;
            }
        }
        return false;
    }

    bool is_applied(const std::string& key, log_offset n) const {
        const auto known = view_offsets_.find(key);
        if (known != view_offsets_.end()) {
            return known->second >= n;
        }
        const bool erased = store_.entries(source)[n].record.value.empty();
        return erased || is_deleted_after(key, n);
    }

    testing::simulated_store& store_;
    /// Where the value in the view stands, and the newest one that was told.
    std::map<std::string, log_offset> view_offsets_;
    std::map<std::string, log_offset> last_reported_;
    std::string error_;
};

/// A process with a follower, which appends by itself at times.
class watching_process {
public:
    watching_process(testing::simulated_store& store,
                     testing::virtual_scheduler& time, base::millis pace)
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
              {150, 100, [pace] { return pace; }},
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
        const auto at = watcher_.next_offset();
        store_.append(
            source, records, &at,
            [this, records, sent_at = clock_.now()](const append_result& r) {
                if (const auto* a = base::value_if(r)) {
                    watcher_.apply_own_append(a->first, records, sent_at);
                }
            });
    }

    const std::string& check() {
        if (watcher_.is_loaded() && watcher_.current_as_of() > 0) {
            oracle_.check_complete_until(watcher_.current_as_of());
        }
        return oracle_.error();
    }

    /// Checks the view once nothing has been written for a while.
    const std::string& check_settled(base::millis since) {
        if (watcher_.current_as_of() < since) {
            oracle_.fail("the view stays old though the store is sound");
        }
        oracle_.check_equals_store();
        return oracle_.error();
    }

private:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    base::clock clock_;
    view_oracle oracle_;
    log_store store_;
    partition_watcher watcher_;
};

/// What a store may be like for a while.
testing::store_faults store_conditions(int n) {
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
            for (const auto& r : processes_) {
                if (const auto& wrong = r->check(); !wrong.empty()) {
                    return wrong;
                }
            }
        }
        store_.set_faults({});
        time_.run_for(settle_ms);
        for (const auto& r : processes_) {
            if (const auto& wrong = r->check_settled(time_.now() - recent_ms);
                !wrong.empty()) {
                return wrong;
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
            store_.append(source, {{key_of(c.a), ""}});
        } else if (c.kind < 88) {
            const auto end = store_.entries(source).size();
            store_.trim(source, end - std::min<std::size_t>(end, c.b % 12));
        } else if (c.kind < 96) {
            store_.set_faults(store_conditions(c.b));
        } else {
            processes_[n] = make_process(c.b % 2 == 0 ? 0 : 60);
        }
    }

    std::vector<record> make_records(const testing::fuzz_command& c) {
        std::vector<record> out;
        for (int n = 0; n <= c.b % 4; ++n) {
            out.push_back({key_of(c.c + 5 * n), std::to_string(++last_value_)});
        }
        return out;
    }

    std::unique_ptr<watching_process> make_process(base::millis pace) {
        return std::make_unique<watching_process>(store_, time_, pace);
    }

    /// Covers the longest way of a call, and what follows it.
    static constexpr base::millis settle_ms = 20000;
    static constexpr base::millis recent_ms = 1000;

    testing::virtual_scheduler time_;
    testing::simulated_store store_;
    std::vector<std::unique_ptr<watching_process>> processes_ =
        make_initial_processes();
    int last_value_ = 0;

    std::vector<std::unique_ptr<watching_process>> make_initial_processes() {
        std::vector<std::unique_ptr<watching_process>> out;
        out.push_back(make_process(0));
        out.push_back(make_process(60));
        return out;
    }
};

TEST(partition_watcher_fuzz_test,
     a_view_that_counts_as_current_misses_nothing) {
    testing::fuzz("follower", 300, [](const auto& commands) {
        return watcher_simulation(commands).run(commands);
    });
}

} // namespace

} // namespace hibiscus::store
