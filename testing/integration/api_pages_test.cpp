#include "hibiscus/wire/service.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace hibiscus::testing {
namespace {

namespace fs = std::filesystem;

std::string read_file(const fs::path& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Returns the matches of the first capture group of `pattern` in the .cpp
/// files under `folder`.
std::set<std::string> find_matches(const fs::path& folder,
                                   const std::string& pattern) {
    const std::regex expression(pattern);
    std::set<std::string> matches;
    for (const auto& file : fs::recursive_directory_iterator(folder)) {
        if (file.path().extension() != ".cpp") {
            continue;
        }
        const auto text = read_file(file.path());
        for (std::sregex_iterator match(text.begin(), text.end(), expression),
             end;
             match != end; ++match) {
            matches.insert((*match)[1].str());
        }
    }
    return matches;
}

/// Checks that the pages in docs/ agree with the sources.
class api_pages_test : public ::testing::Test {
protected:
    void expect_row(const std::string& name) const {
        EXPECT_NE(operations_page_.find("| `" + name + "` |"),
                  std::string::npos)
            << name;
    }

    const fs::path source_ = HIBISCUS_SOURCE_DIR;
    const std::string operations_page_ =
        read_file(source_ / "docs/OPERATIONS.md");
};

TEST_F(api_pages_test, operations_explains_every_reason) {
    for (const auto& row : base::enum_names<wire::reason>::table) {
        expect_row(std::string(row.name));
    }
}

TEST_F(api_pages_test, operations_explains_every_event) {
    const auto events = find_matches(
        source_ / "packages",
        "(?:count_event\\(|event\\(\\s*severity::[a-z]+,)\\s*\"([a-z_]+)\"");
    ASSERT_GE(events.size(), 10U);
    for (const auto& event : events) {
        expect_row(event);
    }
}

TEST_F(api_pages_test, operations_explains_every_gauge) {
    const auto gauges = find_matches(source_ / "packages/node/src",
                                     "counters_?\\.set\\(\"([a-z_]+)\"");
    ASSERT_GE(gauges.size(), 5U);
    for (const auto& gauge : gauges) {
        expect_row("hibiscus_state{what=\"" + gauge + "\"}");
    }
}

TEST_F(api_pages_test, operations_explains_every_setting) {
    const auto keys = find_matches(
        source_ / "packages/node/src",
        "(?:in|m)\\.(?:name|address|integer|word)\\(\"([a-z_]+)\"");
    ASSERT_GE(keys.size(), 10U);
    for (const auto& key : keys) {
        EXPECT_TRUE(
            operations_page_.find("." + key + "` |") != std::string::npos ||
            operations_page_.find("| `" + key + "` |") != std::string::npos)
            << key;
    }
}

TEST_F(api_pages_test, operations_explains_every_key_of_the_document) {
    const auto keys = find_matches(
        source_ / "packages/document/src",
        "in\\.(?:name|number|integer|boolean|enumeration)\\(\"([a-z_]+)\"");
    ASSERT_GE(keys.size(), 15U);
    for (const auto& key : keys) {
        EXPECT_TRUE(
            operations_page_.find("." + key + "`") != std::string::npos ||
            operations_page_.find("| `" + key + "` |") != std::string::npos)
            << key;
    }
}

// Guards against a guarantee that cites a test which has been renamed or
// removed.
TEST_F(api_pages_test, guarantees_names_tests_that_exist) {
    std::string sources;
    for (const char* folder : {"packages", "testing"}) {
        for (const auto& file :
             fs::recursive_directory_iterator(source_ / folder)) {
            const auto file_name = file.path().filename().string();
            if (file_name.find("_test.cpp") != std::string::npos ||
                file_name == "oracle.hpp") {
                sources += read_file(file.path());
            }
        }
    }
    const auto guarantees_page = read_file(source_ / "docs/GUARANTEES.md");
    const std::regex tests_paragraph("\\*Tests\\.\\*(?:[^\n]|\n[^\n])+");
    const std::regex test_name("`(?:([a-z_0-9]+)\\.)?([a-z_0-9]+)`");
    int name_count = 0;
    for (std::sregex_iterator match(guarantees_page.begin(),
                                    guarantees_page.end(), tests_paragraph),
         end;
         match != end; ++match) {
        const auto text = match->str();
        for (std::sregex_iterator name_match(text.begin(), text.end(),
                                             test_name);
             name_match != end; ++name_match, ++name_count) {
            const auto cited_test = (*name_match)[2].str();
            EXPECT_NE(sources.find(cited_test), std::string::npos)
                << cited_test;
        }
    }
    EXPECT_GE(name_count, 30);
}

} // namespace
} // namespace hibiscus::testing
