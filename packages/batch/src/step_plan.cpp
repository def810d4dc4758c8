#include "hibiscus/batch/step_plan.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace hibiscus::batch {

namespace {

/// The time in which the used server time decays to a third, in ms: a few
/// steps.
constexpr double share_decay_ms = 20000;

/// The least part of an equal share that a trainer gets however small its steps
/// are.
constexpr double least_share = 0.5;

/// A group counts as this much cheaper for each job that ended without it, so
/// that one with a very long item is not postponed for ever.
constexpr double postponement_factor = 0.5;

/// The time for which the work must fit before a shortage is over, in ms.
constexpr base::millis shortage_end_delay_ms = 2000;

/// The part of a text's estimate that it surely takes: estimates scatter.
constexpr double certain_part = 0.7;

/// The part of the groups that must have been in time lately for late groups to
/// take room before the targets of others: it is then seldom needed by the
/// steps to come, and a step that is a little late ends soon.
constexpr double mild_shortage_part = 0.8;

/// How much of the room the work must exceed to be a shortage.
constexpr double shortage_factor = 1.15;

/// How long trainers and groups without an open job are remembered, in ms.
constexpr base::millis memory_ms = 60000;

} // namespace

/// The server time until each target, and what is already taken of it. Work
/// that is due at a target takes room from all later ones too.
class step_planner::room {
public:
    room(base::millis now, int slots, const job_list& jobs)
        : now_(now), slots_(slots) {
        for (const auto* job : jobs) {
            if (job->target_at > now) {
                left_ms_[job->target_at] = total_until(job->target_at);
            }
        }
    }

    double total_until(base::millis target_at) const {
        return static_cast<double>(slots_) *
               static_cast<double>(std::max<base::millis>(0, target_at - now_));
    }

    /// Takes the room of runs that are not stopped.
    void take_running(const open_group& group) {
        for (auto& [target_at, left] : left_ms_) {
            left -= std::min(group.running_ms,
                             group.running_items *
                                 static_cast<double>(target_at - now_));
        }
    }

    /// Takes the room if all of it is free.
    bool take(base::millis target_at, double work_ms) {
        const auto first = left_ms_.lower_bound(target_at);
        const bool fits =
            std::all_of(first, left_ms_.end(), [&](const auto& left) {
                return left.second >= work_ms;
            });
        if (fits) {
            std::for_each(first, left_ms_.end(),
                          [&](auto& left) { left.second -= work_ms; });
        }
        return fits;
    }

    double total() const {
        return left_ms_.empty() ? 0 : total_until(left_ms_.rbegin()->first);
    }

private:
    base::millis now_;
    int slots_;
    std::map<base::millis, double> left_ms_;
};

trainer_key step_shortage::victim() const {
    const auto part = [](const auto& row) {
        return static_cast<double>(row.second.given_groups) /
               std::max(1, row.second.wanted_groups);
    };
    const auto least = std::min_element(
        trainers.begin(), trainers.end(),
        [&](const auto& a, const auto& b) { return part(a) < part(b); });
    return least == trainers.end() ? trainer_key() : least->first;
}

void step_planner::update(base::millis now, const std::vector<open_job>& jobs,
                          const std::map<samplers::service_name, int>& slots) {
    update_trainers(now, jobs);
    std::map<samplers::service_name, job_list> jobs_by_service;
    for (auto& [service, state] : services_) {
        jobs_by_service[service];
    }
    for (const auto& job : jobs) {
        jobs_by_service[job.service].push_back(&job);
    }
    ranks_.clear();
    for (auto c = chosen_.begin(); c != chosen_.end();) {
        c = seen_jobs_.count(c->first) == 0 ? chosen_.erase(c) : std::next(c);
    }
    for (const auto& [service, service_jobs] : jobs_by_service) {
        const auto found = slots.find(service);
        update_shortage(now, service, service_jobs,
                        found == slots.end() ? 0 : found->second);
    }
    updated_at_ = now;
}

const std::map<int, group_rank>* step_planner::ranks(const job_id& job) const {
    const auto found = ranks_.find(job);
    return found == ranks_.end() ? nullptr : &found->second;
}

