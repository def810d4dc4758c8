#include "entry/entry_harness.hpp"
#include "entry/misbehaving_client.hpp"

#include <gtest/gtest.h>

#include <sys/resource.h>

#include <set>

namespace hibiscus::testing {

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;

/// The limits on requests in these tests, in bytes, and the smaller ones of
/// crowds.
constexpr std::size_t max_header_bytes = 16 * kib;
constexpr std::size_t max_body_bytes = 32 * mib;
constexpr std::size_t small_body_bytes = 8 * mib;

/// The descriptors that a process may open: for sockets, and for files.
constexpr std::size_t max_sockets = 500;
constexpr std::size_t file_descriptors = 200;

constexpr const char* chunked = "Transfer-Encoding: chunked";

std::string length_field(std::size_t bytes) {
    return "Content-Length: " + std::to_string(bytes);
}

/// Sets the soft limit on open files. Processes that are started inherit it.
class open_file_limit {
public:
    explicit open_file_limit(std::size_t files) {
        ::getrlimit(RLIMIT_NOFILE, &original_);
        auto lowered = original_;
        lowered.rlim_cur = files;
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }

    ~open_file_limit() { ::setrlimit(RLIMIT_NOFILE, &original_); }

    open_file_limit(const open_file_limit&) = delete;
    open_file_limit& operator=(const open_file_limit&) = delete;

private:
    ::rlimit original_{};
};

/// One node, its fakes, and crowds of clients that don't follow the protocol to
/// its end.
class entry_crowd_test : public ::testing::Test, protected entry_harness {
protected:
    /// Starts the node under limits on the bodies of requests and on the time,
    /// in ms, for which a connection may be idle.
    void start(std::size_t body_bytes, int idle_timeout_ms = 60000) {
        auto configuration = json::parse(configuration_json);
        configuration["limits"] = {{"maxHeaderBytes", max_header_bytes},
                                   {"maxBodyBytes", body_bytes},
                                   {"headerTimeoutMs", 60000},
                                   {"idleTimeoutMs", idle_timeout_ms}};
        for (auto& route : configuration["routes"]) {
            if (route.contains("timeoutMs")) {
                route["timeoutMs"] = 30000;
            }
        }
        store_.put("keyed.op", "config", configuration.dump());
        start_node("n1");
        ASSERT_TRUE(wait_until_ready("n1"));
        ASSERT_TRUE(run_until([&] { return is_lookup_answered(); }));
    }

    /// Sends an ordinary request. Returns whether it is answered.
    bool is_lookup_answered() {
        const auto id = "ordinary" + std::to_string(++lookups_);
        return call("n1", "GET", "/look/x", {{"Request-Id", id}}).status == 200;
    }

    void add_client(byte_source source, std::size_t port_index = 0) {
        crowd_.push_back(std::make_unique<misbehaving_client>(
            io_, base::endpoint{"127.0.0.1", ports_.at("n1").at(port_index)},
            std::move(source)));
    }

    /// Adds a client whose body stops one chunk before its end.
    void add_unfinished_body(std::size_t chunk_bytes, std::size_t body_bytes,
                             std::size_t port_index = 0) {
        const auto chunk = make_chunk(std::string(chunk_bytes, 'x'));
        // Tiny chunks are sent many at a time.
        const auto per_write = std::max<std::size_t>(1, 16 * kib / chunk_bytes);
        std::string piece;
        for (std::size_t n = 0; n < per_write; ++n) {
            piece += chunk;
        }
        const auto chunks = body_bytes / chunk_bytes - 1;
        add_client(
            send_in_order(send_once(make_head(next_id(), "/look/x", chunked)),
                          send_repeatedly(piece, chunks / per_write)),
            port_index);
    }

    std::string next_id() { return "crowd" + std::to_string(crowd_.size()); }

    /// Runs until each client has sent what it will, or its connection ended.
    /// Ordinary requests are sent meanwhile.
    void run_crowd() {
        EXPECT_TRUE(run_until([&] {
            is_lookup_answered();
            return !nodes_.at("n1")->is_running() ||
                   std::all_of(crowd_.begin(), crowd_.end(),
                               [](const auto& c) { return c->is_done(); });
        }));
    }

    /// Checks the node while the crowd's connections are open, and after they
    /// were closed.
    void expect_unharmed(std::size_t max_descriptors = max_sockets) {
        EXPECT_TRUE(run_until([&] { return is_lookup_answered(); }));
        EXPECT_LE(open_descriptors("n1"), max_descriptors);
        crowd_.clear();
        EXPECT_TRUE(run_until([&] { return is_lookup_answered(); }));
        EXPECT_TRUE(nodes_.at("n1")->is_running());
        EXPECT_LE(peak_bytes("n1"), machine_bytes);
        std::printf("peak %zu MB\n", peak_bytes("n1") / 1000 / 1000);
        // What the node opens by itself: to the store and to the servers.
        constexpr std::size_t own_descriptors = 64;
        EXPECT_TRUE(run_until(
            [&] { return open_descriptors("n1") <= own_descriptors; }));
    }

