#pragma once

#include "hibiscus/base/result.hpp"
#include "hibiscus/batch/item_scheduler.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Simulates one batch job in virtual time whose servers crash, by chance or
/// because of one item.
namespace hibiscus::batch::simulation {

/// A run of the watched item at a server that still works on it.
struct watched_run {
    /// Number of runs of the item so far, this one included.
    int number = 0;
    /// Events that the server has sent in this run, and the last one's number.
    int run_events = 0;
    int text_events = 0;
    base::millis run_ms = 0;
};

class loss_simulation {
public:
    static constexpr int server_count = 11;
    static constexpr int item_count = 64;
    static constexpr int watched_item = 5;
    static constexpr int events_per_text = 100;
    static constexpr base::millis event_interval_ms = 40;
    static constexpr base::millis step_ms = 5;
    /// Time from the crash of a server to its next start.
    static constexpr base::millis down_ms = 400;

    loss_simulation() {
        for (int n = 0; n < server_count; ++n) {
            servers_[samplers::sampler_id("s" + std::to_string(n))];
        }
        for (auto& [id, s] : servers_) {
            register_server(id, s);
        }
        submit();
    }

    /// Crashes the server of the watched item when this returns true.
    void crash_when(std::function<bool(const watched_run&)> crashes) {
        crashes_watched_ = std::move(crashes);
    }

    /// Crashes the server of the watched item `ms` after the server got it; if
    /// the run has ended by then, only with `also_if_closed`, and not if the
    /// item is done.
    void crash_after(base::millis ms, bool also_if_closed) {
        crash_delay_ms_ = ms;
        crashes_if_closed_ = also_if_closed;
    }

    /// From now on, crashed servers close no connection.
    void crash_silently() { silent_ = true; }

    /// Which servers crash by chance.
    enum class chance_target { any, not_of_watched_item, idle };

    /// Crashes servers by chance, chosen by `random`.
    void crash_some(int count, chance_target target, std::mt19937& random) {
        std::vector<samplers::sampler_id> candidates;
        const auto* watched = find_watched();
        for (const auto& [id, s] : servers_) {
            const bool is_watched = watched != nullptr && watched->server == id;
            if (s.up && (target == chance_target::any || !is_watched) &&
                (target != chance_target::idle || s.runs.empty())) {
                candidates.push_back(id);
            }
        }
        std::shuffle(candidates.begin(), candidates.end(), random);
        candidates.resize(
            std::min(candidates.size(), static_cast<std::size_t>(count)));
        for (const auto& id : candidates) {
            crash(id);
        }
    }

    /// Another node becomes the job owner. It knows what is stored.
    void change_owner() {
        owner_->scheduler.remove_all_jobs();
        for (auto& [id, s] : servers_) {
            s.runs.clear();
        }
        runs_.clear();
        cuts_.clear();
        std::map<std::string, loss_record> losses;
        for (const auto& [key, value] : stored_losses_) {
            if (const auto record = decode_losses(value)) {
                losses[key] = *record;
            }
        }
        owner_ = std::make_unique<owner>(clock_, table_);
        owner_->crashes.restore(losses);
        add_job();
    }

    void run(base::millis ms) {
        for (const auto end = clock_.now() + ms; clock_.now() < end;) {
            time_->advance(step_ms);
            start_servers();
            end_cut_runs();
            crash_watched();
            crash_delayed();
            send_events();
            check_servers();
            if (clock_.now() % item_scheduler::tick_ms == 0) {
                apply_effects(owner_->scheduler.tick(true));
                save();
            }
            measure_idle_times();
        }
    }

    /// Returns how many servers crashed because of crash_when().
    int crash_count() const { return crash_count_; }

    /// Returns true if the item is not done and no server has had it for `ms`
    /// once. A run that the scheduler ended within a second doesn't count.
    bool is_held_back(int item_index, base::millis ms) const {
        return done_.count(item_index) == 0 &&
               idle_times_[static_cast<std::size_t>(item_index)].longest >= ms;
    }

private:
    struct owner {
        owner(const base::clock& clock, samplers::sampler_table& table)
            : crashes(clock, 60000, &table.ends()),
              scheduler(clock, table, crashes) {}
        crash_ledger crashes;
        item_scheduler scheduler;
    };

    struct server {
        bool up = true;
        base::millis started_ms = 1;
        base::millis up_at = 0;
        base::millis next_renewal_at = 0;
        std::set<run_number> runs;
    };

    /// For how long no server has had an item.
    struct idle_time {
        base::millis since = 0;
        base::millis longest = 0;
    };

    /// A crash that a run of the watched item brings about.
    struct delayed_crash {
        run_number run = 0;
        samplers::sampler_id server;
        base::millis started_ms = 0;
    };

    struct simulated_run {
        samplers::sampler_id server;
        int item_index = 0;
        int first_event = 1;
        int next_event = 1;
        base::millis begun_at = 0;
        base::millis event_at = 0;
        int number = 0;
    };

