#include "hibiscus/base/endpoint.hpp"

#include <gtest/gtest.h>

namespace hibiscus::base {
namespace {

TEST(endpoint_test, reads_what_it_writes) {
    const endpoint e{"127.0.0.1", 8080};
    const auto read = parse_endpoint(to_string(e));
    ASSERT_TRUE(read.has_value()) << to_string(e);
    EXPECT_EQ(*read, e);
}

TEST(endpoint_test, refuses_text_without_a_whole_port) {
    for (const char* text : {"", ":", "1.2.3.4", "1.2.3.4:", "1.2.3.4:x",
                             "1.2.3.4:65536", "1.2.3.4:-1", ":80"}) {
        EXPECT_FALSE(parse_endpoint(text).has_value()) << "text: " << text;
    }
}

} // namespace
} // namespace hibiscus::base
