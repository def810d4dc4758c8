#include "memory_bounds.hpp"

#include "hibiscus/entry/settings.hpp"

#include <gtest/gtest.h>

namespace hibiscus::entry {

namespace {

constexpr std::size_t bytes_per_mb = 1000 * 1000;

/// The largest body of a request that the operator allows, in bytes.
constexpr std::size_t largest_body_bytes = 32 * 1024 * 1024;

std::size_t sum(const transport::peer_buffer_limits& limits) {
    return limits.total_bytes + limits.request_bytes + limits.request_bytes / 4;
}

TEST(memory_bounds_test, callers_get_what_the_node_does_not_need) {
    for (const std::size_t mb : {16, 48, 96, 120, 160, 330, 4000}) {
        const auto limits = make_buffer_limits(mb);
        EXPECT_LE(sum(limits), mb * bytes_per_mb) << mb;
        EXPECT_GE(sum(limits), mb * bytes_per_mb / 3) << mb;
    }
}

TEST(memory_bounds_test, the_largest_body_has_room_by_default) {
    const auto limits = make_buffer_limits(node_settings{}.memory_mb);
    EXPECT_GT(limits.request_bytes, largest_body_bytes);
}

TEST(memory_bounds_test, responses_get_a_part_of_what_the_node_needs) {
    for (const std::size_t mb : {16, 48, 88, 120, 330, 4000}) {
        EXPECT_LT(max_response_bytes(mb) + sum(make_buffer_limits(mb)),
                  mb * bytes_per_mb)
            << mb;
    }
    EXPECT_GT(max_response_bytes(88), 14 * bytes_per_mb);
}

TEST(memory_bounds_test, a_part_of_the_descriptors_stays_with_the_node) {
    EXPECT_EQ(max_caller_connections(1000), 600U);
    EXPECT_EQ(max_caller_connections(100), 38U);
    EXPECT_GT(max_caller_connections(0), 0U);
}

} // namespace

} // namespace hibiscus::entry