    static constexpr int slots = 12;
    static constexpr base::millis renewal_ms = 1200;
    /// Time from the start of a server until the owner reads its registration.
    static constexpr base::millis registration_delay_ms = 60;
    /// Time from a crash until the owner sees that a connection has ended.
    static constexpr base::millis notice_ms = 20;
    /// A run that its sender ends sooner doesn't count.
    static constexpr base::millis min_run_ms = 1000;

    static samplers::service_name service() {
        return samplers::service_name("engines");
    }

    void register_server(const samplers::sampler_id& id, server& s) {
        samplers::registration r;
        r.service = service();
        r.address = {"127.0.0.1", 1};
        r.slots = slots;
        r.started_ms = s.started_ms;
        r.versions["m"] = 1;
        table_.put(id, r);
        s.next_renewal_at = clock_.now() + renewal_ms;
    }

    void submit() {
        row_.header = job_header{};
        row_.header->id = job_id("j");
        row_.header->model = "m";
        row_.header->item_count = item_count;
        row_.header->min_version = 1;
        for (int n = 0; n < item_count; ++n) {
            item i;
            i.id = item_id("i" + std::to_string(n));
            i.expected_output_tokens = 100;
            i.prompt_tokens = 100;
            items_.push_back(i);
        }
        add_job();
    }

    void add_job() {
        job_options options;
        options.service = service();
        options.max_attempts = 1000;
        options.target_ms = 7500;
        options.item_expiry_ms = 1000000;
        row_.committed_items = done_;
        apply_effects(owner_->scheduler.add_job(row_, items_, saved_, options,
                                                ++epoch_ * 1000));
    }

    void apply_effects(const effects& all) {
        for (const auto& e : all) {
            if (const auto* started = std::get_if<start_run>(&e)) {
                begin_run(*started);
            } else if (const auto* stopped = std::get_if<stop_run>(&e)) {
                forget_run(stopped->run, true);
            }
        }
    }

    void begin_run(const start_run& r) {
        auto& s = servers_.at(r.sampler);
        const int skipped =
            r.resume_after_event.empty() ? 0 : std::stoi(r.resume_after_event);
        const auto now = clock_.now();
        auto& added = runs_[r.run] = {r.sampler,
                                      r.item_index,
                                      skipped + 1,
                                      skipped + 1,
                                      now,
                                      now + event_interval_ms,
                                      0};
        owner_->scheduler.on_run_sent(r.run);
        if (!s.up) {
            if (!silent_) {
                cuts_.emplace(now + step_ms,
                              std::make_pair(r.run, run_outcome::unusable));
            }
            return;
        }
        if (r.item_index == watched_item) {
            added.number = ++run_count_;
            if (crash_delay_ms_ > 0) {
                delayed_crashes_.emplace(
                    now + crash_delay_ms_,
                    delayed_crash{r.run, r.sampler, s.started_ms});
            }
        }
        s.runs.insert(r.run);
        owner_->scheduler.on_response_started(r.run, 1);
    }

    void forget_run(run_number run, bool by_sender) {
        const auto found = runs_.find(run);
        if (found == runs_.end()) {
            return;
        }
        const auto& r = found->second;
        if (servers_.at(r.server).runs.count(run) != 0 &&
            (!by_sender || clock_.now() - r.begun_at >= min_run_ms)) {
            idle_time_of(r).since = clock_.now();
        }
        servers_.at(r.server).runs.erase(run);
        runs_.erase(found);
    }

    void end_run(run_number run, run_outcome outcome) {
        if (runs_.count(run) != 0) {
            forget_run(run, false);
            apply_effects(owner_->scheduler.on_run_ended(run, outcome));
        }
    }

    void crash(const samplers::sampler_id& id) {
        auto& s = servers_.at(id);
        s.up = false;
        s.up_at = clock_.now() + down_ms;
        for (const auto run : std::exchange(s.runs, {})) {
            idle_time_of(runs_.at(run)).since = clock_.now();
            if (!silent_) {
                cuts_.emplace(clock_.now() + notice_ms,
                              std::make_pair(run, run_outcome::cut));
            }
        }
    }

    void start_servers() {
        for (auto& [id, s] : servers_) {
            if (!s.up && clock_.now() >= s.up_at) {
                s.up = true;
                ++s.started_ms;
                s.next_renewal_at = clock_.now() + registration_delay_ms;
            } else if (s.up && clock_.now() >= s.next_renewal_at) {
                register_server(id, s);
            }
        }
    }

    void end_cut_runs() {
        while (!cuts_.empty() && cuts_.begin()->first <= clock_.now()) {
            const auto [run, outcome] = cuts_.begin()->second;
            cuts_.erase(cuts_.begin());
            end_run(run, outcome);
        }
    }

    const simulated_run* find_watched() const {
        for (const auto& [run, r] : runs_) {
            if (r.item_index == watched_item &&
                servers_.at(r.server).runs.count(run) != 0) {
                return &r;
            }
        }
        return nullptr;
    }

