#include "crash_ledger_fixture.hpp"

#include <algorithm>

namespace hibiscus::batch {

namespace {

/// Ends servers with and without a request. The request has three losses,
/// 400 ms apart.
class crash_chance_test : public crash_ledger_test {
protected:
    /// Ends `others` servers with other requests around each loss of request_,
    /// whose servers had it for `run_ms`.
    void end_servers(int others, base::millis run_ms,
                     const std::string& others_service = "engines") {
        for (int n = 0; n < crash_ledger::max_server_ends; ++n) {
            for (int m = 0; m < others; ++m) {
                const auto name = std::to_string(n) + "." + std::to_string(m);
                auto lost = make_loss(process("o" + name));
                lost.service = samplers::service_name(others_service);
                ledger_.on_lost({"w", "o" + name}, lost);
                others_.push_back(lost.process);
            }
            ledger_.on_lost(
                request_,
                make_loss(process("s" + std::to_string(n)), 0, run_ms));
            time_->advance(400);
        }
        store_all();
    }

    void settle(bool others_ended = true) {
        for (const auto& check : ledger_.take_due_checks()) {
            const bool is_other = std::find(others_.begin(), others_.end(),
                                            check.process) != others_.end();
            if (is_other && !others_ended) {
                ledger_.on_alive(check.process);
            } else {
                ledger_.on_ended(check.process);
            }
        }
        store_all();
    }

