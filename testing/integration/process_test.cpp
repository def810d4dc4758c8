#include "support/process.hpp"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

namespace hibiscus::testing {
namespace {

TEST(process_test, a_child_process_inherits_no_sockets) {
    const int held = ::socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_GE(held, 0);
    char name[] = "/tmp/hibiscus-process-XXXXXX";
    const int file = ::mkstemp(name);
    process list({"/bin/ls", "-l", "/proc/self/fd"}, name);
    EXPECT_EQ(list.wait_for_exit(30000), 0);
    EXPECT_EQ(list.output().find("socket:"), std::string::npos)
        << list.output();
    ::close(held);
    ::close(file);
    ::unlink(name);
}

} // namespace
} // namespace hibiscus::testing
