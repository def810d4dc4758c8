#include "hibiscus/batch/work_meter.hpp"

#include <gtest/gtest.h>

namespace hibiscus::batch {

namespace {

const samplers::service_name service("s");
const trainer_key trainer{service, "w", "m"};

/// A trainer whose steps have 100 items of 10 events and 400 ms each, which are
/// 40 seconds of work, and a target time of 7.5 s.
class work_meter_test : public testing::Test {
protected:
    void add_step(const trainer_key& key, base::millis at, int items = 100) {
        last_job_ = job_id("j" + std::to_string(++job_count_));
        meter_.on_step_added(key, last_job_, {at, at, 7500, items * 500});
    }

    void add_texts(const trainer_key& key, int count, base::millis ms = 400) {
        for (int n = 0; n < count; ++n) {
            meter_.on_text(key, {500, 10, 10, ms});
        }
    }

    double slots(base::millis now, base::millis load_ms = 0) {
        return meter_.demand(service, load_ms, now)->slots;
    }

    work_meter meter_;
    job_id last_job_;
    int job_count_ = 0;
};

TEST_F(work_meter_test, the_first_step_shows_the_demand) {
    EXPECT_FALSE(meter_.demand(service, 0, 0));
    add_step(trainer, 1000);
    EXPECT_FALSE(meter_.demand(service, 0, 1000));
    add_texts(trainer, 20);
    // Three quarters of the target time less the last run.
    EXPECT_NEAR(slots(2000), 40000 / 5225.0, 0.1);
    EXPECT_NEAR(slots(2000, 1100), 40000 / 4125.0, 0.1);
    EXPECT_TRUE(meter_.demand(service, 0, 2000)->is_complete);
}

TEST_F(work_meter_test, steps_that_overlap_need_more_slots) {
    for (int n = 0; n < 4; ++n) {
        add_step(trainer, 1000 + 2000 * n);
    }
    add_texts(trainer, 20);
    EXPECT_NEAR(slots(8000), 20, 0.1);
}

// Guards against a demand that falls because the trainer is held up.
TEST_F(work_meter_test, late_steps_do_not_lower_the_demand) {
    for (const int at : {1000, 5000, 17000, 29000}) {
        add_step(trainer, at);
    }
    add_texts(trainer, 20);
    EXPECT_NEAR(slots(30000), 10, 0.1);
}

// Guards against orders in answer to a few servers that turn slow.
TEST_F(work_meter_test, single_slow_servers_do_not_count) {
    add_step(trainer, 1000);
    add_texts(trainer, 80);
    add_texts(trainer, 20, 4000);
    EXPECT_NEAR(slots(2000), 40000 / 5225.0, 0.1);
}

// Guards against a new owner that takes all steps for ones that came at once.
TEST_F(work_meter_test, steps_that_are_first_seen_together_did_not_come_so) {
    for (int n = 0; n < 4; ++n) {
        meter_.on_step_added(trainer, job_id(std::to_string(n)),
                             {1000 + 5 * n, 1000 + 4000 * n, 7500, 50000});
    }
    add_texts(trainer, 20);
    EXPECT_NEAR(slots(2000), 10, 0.1);
}

TEST_F(work_meter_test, steps_without_a_target_are_not_measured) {
    meter_.on_step_added(trainer, job_id("j"), {1000, 1000, 0, 50000});
    add_texts(trainer, 20);
    EXPECT_FALSE(meter_.demand(service, 0, 2000));
}

TEST_F(work_meter_test, trainers_add_up_once_each_is_measured) {
    const trainer_key other{service, "w", "other"};
    add_step(trainer, 1000);
    add_texts(trainer, 20);
    add_step(other, 2000, 200);
    EXPECT_FALSE(meter_.demand(service, 0, 3000)->is_complete);
    add_texts(other, 20);
    EXPECT_TRUE(meter_.demand(service, 0, 3000)->is_complete);
    EXPECT_NEAR(slots(3000), 3 * 40000 / 5225.0, 0.1);
}

TEST_F(work_meter_test, a_trainer_that_is_gone_needs_nothing) {
    add_step(trainer, 1000);
    add_texts(trainer, 20);
    EXPECT_GT(slots(100000), 0);
    meter_.on_step_removed(last_job_);
    EXPECT_GT(slots(30000), 0);
    EXPECT_EQ(slots(100000), 0);
    meter_.forget_idle(700000);
    EXPECT_FALSE(meter_.demand(service, 0, 700000));
}

} // namespace

} // namespace hibiscus::batch
