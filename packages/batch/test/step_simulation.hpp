#pragma once

#include "hibiscus/batch/item_scheduler.hpp"
#include "hibiscus/samplers/weight_rollout.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Simulates trainers and backend servers in virtual time around a real
/// item_scheduler and weight_rollout: which item runs where, and which server
/// loads which weights when.
namespace hibiscus::batch::simulation {

/// Properties of the simulated servers. Times in ms.
struct server_config {
    int server_count = 11;
    int slots = 12;
    double event_ms = 34.5;
    /// Each additional run lengthens event_ms of all runs at a server by this
    /// share.
    double slowdown_per_run = 0.015;
    double load_ms = 900;
    /// Number of concurrent loads that don't slow each other down.
    int full_speed_loads = 2;
    /// Delay between the end of a load and the server's report of it.
    base::millis report_lag_ms = 0;
};

/// The steps that a simulated trainer submits. Times in ms.
struct trainer_config {
    int groups = 9;
    int group_size = 8;
    int required_groups = 9;
    double mean_events = 24;
    int max_events = 174;
    double train_ms = 500;
    /// The trainer's first step is submitted this long after the start.
    base::millis start_delay_ms = 0;
    /// The age at which the trainer ends a step that is not complete; 0 is
    /// never. The next step then resubmits its incomplete groups, up to half of
    /// the required ones.
    base::millis give_up_ms = 0;
};

constexpr base::millis step_interval_ms = 4000;
constexpr base::millis target_ms = 7500;
/// A group counts as in time if it is read by then.
constexpr base::millis read_target_ms = 8200;
/// Trainers read results about twice a second.
constexpr base::millis read_interval_ms = 500;
constexpr base::millis tick_ms = 5;
constexpr std::int64_t tokens_per_event = 57;

/// Step counts of one trainer.
struct trainer_result {
    int submitted_steps = 0;
    int ended_steps = 0;
    int steps_in_time = 0;
    /// Number of servers that had a step's weights at its submission, summed
    /// over all steps.
    int ready_server_sum = 0;
    /// Groups that the trainer waited for in its ended steps.
    int wanted_groups = 0;
    int groups_in_time = 0;
    /// Events of the groups in time, and of all items and the longest tenth
    /// of them: how many were asked for and how many were listed.
    std::int64_t events_in_time = 0;
    int items = 0;
    int listed_items = 0;
    int long_items = 0;
    int listed_long_items = 0;
};

class step_simulation {
public:
    step_simulation(server_config servers, std::vector<trainer_config> trainers,
                    unsigned seed, base::feature_set features = {})
        : server_config_(servers), random_(seed), features_(features) {
        for (auto& t : trainers) {
            const auto model = "m" + std::to_string(trainers_.size());
            trainer added;
            added.config = t;
            added.model = model;
            trainers_.push_back(std::move(added));
        }
        set_server_count(server_config_.server_count);
    }

    /// Simulates `duration` ms and returns the result of each trainer.
    std::vector<trainer_result> run(base::millis duration) {
        while (clock_.now() < duration) {
            time_->advance(tick_ms);
            advance_loads();
            advance_runs();
            advance_trainers();
            apply_effects(scheduler_->tick(true));
            commit_results();
            end_late_steps();
        }
        std::vector<trainer_result> results;
        for (const auto& t : trainers_) {
            results.push_back(t.result);
        }
        return results;
    }

    /// Returns the number of servers that have had a run.
    int used_server_count() const {
        return static_cast<int>(used_servers_.size());
    }

    /// Returns the slots that the trainers are estimated to need.
    std::optional<slot_demand> demand() const {
        return scheduler_->demand(service_, rollout_.expected_load_ms());
    }

    /// Adds servers, or removes the last ones with their runs.
    void set_server_count(int count) {
        for (; static_cast<int>(servers_.size()) > count;) {
            const auto id = std::prev(servers_.end())->first;
            table_.remove(id);
            std::vector<run_number> cut;
            for (const auto& [number, run] : runs_) {
                if (run.start.sampler == id) {
                    cut.push_back(number);
                }
            }
            for (const auto number : cut) {
                end_run(number);
                apply_effects(
                    scheduler_->on_run_ended(number, run_outcome::cut));
            }
            servers_.erase(id);
        }
        for (int n = static_cast<int>(servers_.size()); n < count; ++n) {
            add_server(n);
        }
    }

