#pragma once

#include "hibiscus/batch/work.hpp"
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
namespace hibiscus::batch::play {

/// What servers do. Times in ms.
struct server_shape {
    int count = 11;
    int slots = 12;
    double event_ms = 34.5;
    /// By which share each further run makes the events of all slower.
    double slower_each = 0.015;
    double load_ms = 900;
    /// So many loads don't slow each other down.
    int loads_at_once = 2;
    /// How long a server's report lags behind the end of a load.
    base::millis report_lag_ms = 0;
};

/// What a trainer asks for. Times in ms.
struct trainer_shape {
    int groups = 9;
    int group_size = 8;
    int wanted_groups = 9;
    double mean_events = 24;
    int most_events = 174;
    double train_ms = 500;
    /// The trainer begins so much later than the others.
    base::millis behind = 0;
};

constexpr base::millis step_every_ms = 4000;
constexpr base::millis due_ms = 7500;
/// Callers read about twice a second.
constexpr base::millis read_ms = 500;
constexpr base::millis tick_ms = 5;
constexpr std::int64_t tokens_an_event = 57;

/// What a trainer got.
struct trainer_result {
    int asked = 0;
    int ended = 0;
    int in_time = 0;
    /// Servers that had the weights of a step when it was asked for, summed up.
    int servers_ready = 0;
};

class world {
public:
    world(server_shape servers, std::vector<trainer_shape> trainers,
          unsigned seed)
        : shape_(servers), random_(seed) {
        for (auto& t : trainers) {
            const auto model = "m" + std::to_string(trainers_.size());
            trainer added;
            added.shape = t;
            added.model = model;
            trainers_.push_back(std::move(added));
        }
        for (int n = 0; n < shape_.count; ++n) {
            const samplers::sampler_id id("s" + std::to_string(100 + n));
            samplers::registration r;
            r.service = service_;
            r.slots = shape_.slots;
            for (const auto& t : trainers_) {
                r.versions[t.model] = 1;
            }
            servers_[id].versions = r.versions;
            table_.put(id, r);
        }
    }

    /// Plays so many ms and returns what each trainer got.
    std::vector<trainer_result> play(base::millis length) {
        while (clock_.now() < length) {
            time_->advance(tick_ms);
            step_loads();
            step_runs();
            step_trainers();
            carry_out(work_.tick(true));
            take_results();
        }
        std::vector<trainer_result> out;
        for (const auto& t : trainers_) {
            out.push_back(t.result);
        }
        return out;
    }

    /// Returns how many loads were ordered.
    int loads() const { return loads_; }

private:
    struct server {
        std::map<std::string, std::int64_t> versions;
        int running = 0;
        /// What is loaded, and how much of the load is left, in ms at full
        /// speed; nothing is if the model is empty.
        std::string loading;
        std::int64_t to_version = 0;
        double load_left = 0;
        base::millis loaded_at = 0;
    };

    struct run_state {
        start_run start;
        int events_left = 0;
        int next_event = 1;
        double until_event = 0;
    };

    struct job_play {
        job_id id;
        std::int64_t step = 0;
        base::millis asked_at = 0;
        std::map<std::string, int> left_in_group;
        base::millis next_read = 0;
        std::set<int> ready;
    };

    struct trainer {
        trainer_shape shape;
        std::string model;
        std::int64_t next_step = 0;
        /// When the trainer has trained on all that it has read.
        base::millis free_at = 0;
        std::vector<job_play> open;
        trainer_result result;
        /// The newest version, and those that training will bring. Steps up
        /// to the newest version may be asked for.
        std::int64_t named = 1;
        std::map<base::millis, std::int64_t> naming;
    };

    void carry_out(const effects& all) {
        for (const auto& e : all) {
            if (const auto* s = std::get_if<start_run>(&e)) {
                begin(*s);
            } else if (const auto* s = std::get_if<stop_run>(&e)) {
                stop(s->run);
            }
        }
    }

