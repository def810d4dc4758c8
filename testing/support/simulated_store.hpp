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

/// Runs callbacks in virtual time, which advances only in run_for().
class virtual_scheduler {
public:
    base::clock clock() const { return base::clock(time_); }

    base::millis now() const { return time_->now(); }

    void run_after(base::millis delay_ms, std::function<void()> callback) {
        pending_.emplace(now() + std::max<base::millis>(delay_ms, 0),
                         std::move(callback));
    }

    /// Advances the time by `duration_ms` and runs the callbacks that become
    /// due, in the order of their times.
    void run_for(base::millis duration_ms) {
        const auto end = now() + duration_ms;
        while (!pending_.empty() && pending_.begin()->first <= end) {
            const auto next = pending_.begin();
            time_->advance(next->first - now());
            const auto callback = std::move(next->second);
            pending_.erase(next);
            callback();
        }
        time_->advance(end - now());
    }

private:
    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    std::multimap<base::millis, std::function<void()>> pending_;
};

/// Latency and failure rates of the calls to a simulated_store.
struct store_faults {
    /// Bounds of the one-way network latency, in ms.
    base::millis min_latency_ms = 1;
    base::millis max_latency_ms = 5;
    /// Calls that the store rejects without carrying them out.
    int rejected_percent = 0;
    /// Calls whose request is lost. Half of the lost appends are carried out up
    /// to max_late_append_ms later.
    int lost_request_percent = 0;
    /// Calls that are carried out but whose response is lost.
    int lost_response_percent = 0;
};

/// Maximum number of records in one response. Small, so that tests need several
/// pages and reads.
struct response_limits {
    std::size_t records_per_page = 3;
    std::size_t records_per_read = 5;
};

/// A simulated store of keyed records in virtual time. Each request and each
/// response has its own random latency, so responses may arrive out of order.
/// Reads can wait for new records.
class simulated_store {
public:
    /// A record and the virtual time at which it was appended.
    struct log_entry {
        store::record record;
        base::millis appended_at = 0;
    };

    simulated_store(virtual_scheduler& time, std::uint32_t seed)
        : time_(time), random_(seed) {}

    simulated_store(const simulated_store&) = delete;
    simulated_store& operator=(const simulated_store&) = delete;

    void set_faults(const store_faults& faults) { faults_ = faults; }

    void set_response_limits(const response_limits& limits) {
        limits_ = limits;
    }

    /// Returns the number of calls so far.
    std::uint64_t append_calls() const { return append_calls_; }
    std::uint64_t read_calls() const { return read_calls_; }

    /// Returns a client for one simulated process. Responses are dropped once
    /// `*alive` is false.
    store::log_store client(const std::shared_ptr<const bool>& alive) {
        store::log_store s;
        s.append = [this,
                    alive](const store::partition& p,
                           const std::vector<store::record>& records,
                           const store::log_offset* expected_end,
                           std::function<void(store::append_result)> done) {
            const bool unconditional = expected_end == nullptr;
            const store::log_offset end = unconditional ? 0 : *expected_end;
            simulate_call<store::append_result>(
                [this, p, records, unconditional, end](const auto& respond) {
                    respond(append(p, records, unconditional ? nullptr : &end));
                },
                call_timeout_ms, true, deliver_once(alive, std::move(done)));
        };
        s.read = [this, alive](const store::partition& p,
                               store::log_offset offset, base::millis wait_ms,
                               std::function<void(store::read_result)> done) {
            simulate_call<store::read_result>(
                [this, p, offset, wait_ms](const auto& respond) {
                    read(p, offset, wait_ms, respond);
                },
                call_timeout_ms + wait_ms, false,
                deliver_once(alive, std::move(done)));
        };
        s.read_latest = [this, alive](
                            const store::partition& p, const std::string& after,
                            std::function<void(store::latest_result)> done) {
            simulate_call<store::latest_result>(
                [this, p, after](const auto& respond) {
                    respond(read_latest_page(p, after));
                },
                call_timeout_ms, false, deliver_once(alive, std::move(done)));
        };
        return s;
    }

