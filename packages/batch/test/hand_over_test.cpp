#include "hibiscus/batch/hand_over.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace hibiscus::batch {

namespace {

class hand_over_test : public testing::Test {
protected:
    static constexpr base::millis tick_ms = 5;

    /// Goes on until the next step that is not to wait.
    hand_over_step run(bool owns, bool appending) {
        for (base::millis n = 0; n <= times_.total; n += tick_ms) {
            const auto step = plan_.next(owns, appending);
            if (step != hand_over_step::wait) {
                return step;
            }
            time_->advance(tick_ms);
        }
        return hand_over_step::wait;
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    hand_over_times times_;
    hand_over plan_{base::clock(time_), times_};
};

TEST_F(hand_over_test, the_jobs_are_given_up_once_all_is_saved) {
    plan_.begin();
    EXPECT_FALSE(plan_.is_due());
    EXPECT_EQ(plan_.next(true, false), hand_over_step::wait);
    plan_.saved();
    EXPECT_EQ(plan_.next(true, false), hand_over_step::give_up);
    EXPECT_EQ(plan_.next(true, true), hand_over_step::wait);
    EXPECT_EQ(plan_.next(false, false), hand_over_step::end);
    EXPECT_EQ(plan_.lasted(), 0);
}

TEST_F(hand_over_test, saves_without_an_end_do_not_keep_the_jobs) {
    plan_.begin();
    EXPECT_EQ(run(true, false), hand_over_step::give_up);
    EXPECT_EQ(plan_.lasted(), times_.save);
}

TEST_F(hand_over_test, an_append_without_an_end_does_not_keep_the_jobs) {
    plan_.begin();
    plan_.saved();
    EXPECT_EQ(run(true, true), hand_over_step::end);
    EXPECT_TRUE(plan_.ended());
    EXPECT_EQ(plan_.lasted(), times_.total);
}

TEST_F(hand_over_test, a_record_that_is_refused_is_tried_again) {
    plan_.begin();
    plan_.saved();
    while (run(true, false) == hand_over_step::give_up) {
        plan_.refused();
    }
    EXPECT_TRUE(plan_.ended());
    EXPECT_EQ(plan_.lasted(), times_.total);
    EXPECT_EQ(plan_.tries(), times_.total / times_.retry);
}

TEST_F(hand_over_test, a_claim_under_way_is_waited_for) {
    // Guards against jobs that stay with a stopped node whose claim came late.
    plan_.begin();
    plan_.saved();
    EXPECT_EQ(plan_.next(false, true), hand_over_step::wait);
    EXPECT_EQ(plan_.next(true, false), hand_over_step::give_up);
}

TEST_F(hand_over_test, a_process_that_owns_nothing_is_done_at_once) {
    EXPECT_EQ(plan_.next(false, false), hand_over_step::wait);
    plan_.begin();
    EXPECT_EQ(plan_.next(false, false), hand_over_step::end);
}

} // namespace

} // namespace hibiscus::batch
