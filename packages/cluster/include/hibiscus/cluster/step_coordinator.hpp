#pragma once

#include "hibiscus/cluster/step_table.hpp"
#include "hibiscus/wire/peer.hpp"

#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace hibiscus::cluster {

/// Identifies a pull that waits for a response. The node maps it to a
/// connection or to the call of a peer. A pull is a long-polling request of a
/// trainer for finished samples.
using waiter_id = std::uint64_t;

/// A request to the placement policy for an engine.
struct placement_query {
    base::trainer_id trainer;
    const std::string* prompt = nullptr;
    /// True for the last slots of a step, which delay its end.
    bool is_straggler = false;
};

/// The decision of the placement policy.
struct placement {
    base::engine_id engine;
    int priority = 0;
};

/// Chooses an engine, or returns nothing if all engines are full.
using placement_function =
    std::function<std::optional<placement>(const placement_query&)>;

/// Returns how many versions a sample of a trainer may be behind the newest
/// one, or nothing if the configuration document does not contain the trainer.
using staleness_bound_function =
    std::function<std::optional<int>(const base::trainer_id&)>;

/// Asks the engine's home node to run a stream.
struct place_stream {
    base::engine_id engine;
    wire::stream_start start;
};

/// Asks the engine's home node to stop a stream.
struct cancel_stream {
    base::engine_id engine;
    base::stream_id stream;
};

/// Sends the response to a pull.
struct send_pull_response {
    waiter_id waiter = 0;
    wire::pull_response response;
};

/// An action that a step_coordinator requests from its driver.
using step_effect =
    std::variant<place_stream, cancel_stream, send_pull_response>;

/// Does nothing about the last slots of a step.
struct straggler_none {};

/// Requests the streams of the last slots again with a higher priority, so that
/// engines run them before streams of other steps.
struct straggler_raise_priority {};

/// Raises the priority, and also moves a slot to another engine if its stream
/// has not started producing.
struct straggler_move {};

/// How the last slots of a step, which delay its end, are accelerated.
using straggler_policy =
    std::variant<straggler_none, straggler_raise_priority, straggler_move>;

/// Returns the straggler policy of a trainer.
using straggler_policy_function =
    std::function<straggler_policy(const base::trainer_id&)>;

/// Settings of a step_coordinator, in ms.
struct step_options {
    /// A stream without a report for this time is requested again. Its slot is
    /// regenerated if there is no report for the same time after that.
    base::millis stream_timeout = 2500;
    /// Delay after a refusal that names no delay of its own, and after all
    /// engines were full.
    base::millis retry_delay = 50;
    /// How long the first step of a trainer at this node waits before its slots
    /// are placed. In this time, reports of streams that the previous home node
    /// started can arrive.
    base::millis adoption_delay = 0;
    /// How long after its deadline a pull may still receive samples.
    base::millis pull_margin = 250;
    /// A longer time between two ticks means that this process was paused.
    base::millis pause_threshold = 1000;
    /// How long after a pause no samples are delivered. In this time, the peers
    /// send the newest versions.
    base::millis post_pause_delay = 1000;
};

/// Runs the steps of the trainers for which this node is the home node. It
/// holds no state that must survive a crash: the trainer knows which samples it
/// has, and a new home node generates the missing ones again.
class step_coordinator {
public:
    /// Constructs a coordinator without steps. `choose_engine` places streams,
    /// `staleness_bound` returns the bounds of trainers, and `policy` selects
    /// what is done about stragglers.
    step_coordinator(base::node_id self, step_options options,
                     placement_function choose_engine,
                     staleness_bound_function staleness_bound,
                     straggler_policy_function policy = {});

    /// Opens a step. Opening it again has no effect. Only the newest steps of
    /// each trainer are kept.
    wire::step_response open_step(base::millis now,
                                  const wire::open_step& message);

    /// Accepts a pull; the response follows as a `send_pull_response` effect,
    /// at once or later. If two pulls of the same step are pending, the earlier
    /// one is rejected with `superseded`.
    void pull_samples(base::millis now, waiter_id waiter,
                      const wire::pull_step& message);

