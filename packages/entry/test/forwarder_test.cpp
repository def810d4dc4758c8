#include "forwarder_world.hpp"

#include <gtest/gtest.h>

namespace hibiscus::testing {

namespace {

class forwarder_test : public ::testing::Test {
protected:
    /// Returns what a caller gets if each send meets this conduct.
    std::shared_ptr<caller_result> ask(const route_shape& shape,
                                       std::vector<conduct> plan,
                                       std::size_t body_bytes = 20) {
        auto result = world_.ask(shape, 0, std::move(plan), body_bytes);
        EXPECT_EQ(world_.finish(), "");
        return result;
    }

    forwarder_world world_;
};

// Guards against a status that says "not run" to a request that has run.
TEST_F(forwarder_test, an_unmarked_refusal_of_what_may_not_repeat_is_unclear) {
    EXPECT_EQ(ask(once, {conduct::refuses_after_the_run})->status, 502);
    EXPECT_EQ(ask(again, {conduct::refuses_after_the_run})->status, 503);
}

} // namespace

} // namespace hibiscus::testing
