#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// One step of a generated run. The model reads the numbers as it needs them.
struct fuzz_command {
    /// Below 100: selects what is done.
    int kind = 0;
    int a = 0;
    int b = 0;
    int c = 0;
};

/// Shows a command of a counterexample.
inline std::ostream& operator<<(std::ostream& out, const fuzz_command& c) {
    return out << '{' << c.kind << ", " << c.a << ", " << c.b << ", " << c.c
               << '}';
}

/// Returns a generator of lists of commands.
inline rc::Gen<std::vector<fuzz_command>> generate_commands() {
    constexpr int full_range = 100;
    const auto number = [](int below) {
        return rc::gen::resize(full_range, rc::gen::inRange(0, below));
    };
    return rc::gen::container<std::vector<fuzz_command>>(
        rc::gen::build<fuzz_command>(
            rc::gen::set(&fuzz_command::kind, number(100)),
            rc::gen::set(&fuzz_command::a, number(1000)),
            rc::gen::set(&fuzz_command::b, number(1000)),
            rc::gen::set(&fuzz_command::c, number(1000))));
}

/// Checks a property of lists of commands with `cases` lists from a fixed
/// seed. HIBISCUS_FUZZ_SECONDS makes it go on with other seeds for that time,
/// HIBISCUS_FUZZ_SEED begins with a seed that was printed before. The property
/// returns what is wrong, or "".
template <class Property>
void fuzz(const std::string& name, int cases, Property property) {
    constexpr int longest = 1200;
    const auto* seconds = std::getenv("HIBISCUS_FUZZ_SECONDS"); // NOLINT
    const auto* first = std::getenv("HIBISCUS_FUZZ_SEED");      // NOLINT
    std::uint64_t seed = 1;
    if (first != nullptr) {
        seed = std::strtoull(first, nullptr, 10);
    } else if (seconds != nullptr) {
        seed = std::random_device()();
    }
    const auto end =
        std::chrono::steady_clock::now() +
        std::chrono::seconds(
            seconds != nullptr ? std::strtol(seconds, nullptr, 10) : 0);
    do {
        rc::detail::TestParams params;
        params.seed = seed;
        params.maxSuccess = cases;
        params.maxSize = longest;
        const auto result = rc::detail::checkTestable(
            [&] {
                const auto wrong = property(*generate_commands());
                if (!wrong.empty()) {
                    RC_FAIL(wrong);
                }
            },
            rc::detail::TestMetadata{name, name}, params);
        if (!result.template is<rc::detail::SuccessResult>()) {
            rc::detail::printResultMessage(result, std::cerr);
            ADD_FAILURE() << name << ": reproduce with make fuzz SEED=" << seed;
            return;
        }
        ++seed;
    } while (std::chrono::steady_clock::now() < end);
}

} // namespace hibiscus::testing