    /// Plays four clients whose chunked body has this beginning and then so
    /// many pieces that none of them ends it.
    void expect_unharmed_by_endless(const std::string& begin,
                                    const std::string& piece) {
        start(small_body_bytes);
        for (int n = 0; n < 4; ++n) {
            add_client(send_in_order(
                send_once(make_head(next_id(), "/look/x", chunked) + begin),
                send_repeatedly(piece, 1024)));
        }
        run_crowd();
        expect_unharmed();
    }

    /// Checks that a client within the limits got no response but one that
    /// promises that its request did not run, and that it did not run.
    void expect_only_promises() {
        const std::set<int> promises{0, 408, 429, 503};
        for (const auto& c : crowd_) {
            EXPECT_EQ(promises.count(c->status()), 1U) << c->received();
        }
        for (const auto& id : lookup_server_.executed_ids()) {
            EXPECT_NE(id.compare(0, 5, "crowd"), 0) << id;
        }
    }

    /// Sends a whole request, with a pause between two pieces, and checks that
    /// it is served.
    void expect_served(byte_source source, base::millis pause_ms = 0) {
        crowd_.push_back(std::make_unique<misbehaving_client>(
            io_, base::endpoint{"127.0.0.1", ports_.at("n1").at(0)},
            std::move(source), pause_ms));
        auto& client = *crowd_.back();
        EXPECT_TRUE(run_until(
            [&] { return client.status() != 0 || client.is_closed(); }));
        EXPECT_EQ(client.status(), 200) << client.received();
    }

