#pragma once

#include "hibiscus/batch/job.hpp"
#include "hibiscus/batch/trainer_key.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Decides which groups of the open jobs are finished when the servers can't
/// finish all of them in time.
namespace hibiscus::batch {

/// A group of an open job.
struct open_group {
    /// The index of the group in its job.
    int index = 0;
    /// The lowest id of its items. It stays when a later job resubmits it.
    item_id first_item;
    /// Expected server time until all its texts are whole, and until the
    /// longest one is, in ms of one slot.
    double work_ms = 0;
    double longest_ms = 0;
    /// The part of `work_ms` that is running, and the number of its runs.
    double running_ms = 0;
    int running_items = 0;
    /// True if an item of the group has been at a server.
    bool has_begun = false;
    /// True if an earlier job is known to have ended without the group.
    bool is_resubmitted = false;
    /// True if all texts of the group are whole.
    bool is_whole = false;
};

/// An open job.
struct open_job {
    job_id id;
    samplers::service_name service;
    trainer_key trainer;
    base::millis target_at = 0;
    /// The share of the trainer against others, relative to its steps.
    double weight = 1;
    /// The number of groups that the trainer waits for; 0 means all.
    int required_groups = 0;
    std::vector<open_group> groups;
};

/// The position of a group in the order of placements, lowest first. All are 0
/// while the work fits.
using group_rank = int;

/// The rank of all groups that are finished in time. Their items are placed by
/// the latest time at which they may start.
constexpr group_rank in_time_rank = 1;

/// What a shortage gives to one trainer: groups of its open jobs.
struct trainer_share {
    int wanted_groups = 0;
    /// Groups that are whole, or will be in time.
    int given_groups = 0;
};

/// The open work of a service that its servers can't finish in time.
struct step_shortage {
    samplers::service_name service;
    base::millis began_at = 0;
    /// The work that is due until the first target that can't be met, and the
    /// server time until then, in ms of one slot.
    double work_ms = 0;
    double room_ms = 0;
    std::map<trainer_key, trainer_share> trainers;

    /// Returns the trainer that is given the smallest part of what it wants.
    trainer_key victim() const;
};

/// Plans the order of groups. It remembers how much server time trainers used
/// and which groups it has chosen.
class step_planner {
public:
    /// Plans the open jobs anew. `slots` holds the slots of the servers of each
    /// service. `now` must not decrease.
    void update(base::millis now, const std::vector<open_job>& jobs,
                const std::map<samplers::service_name, int>& slots);

    /// Returns the ranks of a job's groups by their index, or null while the
    /// work of its service fits. Complete groups have no meaningful rank.
    const std::map<int, group_rank>* ranks(const job_id& job) const;

    /// Returns the current shortages, one for each service at most.
    std::vector<step_shortage> shortages() const;

    /// Returns how many shortages have begun.
    std::uint64_t shortage_count() const { return shortage_count_; }

private:
    /// Where a group stands; the more useful part comes first.
    enum class group_part { in_time, if_room, late, spare };

    struct candidate {
        const open_job* job = nullptr;
        const open_group* group = nullptr;
        bool was_chosen = false;
        double cost = 0;
    };

    struct placed_group {
        group_part part = group_part::spare;
        int order = 0;
        candidate group;
    };

    struct trainer_state {
        /// Server time used lately, in ms of one slot; decays.
        double used_ms = 0;
        /// Groups that the trainer waited for in its last steps, and those
        /// that were whole by their targets; both decay.
        double wanted_groups = 0;
        double groups_in_time = 0;
        base::millis last_seen_at = 0;
    };

    /// An open job whose target has not passed.
    struct due_job {
        trainer_key trainer;
        base::millis target_at = 0;
        trainer_share share;
    };

    struct seen_group {
        job_id job;
        /// How many jobs have ended without the group.
        int postponements = 0;
        base::millis last_seen_at = 0;
    };

    struct service_state {
        std::optional<step_shortage> shortage;
        base::millis fits_since = 0;
    };

    /// The server time that is left until each target.
    class room;

    using job_list = std::vector<const open_job*>;
    using ranks_by_group = std::map<int, group_rank>;

    void update_trainers(base::millis now, const std::vector<open_job>& jobs);
    void count_due_jobs(base::millis now, const std::vector<open_job>& jobs);
    void note_groups(base::millis now, const open_job& job);
    int postponements(const open_job& job, const open_group& group) const;
    bool is_resubmitted(const open_job& job, const open_group& group) const;
    int wanted_new_groups(const open_job& job) const;
    trainer_share share_of(const open_job& job) const;
    double wanted_work(const open_job& job) const;
    void update_shortage(base::millis now,
                         const samplers::service_name& service,
                         const job_list& jobs, int slots);
    void choose_groups(base::millis now, const job_list& jobs, int slots,
                       step_shortage& shortage);
    std::map<trainer_key, std::vector<candidate>>
    sorted_candidates(const job_list& jobs) const;
    std::vector<placed_group> share_room(base::millis now, const job_list& jobs,
                                         room& room, step_shortage& shortage);
    bool is_mild(const job_list& jobs) const;
    void rank_groups(std::vector<placed_group> groups);

    std::map<trainer_key, trainer_state> trainers_;
    /// By workspace and first item.
    std::map<std::pair<std::string, item_id>, seen_group> seen_groups_;
    std::set<job_id> seen_jobs_;
    std::map<job_id, due_job> due_jobs_;
    std::map<samplers::service_name, service_state> services_;
    std::map<job_id, ranks_by_group> ranks_;
    std::set<std::pair<job_id, int>> chosen_;
    base::millis updated_at_ = 0;
    std::uint64_t shortage_count_ = 0;
};

} // namespace hibiscus::batch
