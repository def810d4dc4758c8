#pragma once

#include "batch_api.hpp"
#include "hibiscus/base/result.hpp"
#include "hibiscus/batch/listing_plan.hpp"
#include "hibiscus/batch/ownership.hpp"
#include "hibiscus/batch/retention.hpp"
#include "platform/store_client.hpp"
#include "support/timed_store.hpp"

#include <fcntl.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hibiscus::entry {

/// Takes a node's answer in the place of a connection.
class test_exchange : public transport::exchange {
public:
    using answered = std::function<void(const transport::outbound_response&)>;

    explicit test_exchange(answered done) : done_(std::move(done)) {}

    void respond(transport::outbound_response response) override {
        if (done_) {
            std::exchange(done_, nullptr)(response);
        }
    }
    void begin(int, const transport::headers&) override {}
    void write(std::string_view) override {}
    void end() override {}
    void abort() override {}
    void on_closed(std::function<void()>) override {}

private:
    answered done_;
};

/// The part of a node that answers calls about jobs, with an owner that lists
/// results without running anything, on a store in virtual time.
class batch_node {
public:
    /// Small records, so that jobs and texts are cut into pieces.
    static node_settings small_settings(const std::string& name) {
        node_settings s;
        s.node = base::node_id(name);
        s.partitions = 2;
        s.record_bytes = 1024;
        s.append_bytes = 4096;
        s.status_ms = 8000;
        s.margin_ms = 0;
        return s;
    }

    batch_node(testing::timed_store& store, testing::virtual_time& time,
               const std::string& name, const std::string& incarnation)
        : after_([&time, alive = alive_](base::millis ms,
                                         std::function<void()> f) {
              time.after(ms, [alive, f = std::move(f)] {
                  if (*alive) {
                      f();
                  }
              });
          }),
          state_(small_settings(name), time.clock(), null_device()),
          port_(store.port(alive_)),
          journal_(port_, journal(), state_.clock, after_,
                   {150, 100, [] { return base::millis{60}; }},
                   {[this](const auto& changes) { journal_changed(changes); },
                    [this](bool up) { ownership_.contact(up); }}),
          files_(port_, state_.config.partitions,
                 {state_.config.record_bytes, state_.config.append_bytes}),
          batch_(state_, port_, journal_, files_, after_),
          incarnation_(incarnation),
          ownership_(state_.clock, state_.config.node, incarnation_, {}, 0.5,
                     1) {
        journal_.start();
        batch_.start();
    }

    ~batch_node() { *alive_ = false; }

    batch_node(const batch_node&) = delete;
    batch_node& operator=(const batch_node&) = delete;

    static store::partition journal() { return {adapter::journal_topic, 0}; }

    batch_api& calls() { return batch_; }
    node_state& state() { return state_; }

    bool owns() const { return ownership_.mine(state_.jobs); }

    /// Claims or renews the ownership; `hasty` claims without cause.
    void own(bool hasty) {
        if (appending_ || !journal_.loaded()) {
            return;
        }
        const auto step = ownership_.next(state_.jobs, journal_.current_at());
        const bool mine = owns();
        if (step == batch::ownership_step::nothing && (mine || !hasty)) {
            return;
        }
        const auto fence =
            mine ? state_.jobs.owner()->record.fence : journal_.next();
        append({own_record(fence)}, [](bool) {});
    }

    /// Stores and lists results, as far as this node owns the jobs.
    void list(std::vector<batch::ready_result> results) {
        if (committing_ || !owns()) {
            return;
        }
        auto plan =
            batch::plan_listings(state_.jobs, std::move(results), 512, [this] {
                return incarnation_ + "-" + std::to_string(++names_);
            });
        if (plan.empty()) {
            return;
        }
        committing_ = true;
        auto waiting = std::make_shared<std::size_t>(plan.size());
        auto unstored = std::make_shared<std::set<batch::job_id>>();
        for (const auto& p : plan) {
            files_.append_texts(
                p.job, {p.texts},
                [this, plan, waiting, unstored, job = p.job](const auto& r) {
                    if (base::value_if(r) == nullptr) {
                        unstored->insert(job);
                    }
                    if (--*waiting == 0) {
                        stored(batch::without_jobs(plan, *unstored));
                    }
                });
        }
    }

    /// Erases a job whose time is over, if this node owns the jobs.
    void expire() {
        const auto id = batch::expired_job(state_.jobs, state_.clock.now(),
                                           state_.config.status_ms +
                                               state_.config.margin_ms);
        if (!id || appending_ || !owns()) {
            return;
        }
        files_.erase(*id, [this, id = *id](bool gone) {
            const auto* row = state_.jobs.find(id);
            if (gone && row != nullptr && !appending_ && owns()) {
                append(batch::journal_erasures(id, *row), [](bool) {});
            }
        });
    }

private:
    static int null_device() {
        static const int descriptor = ::open("/dev/null", O_WRONLY);
        return descriptor;
    }

    void journal_changed(const std::vector<store::change>& changes) {
        for (const auto& c : changes) {
            state_.jobs.apply(c);
        }
        batch_.ledger_changed();
    }

    store::record own_record(store::log_offset fence) {
        return {batch::to_text(batch::owner_key{}),
                batch::encode(batch::owner_record{
                    state_.config.node, incarnation_, fence, ++beats_, false})};
    }

    void stored(const std::vector<batch::planned_listing>& plan) {
        committing_ = false;
        if (plan.empty() || appending_ || !owns() ||
            !batch::still_fits(state_.jobs, plan)) {
            return;
        }
        std::vector<store::record> records;
        records.reserve(plan.size() + 1);
        for (const auto& p : plan) {
            records.push_back(
                {batch::to_text(batch::listing_key{p.job, p.position}),
                 batch::encode(p.content)});
        }
        records.push_back(own_record(state_.jobs.owner()->record.fence));
        committing_ = true;
        append(records, [this](bool) { committing_ = false; });
    }

    void append(const std::vector<store::record>& records,
                std::function<void(bool)> done) {
        appending_ = true;
        const auto at = journal_.next();
        port_.append(journal(), records, &at,
                     [this, records, sent_at = state_.clock.now(),
                      done = std::move(done)](const auto& r) {
                         appending_ = false;
                         const auto* a = base::value_if(r);
                         if (a != nullptr) {
                             ownership_.renewed();
                             journal_.appended_here(a->first, records, sent_at);
                         }
                         done(a != nullptr);
                     });
    }

    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    store::delay_function after_;
    node_state state_;
    store::log_store port_;
    store::follower journal_;
    job_files files_;
    batch_api batch_;
    std::string incarnation_;
    batch::ownership ownership_;
    std::int64_t beats_ = 0;
    int names_ = 0;
    bool appending_ = false;
    bool committing_ = false;
};

} // namespace hibiscus::entry
