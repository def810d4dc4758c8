#include "hibiscus/base/response_rules.hpp"

#include <gtest/gtest.h>

namespace hibiscus::base {

namespace {

TEST(response_rules_test, statuses_are_classified) {
    for (const unsigned status : {0U, 1U, 99U, 101U, 600U, 999U}) {
        EXPECT_EQ(classify_status(status), response_kind::malformed) << status;
    }
    for (const unsigned status : {100U, 102U, 103U, 150U, 199U}) {
        EXPECT_EQ(classify_status(status), response_kind::interim_response)
            << status;
    }
    for (const unsigned status : {200U, 204U, 299U, 304U, 404U, 599U}) {
        EXPECT_EQ(classify_status(status), response_kind::final_response)
            << status;
    }
}

TEST(response_rules_test, folded_lines_are_found) {
    for (const char* head : {"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\n",
                             "HTTP/1.1 200 OK\r\n A: b\r\n\r\n"}) {
        EXPECT_TRUE(has_folded_line(head)) << head;
    }
    for (const char* head : {"HTTP/1.1 200 OK\r\n\r\n", "",
                             "HTTP/1.1 200 OK\r\nA:  b c\t\r\n\r\n"}) {
        EXPECT_FALSE(has_folded_line(head)) << head;
    }
}

TEST(response_rules_test, only_the_chunked_coding_can_be_read) {
    EXPECT_TRUE(is_readable_coding("chunked", 11));
    EXPECT_TRUE(is_readable_coding("Chunked", 11));
    EXPECT_FALSE(is_readable_coding("chunked", 10));
    for (const char* value : {"", "gzip", "gzip, chunked", "chunked, gzip",
                              "chunked,", "chunked;q=1", "identity"}) {
        EXPECT_FALSE(is_readable_coding(value, 11)) << value;
    }
}

} // namespace

} // namespace hibiscus::base
