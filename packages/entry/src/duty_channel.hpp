#pragma once

#include "job_owner.hpp"
#include "node_state.hpp"

#include "hibiscus/duties/duty_turn.hpp"
#include "hibiscus/transport/upstream.hpp"

#include <functional>
#include <optional>
#include <string>

namespace hibiscus::entry {

/// The way of one singleton duty to the platform's API. Only the job owner may
/// call, and only as its turn allows.
class duty_channel {
public:
    /// `name` is the name of the duty for logs.
    duty_channel(node_state& state, const job_owner& owner,
                 transport::upstream_client& client, std::string name);

    /// Follows the changes of the job owner. Returns true if a turn of this
    /// process has begun. Must be called before each use.
    bool update();

    /// Returns the token to call with, or nothing if this process must not call
    /// now.
    std::optional<duties::fencing_token> token_to_call() const;

    /// Sends a call. `done` gets the status of the response, or 0 if there was
    /// none; the call may then still be executed.
    void call(transport::upstream_request request,
              std::function<void(int status)> done);

    /// Called when a call was refused since a newer holder has called.
    void on_fenced(duties::fencing_token token) { turn_.on_fenced(token); }

private:
    node_state& state_;
    const job_owner& owner_;
    transport::upstream_client& client_;
    std::string name_;
    duties::duty_turn turn_;
    std::string holder_incarnation_;
    bool is_own_ = false;
    base::millis next_call_at_ = 0;
};

} // namespace hibiscus::entry
