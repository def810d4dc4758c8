#include "hibiscus/batch/step_plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace hibiscus::batch {

namespace {

const samplers::service_name engines("engines");

/// Plays ten slots, so that 75,000 ms of work fit before a target.
class step_plan_test : public testing::Test {
protected:
    open_job& add_job(const std::string& model, int step,
                      const std::vector<double>& group_work, int required = 0) {
        open_job job;
        job.id = job_id(model + std::to_string(step));
        job.service = engines;
        job.trainer = {engines, "", model};
        job.target_at = now_ + 7500;
        job.required_groups = required;
        for (const double work : group_work) {
            open_group group;
            group.index = static_cast<int>(job.groups.size());
            group.first_item =
                item_id(job.id.str() + "/" + std::to_string(group.index));
            group.work_ms = work;
            group.longest_ms = work / 16;
            job.groups.push_back(group);
        }
        jobs_.push_back(job);
        return jobs_.back();
    }

    void update(base::millis elapsed = 100) {
        now_ += elapsed;
        planner_.update(now_, jobs_, {{engines, 10}});
    }

    /// Returns the indices of a job's groups in the planned order.
    std::vector<int> order(const open_job& job) const {
        std::vector<std::pair<group_rank, int>> sorted;
        for (const auto& [group, rank] : *planner_.ranks(job.id)) {
            sorted.emplace_back(rank, group);
        }
        std::sort(sorted.begin(), sorted.end());
        std::vector<int> groups;
        groups.reserve(sorted.size());
        for (const auto& row : sorted) {
            groups.push_back(row.second);
        }
        return groups;
    }

    trainer_share share(const std::string& model) const {
        return planner_.shortages().at(0).trainers.at({engines, "", model});
    }

    /// Returns the part of its wanted groups that a trainer is given.
    double given_part(const std::string& model) const {
        const auto s = share(model);
        return static_cast<double>(s.given_groups) / s.wanted_groups;
    }

    base::millis now_ = 1000;
    std::vector<open_job> jobs_;
    step_planner planner_;
};

TEST_F(step_plan_test, work_that_fits_keeps_its_order) {
    const auto job = add_job("m", 1, {20000, 20000, 30000});
    update(0);
    EXPECT_EQ(planner_.ranks(job.id), nullptr);
    EXPECT_TRUE(planner_.shortages().empty());
}

TEST_F(step_plan_test, cheap_and_begun_groups_are_finished_first) {
    auto& job = add_job("m", 1, {60000, 20000, 50000, 30000});
    job.groups[2].has_begun = true;
    update(0);
    EXPECT_EQ(share("m").given_groups, 2);
    EXPECT_EQ(order(job), (std::vector<int>{1, 2, 3, 0}));
}

TEST_F(step_plan_test, groups_that_cannot_be_in_time_come_after_all_others) {
    auto& job = add_job("m", 1, {20000, 20000, 90000});
    job.groups[0].longest_ms = 20000;
    update(0);
    EXPECT_EQ(order(job), (std::vector<int>{1, 2, 0}));
}

TEST_F(step_plan_test, groups_that_the_trainer_does_not_wait_for_come_last) {
    auto& job = add_job("m", 1, {80000, 20000, 30000, 40000}, 2);
    job.groups[0].is_resubmitted = true;
    update(0);
    // The trainer waits for the resubmitted group and one other.
    EXPECT_EQ(share("m").wanted_groups, 2);
    EXPECT_EQ(order(job), (std::vector<int>{1, 0, 2, 3}));
}

TEST_F(step_plan_test, a_chosen_group_stays_chosen) {
    const auto first = add_job("m", 1, {70000, 80000});
    update(0);
    const auto second = add_job("m", 2, {30000, 90000});
    update();
    EXPECT_LT(planner_.ranks(first.id)->at(0),
              planner_.ranks(second.id)->at(0));
}

TEST_F(step_plan_test, an_old_step_does_not_delay_the_next_one) {
    const auto old = add_job("m", 1, {40000, 40000, 40000});
    now_ += 7600;
    const auto next = add_job("m", 2, {30000, 30000});
    update(0);
    EXPECT_EQ(share("m").given_groups, 2);
    EXPECT_LT(planner_.ranks(next.id)->at(1), planner_.ranks(old.id)->at(0));
}

TEST_F(step_plan_test, a_large_group_is_not_postponed_for_ever) {
    add_job("m", 1, {70000, 30000, 30000});
    const auto large = jobs_[0].groups[0];
    update(0);
    EXPECT_EQ(share("m").given_groups, 2);
    for (int step = 2; step < 4; ++step) {
        now_ += 4000;
        jobs_.clear();
        add_job("m", step, {1, 45000, 45000});
        jobs_[0].groups[0] = large;
        update(0);
    }
    const auto& ranks = *planner_.ranks(jobs_[0].id);
    EXPECT_EQ(ranks.at(0), in_time_rank);
    EXPECT_GT(ranks.at(1), in_time_rank);
}

TEST_F(step_plan_test, trainers_share_by_the_size_of_their_steps) {
    add_job("small", 1, std::vector<double>(12, 4000));
    add_job("wide", 1, std::vector<double>(24, 4000));
    add_job("deep", 1, std::vector<double>(12, 8000));
    update(0);
    for (const char* model : {"small", "wide", "deep"}) {
        EXPECT_NEAR(given_part(model), 0.31, 0.08) << model;
    }
}

TEST_F(step_plan_test, a_step_of_eight_items_is_served_beside_one_of_2000) {
    add_job("huge", 1, std::vector<double>(250, 8000));
    add_job("tiny", 1, {8000});
    update(0);
    EXPECT_EQ(share("tiny").given_groups, 1);
    EXPECT_GE(share("huge").given_groups, 7);
    EXPECT_EQ(planner_.shortages()[0].victim(),
              (trainer_key{engines, "", "huge"}));
}

TEST_F(step_plan_test, a_trainer_that_was_served_less_is_served_first) {
    add_job("a", 1, std::vector<double>(12, 8000));
    add_job("b", 1, std::vector<double>(12, 8000));
    jobs_[0].groups[0].running_items = 8;
    update(0);
    update(3000);
    EXPECT_GT(share("b").given_groups, share("a").given_groups);
}

TEST_F(step_plan_test, weights_divide_the_room) {
    add_job("urgent", 1, std::vector<double>(24, 4000));
    add_job("patient", 1, std::vector<double>(24, 4000)).weight = 0.5;
    update(0);
    EXPECT_NEAR(share("urgent").given_groups, 12, 1);
    EXPECT_NEAR(share("patient").given_groups, 6, 1);
}

TEST_F(step_plan_test, a_shortage_ends_once_the_work_fits_for_a_while) {
    add_job("m", 1, {60000, 60000});
    update(0);
    jobs_.clear();
    update();
    EXPECT_EQ(planner_.shortages().size(), 1U);
    update(2000);
    EXPECT_TRUE(planner_.shortages().empty());
    EXPECT_EQ(planner_.shortage_count(), 1U);
}

} // namespace

} // namespace hibiscus::batch
