#include "hibiscus/admission/request_queue.hpp"

#include <gtest/gtest.h>

namespace hibiscus::admission {
namespace {

constexpr base::millis far = 1000000;

queued_request make_request(std::uint64_t number, int priority,
                            const std::string& workspace,
                            base::millis deadline = far) {
    return {number, priority, workspace, 100, 150, deadline};
}

std::vector<std::uint64_t> pop_all(request_queue& queue) {
    std::vector<std::uint64_t> numbers;
    while (!queue.empty()) {
        numbers.push_back(queue.pop().number);
    }
    return numbers;
}

TEST(request_queue_test, urgent_requests_go_first) {
    request_queue queue;
    queue.push(make_request(1, 5, "a"));
    queue.push(make_request(2, 0, "a"));
    queue.push(make_request(3, 5, "a"));
    EXPECT_EQ(pop_all(queue), (std::vector<std::uint64_t>{2, 1, 3}));
}

TEST(request_queue_test, workspaces_take_turns) {
    request_queue queue;
    for (std::uint64_t n = 1; n <= 4; ++n) {
        queue.push(make_request(n, 5, "many"));
    }
    queue.push(make_request(5, 5, "few"));
    EXPECT_EQ(pop_all(queue), (std::vector<std::uint64_t>{1, 5, 2, 3, 4}));
}

// Guards against a priority that is never served while more urgent requests
// keep coming.
TEST(request_queue_test, least_urgent_request_gets_a_turn) {
    request_queue queue;
    queue.push(make_request(1, 9, "slow"));
    bool served = false;
    for (std::uint64_t n = 2; n < 30 && !served; ++n) {
        queue.push(make_request(n, 0, "urgent"));
        served = queue.pop().number == 1;
    }
    EXPECT_TRUE(served);
}

TEST(request_queue_test, requests_that_would_be_late_are_taken_out) {
    request_queue queue;
    queue.push(make_request(1, 5, "a", 160));
    queue.push(make_request(2, 5, "a", 240));
    queue.push(make_request(3, 5, "a", 260));
    const auto late = queue.take_hopeless(1, 0, 0);
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late[0].number, 2U);
    EXPECT_EQ(pop_all(queue), (std::vector<std::uint64_t>{1, 3}));
}

TEST(request_queue_test, urgent_request_displaces_one_that_then_is_late) {
    request_queue queue;
    queue.push(make_request(1, 5, "a", 200));
    EXPECT_TRUE(queue.take_hopeless(1, 0, 0).empty());
    queue.push(make_request(2, 0, "b", 200));
    const auto late = queue.take_hopeless(1, 0, 0);
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late[0].number, 1U);
}

TEST(request_queue_test, removed_request_is_not_popped) {
    request_queue queue;
    queue.push(make_request(1, 5, "a"));
    queue.push(make_request(2, 5, "a"));
    queue.remove(1);
    EXPECT_EQ(pop_all(queue), (std::vector<std::uint64_t>{2}));
}

} // namespace
} // namespace hibiscus::admission
