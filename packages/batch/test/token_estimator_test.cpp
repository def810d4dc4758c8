#include "hibiscus/batch/token_estimator.hpp"

#include <gtest/gtest.h>

namespace hibiscus::batch {

namespace {

TEST(token_estimator_test, goes_to_the_middle_of_the_guesses) {
    // Events have 20 tokens, a third of what was thought at first; callers
    // guess half too low and half too high, and some ten times too high. By
    // the mean of the guesses runs would count for twice the memory they take,
    // and servers that have room would be left empty.
    token_estimator size;
    for (int n = 0; n < 200; ++n) {
        const int events = 30;
        const std::int64_t right = events * std::int64_t{20};
        size.add_sample(n % 2 == 0 ? right / 2 : right * (n % 3 == 0 ? 10 : 2),
                        events);
    }
    EXPECT_GT(size.estimate_tokens(100), 900);
    EXPECT_LT(size.estimate_tokens(100), 4500);
}

TEST(token_estimator_test, texts_without_a_guess_or_an_event_say_nothing) {
    token_estimator size;
    const auto before = size.estimate_tokens(10);
    size.add_sample(0, 10);
    size.add_sample(100, 0);
    EXPECT_EQ(size.estimate_tokens(10), before);
}

} // namespace

} // namespace hibiscus::batch
