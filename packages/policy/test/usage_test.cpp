#include "hibiscus/policy/usage.hpp"

#include <gtest/gtest.h>

namespace hibiscus::policy {
namespace {

const base::owner_id campus("campus");
const base::owner_id desk("desk");

TEST(usage_test, slots_are_charged_to_users_and_idle_ones_to_the_payer) {
    usage_meter account;
    const engine_usage engine{base::engine_id("e"), campus, 8, {{desk, 3}}, {}};
    account.add_interval(1000, {engine});
    account.add_interval(1100, {engine});
    EXPECT_DOUBLE_EQ(account.owners().at(desk).used_ms, 300);
    EXPECT_DOUBLE_EQ(account.owners().at(campus).idle_ms, 500);
    EXPECT_DOUBLE_EQ(account.owners().at(campus).idle_while_queued_ms, 0);
}

// Two owners argue over an engine that stood idle. The account must tell idle
// time that nobody wanted from idle time beside a queue.
TEST(usage_test, idle_slots_beside_a_queue_are_told_apart) {
    usage_meter account;
    const std::vector<engine_usage> engines{
        {base::engine_id("a"), campus, 2, {}, {}},
        {base::engine_id("b"), campus, 2, {{desk, 2}}, {{desk, 1}}}};
    account.add_interval(1000, engines);
    account.add_interval(1010, engines);
    EXPECT_DOUBLE_EQ(account.owners().at(campus).idle_ms, 20);
    EXPECT_DOUBLE_EQ(account.owners().at(campus).idle_while_queued_ms, 10);
    EXPECT_DOUBLE_EQ(account.owners().at(desk).queued_ms, 10);
}

TEST(usage_test, a_pause_of_the_process_is_charged_to_nobody) {
    usage_meter account;
    const engine_usage engine{base::engine_id("e"), campus, 8, {}, {}};
    account.add_interval(1000, {engine});
    account.add_interval(9000, {engine});
    EXPECT_TRUE(account.owners().empty());
}

} // namespace
} // namespace hibiscus::policy
