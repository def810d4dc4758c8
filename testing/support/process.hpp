#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/base/endpoint.hpp"

#include <sys/types.h>

#include <cstdint>
#include <memory>
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
    std::optional<int> wait_for_exit(base::millis limit);

    /// Returns true if the program has not ended.
    bool is_running();

    /// Returns the process id.
    pid_t pid() const { return pid_; }

    /// Returns all that the program has written.
    std::string output() const;

    /// Waits for the line "listening on IP:PORT" and returns the address, or
    /// nothing if it does not come within `limit` ms.
    std::optional<base::endpoint>
    wait_for_listen_address(base::millis limit = 20000) const;

private:
    std::string output_path_;
    pid_t pid_ = -1;
    std::optional<int> exit_code_;
};

/// Ports for programs that a test starts. A port that was found free and let go
/// may be given to somebody else, as a listener's or as the near end of a
/// connection, before the program listens on it; the program then ends at its
/// start. A port of this kind stays bound, so that only who names it gets it,
/// and a program that was restarted gets it again.
class port_reservations {
public:
    port_reservations();
    ~port_reservations();

    /// Returns a free port on `ip` and keeps it for the life of this object.
    /// Programs that set SO_REUSEADDR can listen on it, one at a time.
    std::uint16_t reserve(const std::string& ip);

private:
    class bound_sockets;
    std::unique_ptr<bound_sockets> sockets_;
};

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
