#include "hibiscus/batch/token_estimator.hpp"

namespace hibiscus::batch {

namespace {

/// Tokens per event before the first sample.
constexpr double initial_tokens_per_event = 64;

/// The share by which one sample moves the estimate up or down. It reaches the
/// median after some tens of texts, fewer than one step has.
constexpr double estimate_step = 0.02;

} // namespace

std::int64_t token_estimator::estimate_tokens(int event_count) const {
    const double tokens_per_event =
        tokens_per_event_ > 0 ? tokens_per_event_ : initial_tokens_per_event;
    return static_cast<std::int64_t>(event_count * tokens_per_event);
}

void token_estimator::add_sample(std::int64_t expected_tokens,
                                 int event_count) {
    if (expected_tokens <= 0 || event_count <= 0) {
        return;
    }
    const double sample = static_cast<double>(expected_tokens) / event_count;
    const double estimate =
        tokens_per_event_ > 0 ? tokens_per_event_ : initial_tokens_per_event;
    tokens_per_event_ =
        estimate * (sample > estimate ? 1 + estimate_step : 1 - estimate_step);
}

} // namespace hibiscus::batch
