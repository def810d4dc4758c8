#include "hibiscus/store/follower.hpp"
#include "support/fuzz.hpp"
#include "support/timed_store.hpp"

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
    explicit view_oracle(testing::timed_store& store) : store_(store) {}

    void changed(const std::vector<change>& changes) {
        for (const auto& c : changes) {
            if (c.value) {
                put(c);
            } else {
                erase(c);
            }
        }
    }

    /// Checks that all that was appended until `current_at` is applied.
    void current(base::millis current_at) {
        std::map<std::string, log_offset> newest;
        const auto& all = store_.entries(source);
        for (log_offset n = 0; n < all.size() && all[n].at <= current_at; ++n) {
            newest[all[n].content.key] = n;
        }
        for (const auto& [key, n] : newest) {
            if (!is_applied(key, n)) {
                fail(key + " misses " + std::to_string(n) +
                     " in a view that counts as current");
            }
        }
    }

    /// Checks that the view is what the store holds.
    void equal() {
        std::map<std::string, std::string> view;
        for (const auto& [key, n] : view_) {
            view[key] = store_.entries(source)[n].content.value;
        }
        if (view != store_.state(source)) {
            fail("the view differs from the store in the end");
        }
    }

    const std::string& wrong() const { return wrong_; }

    void fail(const std::string& what) {
        wrong_ = wrong_.empty() ? what : wrong_;
    }

private:
    void put(const change& c) {
        const auto& all = store_.entries(source);
        const auto before = last_.find(c.key);
        if (c.at >= all.size() || all[c.at].content.key != c.key ||
            all[c.at].content.value != *c.value) {
            fail(c.key + " gets a value that was never stored there");
        } else if (before != last_.end() && before->second >= c.at) {
            fail(c.key + " goes back to " + std::to_string(c.at));
        }
        last_[c.key] = c.at;
        view_[c.key] = c.at;
    }

    void erase(const change& c) {
        const auto known = view_.find(c.key);
        if (known != view_.end() && !deleted_after(c.key, known->second)) {
            fail(c.key + " lives and is reported gone");
        }
        view_.erase(c.key);
    }

    bool deleted_after(const std::string& key, log_offset n) const {
        const auto& all = store_.entries(source);
        for (++n; n < all.size(); ++n) {
            if (all[n].content.key == key && all[n].content.value.empty()) {
                return true;
            }
        }
        return false;
    }

    bool is_applied(const std::string& key, log_offset n) const {
        const auto known = view_.find(key);
        if (known != view_.end()) {
            return known->second >= n;
        }
        const bool erased = store_.entries(source)[n].content.value.empty();
        return erased || deleted_after(key, n);
    }

    testing::timed_store& store_;
    /// Where the value in the view stands, and the newest one that was told.
    std::map<std::string, log_offset> view_;
    std::map<std::string, log_offset> last_;
    std::string wrong_;
};

/// A process with a follower, which appends by itself at times.
class fuzz_reader {
public:
    fuzz_reader(testing::timed_store& store, testing::virtual_time& time,
                base::millis pace)
        : clock_(time.clock()), oracle_(store), port_(store.port(alive_)),
          follower_(
              port_, source, time.clock(),
              [&time, alive = alive_](base::millis ms,
                                      std::function<void()> f) {
                  time.after(ms, [alive, f = std::move(f)] {
                      if (*alive) {
                          f();
                      }
                  });
              },
              {150, 100, [pace] { return pace; }},
              {[this](const auto& changes) { oracle_.changed(changes); }, {}}) {
        follower_.start();
    }

    ~fuzz_reader() { *alive_ = false; }

    fuzz_reader(const fuzz_reader&) = delete;
    fuzz_reader& operator=(const fuzz_reader&) = delete;

    void append(const std::vector<record>& records) {
        if (!follower_.loaded()) {
            return;
        }
        const auto at = follower_.next();
        port_.append(
            source, records, &at,
            [this, records, sent_at = clock_.now()](const append_result& r) {
                if (const auto* a = base::value_if(r)) {
                    follower_.appended_here(a->first, records, sent_at);
                }
            });
    }

    const std::string& look() {
        if (follower_.loaded() && follower_.current_at() > 0) {
            oracle_.current(follower_.current_at());
        }
        return oracle_.wrong();
    }

    /// Checks the view once nothing has been written for a while.
    const std::string& settled(base::millis since) {
        if (follower_.current_at() < since) {
            oracle_.fail("the view stays old though the store is sound");
        }
        oracle_.equal();
        return oracle_.wrong();
    }

private:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    base::clock clock_;
    view_oracle oracle_;
    log_store port_;
    follower follower_;
};

/// What a store may be like for a while.
testing::store_weather weather(int n) {
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

class follower_play {
public:
    explicit follower_play(const std::vector<testing::fuzz_command>& commands)
        : store_(time_, commands.empty() ? 1U : 1U + commands[0].c) {}

    std::string run(const std::vector<testing::fuzz_command>& commands) {
        for (const auto& c : commands) {
            step(c);
            for (const auto& r : readers_) {
                if (const auto& wrong = r->look(); !wrong.empty()) {
                    return wrong;
                }
            }
        }
        store_.set_weather({});
        time_.run_for(settle_ms);
        for (const auto& r : readers_) {
            if (const auto& wrong = r->settled(time_.now() - recent_ms);
                !wrong.empty()) {
                return wrong;
            }
        }
        return "";
    }

private:
    void step(const testing::fuzz_command& c) {
        const auto n = static_cast<std::size_t>(c.a) % readers_.size();
        if (c.kind < 40) {
            time_.run_for(c.b % 40);
        } else if (c.kind < 45) {
            time_.run_for(c.b * 2);
        } else if (c.kind < 63) {
            store_.append(source, some_records(c));
        } else if (c.kind < 73) {
            readers_[n]->append(some_records(c));
        } else if (c.kind < 80) {
            store_.append(source, {{key_of(c.a), ""}});
        } else if (c.kind < 88) {
            const auto end = store_.entries(source).size();
            store_.trim(source, end - std::min<std::size_t>(end, c.b % 12));
        } else if (c.kind < 96) {
            store_.set_weather(weather(c.b));
        } else {
            readers_[n] = reader(c.b % 2 == 0 ? 0 : 60);
        }
    }

    std::vector<record> some_records(const testing::fuzz_command& c) {
        std::vector<record> out;
        for (int n = 0; n <= c.b % 4; ++n) {
            out.push_back({key_of(c.c + 5 * n), std::to_string(++values_)});
        }
        return out;
    }

    std::unique_ptr<fuzz_reader> reader(base::millis pace) {
        return std::make_unique<fuzz_reader>(store_, time_, pace);
    }

    /// Covers the longest way of a call, and what follows it.
    static constexpr base::millis settle_ms = 20000;
    static constexpr base::millis recent_ms = 1000;

    testing::virtual_time time_;
    testing::timed_store store_;
    std::vector<std::unique_ptr<fuzz_reader>> readers_ = first_readers();
    int values_ = 0;

    std::vector<std::unique_ptr<fuzz_reader>> first_readers() {
        std::vector<std::unique_ptr<fuzz_reader>> out;
        out.push_back(reader(0));
        out.push_back(reader(60));
        return out;
    }
};

TEST(follower_fuzz_test, a_view_that_counts_as_current_misses_nothing) {
    testing::fuzz("follower", 300, [](const auto& commands) {
        return follower_play(commands).run(commands);
    });
}

} // namespace

} // namespace hibiscus::store
