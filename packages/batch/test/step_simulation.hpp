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

/// Plays trainers and backend servers in virtual time against the decisions of
/// an owner: what runs where, and which server loads which weights when.
namespace hibiscus::batch::simulation {

/// What servers do. Times in ms.
struct server_config {
    int server_count = 11;
    int slots = 12;
    double event_ms = 34.5;
    /// By which share each further run makes the events of all slower.
    double slowdown_per_run = 0.015;
    double load_ms = 900;
    /// So many loads don't slow each other down.
    int full_speed_loads = 2;
    /// How long a server's report lags behind the end of a load.
    base::millis report_lag_ms = 0;
};

/// What a trainer asks for. Times in ms.
struct trainer_config {
    int groups = 9;
    int group_size = 8;
    int required_groups = 9;
    double mean_events = 24;
    int max_events = 174;
    double train_ms = 500;
    /// The trainer begins so much later than the others.
    base::millis start_delay_ms = 0;
};

constexpr base::millis step_interval_ms = 4000;
constexpr base::millis target_ms = 7500;
/// Callers read about twice a second.
constexpr base::millis read_interval_ms = 500;
constexpr base::millis tick_ms = 5;
constexpr std::int64_t tokens_per_event = 57;

/// What a trainer got.
struct trainer_result {
    int submitted_steps = 0;
    int ended_steps = 0;
    int steps_in_time = 0;
    /// Servers that had the weights of a step when it was asked for, summed up.
    int ready_server_sum = 0;
};

class step_simulation {
public:
    step_simulation(server_config servers, std::vector<trainer_config> trainers,
                    unsigned seed)
        : server_config_(servers), random_(seed) {
        for (auto& t : trainers) {
            const auto model = "m" + std::to_string(trainers_.size());
            trainer added;
            added.config = t;
            added.model = model;
            trainers_.push_back(std::move(added));
        }
        for (int n = 0; n < server_config_.server_count; ++n) {
            const samplers::sampler_id id("s" + std::to_string(100 + n));
            samplers::registration r;
            r.service = service_;
            r.slots = server_config_.slots;
            for (const auto& t : trainers_) {
                r.versions[t.model] = 1;
            }
            servers_[id].versions = r.versions;
            table_.put(id, r);
        }
    }

    /// Plays so many ms and returns what each trainer got.
    std::vector<trainer_result> run(base::millis length) {
        while (clock_.now() < length) {
            time_->advance(tick_ms);
            step_loads();
            step_runs();
            step_trainers();
            apply_effects(work_.tick(true));
            commit_results();
        }
        std::vector<trainer_result> out;
        for (const auto& t : trainers_) {
            out.push_back(t.result);
        }
        return out;
    }

    /// Returns how many loads were ordered.
    int load_count() const { return load_count_; }

private:
    struct server {
        std::map<std::string, std::int64_t> versions;
        int run_count = 0;
        /// What is loaded, and how much of the load is left, in ms at full
        /// speed; nothing is if the model is empty.
        std::string loading_model;
        std::int64_t target_version = 0;
        double load_left_ms = 0;
        base::millis loaded_at = 0;
    };

    struct run_state {
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
        base::millis next_read_at = 0;
        std::set<int> unread_items;
    };

    struct trainer {
        trainer_config config;
        std::string model;
        std::int64_t next_step = 0;
        /// When the trainer has trained on all that it has read.
        base::millis trained_at = 0;
        std::vector<simulated_job> open_jobs;
        trainer_result result;
        /// The newest version, and those that training will bring. Steps up
        /// to the newest version may be asked for.
        std::int64_t newest_version = 1;
        std::map<base::millis, std::int64_t> pending_versions;
    };

    void apply_effects(const effects& all) {
        for (const auto& e : all) {
            if (const auto* s = std::get_if<start_run>(&e)) {
                begin_run(*s);
            } else if (const auto* s = std::get_if<stop_run>(&e)) {
                end_run(s->run);
            }
        }
    }

    void begin_run(const start_run& s) {
        auto& at = servers_.at(s.sampler);
        if (at.loading_model == s.model ||
            at.run_count >= server_config_.slots) {
            apply_effects(work_.on_run_ended(s.run, run_outcome::not_run));
            return;
        }
        ++at.run_count;
        const auto done =
            s.resume_after_event.empty() ? 0 : std::stoi(s.resume_after_event);
        runs_[s.run] = {s, event_counts_.at(s.content->id) - done, done + 1,
                        10};
        apply_effects(
            work_.on_response_started(s.run, at.versions.at(s.model)));
    }

    void end_run(run_number run) {
        const auto at = runs_.find(run);
        if (at != runs_.end()) {
            --servers_.at(at->second.start.sampler).run_count;
            runs_.erase(at);
        }
    }

    void step_runs() {
        std::vector<run_number> numbers;
        for (const auto& [number, run] : runs_) {
            numbers.push_back(number);
        }
        for (const auto number : numbers) {
            const auto at = runs_.find(number);
            if (at == runs_.end()) {
                continue;
            }
            auto& run = at->second;
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
            const bool last = --run.events_left <= 0;
            apply_effects(work_.on_event(number, id, "e", version));
            if (last && runs_.count(number) != 0) {
                end_run(number);
                apply_effects(
                    work_.on_run_ended(number, run_outcome::complete));
            }
        }
    }

