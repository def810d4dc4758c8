#include "hibiscus/batch/text_size.hpp"

#include <gtest/gtest.h>

namespace hibiscus::batch {

namespace {

TEST(text_size_test, goes_to_the_middle_of_the_guesses) {
    // Events have 20 tokens, a third of what was thought at first; callers
    // guess half too low and half too high, and some ten times too high. By
    // the mean of the guesses runs would count for twice the memory they take,
    // and servers that have room would be left empty.
    text_size size;
    for (int n = 0; n < 200; ++n) {
        const int events = 30;
        const std::int64_t right = events * std::int64_t{20};
        size.text_ended(n % 2 == 0 ? right / 2 : right * (n % 3 == 0 ? 10 : 2),
                        events);
    }
    EXPECT_GT(size.tokens_of(100), 900);
    EXPECT_LT(size.tokens_of(100), 4500);
}

TEST(text_size_test, texts_without_a_guess_or_an_event_say_nothing) {
    text_size size;
    const auto before = size.tokens_of(10);
    size.text_ended(0, 10);
    size.text_ended(100, 0);
    EXPECT_EQ(size.tokens_of(10), before);
}

} // namespace

} // namespace hibiscus::batch