    void begin(const start_run& s) {
        auto& at = servers_.at(s.sampler);
        if (at.loading == s.model || at.running >= shape_.slots) {
            carry_out(work_.ended(s.run, run_end::not_run));
            return;
        }
        ++at.running;
        const auto done = s.last_event.empty() ? 0 : std::stoi(s.last_event);
        runs_[s.run] = {s, length_.at(s.content->id) - done, done + 1, 10};
        carry_out(work_.head(s.run, at.versions.at(s.model)));
    }

    void stop(run_number run) {
        const auto at = runs_.find(run);
        if (at != runs_.end()) {
            --servers_.at(at->second.start.sampler).running;
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
            run.until_event -=
                tick_ms / (1 + shape_.slower_each * (server.running - 1));
            if (run.until_event > 0) {
                continue;
            }
            run.until_event += shape_.event_ms;
            const auto version = server.versions.at(run.start.model);
            const auto id = std::to_string(run.next_event++);
            const bool last = --run.events_left <= 0;
            carry_out(work_.event(number, id, "e", version));
            if (last && runs_.count(number) != 0) {
                stop(number);
                carry_out(work_.ended(number, run_end::complete));
            }
        }
    }

    void step_loads() {
        const auto active =
            std::count_if(servers_.begin(), servers_.end(), [](const auto& s) {
                return !s.second.loading.empty();
            });
        for (auto& [id, s] : servers_) {
            if (s.loading.empty()) {
                continue;
            }
            s.load_left -=
                tick_ms *
                std::min(1.0, static_cast<double>(shape_.loads_at_once) /
                                  static_cast<double>(active));
            if (s.load_left <= 0) {
                s.versions[s.loading] = s.to_version;
                s.loading.clear();
                s.loaded_at = clock_.now();
            }
        }
        for (const auto& id : rollout_.checks()) {
            const auto& s = servers_.at(id);
            const bool reported =
                clock_.now() >= s.loaded_at + shape_.report_lag_ms;
            if (s.loading.empty() && reported) {
                rollout_.done(id, s.versions);
                table_.loaded(id);
                for (const auto& [model, version] : s.versions) {
                    table_.saw_version(id, model, version);
                }
            }
        }
        for (const auto& [model, places] : work_.places_wanted()) {
            rollout_.want(model, places);
        }
        for (const auto& order : rollout_.due(table_)) {
            ++loads_;
            auto& s = servers_.at(order.sampler);
            s.loading = order.model;
            s.to_version = order.version;
            s.load_left = shape_.load_ms;
            rollout_.accepted(order);
            table_.loading(order.sampler, order.model,
                           rollout_.longest_load_ms());
        }
    }

    void step_trainers() {
        const auto now = clock_.now();
        for (auto& t : trainers_) {
            while (!t.naming.empty() && t.naming.begin()->first <= now) {
                t.named = t.naming.begin()->second;
                t.naming.erase(t.naming.begin());
                rollout_.name_version(t.model, t.named);
                work_.version_named(t.model, t.named);
            }
            if (now >= t.shape.behind + t.next_step * step_every_ms &&
                t.next_step <= t.named) {
                ask(t);
            }
        }
    }

