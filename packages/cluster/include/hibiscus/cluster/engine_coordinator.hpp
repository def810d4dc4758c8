#pragma once

#include "hibiscus/wire/peer.hpp"

#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace hibiscus::cluster {

/// The properties of an engine that its home node needs. They come from the
/// configuration document and the instance list. An order is a command to an
/// engine to load and serve a weight version.
struct engine_traits {
    /// Number of streams that the engine runs at the same time.
    int slots = 1;
    /// Number of streams admitted beyond `slots`.
    int queue_limit = 0;
    bool leaving = false;
    /// True if the engine rejects orders with an outdated fencing token.
    bool checks_fencing = true;
    /// Maximum time that an order may be in flight, in ms.
    base::millis order_lifetime = 5000;
    /// The trainers that use the engine's pool.
    std::vector<base::trainer_id> trainers;
};

/// A stream at an engine, from its admission until the trainer's home node
/// acknowledges its report.
struct admitted_stream {
    wire::stream_start start;
    /// The trainer's home node, which receives the reports.
    base::node_id report_to;
    wire::stream_state state = wire::stream_state::queued;
    /// True once the start request has completed, even without a response; from
    /// then on the engine may have the stream.
    bool start_completed = false;
    /// Number of chunks received.
    std::uint32_t produced = 0;
    std::optional<wire::weight_version> oldest_version;
    /// The complete text of a finished stream.
    std::vector<wire::chunk> chunks;
    /// When the next report is due.
    base::millis report_at = 0;
    /// When the stream finished.
    base::millis finished_at = 0;
};

/// An order that is in flight, or that the engine has executed without
/// reporting the new version as served yet.
struct pending_order {
    wire::version_order order;
    base::millis sent_at = 0;
    /// When the engine reported the order as executed.
    std::optional<base::millis> executed_at;
};

/// The state of an engine at its home node.
struct engine_state {
    engine_traits traits;
    /// When the engine last responded, when this node became its home node, or
    /// when this process resumed after a pause, whichever is latest.
    base::millis responded_at = 0;
    /// True once the engine has reported its served versions to this node.
    bool has_responded = false;
    int poll_failures = 0;
    std::vector<wire::served_version> serving;
    std::map<base::stream_id, admitted_stream> streams;
    std::optional<pending_order> order;
    /// No order is sent before this time.
    base::millis order_not_before = 0;
    int order_failures = 0;
    /// The epoch of the fencing tokens for this engine; 0 if there is none.
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
    /// True while an epoch for this engine is being appended.
    bool epoch_pending = false;

    /// Returns the number of unfinished streams.
    int admitted_count() const;

    /// Returns the number of unfinished streams of each trainer.
    std::vector<wire::trainer_streams> admitted_by_trainer() const;

    /// Returns the version that the engine serves for `trainer`, or 0 if there
    /// is none.
    wire::weight_version
    served_version_of(const base::trainer_id& trainer) const;
};

/// Starts a stream at an engine.
struct start_at_engine {
    base::engine_id engine;
    wire::stream_start start;
};

/// Stops a stream at an engine.
struct stop_at_engine {
    base::engine_id engine;
    base::stream_id stream;
};

/// Sends an order to an engine, unless `expires_at` has passed.
struct send_order {
    base::engine_id engine;
    wire::version_order order;
    base::millis expires_at = 0;
};

/// Sends a report to a trainer's home node.
struct send_report {
    base::node_id to;
    wire::sample_report report;
};

/// Appends an epoch record for the engines that have no epoch yet.
struct append_epoch {};

/// An action that an engine_coordinator requests from its driver.
using engine_effect = std::variant<start_at_engine, stop_at_engine, send_order,
                                   send_report, append_epoch>;

/// Settings of an engine_coordinator, in ms.
struct engine_options {
    /// Interval between two reports of a running stream.
    base::millis report_interval = 250;
    /// An engine without a response for longer than this is unhealthy.
    base::millis unhealthy_after = 1500;
    /// The streams of an engine without a response for longer than this are
    /// reported as missing.
    base::millis dead_after = 3000;
    /// How long the sender of a refused placement is asked to wait.
    base::millis retry_after = 100;
    /// Delay after the first failed order. It doubles with each failure, up to
    /// 32 times this value.
    base::millis order_backoff = 200;
    /// How long an engine may take to report the version of an executed order
    /// as served.
    base::millis order_confirmation_timeout = 2000;
    /// Interval between two checks whether an engine may swap.
    base::millis swap_check_interval = 100;
    /// How long a finished stream is kept while its report is not acknowledged.
    base::millis finished_retention = 30000;
    /// A longer time between two ticks means that this process was paused.
    base::millis pause_threshold = 1000;
};

