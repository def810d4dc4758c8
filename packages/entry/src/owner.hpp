#pragma once

#include "forwarder.hpp"
#include "job_files.hpp"
#include "node_state.hpp"

#include "hibiscus/batch/hand_over.hpp"
#include "hibiscus/batch/listing_plan.hpp"
#include "hibiscus/batch/ownership.hpp"
#include "hibiscus/batch/work.hpp"
#include "hibiscus/samplers/weight_rollout.hpp"
#include "hibiscus/store/follower.hpp"
#include "hibiscus/store/store_link.hpp"
#include "hibiscus/transport/event_stream.hpp"
#include "platform/sampler_calls.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace hibiscus::entry {

/// Runs the jobs while this node owns them, and orders loads of weights. The
/// owner is named by a record in the journal, which it renews. All that
/// matters is appended on the condition that the journal ends where this node
/// has read to, so that of two owners at a time one always loses.
class owner {
public:
    owner(node_state& state, const store::log_store& store,
          const store::store_link& link, store::follower& journal,
          const job_files& files, transport::upstream_client& client,
          forwarder& requests, store::delay_function after);

    /// Starts to take part.
    void start();

    /// The store was lost or is heard again.
    void contact(bool up);

    /// The ledger has changed in these jobs, or in its owner.
    void ledger_changed(const std::set<batch::job_id>& jobs);

    /// A trainer named a version.
    void version_named(const std::string& model, std::int64_t version);

    /// Saves what is under way, stops it and lets the others take over, then
    /// calls `done`, within a bounded time.
    void hand_over(std::function<void()> done);

    bool owns() const;

private:
    struct live_run {
        std::shared_ptr<transport::upstream_call> call;
        transport::event_stream_parser parser;
        int status = 0;
        bool not_run = false;
        bool other_server = false;
        samplers::sampler_id server;
        batch::job_id job;
        int number = 0;
        int events = 0;
        base::millis started_at = 0;
    };

    /// A server's answer; status 0 stands for none.
    struct server_reply {
        int status = 0;
        std::string body;
        transport::call_end end = transport::call_end::not_sent;
    };

    struct reward_task {
        batch::job_id job;
        int number = 0;
        batch::reward_call call;
    };

    void claim();
    store::record own_record(store::log_offset fence, bool left);
    void append(const std::vector<store::record>& records,
                std::function<void(bool)> done);
    void log_append(const store::append_result& result, std::size_t records,
                    base::millis ms);
    void owner_changed(bool mine);
    void log_lives(const batch::job_id& id, const batch::job_row& row);
    void load(const batch::job_id& id);
    void take_up(const batch::job_id& id, std::vector<batch::item> items,
                 const job_files::progress_map& progress);
    void tick();
    void sync();
    void follow_routes();
    void follow_route(const batch::job_id& id, const batch::job_header& header);
    void run(const batch::effects& effects);
    void start_one(const batch::start_run& r);
    void run_ended(batch::run_number run, transport::call_end end);
    void place_soon();
    batch::run_end end_of(const live_run& live, transport::call_end end) const;
    void start_rewards();
    void send_reward(const reward_task& task);
    std::size_t reward_places(const samplers::service_name& service) const;
    void renew_overdue();
    void commit();
    std::vector<batch::planned_listing> collect();
    void texts_stored(std::vector<batch::planned_listing> lists,
                      const std::set<batch::job_id>& unstored);
    void list(const std::vector<batch::planned_listing>& lists);
    void save();
    void save_now(int least, std::function<void()> done);
    void report_waits();
    void log_waits(const batch::waiting_items& waits);
    void log_unread_jobs();
    void log_hand_over();
    void step_hand_over();
    void end_hand_over();
    void expire();
    void expired(const batch::job_id& id, bool done);
    void erase_progress(const batch::job_id& id);
    void order_loads();
    void ask_report(
        const samplers::sampler_id& id,
        std::function<void(const std::optional<adapter::server_report>&)> done);
    void load_done(const samplers::sampler_id& id,
                   const adapter::server_report& report);
    void on_report(const samplers::load_order& order,
                   const std::optional<adapter::server_report>& report);
    void send_order(const samplers::load_order& order,
                    std::int64_t after_orders);
    void call_server(const samplers::sampler_id& id,
                     transport::upstream_request request,
                     std::function<void(const server_reply&)> done);
    bool store_heard() const;
    bool may_start() const;
    std::optional<batch::job_terms> terms_of(const batch::job_header& header);

    node_state& state_;
    const store::log_store& store_;
    const store::store_link& link_;
    store::follower& journal_;
    const job_files& files_;
    transport::upstream_client& client_;
    forwarder& requests_;
    store::delay_function after_;
    batch::work work_;
    samplers::weight_rollout rollout_;
    std::string incarnation_;
    batch::ownership ownership_;
    std::set<batch::job_id> loading_;
    std::map<batch::run_number, live_run> runs_;
    std::deque<reward_task> rewards_;
    std::map<std::uint64_t, std::shared_ptr<forwarding>> judging_;
    std::uint64_t last_judging_ = 0;
    std::int64_t beats_ = 0;
    std::uint64_t texts_written_ = 0;
    base::node_id last_owner_;
    /// The keys of the texts under way that this owner saved, by open job.
    std::map<batch::job_id, std::vector<std::string>> progress_keys_;
    bool expiring_ = false;
    base::millis next_expiry_ = 0;
    /// Saves of texts under way that the store has not answered.
    int saves_ = 0;
    bool appending_ = false;
    bool committing_ = false;
    /// Jobs whose texts the store did not take, and until when they are left
    /// out.
    std::map<batch::job_id, base::millis> unstored_until_;
    /// Set while what waits is about to be placed.
    bool placing_ = false;
    bool renew_due_ = false;
    base::millis last_overdue_ = 0;
    bool owned_before_ = false;
    batch::hand_over hand_over_;
    std::function<void()> handed_over_;
    base::millis may_order_at_ = 0;
    base::millis last_commit_ = 0;
    base::millis last_progress_ = 0;
    base::millis last_report_ = 0;
    base::millis last_follow_ = 0;
};

} // namespace hibiscus::entry
