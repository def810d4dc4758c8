#include "hibiscus/batch/commit_plan.hpp"
#include "hibiscus/batch/owner_lease.hpp"
#include "support/fuzz.hpp"
#include "support/memory_store.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <set>

namespace hibiscus::batch {

namespace {

const job_id job("j");
constexpr int items = 12;
const store::partition journal{"journal", 0};

/// What readers saw at each position, at any node. It must never change.
class reader_oracle {
public:
    /// Looks at a ledger as a reader would; returns what is wrong, or "".
    std::string check(const job_table& l) {
        const auto* row = l.find(job);
        if (row == nullptr) {
            return "";
        }
        int position = 0;
        std::set<int> seen;
        for (const auto& [first, listing] : row->commits) {
            if (first != position) {
                return "a gap or an overlap at " + std::to_string(first);
            }
            for (const auto& r : listing.rows) {
                if (!seen.insert(r.item_index).second) {
                    return "item listed twice: " + std::to_string(r.item_index);
                }
                const auto what =
                    listing.texts_name + "/" + std::to_string(r.item_index);
                const auto known = positions_.emplace(position++, what).first;
                if (known->second != what) {
                    return "a result changed: " + known->second + " " + what;
                }
            }
        }
        return "";
    }

private:
    std::map<int, std::string> positions_;
};

/// A node that follows the journal and lists results while it owns the jobs,
/// with every time-out of its own and no care for others.
class fuzz_node {
public:
    fuzz_node(int number, testing::memory_store& store,
              std::shared_ptr<base::manual_time> time)
        : store_(store), time_(std::move(time)), clock_(time_), ledger_(clock_),
          name_("n" + std::to_string(number)),
          ownership_(clock_, base::node_id(name_), "x", {}, 0.1 * number, 1),
          follower_(store.client(), journal, clock_,
                    [this](base::millis, std::function<void()> f) {
                        later_.push_back(std::move(f));
                    },
                    {},
                    {[this](const auto& changes) {
                         for (const auto& c : changes) {
                             ledger_.apply(c);
                         }
                     },
                     [this](bool up) { ownership_.set_store_reachable(up); }}) {
        follower_.start();
    }

    const job_table& jobs() const { return ledger_; }

    void run_timers() {
        for (const auto& f : std::exchange(later_, {})) {
            f();
        }
    }

    /// Claims or renews, as the product does; `hasty` claims without cause.
    void claim_or_renew(bool hasty) {
        if (appending_ || !follower_.is_loaded()) {
            return;
        }
        const auto step =
            ownership_.next_action(ledger_, follower_.current_as_of());
        const bool mine = ownership_.is_held(ledger_);
        if (step == lease_action::none && (mine || !hasty)) {
            return;
        }
        const auto fence = mine ? ledger_.owner()->record.fencing_token
                                : follower_.next_offset();
        append({{format_key(owner_key{}),
                 encode(owner_record{base::node_id(name_), "x", fence, ++beats_,
                                     false})}});
    }

    /// Plans results of `count` items from `from` on.
    void plan(int from, int count) {
        std::vector<ready_result> results;
        results.reserve(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n) {
            const int item = (from + n) % items;
            results.push_back(
                {job, item, {item_id(std::to_string(item)), {}, "t", {1}, ""}});
        }
        plan_ = plan_commits(ledger_, results, 1000, [this] {
            return name_ + "-" + std::to_string(++names_);
        });
    }

    /// Lists what was planned, perhaps long ago.
    void commit_plan() {
        if (appending_ || plan_.empty() || !ownership_.is_held(ledger_) ||
            !is_plan_current(ledger_, plan_)) {
            return;
        }
        std::vector<store::record> records;
        records.reserve(plan_.size());
        for (const auto& p : plan_) {
            records.push_back(
                {format_key(commit_key{p.job, p.position}), encode(p.commit)});
        }
        append(records);
    }

private:
    void append(const std::vector<store::record>& records) {
        appending_ = true;
        const auto at = follower_.next_offset();
        const auto sent_at = clock_.now();
        store_.client().append(
            journal, records, &at,
            [this, records, sent_at](const store::append_result& r) {
                appending_ = false;
                if (const auto* a = base::value_if(r)) {
                    ownership_.on_renewed();
                    follower_.apply_own_append(a->first, records, sent_at);
                }
            });
    }

    testing::memory_store& store_;
    std::shared_ptr<base::manual_time> time_;
    base::clock clock_;
    job_table ledger_;
    std::string name_;
    owner_lease ownership_;
    std::vector<std::function<void()>> later_;
    store::partition_watcher follower_;
    std::vector<planned_commit> plan_;
    std::int64_t beats_ = 0;
    int names_ = 0;
    bool appending_ = false;
};

/// Plays commands on three nodes. Returns what a reader saw that must not be.
std::string run_commands(const std::vector<testing::fuzz_command>& commands) {
    testing::memory_store store;
    auto time = std::make_shared<base::manual_time>();
    job_header header;
    header.id = job;
    header.item_count = items;
    store.client().append(journal,
                          {{format_key(header_key{job}), encode(header)}},
                          nullptr, [](const auto&) {});
    std::vector<std::unique_ptr<fuzz_node>> nodes;
    nodes.reserve(3);
    for (int n = 0; n < 3; ++n) {
        nodes.push_back(std::make_unique<fuzz_node>(n, store, time));
    }
    reader_oracle oracle;
    for (const auto& c : commands) {
        auto& node = *nodes[static_cast<std::size_t>(c.a) % nodes.size()];
        if (c.kind < 45) {
            store.deliver_next_response();
        } else if (c.kind < 55) {
            node.run_timers();
        } else if (c.kind < 63) {
            time->advance(c.b);
        } else if (c.kind < 72) {
            node.claim_or_renew(c.b < 300);
        } else if (c.kind < 80) {
            node.plan(c.b, 1 + c.c % 4);
        } else if (c.kind < 90) {
            node.commit_plan();
        } else if (c.kind < 96) {
            store.set_append_behavior(
                static_cast<testing::append_behavior>(c.b % 5));
        } else if (c.kind < 97) {
            store.compact(journal.topic);
        } else if (c.kind < 98) {
            store.set_reads_rejected(c.b < 500);
        } else {
            store.apply_late_appends();
        }
        for (const auto& n : nodes) {
            if (auto wrong = oracle.check(n->jobs()); !wrong.empty()) {
                return wrong;
            }
        }
    }
    return "";
}

TEST(owners_fuzz_test, a_reader_never_sees_a_result_change_or_twice) {
    testing::fuzz("owners", 400, run_commands);
}

} // namespace

} // namespace hibiscus::batch