    /// Replaces the owner by one that takes up the jobs with all texts so far.
    void replace_owner() {
        std::map<job_id, std::map<int, std::vector<progress_part>>> progress;
        for (const auto& p :
             scheduler_->unsaved_parts(1, std::size_t{1} << 30U)) {
            progress[p.job][p.part.item_index].push_back(p.part);
        }
        apply_effects(scheduler_->remove_all_jobs());
        scheduler_ = std::make_unique<item_scheduler>(clock_, table_, crashes_);
        for (const auto& t : trainers_) {
            for (const auto& j : t.open_jobs) {
                apply_effects(scheduler_->add_job(
                    j.row, j.items, progress[j.id], j.options, 2000));
            }
        }
    }

    /// Returns the scheduler, to look into its state between two run().
    const item_scheduler& scheduler() const { return *scheduler_; }

    /// Returns which item was sent to which server, in order.
    const auto& placements() const { return placements_; }

    /// Returns the number of ordered loads.
    int load_count() const { return load_count_; }

private:
    struct server {
        std::map<std::string, std::int64_t> versions;
        int run_count = 0;
        /// The model that is being loaded, or empty, and the remaining duration
        /// of the load in ms at full speed.
        std::string loading_model;
        std::int64_t target_version = 0;
        double load_left_ms = 0;
        base::millis loaded_at = 0;
    };

    struct simulated_run {
        start_run start;
        int events_left = 0;
        int next_event = 1;
        double ms_until_event = 0;
    };

    struct simulated_job {
        job_id id;
        std::int64_t step = 0;
        base::millis submitted_at = 0;
        std::map<std::string, int> items_left_in_group;
        std::vector<item> items;
        job_row row;
        job_options options;
        std::set<std::string> resubmitted_groups;
        std::set<std::string> groups_in_time;
        base::millis next_read_at = 0;
        std::set<int> unread_items;
    };

    struct trainer {
        trainer_config config;
        std::string model;
        std::int64_t next_step = 0;
        /// When the trainer will have trained on all results that it has read.
        base::millis trained_at = 0;
        std::vector<simulated_job> open_jobs;
        trainer_result result;
        /// Items of incomplete groups for the next step.
        std::vector<item> incomplete_items;
        /// The newest announced version. Steps with a number up to this one may
        /// be submitted.
        std::int64_t newest_version = 1;
        std::map<base::millis, std::int64_t> pending_versions;
    };

    void add_server(int number) {
        const samplers::sampler_id id("s" + std::to_string(100 + number));
        samplers::registration r;
        r.service = service_;
        r.slots = server_config_.slots;
        for (const auto& t : trainers_) {
            r.versions[t.model] = t.newest_version;
        }
        servers_[id].versions = r.versions;
        table_.put(id, r);
    }

    void apply_effects(const effects& all) {
        for (const auto& e : all) {
            if (const auto* s = std::get_if<start_run>(&e)) {
                begin_run(*s);
            } else if (const auto* s = std::get_if<stop_run>(&e)) {
                end_run(s->run);
            }
        }
    }

    void begin_run(const start_run& start) {
        used_servers_.insert(start.sampler);
        placements_.emplace_back(start.content->id, start.sampler);
        auto& server = servers_.at(start.sampler);
        if (server.loading_model == start.model ||
            server.run_count >= server_config_.slots) {
            apply_effects(
                scheduler_->on_run_ended(start.run, run_outcome::not_run));
            return;
        }
        ++server.run_count;
        const auto skipped_events = start.resume_after_event.empty()
                                        ? 0
                                        : std::stoi(start.resume_after_event);
        runs_[start.run] = {
            start, event_counts_.at(start.content->id) - skipped_events,
            skipped_events + 1, 10};
        apply_effects(scheduler_->on_response_started(
            start.run, server.versions.at(start.model)));
    }

    void end_run(run_number run) {
        const auto found = runs_.find(run);
        if (found != runs_.end()) {
            --servers_.at(found->second.start.sampler).run_count;
            runs_.erase(found);
        }
    }

