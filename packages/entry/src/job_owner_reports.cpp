#include "job_owner.hpp"

/// Reports of job_owner on waiting and held items and on its handover.
namespace hibiscus::entry {

namespace {

/// Interval between two reports on waiting items, in ms.
constexpr base::millis wait_report_interval_ms = 1000;

/// Minimum wait of an item to be reported, in ms. At the start of a step, waits
/// of about a second are normal: there are more items than slots, and servers
/// are still loading weights.
constexpr base::millis long_wait_threshold_ms = 1000;

/// Maximum number of items that one report names.
constexpr std::size_t max_reported_items = 8;

/// Maximum number of trainers in a line on a shortage.
constexpr std::size_t max_reported_trainers = 16;

/// Returns "model GIVEN/WANTED" for each trainer.
std::string format_shares(const batch::step_shortage& shortage) {
    std::string text;
    std::size_t count = 0;
    for (const auto& [trainer, share] : shortage.trainers) {
        if (++count > max_reported_trainers) {
            break;
        }
        text += (text.empty() ? "" : ", ") + trainer.model + " " +
                std::to_string(share.given_groups) + "/" +
                std::to_string(share.wanted_groups);
    }
    return text;
}

} // namespace

/// Logs the largest group of items that wait although some server has a free
/// slot, and how many jobs are not loaded.
void job_owner::report_waiting_items() {
    const auto now = state_.clock.now();
    if (now - last_wait_report_at_ < wait_report_interval_ms) {
        return;
    }
    last_wait_report_at_ = now;
    const batch::waiting_group* largest_group = nullptr;
    const auto groups = scheduler_.waiting_groups();
    for (const auto& group : groups) {
        if (group.longest_wait_ms >= long_wait_threshold_ms &&
            group.servers.with_free_slots() > 0 &&
            (largest_group == nullptr ||
             group.item_count > largest_group->item_count)) {
            largest_group = &group;
        }
    }
    if (largest_group != nullptr) {
        log_waiting_items(*largest_group);
    }
    log_held_items();
    log_unloaded_jobs();
    report_shortages();
}

/// Logs the items that have been at no server for the longest time, and why.
void job_owner::log_held_items() {
    for (const auto& item : scheduler_.held_items(
             long_wait_threshold_ms, may_start_items(), max_reported_items)) {
        state_.counters.count_event("item_held");
        state_.log.write("item_held", {{"job", item.job},
                                       {"item", item.item_index},
                                       {"id", item.id},
                                       {"reason", base::name_of(item.reason)},
                                       {"held_ms", item.held_ms},
                                       {"runs", item.run_count},
                                       {"events", item.event_count},
                                       {"losses", item.loss_count}});
    }
}

/// Logs shortages of servers that began, got another victim or ended.
void job_owner::report_shortages() {
    auto ended = std::move(reported_shortages_);
    reported_shortages_.clear();
    for (const auto& shortage : scheduler_.shortages()) {
        const auto before = ended.find(shortage.service);
        if (before == ended.end()) {
            log_shortage(shortage, "begins");
        } else if (!(before->second.victim() == shortage.victim())) {
            log_shortage(shortage, "victim");
        }
        reported_shortages_[shortage.service] = shortage;
        ended.erase(shortage.service);
    }
    for (const auto& [service, shortage] : ended) {
        log_shortage(shortage, "ends");
    }
}

void job_owner::log_shortage(const batch::step_shortage& shortage,
                             const char* state) {
    state_.counters.count_event(std::string("step_shortage_") + state);
    state_.log.write("step_shortage",
                     {{"state", state},
                      {"service", shortage.service},
                      {"for_ms", state_.clock.now() - shortage.began_at},
                      {"work_ms", static_cast<std::int64_t>(shortage.work_ms)},
                      {"room_ms", static_cast<std::int64_t>(shortage.room_ms)},
                      {"victim", shortage.victim().model},
                      {"given", format_shares(shortage)}});
}

void job_owner::log_waiting_items(const batch::waiting_group& group) {
    const auto& s = group.servers;
    state_.counters.count_event("items_wait");
    state_.log.write("items_wait", {{"model", group.model},
                                    {"least_version", group.min_version},
                                    {"items", group.item_count},
                                    {"longest_ms", group.longest_wait_ms},
                                    {"open", s.available},
                                    {"full", s.full},
                                    {"blocked", s.blocked},
                                    {"start_limited", s.start_limited},
                                    {"loading", s.loading},
                                    {"old_weights", s.old_weights},
                                    {"unlisted", s.unlisted},
                                    {"draining", s.draining},
                                    {"store_heard", is_journal_current()},
                                    {"leaving", handover_.has_begun()}});
}

void job_owner::log_unloaded_jobs() {
    int no_route = 0;
    int not_loaded = 0;
    const auto now = state_.clock.now();
    for (const auto& [id, row] : state_.jobs.jobs()) {
        if (row.has_ended || !row.header || scheduler_.has_job(id) ||
            now - row.first_seen_at < long_wait_threshold_ms) {
            continue;
        }
        ++(find_job_options(*row.header) ? not_loaded : no_route);
    }
    if (no_route + not_loaded > 0) {
        state_.counters.count_event("jobs_wait");
        state_.log.write("jobs_wait", {{"no_route", no_route},
                                       {"items_missing", not_loaded},
                                       {"store_heard", is_journal_current()},
                                       {"leaving", handover_.has_begun()}});
    }
}

void job_owner::log_handover() {
    const auto& now = state_.jobs.owner();
    const bool released = !lease_.is_held(state_.jobs);
    if (released) {
        state_.counters.count_event("hand_over_done");
    } else {
        state_.counters.count_event("hand_over_unfinished");
    }
    state_.log.write("hand_over", {{"ms", handover_.elapsed()},
                                   {"tries", handover_.attempts()},
                                   {"given_up", released},
                                   {"owner", now ? now->record.node.str() : ""},
                                   {"vacant", now && now->record.handed_over}});
}

} // namespace hibiscus::entry
