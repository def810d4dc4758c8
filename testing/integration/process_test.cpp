#include "support/process.hpp"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

namespace hibiscus::testing {
namespace {

TEST(process_test, a_child_process_inherits_no_sockets) {
    const int open_socket = ::socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_GE(open_socket, 0);
    char output_path[] = "/tmp/hibiscus-process-XXXXXX";
    const int output_file = ::mkstemp(output_path);
    process list({"/bin/ls", "-l", "/proc/self/fd"}, output_path);
    EXPECT_EQ(list.wait_for_exit(30000), 0);
    EXPECT_EQ(list.output().find("socket:"), std::string::npos)
        << list.output();
    ::close(open_socket);
    ::close(output_file);
    ::unlink(output_path);
}

} // namespace
} // namespace hibiscus::testing
