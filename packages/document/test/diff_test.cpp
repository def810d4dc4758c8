#include "hibiscus/document/diff.hpp"

#include "hibiscus/document/parse.hpp"

#include <gtest/gtest.h>

namespace hibiscus::document {
namespace {

/// Returns the differences of two documents, one line each.
std::string diff_lines(const std::string& before, const std::string& after) {
    std::string result;
    for (const auto& c : diff(std::get<document>(parse(before)),
                              std::get<document>(parse(after)))) {
        result += std::string(base::name_of(c.kind)) + " " + c.path + " '" +
                  c.before + "' '" + c.after + "'\n";
    }
    return result;
}

TEST(diff_test, reports_added_removed_and_changed_values) {
    EXPECT_EQ(diff_lines(R"({"owners": [{"name": "a"}, {"name": "b"}]})",
                         R"({"owners": [{"name": "b", "weight": 2.5},
                                   {"name": "c"}]})"),
              "removed /owners/a/weight '1' ''\n"
              "changed /owners/b/weight '1' '2.5'\n"
              "added /owners/c/weight '' '1'\n");
}

TEST(diff_test, ignores_row_order_and_explicit_defaults) {
    EXPECT_EQ(diff_lines(R"({"owners": [{"name": "a"}, {"name": "b"}]})",
                         R"({"owners": [{"name": "b", "weight": 1},
                                   {"name": "a"}],
                        "limits": {"entries_ttl_ms": 2000}})"),
              "");
}

} // namespace
} // namespace hibiscus::document
