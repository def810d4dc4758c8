#include "hibiscus/batch/commit_plan.hpp"

#include <gtest/gtest.h>

namespace hibiscus::batch {

namespace {

class commit_plan_test : public testing::Test {
protected:
    commit_plan_test() {
        job_header h;
        h.id = job_;
        h.item_count = 10;
        put(header_key{job_}, encode(h));
    }

    void put(const journal_key& key, const std::string& value) {
        ledger_.apply({format_key(key), value, at_++});
    }

    void list(const std::vector<planned_commit>& plan) {
        for (const auto& p : plan) {
            put(commit_key{p.job, p.position}, encode(p.commit));
        }
    }

    std::vector<planned_commit> plan(const std::vector<int>& items,
                                     std::size_t bytes = 1000) {
        std::vector<ready_result> results;
        results.reserve(items.size());
        for (const int n : items) {
            results.push_back(
                {job_, n, {item_id(std::to_string(n)), {}, "text", {1}, "s"}});
        }
        return plan_commits(ledger_, results, bytes,
                            [this] { return std::to_string(++names_); });
    }

    const job_id job_{"j"};
    job_table ledger_{base::clock(std::make_shared<base::manual_time>())};
    store::log_offset at_ = 0;
    int names_ = 0;
};

TEST_F(commit_plan_test, follows_on_what_is_listed) {
    list(plan({3, 1}));
    const auto next = plan({1, 2});
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].position, 2);
    ASSERT_EQ(next[0].commit.rows.size(), 1U);
    EXPECT_EQ(next[0].commit.rows[0].item_index, 2);
    EXPECT_EQ(decode_results(next[0].texts_record.value)->front().id,
              item_id("2"));
}

TEST_F(commit_plan_test, begins_a_record_where_one_is_full) {
    const auto plans = plan({0, 1, 2}, 5);
    ASSERT_EQ(plans.size(), 2U);
    EXPECT_EQ(plans[1].position, 2);
    EXPECT_TRUE(is_plan_current(ledger_, plans));
}

// The store refuses the partition with the texts of one job for some seconds
// and serves all others. The results of the other trainers must not wait.
TEST_F(commit_plan_test, a_job_whose_texts_are_not_stored_holds_up_no_other) {
    const job_id other("k");
    job_header h;
    h.id = other;
    h.item_count = 10;
    put(header_key{other}, encode(h));
    auto plans = plan({0, 1, 2}, 5);
    const auto first = plans.size();
    plans.push_back(plans.front());
    plans.back().job = other;
    const auto left = exclude_jobs(plans, {job_});
    EXPECT_EQ(first, 2U);
    ASSERT_EQ(left.size(), 1U);
    EXPECT_EQ(left[0].job, other);
    EXPECT_TRUE(is_plan_current(ledger_, left));
}

TEST_F(commit_plan_test, does_not_list_again_what_a_lost_answer_had_listed) {
    // The answer to an append is lost, so the owner plans the same items
    // again; then it reads that the append was carried out after all. Listed
    // a second time, a result that was read would change its content, or the
    // positions behind it could not be read any more.
    const auto first = plan({0, 1, 2});
    const auto again = plan({0, 1});
    list(first);
    EXPECT_FALSE(is_plan_current(ledger_, again));
    list(plan({3}));
    EXPECT_EQ(ledger_.find(job_)->next_position(), 4);
}

TEST_F(commit_plan_test, a_plan_for_another_position_does_not_fit) {
    const auto late = plan({5});
    list(plan({0, 1}));
    EXPECT_FALSE(is_plan_current(ledger_, late));
}

} // namespace

} // namespace hibiscus::batch
