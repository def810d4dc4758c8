#pragma once

#include "hibiscus/store/log_store.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::testing {

/// How the store treats the next appends.
enum class append_behavior {
    succeeds,      ///< Carried out and answered.
    rejected,      ///< Not carried out, and said so.
    response_lost, ///< Carried out, but nobody hears of it.
    request_lost,  ///< Neither carried out nor answered.
    applied_late   ///< Not answered; carried out by run_late(), if it can be.
};

/// A store in the memory of a test. Answers come when the test says so, by
/// deliver(), in the order of the calls.
class memory_store {
public:
    memory_store() {
        client_.append =
            [this](const store::partition& p,
                   const std::vector<store::record>& records,
                   const store::log_offset* at,
                   std::function<void(store::append_result)> done) {
                append({p.topic, p.number}, records, at, std::move(done));
            };
        client_.read = [this](const store::partition& p, store::log_offset from,
                              base::millis,
                              std::function<void(store::read_result)> done) {
            enqueue_response(
                [this, key = partition_key{p.topic, p.number}, from,
                 done = std::move(done)] { done(read(key, from)); });
        };
        client_.read_latest =
            [this](const store::partition& p, const std::string& after,
                   std::function<void(store::latest_result)> done) {
                enqueue_response([this, key = partition_key{p.topic, p.number},
                                  after, done = std::move(done)] {
                    done(read_newest_page(key, after));
                });
            };
    }

    memory_store(const memory_store&) = delete;
    memory_store& operator=(const memory_store&) = delete;

    const store::log_store& client() const { return client_; }

    /// Sets how appends are treated from now on.
    void set_append_behavior(append_behavior fate) { append_behavior_ = fate; }

    /// Sets whether reads and snapshots are refused.
    void set_reads_rejected(bool refusing) { reads_rejected_ = refusing; }

    /// Drops the history: only the newest record of each key stays readable.
    void compact(const std::string& topic) {
        auto& log = logs_[{topic, 0}];
        log.first_offset = log.records.size();
    }

    /// Gives the oldest waiting answer. Returns false if none waits.
    bool deliver_next_response() {
        if (pending_responses_.empty()) {
            return false;
        }
        const auto next = std::move(pending_responses_.front());
        pending_responses_.pop_front();
        next();
        return true;
    }

    /// Carries out what was held back, as far as its condition still holds.
    void apply_late_appends() {
        for (const auto& late : std::exchange(late_appends_, {})) {
            late();
        }
    }

    /// Returns all records of a topic, in their order.
    const std::vector<store::record>& records(const std::string& topic) {
        return logs_[{topic, 0}].records;
    }

private:
    using partition_key = std::pair<std::string, int>;
    struct log {
        std::vector<store::record> records;
        std::size_t first_offset = 0;
    };

    void enqueue_response(std::function<void()> give) {
        pending_responses_.push_back(std::move(give));
    }

    store::append_result apply_append(const partition_key& key,
                                      const std::vector<store::record>& records,
                                      const store::log_offset* at) {
        auto& l = logs_[key];
        if (at != nullptr && *at != l.records.size()) {
            return store::append_conflict{l.records.size()};
        }
        const auto first = l.records.size();
        l.records.insert(l.records.end(), records.begin(), records.end());
        return store::appended{first, l.records.size()};
    }

    void append(const partition_key& key,
                const std::vector<store::record>& records,
                const store::log_offset* at,
                std::function<void(store::append_result)> done) {
        store::append_result result = store::outcome_unknown{};
        switch (append_behavior_) {
        case append_behavior::succeeds:
            result = apply_append(key, records, at);
            break;
        case append_behavior::rejected:
            result = store::rejected{503};
            break;
        case append_behavior::response_lost:
            apply_append(key, records, at);
            break;
        case append_behavior::request_lost:
            break;
        case append_behavior::applied_late: {
            auto held = at == nullptr
                            ? nullptr
                            : std::make_shared<store::log_offset>(*at);
            late_appends_.push_back([this, key, records, held] {
                apply_append(key, records, held.get());
            });
            break;
        }
        }
        enqueue_response([result, done = std::move(done)] { done(result); });
    }

    store::read_result read(const partition_key& key, store::log_offset from) {
        if (reads_rejected_) {
            return store::rejected{503};
        }
        const auto& l = logs_[key];
        if (from < l.first_offset) {
            return store::records_trimmed{};
        }
        store::fetched_records out;
        out.end = l.records.size();
        for (auto n = from; n < l.records.size(); ++n) {
            out.records.push_back({n, l.records[n]});
        }
        return out;
    }

    store::latest_result read_newest_page(const partition_key& key,
                                          const std::string& after) {
        if (reads_rejected_) {
            return store::rejected{503};
        }
        const auto& l = logs_[key];
        std::map<std::string, std::size_t> newest;
        for (std::size_t n = 0; n < l.records.size(); ++n) {
            newest[l.records[n].key] = n;
        }
        store::latest_page page;
        page.end = l.records.size();
        for (const auto& [k, n] : newest) {
            if (k > after && !l.records[n].value.empty()) {
                if (page.records.size() == records_per_page) {
                    page.has_more = true;
                    break;
                }
                page.records.push_back({n, l.records[n]});
            }
        }
        return page;
    }

    /// Small, so that tests come by pages.
    static constexpr std::size_t records_per_page = 3;

    store::log_store client_;
    std::map<partition_key, log> logs_;
    std::deque<std::function<void()>> pending_responses_;
    std::vector<std::function<void()>> late_appends_;
    append_behavior append_behavior_ = append_behavior::succeeds;
    bool reads_rejected_ = false;
};

} // namespace hibiscus::testing
