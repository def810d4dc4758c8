#include "forwarder_harness.hpp"
#include "support/fuzz.hpp"

#include <gtest/gtest.h>

#include <iostream>

namespace hibiscus::testing {

namespace {

constexpr std::size_t long_body_bytes = std::size_t{4} * 1024 * 1024;

/// Returns the server behavior for each attempt of a request. Half of the
/// attempts get a normal response.
std::vector<server_behavior> make_plan(int number) {
    std::vector<server_behavior> plan;
    for (int n = 0; n < 3; ++n, number /= 37) {
        const int index = number % (2 * server_behavior_count);
        plan.push_back(index < server_behavior_count
                           ? static_cast<server_behavior>(index)
                           : server_behavior::responds);
    }
    return plan;
}

void send_random_request(forwarder_harness& harness, const fuzz_command& c) {
    auto plan = make_plan(c.b * 1000 + c.c);
    std::size_t body_bytes = c.c % 3 == 0 ? 20000 : 20;
    if (plan[0] == server_behavior::responds_before_body) {
        body_bytes = long_body_bytes;
    }
    std::optional<std::chrono::milliseconds> disconnect_after;
    if (c.c % 13 == 0) {
        disconnect_after = std::chrono::milliseconds(c.b % 40);
    }
    harness.send_request(
        test_routes[static_cast<std::size_t>(c.a) % test_routes.size()],
        c.a / 5, std::move(plan), body_bytes, disconnect_after);
}

void apply_command(forwarder_harness& harness, const fuzz_command& c) {
    if (c.kind < 86) {
        send_random_request(harness, c);
    } else if (c.kind < 91) {
        harness.configure(c.a, c.b);
    } else if (c.kind < 93) {
        harness.remove_server(c.a);
    } else if (c.kind < 96) {
        harness.put_server(c.a, c.b % 4 == 0);
    } else {
        harness.run_for(std::chrono::milliseconds(c.a % 20));
    }
    harness.run_for(std::chrono::milliseconds(0));
}

// Guards against requests that end without a response or with a wrong one.
TEST(forwarder_fuzz_test, callers_get_one_response_whatever_servers_do) {
    std::size_t requests = 0;
    fuzz("forwarder", 12, [&](const auto& commands) {
        forwarder_harness harness;
        for (const auto& c : commands) {
            apply_command(harness, c);
        }
        requests += harness.request_count();
        auto violation = harness.finish_and_check();
        if (!violation.empty()) {
            // Requests race with each other, so the shrunk command list may
            // fail for another reason. Print the original violation.
            std::cout << violation << std::endl;
        }
        return violation;
    });
    std::cout << "requests: " << requests << "\n";
}

} // namespace

} // namespace hibiscus::testing