    void advance_runs() {
        std::vector<run_number> numbers;
        for (const auto& [number, run] : runs_) {
            numbers.push_back(number);
        }
        for (const auto number : numbers) {
            const auto found = runs_.find(number);
            if (found == runs_.end()) {
                continue;
            }
            auto& run = found->second;
            const auto& server = servers_.at(run.start.sampler);
            run.ms_until_event -=
                tick_ms /
                (1 + server_config_.slowdown_per_run * (server.run_count - 1));
            if (run.ms_until_event > 0) {
                continue;
            }
            run.ms_until_event += server_config_.event_ms;
            const auto version = server.versions.at(run.start.model);
            const auto id = std::to_string(run.next_event++);
            const bool is_last = --run.events_left <= 0;
            apply_effects(scheduler_->on_event(number, id, "e", version));
            if (is_last && runs_.count(number) != 0) {
                end_run(number);
                apply_effects(
                    scheduler_->on_run_ended(number, run_outcome::complete));
            }
        }
    }

    void advance_loads() {
        const auto active =
            std::count_if(servers_.begin(), servers_.end(), [](const auto& s) {
                return !s.second.loading_model.empty();
            });
        for (auto& [id, s] : servers_) {
            if (s.loading_model.empty()) {
                continue;
            }
            s.load_left_ms -=
                tick_ms * std::min(1.0, static_cast<double>(
                                            server_config_.full_speed_loads) /
                                            static_cast<double>(active));
            if (s.load_left_ms <= 0) {
                s.versions[s.loading_model] = s.target_version;
                s.loading_model.clear();
                s.loaded_at = clock_.now();
            }
        }
        for (const auto& id : rollout_.take_due_checks()) {
            const auto& s = servers_.at(id);
            const bool reported =
                clock_.now() >= s.loaded_at + server_config_.report_lag_ms;
            if (s.loading_model.empty() && reported) {
                rollout_.on_load_done(id, s.versions);
                table_.clear_loading_of(id);
                for (const auto& [model, version] : s.versions) {
                    table_.set_observed_version(id, model, version);
                }
            }
        }
        for (const auto& [model, slots] : scheduler_->update_wanted_slots()) {
            rollout_.set_wanted_slots(model, slots);
        }
        for (const auto& order : rollout_.take_due_orders(table_)) {
            ++load_count_;
            auto& s = servers_.at(order.sampler);
            s.loading_model = order.model;
            s.target_version = order.version;
            s.load_left_ms = server_config_.load_ms;
            rollout_.on_order_accepted(order);
            table_.set_loading(order.sampler, order.model,
                               rollout_.load_timeout_ms());
        }
    }

    void advance_trainers() {
        const auto now = clock_.now();
        for (auto& t : trainers_) {
            while (!t.pending_versions.empty() &&
                   t.pending_versions.begin()->first <= now) {
                t.newest_version = t.pending_versions.begin()->second;
                t.pending_versions.erase(t.pending_versions.begin());
                rollout_.announce_version(t.model, t.newest_version);
                scheduler_->announce_version(t.model, t.newest_version);
            }
            if (now >=
                    t.config.start_delay_ms + t.next_step * step_interval_ms &&
                t.next_step <= t.newest_version) {
                submit_step(t);
            }
        }
    }

