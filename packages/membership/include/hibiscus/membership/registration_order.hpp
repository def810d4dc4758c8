#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/samplers/sampler_table.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace hibiscus::membership {

/// Orders the registrations of backend servers as the servers wrote them. The
/// store may execute a write seconds late, after newer ones of the same server
/// or after the server has left.
class registration_order {
public:
    explicit registration_order(base::clock clock) : clock_(std::move(clock)) {}

    /// Returns false if the server wrote the registration before one that was
    /// accepted. Registrations without a number are accepted.
    bool accept(const samplers::sampler_id& id,
                const samplers::registration& registered);

    /// Called when the registration of a server is gone. What was accepted of
    /// it counts for max_late_ms longer.
    void on_removed(const samplers::sampler_id& id);

    /// The longest time, in ms, by which the store executes a write late. If a
    /// server writes old numbers for longer, its counts or its clock were set
    /// back.
    static constexpr base::millis max_late_ms = 15000;

private:
    /// Identifies a registration among those of its server.
    struct write_number {
        /// Start time of the process in ms since the Unix epoch.
        std::int64_t process_started_ms = 0;
        std::int64_t sequence = 0;

        bool is_older_than(const write_number& other) const;
    };

    /// Old registrations of a server, with none accepted between them.
    struct old_writes {
        write_number newest;
        base::millis since = 0;
    };

    struct server_row {
        write_number newest;
        std::optional<old_writes> old;
        std::optional<base::millis> removed_at;
    };

    bool is_set_back(server_row& row, const write_number& number) const;
    void forget_removed();

    base::clock clock_;
    std::map<samplers::sampler_id, server_row> rows_;
    base::millis forgotten_at_ = 0;
};

} // namespace hibiscus::membership
