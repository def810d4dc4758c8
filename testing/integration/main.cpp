#include <gtest/gtest.h>

#include <string>

namespace hibiscus::testing {
extern std::string build_dir; // NOLINT
} // namespace hibiscus::testing

/// Runs the integration tests. --programs sets the build directory.
int main(int argc, char** argv) {
    ::testing::InitGoogleTest(&argc, argv);
    const std::string flag = "--programs=";
    for (int i = 1; i < argc; ++i) {
        const std::string argument(argv[i]);
        if (argument.rfind(flag, 0) == 0) {
            hibiscus::testing::build_dir = argument.substr(flag.size());
        }
    }
    return RUN_ALL_TESTS();
}
