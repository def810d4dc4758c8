#include "entry/entry_harness.hpp"
#include "entry/misbehaving_client.hpp"
#include "support/concat.hpp"
#include "support/raw_server.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace hibiscus::testing {

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;

/// Number of requests at once.
constexpr int caller_count = 60;

/// How much servers send at least before a node is checked, in bytes.
constexpr std::size_t min_sent_bytes = 400 * mib;

const std::string signed_fields =
    "Request-Id: {id}\r\nResponse-Stamp: stamp\r\nWeight-Versions: 1\r\n";
const std::string unsigned_ok = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n\r\n";
const std::string signed_ok = "HTTP/1.1 200 OK\r\n" + signed_fields + "\r\n";

/// One node whose samplers send responses without end. The servers of lookups
/// are in order unless a test says otherwise.
class entry_endless_response_test : public ::testing::Test,
                                    protected entry_harness {
protected:
    void start(const std::string& begin, const std::string& piece) {
        std::string repeated;
        while (repeated.size() < 64 * kib) {
            repeated += piece;
        }
        start(begin, [repeated](std::size_t) { return repeated; });
    }

    void start(const std::string& begin,
               std::function<std::string(std::size_t)> pieces) {
        response_.bytes = begin;
        response_.endless_piece = std::move(pieces);
        put_raw_server("llm-0", "llm", true, *samplers_[0]);
        put_raw_server("llm-1", "llm", true, *samplers_[1]);
        publish_configuration(1, route_timeout_ms);
        // The node before has the ports until it has ended.
        nodes_.clear();
        start_node("n1");
        ASSERT_TRUE(wait_until_ready("n1"));
        ASSERT_TRUE(run_until([&] { return is_lookup_answered(); }));
    }

    void put_raw_server(const std::string& id, const std::string& service,
                        bool is_sampler, fake_backend_server& server) {
        auto registration =
            json::parse(server.make_registration(service, is_sampler));
        registration["address"] = to_string(raw_.address());
        registration["slots"] = slot_count;
        store_.put("keyed.servers", id, registration.dump());
    }

    bool is_lookup_answered() {
        const auto id = "ordinary" + std::to_string(++lookups_);
        return call("n1", "GET", "/look/x", {{"Request-Id", id}}).status == 200;
    }

    /// Sends requests to a route at once.
    void add_callers(const std::string& target) {
        for (int n = 0; n < caller_count; ++n) {
            callers_.push_back(std::make_unique<misbehaving_client>(
                io_, base::endpoint{"127.0.0.1", ports_.at("n1").front()},
                send_once(make_head("c" + std::to_string(n), target,
                                    "Content-Length: 0"))));
        }
    }

    /// Sends requests to a route at once, and runs until each has ended.
    void run_callers(const std::string& target) {
        add_callers(target);
        EXPECT_TRUE(run_until([&] {
            return std::all_of(callers_.begin(), callers_.end(),
                               [](const auto& c) {
                                   return c->is_closed() || c->status() >= 400;
                               });
        }));
    }

    /// Submits a job with items for all slots, and runs until the servers have
    /// sent enough.
    void run_job() {
        auto job = json::parse(make_job_body("i"));
        auto& items = job["items"];
        while (items.size() < item_count) {
            auto item = items[0];
            const auto id = "more" + std::to_string(items.size());
            item["id"] = id;
            item["path"] = "/batch/" + id;
            item["scorer"]["id"] = "s" + id;
            items.push_back(std::move(item));
        }
        EXPECT_TRUE(run_until([&] {
            return call("n1", "POST", "/batch/1", {{"Request-Id", "job1"}},
                        job.dump())
                       .status == 202;
        }));
        EXPECT_TRUE(run_until([&] {
            return raw_.endless_bytes() > min_sent_bytes ||
                   !nodes_.at("n1")->is_running();
        }));
    }

    void expect_unharmed() {
        EXPECT_TRUE(nodes_.at("n1")->is_running());
        EXPECT_TRUE(run_until(
            [&] { return call("n1", "GET", "/none/x").status == 404; }));
        EXPECT_LE(peak_bytes("n1"), machine_bytes);
        std::printf("peak %zu MB, %zu MB sent\n", peak_bytes("n1") / 1000000,
                    raw_.endless_bytes() / 1000000);
    }

    raw_response respond(const std::string& head) {
        const bool is_report = head.find(" /report ") != std::string::npos;
        if (is_report && !are_reports_endless_) {
            raw_response report;
            const std::string body =
                R"({"seq":0,"busy":false,"models":[{"name":"m","version":1}]})";
            report.bytes = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body;
            return report;
        }
        return response_;
    }

    static constexpr int route_timeout_ms = 20000;
    static constexpr int slot_count = 100;
    static constexpr std::size_t item_count = 200;

    raw_response response_;
    bool are_reports_endless_ = false;
    raw_server raw_{io_,
                    [this](const std::string& head) { return respond(head); }};
    std::vector<std::unique_ptr<misbehaving_client>> callers_;
    int lookups_ = 0;
};

