#include <gtest/gtest.h>

#include <string>

namespace hibiscus::testing {
extern std::string build_dir; // NOLINT
} // namespace hibiscus::testing

/// Runs the integration tests; --programs names the build folder.
int main(int argc, char** argv) {
    ::testing::InitGoogleTest(&argc, argv);
    const std::string flag = "--programs=";
    for (int i = 1; i < argc; ++i) {
        const std::string word(argv[i]);
        if (word.rfind(flag, 0) == 0) {
            hibiscus::testing::build_dir = word.substr(flag.size());
        }
    }
    return RUN_ALL_TESTS();
}
