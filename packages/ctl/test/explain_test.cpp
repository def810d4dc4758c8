#include "hibiscus/ctl/explain.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace hibiscus::ctl {
namespace {

constexpr const char* claim_line =
    R"({"event":"decision","kind":"claim","subject":"sync-1",)"
    R"("candidates":[],"choice":"ledger","reason":"first","time_ms":20,)"
    R"("node":"n2"})";
constexpr const char* route_line =
    R"({"event":"decision","kind":"route","subject":"sync-1",)"
    R"("candidates":["ledger1","ledger2"],"choice":"ledger2",)"
    R"("reason":"fewest in flight","time_ms":21,"node":"n2"})";
constexpr const char* engine_gone_line =
    R"({"event":"engine_gone","engine":"e1","time_ms":5,"node":"n1"})";

/// Returns the explanations of `name` in log `lines` as text.
std::string explain(const std::vector<std::string>& lines,
                    const std::string& name) {
    std::vector<explanation> explanations;
    for (const auto& line : lines) {
        std::istringstream log(line + "\n");
        collect_explanations(log, name, explanations);
    }
    std::ostringstream out;
    write_text(out, explanations);
    return out.str();
}

TEST(explain_test, orders_the_decisions_of_all_nodes_by_time) {
    EXPECT_EQ(explain({route_line, engine_gone_line, claim_line}, "sync-1"),
              "20 n2: claim sync-1 -> ledger (first)\n"
              "21 n2: route sync-1 -> ledger2 (fewest in flight), of ledger1 "
              "ledger2\n");
    EXPECT_EQ(explain({engine_gone_line}, "e1"),
              "5 n1: engine_gone (engine e1)\n");
}

// A node was killed while it wrote a line. The other lines of its log must
// still be read.
TEST(explain_test, ignores_truncated_lines) {
    EXPECT_EQ(explain({"{\"event\":\"deci", "[1]", "", claim_line}, "sync-1"),
              "20 n2: claim sync-1 -> ledger (first)\n");
}

TEST(explain_test, adds_the_shortages_of_the_service_of_a_request) {
    std::istringstream log(
        R"({"t":5000,"mono":1,"node":"n1","event":"forward","id":"r1",)"
        R"("service":"app","outcome":"rejected"})");
    std::vector<explanation> explanations;
    collect_explanations(log, "r1", explanations);
    const auto query = make_service_query(explanations);
    std::istringstream logs(
        R"({"t":4000,"mono":1,"node":"n2","event":"shortage","service":"app"})"
        "\n"
        R"({"t":4000,"mono":1,"node":"n2","event":"shortage","service":"gen"})"
        "\n"
        R"({"t":4500,"mono":1,"node":"n2","event":"run_ended","service":"app"})"
        "\n"
        R"({"t":9000,"mono":1,"node":"n2","event":"shortage","service":"app"})");
    collect_shortages(logs, query, explanations);
    std::ostringstream out;
    write_text(out, explanations);
    EXPECT_EQ(out.str(), "4000 n2: shortage (service app)\n"
                         "5000 n1: forward (id r1, outcome rejected, service "
                         "app)\n");
}

} // namespace
} // namespace hibiscus::ctl
