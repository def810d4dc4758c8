#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/enum_names.hpp"
#include "hibiscus/batch/job.hpp"

#include <array>

namespace hibiscus::batch {

/// Why an unfinished item is at no server.
enum class hold_reason {
    /// Servers ended under it; it is not sent any more.
    quarantined,
    /// It is not known yet which servers ended under it.
    unsettled_losses,
    /// Its send waits until the store has its losses.
    unstored_losses,
    /// It would be scored too late.
    scoring_delay,
    /// It is sent again after a delay.
    retry_delay,
    /// No items may be started.
    starts_stopped,
    /// No server can take it.
    no_server,
    /// Servers can take items like it, but this one waits for a server of its
    /// own or for one at which it has not failed.
    no_suitable_server,
};

/// An unfinished item that has been at no server for some time.
struct held_item {
    job_id job;
    int item_index = 0;
    item_id id;
    hold_reason reason = hold_reason::no_server;
    /// Time since a server last worked on it, in ms.
    base::millis held_ms = 0;
    int run_count = 0;
    int event_count = 0;
    /// Number of losses that count.
    int loss_count = 0;
};

} // namespace hibiscus::batch

namespace hibiscus::base {

template <>
struct enum_names<batch::hold_reason> {
    static constexpr std::array<enum_name<batch::hold_reason>, 8> table{{
        {batch::hold_reason::quarantined, "quarantined"},
        {batch::hold_reason::unsettled_losses, "unsettled_losses"},
        {batch::hold_reason::unstored_losses, "unstored_losses"},
        {batch::hold_reason::scoring_delay, "scoring_delay"},
        {batch::hold_reason::retry_delay, "retry_delay"},
        {batch::hold_reason::starts_stopped, "starts_stopped"},
        {batch::hold_reason::no_server, "no_server"},
        {batch::hold_reason::no_suitable_server, "no_suitable_server"},
    }};
};

} // namespace hibiscus::base
