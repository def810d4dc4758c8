#include "hibiscus/batch/text_size.hpp"

namespace hibiscus::batch {

namespace {

/// The tokens of an event before any text was seen.
constexpr double first_tokens = 64;

/// By which share one text moves the estimate, up or down: the median is
/// reached after some tens of texts, which one step has.
constexpr double median_step = 0.02;

} // namespace

std::int64_t text_size::tokens_of(int events) const {
    const double each = tokens_an_event_ > 0 ? tokens_an_event_ : first_tokens;
    return static_cast<std::int64_t>(events * each);
}

void text_size::text_ended(std::int64_t expected_tokens, int events) {
    if (expected_tokens <= 0 || events <= 0) {
        return;
    }
    const double seen = static_cast<double>(expected_tokens) / events;
    const double now = tokens_an_event_ > 0 ? tokens_an_event_ : first_tokens;
    tokens_an_event_ = now * (seen > now ? 1 + median_step : 1 - median_step);
}

} // namespace hibiscus::batch
