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

/// What happens to the appends that follow.
enum class append_behavior {
    succeeds,      ///< Carried out; the response is delivered.
    rejected,      ///< Not carried out; the store says so.
    response_lost, ///< Carried out, but the response is lost.
    request_lost,  ///< Not carried out, and no response.
    /// No response. apply_late_appends() carries it out if its condition still
    /// holds.
    applied_late
};

/// An in-memory store for tests. Responses are delivered one at a time by
/// deliver_next_response(), in the order of the calls.
class memory_store {
public:
    memory_store() {
        client_.append = [this](
                             const store::partition& p,
                             const std::vector<store::record>& records,
                             const store::log_offset* expected_end,
                             std::function<void(store::append_result)> done) {
            append({p.topic, p.number}, records, expected_end, std::move(done));
        };
        client_.read = [this](const store::partition& p,
                              store::log_offset offset, base::millis,
                              std::function<void(store::read_result)> done) {
            enqueue_response(
                [this, key = partition_key{p.topic, p.number}, offset,
                 done = std::move(done)] { done(read(key, offset)); });
        };
        client_.read_latest =
            [this](const store::partition& p, const std::string& after,
                   std::function<void(store::latest_result)> done) {
                enqueue_response([this, key = partition_key{p.topic, p.number},
                                  after, done = std::move(done)] {
                    done(read_latest_page(key, after));
                });
            };
    }

    memory_store(const memory_store&) = delete;
    memory_store& operator=(const memory_store&) = delete;

    const store::log_store& client() const { return client_; }

    /// Sets what happens to appends from now on.
    void set_append_behavior(append_behavior behavior) {
        append_behavior_ = behavior;
    }

    /// Sets whether read and read_latest calls are rejected.
    void set_reads_rejected(bool rejected) { reads_rejected_ = rejected; }

    /// Trims all records of partition 0 of a topic. Only the newest record of
    /// each key stays readable, by read_latest.
    void compact(const std::string& topic) {
        auto& log = logs_[{topic, 0}];
        log.first_offset = log.records.size();
    }

    /// Delivers the oldest pending response. Returns false if there is none.
    bool deliver_next_response() {
        if (pending_responses_.empty()) {
            return false;
        }
        const auto deliver = std::move(pending_responses_.front());
        pending_responses_.pop_front();
        deliver();
        return true;
    }

    /// Carries out the appends that were delayed by
    /// append_behavior::applied_late, if their conditions still hold.
    void apply_late_appends() {
        for (const auto& apply : std::exchange(late_appends_, {})) {
            apply();
        }
    }

    /// Returns all records ever appended to partition 0 of a topic, in log
    /// order.
    const std::vector<store::record>& records(const std::string& topic) {
        return logs_[{topic, 0}].records;
    }

private:
    using partition_key = std::pair<std::string, int>;
    struct log {
        std::vector<store::record> records;
        std::size_t first_offset = 0;
    };

    void enqueue_response(std::function<void()> deliver) {
        pending_responses_.push_back(std::move(deliver));
    }

    store::append_result apply_append(const partition_key& key,
                                      const std::vector<store::record>& records,
                                      const store::log_offset* expected_end) {
        auto& l = logs_[key];
        if (expected_end != nullptr && *expected_end != l.records.size()) {
            return store::append_conflict{l.records.size()};
        }
        const auto first = l.records.size();
        l.records.insert(l.records.end(), records.begin(), records.end());
        return store::appended{first, l.records.size()};
    }

    void append(const partition_key& key,
                const std::vector<store::record>& records,
                const store::log_offset* expected_end,
                std::function<void(store::append_result)> done) {
        store::append_result result = store::outcome_unknown{};
        switch (append_behavior_) {
        case append_behavior::succeeds:
            result = apply_append(key, records, expected_end);
            break;
        case append_behavior::rejected:
            result = store::rejected{503};
            break;
        case append_behavior::response_lost:
            apply_append(key, records, expected_end);
            break;
        case append_behavior::request_lost:
            break;
        case append_behavior::applied_late: {
            auto expected_end_copy =
                expected_end == nullptr
                    ? nullptr
                    : std::make_shared<store::log_offset>(*expected_end);
            late_appends_.push_back([this, key, records, expected_end_copy] {
                apply_append(key, records, expected_end_copy.get());
            });
            break;
        }
        }
        enqueue_response([result, done = std::move(done)] { done(result); });
    }

    store::read_result read(const partition_key& key,
                            store::log_offset offset) {
        if (reads_rejected_) {
            return store::rejected{503};
        }
        const auto& l = logs_[key];
        if (offset < l.first_offset) {
            return store::records_trimmed{};
        }
        store::fetched_records result;
        result.end = l.records.size();
        for (auto n = offset; n < l.records.size(); ++n) {
            result.records.push_back({n, l.records[n]});
        }
        return result;
    }

    store::latest_result read_latest_page(const partition_key& key,
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

    /// Small, so that tests need several pages.
    static constexpr std::size_t records_per_page = 3;

    store::log_store client_;
    std::map<partition_key, log> logs_;
    std::deque<std::function<void()>> pending_responses_;
    std::vector<std::function<void()>> late_appends_;
    append_behavior append_behavior_ = append_behavior::succeeds;
    bool reads_rejected_ = false;
};

} // namespace hibiscus::testing
