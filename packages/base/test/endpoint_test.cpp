#include "hibiscus/base/endpoint.hpp"

#include <gtest/gtest.h>

namespace hibiscus::base {
namespace {

TEST(endpoint_test, to_string_and_parse_endpoint_round_trip) {
    const endpoint address{"127.0.0.1", 8080};
    const auto parsed = parse_endpoint(to_string(address));
    ASSERT_TRUE(parsed.has_value()) << to_string(address);
    EXPECT_EQ(*parsed, address);
}

TEST(endpoint_test, rejects_text_without_a_valid_port) {
    for (const char* text : {"", ":", "1.2.3.4", "1.2.3.4:", "1.2.3.4:x",
                             "1.2.3.4:65536", "1.2.3.4:-1", ":80"}) {
        EXPECT_FALSE(parse_endpoint(text).has_value()) << "text: " << text;
    }
}

} // namespace
} // namespace hibiscus::base
