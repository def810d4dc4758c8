#include "job_owner.hpp"

/// What an owner tells of items that wait and of its hand-over.
namespace hibiscus::entry {

namespace {

/// How often it is told that items wait, in ms.
constexpr base::millis wait_report_interval_ms = 1000;

/// Items that have waited for less are not told of, in ms: a step has more
/// items than places at first, and weights take that long to load.
constexpr base::millis long_wait_threshold_ms = 1000;

} // namespace

/// Tells why items wait although some server has a free place, and which jobs
/// are not in work.
void job_owner::report_waiting_work() {
    const auto now = state_.clock.now();
    if (now - last_wait_report_at_ < wait_report_interval_ms) {
        return;
    }
    last_wait_report_at_ = now;
    const batch::waiting_group* most = nullptr;
    const auto all = work_.waiting_groups();
    for (const auto& w : all) {
        if (w.longest_wait_ms >= long_wait_threshold_ms &&
            w.servers.with_free_slots() > 0 &&
            (most == nullptr || w.item_count > most->item_count)) {
            most = &w;
        }
    }
    if (most != nullptr) {
        log_waiting_items(*most);
    }
    log_unadopted_jobs();
}

void job_owner::log_waiting_items(const batch::waiting_group& waits) {
    const auto& s = waits.servers;
    state_.counters.count_event("items_wait");
    state_.log.write("items_wait", {{"model", waits.model},
                                    {"least_version", waits.min_version},
                                    {"items", waits.item_count},
                                    {"longest_ms", waits.longest_wait_ms},
                                    {"open", s.available},
                                    {"full", s.full},
                                    {"blocked", s.blocked},
                                    {"loading", s.loading},
                                    {"old_weights", s.old_weights},
                                    {"unlisted", s.unlisted},
                                    {"draining", s.draining},
                                    {"store_heard", is_store_current()},
                                    {"leaving", handover_.has_begun()}});
}

void job_owner::log_unadopted_jobs() {
    int no_route = 0;
    int unread = 0;
    const auto now = state_.clock.now();
    for (const auto& [id, row] : state_.jobs.jobs()) {
        if (row.has_ended || !row.header || work_.has_job(id) ||
            now - row.first_seen_at < long_wait_threshold_ms) {
            continue;
        }
        ++(find_job_terms(*row.header) ? unread : no_route);
    }
    if (no_route + unread > 0) {
        state_.counters.count_event("jobs_wait");
        state_.log.write("jobs_wait", {{"no_route", no_route},
                                       {"items_missing", unread},
                                       {"store_heard", is_store_current()},
                                       {"leaving", handover_.has_begun()}});
    }
}

void job_owner::log_handover() {
    const auto& now = state_.jobs.owner();
    const bool given_up = !ownership_.is_held(state_.jobs);
    if (given_up) {
        state_.counters.count_event("hand_over_done");
    } else {
        state_.counters.count_event("hand_over_unfinished");
    }
    state_.log.write("hand_over", {{"ms", handover_.elapsed()},
                                   {"tries", handover_.attempts()},
                                   {"given_up", given_up},
                                   {"owner", now ? now->record.node.str() : ""},
                                   {"vacant", now && now->record.handed_over}});
}

} // namespace hibiscus::entry
