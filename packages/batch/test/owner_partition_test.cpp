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

/// An owner, its link and the store in virtual time. The store serves other
/// nodes all the while.
class owner_partition_test : public testing::Test {
protected:
    static constexpr base::millis answer_ms = 8;
    static constexpr base::millis relayed_ms = 12;
    static constexpr base::millis call_ms = 1000;
    static constexpr base::millis tick_ms = 25;

    /// A call under way to the store, or anything else that is to be done at a
    /// time.
    struct call {
        /// It goes to the store itself rather than through another node.
        bool direct = false;
        /// When it ends, and what is done then.
        base::millis due = 0;
        std::function<void()> answered;
        /// What is done if it is given up.
        std::function<void()> unanswered;
    };

    owner_partition_test() {
        port_.append = [this](const auto&, const auto& records,
                              const store::log_offset* at, auto done) {
            const auto end = at == nullptr ? journal_.size() : *at;
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
        port_.read = [this](const auto&, store::log_offset from,
                            base::millis wait, auto done) {
            // Records that are there already are answered with at once.
            send(
                from < journal_.size() ? 0 : wait,
                [this, from, done] {
                    store::fetched_records out;
                    out.end = journal_.size();
                    for (auto n = from; n < journal_.size(); ++n) {
                        out.records.push_back({n, journal_[n]});
                    }
                    done(store::read_result(std::move(out)));
                },
                [done] { done(store::outcome_unknown{}); });
        };
        port_.read_latest = [this](const auto&, const auto&, auto done) {
            send(
                0, [done] { done(store::latest_page{}); },
                [done] { done(store::outcome_unknown{}); });
        };
    }

    /// Sends a call that the store may keep for `wait` ms. While the node is
    /// cut off, one that goes to the store itself hangs until its time is over.
    void send(base::millis wait, std::function<void()> answered,
              std::function<void()> unanswered) {
        const auto route = link_.begin_call(wait, {"journal", 0});
        const bool hangs = cut_ && !route.relayed;
        const auto lasts =
            hangs ? wait + call_ms
                  : wait + (route.relayed ? relayed_ms : answer_ms);
        call c;
        c.direct = !route.relayed;
        c.due = time_->now() + lasts;
        c.unanswered = [this, route, f = std::move(unanswered)] {
            link_.end_call(route, false, false);
            f();
        };
        c.answered = [this, route, hangs, f = std::move(answered),
                      none = c.unanswered] {
            if (hangs) {
                none();
                return;
            }
            link_.end_call(route, true, true);
            f();
        };
        calls_.push_back(std::move(c));
    }

    void later(base::millis ms, std::function<void()> f) {
        calls_.push_back({false, time_->now() + ms, std::move(f), {}});
    }

    /// The store has fallen silent: what it was asked is given up.
    void give_up_direct_calls() {
        later(0, [this] {
            for (auto& c : calls_) {
                if (c.direct) {
                    c.answered = c.unanswered;
                    c.due = time_->now();
                }
            }
        });
    }

    /// Ends all calls whose time has come, and those that these begin.
    void run_due() {
        for (;;) {
            const auto due =
                std::find_if(calls_.begin(), calls_.end(),
                             [this](auto& c) { return c.due <= time_->now(); });
            if (due == calls_.end()) {
                return;
            }
            const auto f = std::move(due->answered);
            calls_.erase(due);
            f();
        }
    }

    /// Renews as an owner does that lists nothing.
    void tick() {
        // A node looks for overdue calls many times a second.
        static_cast<void>(link_.check_unreachable());
        const auto step =
            owner_.next_action(ledger_, follower_.current_as_of());
        const bool due =
            step == lease_action::renew || owner_.is_renewal_overdue();
        if (!appending_ && due) {
            appending_ = true;
            const auto at = follower_.next_offset();
            const auto sent_at = time_->now();
            const std::vector<store::record> records{own_record()};
            port_.append(
                {"journal", 0}, records, &at,
                [this, records, sent_at](const store::append_result& r) {
                    appending_ = false;
                    if (const auto* a = base::value_if(r)) {
                        owner_.on_renewed();
                        follower_.apply_own_append(a->first, records, sent_at);
                    }
                });
        }
    }

    store::record own_record() {
        return {
            format_key(owner_key{}),
            encode(owner_record{base::node_id("n1"), "x", 1, ++beats_, false})};
    }

    void play(base::millis until) {
        while (time_->now() < until) {
            run_due();
            if (time_->now() % tick_ms == 0) {
                tick();
            }
            time_->advance(1);
        }
    }

    /// Returns the longest time in which the owner renewed nothing.
    base::millis longest_silence() const {
        base::millis longest = 0;
        for (std::size_t n = 1; n < renewals_.size(); ++n) {
            longest = std::max(longest, renewals_[n] - renewals_[n - 1]);
        }
        return std::max(longest, time_->now() - renewals_.back());
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    bool cut_ = false;
    std::vector<call> calls_;
    std::vector<store::record> journal_;
    std::vector<base::millis> renewals_;
    store::log_store port_;
    store::store_router link_{
        clock_,
        {"10.0.0.1", 1},
        [] {
            return std::vector<base::endpoint>{{"10.0.0.2", 2}};
        },
        [this] { give_up_direct_calls(); }};
    job_table ledger_{clock_};
    owner_lease owner_{clock_, base::node_id("n1"), "x", {}, 0.5, 1};
    store::partition_watcher follower_{
        port_,
        {"journal", 0},
        clock_,
        [this](base::millis ms, std::function<void()> f) {
            later(ms, std::move(f));
        },
        {150, 100, {}},
        {[this](const auto& changes) {
             for (const auto& c : changes) {
                 ledger_.apply(c);
             }
         },
         {}}};
    bool appending_ = false;
    std::int64_t beats_ = 0;
};

// A partition parts the owner of the jobs from the store, which goes on to
// serve the other nodes. A job comes in at another node just then, so that the
// owner must read the journal before it can append to it. Its read hangs; if it
// waits for that, the others take the jobs, and every trainer waits for texts
// that are begun anew.
TEST_F(owner_partition_test, renews_through_others_before_they_claim) {
    journal_.push_back(own_record());
    renewals_.push_back(0);
    follower_.start();
    for (base::millis cut_after = 0; cut_after < 200; cut_after += 20) {
        const auto begun = time_->now();
        play(begun + 1000 + cut_after);
        cut_ = true;
        play(time_->now() + 60);
        journal_.push_back({format_key(header_key{job_id("j")}), "-"});
        play(time_->now() + 3000);
        cut_ = false;
        link_.mark_reachable(answer_ms);
        play(time_->now() + 1500);
    }
    EXPECT_LT(longest_silence(), owner_lease_times().lease_timeout);
}

} // namespace

} // namespace hibiscus::batch
