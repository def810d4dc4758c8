#pragma once

#include "hibiscus/base/result.hpp"
#include "hibiscus/batch/work.hpp"
#include "hibiscus/samplers/weight_rollout.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Plays an owner whose servers, jobs and store are in trouble, in virtual
/// time, and measures how long items wait although a place for them is free.
namespace hibiscus::batch::play {

class waiting_world {
public:
    static constexpr int models = 2;
    static constexpr base::millis tick_ms = 25;

    /// A server as it is, whatever the owner believes.
    struct server {
        samplers::registration entry;
        bool alive = true;
        /// Neither answers nor closes a connection.
        bool frozen = false;
        bool refuses = false;
        bool fails = false;
        /// Its entry can't be renewed.
        bool unheard = false;
        bool answers_orders = true;
        int slower = 1;
        std::string loading;
        std::int64_t to_version = 0;
        base::millis load_end = 0;
        base::millis renew_at = 0;
        base::millis heard_at = 0;
        std::set<run_number> runs;

        bool serves() const { return alive && !frozen; }
    };

    explicit waiting_world(int servers) {
        for (int n = 0; n < servers; ++n) {
            auto& s = servers_[samplers::sampler_id("s" + std::to_string(n))];
            s.entry.service = service();
            s.entry.slots = slots;
            s.entry.started = 1;
            for (int m = 0; m < models; ++m) {
                s.entry.versions[model(m)] = 1;
            }
        }
    }

    static std::string model(int number) {
        return "m" + std::to_string(number % models);
    }

    server& at(int number) {
        return std::next(servers_.begin(),
                         number % static_cast<int>(servers_.size()))
            ->second;
    }

    /// A process ends; its connections are reset unless the machine is lost.
    void crash(server& s, bool lost) {
        s.alive = false;
        s.loading.clear();
        if (!lost) {
            cut(s);
        }
    }

    /// A process starts, under the id that it had.
    void restart(server& s) {
        cut(s);
        s.alive = true;
        s.loading.clear();
        ++s.entry.started;
        s.renew_at = now();
    }

    void cut(server& s) {
        for (const auto run : s.runs) {
            later([this, run] { end(run, run_end::cut); });
        }
        s.runs.clear();
    }

    /// Ends all trouble.
    void calm() {
        may_start_ = true;
        store_up_ = true;
        table_.remove_unlisted();
        for (auto& [id, s] : servers_) {
            if (!s.alive) {
                restart(s);
            }
            s.frozen = s.refuses = s.fails = s.unheard = false;
            s.answers_orders = true;
            s.entry.draining = false;
            s.slower = 1;
        }
    }

    void set_may_start(bool may) { may_start_ = may; }

    /// While the store is away no entry is renewed and lapsed ones stay in
    /// doubt.
    void set_store(bool up) {
        if (up && !store_up_) {
            table_.remove_unlisted();
        }
        store_up_ = up;
    }

    void name_version(int m) {
        const auto version = ++named_[model(m)];
        rollout_.name_version(model(m), version + 1);
        work_.version_named(model(m), version + 1);
    }

    /// A trainer asks for a step that admits the newest two versions.
    void ask(int m, int items) {
        if (jobs_.size() >= most_jobs) {
            return;
        }
        job_play j;
        j.row.header = job_header{};
        auto& h = *j.row.header;
        h.id = job_id("j" + std::to_string(++last_job_));
        h.model = model(m);
        h.items = items;
        h.least_version = std::max<std::int64_t>(1, named_[model(m)]);
        j.row.seen_at = now();
        for (int n = 0; n < items; ++n) {
            item i;
            i.id = item_id(h.id.str() + "/" + std::to_string(n));
            i.expected_tokens = 100 * (1 + n % 40);
            i.prompt_tokens = 100;
            i.group = std::to_string(n / 4);
            j.items.push_back(std::move(i));
        }
        const auto id = h.id;
        jobs_[id] = std::move(j);
        adopt(jobs_.at(id));
    }

    /// A trainer ends the oldest step.
    void end_job() {
        if (!jobs_.empty()) {
            const auto id = jobs_.begin()->first;
            jobs_.erase(jobs_.begin());
            carry_out(work_.drop(id));
        }
    }

    /// The owner loses the jobs and gets them again.
    void change_owner() {
        carry_out(work_.drop_all());
        rollout_.reset();
        table_.clear_loading();
        ++fence_;
        for (auto& [id, j] : jobs_) {
            adopt(j);
        }
    }

    void run(base::millis ms) {
        for (const auto end = now() + ms; now() < end;) {
            time_->advance(tick_ms);
            for (const auto& f : std::exchange(due_, {})) {
                f();
            }
            renew_entries();
            step_loads();
            step_runs();
            carry_out(work_.tick(may_start_));
            list();
            measure();
        }
    }

