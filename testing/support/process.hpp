#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// A program that a test has started. It is killed with the object.
class process {
public:
    /// Starts `arguments[0]` with the others as its arguments. Standard output
    /// and error are appended to the file `output`.
    process(const std::vector<std::string>& arguments, std::string output);

    /// Kills the program if it still runs.
    ~process();

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Sends a signal to the program.
    void signal(int number) const;

    /// Waits up to `limit` ms for the end. Returns the exit code, -1 if a
    /// signal ended it, or nothing if it still runs.
    std::optional<int> wait(base::millis limit);

    /// Returns true if the program has not ended.
    bool running();

    /// Returns the process id.
    pid_t id() const { return id_; }

    /// Returns all that the program has written.
    std::string output() const;

    /// Waits for the line "listening on IP:PORT" and returns the address, or
    /// nothing if it does not come within `limit` ms.
    std::optional<base::endpoint> listening(base::millis limit = 20000) const;

private:
    std::string output_;
    pid_t id_ = -1;
    std::optional<int> exit_;
};

/// Returns a port that the kernel has just found free on `ip`.
std::uint16_t free_port(const std::string& ip);

/// Calls `condition` until it returns true or `limit` ms have passed; returns
/// what it returned last.
template <class F>
bool eventually(F condition, base::millis limit = 30000);

/// Waits for `ms` milliseconds.
void pause_for(base::millis ms);

template <class F>
bool eventually(F condition, base::millis limit) {
    const base::clock clock;
    const auto until = clock.now() + limit;
    while (!condition()) {
        if (clock.now() >= until) {
            return false;
        }
        pause_for(20);
    }
    return true;
}

} // namespace hibiscus::testing
