#include "duty_channel.hpp"

#include <memory>
#include <utility>

namespace hibiscus::entry {

namespace {

/// Timeouts of a call, in ms.
constexpr base::millis connect_timeout_ms = 400;
constexpr base::millis call_timeout_ms = 1500;

/// Each duty uses this part of the allowed rate of calls, so that all duties
/// together stay below it.
constexpr double rate_share = 0.4;

constexpr double ms_per_s = 1000;

} // namespace

duty_channel::duty_channel(node_state& state, const job_owner& owner,
                           transport::upstream_client& client, std::string name)
    : state_(state), owner_(owner), client_(client), name_(std::move(name)),
      turn_(state.settings.node.str(), state.settings.order_lease_ms,
            state.settings.servers_check_fences, state.clock.now()) {}

bool duty_channel::update() {
    const auto& holder = state_.jobs.owner();
    if (!holder || holder->record.incarnation == holder_incarnation_) {
        return false;
    }
    holder_incarnation_ = holder->record.incarnation;
    const bool was_own = is_own_;
    is_own_ = owner_.is_owner();
    const auto token = holder->record.fencing_token + 1;
    turn_.on_holder_changed(holder->record.node.str(), is_own_, token,
                            state_.clock.now());
    if (is_own_ || was_own) {
        state_.log.write("duty_holder", {{"duty", name_},
                                         {"mine", is_own_},
                                         {"holder", holder->record.node},
                                         {"token", token}});
    }
    return is_own_;
}

std::optional<duties::fencing_token> duty_channel::token_to_call() const {
    const auto now = state_.clock.now();
    if (!owner_.fencing_token() || now < next_call_at_) {
        return std::nullopt;
    }
    return turn_.token_to_call(now);
}

void duty_channel::call(transport::upstream_request request,
                        std::function<void(int status)> done) {
    const auto now = state_.clock.now();
    const auto max_rate = state_.settings.duties->max_calls_per_s * rate_share;
    next_call_at_ = now + static_cast<base::millis>(ms_per_s / max_rate);
    turn_.on_called(now);
    auto status = std::make_shared<int>(0);
    transport::upstream_call_options options;
    options.connect_timeout_ms = connect_timeout_ms;
    options.total_timeout_ms = call_timeout_ms;
    transport::upstream_callbacks callbacks;
    callbacks.on_head = [status](const transport::response_head& head) {
        *status = head.status;
    };
    callbacks.on_end =
        [status, done = std::move(done)](transport::call_outcome outcome) {
            const bool is_complete =
                outcome == transport::call_outcome::complete ||
                outcome == transport::call_outcome::closed_without_length;
            done(is_complete ? *status : 0);
        };
    client_.start(state_.settings.duties->address, std::move(request), options,
                  std::move(callbacks));
}

} // namespace hibiscus::entry
