#include "hibiscus/policy/usage.hpp"

#include <gtest/gtest.h>

namespace hibiscus::policy {
namespace {

const base::owner_id payer("payer");
const base::owner_id user("user");

TEST(usage_test, used_slots_are_charged_to_users_and_idle_ones_to_the_payer) {
    usage_meter meter;
    const engine_usage engine{base::engine_id("e"), payer, 8, {{user, 3}}, {}};
    meter.add_interval(1000, {engine});
    meter.add_interval(1100, {engine});
    EXPECT_DOUBLE_EQ(meter.owners().at(user).used_ms, 300);
    EXPECT_DOUBLE_EQ(meter.owners().at(payer).idle_ms, 500);
    EXPECT_DOUBLE_EQ(meter.owners().at(payer).idle_while_queued_ms, 0);
}

// Idle time during which streams were queued at another engine must be
// distinguishable from idle time that nobody could have used.
TEST(usage_test, idle_time_while_streams_are_queued_is_counted_separately) {
    usage_meter meter;
    const std::vector<engine_usage> engines{
        {base::engine_id("a"), payer, 2, {}, {}},
        {base::engine_id("b"), payer, 2, {{user, 2}}, {{user, 1}}}};
    meter.add_interval(1000, engines);
    meter.add_interval(1010, engines);
    EXPECT_DOUBLE_EQ(meter.owners().at(payer).idle_ms, 20);
    EXPECT_DOUBLE_EQ(meter.owners().at(payer).idle_while_queued_ms, 10);
    EXPECT_DOUBLE_EQ(meter.owners().at(user).queued_ms, 10);
}

TEST(usage_test, a_pause_of_the_process_is_not_charged) {
    usage_meter meter;
    const engine_usage engine{base::engine_id("e"), payer, 8, {}, {}};
    meter.add_interval(1000, {engine});
    meter.add_interval(9000, {engine});
    EXPECT_TRUE(meter.owners().empty());
}

} // namespace
} // namespace hibiscus::policy