    void crash_watched() {
        const auto* r = find_watched();
        if (r != nullptr && crashes_watched_ &&
            crashes_watched_({r->number, r->next_event - r->first_event,
                              r->next_event - 1, clock_.now() - r->begun_at})) {
            ++crash_count_;
            crash(r->server);
        }
    }

    void crash_delayed() {
        while (!delayed_crashes_.empty() &&
               delayed_crashes_.begin()->first <= clock_.now()) {
            const auto due = delayed_crashes_.begin()->second;
            delayed_crashes_.erase(delayed_crashes_.begin());
            const auto& s = servers_.at(due.server);
            const bool is_up = s.up && s.started_ms == due.started_ms;
            const bool is_open = s.runs.count(due.run) != 0;
            if (is_up && done_.count(watched_item) == 0 &&
                (is_open || crashes_if_closed_)) {
                ++crash_count_;
                crash(due.server);
            }
        }
    }

    void send_events() {
        std::vector<run_number> due;
        for (const auto& [run, r] : runs_) {
            if (servers_.at(r.server).runs.count(run) != 0 &&
                clock_.now() >= r.event_at) {
                due.push_back(run);
            }
        }
        for (const auto run : due) {
            const auto found = runs_.find(run);
            if (found == runs_.end()) {
                continue;
            }
            auto& r = found->second;
            r.event_at += event_interval_ms;
            const auto number = r.next_event++;
            const auto item_index = r.item_index;
            if (number <= events_per_text) {
                apply_effects(owner_->scheduler.on_event(
                    run, std::to_string(number), "e", {}));
            }
            if (number >= events_per_text && runs_.count(run) != 0) {
                end_run(run, run_outcome::complete);
                done_.insert(item_index);
            }
        }
    }

    void check_servers() {
        auto& crashes = owner_->crashes;
        for (const auto& check : crashes.take_due_checks()) {
            const auto& s = servers_.at(check.process.server);
            auto verdict = judge_by_registration(
                table_.find(check.process.server), check.process,
                clock_.now() - check.lost_at, renewal_ms);
            if (verdict == server_verdict::unknown && (s.up || !silent_)) {
                verdict = s.up && s.started_ms == check.process.started_ms
                              ? server_verdict::alive
                              : server_verdict::ended;
            }
            if (verdict == server_verdict::ended) {
                crashes.on_ended(check.process);
            } else if (verdict == server_verdict::alive) {
                const bool responds =
                    s.up && s.started_ms == check.process.started_ms;
                crashes.on_alive(check.process,
                                 responds ? clock_.now() : check.lost_at);
            }
        }
    }

    void save() {
        const auto rows = owner_->crashes.unsaved_rows(owner_->crashes.size());
        for (const auto& row : rows) {
            stored_losses_[row.record.key] = row.record.value;
        }
        owner_->crashes.on_saved(rows);
        for (const auto& p :
             owner_->scheduler.unsaved_parts(6, std::size_t{1} << 30U)) {
            saved_[p.part.item_index].push_back(p.part);
            owner_->scheduler.on_part_saved(p);
        }
        std::set<int> ready;
        for (const auto& r :
             owner_->scheduler.ready_results(std::size_t{1} << 30U)) {
            ready.insert(r.item_index);
        }
        owner_->scheduler.on_committed(job_id("j"), ready);
    }

    void measure_idle_times() {
        std::set<int> at_server;
        for (const auto& [run, r] : runs_) {
            if (servers_.at(r.server).runs.count(run) != 0) {
                at_server.insert(r.item_index);
                if (clock_.now() - r.begun_at >= min_run_ms) {
                    idle_time_of(r).since = clock_.now();
                }
            }
        }
        for (int n = 0; n < item_count; ++n) {
            if (done_.count(n) == 0 && at_server.count(n) == 0) {
                auto& idle = idle_times_[static_cast<std::size_t>(n)];
                idle.longest =
                    std::max(idle.longest, clock_.now() - idle.since);
            }
        }
    }

    idle_time& idle_time_of(const simulated_run& r) {
        return idle_times_[static_cast<std::size_t>(r.item_index)];
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    samplers::sampler_table table_{clock_};
    std::unique_ptr<owner> owner_ = std::make_unique<owner>(clock_, table_);
    std::map<samplers::sampler_id, server> servers_;
    std::map<run_number, simulated_run> runs_;
    std::multimap<base::millis, std::pair<run_number, run_outcome>> cuts_;
    std::function<bool(const watched_run&)> crashes_watched_;
    base::millis crash_delay_ms_ = 0;
    bool crashes_if_closed_ = false;
    std::multimap<base::millis, delayed_crash> delayed_crashes_;
    std::map<std::string, std::string> stored_losses_;
    std::map<int, std::vector<progress_part>> saved_;
    std::vector<item> items_;
    job_row row_;
    std::set<int> done_;
    std::int64_t epoch_ = 0;
    bool silent_ = false;
    int crash_count_ = 0;
    int run_count_ = 0;
    std::array<idle_time, item_count> idle_times_ = {};
};

} // namespace hibiscus::batch::simulation
