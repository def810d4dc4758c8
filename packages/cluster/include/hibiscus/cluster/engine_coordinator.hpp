#pragma once

#include "hibiscus/wire/peer.hpp"

#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace hibiscus::cluster {

/// What an engine's home must know of an engine; it comes from the document
/// and the instance list.
struct engine_traits {
    int slots = 1;
    /// Streams admitted beyond the slots.
    int queue_limit = 0;
    bool leaving = false;
    /// True if the engine refuses an order with an old fencing number.
    bool checks_fencing = true;
    /// The longest that an order is on its way, in ms.
    base::millis order_lifetime = 5000;
    /// The trainers that draw from the engine's pool.
    std::vector<base::trainer_id> trainers;
};

/// A stream at an engine, from its admission to the acknowledged report.
struct admitted_stream {
    wire::stream_start start;
    /// The trainer's home, which gets the reports.
    base::node_id report_to;
    wire::stream_state state = wire::stream_state::queued;
    /// True once the engine may have the stream.
    bool started = false;
    /// How many chunks are known.
    std::uint32_t produced = 0;
    std::optional<wire::weight_version> oldest_version;
    /// The whole text, once it is done.
    std::vector<wire::chunk> chunks;
    /// When it is reported next.
    base::millis report_at = 0;
    /// When it was done.
    base::millis done_at = 0;
};

/// An order to an engine that is on its way, or was carried out and does not
/// show yet in what the engine says that it serves.
struct pending_order {
    wire::version_order order;
    base::millis sent_at = 0;
    /// When the engine said that it was carried out.
    std::optional<base::millis> done_at;
};

/// An engine at its home.
struct engine_state {
    engine_traits traits;
    /// When it last answered, or when this node became its home.
    base::millis responded_at = 0;
    /// True once it has told this home what it serves.
    bool has_responded = false;
    int failures = 0;
    std::vector<wire::served_version> serving;
    std::map<base::stream_id, admitted_stream> streams;
    std::optional<pending_order> order;
    /// No order is sent before this time.
    base::millis order_not_before = 0;
    int order_failures = 0;
    /// The epoch under which it may be ordered; 0 without one.
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
    /// True while an epoch that will count for it is being appended.
    bool epoch_pending = false;

    /// Returns the streams that are not done.
    int admitted_count() const;

    /// Returns the streams that are not done, by trainer.
    std::vector<wire::trainer_streams> admitted_by_trainer() const;

    /// Returns the version that the engine serves for `trainer`, or 0.
    wire::weight_version
    served_version_of(const base::trainer_id& trainer) const;
};

/// Start a stream at an engine.
struct start_at_engine {
    base::engine_id engine;
    wire::stream_start start;
};

/// Stop a stream at an engine.
struct stop_at_engine {
    base::engine_id engine;
    base::stream_id stream;
};

/// Send an order to an engine, unless `expires_at` has passed by then.
struct send_order {
    base::engine_id engine;
    wire::version_order order;
    base::millis expires_at = 0;
};

/// Send a report to a trainer's home.
struct send_report {
    base::node_id to;
    wire::sample_report report;
};

/// Append an epoch record for the engines that this node has become home of.
struct append_epoch {};

/// What an engine_home wants done.
using engine_effect = std::variant<start_at_engine, stop_at_engine, send_order,
                                   send_report, append_epoch>;

/// Times that steer an engine_home, in ms.
struct engine_options {
    /// How often running streams are reported.
    base::millis report_interval = 250;
    /// An engine that has not answered for so long is unhealthy.
    base::millis unhealthy_after = 1500;
    /// Streams of an engine that has not answered for so long are given up.
    base::millis dead_after = 3000;
    /// How long a refused placement waits.
    base::millis retry_after = 100;
    /// The first pause after a failed order; it doubles up to 32 times that.
    base::millis order_backoff = 200;
    /// How long an engine may take to show an order that it carried out.
    base::millis order_confirmation_timeout = 2000;
    /// How long an engine whose turn to swap has not come is not asked about.
    base::millis swap_check_interval = 100;
    /// How long a finished stream is kept for a trainer's home that does not
    /// acknowledge it.
    base::millis done_retention = 30000;
    /// A longer time between two ticks means that the process was paused.
    base::millis pause_threshold = 1000;
};

/// Returns true if it is an engine's turn to swap to a version.
using may_swap_function = std::function<bool(
    base::millis, const base::engine_id&, const wire::trainer_version&)>;

/// Owns the admission and the orders of the engines whose home this node is.
/// It knows the streams it has admitted exactly, whatever the lag of the
/// engines' own reports.
class engine_coordinator {
public:
    /// Constructs an empty home of the node `self` that asks `may_swap` for
    /// the turn of each engine; without it all swap at once.
    engine_coordinator(base::node_id self, engine_options times,
                       may_swap_function may_swap = {});

    /// Sets the engines that this node is home for. Streams of others are
    /// left to their new home.
    void
    assign_engines(base::millis now,
                   const std::map<base::engine_id, engine_traits>& engines);

    /// Admits a stream, finds the one of that id, or refuses. A known stream
    /// that is asked for with a higher priority is started again with it.
    wire::place_response admit_stream(base::millis now,
                                      const wire::place_sample& message);

    /// Stops streams that are no longer wanted, unless another home has asked
    /// for them since.
    void cancel_streams(const wire::cancel_streams& message);

    /// Forgets finished streams whose report has arrived.
    void acknowledge_reports(const wire::sample_ack& message);

    /// Returns the question for the next poll of `engine`.
    wire::engine_poll next_poll(const base::engine_id& engine) const;

    /// Takes over an engine's answer to a poll.
    void on_poll_response(base::millis now, const base::engine_id& engine,
                          const wire::engine_poll_response& news);

    /// Notes that an engine did not answer.
    void on_poll_failed(const base::engine_id& engine);

    /// Notes whether the engine said that it has a stream. If not, it is asked
    /// with the next poll.
    void on_start_result(const base::engine_id& engine,
                         const base::stream_id& stream, bool started);

    /// Notes an engine's answer to an order, or nothing if none came.
    void on_order_result(base::millis now, const base::engine_id& engine,
                         std::optional<wire::order_result> verdict);

    /// Notes the epoch under which this node may order its engines.
    void on_epoch_appended(std::int64_t epoch);

    /// Notes that the log did not take the epoch; it is asked for again.
    void on_epoch_append_failed(base::millis retry_at);

    /// Sends due reports, and orders where `wanted` is newer than what an
    /// engine serves.
    void tick(base::millis now,
              const std::vector<wire::trainer_version>& wanted);

    /// Returns the load of each engine of this home.
    std::vector<wire::engine_status> engine_statuses(base::millis now) const;

    /// Returns the engines of this home.
    const std::map<base::engine_id, engine_state>& engines() const {
        return engines_;
    }

    /// Returns what is to be done, in order, and forgets it.
    std::vector<engine_effect> take_effects();

private:
    bool is_healthy(base::millis now, const engine_state& engine) const;
    void apply_stream_update(base::millis now, engine_state& engine,
                             const wire::stream_update& news);
    void report_streams(base::millis now, const base::engine_id& id,
                        engine_state& engine);
    void add_report(const base::engine_id& engine, const base::stream_id& id,
                    const admitted_stream& row);
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