    /// Submits the next step. Step k accepts the weights of version k - 1 and
    /// newer.
    void submit_step(trainer& t) {
        job_row row;
        job_header header;
        header.id = job_id(t.model + "-" + std::to_string(t.next_step));
        header.model = t.model;
        header.step = t.next_step;
        header.min_version = std::max<std::int64_t>(1, t.next_step - 1);
        std::vector<item> items;
        simulated_job j{header.id, t.next_step, clock_.now(), {}, {}, {}, {},
                        {},        {},          clock_.now(), {}};
        header.required_groups =
            t.config.give_up_ms > 0 ? t.config.required_groups : 0;
        resubmit_groups(t, j, items);
        for (int g = static_cast<int>(j.resubmitted_groups.size());
             g < t.config.groups; ++g) {
            const auto group =
                std::to_string(t.next_step) + "g" + std::to_string(g);
            j.items_left_in_group[group] = t.config.group_size;
            for (int n = 0; n < t.config.group_size; ++n) {
                items.push_back(draw_item(t, header.id, group, g * 100 + n));
            }
        }
        j.items = items;
        header.item_count = static_cast<int>(items.size());
        row.header = header;
        row.first_seen_at = clock_.now();
        job_options options;
        options.service = service_;
        options.target_ms = target_ms;
        options.item_expiry_ms = 40000;
        j.row = row;
        j.options = options;
        item_groups_[header.id] = {};
        for (const auto& i : items) {
            item_groups_[header.id].push_back(i.group);
        }
        t.result.ready_server_sum += static_cast<int>(
            std::count_if(servers_.begin(), servers_.end(), [&](const auto& s) {
                return s.second.loading_model != t.model &&
                       s.second.versions.at(t.model) >= header.min_version;
            }));
        apply_effects(
            scheduler_->add_job(row, std::move(items), {}, options, 1000));
        t.open_jobs.push_back(std::move(j));
        ++t.result.submitted_steps;
        ++t.next_step;
    }

    /// Moves incomplete groups of earlier steps to the front of a step.
    static void resubmit_groups(trainer& t, simulated_job& j,
                                std::vector<item>& items) {
        for (auto& i : t.incomplete_items) {
            if (j.resubmitted_groups.count(i.group) != 0 ||
                static_cast<int>(j.resubmitted_groups.size()) <
                    t.config.required_groups / 2) {
                j.resubmitted_groups.insert(i.group);
                ++j.items_left_in_group[i.group];
                items.push_back(std::move(i));
            }
        }
        t.incomplete_items.clear();
    }

    item draw_item(const trainer& t, const job_id& job,
                   const std::string& group, int number) {
        std::lognormal_distribution<double> length_factor(-0.405, 0.9);
        std::lognormal_distribution<double> estimate_factor(0, 0.5);
        std::bernoulli_distribution is_long(0.08);
        const double drawn_events = t.config.mean_events *
                                    length_factor(random_) *
                                    (is_long(random_) ? 5 : 0.74);
        item i;
        i.id = item_id(job.str() + "/" + std::to_string(number));
        const int event_count =
            std::clamp(static_cast<int>(drawn_events), 1, t.config.max_events);
        event_counts_[i.id] = event_count;
        i.prompt_tokens = 1000;
        i.expected_output_tokens = static_cast<std::int64_t>(
            static_cast<double>(event_count * tokens_per_event) *
            estimate_factor(random_));
        i.group = group;
        return i;
    }

    /// Commits ready results, and ends the steps whose trainers have read
    /// enough groups.
    void commit_results() {
        std::map<job_id, std::set<int>> ready_items;
        for (const auto& r : scheduler_->ready_results(std::size_t{1} << 30U)) {
            ready_items[r.job].insert(r.item_index);
        }
        for (const auto& [id, item_indices] : ready_items) {
            apply_effects(scheduler_->on_committed(id, item_indices));
            for (auto& t : trainers_) {
                for (auto& j : t.open_jobs) {
                    if (j.id == id) {
                        j.unread_items.insert(item_indices.begin(),
                                              item_indices.end());
                        j.row.committed_items.insert(item_indices.begin(),
                                                     item_indices.end());
                    }
                }
            }
        }
        for (auto& t : trainers_) {
            // An ended step is removed, so the index stays.
            for (std::size_t n = 0; n < t.open_jobs.size();) {
                n += read_results_and_end_step(t, n) ? 0 : 1;
            }
        }
    }

