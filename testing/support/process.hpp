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

/// A child process. The destructor kills it if it still runs.
class process {
public:
    /// Starts the program `arguments[0]` with the remaining arguments. Its
    /// standard output and error are appended to the file `output`. Throws
    /// std::runtime_error if the program can't be started.
    process(const std::vector<std::string>& arguments, std::string output);

    ~process();

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Sends a signal to the process unless it is known to have ended.
    void signal(int signal_number) const;

    /// Waits up to `timeout_ms` for the process to end. Returns its exit code,
    /// -1 if a signal ended it, or nothing if it still runs.
    std::optional<int> wait_for_exit(base::millis timeout_ms);

    /// Returns true if the process has not ended.
    bool is_running();

    pid_t pid() const { return pid_; }

    /// Returns the content of the output file, which includes the output of
    /// earlier processes with the same file.
    std::string output() const;

    /// Waits for the line "listening on IP:PORT" in the output and returns the
    /// address, or nothing if the line is missing after `timeout_ms`.
    std::optional<base::endpoint>
    wait_for_listen_address(base::millis timeout_ms = 20000) const;

private:
    std::string output_path_;
    pid_t pid_ = -1;
    std::optional<int> exit_code_;
};

/// Reserves ports for programs that a test starts. If a free port were closed
/// again after it was found, the system could assign it to another listener or
/// outgoing connection before the program listens on it, and the program would
/// fail at startup. A reserved port stays bound, so the system assigns it to
/// nobody else, and a restarted program can use it again.
class port_reservations {
public:
    port_reservations();
    ~port_reservations();

    /// Returns a free port on `ip`, which stays reserved until this object is
    /// destroyed. Programs that set SO_REUSEADDR can listen on it, one at a
    /// time.
    std::uint16_t reserve(const std::string& ip);

private:
    class bound_sockets;
    std::unique_ptr<bound_sockets> sockets_;
};

/// Calls `condition` every 20 ms until it returns true or `timeout_ms` has
/// passed. Returns true if the condition became true.
template <class F>
bool eventually(F condition, base::millis timeout_ms = 30000);

/// Blocks the calling thread for `ms` milliseconds.
void pause_for(base::millis ms);

template <class F>
bool eventually(F condition, base::millis timeout_ms) {
    const base::clock clock;
    const auto deadline = clock.now() + timeout_ms;
    while (!condition()) {
        if (clock.now() >= deadline) {
            return false;
        }
        pause_for(20);
    }
    return true;
}

} // namespace hibiscus::testing
