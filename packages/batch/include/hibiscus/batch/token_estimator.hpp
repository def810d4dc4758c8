#pragma once

#include <cstdint>

namespace hibiscus::batch {

/// How many tokens an event has, by the texts that were seen.
class token_estimator {
public:
    /// Returns the tokens of so many events.
    std::int64_t estimate_tokens(int events) const;

    /// A text of which `expected_tokens` were guessed came to `events` events.
    /// Half of the guesses are too low and half too high, some far off; the
    /// estimate goes to the middle of them, and one guess moves it by two
    /// hundredths however far off it is.
    void add_sample(std::int64_t expected_tokens, int events);

private:
    /// 0 before the first text.
    double tokens_per_event_ = 0;
};

} // namespace hibiscus::batch
