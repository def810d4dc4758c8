#include "hibiscus/admission/estimates.hpp"

#include <gtest/gtest.h>

namespace hibiscus::admission {
namespace {

TEST(usual_time_test, waits_in_queues_do_not_change_it) {
    usual_time usual;
    for (int n = 0; n < 20; ++n) {
        usual.add_sample(100);
    }
    for (int n = 0; n < 20; ++n) {
        usual.add_sample(1000, true);
    }
    EXPECT_DOUBLE_EQ(usual.value(0), 100);
    EXPECT_TRUE(usual.is_slow(1000));
}

TEST(usual_time_test, follows_the_mean_of_uneven_responses) {
    usual_time usual;
    for (int n = 0; n < 200; ++n) {
        usual.add_sample(n % 2 == 0 ? 200 : 600);
    }
    EXPECT_NEAR(usual.value(0), 400, 40);
}

TEST(usual_time_test, first_sample_from_a_queue_is_corrected) {
    usual_time usual;
    usual.add_sample(1600);
    for (int n = 0; n < 15; ++n) {
        usual.add_sample(400);
    }
    EXPECT_LT(usual.value(0), 550);
}

TEST(room_estimate_test, shrinks_with_rejections_and_recovers) {
    room_estimate room;
    base::millis now = 0;
    for (; now < 3000; now += 100) {
        now % 200 == 0 ? room.on_rejected(now) : room.on_response(false, now);
        room.update(now);
    }
    EXPECT_LT(room.factor(), 0.7);
    for (; now < 33000; now += 100) {
        room.on_response(false, now);
        room.update(now);
    }
    EXPECT_DOUBLE_EQ(room.factor(), 1);
}

TEST(room_estimate_test, shrinks_if_servers_slow_down_near_full) {
    room_estimate room;
    for (base::millis now = 0; now < 3000; now += 50) {
        room.on_response(true, now);
        room.update(now);
    }
    EXPECT_LT(room.factor(), 0.9);
}

TEST(room_estimate_test, a_single_rejection_changes_little) {
    room_estimate room;
    room.on_rejected(0);
    for (base::millis now = 0; now < 2000; now += 100) {
        room.update(now);
    }
    EXPECT_GT(room.factor(), 0.8);
}

TEST(retry_budget_test, repeats_are_a_tenth_of_the_requests) {
    retry_budget budget(0.1);
    int repeats = 0;
    for (base::millis now = 0; now < 10000; now += 10) {
        budget.on_request(now);
        repeats += budget.try_take(1, now) ? 1 : 0;
    }
    EXPECT_NEAR(repeats, 100, 5);
}

TEST(retry_budget_test, an_idle_node_repeats_a_single_failure) {
    retry_budget budget(0.1);
    EXPECT_TRUE(budget.try_take(1, 0));
    EXPECT_TRUE(budget.try_take(1, 0));
    EXPECT_FALSE(budget.try_take(1, 0));
    EXPECT_TRUE(budget.try_take(1, 40000));
}

// Guards against repeats of slow requests that take several times the server
// time of the requests that they stand for.
TEST(retry_budget_test, repeats_of_slow_requests_count_by_their_server_time) {
    retry_budget budget(0.1);
    int repeats = 0;
    for (base::millis now = 0; now < 10000; now += 10) {
        budget.on_request(now);
        repeats += budget.try_take(6, now) ? 1 : 0;
    }
    EXPECT_NEAR(repeats, 16, 2);
}

TEST(share_bucket_test, admits_at_its_rate) {
    share_bucket bucket;
    bucket.set_rate(2, 0);
    int admitted = 0;
    for (base::millis now = 0; now < 20000; now += 10) {
        admitted += bucket.try_take(100, now) ? 1 : 0;
    }
    EXPECT_NEAR(admitted, 400, 2);
}

// Guards against a node that gets nothing because its share is below one slot.
TEST(share_bucket_test, a_fifth_of_a_slot_admits_long_requests) {
    share_bucket bucket;
    bucket.set_rate(0.2, 0);
    int admitted = 0;
    for (base::millis now = 0; now < 20000; now += 10) {
        admitted += bucket.try_take(400, now) ? 1 : 0;
    }
    EXPECT_NEAR(admitted, 10, 1);
}

} // namespace
} // namespace hibiscus::admission
