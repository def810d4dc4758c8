#include "hibiscus/store/value_chunks.hpp"
#include "support/fuzz.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

namespace hibiscus::store {

namespace {

const append_limits limits{2048, 4096};

std::vector<record> flatten(const std::vector<std::vector<record>>& appends) {
    std::vector<record> records;
    for (const auto& append : appends) {
        records.insert(records.end(), append.begin(), append.end());
    }
    return records;
}

TEST(value_chunks_test, value_that_fits_is_not_split) {
    const auto appends = split_into_appends({{"a", "1"}, {"b", "2"}}, limits);
    ASSERT_EQ(appends.size(), 1U);
    EXPECT_EQ(appends[0][0].key, "a");
    EXPECT_EQ(appends[0][1].value, "2");
    EXPECT_TRUE(completes_value(appends[0][0]));
}

TEST(value_chunks_test, chunks_sort_between_their_key_and_the_next_key) {
    // A scan that starts directly before the key of a large text must return
    // its chunks, and return them before the next key.
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

TEST(value_chunks_test, value_with_a_missing_chunk_is_omitted) {
    // Guards against returning a truncated text: the append of the second half
    // was rejected while the store was unreachable.
    const auto stored = flatten(split_into_appends(
        {{"a", std::string(5000, 'x')}, {"b", "1"}}, limits));
    ASSERT_EQ(stored.size(), 5U);
    for (std::size_t missing = 0; missing < 4; ++missing) {
        auto remaining = stored;
        remaining.erase(remaining.begin() + static_cast<long>(missing));
        const auto joined = join_chunks(remaining);
        ASSERT_EQ(joined.size(), 1U) << missing;
        EXPECT_EQ(joined[0].key, "b");
    }
}

/// Splits values of the given sizes into appends, joins them in key order, and
/// returns the first violation, or "".
std::string
check_round_trip(const std::vector<testing::fuzz_command>& commands) {
    std::vector<record> records;
    for (const auto& c : commands) {
        const auto size = static_cast<std::size_t>(c.a) *
                          static_cast<std::size_t>(1 + c.b % 12);
        const auto key = std::to_string(100000 + records.size());
        records.push_back(
            {key, std::string(size + 1, static_cast<char>('a' + c.c % 26))});
    }
    const auto appends = split_into_appends(records, limits);
    std::vector<record> stored;
    for (const auto& append : appends) {
        std::size_t append_bytes = 0;
        for (const auto& r : append) {
            const auto size = r.key.size() + 1 + r.value.size();
            if (size > limits.max_record_bytes) {
                return "record exceeds the size limit: " + r.key;
            }
            append_bytes += size;
            stored.push_back(r);
        }
        if (append_bytes > limits.max_append_bytes) {
            return "append exceeds the size limit";
        }
    }
    std::sort(stored.begin(), stored.end(),
              [](const auto& a, const auto& b) { return a.key < b.key; });
    const auto joined = join_chunks(stored);
    if (joined.size() != records.size()) {
        return "number of values differs";
    }
    for (std::size_t n = 0; n < joined.size(); ++n) {
        if (joined[n].key != records[n].key ||
            joined[n].value != records[n].value) {
            return "value differs: " + joined[n].key;
        }
    }
    return "";
}

TEST(value_chunks_fuzz_test, values_of_any_size_round_trip) {
    testing::fuzz("pieces", 200, check_round_trip);
}

} // namespace

} // namespace hibiscus::store