// Guards against failures that are kept whole, in no account.
TEST_F(entry_endless_response_test, bodies_of_failures) {
    for (const std::string status : {"400", "500"}) {
        start(concat({"HTTP/1.1 ", status, " Any\r\n", signed_fields, "\r\n"}),
              "x");
        run_callers("/plain-stream/x");
        EXPECT_TRUE(run_until([&] { return is_lookup_answered(); }));
        expect_unharmed();
        callers_.clear();
    }
}

// Guards against lines that are kept until they end.
TEST_F(entry_endless_response_test, heads_chunk_lines_and_trailers) {
    const std::string chunked_head =
        concat({"HTTP/1.1 200 OK\r\n", signed_fields,
                "Transfer-Encoding: chunked\r\n"});
    for (const auto& begin :
         {std::string("x"), std::string("HTTP/1.1 200 "),
          std::string("HTTP/1.1 200 OK\r\nX-Name: "),
          std::string("HTTP/1.1 200 OK\r\nX-"),
          chunked_head + "\r\n2;x=", chunked_head + "\r\n0\r\nX-Name: "}) {
        start(begin, "x");
        run_callers("/plain-stream/x");
        EXPECT_TRUE(run_until([&] { return is_lookup_answered(); }));
        expect_unharmed();
        callers_.clear();
    }
}

// Guards against bodies that are read faster than they can be passed on.
TEST_F(entry_endless_response_test, bodies_that_are_passed_on) {
    start(signed_ok, "x");
    add_callers("/plain-stream/x");
    EXPECT_TRUE(
        run_until([&] { return raw_.endless_bytes() > min_sent_bytes; }));
    EXPECT_TRUE(run_until([&] { return is_lookup_answered(); }));
    callers_.clear();
    expect_unharmed();
}

// Guards against bodies without a signature that are kept whole.
TEST_F(entry_endless_response_test, bodies_without_a_signature) {
    start(unsigned_ok, "x");
    run_callers("/plain-stream/x");
    EXPECT_TRUE(run_until([&] { return is_lookup_answered(); }));
    expect_unharmed();
}

// Guards against events that are kept until they end.
TEST_F(entry_endless_response_test, an_event_of_a_stream) {
    start(signed_ok + "data: ", "x");
    run_callers("/stream/x");
    EXPECT_TRUE(run_until([&] { return is_lookup_answered(); }));
    expect_unharmed();
}

// Guards against events that are kept until they end.
TEST_F(entry_endless_response_test, an_event_of_a_run) {
    start(signed_ok + "data: ", "x");
    run_job();
    EXPECT_TRUE(run_until([&] { return is_lookup_answered(); }));
    expect_unharmed();
}

// Guards against lines that take more as fields of an event than as bytes.
TEST_F(entry_endless_response_test, short_lines_of_an_event_of_a_run) {
    start(signed_ok, "x\n");
    run_job();
    EXPECT_TRUE(run_until([&] { return is_lookup_answered(); }));
    expect_unharmed();
}

// Guards against texts that grow for as long as a server sends events.
TEST_F(entry_endless_response_test, events_of_a_run) {
    start(signed_ok, [](std::size_t n) {
        constexpr std::size_t events_per_piece = 64;
        std::string piece;
        for (std::size_t k = 1; k <= events_per_piece; ++k) {
            piece += "id: " + std::to_string(n * events_per_piece + k) +
                     "\ndata: " + std::string(kib, 'x') + "\n\n";
        }
        return piece;
    });
    run_job();
    EXPECT_TRUE(run_until([&] { return is_lookup_answered(); }));
    expect_unharmed();
}

// Guards against reports that are kept whole.
TEST_F(entry_endless_response_test, reports_of_servers) {
    are_reports_endless_ = true;
    start(unsigned_ok, "x");
    for (int n = 0; n < caller_count; ++n) {
        put_raw_server("more-" + std::to_string(n), "llm", true, *samplers_[0]);
    }
    ASSERT_TRUE(run_until([&] { return !job_owner().empty(); }));
    store_.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    EXPECT_TRUE(
        run_until([&] { return raw_.endless_bytes() > min_sent_bytes; }));
    EXPECT_TRUE(run_until([&] { return is_lookup_answered(); }));
    expect_unharmed();
}

// Guards against responses to reward calls that are kept whole.
TEST_F(entry_endless_response_test, responses_to_reward_calls) {
    start(signed_ok, "x");
    for (auto& sampler : samplers_) {
        store_.put("keyed.servers", sampler->id(),
                   sampler->make_registration("llm", true));
    }
    put_raw_server("app-0", "app", false, lookup_server_);
    run_job();
    expect_unharmed();
}

} // namespace

} // namespace hibiscus::testing
