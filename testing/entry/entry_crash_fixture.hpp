#pragma once

#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// The number of servers that may end under one request.
inline constexpr int max_server_ends = 3;

/// The number of servers that a plain request may be sent to.
inline constexpr int plain_attempts = 5;

inline constexpr int many_samplers = 6;
inline constexpr int many_events = 80;

/// How long a server is down after it has ended, in ms.
inline constexpr int restart_ms = 150;

/// How long a server that ends silently is down, in ms.
inline constexpr int silent_ms = 1500;

/// How long a server that starts again at once is down, in ms.
inline constexpr int short_restart_ms = 5;

/// What servers do after they have ended.
struct restart_options {
    bool changes_id = false;
    int down_ms = restart_ms;
    /// Time from the start to the registration, in ms.
    int registration_delay_ms = 0;
};

/// Two nodes that use servers which end whenever they receive a certain
/// request.
class entry_crash_test : public ::testing::Test, protected entry_harness {
protected:
    void start_nodes() {
        auto configuration = json::parse(configuration_json);
        configuration["routes"][0]["attempts"] = plain_attempts;
        store_.put("keyed.op", "config", configuration.dump());
        for (const char* name : {"n1", "n2"}) {
            start_node(name);
        }
        for (const char* name : {"n1", "n2"}) {
            ASSERT_TRUE(wait_until_ready(name));
        }
        ASSERT_TRUE(run_until([&] { return !job_owner().empty(); }));
    }

    /// Makes the servers of all services end at a request.
    void end_servers_at(const std::string& request,
                        const restart_options& options = {}) {
        for (auto& server : samplers_) {
            end_server_at(*server, "llm", request, options);
        }
        end_server_at(lookup_server_, "app", request, options);
    }

    /// Makes the servers of items end before they send an event for which
    /// `should_end` returns true.
    void end_samplers_before_event(
        const std::function<bool(const std::string&, int, int)>& should_end) {
        for (auto& server : samplers_) {
            server->end_before_event(should_end);
        }
    }

    /// Makes all servers end without a sign.
    void end_servers_silently() {
        for (auto& server : samplers_) {
            server->end_silently();
        }
        for (auto& server : plain_servers_) {
            server->end_silently();
        }
        lookup_server_.end_silently();
    }

    int server_ends() const {
        int ends = lookup_server_.end_count();
        for (const auto& server : samplers_) {
            ends += server->end_count();
        }
        for (const auto& server : plain_servers_) {
            ends += server->end_count();
        }
        return ends;
    }

    /// Adds servers for items, so that few items share one, and makes the texts
    /// longer.
    void add_samplers() {
        for (int n = 2; n < many_samplers; ++n) {
            const auto id = "llm-" + std::to_string(n);
            samplers_.push_back(std::make_unique<fake_backend_server>(
                io_, id, events_per_run, event_interval_ms));
            store_.put("keyed.servers", id,
                       samplers_.back()->make_registration("llm", true));
        }
        for (auto& server : samplers_) {
            server->set_event_count(many_events);
        }
    }

    /// Adds servers for plain requests that end at a request.
    void add_plain_servers(const std::string& ending_request) {
        for (int n = 1; n < plain_attempts; ++n) {
            plain_servers_.push_back(std::make_unique<fake_backend_server>(
                io_, "app-" + std::to_string(n), events_per_run,
                event_interval_ms));
            auto& server = *plain_servers_.back();
            end_server_at(server, "app", ending_request, {});
            store_.put("keyed.servers", server.id(),
                       server.make_registration("app", false));
        }
    }

    bool is_quarantined(const std::string& request) const {
        return has_logged("n1", {"request_quarantined", request}) ||
               has_logged("n2", {"request_quarantined", request});
    }

    std::string other_node(const std::string& name) const {
        return name == "n1" ? "n2" : "n1";
    }

    call_result submit(const std::string& node, const std::string& job,
                       const std::string& prefix) {
        return call(node, "POST", "/batch/1", {{"Request-Id", job}},
                    make_job_body(prefix));
    }

    /// Reads the states of the items of a job that have a result.
    std::map<std::string, std::string> read_states(const std::string& node,
                                                   const std::string& job) {
        const auto response = call(node, "GET", "/lots/" + job + "?after=0",
                                   {{"Wait-Ms", "200"}});
        std::map<std::string, std::string> states;
        if (response.status == 200) {
            const auto body = json::parse(response.body);
            for (const auto& r : body.at("results")) {
                states[r.at("id").get<std::string>()] =
                    r.at("state").get<std::string>();
            }
        }
        return states;
    }

    /// Waits until all items of a job but `request` have succeeded.
    bool wait_for_others(const std::string& node, const std::string& job,
                         const std::string& request) {
        return run_until([&] {
            auto states = read_states(node, job);
            states.erase(request);
            return states.size() == items_per_job - 1 &&
                   std::all_of(states.begin(), states.end(),
                               [](const auto& state) {
                                   return state.second == "succeeded";
                               });
        });
    }

    /// Runs a job of other items from its submission to its last result.
    bool finish_another_job(const std::string& node) {
        return submit(node, "other", "o").status == 202 && run_until([&] {
                   return read_states(node, "other").size() == items_per_job;
               });
    }

    /// Makes the servers of all services renew their registrations from now on.
    void renew_registrations() {
        renewal_timer_.expires_after(std::chrono::milliseconds(renewal_ms));
        renewal_timer_.async_wait([this](const auto& error) {
            if (error) {
                return;
            }
            for (auto& server : samplers_) {
                renew_registration(*server, "llm");
            }
            renew_registration(lookup_server_, "app");
            renew_registrations();
        });
    }

private:
    static constexpr int renewal_ms = 1200;

    void renew_registration(fake_backend_server& server,
                            const std::string& service) {
        if (server.is_running()) {
            store_.put("keyed.servers", server.id(),
                       server.make_registration(service, service == "llm"));
        }
    }

    void end_server_at(fake_backend_server& server, const std::string& service,
                       const std::string& request,
                       const restart_options& options) {
        server.end_at_request(
            request, options.down_ms, options.changes_id,
            [this, &server, service, before = server.id(),
             delay_ms = options.registration_delay_ms]() mutable {
                if (server.id() != before) {
                    store_.put("keyed.servers", before, "");
                    before = server.id();
                }
                register_later(server, service, delay_ms);
            });
    }

    void register_later(fake_backend_server& server, const std::string& service,
                        int delay_ms) {
        auto timer = std::make_shared<boost::asio::steady_timer>(
            io_, std::chrono::milliseconds(delay_ms));
        timer->async_wait([this, &server, service, timer](const auto& error) {
            if (!error) {
                store_.put("keyed.servers", server.id(),
                           server.make_registration(service, service == "llm"));
            }
        });
    }

    std::vector<std::unique_ptr<fake_backend_server>> plain_servers_;
    boost::asio::steady_timer renewal_timer_{io_};
};

} // namespace hibiscus::testing
