#include "hibiscus/batch/token_estimator.hpp"

#include <gtest/gtest.h>

namespace hibiscus::batch {

namespace {

TEST(token_estimator_test, converges_to_the_median_estimate) {
    // Events have 20 tokens, a third of the initial estimate. Half of the
    // callers' estimates are too low and half too high, some ten times. With
    // their mean, runs would reserve twice the memory that they use, and
    // servers with free memory would get no runs.
    token_estimator estimator;
    for (int n = 0; n < 200; ++n) {
        const int event_count = 30;
        const std::int64_t true_tokens = event_count * std::int64_t{20};
        estimator.add_sample(n % 2 == 0 ? true_tokens / 2
                                        : true_tokens * (n % 3 == 0 ? 10 : 2),
                             event_count);
    }
    EXPECT_GT(estimator.estimate_tokens(100), 900);
    EXPECT_LT(estimator.estimate_tokens(100), 4500);
}

TEST(token_estimator_test, samples_without_an_estimate_or_events_are_ignored) {
    token_estimator estimator;
    const auto before = estimator.estimate_tokens(10);
    estimator.add_sample(0, 10);
    estimator.add_sample(100, 0);
    EXPECT_EQ(estimator.estimate_tokens(10), before);
}

} // namespace

} // namespace hibiscus::batch
