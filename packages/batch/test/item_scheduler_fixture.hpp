#pragma once

#include "hibiscus/batch/item_scheduler.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace hibiscus::batch {

inline const samplers::service_name engines("engines");

/// A scheduler with two servers of two slots each, in virtual time.
class item_scheduler_test : public testing::Test {
protected:
    item_scheduler_test() {
        add_server("a", 2);
        add_server("b", 2);
    }

    void add_server(const std::string& id, int slots,
                    std::int64_t version = 1) {
        samplers::registration r;
        r.service = engines;
        r.address = {"127.0.0.1", 1};
        r.slots = slots;
        r.versions["m"] = version;
        table_.put(samplers::sampler_id(id), r);
    }

    /// Renews the registrations of all servers, as servers do from time to
    /// time.
    void renew_registrations() {
        for (const auto& [id, row] : table_.rows()) {
            table_.put(id, samplers::registration(row.registered));
        }
    }

    void add_job(int items, bool reward = true, weight_version min_version = 1,
                 const std::string& id = "j", int priority = 0,
                 const std::string& workspace = "",
                 const std::map<int, std::vector<progress_part>>& saved = {}) {
        job j;
        j.header.id = job_id(id);
        j.header.workspace = workspace;
        j.header.model = "m";
        j.header.min_version = min_version;
        for (int n = 0; n < items; ++n) {
            item i;
            i.id = item_id("i" + std::to_string(n));
            i.max_total_tokens = 100000;
            i.expected_output_tokens = 100 * (n + 1);
            if (reward) {
                i.reward = reward_call{"r" + std::to_string(n), "h", "/p", ""};
            }
            j.items.push_back(i);
        }
        job_row row;
        row.header = j.header;
        row.first_seen_at = clock_.now();
        job_options options;
        options.service = engines;
        options.max_attempts = 3;
        options.target_ms = 7500;
        options.item_expiry_ms = 40000;
        options.priority = priority;
        scheduler_.add_job(row, j.items, saved, options, 1000);
    }

    /// Advances the time with regular ticks.
    effects tick_for(base::millis ms) {
        effects all;
        for (; ms > 0; ms -= std::min(ms, tick_ms)) {
            time_->advance(std::min(ms, tick_ms));
            const auto actions = scheduler_.tick(true);
            all.insert(all.end(), actions.begin(), actions.end());
        }
        return all;
    }

    /// Starts four runs and sends ten events for each.
    std::vector<start_run> start_four_runs() {
        add_job(4);
        auto starts = of_type<start_run>(scheduler_.tick(true));
        for (const auto& s : starts) {
            scheduler_.on_response_started(s.run, 1);
        }
        for (int n = 1; n <= 10; ++n) {
            tick_for(8);
            for (const auto& s : starts) {
                scheduler_.on_event(s.run, std::to_string(n), "e", {});
            }
        }
        return starts;
    }

    template <class T>
    static std::vector<T> of_type(const effects& all) {
        std::vector<T> matching;
        for (const auto& e : all) {
            if (const auto* t = std::get_if<T>(&e)) {
                matching.push_back(*t);
            }
        }
        return matching;
    }

    /// Sends the events of a run and completes it.
    effects complete_run(const start_run& r, int events = 2) {
        scheduler_.on_response_started(r.run, 1);
        for (int n = 1; n <= events; ++n) {
            scheduler_.on_event(r.run, std::to_string(n),
                                "e" + std::to_string(n), {});
        }
        return scheduler_.on_run_ended(r.run, run_outcome::complete);
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    samplers::sampler_table table_{clock_};
    crash_ledger crashes_{clock_, 60000, &table_.ends()};
    item_scheduler scheduler_{clock_, table_, crashes_};
    const job_id job_{"j"};
    static constexpr base::millis tick_ms = 25;
};

} // namespace hibiscus::batch
