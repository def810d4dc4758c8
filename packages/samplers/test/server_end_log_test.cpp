#include "hibiscus/samplers/sampler_table.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace hibiscus::samplers {

namespace {

class server_end_log_test : public testing::Test {
protected:
    void put(std::int64_t started_ms, bool draining = false) {
        registration r;
        r.service = service_name("engines");
        r.address = {"127.0.0.1", 1};
        r.started_ms = started_ms;
        r.draining = draining;
        table_.put(server_, r);
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    sampler_table table_{clock_};
    const sampler_id server_{"s"};
};

TEST_F(server_end_log_test, another_start_time_shows_the_end_of_a_process) {
    put(1);
    time_->advance(500);
    put(2);
    ASSERT_EQ(table_.ends().ends().size(), 1U);
    const auto& end = table_.ends().ends().front();
    EXPECT_EQ(end.server, server_);
    EXPECT_EQ(end.started_ms, 1);
    EXPECT_EQ(end.service, service_name("engines"));
    EXPECT_EQ(end.ended_at, 500);
    EXPECT_EQ(table_.ends().change_count(), 1U);
}

TEST_F(server_end_log_test, renewals_and_planned_stops_are_no_ends) {
    put(1);
    put(1);
    put(1, true);
    put(2);
    put(2, true);
    table_.remove(server_);
    put(3);
    EXPECT_TRUE(table_.ends().ends().empty());
}

TEST_F(server_end_log_test, a_server_that_was_cut_off_has_not_ended) {
    put(1);
    table_.remove(server_);
    put(1);
    EXPECT_TRUE(table_.ends().ends().empty());
}

TEST_F(server_end_log_test, a_lapsed_registration_dates_the_end) {
    time_->advance(100);
    put(1);
    time_->advance(4000);
    table_.remove(server_);
    time_->advance(1000);
    put(2);
    ASSERT_EQ(table_.ends().ends().size(), 1U);
    EXPECT_EQ(table_.ends().ends().front().ended_at, 100);
}

// Guards against a log that grows for as long as servers end.
TEST_F(server_end_log_test, old_ends_are_forgotten) {
    for (std::int64_t n = 0; n < 1000; ++n) {
        time_->advance(1000);
        put(n);
    }
    EXPECT_LE(table_.ends().ends().size(), 100U);
    EXPECT_EQ(table_.ends().change_count(), 999U);
}

} // namespace

} // namespace hibiscus::samplers
