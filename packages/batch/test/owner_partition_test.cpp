#include "hibiscus/batch/owner_lease.hpp"
#include "hibiscus/store/partition_watcher.hpp"
#include "hibiscus/store/store_router.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace hibiscus::batch {

namespace {

/// A job owner, its store router and the store in virtual time. Other nodes can
/// always reach the store.
class owner_partition_test : public testing::Test {
protected:
    static constexpr base::millis direct_response_ms = 8;
    static constexpr base::millis relayed_response_ms = 12;
    static constexpr base::millis call_timeout_ms = 1000;
    static constexpr base::millis tick_ms = 25;

    /// A call in flight to the store, or another scheduled action.
    struct call {
        /// True if the call goes directly to the store rather than through a
        /// peer.
        bool direct = false;
        /// When the call ends, and the action that runs then.
        base::millis due_at = 0;
        std::function<void()> on_response;
        /// The action that runs if the call is given up.
        std::function<void()> on_give_up;
    };

    owner_partition_test() {
        log_store_.append = [this](const auto&, const auto& records,
                                   const store::log_offset* expected_end,
                                   auto done) {
            const auto end =
                expected_end == nullptr ? journal_.size() : *expected_end;
            send(
                0,
                [this, records, end, done] {
                    if (end != journal_.size()) {
                        done(store::append_conflict{journal_.size()});
                        return;
                    }
                    const auto first = journal_.size();
                    journal_.insert(journal_.end(), records.begin(),
                                    records.end());
                    renewals_.push_back(time_->now());
                    done(store::appended{first, journal_.size()});
                },
                [done] { done(store::outcome_unknown{}); });
        };
        log_store_.read = [this](const auto&, store::log_offset first_offset,
                                 base::millis wait, auto done) {
            // Existing records are returned at once.
            send(
                first_offset < journal_.size() ? 0 : wait,
                [this, first_offset, done] {
                    store::fetched_records fetched;
                    fetched.end = journal_.size();
                    for (auto n = first_offset; n < journal_.size(); ++n) {
                        fetched.records.push_back({n, journal_[n]});
                    }
                    done(store::read_result(std::move(fetched)));
                },
                [done] { done(store::outcome_unknown{}); });
        };
        log_store_.read_latest = [this](const auto&, const auto&, auto done) {
            send(
                0, [done] { done(store::latest_page{}); },
                [done] { done(store::outcome_unknown{}); });
        };
    }

    /// Sends a call that the store may hold for `wait` ms. While the node is
    /// isolated, a direct call hangs until its timeout.
    void send(base::millis wait, std::function<void()> on_response,
              std::function<void()> on_give_up) {
        const auto route = router_.begin_call(wait, {"journal", 0});
        const bool hangs = is_isolated_ && !route.relayed;
        const auto duration = hangs
                                  ? wait + call_timeout_ms
                                  : wait + (route.relayed ? relayed_response_ms
                                                          : direct_response_ms);
        call c;
        c.direct = !route.relayed;
        c.due_at = time_->now() + duration;
        c.on_give_up = [this, route, f = std::move(on_give_up)] {
            router_.end_call(route, false, false);
            f();
        };
        c.on_response = [this, route, hangs, f = std::move(on_response),
                         give_up = c.on_give_up] {
            if (hangs) {
                give_up();
                return;
            }
            router_.end_call(route, true, true);
            f();
        };
        calls_.push_back(std::move(c));
    }

    void run_after(base::millis ms, std::function<void()> f) {
        calls_.push_back({false, time_->now() + ms, std::move(f), {}});
    }

    /// Called when this node can't reach the store directly: gives up its
    /// direct calls. Calls that peers relay continue.
    void give_up_direct_calls() {
        run_after(0, [this] {
            for (auto& c : calls_) {
                if (c.direct) {
                    c.on_response = c.on_give_up;
                    c.due_at = time_->now();
                }
            }
        });
    }

