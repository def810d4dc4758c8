#pragma once

#include "hibiscus/batch/crash_ledger.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hibiscus::batch {

constexpr base::millis retention_ms = 60000;
constexpr int server_count = 10;

class crash_ledger_test : public testing::Test {
protected:
    static server_process process(const std::string& id,
                                  base::millis started_ms = 1) {
        return {samplers::sampler_id(id), started_ms};
    }

    static server_loss make_loss(const server_process& lost,
                                 int text_events = 0, base::millis run_ms = 0) {
        return {lost,
                samplers::service_name("engines"),
                server_count,
                {text_events, 0, run_ms}};
    }

    void lose(int count) {
        for (int n = 0; n < count; ++n) {
            ledger_.on_lost(request_,
                            make_loss(process("s" + std::to_string(n))));
        }
    }

    void store_all() { ledger_.on_saved(ledger_.unsaved_rows(ledger_.size())); }

    /// Loses a server process after each of these numbers of events.
    void lose_at(const std::vector<int>& text_events) {
        for (const int events : text_events) {
            const auto ended = process("s" + std::to_string(events));
            ledger_.on_lost(request_, make_loss(ended, events));
            ledger_.on_ended(ended);
        }
    }

    /// Passes the rows in the store on to a new owner's ledger.
    static std::map<std::string, loss_record>
    read(const std::vector<crash_ledger::unsaved_row>& rows) {
        std::map<std::string, loss_record> stored;
        for (const auto& row : rows) {
            if (const auto record = decode_losses(row.record.value)) {
                stored[row.record.key] = *record;
            }
        }
        return stored;
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    base::clock clock_{time_};
    crash_ledger ledger_{clock_, retention_ms};
    const request_key request_{"w", "r"};
    const request_key other_{"w", "other"};
};

} // namespace hibiscus::batch
