#include "hibiscus/node/settings.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace hibiscus::node {
namespace {

/// Writes settings to a temporary file that is separate for each test.
class settings_test : public ::testing::Test {
protected:
    ~settings_test() override { std::remove(path_.c_str()); }

    /// Loads `text` as a settings file.
    base::result<settings, setting_errors> load(const std::string& text) {
        std::ofstream(path_) << text;
        return load_settings(path_);
    }

    std::string path_ =
        ::testing::TempDir() +
        ::testing::UnitTest::GetInstance()->current_test_info()->name() +
        ".yaml";
    std::string required_settings_ = "node: n1\nzone: z1\n"
                                     "listen:\n  callers: 127.0.0.1:1\n"
                                     "  peers: 127.0.0.1:2\n"
                                     "platform:\n  log: 127.0.0.1:3\n"
                                     "  instances: 127.0.0.1:4\n"
                                     "  weights: 127.0.0.1:5\n";
};

TEST_F(settings_test, loads_complete_file) {
    const auto loaded =
        load(required_settings_ + "limits:\n  traffic_threads: 3\n");
    const auto* config = base::value_if(loaded);
    ASSERT_NE(config, nullptr) << to_string(std::get<1>(loaded).front());
    EXPECT_EQ(config->listen_callers.port, 1);
    EXPECT_EQ(config->traffic_threads, 3);
}

TEST_F(settings_test, error_contains_file_line_key_and_expected_value) {
    const auto loaded =
        load(required_settings_ + "limits:\n  traffic_threads: many\n");
    const auto* errors = std::get_if<setting_errors>(&loaded);
    ASSERT_NE(errors, nullptr);
    ASSERT_EQ(errors->size(), 1U);
    EXPECT_EQ(to_string(errors->front()),
              path_ + ":11: limits.traffic_threads: wrong_type, expected a "
                      "whole number, 1 to 64");
}

TEST_F(settings_test, reports_every_error) {
    const auto loaded = load("node: n1\nzoen: z1\nlisten: 7\n");
    const auto* errors = std::get_if<setting_errors>(&loaded);
    ASSERT_NE(errors, nullptr);
    EXPECT_EQ(errors->size(), 6U);
}

} // namespace
} // namespace hibiscus::node
