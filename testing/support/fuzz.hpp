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

/// One command of a generated sequence. The test decides what the numbers mean.
struct fuzz_command {
    /// Selects the operation; below 100.
    int kind = 0;
    /// Arguments of the operation; below 1000.
    int a = 0;
    int b = 0;
    int c = 0;
};

/// Prints a command of a counterexample.
inline std::ostream& operator<<(std::ostream& out, const fuzz_command& c) {
    return out << '{' << c.kind << ", " << c.a << ", " << c.b << ", " << c.c
               << '}';
}

/// Returns a generator of command sequences.
inline rc::Gen<std::vector<fuzz_command>> generate_commands() {
    constexpr int full_range = 100;
    const auto number = [](int limit) {
        return rc::gen::resize(full_range, rc::gen::inRange(0, limit));
    };
    return rc::gen::container<std::vector<fuzz_command>>(
        rc::gen::build<fuzz_command>(
            rc::gen::set(&fuzz_command::kind, number(100)),
            rc::gen::set(&fuzz_command::a, number(1000)),
            rc::gen::set(&fuzz_command::b, number(1000)),
            rc::gen::set(&fuzz_command::c, number(1000))));
}

/// Checks a property with `cases` generated command sequences from a fixed
/// seed. If HIBISCUS_FUZZ_SECONDS is set, starts at a random seed and repeats
/// with further seeds for that time. HIBISCUS_FUZZ_SEED sets the first seed, to
/// reproduce a failure. The property returns a description of the violation, or
/// "" if it holds.
template <class Property>
void fuzz(const std::string& name, int cases, Property property) {
    constexpr int max_commands = 1200;
    const auto* seconds_variable =
        std::getenv("HIBISCUS_FUZZ_SECONDS");                      // NOLINT
    const auto* seed_variable = std::getenv("HIBISCUS_FUZZ_SEED"); // NOLINT
    std::uint64_t seed = 1;
    if (seed_variable != nullptr) {
        seed = std::strtoull(seed_variable, nullptr, 10);
    } else if (seconds_variable != nullptr) {
        seed = std::random_device()();
    }
    const auto deadline =
        std::chrono::steady_clock::now() +
        std::chrono::seconds(seconds_variable != nullptr
                                 ? std::strtol(seconds_variable, nullptr, 10)
                                 : 0);
    do {
        rc::detail::TestParams params;
        params.seed = seed;
        params.maxSuccess = cases;
        params.maxSize = max_commands;
        const auto result = rc::detail::checkTestable(
            [&] {
                const auto violation = property(*generate_commands());
                if (!violation.empty()) {
                    RC_FAIL(violation);
                }
            },
            rc::detail::TestMetadata{name, name}, params);
        if (!result.template is<rc::detail::SuccessResult>()) {
            rc::detail::printResultMessage(result, std::cerr);
            ADD_FAILURE() << name << ": reproduce with make fuzz SEED=" << seed;
            return;
        }
        ++seed;
    } while (std::chrono::steady_clock::now() < deadline);
}

} // namespace hibiscus::testing
