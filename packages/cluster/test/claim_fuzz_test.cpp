#include "claim_model.hpp"

namespace hibiscus::cluster {
namespace {

// Homes crash, pause, differ about who is home, and the log refuses, repeats,
// loses answers and drops records, in any order. A customer would see a charge
// made twice, or be told that one was not made which was.
TEST(claim_fuzz_test, a_key_runs_at_most_once_and_answers_are_true) {
    claim_model::coverage all;
    std::size_t steps = 0;
    testing::fuzz("claims", 14000,
                  [&](const std::vector<testing::fuzz_command>& commands) {
                      claim_model model;
                      std::string wrong;
                      for (const auto& c : commands) {
                          wrong = model.execute(c);
                          if (!wrong.empty()) {
                              break;
                          }
                      }
                      const auto& reached = model.coverage_so_far();
                      steps += commands.size();
                      all.attempts += reached.attempts;
                      all.runs += reached.runs;
                      all.completed += reached.completed;
                      all.unknown += reached.unknown;
                      all.not_run += reached.not_run;
                      return wrong;
                  });
    std::cout << "steps " << steps << ", attempts " << all.attempts << ", runs "
              << all.runs << ", completed " << all.completed << ", unknown "
              << all.unknown << ", not_run " << all.not_run << '\n';
    EXPECT_GT(all.runs, 100U);
    EXPECT_GT(all.completed, all.runs);
}

/// Runs one list of commands; returns what is wrong, or "".
std::string run(const std::vector<testing::fuzz_command>& commands) {
    claim_model model;
    std::string wrong;
    for (const auto& c : commands) {
        wrong = wrong.empty() ? model.execute(c) : wrong;
    }
    return wrong;
}

// The epoch record of a node is appended twice, the first copy is dropped
// unread, and the snapshot does not name its writer any more. The node held the
// shard beside the true holder, and a key ran twice. From seed 316960807.
TEST(claim_fuzz_test, a_copied_epoch_record_after_retention_makes_no_holder) {
    EXPECT_EQ(run({{72, 0, 0, 250},
                   {20, 740, 0, 0},
                   {34, 0, 426, 0},
                   {87, 0, 2, 0},
                   {20, 335, 0, 0},
                   {84, 0, 15, 0},
                   {87, 0, 0, 0},
                   {0, 0, 0, 0},
                   {34, 0, 0, 0},
                   {87, 0, 0, 0},
                   {87, 143, 0, 0},
                   {0, 0, 0, 3},
                   {60, 0, 0, 0},
                   {87, 713, 0, 0},
                   {60, 0, 0, 0}}),
              "");
}

// A caller's deadline passes while its claim is on its way, and it tries again.
// The first claim lands and starts the second try, whose own claim is still
// queued. Sending that one made the home forget that the key runs, and it told
// the caller not_run. From seed 1159348072.
TEST(claim_fuzz_test, a_key_that_runs_by_an_earlier_claim_is_not_refused) {
    EXPECT_EQ(run({{75, 280, 2, 0},
                   {87, 4, 0, 0},
                   {0, 0, 0, 0},
                   {20, 520, 0, 0},
                   {20, 370, 0, 0},
                   {0, 0, 0, 3},
                   {87, 280, 0, 0},
                   {20, 664, 0, 0},
                   {20, 280, 0, 0},
                   {60, 0, 0, 0}}),
              "");
}

} // namespace
} // namespace hibiscus::cluster
