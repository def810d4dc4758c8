#include "hibiscus/transport/peer_buffers.hpp"

#include <gtest/gtest.h>

namespace hibiscus::transport {

namespace {

constexpr std::size_t total_bytes = 8 * 1024 * 1024;
constexpr base::millis stall_ms = 1000;
constexpr std::size_t read_bytes = 16 * 1024;

class peer_buffers_test : public testing::Test {
protected:
    peer_buffers_test() {
        buffers_.set_limits({256 * 1024, total_bytes, stall_ms});
    }

    /// Adds reads of a source until the response is full.
    void fill(peer_buffers::connection_id connection) {
        while (!buffers_.is_full(connection)) {
            buffers_.add(connection, read_bytes, 0);
        }
    }

    peer_buffers buffers_;
};

TEST_F(peer_buffers_test, a_caller_that_reads_is_never_full) {
    for (int n = 0; n < 1000; ++n) {
        EXPECT_FALSE(buffers_.is_full(1));
        buffers_.add(1, read_bytes, n);
        buffers_.on_progress(1, read_bytes, n);
    }
    EXPECT_EQ(buffers_.peak(), read_bytes);
}

TEST_F(peer_buffers_test, slow_callers_share_the_room_and_none_is_cut) {
    constexpr int callers = 200;
    for (int n = 1; n <= callers; ++n) {
        fill(static_cast<peer_buffers::connection_id>(n));
    }
    EXPECT_FALSE(buffers_.find_excess());
    EXPECT_LE(buffers_.peak(), total_bytes);
    EXPECT_FALSE(buffers_.is_full(callers + 1));
}

TEST_F(peer_buffers_test, whole_responses_shrink_instead_of_filling_the_room) {
    for (peer_buffers::connection_id n = 1; buffers_.room() > 0; ++n) {
        buffers_.add(n, buffers_.room(), 0);
    }
    EXPECT_FALSE(buffers_.find_excess());
    buffers_.on_progress(1, total_bytes, 0);
    EXPECT_GT(buffers_.room(), 0U);
}

TEST_F(peer_buffers_test, the_largest_holder_is_cut_first) {
    buffers_.add(1, total_bytes / 2, 0);
    buffers_.add(2, total_bytes / 4, 0);
    EXPECT_FALSE(buffers_.find_excess());
    buffers_.add(3, total_bytes / 2, 0);
    buffers_.add(3, 1, 0);
    EXPECT_EQ(buffers_.find_excess(), 3U);
    buffers_.erase(3);
    EXPECT_FALSE(buffers_.find_excess());
}

TEST_F(peer_buffers_test, only_a_caller_without_progress_is_stalled) {
    buffers_.add(1, 100, 0);
    buffers_.add(2, 100, 0);
    buffers_.on_progress(2, 0, stall_ms);
    EXPECT_FALSE(buffers_.find_stalled(stall_ms));
    EXPECT_EQ(buffers_.find_stalled(stall_ms + 1), 1U);
    buffers_.erase(1);
    EXPECT_FALSE(buffers_.find_stalled(stall_ms + 1));
}

TEST_F(peer_buffers_test, bodies_of_requests_wait_for_room) {
    EXPECT_TRUE(buffers_.reserve_request(total_bytes));
    EXPECT_FALSE(buffers_.reserve_request(1));
    buffers_.release_request(total_bytes);
    EXPECT_TRUE(buffers_.reserve_request(total_bytes / 4));
    EXPECT_TRUE(buffers_.reserve_request(total_bytes / 4));
    EXPECT_FALSE(buffers_.reserve_request(1));
}

TEST_F(peer_buffers_test, a_body_that_grows_alone_always_has_room) {
    EXPECT_TRUE(buffers_.reserve_request(total_bytes / 4));
    EXPECT_TRUE(buffers_.reserve_request(total_bytes, total_bytes / 4));
    EXPECT_FALSE(buffers_.reserve_request(1, total_bytes / 4));
}

TEST_F(peer_buffers_test, what_is_not_reserved_has_a_part_of_its_own) {
    constexpr auto part = static_cast<std::ptrdiff_t>(total_bytes / 8);
    EXPECT_TRUE(buffers_.reserve_request(total_bytes));
    buffers_.count_unreserved(part);
    EXPECT_FALSE(buffers_.has_request_excess());
    buffers_.count_unreserved(1);
    EXPECT_TRUE(buffers_.has_request_excess());
    buffers_.count_unreserved(-1);
    EXPECT_FALSE(buffers_.has_request_excess());
    buffers_.release_request(total_bytes);
    buffers_.count_unreserved(4 * part);
    EXPECT_FALSE(buffers_.has_request_excess());
    buffers_.count_unreserved(1);
    EXPECT_TRUE(buffers_.has_request_excess());
}

// Guards against large heads that leave no room for small ones.
TEST_F(peer_buffers_test, large_heads_leave_room_for_small_ones) {
    constexpr std::size_t large = 64 * 1024;
    constexpr std::size_t small = 4 * 1024;
    int accepted = 0;
    for (; accepted < 1000; ++accepted) {
        buffers_.count_unreserved(large);
        if (buffers_.lacks_head_room(large)) {
            buffers_.count_unreserved(-static_cast<std::ptrdiff_t>(large));
            break;
        }
    }
    EXPECT_GT(accepted, 50);
    EXPECT_LT(accepted, 1000);
    for (int n = 0; n < 100; ++n) {
        buffers_.count_unreserved(small);
        EXPECT_FALSE(buffers_.lacks_head_room(small));
        EXPECT_FALSE(buffers_.has_request_excess());
    }
}

} // namespace

} // namespace hibiscus::transport