    /// Returns how long an item has waited at most while a place was free.
    base::millis longest_wait() const { return longest_wait_; }
    void forget_waits() {
        longest_wait_ = 0;
        waits_.clear();
    }

    bool all_done() const { return jobs_.empty(); }

    /// Returns the servers whose runs are not counted as they are.
    std::string miscounted() const {
        std::map<samplers::sampler_id, int> running;
        for (const auto& [run, r] : runs_) {
            ++running[r.start.sampler];
        }
        for (const auto& [id, row] : table_.rows()) {
            if (row.running != running[id]) {
                return id.str() + " counts " + std::to_string(row.running) +
                       " runs and has " + std::to_string(running[id]);
            }
        }
        return "";
    }

private:
    struct run_play {
        start_run start;
        int left = 0;
        int next = 1;
        base::millis event_at = 0;
    };

    struct job_play {
        job_row row;
        std::vector<item> items;
        std::map<int, std::vector<progress_part>> saved;
        std::set<int> complete;
    };

    using item_key = std::pair<job_id, int>;

    static constexpr int slots = 4;
    static constexpr std::size_t most_jobs = 6;
    static constexpr int events = 30;
    static constexpr base::millis event_ms = 40;
    static constexpr base::millis load_ms = 900;
    static constexpr base::millis renew_ms = 1200;

    static samplers::service_name service() {
        return samplers::service_name("engines");
    }

    base::millis now() const { return clock_.now(); }

    void later(std::function<void()> f) { due_.push_back(std::move(f)); }

    void adopt(job_play& j) {
        job_terms terms;
        terms.service = service();
        terms.attempts = 1000000;
        terms.due_ms = 7500;
        terms.keep_ms = 10000000;
        carry_out(work_.adopt(j.row, j.items, j.saved, terms, fence_ * 1000));
    }

    void carry_out(const effects& all) {
        for (const auto& e : all) {
            std::visit(base::overloaded{
                           [&](const start_run& r) { begin(r); },
                           [&](const stop_run& s) { stop(s.run); },
                           [&](const start_reward&) {},
                       },
                       e);
        }
    }

    void begin(const start_run& r) {
        auto& s = servers_.at(r.sampler);
        const auto done = r.last_event.empty() ? 0 : std::stoi(r.last_event);
        runs_[r.run] = {r, events - done, done + 1, now() + event_ms};
        if (!s.alive) {
            later([this, run = r.run] { end(run, run_end::cut); });
        } else if (s.frozen) {
            return;
        } else if (s.refuses || s.loading == r.model ||
                   s.runs.size() >= slots) {
            later([this, run = r.run] { end(run, run_end::not_run); });
        } else if (s.fails) {
            later([this, run = r.run] { end(run, run_end::failed); });
        } else {
            s.runs.insert(r.run);
            later([this, run = r.run] {
                const auto at = runs_.find(run);
                if (at != runs_.end()) {
                    const auto& there = servers_.at(at->second.start.sampler);
                    carry_out(work_.head(
                        run, there.entry.versions.at(at->second.start.model)));
                }
            });
        }
    }

    void end(run_number run, run_end how) {
        if (runs_.count(run) != 0) {
            stop(run);
            carry_out(work_.ended(run, how));
        }
    }

    void stop(run_number run) {
        const auto at = runs_.find(run);
        if (at != runs_.end()) {
            servers_.at(at->second.start.sampler).runs.erase(run);
            runs_.erase(at);
        }
    }

    void renew_entries() {
        for (auto& [id, s] : servers_) {
            if (s.serves() && !s.unheard && store_up_ && now() >= s.renew_at) {
                s.renew_at = now() + renew_ms;
                s.heard_at = now();
                table_.put(id, s.entry);
            } else if (now() - s.heard_at > 3 * renew_ms &&
                       table_.find(id) != nullptr) {
                if (store_up_) {
                    table_.remove(id);
                } else {
                    table_.mark_unlisted(id);
                }
            }
        }
    }

    void step_loads() {
        for (auto& [id, s] : servers_) {
            if (!s.loading.empty() && now() >= s.load_end) {
                s.entry.versions[s.loading] = s.to_version;
                s.loading.clear();
            }
        }
        if (!store_up_) {
            return;
        }
        for (const auto& id : rollout_.checks()) {
            const auto& s = servers_.at(id);
            if (s.serves() && s.loading.empty()) {
                load_done(id, s);
            }
        }
        for (const auto& [model, places] : work_.places_wanted()) {
            rollout_.want(model, places);
        }
        for (const auto& order : rollout_.due(table_)) {
            send_order(order, servers_.at(order.sampler));
        }
    }

    void load_done(const samplers::sampler_id& id, const server& s) {
        rollout_.done(id, s.entry.versions);
        table_.loaded(id);
        for (const auto& [model, version] : s.entry.versions) {
            table_.saw_version(id, model, version);
        }
    }

