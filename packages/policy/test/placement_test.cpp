#include "hibiscus/policy/placement.hpp"

#include <gtest/gtest.h>

namespace hibiscus::policy {
namespace {

/// Returns an engine with room for eight streams.
engine_candidate engine(const std::string& name, int load) {
    return {base::engine_id(name), load, 8};
}

TEST(plain_placement_test, no_policy_chooses_a_full_engine) {
    std::mt19937_64 random(1);
    const std::vector<engine_candidate> all{engine("a", 8), engine("b", 7)};
    for (const auto& row : base::enum_names<document::placement_kind>::table) {
        auto policy = make_placement_policy(row.value);
        const auto* chosen = choose_engine(policy, all, "p", random);
        ASSERT_NE(chosen, nullptr) << row.name;
        EXPECT_EQ(chosen->engine.str(), "b") << row.name;
    }
}

TEST(plain_placement_test, nothing_is_chosen_when_all_are_full) {
    std::mt19937_64 random(1);
    placement_policy policy = least_admitted{};
    EXPECT_EQ(choose_engine(policy, {engine("a", 8)}, "p", random), nullptr);
}

TEST(plain_placement_test,
     a_group_stays_on_its_engine_until_load_says_otherwise) {
    std::mt19937_64 random(1);
    placement_policy policy = prefix_affinity{2};
    const std::vector<engine_candidate> idle{engine("a", 0), engine("b", 0)};
    const auto* home = choose_engine(policy, idle, "p", random);
    ASSERT_NE(home, nullptr);
    const auto name = home->engine.str();
    const std::vector<engine_candidate> near{engine("a", name == "a" ? 2 : 0),
                                             engine("b", name == "b" ? 2 : 0)};
    EXPECT_EQ(choose_engine(policy, near, "p", random)->engine.str(), name);
    const std::vector<engine_candidate> far{engine("a", name == "a" ? 3 : 0),
                                            engine("b", name == "b" ? 3 : 0)};
    EXPECT_NE(choose_engine(policy, far, "p", random)->engine.str(), name);
}

} // namespace
} // namespace hibiscus::policy
