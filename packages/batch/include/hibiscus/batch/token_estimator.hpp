#pragma once

#include <cstdint>

namespace hibiscus::batch {

/// Estimates the number of tokens per event from completed texts.
class token_estimator {
public:
    /// Returns the estimated tokens of `event_count` events.
    std::int64_t estimate_tokens(int event_count) const;

    /// Adds a completed text of `event_count` events whose length the caller
    /// had estimated as `expected_tokens`. Half of these estimates are too low
    /// and half too high, some by far. The result converges to the median of
    /// the expected tokens per event; each sample moves it by 2 %, however far
    /// off it is.
    void add_sample(std::int64_t expected_tokens, int event_count);

private:
    /// 0 until the first sample.
    double tokens_per_event_ = 0;
};

} // namespace hibiscus::batch
