#pragma once

#include "hibiscus/wire/peer.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hibiscus::policy {

/// A scheduler in virtual time, which advances only when the test runs it.
class virtual_scheduler {
public:
    /// Returns the current virtual time in ms.
    base::millis now() const { return now_; }

    /// Calls `event` after `delay` ms.
    void run_after(base::millis delay, std::function<void()> event) {
        pending_.emplace(now_ + std::max<base::millis>(delay, 0),
                         std::move(event));
    }

    /// Runs all events due up to `end` and advances the time to it.
    void run_until(base::millis end) {
        while (!pending_.empty() && pending_.begin()->first <= end) {
            now_ = pending_.begin()->first;
            const auto event = std::move(pending_.begin()->second);
            pending_.erase(pending_.begin());
            event();
        }
        now_ = end;
    }

private:
    base::millis now_ = 1000;
    std::multimap<base::millis, std::function<void()>> pending_;
};

/// A simulated engine: it runs a batch of streams by priority and carries out
/// orders, with or without checking their fencing tokens. It remembers the text
/// of each run that ended.
class simulated_engine {
public:
    static constexpr base::millis chunk_ms = 50;
    static constexpr std::size_t slots = 3;

    simulated_engine(base::engine_id id, bool checks_fencing)
        : id_(std::move(id)), checks_fencing_(checks_fencing) {}

    /// Loses all streams and weights and stops responding.
    void crash() {
        is_up = false;
        streams_.clear();
        serving_.clear();
        highest_order_ = {0, 0};
    }

    /// Starts a stream, or raises the priority of a known one.
    void start(const wire::stream_start& start) {
        const auto [entry, inserted] = streams_.try_emplace(start.stream);
        auto& row = entry->second;
        row.start.priority = std::max(row.start.priority, start.priority);
        if (!inserted) {
            return;
        }
        row.start = start;
        row.run = ++run_count_;
        row.length = 2 + start.seed % 9;
        if (start.seed % 17 == 0) {
            row.length *= 6;
        }
    }

    void stop(const base::stream_id& stream) { streams_.erase(stream); }

    /// Produces one chunk of each running stream.
    void generate_chunks() {
        std::vector<stream_row*> batch;
        for (auto& [id, row] : streams_) {
            if (row.chunks.size() < row.length) {
                batch.push_back(&row);
            }
        }
        std::stable_sort(
            batch.begin(), batch.end(),
            [](const stream_row* a, const stream_row* b) {
                return std::make_tuple(a->chunks.empty(), -a->start.priority) <
                       std::make_tuple(b->chunks.empty(), -b->start.priority);
            });
        for (std::size_t i = 0; i < std::min(slots, batch.size()); ++i) {
            generate_chunk(*batch[i]);
        }
    }

    wire::engine_poll_response poll(const wire::engine_poll& poll) const {
        wire::engine_poll_response response;
        for (const auto& cursor : poll.streams) {
            const auto entry = streams_.find(cursor.stream);
            if (entry == streams_.end()) {
                response.streams.push_back(
                    {cursor.stream, wire::stream_state::missing, {}});
                continue;
            }
            const auto& row = entry->second;
            const auto from =
                std::min<std::size_t>(cursor.from, row.chunks.size());
            const bool done = row.chunks.size() >= row.length;
            if (done || row.chunks.size() > from) {
                response.streams.push_back(
                    {cursor.stream,
                     done ? wire::stream_state::done
                          : wire::stream_state::running,
                     {row.chunks.begin() + static_cast<std::ptrdiff_t>(from),
                      row.chunks.end()}});
            }
        }
        for (const auto& [trainer, version] : serving_) {
            response.serving.push_back({trainer, version});
        }
        return response;
    }

    wire::order_result carry_out_order(const wire::version_order& order,
                                       bool must_fail) {
        const auto number =
            std::make_pair(order.number.epoch, order.number.sequence);
        if (checks_fencing_ && number < highest_order_) {
            return wire::order_result::fenced;
        }
        highest_order_ = std::max(highest_order_, number);
        if (must_fail) {
            return wire::order_result::failed;
        }
        // One in 13 orders is reported as done although no swap happened.
        if (++order_count_ % 13 != 0) {
            serving_[order.trainer] = order.version;
        }
        return wire::order_result::done;
    }

    /// Returns true if `sample` is the whole text of a run that ended.
    bool has_produced(const wire::sample& sample) const {
        const auto run = ended_runs_.find(
            sample.chunks.empty() ? "" : sample.chunks[0].text);
        if (run == ended_runs_.end() ||
            run->second.size() != sample.chunks.size()) {
            return false;
        }
        for (std::size_t i = 0; i < sample.chunks.size(); ++i) {
            const auto& expected = run->second[i];
            const auto& actual = sample.chunks[i];
            if (expected.seq != actual.seq ||
                expected.version != actual.version ||
                expected.text != actual.text) {
                return false;
            }
        }
        return true;
    }

    const base::engine_id& id() const { return id_; }
    bool checks_fencing() const { return checks_fencing_; }

    bool is_up = true;
    bool is_leaving = false;
    bool swaps_fail = false;

private:
    struct stream_row {
        wire::stream_start start;
        std::uint64_t run = 0;
        std::size_t length = 0;
        std::vector<wire::chunk> chunks;
    };

    void generate_chunk(stream_row& row) {
        const auto version = serving_[row.start.trainer];
        const auto seq = static_cast<std::uint32_t>(row.chunks.size());
        row.chunks.push_back({seq, version,
                              id_.str() + ":" + std::to_string(row.run) + ":" +
                                  row.start.stream.str() + ":" +
                                  std::to_string(seq)});
        if (row.chunks.size() == row.length) {
            ended_runs_[row.chunks[0].text] = row.chunks;
        }
    }

    base::engine_id id_;
    bool checks_fencing_;
    std::map<base::stream_id, stream_row> streams_;
    std::map<base::trainer_id, wire::weight_version> serving_;
    std::pair<std::int64_t, std::int64_t> highest_order_{0, 0};
    std::map<std::string, std::vector<wire::chunk>> ended_runs_;
    std::uint64_t run_count_ = 0;
    std::uint64_t order_count_ = 0;
};

} // namespace hibiscus::policy