std::vector<step_shortage> step_planner::shortages() const {
    std::vector<step_shortage> result;
    for (const auto& [service, state] : services_) {
        if (state.shortage) {
            result.push_back(*state.shortage);
        }
    }
    return result;
}

void step_planner::update_trainers(base::millis now,
                                   const std::vector<open_job>& jobs) {
    const auto elapsed = static_cast<double>(now - updated_at_);
    for (auto t = trainers_.begin(); t != trainers_.end();) {
        const double kept = std::exp(-elapsed / share_decay_ms);
        t->second.used_ms *= kept;
        t->second.wanted_groups *= kept;
        t->second.groups_in_time *= kept;
        t = now - t->second.last_seen_at > memory_ms ? trainers_.erase(t)
                                                     : std::next(t);
    }
    for (auto g = seen_groups_.begin(); g != seen_groups_.end();) {
        g = now - g->second.last_seen_at > memory_ms ? seen_groups_.erase(g)
                                                     : std::next(g);
    }
    std::set<job_id> open_jobs;
    for (const auto& job : jobs) {
        open_jobs.insert(job.id);
        auto& trainer = trainers_[job.trainer];
        trainer.last_seen_at = now;
        for (const auto& group : job.groups) {
            trainer.used_ms += group.running_items * elapsed;
        }
        if (seen_jobs_.count(job.id) == 0) {
            note_groups(now, job);
        }
    }
    count_due_jobs(now, jobs);
    seen_jobs_ = std::move(open_jobs);
}

/// Counts the groups of the steps that ended or whose targets passed.
void step_planner::count_due_jobs(base::millis now,
                                  const std::vector<open_job>& jobs) {
    auto due = std::move(due_jobs_);
    due_jobs_.clear();
    for (const auto& job : jobs) {
        if (job.target_at > now) {
            due_jobs_[job.id] = {job.trainer, job.target_at, share_of(job)};
            due.erase(job.id);
        }
    }
    for (const auto& [id, job] : due) {
        auto& trainer = trainers_[job.trainer];
        trainer.wanted_groups += job.share.wanted_groups;
        trainer.groups_in_time += job.share.given_groups;
    }
}

void step_planner::note_groups(base::millis now, const open_job& job) {
    for (const auto& group : job.groups) {
        auto& seen = seen_groups_[{job.trainer.workspace, group.first_item}];
        if (seen.last_seen_at > 0 && seen.job != job.id) {
            ++seen.postponements;
        }
        seen.job = job.id;
        seen.last_seen_at = std::max<base::millis>(1, now);
    }
}

int step_planner::postponements(const open_job& job,
                                const open_group& group) const {
    const auto seen =
        seen_groups_.find({job.trainer.workspace, group.first_item});
    return std::max(group.is_resubmitted ? 1 : 0,
                    seen == seen_groups_.end() ? 0
                                               : seen->second.postponements);
}

bool step_planner::is_resubmitted(const open_job& job,
                                  const open_group& group) const {
    return postponements(job, group) > 0;
}

/// Returns how many more groups the trainer waits for apart from the
/// resubmitted ones, all of which it waits for.
int step_planner::wanted_new_groups(const open_job& job) const {
    int open = 0;
    int settled = 0;
    for (const auto& group : job.groups) {
        const bool is_settled = group.is_whole || is_resubmitted(job, group);
        ++(is_settled ? settled : open);
    }
    return job.required_groups <= 0
               ? open
               : std::clamp(job.required_groups - settled, 0, open);
}

/// Returns the groups that the trainer waits for and those that are whole.
trainer_share step_planner::share_of(const open_job& job) const {
    trainer_share share;
    for (const auto& group : job.groups) {
        share.given_groups += group.is_whole ? 1 : 0;
        share.wanted_groups +=
            group.is_whole || is_resubmitted(job, group) ? 1 : 0;
    }
    share.wanted_groups += wanted_new_groups(job);
    return share;
}

