#include "hibiscus/document/diff.hpp"

#include "hibiscus/document/parse.hpp"

#include <gtest/gtest.h>

namespace hibiscus::document {
namespace {

/// Returns what differs between two texts, one line each.
std::string lines(const std::string& before, const std::string& after) {
    std::string result;
    for (const auto& c : diff(std::get<document>(parse(before)),
                              std::get<document>(parse(after)))) {
        result += std::string(base::name_of(c.kind)) + " " + c.path + " '" +
                  c.before + "' '" + c.after + "'\n";
    }
    return result;
}

TEST(diff_test, tells_what_was_added_removed_and_changed) {
    EXPECT_EQ(lines(R"({"owners": [{"name": "a"}, {"name": "b"}]})",
                    R"({"owners": [{"name": "b", "weight": 2.5},
                                   {"name": "c"}]})"),
              "removed /owners/a/weight '1' ''\n"
              "changed /owners/b/weight '1' '2.5'\n"
              "added /owners/c/weight '' '1'\n");
}

TEST(diff_test, neither_order_nor_a_written_default_is_a_change) {
    EXPECT_EQ(lines(R"({"owners": [{"name": "a"}, {"name": "b"}]})",
                    R"({"owners": [{"name": "b", "weight": 1},
                                   {"name": "a"}],
                        "limits": {"entries_ttl_ms": 2000}})"),
              "");
}

} // namespace
} // namespace hibiscus::document