    std::vector<server_process> others_;
};

// Guards against requests that are held back since chance ended their servers.
TEST_F(crash_chance_test, a_request_is_sent_on_while_all_servers_end) {
    end_servers(2, 300);
    EXPECT_EQ(ledger_.permission(request_), send_permission::waits);
    settle();
    EXPECT_EQ(ledger_.permission(request_), send_permission::allowed);
    EXPECT_TRUE(ledger_.needs_stored_send(request_));
}

// Guards against requests that end their servers at once while others end, too.
TEST_F(crash_chance_test, a_request_that_ends_servers_at_once_is_no_chance) {
    end_servers(2, 10);
    settle();
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

// Guards against requests that excuse each other while another service is in
// trouble.
TEST_F(crash_chance_test, a_free_end_of_another_service_does_not_count) {
    for (int n = 0; n < crash_ledger::max_server_ends; ++n) {
        auto lost = make_loss(process("o" + std::to_string(n)));
        lost.service = samplers::service_name("app");
        ledger_.on_lost({"w", lost.process.server.str()}, lost);
        for (const auto& request : {request_, other_}) {
            ledger_.on_lost(request, make_loss(process(request.request_id +
                                                       std::to_string(n)),
                                               n, 300));
        }
        time_->advance(400);
    }
    store_all();
    settle();
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
    EXPECT_EQ(ledger_.permission(other_), send_permission::quarantined);
}

// Guards against one long run that makes room for short ones.
TEST_F(crash_chance_test,
       a_request_that_ends_servers_at_one_event_is_no_chance) {
    constexpr base::millis first_run_ms = 800;
    constexpr base::millis next_run_ms = 15;
    constexpr base::millis end_interval_ms = 100;
    for (int n = 0; n < first_run_ms / end_interval_ms; ++n) {
        const auto ended = process("o" + std::to_string(n));
        ledger_.on_lost({"w", ended.server.str()}, make_loss(ended));
        ledger_.on_ended(ended);
        time_->advance(end_interval_ms);
    }
    base::millis run_ms = first_run_ms;
    for (int n = 0; n < crash_ledger::max_server_ends; ++n) {
        const auto ended = process("s" + std::to_string(n));
        ledger_.on_lost(request_, make_loss(ended, 20, run_ms));
        ledger_.on_ended(ended);
        run_ms = next_run_ms;
        time_->advance(40);
    }
    store_all();
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

// Guards against a request that chance excuses for as long as servers end.
TEST_F(crash_chance_test, ends_by_chance_have_a_bound) {
    int ends = 0;
    for (; ends < 100; ++ends) {
        end_servers(2, 300);
        settle();
        if (ledger_.permission(request_) != send_permission::allowed) {
            break;
        }
    }
    EXPECT_LE((ends + 1) * crash_ledger::max_server_ends,
              crash_ledger::max_ends_by_chance + crash_ledger::max_server_ends -
                  1);
}

TEST_F(crash_chance_test, broken_connections_of_other_servers_are_no_ends) {
    end_servers(2, 300);
    settle(false);
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

TEST_F(crash_chance_test, the_ends_of_another_service_do_not_count) {
    end_servers(2, 300, "app");
    settle();
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

// Guards against two requests that end servers and excuse each other.
TEST_F(crash_chance_test, ends_under_another_suspect_do_not_count) {
    end_servers(1, 300);
    for (const auto& process : others_) {
        ledger_.on_lost(other_, make_loss(process, 0, 300));
    }
    settle();
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
    EXPECT_EQ(ledger_.permission(other_), send_permission::quarantined);
}

// Guards against a request that waits for a check that never comes.
TEST_F(crash_chance_test, the_wait_for_other_servers_ends) {
    end_servers(2, 300);
    for (const auto& check : ledger_.take_due_checks()) {
        if (std::find(others_.begin(), others_.end(), check.process) ==
            others_.end()) {
            ledger_.on_ended(check.process);
        }
    }
    EXPECT_EQ(ledger_.permission(request_), send_permission::waits);
    time_->advance(1000);
    EXPECT_EQ(ledger_.permission(request_), send_permission::quarantined);
}

/// Ends servers that run nothing: only their registrations show it.
class registered_ends_test : public crash_chance_test {
protected:
    static samplers::registration make_registration(std::int64_t started_ms) {
        samplers::registration r;
        r.service = samplers::service_name("engines");
        r.address = {"127.0.0.1", 1};
        r.started_ms = started_ms;
        return r;
    }

    void restart_servers(int count, bool draining = false) {
        for (int n = 0; n < count; ++n) {
            const samplers::sampler_id id("r" + std::to_string(n));
            auto former = make_registration(started_ms_);
            former.draining = draining;
            table_.put(id, former);
            table_.put(id, make_registration(started_ms_ + 1));
        }
        ++started_ms_;
        watching_.take_due_checks();
    }

    void lose_three(crash_ledger& ledger) {
        for (int n = 0; n < crash_ledger::max_server_ends; ++n) {
            const auto lost = process("s" + std::to_string(n));
            time_->advance(400);
            ledger.on_lost(request_, make_loss(lost, n, 300));
            ledger.on_ended(lost);
        }
        ledger.on_saved(ledger.unsaved_rows(1));
    }

    samplers::sampler_table table_{clock_};
    crash_ledger watching_{clock_, retention_ms, &table_.ends()};
    std::int64_t started_ms_ = 1;
};

// Guards against requests that are held back since nobody counts the ends of
// idle servers.
TEST_F(registered_ends_test, ends_of_idle_servers_speak_for_a_request) {
    lose_three(watching_);
    EXPECT_EQ(watching_.permission(request_), send_permission::quarantined);
    const auto before = watching_.evidence_number();
    restart_servers(8);
    EXPECT_GT(watching_.evidence_number(), before);
    EXPECT_EQ(watching_.permission(request_), send_permission::allowed);
}

TEST_F(registered_ends_test, servers_that_drained_are_no_evidence) {
    lose_three(watching_);
    restart_servers(8, true);
    EXPECT_EQ(watching_.permission(request_), send_permission::quarantined);
}

// Guards against a new owner that knows no ends of other servers.
TEST_F(registered_ends_test, a_new_owner_knows_the_ends_before) {
    crash_ledger former(clock_, retention_ms);
    lose_three(former);
    restart_servers(8);
    former.on_sending(request_, process("s9"));
    former.on_survived(request_, process("s9"));
    crash_ledger next(clock_, retention_ms, &table_.ends());
    next.restore(read(former.unsaved_rows(1)));
    next.take_due_checks();
    EXPECT_EQ(next.permission(request_), send_permission::allowed);
}

} // namespace

} // namespace hibiscus::batch