/// Returns the work of the groups that the trainer waits for, the cheapest of
/// the new ones.
double step_planner::wanted_work(const open_job& job) const {
    double work = 0;
    std::vector<double> new_groups;
    for (const auto& group : job.groups) {
        if (is_resubmitted(job, group)) {
            work += group.work_ms;
        } else if (!group.is_whole) {
            new_groups.push_back(group.work_ms);
        }
    }
    std::sort(new_groups.begin(), new_groups.end());
    const int wanted = wanted_new_groups(job);
    for (int n = 0; n < wanted; ++n) {
        work += new_groups[static_cast<std::size_t>(n)];
    }
    return work;
}

void step_planner::update_shortage(base::millis now,
                                   const samplers::service_name& service,
                                   const job_list& jobs, int slots) {
    auto by_target = jobs;
    std::stable_sort(by_target.begin(), by_target.end(),
                     [](const auto* a, const auto* b) {
                         return a->target_at < b->target_at;
                     });
    auto& state = services_[service];
    const room whole_room(now, slots, jobs);
    double due_ms = 0;
    double room_ms = 0;
    bool fits = true;
    for (const auto* job : by_target) {
        due_ms += wanted_work(*job);
        room_ms = whole_room.total_until(job->target_at);
        if (job->target_at > now && due_ms > shortage_factor * room_ms) {
            fits = false;
            break;
        }
    }
    if (!fits) {
        state.fits_since = now;
        if (!state.shortage) {
            state.shortage.emplace();
            state.shortage->service = service;
            state.shortage->began_at = now;
            ++shortage_count_;
        }
        state.shortage->work_ms = due_ms;
        state.shortage->room_ms = room_ms;
    } else if (now - state.fits_since >= shortage_end_delay_ms) {
        state.shortage.reset();
    }
    if (state.shortage) {
        choose_groups(now, jobs, slots, *state.shortage);
    }
}

/// Shares the room until the targets among the groups and ranks them.
void step_planner::choose_groups(base::millis now, const job_list& jobs,
                                 int slots, step_shortage& shortage) {
    shortage.trainers.clear();
    room room(now, slots, jobs);
    for (const auto* job : jobs) {
        auto& share = shortage.trainers[job->trainer];
        const auto of_job = share_of(*job);
        share.wanted_groups += of_job.wanted_groups;
        share.given_groups += of_job.given_groups;
        for (const auto& group : job->groups) {
            room.take_running(group);
        }
    }
    rank_groups(share_room(now, jobs, room, shortage));
}

/// Returns the open groups of each trainer, the ones to finish first at the
/// end: those chosen before, then begun ones, then the cheapest.
std::map<trainer_key, std::vector<step_planner::candidate>>
step_planner::sorted_candidates(const job_list& jobs) const {
    std::map<trainer_key, std::vector<candidate>> result;
    for (const auto* job : jobs) {
        for (const auto& group : job->groups) {
            if (!group.is_whole) {
                result[job->trainer].push_back(
                    {job, &group, chosen_.count({job->id, group.index}) != 0,
                     group.work_ms * std::pow(postponement_factor,
                                              postponements(*job, group))});
            }
        }
    }
    const auto order = [](const candidate& c) {
        return std::make_tuple(!c.was_chosen, !c.group->has_begun, c.cost,
                               c.job->target_at, c.group->index);
    };
    for (auto& row : result) {
        std::sort(
            row.second.begin(), row.second.end(),
            [&](const auto& a, const auto& b) { return order(a) > order(b); });
    }
    return result;
}

