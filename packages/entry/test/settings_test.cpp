#include "hibiscus/entry/settings.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <string>

namespace hibiscus::entry {

namespace {

/// Loads a file with the required settings followed by `extra`.
class settings_test : public testing::Test {
protected:
    base::result<node_settings, settings::setting_errors>
    load(const std::string& extra) {
        std::ofstream(path_) << "node: n1\n"
                                "zone: z\n"
                                "listen:\n"
                                "  callers: 127.0.0.1:1\n"
                                "  readiness: 127.0.0.1:2\n"
                                "  directory: 127.0.0.1:3\n"
                                "  metrics: 127.0.0.1:4\n"
                                "store:\n"
                                "  address: 127.0.0.1:5\n"
                             << extra;
        return load_node_settings(path_);
    }

    /// Tests run in parallel, so each one needs its own file.
    const std::string path_ =
        testing::TempDir() + "entry_settings_" +
        testing::UnitTest::GetInstance()->current_test_info()->name() + ".yaml";
};

TEST_F(settings_test, all_features_are_enabled_by_default) {
    const auto loaded = load("policy:\n  run_ahead: false\n");
    const auto* s = base::value_if(loaded);
    ASSERT_NE(s, nullptr);
    EXPECT_FALSE(s->features.is_enabled(base::feature::run_ahead));
    EXPECT_TRUE(s->features.is_enabled(base::feature::longest_first));
}

// If a misspelt name were accepted, an operator would believe that a feature is
// switched off while it is still enabled.
TEST_F(settings_test, an_unknown_feature_is_an_error_that_lists_all) {
    const auto loaded = load("policy:\n  run_ahaed: false\n");
    const auto* errors = std::get_if<settings::setting_errors>(&loaded);
    ASSERT_NE(errors, nullptr);
    ASSERT_EQ(errors->size(), 1U);
    const auto text = settings::to_string(errors->front());
    EXPECT_NE(text.find(path_ + ":11: policy.run_ahaed: unknown_key"),
              std::string::npos)
        << text;
    for (const auto& row : base::enum_names<base::feature>::table) {
        EXPECT_NE(text.find(row.name), std::string::npos) << row.name;
    }
}

TEST_F(settings_test, reads_the_memory_of_the_process) {
    const auto loaded = load("limits:\n  memory_mb: 330\n");
    const auto* s = base::value_if(loaded);
    ASSERT_NE(s, nullptr);
    EXPECT_EQ(s->memory_mb, 330U);
    const auto unknown = load("limits:\n  memory_mb: 0\n  max_fds: 0\n");
    ASSERT_NE(base::value_if(unknown), nullptr);
    EXPECT_EQ(base::value_if(unknown)->memory_mb, node_settings{}.memory_mb);
    const auto negative = load("limits:\n  memory_mb: -1\n");
    EXPECT_EQ(base::value_if(negative), nullptr);
}

TEST_F(settings_test, reads_what_the_store_can_carry) {
    const auto loaded = load("  writes_per_s: 4000\n"
                             "  reads_per_s: 16000\n"
                             "  read_mb_per_s: 80\n"
                             "  server_renewal_ms: 5000\n");
    const auto* s = base::value_if(loaded);
    ASSERT_NE(s, nullptr);
    EXPECT_EQ(s->store_capacity.writes_per_s, 4000);
    EXPECT_EQ(s->store_capacity.reads_per_s, 16000);
    EXPECT_EQ(s->store_capacity.read_bytes_per_s, 80e6);
    EXPECT_EQ(s->server_renewal_ms, 5000);
}

TEST_F(settings_test, reads_the_duties) {
    const auto loaded = load("duties:\n  address: 127.0.0.1:9\n"
                             "  names: [usage_reporting]\n"
                             "  calls_per_s: 50.0\n");
    const auto* s = base::value_if(loaded);
    ASSERT_NE(s, nullptr);
    ASSERT_TRUE(s->duties);
    EXPECT_TRUE(s->duties->usage_reporting);
    EXPECT_FALSE(s->duties->autoscaling);
    const auto without = load("");
    EXPECT_FALSE(base::value_if(without)->duties);
}

// Guards against a duty that nobody performs because its name is misspelt.
TEST_F(settings_test, an_unknown_duty_is_an_error_with_its_line) {
    const auto loaded = load("duties:\n  address: 127.0.0.1:9\n"
                             "  names: [usage_reporting, scaling]\n");
    const auto* errors = std::get_if<settings::setting_errors>(&loaded);
    ASSERT_NE(errors, nullptr);
    const auto text = settings::to_string(errors->front());
    EXPECT_NE(text.find(path_ + ":12: duties.names: wrong_type"),
              std::string::npos)
        << text;
}

TEST_F(settings_test, a_feature_value_must_be_a_boolean) {
    const auto loaded = load("policy:\n  run_ahead: sometimes\n");
    const auto* errors = std::get_if<settings::setting_errors>(&loaded);
    ASSERT_NE(errors, nullptr);
    EXPECT_EQ(errors->front().fault, settings::setting_fault::wrong_type);
}

} // namespace

} // namespace hibiscus::entry
