#include "hibiscus/policy/placement.hpp"

#include <gtest/gtest.h>

namespace hibiscus::policy {
namespace {

/// Returns an engine with room for eight streams.
candidate engine(const std::string& name, int load) {
    return {base::engine_id(name), load, 8};
}

TEST(placement_test, no_policy_chooses_a_full_engine) {
    std::mt19937_64 random(1);
    const std::vector<candidate> all{engine("a", 8), engine("b", 7)};
    for (const auto& row : base::enum_names<document::placement_kind>::table) {
        auto policy = make_placement(row.value);
        const auto* chosen = choose(policy, all, "p", random);
        ASSERT_NE(chosen, nullptr) << row.name;
        EXPECT_EQ(chosen->engine.str(), "b") << row.name;
    }
}

TEST(placement_test, nothing_is_chosen_when_all_are_full) {
    std::mt19937_64 random(1);
    placement_policy policy = least_admitted{};
    EXPECT_EQ(choose(policy, {engine("a", 8)}, "p", random), nullptr);
}

TEST(placement_test, a_group_stays_on_its_engine_until_load_says_otherwise) {
    std::mt19937_64 random(1);
    placement_policy policy = prefix_affinity{2};
    const std::vector<candidate> idle{engine("a", 0), engine("b", 0)};
    const auto* home = choose(policy, idle, "p", random);
    ASSERT_NE(home, nullptr);
    const auto name = home->engine.str();
    const std::vector<candidate> near{engine("a", name == "a" ? 2 : 0),
                                      engine("b", name == "b" ? 2 : 0)};
    EXPECT_EQ(choose(policy, near, "p", random)->engine.str(), name);
    const std::vector<candidate> far{engine("a", name == "a" ? 3 : 0),
                                     engine("b", name == "b" ? 3 : 0)};
    EXPECT_NE(choose(policy, far, "p", random)->engine.str(), name);
}

} // namespace
} // namespace hibiscus::policy
