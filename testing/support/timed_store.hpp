#pragma once

#include "hibiscus/store/log_store.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::testing {

/// Runs functions at their time, which only a test moves.
class virtual_time {
public:
    base::clock clock() const { return base::clock(now_); }

    base::millis now() const { return now_->now(); }

    void after(base::millis ms, std::function<void()> f) {
        due_.emplace(now() + std::max<base::millis>(ms, 0), std::move(f));
    }

    /// Runs all that is due within `ms`, in the order of time.
    void run_for(base::millis ms) {
        const auto end = now() + ms;
        while (!due_.empty() && due_.begin()->first <= end) {
            const auto next = due_.begin();
            now_->advance(next->first - now());
            const auto f = std::move(next->second);
            due_.erase(next);
            f();
        }
        now_->advance(end - now());
    }

private:
    std::shared_ptr<base::manual_time> now_ =
        std::make_shared<base::manual_time>();
    std::multimap<base::millis, std::function<void()>> due_;
};

/// How a timed store treats calls; the shares are in percent.
struct store_weather {
    /// The time of one way, in ms.
    base::millis least_way = 1;
    base::millis most_way = 5;
    /// Nothing was done, and the store says so.
    int refused = 0;
    /// The call never arrives; of appends, half are carried out seconds later.
    int lost = 0;
    /// The call is carried out, and its answer is lost.
    int unanswered = 0;
};

/// A store of keyed records in virtual time. Calls take time on both ways, and
/// answers overtake each other; reads wait for records.
class timed_store {
public:
    /// A record, and when it was appended.
    struct entry {
        store::record content;
        base::millis at = 0;
    };

    timed_store(virtual_time& time, std::uint32_t seed)
        : time_(time), random_(seed) {}

    timed_store(const timed_store&) = delete;
    timed_store& operator=(const timed_store&) = delete;

    void set_weather(const store_weather& weather) { weather_ = weather; }

    /// Returns the calls of a process, which gets answers while `alive`.
    store::log_store port(const std::shared_ptr<const bool>& alive) {
        store::log_store s;
        s.append = [this,
                    alive](const store::partition& p,
                           const std::vector<store::record>& records,
                           const store::log_offset* at,
                           std::function<void(store::append_result)> done) {
            const bool anywhere = at == nullptr;
            const store::log_offset end = anywhere ? 0 : *at;
            send<store::append_result>(
                [this, p, records, anywhere, end](const auto& answer) {
                    answer(append(p, records, anywhere ? nullptr : &end));
                },
                call_ms, true, guarded(alive, std::move(done)));
        };
        s.read = [this, alive](const store::partition& p,
                               store::log_offset from, base::millis wait,
                               std::function<void(store::read_result)> done) {
            send<store::read_result>(
                [this, p, from, wait](const auto& answer) {
                    read(p, from, wait, answer);
                },
                call_ms + wait, false, guarded(alive, std::move(done)));
        };
        s.newest = [this,
                    alive](const store::partition& p, const std::string& after,
                           std::function<void(store::newest_result)> done) {
            send<store::newest_result>(
                [this, p, after](const auto& answer) {
                    answer(newest(p, after));
                },
                call_ms, false, guarded(alive, std::move(done)));
        };
        return s;
    }

    /// Appends at once, as another writer does.
    store::append_result append(const store::partition& p,
                                const std::vector<store::record>& records,
                                const store::log_offset* at = nullptr) {
        auto& l = log_of(p);
        const auto first = l.entries.size();
        if (at != nullptr && *at != first) {
            return store::end_differs{first};
        }
        for (const auto& r : records) {
            if (r.value.empty()) {
                l.newest.erase(r.key);
            } else {
                l.newest[r.key] = l.entries.size();
            }
            l.entries.push_back({r, time_.now()});
        }
        for (const auto& wake : std::exchange(l.waiting, {})) {
            wake();
        }
        return store::appended{first, l.entries.size()};
    }

    /// Drops the history before an offset; the newest records stay readable.
    void trim(const store::partition& p, store::log_offset before) {
        auto& l = log_of(p);
        l.first = std::max(
            l.first, std::min<store::log_offset>(before, l.entries.size()));
    }

