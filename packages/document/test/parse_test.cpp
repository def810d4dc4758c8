#include "hibiscus/document/parse.hpp"

#include <gtest/gtest.h>

namespace hibiscus::document {
namespace {

/// Returns the path and the kind of each error of `text`, joined.
std::string join_errors(const char* text) {
    const auto parsed = parse(text);
    std::string result;
    if (const auto* errors = std::get_if<parse_errors>(&parsed)) {
        for (const auto& e : *errors) {
            result += e.path + ":" + std::string(base::name_of(e.kind)) + " ";
        }
    }
    return result;
}

TEST(parse_test, reads_a_complete_document) {
    const auto parsed = parse(R"({"schema": 1,
        "owners": [{"name": "campus", "weight": 2}],
        "pools": [{"name": "tagging", "owner": "campus"}],
        "trainers": [{"name": "tagger", "owner": "campus", "pool": "tagging",
                      "staleness_bound": 2}],
        "services": [{"name": "ledger", "owner": "campus"}],
        "limits": {"entries_ttl_ms": 500}})");
    const auto* d = base::value_if(parsed);
    ASSERT_NE(d, nullptr);
    EXPECT_EQ(d->trainers.at(0).staleness_bound, 2);
    EXPECT_EQ(d->limit.entries_ttl_ms, 500);
}

TEST(parse_test, reports_every_error_with_its_path) {
    EXPECT_EQ(join_errors(R"({"owners": [{"name": "a", "wieght": 1}],
        "pools": [{"name": "p", "owner": "b", "slots_per_engine": 0}],
        "trainers": 7})"),
              "/owners/0/wieght:unknown_key "
              "/pools/0/slots_per_engine:out_of_range "
              "/trainers:wrong_type /pools/0/owner:unknown_name ");
}

TEST(parse_test, rejects_text_that_is_not_json) {
    EXPECT_EQ(join_errors("{"), ":not_json ");
}

TEST(parse_test, rejects_a_newer_schema_without_other_errors) {
    EXPECT_EQ(join_errors(R"({"schema": 9, "new_section": []})"),
              "/schema:unknown_schema ");
}

} // namespace
} // namespace hibiscus::document
