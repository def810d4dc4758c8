#include "job_owner.hpp"

#include "hibiscus/base/result.hpp"
#include "platform/sampler_calls.hpp"
#include "platform/store_client.hpp"

#include <algorithm>

namespace hibiscus::entry {

namespace {

/// Interval of the periodic tick of job_owner, in ms. Free slots are also
/// filled shortly after a run ends, without waiting for a tick.
constexpr base::millis tick_interval_ms = batch::item_scheduler::tick_ms;

/// Interval between checks that each open job still uses a service of its
/// route, in ms.
constexpr base::millis service_update_interval_ms = 250;

/// Delay before the items of a job are read again after a failure, in ms.
constexpr base::millis load_retry_delay_ms = 100;

/// Number of text epochs reserved for each owner. An owner restarts a text only
/// where versions must not be mixed, which needs a new epoch.
constexpr std::int64_t epochs_per_owner = 1000;

/// New items start only if the journal was read within this fraction of
/// `cancel_deadline_ms`, the time within which the end of a job must take
/// effect.
constexpr base::millis cancel_deadline_divisor = 2;

/// Maximum number of slow items logged for an ended job.
constexpr std::size_t max_slow_items_logged = 12;

} // namespace

job_owner::job_owner(node_state& state, const store::log_store& log_store,
                     const store::store_router& router,
                     store::partition_watcher& journal,
                     const job_store& stored_jobs,
                     transport::upstream_client& client,
                     forwarder& request_forwarder,
                     store::run_after_function run_after)
    : state_(state), log_store_(log_store), store_router_(router),
      journal_(journal), job_store_(stored_jobs), client_(client),
      run_after_(std::move(run_after)),
      crashes_(state.clock, state.settings.result_retention_ms,
               &state.samplers.ends()),
      scheduler_(state.clock, state.samplers, crashes_),
      reward_caller_(
          state, request_forwarder,
          [this](const auto& job, int item_index, const auto& outcome) {
              apply_effects(
                  scheduler_.on_reward_ended(job, item_index, outcome));
              commit_results();
          },
          [this](const auto& job, int item_index, const auto& lost) {
              apply_effects(
                  scheduler_.on_reward_server_lost(job, item_index, lost));
          },
          [this](const auto& job, int item_index, const auto& last_seen) {
              scheduler_.on_reward_abandoned(job, item_index, last_seen);
          },
          [this](const auto& job, int item_index) {
              return scheduler_.may_repeat_reward(job, item_index);
          }),
      rollout_(state.clock), incarnation_(state.unique_name()),
      lease_(state.clock, state.settings.node, incarnation_, {},
             state.random_fraction(),
             state.settings.features.is_enabled(base::feature::owner_by_size)
                 ? state.settings.cpu_share
                 : 1),
      committer_(state, stored_jobs, incarnation_, make_journal_access()),
      handover_(state.clock) {}

void job_owner::start() {
    tick();
}

bool job_owner::is_owner() const {
    return !handover_.has_ended() && lease_.is_held(state_.jobs);
}

std::optional<std::uint64_t> job_owner::fencing_token() const {
    if (!is_owner() || !is_journal_current() || handover_.has_begun()) {
        return std::nullopt;
    }
    return state_.jobs.owner()->record.fencing_token + 1;
}

void job_owner::set_store_reachable(bool reachable) {
    lease_.set_store_reachable(reachable);
}

bool job_owner::is_journal_current() const {
    const auto age =
        journal_age_.update(journal_.current_as_of(), state_.clock);
    return journal_.is_loaded() &&
           age < state_.settings.cancel_deadline_ms / cancel_deadline_divisor;
}

/// Returns whether items may be started: the handover has not begun, and either
/// the journal was read recently enough to have shown the end of a job, or the
/// store is unreachable for all nodes, so that no job can have been ended.
bool job_owner::may_start_items() const {
    return !handover_.has_begun() &&
           (is_journal_current() || store_router_.is_store_down_for_all());
}

void job_owner::claim_lease() {
    if (appending_ || !lease_.may_claim(journal_.next_offset())) {
        return;
    }
    const auto& before = state_.jobs.owner();
    state_.log.write(
        "claim",
        {{"before", before ? before->record.node.str() : ""},
         {"silent_ms", before ? state_.clock.now() - before->last_seen_at : 0},
         {"read_to", journal_.next_offset()}});
    append_to_journal({make_owner_record(journal_.next_offset(), false)},
                      [](bool) {});
}

void job_owner::on_jobs_changed(const std::set<batch::job_id>& jobs) {
    const bool owns_now = is_owner();
    if (owns_now != was_owner_) {
        was_owner_ = owns_now;
        on_owner_changed(owns_now);
        return;
    }
    if (!owns_now) {
        return;
    }
    for (const auto& id : jobs) {
        const auto* row = state_.jobs.find(id);
        if (row != nullptr && row->has_ended) {
            log_slow_items(id, *row);
            reward_caller_.drop_job(id, "job_ended");
            apply_effects(scheduler_.remove_job(id));
            erase_progress(id);
        } else if (row != nullptr) {
            apply_effects(scheduler_.on_committed(id, row->committed_items));
        }
    }
    load_open_jobs();
}

void job_owner::on_owner_changed(bool is_owner_now) {
    const auto& owner = state_.jobs.owner();
    state_.log.write("owner",
                     {{"mine", is_owner_now},
                      {"node", owner ? owner->record.node.str() : ""},
                      {"fence", owner ? owner->record.fencing_token : 0},
                      {"read_to", journal_.next_offset()}});
    if (is_owner_now) {
        // A load order of the previous owner may still be in flight. A server
        // that does not check fencing tokens would execute it after an order of
        // this owner, so the order lease has to expire first. There is nothing
        // to wait for if servers check the tokens, if there was no owner
        // before, or if this node was the previous owner.
        const bool may_order_now = owner->record.fencing_token == 0 ||
                                   previous_owner_ == state_.settings.node ||
                                   state_.settings.servers_check_fences;
        orders_allowed_at_ =
            state_.clock.now() +
            (may_order_now ? 0 : state_.settings.order_lease_ms);
        rollout_.reset();
        state_.samplers.clear_all_loading();
        crashes_.restore(state_.jobs.losses());
        load_open_jobs();
        return;
    }
    apply_effects(scheduler_.remove_all_jobs());
    reward_caller_.drop_all("owner_changed");
    crashes_.clear();
    delayed_runs_.clear();
    server_checks_.clear();
    progress_keys_.clear();
    committer_.clear();
    loading_jobs_.clear();
}

/// Logs the timelines of the slowest items of an ended job.
void job_owner::log_slow_items(const batch::job_id& id,
                               const batch::job_row& row) {
    const auto timelines = scheduler_.item_timelines(id);
    const auto age = state_.clock.now() - row.first_seen_at;
    state_.counters.observe("job", age);
    std::size_t logged_count = 0;
    for (const auto& timeline : timelines) {
        if (++logged_count > max_slow_items_logged) {
            return;
        }
        state_.log.write(
            "slow_item",
            {{"job", id},
             {"step", row.header->step},
             {"job_ms", age},
             {"item", timeline.item_index},
             {"first_start_ms", timeline.first_start_ms},
             {"text_ms", timeline.text_complete_ms},
             {"ready_ms", timeline.ready_ms},
             {"runs", timeline.run_count},
             {"events", timeline.event_count},
             {"expected_tokens", timeline.expected_output_tokens}});
    }
}

std::optional<batch::job_options>
job_owner::find_job_options(const batch::job_header& header) {
    if (!state_.configuration) {
        return std::nullopt;
    }
    const auto* route =
        gateway::find_route(*state_.configuration, header.host, header.path);
    if (route == nullptr) {
        return std::nullopt;
    }
    batch::job_options options;
    options.service = samplers::service_name(
        choose_service(*route, state_.random_fraction()));
    options.max_attempts = route->max_attempts;
    options.single_version = route->single_version;
    options.target_ms = route->batch_target_ms;
    options.item_expiry_ms = route->batch_item_expiry_ms;
    if (state_.configuration->workspaces) {
        options.priority = gateway::effective_priority(
            *route, state_.configuration->workspaces->find(header.workspace));
    }
    return options;
}

/// Loads all open jobs that the scheduler does not have yet.
void job_owner::load_open_jobs() {
    for (const auto& [id, row] : state_.jobs.jobs()) {
        if (row.has_ended || !row.header || scheduler_.has_job(id) ||
            loading_jobs_.count(id) != 0 || !find_job_options(*row.header)) {
            continue;
        }
        loading_jobs_.insert(id);
        load_job(id);
    }
}

/// Moves each open job whose service is no longer on its route, or no longer
/// has servers with its model, to another service of the route.
void job_owner::update_job_services() {
    const auto now = state_.clock.now();
    if (!state_.configuration ||
        now - last_service_update_at_ < service_update_interval_ms) {
        return;
    }
    last_service_update_at_ = now;
    for (const auto& [id, row] : state_.jobs.jobs()) {
        if (!row.has_ended && row.header && scheduler_.has_job(id)) {
            update_job_service(id, *row.header);
        }
    }
}

void job_owner::update_job_service(const batch::job_id& id,
                                   const batch::job_header& header) {
    const auto* route =
        gateway::find_route(*state_.configuration, header.host, header.path);
    const auto before = scheduler_.job_service(id);
    const bool keep_service =
        route == nullptr || (gateway::has_service(*route, before.str()) &&
                             state_.samplers.has_model(before, header.model));
    if (keep_service) {
        return;
    }
    const samplers::service_name new_service(
        choose_service(*route, state_.random_fraction()));
    if (new_service == before ||
        !state_.samplers.has_model(new_service, header.model)) {
        return;
    }
    scheduler_.set_job_service(id, new_service);
    state_.log.write(
        "job_moved",
        {{"job", id}, {"before", before}, {"service", new_service}});
}

/// Reads the items and the saved progress of a job from the store.
void job_owner::load_job(const batch::job_id& id) {
    struct job_parts {
        std::optional<std::vector<batch::item>> items;
        std::optional<job_store::progress_by_item> progress;
        int pending_parts = 2;
    };
    auto loaded = std::make_shared<job_parts>();
    const auto on_part_loaded = [this, id, loaded] {
        if (--loaded->pending_parts > 0) {
            return;
        }
        if (!loaded->items || !loaded->progress) {
            run_after_(load_retry_delay_ms,
                       [this, id] { loading_jobs_.erase(id); });
            return;
        }
        loading_jobs_.erase(id);
        add_loaded_job(id, std::move(*loaded->items), *loaded->progress);
    };
    job_store_.load_items(*state_.jobs.find(id)->header,
                          [loaded, on_part_loaded](auto items) {
                              loaded->items = std::move(items);
                              on_part_loaded();
                          });
    job_store_.load_progress(id, [loaded, on_part_loaded](auto progress) {
        loaded->progress = std::move(progress);
        on_part_loaded();
    });
}

void job_owner::add_loaded_job(const batch::job_id& id,
                               std::vector<batch::item> items,
                               const job_store::progress_by_item& progress) {
    const auto* row = state_.jobs.find(id);
    if (!is_owner() || row == nullptr || row->has_ended ||
        scheduler_.has_job(id)) {
        return;
    }
    const auto options = find_job_options(*row->header);
    if (!options || static_cast<int>(items.size()) != row->header->item_count) {
        state_.log.write("job_waits",
                         {{"job", id},
                          {"items", static_cast<int>(items.size())},
                          {"reason", options ? "items_missing" : "no_route"}});
        return;
    }
    const auto before = scheduler_.counts();
    const auto fencing_token = state_.jobs.owner()->record.fencing_token;
    apply_effects(scheduler_.add_job(*row, std::move(items), progress, *options,
                                     static_cast<std::int64_t>(fencing_token) *
                                         epochs_per_owner));
    const auto& counts = scheduler_.counts();
    state_.log.write(
        "job_taken_up",
        {{"job", id},
         {"step", row->header->step},
         {"items", row->header->item_count},
         {"listed", static_cast<int>(row->committed_items.size())},
         {"saved", static_cast<int>(progress.size())},
         {"least_version", row->header->min_version},
         {"carried", counts.resubmitted_items - before.resubmitted_items},
         {"reused", counts.reused_texts - before.reused_texts},
         {"void_events", counts.discarded_events - before.discarded_events},
         {"age_ms", state_.clock.now() - row->first_seen_at}});
    apply_effects(scheduler_.tick(may_start_items()));
}

void job_owner::on_version_published(const std::string& model,
                                     std::int64_t version) {
    rollout_.announce_version(model, version);
    scheduler_.announce_version(model, version);
    state_.log.write("version_named", {{"model", model}, {"version", version}});
}

void job_owner::tick() {
    advance_handover();
    if (journal_.is_loaded() && !handover_.has_begun()) {
        switch (lease_.next_action(state_.jobs, journal_.current_as_of())) {
        case batch::lease_action::none:
            break;
        case batch::lease_action::claim:
            claim_lease();
            break;
        case batch::lease_action::renew:
            renew_due_ = true;
            break;
        }
    }
    if (const auto& owner = state_.jobs.owner()) {
        previous_owner_ = is_owner() ? previous_owner_ : owner->record.node;
    }
    if (is_owner()) {
        load_open_jobs();
        update_job_services();
        scheduler_.set_scoring_delays(reward_caller_.job_delays());
        check_lost_servers();
        apply_effects(scheduler_.tick(may_start_items()));
        store_losses_if_due();
        reward_caller_.report(scheduler_.withheld_count());
        order_weight_loads();
        renew_if_overdue();
        commit_results();
        save_progress_if_due();
        erase_next_expired_job();
        report_waiting_items();
    }
    run_after_(tick_interval_ms, [this] { tick(); });
}

void job_owner::start_handover(std::function<void()> done) {
    handover_.begin();
    on_handed_over_ = std::move(done);
    if (is_owner()) {
        save_progress(1, [this] {
            handover_.on_texts_saved();
            advance_handover();
        });
    }
    advance_handover();
}

/// Marks the lease as released in the journal, so that the next owner need not
/// wait for it to expire.
void job_owner::advance_handover() {
    switch (handover_.next_action(is_owner(), appending_)) {
    case batch::handover_action::wait:
        break;
    case batch::handover_action::release:
        append_to_journal(make_release_records(), [this](bool done) {
            if (!done) {
                handover_.on_record_rejected();
            }
            advance_handover();
        });
        break;
    case batch::handover_action::end:
        finish_handover();
        break;
    }
}

/// Returns the release of the lease, with the losses that are not stored yet.
std::vector<store::record> job_owner::make_release_records() {
    std::vector<store::record> records;
    for (const auto& row : crashes_.unsaved_rows(crashes_.size())) {
        records.push_back(row.record);
    }
    records.push_back(
        make_owner_record(state_.jobs.owner()->record.fencing_token, true));
    return records;
}

void job_owner::finish_handover() {
    // This process stops acting as the owner even if the release was not
    // recorded in the journal.
    if (std::exchange(was_owner_, false)) {
        on_owner_changed(false);
    }
    log_handover();
    std::exchange(on_handed_over_, nullptr)();
}

} // namespace hibiscus::entry
