#include "forwarder_world.hpp"
#include "support/fuzz.hpp"

#include <gtest/gtest.h>

#include <iostream>

namespace hibiscus::testing {

namespace {

constexpr std::size_t long_body_bytes = std::size_t{4} * 1024 * 1024;

/// Returns what servers do with the sends of a request; half are answered.
std::vector<conduct> plan_of(int number) {
    std::vector<conduct> out;
    for (int n = 0; n < 3; ++n, number /= 37) {
        const int what = number % (2 * conducts);
        out.push_back(what < conducts ? static_cast<conduct>(what)
                                      : conduct::answers);
    }
    return out;
}

void ask(forwarder_world& w, const fuzz_command& c) {
    auto plan = plan_of(c.b * 1000 + c.c);
    std::size_t body_bytes = c.c % 3 == 0 ? 20000 : 20;
    if (plan[0] == conduct::answers_before_the_body) {
        body_bytes = long_body_bytes;
    }
    std::optional<std::chrono::milliseconds> leaves_after;
    if (c.c % 13 == 0) {
        leaves_after = std::chrono::milliseconds(c.b % 40);
    }
    w.ask(shapes[static_cast<std::size_t>(c.a) % shapes.size()], c.a / 5,
          std::move(plan), body_bytes, leaves_after);
}

void apply(forwarder_world& w, const fuzz_command& c) {
    if (c.kind < 86) {
        ask(w, c);
    } else if (c.kind < 91) {
        w.configure(c.a, c.b);
    } else if (c.kind < 93) {
        w.remove_server(c.a);
    } else if (c.kind < 96) {
        w.put_server(c.a, c.b % 4 == 0);
    } else {
        w.run_for(std::chrono::milliseconds(c.a % 20));
    }
    w.run_for(std::chrono::milliseconds(0));
}

// Guards against requests that end without an answer, or with a wrong one.
TEST(forwarder_fuzz_test, callers_get_one_answer_whatever_servers_do) {
    std::size_t requests = 0;
    fuzz("forwarder", 12, [&](const auto& commands) {
        forwarder_world w;
        for (const auto& c : commands) {
            apply(w, c);
        }
        requests += w.requests();
        auto wrong = w.finish();
        if (!wrong.empty()) {
            // Requests race, and the shrunk list may fail for another reason.
            std::cout << wrong << std::endl;
        }
        return wrong;
    });
    std::cout << "requests: " << requests << "\n";
}

} // namespace

} // namespace hibiscus::testing
