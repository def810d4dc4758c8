#include "hibiscus/gateway/access.hpp"

#include <gtest/gtest.h>

namespace hibiscus::gateway {

namespace {

constexpr access_limits lenient{3000, 0};
constexpr access_limits strict{3000, 5000};

configuration make_configuration() {
    configuration c;
    c.workspaces.emplace();
    c.workspaces->add({"one", std::nullopt}, {"key-1", "key-2"});
    c.workspaces->add({"two", 3}, {"key-3"});
    return c;
}

access_decision decide(const credential& presented, base::millis view_age,
                       const access_limits& limits = lenient) {
    static const auto c = make_configuration();
    return decide_access(c, false, presented, view_age, limits);
}

TEST(access_test, each_key_of_a_workspace_grants_access) {
    for (const char* key : {"key-1", "key-2"}) {
        const auto decision = decide(api_key{key}, 0);
        EXPECT_EQ(decision.outcome, access_outcome::granted);
        ASSERT_NE(decision.holder, nullptr);
        EXPECT_EQ(decision.holder->name, "one");
    }
}

TEST(access_test, a_missing_or_malformed_key_is_unauthorized_at_any_age) {
    for (const base::millis age : {0, 100000}) {
        EXPECT_EQ(decide(no_credential{}, age).outcome,
                  access_outcome::unauthorized);
        EXPECT_EQ(decide(malformed_credential{}, age).outcome,
                  access_outcome::unauthorized);
    }
}

// Guards against denying a key that was added after the last view.
TEST(access_test, an_unknown_key_is_denied_only_by_a_recent_view) {
    EXPECT_EQ(decide(api_key{"new"}, 3000).outcome,
              access_outcome::unauthorized);
    EXPECT_EQ(decide(api_key{"new"}, 3001).outcome, access_outcome::undecided);
}

// Guards against serving a key that was withdrawn after the last view.
TEST(access_test, strict_revocation_accepts_no_key_by_an_old_view) {
    EXPECT_EQ(decide(api_key{"key-1"}, 5000, strict).outcome,
              access_outcome::granted);
    EXPECT_EQ(decide(api_key{"key-1"}, 5001, strict).outcome,
              access_outcome::undecided);
    EXPECT_EQ(decide(api_key{"key-1"}, 60000, lenient).outcome,
              access_outcome::granted);
}

TEST(access_test, public_routes_and_open_configurations_need_no_key) {
    const auto c = make_configuration();
    EXPECT_EQ(decide_access(c, true, no_credential{}, 0, lenient).outcome,
              access_outcome::granted);
    const configuration open;
    const auto decision =
        decide_access(open, false, api_key{"any"}, 0, lenient);
    EXPECT_EQ(decision.outcome, access_outcome::granted);
    EXPECT_EQ(decision.holder, nullptr);
}

TEST(access_test, a_configuration_without_keys_grants_nothing) {
    configuration c;
    c.workspaces.emplace();
    EXPECT_EQ(decide_access(c, false, api_key{"any"}, 0, lenient).outcome,
              access_outcome::unauthorized);
}

TEST(workspace_directory_test, a_key_stays_with_the_first_workspace) {
    workspace_directory workspaces;
    workspaces.add({"one", std::nullopt}, {"k", "k"});
    EXPECT_EQ(workspaces.unusable_count(), 0U);
    workspaces.add({"two", std::nullopt}, {"k", "l"});
    EXPECT_EQ(workspaces.unusable_count(), 1U);
    EXPECT_EQ(workspaces.find_by_key("k")->name, "one");
    EXPECT_EQ(workspaces.find_by_key("l")->name, "two");
}

TEST(workspace_directory_test, finds_keys_among_those_of_2000_workspaces) {
    workspace_directory workspaces;
    for (int n = 0; n < 2000; ++n) {
        workspaces.add({"w" + std::to_string(n), std::nullopt},
                       {"k" + std::to_string(n)});
    }
    EXPECT_EQ(workspaces.find_by_key("k1999")->name, "w1999");
    EXPECT_EQ(workspaces.find_by_key("k2000"), nullptr);
}

TEST(configuration_test, priority_of_a_workspace_replaces_that_of_the_route) {
    route r;
    r.priority = 2;
    const workspace with_priority{"w", 0};
    const workspace without_priority{"w", std::nullopt};
    EXPECT_EQ(effective_priority(r, &with_priority), 0);
    EXPECT_EQ(effective_priority(r, &without_priority), 2);
    EXPECT_EQ(effective_priority(r, nullptr), 2);
}

} // namespace

} // namespace hibiscus::gateway
