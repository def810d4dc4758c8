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
class virtual_scheduler {
public:
    base::clock clock() const { return base::clock(time_); }

    base::millis now() const { return time_->now(); }

    void run_after(base::millis ms, std::function<void()> f) {
        pending_.emplace(now() + std::max<base::millis>(ms, 0), std::move(f));
    }

    /// Runs all that is due within `ms`, in the order of time.
    void run_for(base::millis ms) {
        const auto end = now() + ms;
        while (!pending_.empty() && pending_.begin()->first <= end) {
            const auto next = pending_.begin();
            time_->advance(next->first - now());
            const auto f = std::move(next->second);
            pending_.erase(next);
            f();
        }
        time_->advance(end - now());
    }

private:
    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    std::multimap<base::millis, std::function<void()>> pending_;
};

/// How a timed store treats calls; the shares are in percent.
struct store_faults {
    /// The time of one way, in ms.
    base::millis min_latency_ms = 1;
    base::millis max_latency_ms = 5;
    /// Nothing was done, and the store says so.
    int rejected_percent = 0;
    /// The call never arrives; of appends, half are carried out seconds later.
    int lost_request_percent = 0;
    /// The call is carried out, and its answer is lost.
    int lost_response_percent = 0;
};

/// A store of keyed records in virtual time. Calls take time on both ways, and
/// answers overtake each other; reads wait for records.
class simulated_store {
public:
    /// A record, and when it was appended.
    struct log_entry {
        store::record record;
        base::millis appended_at = 0;
    };

    simulated_store(virtual_scheduler& time, std::uint32_t seed)
        : time_(time), random_(seed) {}

    simulated_store(const simulated_store&) = delete;
    simulated_store& operator=(const simulated_store&) = delete;

    void set_faults(const store_faults& weather) { faults_ = weather; }

    /// Returns the calls of a process, which gets answers while `alive`.
    store::log_store client(const std::shared_ptr<const bool>& alive) {
        store::log_store s;
        s.append = [this,
                    alive](const store::partition& p,
                           const std::vector<store::record>& records,
                           const store::log_offset* at,
                           std::function<void(store::append_result)> done) {
            const bool anywhere = at == nullptr;
            const store::log_offset end = anywhere ? 0 : *at;
            simulate_call<store::append_result>(
                [this, p, records, anywhere, end](const auto& answer) {
                    answer(append(p, records, anywhere ? nullptr : &end));
                },
                call_timeout_ms, true, deliver_once(alive, std::move(done)));
        };
        s.read = [this, alive](const store::partition& p,
                               store::log_offset from, base::millis wait,
                               std::function<void(store::read_result)> done) {
            simulate_call<store::read_result>(
                [this, p, from, wait](const auto& answer) {
                    read(p, from, wait, answer);
                },
                call_timeout_ms + wait, false,
                deliver_once(alive, std::move(done)));
        };
        s.read_latest = [this, alive](
                            const store::partition& p, const std::string& after,
                            std::function<void(store::latest_result)> done) {
            simulate_call<store::latest_result>(
                [this, p, after](const auto& answer) {
                    answer(read_newest_page(p, after));
                },
                call_timeout_ms, false, deliver_once(alive, std::move(done)));
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
            return store::append_conflict{first};
        }
        for (const auto& r : records) {
            if (r.value.empty()) {
                l.newest_offsets.erase(r.key);
            } else {
                l.newest_offsets[r.key] = l.entries.size();
            }
            l.entries.push_back({r, time_.now()});
        }
        for (const auto& wake : std::exchange(l.waiting_reads, {})) {
            wake();
        }
        return store::appended{first, l.entries.size()};
    }

    /// Drops the history before an offset; the newest records stay readable.
    void trim(const store::partition& p, store::log_offset before) {
        auto& l = log_of(p);
        l.first_offset =
            std::max(l.first_offset,
                     std::min<store::log_offset>(before, l.entries.size()));
    }

    /// Returns all that was ever appended, in its order.
    const std::vector<log_entry>& entries(const store::partition& p) {
        return log_of(p).entries;
    }

