#include "hibiscus/ctl/explain.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace hibiscus::ctl {
namespace {

constexpr const char* claimed =
    R"({"event":"decision","kind":"claim","subject":"sync-1",)"
    R"("candidates":[],"choice":"ledger","reason":"first","time_ms":20,)"
    R"("node":"n2"})";
constexpr const char* routed =
    R"({"event":"decision","kind":"route","subject":"sync-1",)"
    R"("candidates":["ledger1","ledger2"],"choice":"ledger2",)"
    R"("reason":"fewest in flight","time_ms":21,"node":"n2"})";
constexpr const char* gone =
    R"({"event":"engine_gone","engine":"e1","time_ms":5,"node":"n1"})";

/// Returns what lines say about a name.
std::string explain(const std::vector<std::string>& lines,
                    const std::string& name) {
    std::vector<explanation> found;
    for (const auto& line : lines) {
        std::istringstream log(line + "\n");
        collect_explanations(log, name, found);
    }
    std::ostringstream out;
    write_text(out, found);
    return out.str();
}

TEST(explain_test, orders_the_decisions_of_all_nodes_by_time) {
    EXPECT_EQ(explain({routed, gone, claimed}, "sync-1"),
              "20 n2: claim sync-1 -> ledger (first)\n"
              "21 n2: route sync-1 -> ledger2 (fewest in flight), of ledger1 "
              "ledger2\n");
    EXPECT_EQ(explain({gone}, "e1"), "5 n1: engine_gone (engine e1)\n");
}

// A node was killed while it wrote a line. The rest of its log still counts.
TEST(explain_test, passes_over_lines_that_are_cut_off) {
    EXPECT_EQ(explain({"{\"event\":\"deci", "[1]", "", claimed}, "sync-1"),
              "20 n2: claim sync-1 -> ledger (first)\n");
}

} // namespace
} // namespace hibiscus::ctl