/// Gives the room to one group at a time: to trainers under the least share
/// first, then to the trainer that got the smallest part of what it waits for.
std::vector<step_planner::placed_group>
step_planner::share_room(base::millis now, const job_list& jobs, room& room,
                         step_shortage& shortage) {
    struct claim {
        double served_ms = 0;
        double weight = 1;
        double wanted_groups = 1;
        double given_groups = 0;
        std::vector<candidate> candidates;
    };
    std::map<trainer_key, claim> claims;
    std::map<const open_job*, int> wanted_left;
    for (auto& [key, candidates] : sorted_candidates(jobs)) {
        auto& claim = claims[key];
        claim.served_ms = trainers_.at(key).used_ms;
        claim.wanted_groups = trainers_.at(key).wanted_groups;
        claim.given_groups = trainers_.at(key).groups_in_time;
        claim.candidates = candidates;
    }
    double weights = 0;
    double served_ms = room.total();
    for (const auto* job : jobs) {
        wanted_left[job] = wanted_new_groups(*job);
        const auto claim = claims.find(job->trainer);
        if (claim != claims.end()) {
            claim->second.weight = job->weight;
            if (job->target_at > now) {
                const auto share = share_of(*job);
                claim->second.wanted_groups += share.wanted_groups;
                claim->second.given_groups += share.given_groups;
            }
        }
    }
    for (const auto& row : claims) {
        weights += row.second.weight;
        served_ms += row.second.served_ms;
    }
    const auto need = [&](const claim& c) {
        const double least =
            least_share * served_ms * c.weight / std::max(weights, 1e-9);
        return c.served_ms < least
                   ? std::make_pair(0, c.served_ms / c.weight)
                   : std::make_pair(1, c.given_groups / c.weight /
                                           std::max(1.0, c.wanted_groups));
    };
    std::vector<placed_group> placed;
    for (const auto* job : jobs) {
        chosen_.erase(
            chosen_.lower_bound({job->id, 0}),
            chosen_.upper_bound({job->id, std::numeric_limits<int>::max()}));
    }
    while (!claims.empty()) {
        const auto next = std::min_element(
            claims.begin(), claims.end(), [&](const auto& a, const auto& b) {
                return need(a.second) < need(b.second);
            });
        auto& claim = next->second;
        const auto group = claim.candidates.back();
        claim.candidates.pop_back();
        const auto& g = *group.group;
        const auto target_at = group.job->target_at;
        const bool resubmitted = is_resubmitted(*group.job, g);
        auto& left = wanted_left[group.job];
        placed_group row;
        row.group = group;
        row.order = static_cast<int>(placed.size());
        const bool may_be_in_time =
            certain_part * g.longest_ms <= static_cast<double>(target_at - now);
        if (!resubmitted && left <= 0) {
            row.part = group_part::spare;
        } else if (!may_be_in_time) {
            row.part = group_part::late;
        } else if (room.take(target_at, g.work_ms - g.running_ms)) {
            row.part = group_part::in_time;
            claim.served_ms += g.work_ms;
            claim.given_groups += 1;
            left -= resubmitted ? 0 : 1;
            chosen_.insert({group.job->id, g.index});
            ++shortage.trainers[next->first].given_groups;
        } else {
            row.part = group_part::if_room;
        }
        placed.push_back(row);
        if (claim.candidates.empty()) {
            claims.erase(next);
        }
    }
    if (is_mild(jobs)) {
        for (auto& row : placed) {
            const auto& g = *row.group.group;
            if (row.part == group_part::late &&
                room.take(row.group.job->target_at, g.work_ms - g.running_ms)) {
                row.part = group_part::in_time;
            }
        }
    }
    return placed;
}

/// Returns true if nearly all groups of the last steps were in time.
bool step_planner::is_mild(const job_list& jobs) const {
    double wanted = 0;
    double in_time = 0;
    std::set<trainer_key> trainers;
    for (const auto* job : jobs) {
        if (trainers.insert(job->trainer).second) {
            wanted += trainers_.at(job->trainer).wanted_groups;
            in_time += trainers_.at(job->trainer).groups_in_time;
        }
    }
    return wanted > 0 && in_time >= mild_shortage_part * wanted;
}

void step_planner::rank_groups(std::vector<placed_group> groups) {
    const auto order = [](const placed_group& g) {
        return std::make_tuple(g.part, g.order);
    };
    std::sort(groups.begin(), groups.end(), [&](const auto& a, const auto& b) {
        return order(a) < order(b);
    });
    group_rank rank = in_time_rank;
    for (const auto& row : groups) {
        ranks_[row.group.job->id][row.group.group->index] =
            row.part == group_part::in_time ? in_time_rank : ++rank;
    }
}

} // namespace hibiscus::batch
