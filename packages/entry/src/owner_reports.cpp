#include "owner.hpp"

/// What an owner tells of items that wait and of its hand-over.
namespace hibiscus::entry {

namespace {

/// How often it is told that items wait, in ms.
constexpr base::millis report_ms = 1000;

/// Items that have waited for less are not told of, in ms: a step has more
/// items than places at first, and weights take that long to load.
constexpr base::millis long_wait_ms = 1000;

} // namespace

/// Tells why items wait although some server has a free place, and which jobs
/// are not in work.
void owner::report_waits() {
    const auto now = state_.clock.now();
    if (now - last_report_ < report_ms) {
        return;
    }
    last_report_ = now;
    const batch::waiting_items* most = nullptr;
    const auto all = work_.waits();
    for (const auto& w : all) {
        if (w.longest_ms >= long_wait_ms && w.servers.with_places() > 0 &&
            (most == nullptr || w.items > most->items)) {
            most = &w;
        }
    }
    if (most != nullptr) {
        log_waits(*most);
    }
    log_unread_jobs();
}

void owner::log_waits(const batch::waiting_items& waits) {
    const auto& s = waits.servers;
    state_.counters.count_event("items_wait");
    state_.log.write("items_wait", {{"model", waits.model},
                                    {"least_version", waits.least_version},
                                    {"items", waits.items},
                                    {"longest_ms", waits.longest_ms},
                                    {"open", s.open},
                                    {"full", s.full},
                                    {"blocked", s.blocked},
                                    {"loading", s.loading},
                                    {"old_weights", s.old_weights},
                                    {"unlisted", s.unlisted},
                                    {"draining", s.draining},
                                    {"store_heard", store_heard()},
                                    {"leaving", hand_over_.begun()}});
}

void owner::log_unread_jobs() {
    int no_route = 0;
    int unread = 0;
    const auto now = state_.clock.now();
    for (const auto& [id, row] : state_.jobs.jobs()) {
        if (row.ended || !row.header || work_.has(id) ||
            now - row.seen_at < long_wait_ms) {
            continue;
        }
        ++(terms_of(*row.header) ? unread : no_route);
    }
    if (no_route + unread > 0) {
        state_.counters.count_event("jobs_wait");
        state_.log.write("jobs_wait", {{"no_route", no_route},
                                       {"items_missing", unread},
                                       {"store_heard", store_heard()},
                                       {"leaving", hand_over_.begun()}});
    }
}

void owner::log_hand_over() {
    const auto& now = state_.jobs.owner();
    const bool given_up = !ownership_.mine(state_.jobs);
    if (given_up) {
        state_.counters.count_event("hand_over_done");
    } else {
        state_.counters.count_event("hand_over_unfinished");
    }
    state_.log.write("hand_over", {{"ms", hand_over_.lasted()},
                                   {"tries", hand_over_.tries()},
                                   {"given_up", given_up},
                                   {"owner", now ? now->record.node.str() : ""},
                                   {"vacant", now && now->record.left}});
}

} // namespace hibiscus::entry
