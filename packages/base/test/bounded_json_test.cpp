#include "hibiscus/base/bounded_json.hpp"
#include "hibiscus/base/cbor.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <string>

namespace hibiscus::base {

namespace {

using json = nlohmann::json;

constexpr std::size_t many_levels = 1000000;

std::string nested_arrays(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

// Guards against input that exhausts the stack.
TEST(bounded_json_test, rejects_deep_nesting) {
    EXPECT_TRUE(parse_json(nested_arrays(many_levels)).is_discarded());
    EXPECT_TRUE(parse_json(std::string(many_levels, '[')).is_discarded());
    EXPECT_TRUE(parse_json(nested_arrays(max_json_depth + 1)).is_discarded());
    EXPECT_FALSE(parse_json(nested_arrays(max_json_depth)).is_discarded());
    std::string objects;
    for (std::size_t n = 0; n < many_levels; ++n) {
        objects += "{\"a\":";
    }
    EXPECT_TRUE(parse_json(objects).is_discarded());
}

// Guards against input that exhausts the stack.
TEST(bounded_json_test, rejects_deeply_nested_cbor) {
    const auto nested = [](std::size_t levels) {
        return std::string(levels, '\x81') + '\x01';
    };
    EXPECT_TRUE(parse_cbor(nested(many_levels)).is_discarded());
    EXPECT_TRUE(parse_cbor(nested(max_json_depth + 1)).is_discarded());
    EXPECT_FALSE(parse_cbor(nested(max_json_depth)).is_discarded());
    EXPECT_FALSE(decode_cbor(nested(many_levels), [](const json& value) {
        return std::optional<std::size_t>(value.size());
    }));
}

TEST(bounded_json_test, brackets_in_strings_are_no_levels) {
    const auto text = json(nested_arrays(many_levels)).dump();
    EXPECT_TRUE(parse_json(text).is_string());
    EXPECT_TRUE(parse_json(R"(["\"[[[[", "\\", []])").is_array());
    std::string wide = "[";
    for (int n = 0; n < 2 * max_json_depth; ++n) {
        wide += "[],";
    }
    EXPECT_TRUE(parse_json(wide + "0]").is_array());
}

TEST(bounded_json_test, rejects_what_is_no_json) {
    EXPECT_TRUE(parse_json("{").is_discarded());
    EXPECT_TRUE(parse_json("]").is_discarded());
    EXPECT_TRUE(parse_json("").is_discarded());
    EXPECT_TRUE(parse_cbor("").is_discarded());
}

// Guards against numbers that a conversion changes or that sums can't hold.
TEST(bounded_json_test, integers_have_a_range) {
    const auto read = [](const char* text) {
        return to_integer(json::parse(text), -5, 100);
    };
    EXPECT_EQ(read("-5"), -5);
    EXPECT_EQ(read("100"), 100);
    EXPECT_EQ(read("7.0"), 7);
    for (const auto* text :
         {"-6", "101", "4294967296", "9223372036854775808",
          "99999999999999999999", "1e300", "-1e300", "\"7\"", "[]", "null"}) {
        EXPECT_THROW(read(text), json::exception) << text;
    }
    EXPECT_THROW(to_integer(json(5U), 6, 7), json::exception);
    EXPECT_THROW(to_integer(json(9.3e18),
                            std::numeric_limits<std::int64_t>::min(),
                            std::numeric_limits<std::int64_t>::max()),
                 json::exception);
    EXPECT_EQ(to_integer(json{{"a", 3}}, "a", 1, 0, 9), 3);
    EXPECT_EQ(to_integer(json::object(), "a", 1, 0, 9), 1);
}

} // namespace

} // namespace hibiscus::base