    /// Step k admits the weights of version k - 1 and newer.
    void ask(trainer& t) {
        job_row row;
        job_header header;
        header.id = job_id(t.model + "-" + std::to_string(t.next_step));
        header.model = t.model;
        header.step = t.next_step;
        header.least_version = std::max<std::int64_t>(1, t.next_step - 1);
        std::vector<item> items;
        job_play j{header.id, t.next_step, clock_.now(), {}, clock_.now(), {}};
        for (int g = 0; g < t.shape.groups; ++g) {
            const auto group = "g" + std::to_string(g);
            j.left_in_group[group] = t.shape.group_size;
            for (int n = 0; n < t.shape.group_size; ++n) {
                items.push_back(draw_item(t, header.id, group, g * 100 + n));
            }
        }
        header.items = static_cast<int>(items.size());
        row.header = header;
        row.seen_at = clock_.now();
        job_terms terms;
        terms.service = service_;
        terms.due_ms = due_ms;
        terms.keep_ms = 40000;
        groups_[header.id] = {};
        for (const auto& i : items) {
            groups_[header.id].push_back(i.group);
        }
        t.result.servers_ready += static_cast<int>(
            std::count_if(servers_.begin(), servers_.end(), [&](const auto& s) {
                return s.second.loading != t.model &&
                       s.second.versions.at(t.model) >= header.least_version;
            }));
        carry_out(work_.adopt(row, std::move(items), {}, terms, 1000));
        t.open.push_back(std::move(j));
        ++t.result.asked;
        ++t.next_step;
    }

    item draw_item(const trainer& t, const job_id& job,
                   const std::string& group, int number) {
        std::lognormal_distribution<double> spread(-0.405, 0.9);
        std::lognormal_distribution<double> guess(0, 0.5);
        std::bernoulli_distribution is_long(0.08);
        const double events = t.shape.mean_events * spread(random_) *
                              (is_long(random_) ? 5 : 0.74);
        item i;
        i.id = item_id(job.str() + "/" + std::to_string(number));
        const int length =
            std::clamp(static_cast<int>(events), 1, t.shape.most_events);
        length_[i.id] = length;
        i.prompt_tokens = 1000;
        i.expected_tokens = static_cast<std::int64_t>(
            static_cast<double>(length * tokens_an_event) * guess(random_));
        i.group = group;
        return i;
    }

    /// Lists what is ready, and ends the steps whose trainers have read enough.
    void take_results() {
        std::map<job_id, std::set<int>> listed;
        for (const auto& r : work_.ready(std::size_t{1} << 30U)) {
            listed[r.job].insert(r.number);
        }
        for (const auto& [id, numbers] : listed) {
            carry_out(work_.listed(id, numbers));
            for (auto& t : trainers_) {
                for (auto& j : t.open) {
                    if (j.id == id) {
                        j.ready.insert(numbers.begin(), numbers.end());
                    }
                }
            }
        }
        for (auto& t : trainers_) {
            for (std::size_t n = 0; n < t.open.size();) {
                n += read(t, n) ? 0 : 1;
            }
        }
    }

    /// Returns true if the step has ended.
    bool read(trainer& t, std::size_t n) {
        auto& j = t.open[n];
        const auto now = clock_.now();
        if (now < j.next_read || j.ready.empty()) {
            return false;
        }
        j.next_read = now + read_ms;
        for (const int item : j.ready) {
            --j.left_in_group[groups_.at(j.id)[static_cast<std::size_t>(item)]];
        }
        j.ready.clear();
        const auto whole =
            std::count_if(j.left_in_group.begin(), j.left_in_group.end(),
                          [](const auto& g) { return g.second == 0; });
        if (whole < t.shape.wanted_groups) {
            return false;
        }
        ++t.result.ended;
        t.result.in_time += now - j.asked_at <= due_ms ? 1 : 0;
        t.free_at = std::max(now, t.free_at) +
                    static_cast<base::millis>(t.shape.train_ms);
        t.naming[t.free_at] = j.step + 2;
        carry_out(work_.drop(j.id));
        t.open.erase(t.open.begin() + static_cast<long>(n));
        return true;
    }

    server_shape shape_;
    std::mt19937 random_;
    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    samplers::sampler_table table_{clock_};
    samplers::weight_rollout rollout_{clock_};
    work work_{clock_, table_};
    const samplers::service_name service_{"engines"};
    int loads_ = 0;
    std::map<samplers::sampler_id, server> servers_;
    std::map<run_number, run_state> runs_;
    std::map<item_id, int> length_;
    std::map<job_id, std::vector<std::string>> groups_;
    std::vector<trainer> trainers_;
};

} // namespace hibiscus::batch::play
