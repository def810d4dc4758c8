#include "hibiscus/batch/handover.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace hibiscus::batch {

namespace {

class handover_test : public testing::Test {
protected:
    static constexpr base::millis tick_ms = 5;

    /// Advances the time until the next action other than wait.
    handover_action run_until_action(bool is_owner, bool append_in_flight) {
        for (base::millis n = 0; n <= times_.total_timeout; n += tick_ms) {
            const auto action =
                handover_.next_action(is_owner, append_in_flight);
            if (action != handover_action::wait) {
                return action;
            }
            time_->advance(tick_ms);
        }
        return handover_action::wait;
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    handover_times times_;
    handover handover_{base::clock(time_), times_};
};

TEST_F(handover_test, releases_the_jobs_once_all_texts_are_saved) {
    handover_.begin();
    EXPECT_FALSE(handover_.may_release());
    EXPECT_EQ(handover_.next_action(true, false), handover_action::wait);
    handover_.on_texts_saved();
    EXPECT_EQ(handover_.next_action(true, false), handover_action::release);
    EXPECT_EQ(handover_.next_action(true, true), handover_action::wait);
    EXPECT_EQ(handover_.next_action(false, false), handover_action::end);
    EXPECT_EQ(handover_.elapsed(), 0);
}

TEST_F(handover_test, a_save_that_never_ends_does_not_block_the_release) {
    handover_.begin();
    EXPECT_EQ(run_until_action(true, false), handover_action::release);
    EXPECT_EQ(handover_.elapsed(), times_.save_timeout);
}

TEST_F(handover_test, an_append_that_never_ends_does_not_block_the_end) {
    handover_.begin();
    handover_.on_texts_saved();
    EXPECT_EQ(run_until_action(true, true), handover_action::end);
    EXPECT_TRUE(handover_.has_ended());
    EXPECT_EQ(handover_.elapsed(), times_.total_timeout);
}

TEST_F(handover_test, a_rejected_record_is_retried) {
    handover_.begin();
    handover_.on_texts_saved();
    while (run_until_action(true, false) == handover_action::release) {
        handover_.on_record_rejected();
    }
    EXPECT_TRUE(handover_.has_ended());
    EXPECT_EQ(handover_.elapsed(), times_.total_timeout);
    EXPECT_EQ(handover_.attempts(),
              times_.total_timeout / times_.retry_interval);
}

TEST_F(handover_test, waits_for_a_claim_in_flight) {
    // Guards against jobs that stay with a stopped node whose claim succeeded
    // late.
    handover_.begin();
    handover_.on_texts_saved();
    EXPECT_EQ(handover_.next_action(false, true), handover_action::wait);
    EXPECT_EQ(handover_.next_action(true, false), handover_action::release);
}

TEST_F(handover_test, a_process_that_owns_no_jobs_ends_at_once) {
    EXPECT_EQ(handover_.next_action(false, false), handover_action::wait);
    handover_.begin();
    EXPECT_EQ(handover_.next_action(false, false), handover_action::end);
}

} // namespace

} // namespace hibiscus::batch