    /// Drops a waiting pull whose caller is gone.
    void cancel_pull(waiter_id waiter);

    /// Processes the stream reports of an engine's home node. Returns the ids
    /// of finished streams, which must be acknowledged.
    std::vector<base::stream_id> on_report(base::millis now,
                                           const wire::sample_report& report);

    /// Records that a stream was not admitted.
    void on_placement_refused(base::millis now, const base::stream_id& stream,
                              base::millis retry_after);

    /// Records the newest version of a trainer. Discards streams and samples
    /// that became stale.
    void update_newest_version(base::millis now,
                               const base::trainer_id& trainer,
                               wire::weight_version newest);

    /// Requests the streams again whose engines have a new home node, that is,
    /// those for which `moved` returns true.
    void request_streams_again(
        base::millis now,
        const std::function<bool(const base::engine_id&)>& moved);

    /// Drops the steps of trainers for which `is_home` returns false and
    /// rejects their pulls with `home_moved`.
    void release_trainers(
        const std::function<bool(const base::trainer_id&)>& is_home);

    /// Places waiting slots, handles streams without reports, and ends pulls
    /// whose deadlines have passed.
    void tick(base::millis now);

    /// Returns the pending effects in order and clears them.
    std::vector<step_effect> take_effects();

    /// Returns the steps, for status pages.
    const step_table& steps() const { return steps_; }

private:
    struct waiting_pull {
        waiter_id waiter = 0;
        step_key step;
        wire::pull_request request;
        base::millis deadline = 0;
    };

    void drop_old_steps(const base::trainer_id& trainer);
    void mark_received(base::millis now, step_state& step,
                       const std::vector<wire::slot_range>& ranges);
    bool is_stale(const base::trainer_id& trainer,
                  std::optional<wire::weight_version> oldest) const;
    void cancel_slot(const step_state& step, wire::slot_index index);
    void regenerate_slot(base::millis now, step_state& step,
                         wire::slot_index index);
    step_state* on_stream_report(base::millis now,
                                 const wire::stream_report& report,
                                 std::vector<base::stream_id>& finished);
    bool adopt_stream(base::millis now, step_state& step,
                      const stream_id_parts& parts,
                      const wire::stream_report& report);
    void discard_stream(const wire::stream_report& report,
                        std::vector<base::stream_id>& finished);
    void apply_report(base::millis now, step_state& step,
                      wire::slot_index index,
                      const wire::stream_report& report);
    void place_waiting_slots(base::millis now, step_state& step);
    bool place_slot(base::millis now, step_state& step, wire::slot_index index);
    void check_unreported_streams(base::millis now, step_state& step);
    void request_stream_again(base::millis now, step_state& step,
                              wire::slot_index index, int priority);
    void handle_stragglers(base::millis now, step_state& step);
    void move_straggler(base::millis now, step_state& step,
                        wire::slot_index index);
    bool ticked_recently(base::millis now) const;
    bool try_respond(base::millis now, const waiting_pull& pull);
    bool check_deliverable(base::millis now, const waiting_pull& pull);
    std::vector<wire::sample>
    collect_samples(base::millis now, step_state& step,
                    const wire::pull_request& request);
    void respond_to_waiting_pull(base::millis now, const step_key& step);
    void reject_pull(const waiting_pull& pull, wire::reason reason);
    wire::weight_version newest_version(const base::trainer_id& trainer) const;

    base::node_id self_;
    step_options options_;
    placement_function choose_engine_;
    staleness_bound_function staleness_bound_;
    straggler_policy_function straggler_policy_;
    step_table steps_;
    /// By trainer, the highest step number that was dropped.
    std::map<base::trainer_id, wire::step_number> last_dropped_steps_;
    std::map<base::trainer_id, wire::weight_version> newest_versions_;
    /// At most one pull waits for each step.
    std::map<step_key, waiting_pull> waiting_pulls_;
    std::vector<step_effect> effects_;
    std::optional<base::millis> last_tick_at_;
    base::millis deliver_not_before_ = 0;
};

} // namespace hibiscus::cluster
