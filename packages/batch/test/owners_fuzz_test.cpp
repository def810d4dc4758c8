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
constexpr int item_count = 12;
const store::partition journal{"journal", 0};

/// Records what readers at any node saw at each position. This must never
/// change.
class reader_oracle {
public:
    /// Reads a job table as a reader would. Returns a violation, or "".
    std::string find_violation(const job_table& jobs) {
        const auto* row = jobs.find(job);
        if (row == nullptr) {
            return "";
        }
        int position = 0;
        std::set<int> item_indices;
        for (const auto& [first, commit] : row->commits) {
            if (first != position) {
                return "gap or overlap at position " + std::to_string(first);
            }
            for (const auto& r : commit.rows) {
                if (!item_indices.insert(r.item_index).second) {
                    return "item committed twice: " +
                           std::to_string(r.item_index);
                }
                const auto content =
                    commit.texts_name + "/" + std::to_string(r.item_index);
                const auto inserted =
                    positions_.emplace(position++, content).first;
                if (inserted->second != content) {
                    return "a result changed: " + inserted->second + " " +
                           content;
                }
            }
        }
        return "";
    }

private:
    std::map<int, std::string> positions_;
};

/// A node that watches the journal and commits results while it owns the jobs.
/// Its timers fire at any time, and it does not coordinate with other nodes.
class fuzz_node {
public:
    fuzz_node(int number, testing::memory_store& store,
              std::shared_ptr<base::manual_time> time)
        : store_(store), time_(std::move(time)), clock_(time_), jobs_(clock_),
          name_("n" + std::to_string(number)),
          lease_(clock_, base::node_id(name_), "x", {}, 0.1 * number, 1),
          watcher_(store.client(), journal, clock_,
                   [this](base::millis, std::function<void()> f) {
                       timers_.push_back(std::move(f));
                   },
                   {},
                   {[this](const auto& changes) {
                        for (const auto& c : changes) {
                            jobs_.apply(c);
                        }
                    },
                    [this](bool reachable) {
                        lease_.set_store_reachable(reachable);
                    }}) {
        watcher_.start();
    }

    const job_table& jobs() const { return jobs_; }

    void run_timers() {
        for (const auto& f : std::exchange(timers_, {})) {
            f();
        }
    }

    /// Appends the owner record if the lease asks for a claim or a renewal.
    /// With `force_claim` a node that is not the owner claims even if the lease
    /// does not ask for it.
    void claim_or_renew(bool force_claim) {
        if (append_in_flight_ || !watcher_.is_loaded()) {
            return;
        }
        const auto action = lease_.next_action(jobs_, watcher_.current_as_of());
        const bool is_owner = lease_.is_held(jobs_);
        if (action == lease_action::none && (is_owner || !force_claim)) {
            return;
        }
        const auto fencing_token = is_owner
                                       ? jobs_.owner()->record.fencing_token
                                       : watcher_.next_offset();
        append({{format_key(owner_key{}),
                 encode(owner_record{base::node_id(name_), "x", fencing_token,
                                     ++renewal_count_, false})}});
    }

    /// Plans a commit of `count` results, starting with item `first`.
    void plan(int first, int count) {
        std::vector<ready_result> results;
        results.reserve(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n) {
            const int item = (first + n) % item_count;
            results.push_back(
                {job, item, {item_id(std::to_string(item)), {}, "t", {1}, ""}});
        }
        plan_ = plan_commits(jobs_, results, 1000, [this] {
            return name_ + "-" + std::to_string(++name_count_);
        });
    }

    /// Commits the planned results; the plan may be stale.
    void commit_plan() {
        if (append_in_flight_ || plan_.empty() || !lease_.is_held(jobs_) ||
            !is_plan_current(jobs_, plan_)) {
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
        append_in_flight_ = true;
        const auto expected_end = watcher_.next_offset();
        const auto sent_at = clock_.now();
        store_.client().append(
            journal, records, &expected_end,
            [this, records, sent_at](const store::append_result& r) {
                append_in_flight_ = false;
                if (const auto* a = base::value_if(r)) {
                    lease_.on_renewed();
                    watcher_.apply_own_append(a->first, records, sent_at);
                }
            });
    }

    testing::memory_store& store_;
    std::shared_ptr<base::manual_time> time_;
    base::clock clock_;
    job_table jobs_;
    std::string name_;
    owner_lease lease_;
    std::vector<std::function<void()>> timers_;
    store::partition_watcher watcher_;
    std::vector<planned_commit> plan_;
    std::int64_t renewal_count_ = 0;
    int name_count_ = 0;
    bool append_in_flight_ = false;
};

/// Applies commands to three nodes. Returns a violation that a reader saw, or
/// "".
std::string run_commands(const std::vector<testing::fuzz_command>& commands) {
    testing::memory_store store;
    auto time = std::make_shared<base::manual_time>();
    job_header header;
    header.id = job;
    header.item_count = item_count;
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
            if (auto violation = oracle.find_violation(n->jobs());
                !violation.empty()) {
                return violation;
            }
        }
    }
    return "";
}

TEST(owners_fuzz_test, readers_never_see_a_changed_or_duplicate_result) {
    testing::fuzz("owners", 400, run_commands);
}

} // namespace

} // namespace hibiscus::batch
