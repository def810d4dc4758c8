#pragma once

#include "hibiscus/wire/peer.hpp"

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
    int queue = 0;
    bool leaving = false;
    /// The trainers that draw from the engine's pool.
    std::vector<base::trainer_id> trainers;
};

/// A stream at an engine, from its admission to the acknowledged report.
struct stream_row {
    wire::stream_start start;
    /// The trainer's home, which gets the reports.
    base::node_id reporter;
    wire::stream_state state = wire::stream_state::queued;
    /// True once the engine has said that it has the stream.
    bool started = false;
    std::vector<wire::chunk> chunks;
    std::optional<wire::weight_version> oldest;
    base::millis reported_at = 0;
};

/// An order to an engine that is on its way.
struct pending_order {
    wire::version_order order;
    base::millis sent_at = 0;
};

/// An engine at its home.
struct homed_engine {
    engine_traits traits;
    /// When this node became the engine's home.
    base::millis since = 0;
    /// When it last answered; 0 before the first time.
    base::millis heard_at = 0;
    int failures = 0;
    std::vector<wire::served_version> serving;
    std::map<base::stream_id, stream_row> streams;
    std::optional<pending_order> order;
    /// No order is sent before this time.
    base::millis order_not_before = 0;
    int order_failures = 0;

    /// Returns the streams that are not done.
    int admitted() const;

    /// Returns the streams that are not done, by trainer.
    std::vector<wire::trainer_streams> admitted_by_trainer() const;

    /// Returns the version that the engine serves for `trainer`, or 0.
    wire::weight_version version_of(const base::trainer_id& trainer) const;
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
struct order_engine {
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
struct take_epoch {};

/// What an engine_home wants done.
using engine_effect = std::variant<start_at_engine, stop_at_engine,
                                   order_engine, send_report, take_epoch>;

/// Times that steer an engine_home, in ms.
struct engine_times {
    /// How often running streams are reported.
    base::millis report = 250;
    /// An engine that has not answered for so long is unhealthy.
    base::millis silence = 1500;
    /// How long a refused placement waits.
    base::millis refusal = 100;
    /// The longest that an order is on its way.
    base::millis order_life = 5000;
    /// The first pause after a failed order; it doubles up to 32 times that.
    base::millis order_backoff = 200;
};

/// Owns the admission and the orders of the engines whose home this node is.
/// It knows the streams it has admitted exactly, whatever the lag of the
/// engines' own reports.
class engine_home {
public:
    /// Constructs an empty home of the node `self`.
    engine_home(base::node_id self, engine_times times);

    /// Sets the engines that this node is home for. Streams of others are
    /// left to their new home.
    void assign(base::millis now,
                const std::map<base::engine_id, engine_traits>& engines);

    /// Admits a stream, finds the one of that id, or refuses.
    wire::place_answer place(base::millis now,
                             const wire::place_sample& message);

    /// Stops streams that are no longer wanted.
    void cancel(const wire::cancel_streams& message);

    /// Forgets finished streams whose report has arrived.
    void acknowledge(const wire::sample_ack& message);

    /// Returns the question for the next poll of `engine`.
    wire::engine_poll poll_of(const base::engine_id& engine) const;

    /// Takes over an engine's answer to a poll.
    void news(base::millis now, const base::engine_id& engine,
              const wire::engine_news& news);

    /// Notes that an engine did not answer.
    void poll_failed(const base::engine_id& engine);

    /// Notes whether the engine has taken a stream. If not, the slot goes
    /// elsewhere.
    void start_ended(const base::engine_id& engine,
                     const base::stream_id& stream, bool started);

    /// Notes an engine's answer to an order, or nothing if none came.
    void ordered(base::millis now, const base::engine_id& engine,
                 std::optional<wire::order_verdict> verdict);

    /// Notes the epoch under which this node may order its engines.
    void epoch_taken(std::int64_t epoch);

    /// Notes that the log did not take the epoch; it is asked for again.
    void epoch_failed(base::millis retry_at);

    /// Sends due reports, and orders where `wanted` is newer than what an
    /// engine serves.
    void tick(base::millis now,
              const std::vector<wire::trainer_version>& wanted);

    /// Returns the load of each engine of this home.
    std::vector<wire::engine_digest> digests(base::millis now) const;

    /// Returns the engines of this home.
    const std::map<base::engine_id, homed_engine>& engines() const {
        return engines_;
    }

    /// Returns what is to be done, in order, and forgets it.
    std::vector<engine_effect> take_effects();

private:
    bool healthy(base::millis now, const homed_engine& engine) const;
    void take_news(homed_engine& engine, const wire::stream_news& news);
    void report_streams(base::millis now, const base::engine_id& id,
                        homed_engine& engine);
    void order_version(base::millis now, const base::engine_id& id,
                       homed_engine& engine,
                       const std::vector<wire::trainer_version>& wanted);

    base::node_id self_;
    engine_times times_;
    std::map<base::engine_id, homed_engine> engines_;
    std::map<base::node_id, wire::sample_report> reports_;
    std::int64_t epoch_ = 0;
    std::int64_t sequence_ = 0;
    bool epoch_wanted_ = false;
    bool epoch_asked_ = false;
    base::millis epoch_not_before_ = 0;
    std::vector<engine_effect> effects_;
};

} // namespace hibiscus::cluster
