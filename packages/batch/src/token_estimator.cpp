#include "hibiscus/batch/token_estimator.hpp"

namespace hibiscus::batch {

namespace {

/// The tokens of an event before any text was seen.
constexpr double initial_tokens_per_event = 64;

/// By which share one text moves the estimate, up or down: the median is
/// reached after some tens of texts, which one step has.
constexpr double estimate_step = 0.02;

} // namespace

std::int64_t token_estimator::estimate_tokens(int events) const {
    const double each =
        tokens_per_event_ > 0 ? tokens_per_event_ : initial_tokens_per_event;
    return static_cast<std::int64_t>(events * each);
}

void token_estimator::add_sample(std::int64_t expected_tokens, int events) {
    if (expected_tokens <= 0 || events <= 0) {
        return;
    }
    const double seen = static_cast<double>(expected_tokens) / events;
    const double now =
        tokens_per_event_ > 0 ? tokens_per_event_ : initial_tokens_per_event;
    tokens_per_event_ =
        now * (seen > now ? 1 + estimate_step : 1 - estimate_step);
}

} // namespace hibiscus::batch
