#include "hibiscus/store/partition_watcher.hpp"
#include "hibiscus/store/prefix_operations.hpp"
#include "hibiscus/store/value_chunks.hpp"
#include "support/memory_store.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>

namespace hibiscus::store {

namespace {

class partition_watcher_test : public ::testing::Test {
protected:
    partition_watcher_test() {
        watcher_.emplace(
            store_.client(), partition{"t", 0}, base::clock(time_),
            [this](base::millis, std::function<void()> f) {
                scheduled_.push_back(std::move(f));
            },
            watcher_times{},
            watcher_callbacks{
                [this](const auto& changes) { apply(changes); },
                [this](bool up) { reachable_changes_.push_back(up); }});
    }

    void apply(const std::vector<change>& changes) {
        for (const auto& c : changes) {
            if (c.value) {
                view_[c.key] = *c.value;
            } else {
                view_.erase(c.key);
            }
        }
    }

    void append(const std::string& key, const std::string& value) {
        store_.client().append({"t", 0}, {{key, value}}, nullptr,
                               [](const append_result&) {});
    }

    /// Lets the store answer a few calls, and timers run in between.
    void run_rounds(int rounds = 12) {
        for (int n = 0; n < rounds; ++n) {
            time_->advance(10);
            store_.deliver_next_response();
            for (const auto& f : std::exchange(scheduled_, {})) {
                f();
            }
        }
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    testing::memory_store store_;
    std::vector<std::function<void()>> scheduled_;
    std::map<std::string, std::string> view_;
    std::vector<bool> reachable_changes_;
    std::optional<partition_watcher> watcher_;
};

TEST_F(partition_watcher_test, takes_a_snapshot_by_pages_and_then_what_comes) {
    for (const char* key : {"a", "b", "c", "d", "e"}) {
        append(key, "1");
    }
    watcher_->start();
    run_rounds();
    EXPECT_EQ(view_.size(), 5U);
    EXPECT_TRUE(watcher_->is_loaded());
    append("b", "2");
    run_rounds();
    EXPECT_EQ(view_.at("b"), "2");
    EXPECT_EQ(watcher_->next_offset(), 6U);
}

TEST_F(partition_watcher_test, tells_when_its_view_was_last_current) {
    watcher_->start();
    run_rounds();
    const auto before = time_->now();
    run_rounds();
    EXPECT_GE(watcher_->current_as_of(), before - 10);
    store_.set_reads_rejected(true);
    run_rounds();
    const auto lost = time_->now();
    run_rounds();
    EXPECT_LT(watcher_->current_as_of(), lost);
}

TEST_F(partition_watcher_test, goes_on_after_the_history_was_dropped) {
    // The store drops the records that a node has not read yet. The node must
    // not stand still, and must see what was deleted meanwhile.
    append("a", "1");
    append("b", "1");
    watcher_->start();
    run_rounds();
    store_.set_reads_rejected(true);
    run_rounds();
    append("a", "");
    append("c", "3");
    store_.compact("t");
    store_.set_reads_rejected(false);
    run_rounds(30);
    EXPECT_EQ(view_.count("a"), 0U);
    EXPECT_EQ(view_.at("c"), "3");
}

TEST_F(partition_watcher_test,
       a_read_without_records_before_the_end_is_not_current) {
    // Guards against a 404 for a record that stands behind an empty answer.
    log_store hollow = store_.client();
    hollow.read = [this](const partition&, log_offset, base::millis wait,
                         const std::function<void(read_result)>& done) {
        scheduled_.push_back([this, wait, done] {
            time_->advance(wait);
            done(fetched_records{1, {}});
        });
    };
    partition_watcher f(hollow, {"t", 0}, base::clock(time_),
                        [this](base::millis, std::function<void()> g) {
                            scheduled_.push_back(std::move(g));
                        },
                        {}, {[](const auto&) {}, {}});
    f.start();
    run_rounds();
    EXPECT_TRUE(f.is_loaded());
    EXPECT_EQ(f.current_as_of(), 0);
}

TEST_F(partition_watcher_test,
       a_refused_page_does_not_begin_the_snapshot_anew) {
    // Guards against a node that starts beside a store in trouble without end.
    for (const char* key : {"a", "b", "c", "d", "e", "f", "g"}) {
        append(key, "1");
    }
    log_store flaky = store_.client();
    int calls = 0;
    flaky.read_latest = [this,
                         &calls](const partition& p, const std::string& after,
                                 std::function<void(latest_result)> done) {
        if (++calls % 2 == 0) {
            scheduled_.push_back(
                [done = std::move(done)] { done(rejected{503}); });
        } else {
            store_.client().read_latest(p, after, std::move(done));
        }
    };
    partition_watcher f(flaky, {"t", 0}, base::clock(time_),
                        [this](base::millis, std::function<void()> g) {
                            scheduled_.push_back(std::move(g));
                        },
                        {},
                        {[this](const auto& changes) { apply(changes); }, {}});
    f.start();
    run_rounds(100);
    EXPECT_TRUE(f.is_loaded());
    EXPECT_EQ(view_.size(), 7U);
}

TEST_F(partition_watcher_test,
       a_page_without_records_before_the_last_one_ends_nothing) {
    // Guards against a 404 for what stands behind an empty page.
    for (const char* key : {"b/1", "b/2", "b/3", "b/4"}) {
        append(key, "1");
    }
    log_store hollow = store_.client();
    int calls = 0;
    hollow.read_latest = [this,
                          &calls](const partition& p, const std::string& after,
                                  std::function<void(latest_result)> done) {
        if (++calls % 2 == 0) {
            scheduled_.push_back([done = std::move(done)] {
                done(latest_page{{}, true, 4});
            });
        } else {
            store_.client().read_latest(p, after, std::move(done));
        }
    };
    partition_watcher f(hollow, {"t", 0}, base::clock(time_),
                        [this](base::millis, std::function<void()> g) {
                            scheduled_.push_back(std::move(g));
                        },
                        {},
                        {[this](const auto& changes) { apply(changes); }, {}});
    f.start();
    run_rounds(40);
    EXPECT_EQ(view_.size(), 4U);
    calls = 0;
    std::optional<std::vector<record>> found{std::vector<record>()};
    read_prefix(hollow, {"t", 0}, "b/", "b/", 1000,
                [&](auto records) { found = std::move(records); });
    run_rounds(40);
    EXPECT_FALSE(found);
    calls = 1;
    std::optional<bool> gone;
    erase_prefix(hollow, {"t", 0}, "b/", [&](bool all) { gone = all; });
    run_rounds(40);
    EXPECT_EQ(gone, false);
}

TEST_F(partition_watcher_test,
       tells_the_loss_of_the_store_and_its_return_once) {
    watcher_->start();
    run_rounds();
    store_.set_reads_rejected(true);
    run_rounds();
    store_.set_reads_rejected(false);
    run_rounds();
    EXPECT_EQ(reachable_changes_, (std::vector<bool>{true, false, true}));
}

TEST_F(partition_watcher_test,
       takes_in_what_its_owner_appended_only_at_its_end) {
    append("a", "1");
    watcher_->start();
    run_rounds();
    watcher_->apply_own_append(1, {{"b", "1"}}, 0);
    EXPECT_EQ(view_.at("b"), "1");
    EXPECT_EQ(watcher_->next_offset(), 2U);
    // Somebody else's record lies between: what follows must wait for it.
    watcher_->apply_own_append(3, {{"c", "1"}}, 0);
    EXPECT_EQ(view_.count("c"), 0U);
}

TEST_F(partition_watcher_test,
       an_append_at_its_end_shows_that_the_view_is_current) {
    // Guards against an owner that renews while its reads hang and begins no
    // item.
    append("a", "1");
    watcher_->start();
    run_rounds();
    store_.set_reads_rejected(true);
    run_rounds();
    time_->advance(5000);
    const auto sent_at = time_->now();
    ASSERT_LT(watcher_->current_as_of(), sent_at);
    time_->advance(10);
    watcher_->apply_own_append(3, {{"c", "1"}}, sent_at);
    EXPECT_LT(watcher_->current_as_of(), sent_at);
    watcher_->apply_own_append(1, {{"b", "1"}}, sent_at);
    EXPECT_EQ(watcher_->current_as_of(), sent_at);
}

TEST_F(partition_watcher_test, a_prefix_is_read_over_pages_and_no_further) {
    for (const char* key : {"a/1", "b/1", "b/2", "b/3", "b/4", "c/1"}) {
        append(key, "x");
    }
    std::optional<std::vector<record>> found;
    read_prefix(store_.client(), {"t", 0}, "b/", "b/", 1000,
                [&](auto records) { found = std::move(records); });
    run_rounds();
    ASSERT_TRUE(found);
    ASSERT_EQ(found->size(), 4U);
    EXPECT_EQ(found->back().key, "b/4");
}

TEST_F(partition_watcher_test, a_prefix_is_erased_over_pages_and_nothing_else) {
    for (const char* key : {"a/1", "b/1", "b/2", "b/3", "b/4", "c/1"}) {
        append(key, "x");
    }
    std::optional<bool> gone;
    erase_prefix(store_.client(), {"t", 0}, "b/",
                 [&](bool all) { gone = all; });
    run_rounds(40);
    EXPECT_EQ(gone, true);
    watcher_->start();
    run_rounds(40);
    EXPECT_EQ(view_.size(), 2U);
    EXPECT_EQ(view_.count("a/1") + view_.count("c/1"), 2U);
}

TEST_F(partition_watcher_test, an_erasure_that_the_store_refuses_is_said) {
    // The store goes away while a job is erased. Its header must stay in the
    // journal then, or nobody would ever find the rest.
    append("b/1", "x");
    run_rounds(2);
    store_.set_append_behavior(testing::append_behavior::rejected);
    std::optional<bool> gone;
    erase_prefix(store_.client(), {"t", 0}, "b/",
                 [&](bool all) { gone = all; });
    run_rounds(10);
    EXPECT_EQ(gone, false);
}

TEST_F(partition_watcher_test, a_prefix_is_read_to_the_end_of_a_large_value) {
    // A result larger than a record lies in pieces. A reader that stopped at
    // its bound in the middle of them would find nothing it can hand out, each
    // time it is asked.
    const append_limits small{1024, 4096};
    for (const auto& a : split_into_appends(
             {{"b/1", std::string(5000, 'x')}, {"b/2", "y"}}, small)) {
        for (const auto& r : a) {
            append(r.key, r.value);
        }
    }
    std::optional<std::vector<record>> found;
    read_prefix(store_.client(), {"t", 0}, "b/", "b/", 1000,
                [&](auto records) { found = std::move(records); });
    run_rounds(40);
    ASSERT_TRUE(found);
    ASSERT_EQ(found->size(), 1U);
    EXPECT_EQ(found->front().key, "b/1");
    EXPECT_EQ(found->front().value, std::string(5000, 'x'));
}

} // namespace

} // namespace hibiscus::store
