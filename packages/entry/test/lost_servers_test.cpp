#include "lost_servers.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace hibiscus::entry {

namespace {

using transport::call_outcome;

batch::server_loss attempt_at(const char* server) {
    return {{samplers::sampler_id(server), 1}};
}

class lost_servers_test : public testing::Test {
protected:
    std::vector<batch::server_loss> reported_;
    lost_servers reporting_{
        [this](const auto& lost) { reported_.push_back(lost); }};
    lost_servers counting_{nullptr};
};

// Guards against one end that counts twice since the server then refuses new
// connections.
TEST_F(lost_servers_test, a_refused_connection_is_no_further_loss) {
    reporting_.on_attempt_ended(attempt_at("a"),
                                call_outcome::stale_connection);
    reporting_.on_attempt_ended(attempt_at("a"), call_outcome::not_sent);
    EXPECT_EQ(reported_.size(), 1U);
    EXPECT_EQ(reporting_.count(), 1);
}

// Guards against a loss at a server that never had the request.
TEST_F(lost_servers_test, a_refused_connection_of_another_server_is_no_loss) {
    for (auto* servers : {&reporting_, &counting_}) {
        servers->on_attempt_ended(attempt_at("a"),
                                  call_outcome::stale_connection);
        servers->on_attempt_ended(attempt_at("b"), call_outcome::not_sent);
    }
    EXPECT_EQ(reported_.size(), 1U);
    EXPECT_EQ(counting_.count(), 0);
}

// Guards against a call that is repeated at once at a process that ends.
TEST_F(lost_servers_test, a_server_is_avoided_after_a_reported_loss) {
    for (auto* servers : {&reporting_, &counting_}) {
        servers->on_attempt_ended(attempt_at("a"), call_outcome::broken);
        servers->on_attempt_ended(attempt_at("b"), call_outcome::not_sent);
    }
    EXPECT_TRUE(reporting_.should_avoid(samplers::sampler_id("a")));
    EXPECT_FALSE(reporting_.should_avoid(samplers::sampler_id("b")));
    EXPECT_FALSE(counting_.should_avoid(samplers::sampler_id("a")));
}

// Guards against attempts that are forgotten since they were given up.
TEST_F(lost_servers_test, attempts_that_are_given_up_are_reported) {
    int abandoned = 0;
    lost_servers servers{
        [this](const auto& lost) { reported_.push_back(lost); },
        [&](const auto& /*last_seen*/) { ++abandoned; }};
    servers.on_attempt_ended(attempt_at("a"), call_outcome::total_timeout);
    servers.on_attempt_cancelled(attempt_at("b"), true);
    EXPECT_EQ(abandoned, 2);
    EXPECT_EQ(servers.count(), 0);
    EXPECT_TRUE(reported_.empty());
}

TEST_F(lost_servers_test, a_stale_connection_counts_once_it_is_refused) {
    counting_.on_attempt_ended(attempt_at("a"), call_outcome::stale_connection);
    EXPECT_EQ(counting_.count(), 0);
    counting_.on_attempt_ended(attempt_at("a"), call_outcome::not_sent);
    EXPECT_EQ(counting_.count(), 1);
}

TEST_F(lost_servers_test, a_refused_connection_alone_is_no_loss) {
    reporting_.on_attempt_ended(attempt_at("a"), call_outcome::not_sent);
    EXPECT_TRUE(reported_.empty());
}

} // namespace

} // namespace hibiscus::entry