    /// Lets a trainer read new results of a step, and ends the step if it has
    /// read enough groups. Returns true if the step ended and was removed.
    bool read_results_and_end_step(trainer& t, std::size_t job_index) {
        auto& j = t.open_jobs[job_index];
        const auto now = clock_.now();
        if (now < j.next_read_at || j.unread_items.empty()) {
            return false;
        }
        j.next_read_at = now + read_interval_ms;
        for (const int item : j.unread_items) {
            --j.items_left_in_group[item_groups_.at(
                j.id)[static_cast<std::size_t>(item)]];
        }
        j.unread_items.clear();
        int complete_groups = 0;
        bool has_resubmitted = true;
        for (const auto& [group, items_left] : j.items_left_in_group) {
            complete_groups += items_left == 0 ? 1 : 0;
            has_resubmitted =
                has_resubmitted &&
                (items_left == 0 || j.resubmitted_groups.count(group) == 0);
            if (items_left == 0 && now - j.submitted_at <= read_target_ms) {
                j.groups_in_time.insert(group);
            }
        }
        if (complete_groups < t.config.required_groups || !has_resubmitted) {
            return false;
        }
        end_step(t, job_index);
        return true;
    }

    /// Ends the steps that their trainers no longer wait for.
    void end_late_steps() {
        for (auto& t : trainers_) {
            for (std::size_t n = 0; n < t.open_jobs.size();) {
                const auto age = clock_.now() - t.open_jobs[n].submitted_at;
                if (t.config.give_up_ms > 0 && age >= t.config.give_up_ms) {
                    end_step(t, n);
                } else {
                    ++n;
                }
            }
        }
    }

    /// Counts the groups that the trainer waited for: the resubmitted ones and
    /// then those that were complete first.
    void count_groups(trainer& t, const simulated_job& j) {
        auto& r = t.result;
        r.wanted_groups += t.config.required_groups;
        int resubmitted_in_time = 0;
        for (const auto& group : j.groups_in_time) {
            resubmitted_in_time +=
                static_cast<int>(j.resubmitted_groups.count(group));
        }
        const int new_in_time =
            static_cast<int>(j.groups_in_time.size()) - resubmitted_in_time;
        const int new_wanted = t.config.required_groups -
                               static_cast<int>(j.resubmitted_groups.size());
        r.groups_in_time +=
            resubmitted_in_time + std::min(new_in_time, new_wanted);
        for (const auto& i : j.items) {
            const bool is_listed = j.items_left_in_group.at(i.group) == 0;
            const int events = event_counts_.at(i.id);
            const bool is_long = events > 2.5 * t.config.mean_events;
            ++r.items;
            r.listed_items += is_listed ? 1 : 0;
            r.long_items += is_long ? 1 : 0;
            r.listed_long_items += is_long && is_listed ? 1 : 0;
            if (j.groups_in_time.count(i.group) != 0) {
                r.events_in_time += events;
            }
        }
    }

    void end_step(trainer& t, std::size_t job_index) {
        auto& j = t.open_jobs[job_index];
        const auto now = clock_.now();
        ++t.result.ended_steps;
        t.result.steps_in_time += now - j.submitted_at <= target_ms ? 1 : 0;
        count_groups(t, j);
        if (t.config.give_up_ms > 0) {
            for (const auto& i : j.items) {
                if (j.items_left_in_group.at(i.group) > 0) {
                    t.incomplete_items.push_back(i);
                }
            }
        }
        t.trained_at = std::max(now, t.trained_at) +
                       static_cast<base::millis>(t.config.train_ms);
        t.pending_versions[t.trained_at] = j.step + 2;
        apply_effects(scheduler_->remove_job(j.id));
        t.open_jobs.erase(t.open_jobs.begin() + static_cast<long>(job_index));
    }

    server_config server_config_;
    std::mt19937 random_;
    base::feature_set features_;
    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    samplers::sampler_table table_{clock_, 0, features_};
    samplers::weight_rollout rollout_{clock_};
    crash_ledger crashes_{clock_, 60000};
    std::unique_ptr<item_scheduler> scheduler_ =
        std::make_unique<item_scheduler>(clock_, table_, crashes_);
    std::vector<std::pair<item_id, samplers::sampler_id>> placements_;
    const samplers::service_name service_{"engines"};
    int load_count_ = 0;
    std::set<samplers::sampler_id> used_servers_;
    std::map<samplers::sampler_id, server> servers_;
    std::map<run_number, simulated_run> runs_;
    std::map<item_id, int> event_counts_;
    std::map<job_id, std::vector<std::string>> item_groups_;
    std::vector<trainer> trainers_;
};

} // namespace hibiscus::batch::simulation