    std::vector<std::unique_ptr<misbehaving_client>> crowd_;
    int lookups_ = 0;
};

// Guards against a parser that keeps trailer lines until the last one.
TEST_F(entry_crowd_test, trailers_of_many_lines_without_end) {
    std::string lines;
    while (lines.size() < 64 * kib) {
        lines += "x-trailer: some text\r\n";
    }
    expect_unharmed_by_endless("2\r\nhi\r\n0\r\n", lines);
}

// Guards against a parser that keeps a line until its end.
TEST_F(entry_crowd_test, trailers_of_one_line_without_end) {
    expect_unharmed_by_endless("2\r\nhi\r\n0\r\nx: ",
                               std::string(64 * kib, 'x'));
}

// Guards against a parser that keeps the extension of a chunk until its end.
TEST_F(entry_crowd_test, chunk_extensions_without_end) {
    expect_unharmed_by_endless("2;x=", std::string(64 * kib, 'x'));
}

// Guards against bodies without a length that are in no account.
TEST_F(entry_crowd_test, unfinished_bodies_in_large_chunks) {
    start(small_body_bytes);
    for (int n = 0; n < 60; ++n) {
        add_unfinished_body(mib, small_body_bytes);
    }
    run_crowd();
    expect_only_promises();
    expect_unharmed();
}

// Guards against bodies without a length that are in no account.
TEST_F(entry_crowd_test, unfinished_bodies_in_chunks_of_64_kib) {
    start(small_body_bytes);
    for (int n = 0; n < 100; ++n) {
        add_unfinished_body(64 * kib, 6 * mib);
    }
    run_crowd();
    expect_only_promises();
    expect_unharmed();
}

// Guards against bodies without a length that are in no account.
TEST_F(entry_crowd_test, unfinished_bodies_in_chunks_of_one_byte) {
    start(small_body_bytes);
    for (int n = 0; n < 100; ++n) {
        add_unfinished_body(1, 2 * mib);
    }
    run_crowd();
    expect_only_promises();
    expect_unharmed();
}

// Guards against bodies with a length that is announced and never sent whole.
TEST_F(entry_crowd_test, unfinished_bodies_with_a_length) {
    start(small_body_bytes);
    for (int n = 0; n < 60; ++n) {
        const auto length = length_field(small_body_bytes);
        add_client(
            send_in_order(send_once(make_head(next_id(), "/look/x", length)),
                          send_repeatedly(std::string(64 * kib, 'x'), 64)));
    }
    // Bodies that wait for room are not read.
    EXPECT_TRUE(run_until([&] {
        return std::count_if(crowd_.begin(), crowd_.end(),
                             [](const auto& c) { return c->is_done(); }) > 0;
    }));
    const auto body = std::string(256 * kib, 'x');
    EXPECT_TRUE(run_until([&] {
        return call("n1", "POST", "/look/x", {{"Request-Id", "large"}}, body)
                   .status == 200;
    }));
    expect_only_promises();
    expect_unharmed();
}

// Guards against an account of one server of the process.
TEST_F(entry_crowd_test, unfinished_bodies_at_all_ports) {
    start(small_body_bytes);
    for (std::size_t n = 0; n < 80; ++n) {
        add_unfinished_body(mib, small_body_bytes, n % 4);
    }
    run_crowd();
    expect_unharmed();
}

// Guards against requests in no account that are read before the response to
// the one before.
TEST_F(entry_crowd_test, unfinished_bodies_behind_requests_in_flight) {
    start(small_body_bytes);
    lookup_server_.set_service_time_ms(20000);
    const auto chunk = make_chunk(std::string(mib, 'x'));
    for (int n = 0; n < 40; ++n) {
        const auto first =
            "GET /look/x HTTP/1.1\r\nHost: h\r\nRequest-Id: first" +
            std::to_string(n) + "\r\n\r\n";
        add_client(send_in_order(
            send_once(first + make_head(next_id(), "/look/x", chunked)),
            send_repeatedly(chunk, 7)));
    }
    EXPECT_TRUE(run_until([&] {
        return std::all_of(crowd_.begin(), crowd_.end(),
                           [](const auto& c) { return c->is_done(); });
    }));
    lookup_server_.set_service_time_ms(0);
    expect_unharmed();
}

// Guards against a buffer for each connection that is in no account.
TEST_F(entry_crowd_test, unfinished_small_bodies_on_many_connections) {
    start(small_body_bytes);
    constexpr int clients = 2500;
    for (int n = 0; n < clients; ++n) {
        add_client(send_in_order(
            send_once(make_head(next_id(), "/look/x", length_field(64 * kib))),
            send_once(std::string(64 * kib - 1, 'x'))));
    }
    run_crowd();
    expect_only_promises();
    expect_unharmed(clients + max_sockets);
}

// Guards against heads whose many fields take far more than their bytes.
TEST_F(entry_crowd_test, heads_of_many_fields_in_flight) {
    start(small_body_bytes);
    lookup_server_.set_service_time_ms(20000);
    for (int n = 0; n < 800; ++n) {
        auto head = make_head(next_id(), "/look/x", length_field(0));
        head.resize(head.size() - 2);
        while (head.size() < max_header_bytes - 8) {
            head += "a:b\r\n";
        }
        add_client(send_once(head + "\r\n"));
    }
    EXPECT_TRUE(run_until([&] {
        return std::all_of(crowd_.begin(), crowd_.end(),
                           [](const auto& c) { return c->is_done(); });
    }));
    // An ordinary request finds room beside those in flight.
    EXPECT_TRUE(run_until(
        [&] { return call("n1", "GET", "/none/", {}).status == 404; }));
    lookup_server_.set_service_time_ms(0);
    expect_unharmed(800 * 2 + max_sockets);
}

// Guards against jobs that are parsed into a tree before they are checked.
TEST_F(entry_crowd_test, a_job_whose_items_are_none) {
    start(max_body_bytes);
    for (const std::string item : {"[],", "0,", "{},", "\"\","}) {
        std::string body = R"({"step":0,"items":[)";
        while (body.size() < max_body_bytes - 64) {
            body += item;
        }
        body.back() = ']';
        body += "}";
        const auto head =
            make_head(next_id(), "/batch/1", length_field(body.size()));
        add_client(send_once(head + body));
        auto& client = *crowd_.back();
        EXPECT_TRUE(run_until(
            [&] { return client.status() != 0 || client.is_closed(); }));
        EXPECT_EQ(client.status(), 400) << item << client.received();
    }
    expect_unharmed();
}

// Guards against members that nobody reads and that are kept in a tree.
TEST_F(entry_crowd_test, jobs_with_large_unknown_members) {
    start(max_body_bytes);
    std::string values;
    while (values.size() < max_body_bytes - kib) {
        values += "[],";
    }
    values.back() = ']';
    const auto item = json::parse(make_job_body("i"))["items"][0].dump();
    const auto body_start = R"({"step":0,"model":"m","items":[)" + item;
    const std::vector<std::string> bodies{
        body_start + R"(],"other":[)" + values + "}",
        body_start.substr(0, body_start.size() - 1) + R"(,"other":[)" + values +
            "}]}",
        body_start.substr(0, body_start.size() - 1) + R"(,"headers":{"a":[)" +
            values + "}}]}"};
    for (const auto& body : bodies) {
        const auto head =
            make_head(next_id(), "/batch/1", length_field(body.size()));
        add_client(send_once(head + body));
        auto& client = *crowd_.back();
        EXPECT_TRUE(run_until(
            [&] { return client.status() != 0 || client.is_closed(); }));
    }
    expect_unharmed();
}

// Guards against a crowd that leaves no descriptor for an ordinary caller.
TEST_F(entry_crowd_test, idle_connections_without_end) {
    {
        const open_file_limit limit(max_sockets + file_descriptors);
        start(small_body_bytes);
    }
    for (int n = 0; n < 900; ++n) {
        const bool has_begun = n % 2 == 0;
        add_client(send_once(has_begun ? "GET /look/x HTTP/1.1\r\nHost:" : ""));
    }
    EXPECT_TRUE(run_until([&] { return is_lookup_answered(); }));
    run_crowd();
    expect_unharmed();
}

// Guards against a crowd at one port that leaves no descriptor for the others.
TEST_F(entry_crowd_test, idle_connections_at_the_other_ports) {
    {
        const open_file_limit limit(max_sockets + file_descriptors);
        start(small_body_bytes);
    }
    for (std::size_t n = 0; n < 900; ++n) {
        add_client(send_once("GET /x HTTP/1.1\r\nHost:"), 1 + n % 3);
    }
    run_crowd();
    expect_unharmed();
}

// Single requests within the limits are served, also on the smallest machine.
TEST_F(entry_crowd_test, single_large_requests_are_served) {
    start(max_body_bytes);
    const auto head = [&](const std::string& framing) {
        return send_once(make_head(next_id(), "/look/x", framing));
    };
    const auto end = [] { return send_once("0\r\n\r\n"); };
    const std::string piece(64 * kib, 'x');
    const auto whole = max_body_bytes / piece.size();
    expect_served(send_in_order(head(length_field(max_body_bytes)),
                                send_repeatedly(piece, whole)));
    expect_served(send_in_order(
        head(chunked),
        send_in_order(send_once(make_chunk(std::string(max_body_bytes, 'x'))),
                      end())));
    expect_served(send_in_order(
        head(chunked),
        send_in_order(send_repeatedly(make_chunk(piece), whole), end())));
    std::string small_chunks;
    while (small_chunks.size() < piece.size()) {
        small_chunks += make_chunk(std::string(16, 'x'));
    }
    const auto chunk_bytes = make_chunk(std::string(16, 'x')).size();
    const auto repeats =
        max_body_bytes / (small_chunks.size() / chunk_bytes * 16);
    expect_served(send_in_order(
        head(chunked),
        send_in_order(send_repeatedly(small_chunks, repeats), end())));
    expect_served(send_in_order(
        head(chunked),
        send_in_order(send_repeatedly(make_chunk("x"), 256 * kib), end())));
    constexpr base::millis pause_ms = 8;
    expect_served(
        send_in_order(
            head(chunked),
            send_in_order(send_repeatedly(make_chunk(piece), whole), end())),
        pause_ms);
    expect_served(send_in_order(
        head(chunked),
        send_in_order(send_repeatedly(make_chunk(piece), whole),
                      send_once("0\r\nx-trailer: some text\r\n\r\n"))));
    expect_unharmed();
}

// A single job within the limits is accepted, also on the smallest machine.
TEST_F(entry_crowd_test, a_single_large_job_is_accepted) {
    start(max_body_bytes);
    const auto content = std::string(100 * kib, 'A');
    auto job = json::parse(make_job_body("i", 1, content));
    const auto first = job["items"][0];
    for (int n = 0; n < 305; ++n) {
        auto item = first;
        item["id"] = "more" + std::to_string(n);
        item["scorer"]["id"] = "smore" + std::to_string(n);
        job["items"].push_back(std::move(item));
    }
    const auto body = job.dump();
    ASSERT_GT(body.size(), max_body_bytes - mib);
    ASSERT_LE(body.size(), max_body_bytes);
    EXPECT_TRUE(run_until([&] {
        return call("n1", "POST", "/batch/1", {{"Request-Id", "job1"}}, body)
                   .status == 202;
    }));
    expect_unharmed();
}

// A body over the limit is refused, in whatever form it comes.
TEST_F(entry_crowd_test, a_body_over_the_limit_is_refused) {
    start(small_body_bytes);
    const std::string piece(64 * kib, 'x');
    add_client(send_in_order(
        send_once(make_head(next_id(), "/look/x",
                            length_field(small_body_bytes + 1))),
        send_repeatedly(piece, small_body_bytes / piece.size() + 1)));
    add_client(
        send_in_order(send_once(make_head(next_id(), "/look/x", chunked)),
                      send_repeatedly(make_chunk(piece),
                                      small_body_bytes / piece.size() + 1)));
    run_crowd();
    EXPECT_TRUE(run_until([&] {
        return std::all_of(crowd_.begin(), crowd_.end(),
                           [](const auto& c) { return c->status() != 0; });
    }));
    for (const auto& c : crowd_) {
        EXPECT_EQ(c->status(), 413);
    }
    expect_unharmed();
}

} // namespace

} // namespace hibiscus::testing
