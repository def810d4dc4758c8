#pragma once

#include "hibiscus/wire/peer.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hibiscus::policy {

/// Time that the test moves, and what is to happen at which time.
class virtual_scheduler {
public:
    /// Returns the present time in ms.
    base::millis now() const { return now_; }

    /// Calls `event` after `delay` ms.
    void run_after(base::millis delay, std::function<void()> event) {
        pending_.emplace(now_ + std::max<base::millis>(delay, 0),
                         std::move(event));
    }

    /// Lets all happen that is due until `end`.
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

/// A model engine: a batch of streams by priority, orders with or without a
/// check of their numbers. It remembers the text of each run that ended.
class simulated_engine {
public:
    static constexpr base::millis chunk_ms = 50;
    static constexpr std::size_t slots = 3;

    simulated_engine(base::engine_id id, bool checks_fencing)
        : id_(std::move(id)), checks_fencing_(checks_fencing) {}

    /// Loses all streams and weights and stops answering.
    void crash() {
        is_up = false;
        streams_.clear();
        serving_.clear();
        highest_order_ = {0, 0};
    }

    /// Starts a stream or raises the priority of a known one.
    void start(const wire::stream_start& start) {
        const auto [at, fresh] = streams_.try_emplace(start.stream);
        auto& row = at->second;
        row.start.priority = std::max(row.start.priority, start.priority);
        if (!fresh) {
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
    void step() {
        std::vector<stream_row*> order;
        for (auto& [id, row] : streams_) {
            if (row.chunks.size() < row.length) {
                order.push_back(&row);
            }
        }
        std::stable_sort(
            order.begin(), order.end(),
            [](const stream_row* a, const stream_row* b) {
                return std::make_tuple(a->chunks.empty(), -a->start.priority) <
                       std::make_tuple(b->chunks.empty(), -b->start.priority);
            });
        for (std::size_t i = 0; i < std::min(slots, order.size()); ++i) {
            produce_chunk(*order[i]);
        }
    }

    wire::engine_poll_response poll(const wire::engine_poll& poll) const {
        wire::engine_poll_response news;
        for (const auto& cursor : poll.streams) {
            const auto at = streams_.find(cursor.stream);
            if (at == streams_.end()) {
                news.streams.push_back(
                    {cursor.stream, wire::stream_state::missing, {}});
                continue;
            }
            const auto& row = at->second;
            const auto from =
                std::min<std::size_t>(cursor.from, row.chunks.size());
            const bool done = row.chunks.size() >= row.length;
            if (done || row.chunks.size() > from) {
                news.streams.push_back(
                    {cursor.stream,
                     done ? wire::stream_state::done
                          : wire::stream_state::running,
                     {row.chunks.begin() + static_cast<std::ptrdiff_t>(from),
                      row.chunks.end()}});
            }
        }
        for (const auto& [trainer, version] : serving_) {
            news.serving.push_back({trainer, version});
        }
        return news;
    }

    wire::order_result order(const wire::version_order& order, bool fails) {
        const auto number =
            std::make_pair(order.number.epoch, order.number.sequence);
        if (checks_fencing_ && number < highest_order_) {
            return wire::order_result::fenced;
        }
        highest_order_ = std::max(highest_order_, number);
        if (fails) {
            return wire::order_result::failed;
        }
        // Now and then an engine says that a swap was done and it was not.
        if (++order_count_ % 13 != 0) {
            serving_[order.trainer] = order.version;
        }
        return wire::order_result::done;
    }

    /// Returns true if `s` is the whole text of a run that ended.
    bool has_produced(const wire::sample& s) const {
        const auto at =
            ended_runs_.find(s.chunks.empty() ? "" : s.chunks[0].text);
        if (at == ended_runs_.end() || at->second.size() != s.chunks.size()) {
            return false;
        }
        for (std::size_t i = 0; i < s.chunks.size(); ++i) {
            const auto& a = at->second[i];
            const auto& b = s.chunks[i];
            if (a.seq != b.seq || a.version != b.version || a.text != b.text) {
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

    void produce_chunk(stream_row& row) {
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