/// Returns true if an engine may swap to a version now.
using may_swap_function = std::function<bool(
    base::millis, const base::engine_id&, const wire::trainer_version&)>;

/// Admits streams to the engines for which this node is the home node, and
/// orders their version swaps. Counts the admitted streams exactly, regardless
/// of how late the engines report them.
class engine_coordinator {
public:
    /// Constructs the coordinator of the node `self` without engines.
    /// `may_swap` decides when each engine may swap; without it, all engines
    /// swap at once.
    engine_coordinator(base::node_id self, engine_options options,
                       may_swap_function may_swap = {});

    /// Sets the engines for which this node is the home node. The streams of
    /// removed engines are not stopped; they belong to the new home node.
    void
    assign_engines(base::millis now,
                   const std::map<base::engine_id, engine_traits>& engines);

    /// Admits a stream, or refuses it. If a stream with this id is known
    /// already, it is kept, and started again if the new priority is higher.
    wire::place_response admit_stream(base::millis now,
                                      const wire::place_sample& message);

    /// Stops streams that are no longer needed, unless a different home node
    /// has requested them since.
    void cancel_streams(const wire::cancel_streams& message);

    /// Drops the streams whose final report was received.
    void acknowledge_reports(const wire::sample_ack& message);

    /// Returns the request for the next poll of `engine`.
    wire::engine_poll next_poll(const base::engine_id& engine) const;

    /// Processes an engine's response to a poll.
    void on_poll_response(base::millis now, const base::engine_id& engine,
                          const wire::engine_poll_response& response);

    /// Records a failed poll of an engine.
    void on_poll_failed(const base::engine_id& engine);

    /// Records that the request to start a stream has completed. `started` is
    /// ignored: the next poll tells whether the engine has the stream.
    void on_start_result(const base::engine_id& engine,
                         const base::stream_id& stream, bool started);

    /// Records the result of an order; `result` is empty if there was no
    /// response.
    void on_order_result(base::millis now, const base::engine_id& engine,
                         std::optional<wire::order_result> result);

    /// Records the epoch for the engines that wait for one.
    void on_epoch_appended(std::int64_t epoch);

    /// Records that appending the epoch failed. It is requested again, but not
    /// before `retry_at`.
    void on_epoch_append_failed(base::millis retry_at);

    /// Sends the reports that are due, and orders swaps of engines that serve
    /// an older version than `wanted` lists.
    void tick(base::millis now,
              const std::vector<wire::trainer_version>& wanted);

    /// Returns the status of each engine of this node.
    std::vector<wire::engine_status> engine_statuses(base::millis now) const;

    /// Returns the engines of this node.
    const std::map<base::engine_id, engine_state>& engines() const {
        return engines_;
    }

    /// Returns the pending effects in order and clears them.
    std::vector<engine_effect> take_effects();

private:
    bool is_healthy(base::millis now, const engine_state& engine) const;
    void apply_stream_update(base::millis now, engine_state& engine,
                             const wire::stream_update& update);
    void report_streams(base::millis now, const base::engine_id& id,
                        engine_state& engine);
    void add_report(const base::engine_id& engine, const base::stream_id& id,
                    const admitted_stream& admitted);
    void reset_timeouts_after_pause(base::millis now);
    void request_epoch(base::millis now);
    void order_next_swap(base::millis now, const base::engine_id& id,
                         engine_state& engine,
                         const std::vector<wire::trainer_version>& wanted);
    static std::vector<const wire::trainer_version*>
    due_swaps(const engine_state& engine,
              const std::vector<wire::trainer_version>& wanted);
    void check_completed_order(base::millis now, engine_state& engine) const;
    void delay_next_order(base::millis now, engine_state& engine) const;

    base::node_id self_;
    engine_options options_;
    may_swap_function may_swap_;
    std::map<base::engine_id, engine_state> engines_;
    std::map<base::node_id, wire::sample_report> outgoing_reports_;
    bool epoch_needed_ = false;
    bool epoch_pending_ = false;
    base::millis epoch_not_before_ = 0;
    std::optional<base::millis> last_tick_at_;
    std::vector<engine_effect> effects_;
};

} // namespace hibiscus::cluster
