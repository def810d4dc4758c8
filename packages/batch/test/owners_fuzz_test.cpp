#include "hibiscus/batch/listing_plan.hpp"
#include "hibiscus/batch/ownership.hpp"
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
    std::string look(const ledger& l) {
        const auto* row = l.find(job);
        if (row == nullptr) {
            return "";
        }
        int position = 0;
        std::set<int> seen;
        for (const auto& [first, listing] : row->listings) {
            if (first != position) {
                return "a gap or an overlap at " + std::to_string(first);
            }
            for (const auto& r : listing.rows) {
                if (!seen.insert(r.item).second) {
                    return "item listed twice: " + std::to_string(r.item);
                }
                const auto what = listing.texts + "/" + std::to_string(r.item);
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
          follower_(store.port(), journal, clock_,
                    [this](base::millis, std::function<void()> f) {
                        later_.push_back(std::move(f));
                    },
                    {},
                    {[this](const auto& changes) {
                         for (const auto& c : changes) {
                             ledger_.apply(c);
                         }
                     },
                     [this](bool up) { ownership_.contact(up); }}) {
        follower_.start();
    }

    const ledger& view() const { return ledger_; }

    void run_timers() {
        for (const auto& f : std::exchange(later_, {})) {
            f();
        }
    }

    /// Claims or renews, as the product does; `hasty` claims without cause.
    void own(bool hasty) {
        if (appending_ || !follower_.loaded()) {
            return;
        }
        const auto step = ownership_.next(ledger_, follower_.current_at());
        const bool mine = ownership_.mine(ledger_);
        if (step == ownership_step::nothing && (mine || !hasty)) {
            return;
        }
        const auto fence =
            mine ? ledger_.owner()->record.fence : follower_.next();
        append({{to_text(owner_key{}),
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
        plan_ = plan_listings(ledger_, results, 1000, [this] {
            return name_ + "-" + std::to_string(++names_);
        });
    }

    /// Lists what was planned, perhaps long ago.
    void list() {
        if (appending_ || plan_.empty() || !ownership_.mine(ledger_) ||
            !still_fits(ledger_, plan_)) {
            return;
        }
        std::vector<store::record> records;
        records.reserve(plan_.size());
        for (const auto& p : plan_) {
            records.push_back(
                {to_text(listing_key{p.job, p.position}), encode(p.content)});
        }
        append(records);
    }

private:
    void append(const std::vector<store::record>& records) {
        appending_ = true;
        const auto at = follower_.next();
        const auto sent_at = clock_.now();
        store_.port().append(
            journal, records, &at,
            [this, records, sent_at](const store::append_result& r) {
                appending_ = false;
                if (const auto* a = base::value_if(r)) {
                    ownership_.renewed();
                    follower_.appended_here(a->first, records, sent_at);
                }
            });
    }

    testing::memory_store& store_;
    std::shared_ptr<base::manual_time> time_;
    base::clock clock_;
    ledger ledger_;
    std::string name_;
    ownership ownership_;
    std::vector<std::function<void()>> later_;
    store::follower follower_;
    std::vector<planned_listing> plan_;
    std::int64_t beats_ = 0;
    int names_ = 0;
    bool appending_ = false;
};

/// Plays commands on three nodes. Returns what a reader saw that must not be.
std::string play(const std::vector<testing::fuzz_command>& commands) {
    testing::memory_store store;
    auto time = std::make_shared<base::manual_time>();
    job_header header;
    header.id = job;
    header.items = items;
    store.port().append(journal, {{to_text(header_key{job}), encode(header)}},
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
            store.deliver();
        } else if (c.kind < 55) {
            node.run_timers();
        } else if (c.kind < 63) {
            time->advance(c.b);
        } else if (c.kind < 72) {
            node.own(c.b < 300);
        } else if (c.kind < 80) {
            node.plan(c.b, 1 + c.c % 4);
        } else if (c.kind < 90) {
            node.list();
        } else if (c.kind < 96) {
            store.set_fate(static_cast<testing::append_fate>(c.b % 5));
        } else if (c.kind < 97) {
            store.compact(journal.topic);
        } else if (c.kind < 98) {
            store.set_refusing(c.b < 500);
        } else {
            store.run_late();
        }
        for (const auto& n : nodes) {
            if (auto wrong = oracle.look(n->view()); !wrong.empty()) {
                return wrong;
            }
        }
    }
    return "";
}

TEST(owners_fuzz_test, a_reader_never_sees_a_result_change_or_twice) {
    testing::fuzz("owners", 400, play);
}

} // namespace

} // namespace hibiscus::batch