    /// Returns the newest value of each key.
    std::map<std::string, std::string>
    newest_values(const store::partition& p) {
        std::map<std::string, std::string> out;
        auto& l = log_of(p);
        for (const auto& [key, n] : l.newest_offsets) {
            out[key] = l.entries[n].record.value;
        }
        return out;
    }

private:
    struct log {
        std::vector<log_entry> entries;
        std::map<std::string, std::size_t> newest_offsets;
        store::log_offset first_offset = 0;
        std::vector<std::function<void()>> waiting_reads;
    };

    log& log_of(const store::partition& p) {
        return logs_[{p.topic, p.number}];
    }

    int draw_between(base::millis least, base::millis most) {
        return std::uniform_int_distribution<int>(
            static_cast<int>(least), static_cast<int>(most))(random_);
    }

    bool draw_chance(int percent) { return draw_between(0, 99) < percent; }

    base::millis draw_latency() {
        return draw_between(faults_.min_latency_ms, faults_.max_latency_ms);
    }

    /// Passes the first answer on, unless its process is gone.
    template <class Result>
    static std::function<void(Result)>
    deliver_once(const std::shared_ptr<const bool>& alive,
                 std::function<void(Result)> done) {
        auto open = std::make_shared<bool>(true);
        return [alive, open, done = std::move(done)](Result r) {
            if (*alive && std::exchange(*open, false)) {
                done(std::move(r));
            }
        };
    }

    template <class Result>
    void
    simulate_call(std::function<void(std::function<void(Result)>)> carry_out,
                  base::millis patience, bool writes,
                  std::function<void(Result)> done) {
        time_.run_after(patience, [done] { done(store::outcome_unknown{}); });
        const auto there = draw_latency();
        if (draw_chance(faults_.rejected_percent)) {
            time_.run_after(there, [done] { done(store::rejected{503}); });
            return;
        }
        if (draw_chance(faults_.lost_request_percent)) {
            if (writes && draw_chance(50)) {
                time_.run_after(
                    draw_between(0, max_late_append_ms),
                    [carry_out] { carry_out([](const Result&) {}); });
            }
            return;
        }
        const bool unanswered = draw_chance(faults_.lost_response_percent);
        time_.run_after(there, [this, carry_out, done, unanswered] {
            carry_out([this, done, unanswered](Result r) {
                if (!unanswered) {
                    time_.run_after(draw_latency(),
                                    [done, r = std::move(r)] { done(r); });
                }
            });
        });
    }

    void read(const store::partition& p, store::log_offset from,
              base::millis wait,
              const std::function<void(store::read_result)>& answer) {
        auto& l = log_of(p);
        if (wait <= 0 || from != l.entries.size()) {
            answer(read_from(l, from));
            return;
        }
        auto open = std::make_shared<bool>(true);
        const auto end_wait = [&l, from, answer, open] {
            if (std::exchange(*open, false)) {
                answer(read_from(l, from));
            }
        };
        l.waiting_reads.push_back(end_wait);
        time_.run_after(wait, end_wait);
    }

    static store::read_result read_from(const log& l, store::log_offset from) {
        if (from < l.first_offset) {
            return store::records_trimmed{};
        }
        store::fetched_records out;
        out.end = l.entries.size();
        const auto end =
            std::min<store::log_offset>(out.end, from + records_per_read);
        for (auto n = from; n < end; ++n) {
            out.records.push_back({n, l.entries[n].record});
        }
        return out;
    }

    store::latest_result read_newest_page(const store::partition& p,
                                          const std::string& after) {
        auto& l = log_of(p);
        store::latest_page page;
        page.end = l.entries.size();
        for (auto row = l.newest_offsets.upper_bound(after);
             row != l.newest_offsets.end(); ++row) {
            if (page.records.size() == records_per_page) {
                page.has_more = true;
                break;
            }
            page.records.push_back(
                {row->second, l.entries[row->second].record});
        }
        return page;
    }

    /// How long callers wait for an answer, in ms.
    static constexpr base::millis call_timeout_ms = 1000;
    /// When a lost append is carried out at the latest, in ms.
    static constexpr base::millis max_late_append_ms = 4000;
    /// Small, so that tests come by several pages and reads.
    static constexpr std::size_t records_per_page = 3;
    static constexpr std::size_t records_per_read = 5;

    virtual_scheduler& time_;
    std::mt19937 random_;
    store_faults faults_;
    std::map<std::pair<std::string, int>, log> logs_;
};

} // namespace hibiscus::testing
