#pragma once

#include "hibiscus/cluster/step_table.hpp"
#include "hibiscus/wire/peer.hpp"

#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace hibiscus::cluster {

/// Names a caller that waits for an answer; the node maps it to a connection
/// or a peer's call.
using waiter_id = std::uint64_t;

/// Asks the placement policy for an engine.
struct placement_query {
    base::trainer_id trainer;
    const std::string* prompt = nullptr;
    /// True for the last slots of a step, which hold it up.
    bool is_straggler = false;
};

/// What the placement policy answers.
struct placement {
    base::engine_id engine;
    int priority = 0;
};

/// Chooses an engine, or none when all are full.
using placement_function =
    std::function<std::optional<placement>(const placement_query&)>;

/// Returns how many versions a sample of a trainer may be behind, or nothing
/// for a trainer that the document does not name.
using staleness_bound_function =
    std::function<std::optional<int>(const base::trainer_id&)>;

/// Ask the engine's home to run a stream.
struct place_stream {
    base::engine_id engine;
    wire::stream_start start;
};

/// Tell the engine's home to stop a stream.
struct cancel_stream {
    base::engine_id engine;
    base::stream_id stream;
};

/// Answer a waiting pull.
struct send_pull_response {
    waiter_id waiter = 0;
    wire::pull_response response;
};

/// What a step_home wants done.
using step_effect =
    std::variant<place_stream, cancel_stream, send_pull_response>;

/// Leaves the last slots of a step as they are.
struct straggler_none {};

/// Repeats the start of the last slots of a step with a higher priority, so
/// that engines run them before streams that hold up nothing yet.
struct straggler_raise_priority {};

/// Raises the priority and generates a slot anew on another engine if its
/// stream has not begun where it is.
struct straggler_move {};

/// What is done about the last slots of a step, which hold it up.
using straggler_policy =
    std::variant<straggler_none, straggler_raise_priority, straggler_move>;

/// Returns what is done about a trainer's stragglers.
using straggler_policy_function =
    std::function<straggler_policy(const base::trainer_id&)>;

/// Times that steer a step_home, in ms.
struct step_options {
    /// A stream that is not heard of for so long is asked for again, and
    /// given up after as long once more.
    base::millis stream_timeout = 2500;
    /// How long to wait after a refusal without a time of its own, and
    /// before engines that were all full are asked again.
    base::millis retry_delay = 50;
    /// How long the first step of a trainer that is new here waits for
    /// reports of streams that the former home has started.
    base::millis adoption_delay = 0;
    /// How long after its end a pull may still be answered with samples.
    base::millis pull_margin = 250;
    /// A longer time between two ticks means that the process was paused.
    base::millis pause_threshold = 1000;
    /// How long after a pause no samples are delivered, until the peers have
    /// told the newest versions.
    base::millis post_pause_delay = 1000;
};

/// Owns the steps of the trainers whose home this node is. It holds nothing
/// that must survive: the trainer knows what it has, and a new home generates
/// the rest again.
class step_coordinator {
public:
    /// Constructs an empty home that asks `place` for engines, `bound` for
    /// the staleness bounds and `stragglers` for what is done about them.
    step_coordinator(base::node_id self, step_options times,
                     placement_function place, staleness_bound_function bound,
                     straggler_policy_function stragglers = {});

    /// Opens a step; opening it again changes nothing. Of each trainer the
    /// newest steps are kept.
    wire::step_response open_step(base::millis now,
                                  const wire::open_step& message);

    /// Answers a pull, at once or through an effect later. Of two pulls of
    /// the same trainer and step the earlier is answered `superseded`.
    void pull_samples(base::millis now, waiter_id waiter,
                      const wire::pull_step& message);

    /// Forgets a waiting pull whose caller is gone.
    void cancel_pull(waiter_id waiter);

    /// Notes what an engine's home says of streams. Returns the ids of the
    /// finished ones, to acknowledge.
    std::vector<base::stream_id> on_report(base::millis now,
                                           const wire::sample_report& report);

    /// Notes that a stream was not admitted.
    void on_placement_refused(base::millis now, const base::stream_id& stream,
                              base::millis retry_after);

    /// Notes the newest version of a trainer: drops what is now too old.
    void update_newest_version(base::millis now,
                               const base::trainer_id& trainer,
                               wire::weight_version newest);

    /// Asks again at the next tick for the streams at engines for which
    /// `moved` returns true: their home has changed.
    void request_streams_again(
        base::millis now,
        const std::function<bool(const base::engine_id&)>& moved);

    /// Drops the steps of trainers for which `is_home` returns false and
    /// answers their pulls `home_moved`.
    void release_trainers(
        const std::function<bool(const base::trainer_id&)>& is_home);

    /// Places waiting slots, gives up on silent streams, ends long pulls.
    void tick(base::millis now);

    /// Returns what is to be done, in order, and forgets it.
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
                      const stream_id_parts& name,
                      const wire::stream_report& report);
    void discard_stream(const wire::stream_report& report,
                        std::vector<base::stream_id>& finished);
    void apply_report(base::millis now, step_state& step,
                      wire::slot_index index,
                      const wire::stream_report& report);
    void place_waiting_slots(base::millis now, step_state& step);
    bool place_slot(base::millis now, step_state& step, wire::slot_index index);
    void check_silent_streams(base::millis now, step_state& step);
    void request_stream_again(base::millis now, step_state& step,
                              wire::slot_index index, int priority);
    void handle_stragglers(base::millis now, step_state& step);
    void move_straggler(base::millis now, step_state& step,
                        wire::slot_index index);
    bool ticked_recently(base::millis now) const;
    bool try_respond(base::millis now, const waiting_pull& waiting);
    bool check_deliverable(base::millis now, const waiting_pull& waiting);
    std::vector<wire::sample>
    collect_samples(base::millis now, step_state& step,
                    const wire::pull_request& request);
    void respond_to_waiting_pull(base::millis now, const step_key& step);
    void reject_pull(const waiting_pull& waiting, wire::reason why);
    wire::weight_version newest_version(const base::trainer_id& trainer) const;

    base::node_id self_;
    step_options options_;
    placement_function choose_engine_;
    staleness_bound_function staleness_bound_;
    straggler_policy_function straggler_policy_;
    step_table steps_;
    /// The highest step of each trainer that was dropped as too early.
    std::map<base::trainer_id, wire::step_number> last_dropped_steps_;
    std::map<base::trainer_id, wire::weight_version> newest_versions_;
    /// At most one pull waits for each step.
    std::map<step_key, waiting_pull> waiting_pulls_;
    std::vector<step_effect> effects_;
    std::optional<base::millis> last_tick_at_;
    base::millis deliver_not_before_ = 0;
};

} // namespace hibiscus::cluster
