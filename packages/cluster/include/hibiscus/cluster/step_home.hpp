#pragma once

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

/// What is known of one slot of a step.
enum class slot_phase {
    waiting,  ///< No stream runs for it.
    placed,   ///< A stream runs, or is being started, at an engine.
    finished, ///< The sample is here and not known to be received.
    received  ///< The trainer has it.
};

/// One slot of a step.
struct slot_row {
    slot_phase phase = slot_phase::waiting;
    std::uint32_t group = 0;
    std::uint32_t attempt = 0;
    base::engine_id engine;
    base::millis placed_at = 0;
    /// When its stream was last heard of.
    base::millis heard_at = 0;
    /// Not placed again before this time.
    base::millis not_before = 0;
    std::optional<wire::weight_version> oldest;
    std::vector<wire::chunk> chunks;
};

/// A step at its trainer's home.
struct step_row {
    base::trainer_id trainer;
    wire::step_number number = 0;
    wire::step_request request;
    std::vector<slot_row> slots;
    base::millis opened_at = 0;
    /// The slots that are not received.
    std::uint32_t missing = 0;
};

/// Asks the placement policy for an engine.
struct placement_query {
    base::trainer_id trainer;
    const std::string* prompt = nullptr;
    /// True for the last slots of a step, which hold it up.
    bool straggler = false;
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
using bound_function =
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
struct answer_pull {
    waiter_id waiter = 0;
    wire::pull_answer answer;
};

/// What a step_home wants done.
using step_effect = std::variant<place_stream, cancel_stream, answer_pull>;

/// Times that steer a step_home, in ms.
struct step_times {
    /// A stream that is not heard of for so long is placed again.
    base::millis silence = 2500;
    /// How long to wait after a refusal without a time of its own.
    base::millis retry = 50;
};

/// Owns the steps of the trainers whose home this node is. It holds nothing
/// that must survive: the trainer knows what it has, and a new home generates
/// the rest again.
class step_home {
public:
    /// Constructs an empty home that asks `place` for engines and `bound` for
    /// the staleness bounds.
    step_home(base::node_id self, step_times times, placement_function place,
              bound_function bound);

    /// Opens a step; opening it again changes nothing. Of each trainer the
    /// newest steps are kept.
    wire::step_answer open(base::millis now, const wire::open_step& message);

    /// Answers a pull, at once or through an effect later. An earlier pull of
    /// the same trainer and step that still waits is answered `superseded`.
    void pull(base::millis now, waiter_id waiter,
              const wire::pull_step& message);

    /// Forgets a waiting pull whose caller is gone.
    void abandon(waiter_id waiter);

    /// Notes what an engine's home says of streams. Returns the ids of the
    /// finished ones, to acknowledge.
    std::vector<base::stream_id> report(base::millis now,
                                        const wire::sample_report& report);

    /// Notes that a stream was not admitted.
    void refused(base::millis now, const base::stream_id& stream,
                 base::millis retry_after);

    /// Notes the newest version of a trainer: drops what is now too old.
    void learn(base::millis now, const base::trainer_id& trainer,
               wire::weight_version newest);

    /// Drops the steps of trainers for which `is_home` returns false and
    /// answers their pulls `home_moved`.
    void release(const std::function<bool(const base::trainer_id&)>& is_home);

    /// Places waiting slots, gives up on silent streams, ends long pulls.
    void tick(base::millis now);

    /// Returns what is to be done, in order, and forgets it.
    std::vector<step_effect> take_effects();

    /// Returns the steps, for status pages.
    const std::map<std::pair<base::trainer_id, wire::step_number>, step_row>&
    steps() const {
        return steps_;
    }

private:
    using step_key = std::pair<base::trainer_id, wire::step_number>;

    struct waiting_pull {
        waiter_id waiter = 0;
        step_key step;
        wire::pull_request request;
        base::millis until = 0;
    };

    struct slot_place {
        step_row* step = nullptr;
        slot_row* slot = nullptr;
    };

    slot_place find(const base::stream_id& stream);
    void trim(const base::trainer_id& trainer);
    void mark_received(step_row& step,
                       const std::vector<wire::slot_range>& ranges);
    bool too_old(const step_row& step, const slot_row& slot,
                 wire::weight_version newest) const;
    void regenerate(step_row& step, slot_row& slot);
    void report_one(base::millis now, const wire::stream_report& report,
                    std::vector<base::stream_id>& finished);
    void place_waiting(base::millis now, step_row& step);
    bool place_slot(base::millis now, step_row& step, std::size_t index);
    void retry_silent(base::millis now, step_row& step);
    bool try_answer(const waiting_pull& waiting, bool last_chance);
    void answer_waiting(base::millis now);
    void refuse_pull(const waiting_pull& waiting, wire::reason why);
    wire::weight_version newest(const base::trainer_id& trainer) const;

    base::node_id self_;
    step_times times_;
    placement_function place_;
    bound_function bound_;
    std::map<step_key, step_row> steps_;
    std::map<base::trainer_id, wire::weight_version> newest_;
    std::vector<waiting_pull> pulls_;
    std::vector<step_effect> effects_;
};

/// Returns the id of the stream that generates a slot: all homes derive the
/// same one, so that a new home finds what the old one started.
base::stream_id stream_of(const base::trainer_id& trainer,
                          wire::step_number step, wire::slot_index slot,
                          std::uint32_t attempt);

} // namespace hibiscus::cluster
