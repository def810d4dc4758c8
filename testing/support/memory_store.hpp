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
enum class append_fate {
    done,        ///< Carried out and answered.
    refused,     ///< Not carried out, and said so.
    answer_lost, ///< Carried out, but nobody hears of it.
    lost,        ///< Neither carried out nor answered.
    late         ///< Not answered; carried out by run_late(), if it can be.
};

/// A store in the memory of a test. Answers come when the test says so, by
/// deliver(), in the order of the calls.
class memory_store {
public:
    memory_store() {
        port_.append = [this](const store::partition& p,
                              const std::vector<store::record>& records,
                              const store::log_offset* at,
                              std::function<void(store::append_result)> done) {
            append({p.topic, p.number}, records, at, std::move(done));
        };
        port_.read = [this](const store::partition& p, store::log_offset from,
                            base::millis,
                            std::function<void(store::read_result)> done) {
            answer([this, key = name{p.topic, p.number}, from,
                    done = std::move(done)] { done(read(key, from)); });
        };
        port_.newest = [this](const store::partition& p,
                              const std::string& after,
                              std::function<void(store::newest_result)> done) {
            answer([this, key = name{p.topic, p.number}, after,
                    done = std::move(done)] { done(newest(key, after)); });
        };
    }

    memory_store(const memory_store&) = delete;
    memory_store& operator=(const memory_store&) = delete;

    const store::log_store& port() const { return port_; }

    /// Sets how appends are treated from now on.
    void set_fate(append_fate fate) { fate_ = fate; }

    /// Sets whether reads and snapshots are refused.
    void set_refusing(bool refusing) { refusing_ = refusing; }

    /// Drops the history: only the newest record of each key stays readable.
    void compact(const std::string& topic) {
        auto& log = logs_[{topic, 0}];
        log.first = log.records.size();
    }

    /// Gives the oldest waiting answer. Returns false if none waits.
    bool deliver() {
        if (answers_.empty()) {
            return false;
        }
        const auto next = std::move(answers_.front());
        answers_.pop_front();
        next();
        return true;
    }

    /// Carries out what was held back, as far as its condition still holds.
    void run_late() {
        for (const auto& late : std::exchange(late_, {})) {
            late();
        }
    }

    /// Returns all records of a topic, in their order.
    const std::vector<store::record>& records(const std::string& topic) {
        return logs_[{topic, 0}].records;
    }

private:
    using name = std::pair<std::string, int>;
    struct log {
        std::vector<store::record> records;
        std::size_t first = 0;
    };

    void answer(std::function<void()> give) {
        answers_.push_back(std::move(give));
    }

    store::append_result carry_out(const name& key,
                                   const std::vector<store::record>& records,
                                   const store::log_offset* at) {
        auto& l = logs_[key];
        if (at != nullptr && *at != l.records.size()) {
            return store::end_differs{l.records.size()};
        }
        const auto first = l.records.size();
        l.records.insert(l.records.end(), records.begin(), records.end());
        return store::appended{first, l.records.size()};
    }

    void append(const name& key, const std::vector<store::record>& records,
                const store::log_offset* at,
                std::function<void(store::append_result)> done) {
        store::append_result result = store::unanswered{};
        switch (fate_) {
        case append_fate::done:
            result = carry_out(key, records, at);
            break;
        case append_fate::refused:
            result = store::refused{503};
            break;
        case append_fate::answer_lost:
            carry_out(key, records, at);
            break;
        case append_fate::lost:
            break;
        case append_fate::late: {
            auto held = at == nullptr
                            ? nullptr
                            : std::make_shared<store::log_offset>(*at);
            late_.push_back([this, key, records, held] {
                carry_out(key, records, held.get());
            });
            break;
        }
        }
        answer([result, done = std::move(done)] { done(result); });
    }

    store::read_result read(const name& key, store::log_offset from) {
        if (refusing_) {
            return store::refused{503};
        }
        const auto& l = logs_[key];
        if (from < l.first) {
            return store::trimmed{};
        }
        store::read_records out;
        out.end = l.records.size();
        for (auto n = from; n < l.records.size(); ++n) {
            out.records.push_back({n, l.records[n]});
        }
        return out;
    }

    store::newest_result newest(const name& key, const std::string& after) {
        if (refusing_) {
            return store::refused{503};
        }
        const auto& l = logs_[key];
        std::map<std::string, std::size_t> newest;
        for (std::size_t n = 0; n < l.records.size(); ++n) {
            newest[l.records[n].key] = n;
        }
        store::newest_page page;
        page.end = l.records.size();
        for (const auto& [k, n] : newest) {
            if (k > after && !l.records[n].value.empty()) {
                if (page.records.size() == page_size) {
                    page.more = true;
                    break;
                }
                page.records.push_back({n, l.records[n]});
            }
        }
        return page;
    }

    /// Small, so that tests come by pages.
    static constexpr std::size_t page_size = 3;

    store::log_store port_;
    std::map<name, log> logs_;
    std::deque<std::function<void()>> answers_;
    std::vector<std::function<void()>> late_;
    append_fate fate_ = append_fate::done;
    bool refusing_ = false;
};

} // namespace hibiscus::testing