    void step_loads() {
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
        for (const auto& [model, places] : work_.update_wanted_slots()) {
            rollout_.set_wanted_slots(model, places);
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

    void step_trainers() {
        const auto now = clock_.now();
        for (auto& t : trainers_) {
            while (!t.pending_versions.empty() &&
                   t.pending_versions.begin()->first <= now) {
                t.newest_version = t.pending_versions.begin()->second;
                t.pending_versions.erase(t.pending_versions.begin());
                rollout_.announce_version(t.model, t.newest_version);
                work_.announce_version(t.model, t.newest_version);
            }
            if (now >=
                    t.config.start_delay_ms + t.next_step * step_interval_ms &&
                t.next_step <= t.newest_version) {
                submit_step(t);
            }
        }
    }

    /// Step k admits the weights of version k - 1 and newer.
    void submit_step(trainer& t) {
        job_row row;
        job_header header;
        header.id = job_id(t.model + "-" + std::to_string(t.next_step));
        header.model = t.model;
        header.step = t.next_step;
        header.min_version = std::max<std::int64_t>(1, t.next_step - 1);
        std::vector<item> items;
        simulated_job j{header.id, t.next_step,  clock_.now(),
                        {},        clock_.now(), {}};
        for (int g = 0; g < t.config.groups; ++g) {
            const auto group = "g" + std::to_string(g);
            j.items_left_in_group[group] = t.config.group_size;
            for (int n = 0; n < t.config.group_size; ++n) {
                items.push_back(draw_item(t, header.id, group, g * 100 + n));
            }
        }
        header.item_count = static_cast<int>(items.size());
        row.header = header;
        row.first_seen_at = clock_.now();
        job_options terms;
        terms.service = service_;
        terms.target_ms = target_ms;
        terms.item_expiry_ms = 40000;
        item_groups_[header.id] = {};
        for (const auto& i : items) {
            item_groups_[header.id].push_back(i.group);
        }
        t.result.ready_server_sum += static_cast<int>(
            std::count_if(servers_.begin(), servers_.end(), [&](const auto& s) {
                return s.second.loading_model != t.model &&
                       s.second.versions.at(t.model) >= header.min_version;
            }));
        apply_effects(work_.add_job(row, std::move(items), {}, terms, 1000));
        t.open_jobs.push_back(std::move(j));
        ++t.result.submitted_steps;
        ++t.next_step;
    }

    item draw_item(const trainer& t, const job_id& job,
                   const std::string& group, int number) {
        std::lognormal_distribution<double> spread(-0.405, 0.9);
        std::lognormal_distribution<double> guess(0, 0.5);
        std::bernoulli_distribution is_long(0.08);
        const double events = t.config.mean_events * spread(random_) *
                              (is_long(random_) ? 5 : 0.74);
        item i;
        i.id = item_id(job.str() + "/" + std::to_string(number));
        const int length =
            std::clamp(static_cast<int>(events), 1, t.config.max_events);
        event_counts_[i.id] = length;
        i.prompt_tokens = 1000;
        i.expected_output_tokens = static_cast<std::int64_t>(
            static_cast<double>(length * tokens_per_event) * guess(random_));
        i.group = group;
        return i;
    }

    /// Lists what is ready, and ends the steps whose trainers have read enough.
    void commit_results() {
        std::map<job_id, std::set<int>> listed;
        for (const auto& r : work_.ready_results(std::size_t{1} << 30U)) {
            listed[r.job].insert(r.item_index);
        }
        for (const auto& [id, numbers] : listed) {
            apply_effects(work_.on_committed(id, numbers));
            for (auto& t : trainers_) {
                for (auto& j : t.open_jobs) {
                    if (j.id == id) {
                        j.unread_items.insert(numbers.begin(), numbers.end());
                    }
                }
            }
        }
        for (auto& t : trainers_) {
            for (std::size_t n = 0; n < t.open_jobs.size();) {
                n += read_results(t, n) ? 0 : 1;
            }
        }
    }

    /// Returns true if the step has ended.
    bool read_results(trainer& t, std::size_t n) {
        auto& j = t.open_jobs[n];
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
        const auto whole = std::count_if(
            j.items_left_in_group.begin(), j.items_left_in_group.end(),
            [](const auto& g) { return g.second == 0; });
        if (whole < t.config.required_groups) {
            return false;
        }
        ++t.result.ended_steps;
        t.result.steps_in_time += now - j.submitted_at <= target_ms ? 1 : 0;
        t.trained_at = std::max(now, t.trained_at) +
                       static_cast<base::millis>(t.config.train_ms);
        t.pending_versions[t.trained_at] = j.step + 2;
        apply_effects(work_.remove_job(j.id));
        t.open_jobs.erase(t.open_jobs.begin() + static_cast<long>(n));
        return true;
    }

    server_config server_config_;
    std::mt19937 random_;
    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    samplers::sampler_table table_{clock_};
    samplers::weight_rollout rollout_{clock_};
    item_scheduler work_{clock_, table_};
    const samplers::service_name service_{"engines"};
    int load_count_ = 0;
    std::map<samplers::sampler_id, server> servers_;
    std::map<run_number, run_state> runs_;
    std::map<item_id, int> event_counts_;
    std::map<job_id, std::vector<std::string>> item_groups_;
    std::vector<trainer> trainers_;
};

} // namespace hibiscus::batch::simulation
