#include "hibiscus/duties/usage.hpp"
#include "hibiscus/duties/usage_meter.hpp"

#include <gtest/gtest.h>

namespace hibiscus::duties {

namespace {

TEST(usage_test, keys_of_reports_round_trip) {
    EXPECT_EQ(parse_report_key(report_key(353445120)), 353445120);
    for (const char* key : {"!usage/", "!usage/1x", "!owner", "!usage/h", ""}) {
        EXPECT_FALSE(parse_report_key(key)) << key;
    }
}

TEST(usage_test, reports_and_counts_round_trip) {
    const usage_report report{7, {{"one", 3}, {"two", 1}}, true};
    const auto read = decode_report(7, encode(report));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->counts, report.counts);
    EXPECT_TRUE(read->delivered);
    EXPECT_EQ(decode_counts(encode(report.counts)), report.counts);
}

TEST(usage_test, malformed_values_are_rejected) {
    EXPECT_FALSE(decode_report(7, "x"));
    EXPECT_FALSE(decode_report(7, encode(usage_counts{{"one", 1}})));
    EXPECT_FALSE(decode_counts(""));
}

// Guards against a save that is executed late and replaces newer counts.
// The decoder throws for these sizes although it is told not to.
TEST(usage_test, sizes_that_cannot_be_allocated_are_rejected) {
    for (const char type : {'\x9b', '\xbb'}) {
        const auto bytes = type + ('\x7f' + std::string(7, '\xff'));
        EXPECT_FALSE(decode_report(1, bytes));
        EXPECT_FALSE(decode_counts(bytes));
    }
}

TEST(usage_test, only_the_last_generation_of_a_process_counts) {
    const auto record = [](const char* node, int generation, int count) {
        return std::pair(format_key(count_record_key{7, node, "i", generation}),
                         encode(usage_counts{{"one", count}, {"none", 0}}));
    };
    const auto sum =
        sum_counts({record("a", 0, 5), record("a", 1, 9), record("b", 0, 2)});
    EXPECT_EQ(sum, (usage_counts{{"one", 11}}));
}

TEST(usage_test, keys_of_a_window_have_its_prefix_and_no_other) {
    const auto key = format_key(count_record_key{7, "a", "i", 0});
    EXPECT_EQ(key.rfind(count_prefix(7), 0), 0U);
    EXPECT_NE(key.rfind(count_prefix(70), 0), 0U);
}

TEST(usage_meter_test, counts_belong_to_the_window_of_their_start) {
    usage_meter meter(5000);
    meter.count("one", 9999);
    meter.count("one", 10000);
    const auto changed = meter.take_unsaved();
    ASSERT_EQ(changed.size(), 2U);
    EXPECT_EQ(changed[0].window, 1);
    EXPECT_EQ(changed[1].window, 2);
    EXPECT_FALSE(meter.has_unsaved());
}

TEST(usage_meter_test, reverted_and_failed_counts_are_saved_again) {
    usage_meter meter(5000);
    const auto run = meter.count("one", 0);
    meter.count("one", 0);
    meter.take_unsaved();
    meter.revert(run);
    EXPECT_EQ(meter.take_unsaved().at(0).counts.at("one"), 1);
    meter.on_save_failed(0);
    EXPECT_EQ(meter.take_unsaved().at(0).counts.at("one"), 1);
    meter.forget_before(1);
    meter.revert(run);
    meter.on_save_failed(0);
    EXPECT_FALSE(meter.has_unsaved());
}

} // namespace

} // namespace hibiscus::duties
