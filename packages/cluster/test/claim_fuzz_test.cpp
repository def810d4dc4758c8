#include "claim_model.hpp"

namespace hibiscus::cluster {
namespace {

// Nodes crash, pause and disagree about the home node, and the log refuses,
// duplicates, loses responses and drops records, in any order. A customer would
// be charged twice, or would learn that a charge failed although it was made.
TEST(claim_fuzz_test, a_key_runs_at_most_once_and_responses_are_correct) {
    claim_model::coverage total;
    std::size_t command_count = 0;
    testing::fuzz("claims", 14000,
                  [&](const std::vector<testing::fuzz_command>& commands) {
                      claim_model model;
                      std::string violation;
                      for (const auto& command : commands) {
                          violation = model.execute(command);
                          if (!violation.empty()) {
                              break;
                          }
                      }
                      const auto& reached = model.coverage_so_far();
                      command_count += commands.size();
                      total.attempts += reached.attempts;
                      total.runs += reached.runs;
                      total.completed += reached.completed;
                      total.unknown += reached.unknown;
                      total.not_run += reached.not_run;
                      return violation;
                  });
    std::cout << "steps " << command_count << ", attempts " << total.attempts
              << ", runs " << total.runs << ", completed " << total.completed
              << ", unknown " << total.unknown << ", not_run " << total.not_run
              << '\n';
    EXPECT_GT(total.runs, 100U);
    EXPECT_GT(total.completed, total.runs);
}

/// Executes a list of commands. Returns the first violation, or "".
std::string run(const std::vector<testing::fuzz_command>& commands) {
    claim_model model;
    std::string violation;
    for (const auto& command : commands) {
        violation = violation.empty() ? model.execute(command) : violation;
    }
    return violation;
}

// The epoch record of a node is appended twice, the first copy is dropped
// before it is read, and the snapshot no longer contains its writer. The node
// must not become a second holder of the shard, which would run a key twice.
// Found with seed 316960807.
TEST(claim_fuzz_test,
     a_duplicate_epoch_record_after_truncation_makes_no_holder) {
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

// A caller's deadline passes while its claim is in flight, and it retries. The
// first claim is appended and dispatches the retry, whose own claim is still
// queued. That claim must be dropped; sending it would reset the state of the
// running key, and the caller would receive `not_run`. Found with seed
// 1159348072.
TEST(claim_fuzz_test, a_key_dispatched_by_an_earlier_claim_is_not_rejected) {
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
