#include "hibiscus/batch/handover.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace hibiscus::batch {

namespace {

class handover_test : public testing::Test {
protected:
    static constexpr base::millis tick_ms = 5;

    /// Goes on until the next step that is not to wait.
    handover_action run(bool owns, bool appending) {
        for (base::millis n = 0; n <= times_.total_timeout; n += tick_ms) {
            const auto step = plan_.next_action(owns, appending);
            if (step != handover_action::wait) {
                return step;
            }
            time_->advance(tick_ms);
        }
        return handover_action::wait;
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    handover_times times_;
    handover plan_{base::clock(time_), times_};
};

TEST_F(handover_test, the_jobs_are_given_up_once_all_is_saved) {
    plan_.begin();
    EXPECT_FALSE(plan_.may_release());
    EXPECT_EQ(plan_.next_action(true, false), handover_action::wait);
    plan_.on_texts_saved();
    EXPECT_EQ(plan_.next_action(true, false), handover_action::release);
    EXPECT_EQ(plan_.next_action(true, true), handover_action::wait);
    EXPECT_EQ(plan_.next_action(false, false), handover_action::end);
    EXPECT_EQ(plan_.elapsed(), 0);
}

TEST_F(handover_test, saves_without_an_end_do_not_keep_the_jobs) {
    plan_.begin();
    EXPECT_EQ(run(true, false), handover_action::release);
    EXPECT_EQ(plan_.elapsed(), times_.save_timeout);
}

TEST_F(handover_test, an_append_without_an_end_does_not_keep_the_jobs) {
    plan_.begin();
    plan_.on_texts_saved();
    EXPECT_EQ(run(true, true), handover_action::end);
    EXPECT_TRUE(plan_.has_ended());
    EXPECT_EQ(plan_.elapsed(), times_.total_timeout);
}

TEST_F(handover_test, a_record_that_is_refused_is_tried_again) {
    plan_.begin();
    plan_.on_texts_saved();
    while (run(true, false) == handover_action::release) {
        plan_.on_record_rejected();
    }
    EXPECT_TRUE(plan_.has_ended());
    EXPECT_EQ(plan_.elapsed(), times_.total_timeout);
    EXPECT_EQ(plan_.attempts(), times_.total_timeout / times_.retry_interval);
}

TEST_F(handover_test, a_claim_under_way_is_waited_for) {
    // Guards against jobs that stay with a stopped node whose claim came late.
    plan_.begin();
    plan_.on_texts_saved();
    EXPECT_EQ(plan_.next_action(false, true), handover_action::wait);
    EXPECT_EQ(plan_.next_action(true, false), handover_action::release);
}

TEST_F(handover_test, a_process_that_owns_nothing_is_done_at_once) {
    EXPECT_EQ(plan_.next_action(false, false), handover_action::wait);
    plan_.begin();
    EXPECT_EQ(plan_.next_action(false, false), handover_action::end);
}

} // namespace

} // namespace hibiscus::batch