    /// Runs all actions that are due, including those that these add.
    void run_due() {
        for (;;) {
            const auto next_call =
                std::find_if(calls_.begin(), calls_.end(), [this](auto& c) {
                    return c.due_at <= time_->now();
                });
            if (next_call == calls_.end()) {
                return;
            }
            const auto f = std::move(next_call->on_response);
            calls_.erase(next_call);
            f();
        }
    }

    /// Renews as an owner that has no results to commit.
    void tick() {
        // A node checks for overdue calls many times a second.
        static_cast<void>(router_.check_unreachable());
        const auto action = lease_.next_action(jobs_, watcher_.current_as_of());
        const bool is_due =
            action == lease_action::renew || lease_.is_renewal_overdue();
        if (!append_in_flight_ && is_due) {
            append_in_flight_ = true;
            const auto expected_end = watcher_.next_offset();
            const auto sent_at = time_->now();
            const std::vector<store::record> records{own_record()};
            log_store_.append(
                {"journal", 0}, records, &expected_end,
                [this, records, sent_at](const store::append_result& r) {
                    append_in_flight_ = false;
                    if (const auto* a = base::value_if(r)) {
                        lease_.on_renewed();
                        watcher_.apply_own_append(a->first, records, sent_at);
                    }
                });
        }
    }

    store::record own_record() {
        return {format_key(owner_key{}),
                encode(owner_record{base::node_id("n1"), "x", 1,
                                    ++renewal_count_, false})};
    }

    void run_until(base::millis until) {
        while (time_->now() < until) {
            run_due();
            if (time_->now() % tick_ms == 0) {
                tick();
            }
            time_->advance(1);
        }
    }

    /// Returns the longest time without a renewal.
    base::millis longest_renewal_gap() const {
        base::millis longest = 0;
        for (std::size_t n = 1; n < renewals_.size(); ++n) {
            longest = std::max(longest, renewals_[n] - renewals_[n - 1]);
        }
        return std::max(longest, time_->now() - renewals_.back());
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    bool is_isolated_ = false;
    std::vector<call> calls_;
    std::vector<store::record> journal_;
    std::vector<base::millis> renewals_;
    store::log_store log_store_;
    store::store_router router_{
        clock_,
        {"10.0.0.1", 1},
        [] {
            return std::vector<base::endpoint>{{"10.0.0.2", 2}};
        },
        [this] { give_up_direct_calls(); }};
    job_table jobs_{clock_};
    owner_lease lease_{clock_, base::node_id("n1"), "x", {}, 0.5, 1};
    store::partition_watcher watcher_{
        log_store_,
        {"journal", 0},
        clock_,
        [this](base::millis ms, std::function<void()> f) {
            run_after(ms, std::move(f));
        },
        {150, 100, {}},
        {[this](const auto& changes) {
             for (const auto& c : changes) {
                 jobs_.apply(c);
             }
         },
         {}}};
    bool append_in_flight_ = false;
    std::int64_t renewal_count_ = 0;
};

// The job owner is isolated from the store, which still serves the other nodes.
// A job submitted at another node makes the owner read the journal before it
// can append again. If it waited for the hanging read, its lease would expire,
// and all unfinished texts would be generated again.
TEST_F(owner_partition_test,
       an_isolated_owner_renews_through_peers_before_they_claim) {
    journal_.push_back(own_record());
    renewals_.push_back(0);
    watcher_.start();
    for (base::millis isolated_after = 0; isolated_after < 200;
         isolated_after += 20) {
        const auto round_start = time_->now();
        run_until(round_start + 1000 + isolated_after);
        is_isolated_ = true;
        run_until(time_->now() + 60);
        journal_.push_back({format_key(header_key{job_id("j")}), "-"});
        run_until(time_->now() + 3000);
        is_isolated_ = false;
        router_.mark_reachable(direct_response_ms);
        run_until(time_->now() + 1500);
    }
    EXPECT_LT(longest_renewal_gap(), owner_lease_times().lease_timeout);
}

} // namespace

} // namespace hibiscus::batch
