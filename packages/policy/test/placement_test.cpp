#include "hibiscus/policy/placement.hpp"

#include <gtest/gtest.h>

namespace hibiscus::policy {
namespace {

/// Returns an engine with room for eight streams.
engine_candidate make_engine(const std::string& name, int streams) {
    return {base::engine_id(name), streams, 8};
}

TEST(placement_test, no_policy_chooses_a_full_engine) {
    std::mt19937_64 random(1);
    const std::vector<engine_candidate> candidates{make_engine("a", 8),
                                                   make_engine("b", 7)};
    for (const auto& row : base::enum_names<document::placement_kind>::table) {
        auto policy = make_placement_policy(row.value);
        const auto* chosen = choose_engine(policy, candidates, "p", random);
        ASSERT_NE(chosen, nullptr) << row.name;
        EXPECT_EQ(chosen->engine.str(), "b") << row.name;
    }
}

TEST(placement_test, no_engine_is_chosen_if_all_are_full) {
    std::mt19937_64 random(1);
    placement_policy policy = least_admitted{};
    EXPECT_EQ(choose_engine(policy, {make_engine("a", 8)}, "p", random),
              nullptr);
}

TEST(placement_test, a_group_stays_on_its_engine_up_to_the_load_gap) {
    std::mt19937_64 random(1);
    placement_policy policy = prefix_affinity{2};
    const std::vector<engine_candidate> idle{make_engine("a", 0),
                                             make_engine("b", 0)};
    const auto* preferred = choose_engine(policy, idle, "p", random);
    ASSERT_NE(preferred, nullptr);
    const auto name = preferred->engine.str();
    const std::vector<engine_candidate> within_gap{
        make_engine("a", name == "a" ? 2 : 0),
        make_engine("b", name == "b" ? 2 : 0)};
    EXPECT_EQ(choose_engine(policy, within_gap, "p", random)->engine.str(),
              name);
    const std::vector<engine_candidate> beyond_gap{
        make_engine("a", name == "a" ? 3 : 0),
        make_engine("b", name == "b" ? 3 : 0)};
    EXPECT_NE(choose_engine(policy, beyond_gap, "p", random)->engine.str(),
              name);
}

} // namespace
} // namespace hibiscus::policy