    /// Appends immediately, as another writer would.
    store::append_result
    append(const store::partition& p, const std::vector<store::record>& records,
           const store::log_offset* expected_end = nullptr) {
        auto& l = log_of(p);
        const auto first = l.entries.size();
        if (expected_end != nullptr && *expected_end != first) {
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

    /// Trims the log before an offset. The newest record of each key stays
    /// readable by read_latest().
    void trim(const store::partition& p, store::log_offset before) {
        auto& l = log_of(p);
        l.first_offset =
            std::max(l.first_offset,
                     std::min<store::log_offset>(before, l.entries.size()));
    }

    /// Returns all records ever appended, trimmed ones included, in log order.
    const std::vector<log_entry>& entries(const store::partition& p) {
        return log_of(p).entries;
    }

    /// Returns the newest value of each key.
    std::map<std::string, std::string>
    newest_values(const store::partition& p) {
        std::map<std::string, std::string> values;
        auto& l = log_of(p);
        for (const auto& [key, n] : l.newest_offsets) {
            values[key] = l.entries[n].record.value;
        }
        return values;
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

    int draw_between(base::millis min, base::millis max) {
        return std::uniform_int_distribution<int>(
            static_cast<int>(min), static_cast<int>(max))(random_);
    }

    bool draw_chance(int percent) { return draw_between(0, 99) < percent; }

    base::millis draw_latency() {
        return draw_between(faults_.min_latency_ms, faults_.max_latency_ms);
    }

    /// Returns a callback that passes only its first result to `done`, and none
    /// once `*alive` is false.
    template <class Result>
    static std::function<void(Result)>
    deliver_once(const std::shared_ptr<const bool>& alive,
                 std::function<void(Result)> done) {
        auto pending = std::make_shared<bool>(true);
        return [alive, pending, done = std::move(done)](Result r) {
            if (*alive && std::exchange(*pending, false)) {
                done(std::move(r));
            }
        };
    }

    template <class Result>
    void simulate_call(std::function<void(std::function<void(Result)>)> execute,
                       base::millis timeout_ms, bool is_append,
                       std::function<void(Result)> done) {
        ++(is_append ? append_calls_ : read_calls_);
        time_.run_after(timeout_ms, [done] { done(store::outcome_unknown{}); });
        const auto request_latency_ms = draw_latency();
        if (draw_chance(faults_.rejected_percent)) {
            time_.run_after(request_latency_ms,
                            [done] { done(store::rejected{503}); });
            return;
        }
        if (draw_chance(faults_.lost_request_percent)) {
            if (is_append && draw_chance(50)) {
                time_.run_after(draw_between(0, max_late_append_ms),
                                [execute] { execute([](const Result&) {}); });
            }
            return;
        }
        const bool response_lost = draw_chance(faults_.lost_response_percent);
        time_.run_after(
            request_latency_ms, [this, execute, done, response_lost] {
                execute([this, done, response_lost](Result r) {
                    if (!response_lost) {
                        time_.run_after(draw_latency(),
                                        [done, r = std::move(r)] { done(r); });
                    }
                });
            });
    }

    void read(const store::partition& p, store::log_offset offset,
              base::millis wait_ms,
              const std::function<void(store::read_result)>& respond) {
        auto& l = log_of(p);
        if (wait_ms <= 0 || offset != l.entries.size()) {
            respond(read_from(l, offset));
            return;
        }
        auto pending = std::make_shared<bool>(true);
        const auto respond_once = [this, &l, offset, respond, pending] {
            if (std::exchange(*pending, false)) {
                respond(read_from(l, offset));
            }
        };
        l.waiting_reads.push_back(respond_once);
        time_.run_after(wait_ms, respond_once);
    }

    store::read_result read_from(const log& l, store::log_offset offset) const {
        if (offset < l.first_offset) {
            return store::records_trimmed{};
        }
        store::fetched_records result;
        result.end = l.entries.size();
        const auto end = std::min<store::log_offset>(
            result.end, offset + limits_.records_per_read);
        for (auto n = offset; n < end; ++n) {
            result.records.push_back({n, l.entries[n].record});
        }
        return result;
    }

    store::latest_result read_latest_page(const store::partition& p,
                                          const std::string& after) {
        auto& l = log_of(p);
        store::latest_page page;
        page.end = l.entries.size();
        for (auto newest = l.newest_offsets.upper_bound(after);
             newest != l.newest_offsets.end(); ++newest) {
            if (page.records.size() == limits_.records_per_page) {
                page.has_more = true;
                break;
            }
            page.records.push_back(
                {newest->second, l.entries[newest->second].record});
        }
        return page;
    }

    /// How long callers wait for a response, in ms.
    static constexpr base::millis call_timeout_ms = 1000;
    /// The maximum delay of a lost append that is carried out late, in ms.
    static constexpr base::millis max_late_append_ms = 4000;

    virtual_scheduler& time_;
    std::mt19937 random_;
    store_faults faults_;
    response_limits limits_;
    std::uint64_t append_calls_ = 0;
    std::uint64_t read_calls_ = 0;
    std::map<std::pair<std::string, int>, log> logs_;
};

} // namespace hibiscus::testing
