#include "hibiscus/store/value_chunks.hpp"
#include "support/fuzz.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

namespace hibiscus::store {

namespace {

const append_limits limits{2048, 4096};

std::vector<record> flatten(const std::vector<std::vector<record>>& appends) {
    std::vector<record> out;
    for (const auto& a : appends) {
        out.insert(out.end(), a.begin(), a.end());
    }
    return out;
}

TEST(value_chunks_test, a_value_that_fits_is_stored_as_it_is) {
    const auto appends = split_into_appends({{"a", "1"}, {"b", "2"}}, limits);
    ASSERT_EQ(appends.size(), 1U);
    EXPECT_EQ(appends[0][0].key, "a");
    EXPECT_EQ(appends[0][1].value, "2");
    EXPECT_TRUE(completes_value(appends[0][0]));
}

TEST(value_chunks_test, pieces_sort_behind_their_key_and_before_the_next) {
    // A reader that begins directly before the key of a large text must find
    // its pieces, and find them before what stands behind it.
    auto stored =
        flatten(split_into_appends({{"j/1/8-3", std::string(5000, 'x')}}, {}));
    ASSERT_EQ(stored.size(), 1U);
    stored = flatten(
        split_into_appends({{"j/1/8-3", std::string(5000, 'x')}}, limits));
    ASSERT_EQ(stored.size(), 4U);
    for (const auto& r : stored) {
        EXPECT_GT(r.key, "j/1/8-3");
        EXPECT_LT(r.key, "j/1/8-30");
    }
    EXPECT_FALSE(completes_value(stored[0]));
    EXPECT_TRUE(completes_value(stored[3]));
}

TEST(value_chunks_test, a_value_of_which_a_piece_is_missing_is_left_out) {
    // The append of the second half was refused while the store was away. A
    // reader that took the first half for the whole would hand out a text
    // that breaks off.
    const auto stored = flatten(split_into_appends(
        {{"a", std::string(5000, 'x')}, {"b", "1"}}, limits));
    ASSERT_EQ(stored.size(), 5U);
    for (std::size_t gone = 0; gone < 4; ++gone) {
        auto rest = stored;
        rest.erase(rest.begin() + static_cast<long>(gone));
        const auto joined = join_chunks(rest);
        ASSERT_EQ(joined.size(), 1U) << gone;
        EXPECT_EQ(joined[0].key, "b");
    }
}

/// Stores values of the given sizes, reads them in the order of keys, and
/// returns what came back wrong, or "".
std::string check_round_trip(const std::vector<testing::fuzz_command>& sizes) {
    std::vector<record> records;
    for (const auto& s : sizes) {
        const auto size = static_cast<std::size_t>(s.a) *
                          static_cast<std::size_t>(1 + s.b % 12);
        const auto name = std::to_string(100000 + records.size());
        records.push_back(
            {name, std::string(size + 1, static_cast<char>('a' + s.c % 26))});
    }
    const auto appends = split_into_appends(records, limits);
    std::vector<record> stored;
    for (const auto& append : appends) {
        std::size_t call = 0;
        for (const auto& r : append) {
            const auto size = r.key.size() + 1 + r.value.size();
            if (size > limits.max_record_bytes) {
                return "a record is too large: " + r.key;
            }
            call += size;
            stored.push_back(r);
        }
        if (call > limits.max_append_bytes) {
            return "an append is too large";
        }
    }
    std::sort(stored.begin(), stored.end(),
              [](const auto& a, const auto& b) { return a.key < b.key; });
    const auto read = join_chunks(stored);
    if (read.size() != records.size()) {
        return "values are missing";
    }
    for (std::size_t n = 0; n < read.size(); ++n) {
        if (read[n].key != records[n].key ||
            read[n].value != records[n].value) {
            return "a value came back changed: " + read[n].key;
        }
    }
    return "";
}

TEST(value_chunks_fuzz_test, values_of_any_size_come_back_whole) {
    testing::fuzz("pieces", 200, check_round_trip);
}

} // namespace

} // namespace hibiscus::store