    /// Returns all that was ever appended, in its order.
    const std::vector<entry>& entries(const store::partition& p) {
        return log_of(p).entries;
    }

    /// Returns the newest value of each key.
    std::map<std::string, std::string> state(const store::partition& p) {
        std::map<std::string, std::string> out;
        auto& l = log_of(p);
        for (const auto& [key, n] : l.newest) {
            out[key] = l.entries[n].content.value;
        }
        return out;
    }

private:
    struct log {
        std::vector<entry> entries;
        std::map<std::string, std::size_t> newest;
        store::log_offset first = 0;
        std::vector<std::function<void()>> waiting;
    };

    log& log_of(const store::partition& p) {
        return logs_[{p.topic, p.number}];
    }

    int draw(base::millis least, base::millis most) {
        return std::uniform_int_distribution<int>(
            static_cast<int>(least), static_cast<int>(most))(random_);
    }

    bool chance(int percent) { return draw(0, 99) < percent; }

    base::millis way() { return draw(weather_.least_way, weather_.most_way); }

    /// Passes the first answer on, unless its process is gone.
    template <class Result>
    static std::function<void(Result)>
    guarded(const std::shared_ptr<const bool>& alive,
            std::function<void(Result)> done) {
        auto open = std::make_shared<bool>(true);
        return [alive, open, done = std::move(done)](Result r) {
            if (*alive && std::exchange(*open, false)) {
                done(std::move(r));
            }
        };
    }

    template <class Result>
    void send(std::function<void(std::function<void(Result)>)> carry_out,
              base::millis patience, bool writes,
              std::function<void(Result)> done) {
        time_.after(patience, [done] { done(store::unanswered{}); });
        const auto there = way();
        if (chance(weather_.refused)) {
            time_.after(there, [done] { done(store::refused{503}); });
            return;
        }
        if (chance(weather_.lost)) {
            if (writes && chance(50)) {
                time_.after(draw(0, latest_ms),
                            [carry_out] { carry_out([](const Result&) {}); });
            }
            return;
        }
        const bool unanswered = chance(weather_.unanswered);
        time_.after(there, [this, carry_out, done, unanswered] {
            carry_out([this, done, unanswered](Result r) {
                if (!unanswered) {
                    time_.after(way(), [done, r = std::move(r)] { done(r); });
                }
            });
        });
    }

    void read(const store::partition& p, store::log_offset from,
              base::millis wait,
              const std::function<void(store::read_result)>& answer) {
        auto& l = log_of(p);
        if (wait <= 0 || from != l.entries.size()) {
            answer(records(l, from));
            return;
        }
        auto open = std::make_shared<bool>(true);
        const auto end_wait = [&l, from, answer, open] {
            if (std::exchange(*open, false)) {
                answer(records(l, from));
            }
        };
        l.waiting.push_back(end_wait);
        time_.after(wait, end_wait);
    }

    static store::read_result records(const log& l, store::log_offset from) {
        if (from < l.first) {
            return store::trimmed{};
        }
        store::read_records out;
        out.end = l.entries.size();
        const auto end = std::min<store::log_offset>(out.end, from + read_size);
        for (auto n = from; n < end; ++n) {
            out.records.push_back({n, l.entries[n].content});
        }
        return out;
    }

    store::newest_result newest(const store::partition& p,
                                const std::string& after) {
        auto& l = log_of(p);
        store::newest_page page;
        page.end = l.entries.size();
        for (auto row = l.newest.upper_bound(after); row != l.newest.end();
             ++row) {
            if (page.records.size() == page_size) {
                page.more = true;
                break;
            }
            page.records.push_back(
                {row->second, l.entries[row->second].content});
        }
        return page;
    }

    /// How long callers wait for an answer, in ms.
    static constexpr base::millis call_ms = 1000;
    /// When a lost append is carried out at the latest, in ms.
    static constexpr base::millis latest_ms = 4000;
    /// Small, so that tests come by several pages and reads.
    static constexpr std::size_t page_size = 3;
    static constexpr std::size_t read_size = 5;

    virtual_time& time_;
    std::mt19937 random_;
    store_weather weather_;
    std::map<std::pair<std::string, int>, log> logs_;
};

} // namespace hibiscus::testing