    void send_order(const samplers::load_order& order, server& s) {
        if (!s.serves()) {
            rollout_.not_taken(order);
        } else if (!s.loading.empty()) {
            rollout_.busy(order.sampler);
            table_.loading(order.sampler, order.model,
                           rollout_.longest_load_ms());
        } else if (s.entry.versions.at(order.model) >= order.version) {
            rollout_.not_needed(order.sampler);
            load_done(order.sampler, s);
        } else {
            s.loading = order.model;
            s.to_version = order.version;
            s.load_end = now() + load_ms * s.slower;
            if (s.answers_orders) {
                rollout_.accepted(order);
                table_.loading(order.sampler, order.model,
                               rollout_.longest_load_ms());
            } else {
                rollout_.not_taken(order);
            }
        }
    }

    void step_runs() {
        std::vector<run_number> ready;
        for (const auto& [run, r] : runs_) {
            const auto& s = servers_.at(r.start.sampler);
            if (s.serves() && s.runs.count(run) != 0 && now() >= r.event_at) {
                ready.push_back(run);
            }
        }
        for (const auto run : ready) {
            const auto at = runs_.find(run);
            if (at == runs_.end()) {
                continue;
            }
            auto& r = at->second;
            const auto& s = servers_.at(r.start.sampler);
            r.event_at = now() + event_ms * s.slower;
            const auto id = std::to_string(r.next++);
            if (--r.left >= 0) {
                const auto version = s.entry.versions.at(r.start.model);
                carry_out(work_.event(run, id, "e", version));
            }
            if (runs_.count(run) != 0 && r.left <= 0) {
                complete(run);
            }
        }
        for (const auto& p : work_.unsaved(6, std::size_t{1} << 30U)) {
            jobs_.at(p.job).saved[p.part.item].push_back(p.part);
            work_.saved(p);
        }
    }

    void complete(run_number run) {
        const auto& r = runs_.at(run).start;
        const auto job = jobs_.find(r.job);
        if (job != jobs_.end()) {
            job->second.complete.insert(r.number);
        }
        end(run, run_end::complete);
    }

    void list() {
        std::map<job_id, std::set<int>> ready;
        for (const auto& r : work_.ready(std::size_t{1} << 30U)) {
            ready[r.job].insert(r.number);
        }
        for (const auto& [id, numbers] : ready) {
            auto& j = jobs_.at(id);
            j.row.listed.insert(numbers.begin(), numbers.end());
            carry_out(work_.listed(id, numbers));
            if (j.row.listed.size() == j.items.size()) {
                jobs_.erase(id);
                carry_out(work_.drop(id));
            }
        }
    }

    /// Returns true if a server that is listed would run an item of the job.
    bool place_for(const job_header& h) const {
        return std::any_of(
            servers_.begin(), servers_.end(), [&](const auto& row) {
                const auto& s = row.second;
                return s.serves() && !s.refuses && !s.fails && !s.unheard &&
                       !s.entry.draining && s.loading != h.model &&
                       now() <= s.heard_at + renew_ms &&
                       s.runs.size() < slots &&
                       s.entry.versions.at(h.model) >= h.least_version;
            });
    }

    void measure() {
        std::set<item_key> at_server;
        for (const auto& [run, r] : runs_) {
            const auto& s = servers_.at(r.start.sampler);
            if (s.serves() && s.runs.count(run) != 0) {
                at_server.insert({r.start.job, r.start.number});
            }
        }
        std::map<item_key, base::millis> waits;
        for (const auto& [id, j] : jobs_) {
            const bool place = place_for(*j.row.header);
            for (int n = 0; n < static_cast<int>(j.items.size()); ++n) {
                const item_key key{id, n};
                if (place && at_server.count(key) == 0 &&
                    j.row.listed.count(n) == 0) {
                    const auto known = waits_.find(key);
                    waits[key] = known == waits_.end() ? now() : known->second;
                    longest_wait_ = std::max(longest_wait_, now() - waits[key]);
                }
            }
        }
        waits_ = std::move(waits);
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    samplers::sampler_table table_{clock_};
    work work_{clock_, table_};
    samplers::weight_rollout rollout_{clock_};
    std::map<samplers::sampler_id, server> servers_;
    std::map<job_id, job_play> jobs_;
    std::map<run_number, run_play> runs_;
    std::map<std::string, std::int64_t> named_;
    std::deque<std::function<void()>> due_;
    std::map<item_key, base::millis> waits_;
    base::millis longest_wait_ = 0;
    std::int64_t fence_ = 1;
    int last_job_ = 0;
    bool may_start_ = true;
    bool store_up_ = true;
};

} // namespace hibiscus::batch::play
