#include "hibiscus/duties/duty_turn.hpp"

#include <algorithm>
#include <utility>

namespace hibiscus::duties {

duty_turn::duty_turn(std::string node, base::millis lease_ms,
                     bool tokens_checked, base::millis started_at)
    : node_(std::move(node)), lease_ms_(lease_ms),
      tokens_checked_(tokens_checked), last_called_at_(started_at) {}

void duty_turn::on_holder_changed(const std::string& holder, bool is_own,
                                  fencing_token token, base::millis now) {
    const bool follows_other_node =
        !previous_holder_.empty() && previous_holder_ != node_;
    if (is_own && follows_other_node) {
        not_before_ = last_called_at_ + lease_ms_;
        if (!tokens_checked_) {
            // A call of the previous holder may still be on its way, and a
            // receiver that does not check tokens would execute it after one of
            // this holder.
            not_before_ = std::max(not_before_, now + lease_ms_);
        }
    }
    is_own_ = is_own;
    token_ = token;
    previous_holder_ = holder;
}

std::optional<fencing_token> duty_turn::token_to_call(base::millis now) const {
    if (!is_own_ || now < not_before_ || token_ <= fenced_token_) {
        return std::nullopt;
    }
    return token_;
}

void duty_turn::on_called(base::millis now) {
    last_called_at_ = now;
}

void duty_turn::on_fenced(fencing_token token) {
    fenced_token_ = std::max(fenced_token_, token);
}

} // namespace hibiscus::duties
