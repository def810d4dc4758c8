#include "keep_alive_caller.hpp"
#include "request_router.hpp"
#include "support/fuzz.hpp"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace hibiscus::entry {

namespace {

/// A store that rejects all calls.
store::log_store make_rejecting_store() {
    store::log_store s;
    s.append = [](const auto&, const auto&, const auto*, auto done) {
        done(store::rejected{503});
    };
    s.read = [](const auto&, auto, auto, auto done) {
        done(store::rejected{503});
    };
    s.read_latest = [](const auto&, const auto&, auto done) {
        done(store::rejected{503});
    };
    return s;
}

constexpr const char* secret_prefix = "key-";

/// Connects callers, a request_router and a backend server that records what it
/// receives.
class router_harness {
public:
    router_harness() {
        gateway::configuration c;
        c.version = 1;
        c.routes = {make_route("/closed/", gateway::route_kind::idempotent),
                    make_route("/open/", gateway::route_kind::idempotent),
                    make_route("/batch/", gateway::route_kind::batch)};
        c.routes[1].is_public = true;
        c.workspaces.emplace();
        c.workspaces->add({"one", 1}, {"key-1", "key-2"});
        c.workspaces->add({"two", std::nullopt}, {"key-3"});
        state_.configuration = std::move(c);
        add_job("of-one", "one");
        add_job("of-nobody", "");
        samplers::registration r;
        r.service = samplers::service_name("app");
        r.address = *backend_.listen({"127.0.0.1", 0});
        state_.samplers.put(samplers::sampler_id("s"), r);
        caller_ = std::make_unique<testing::keep_alive_caller>(
            io_, *server_.listen({"127.0.0.1", 0}));
    }

    ~router_harness() { ::close(output_); }
    router_harness(const router_harness&) = delete;
    router_harness& operator=(const router_harness&) = delete;

    /// Sends a request with these raw header lines, each ended by CRLF.
    testing::request_result call(const std::string& request_line,
                                 const std::string& header_lines,
                                 const std::string& body = "",
                                 const std::string& id = "q") {
        backend_requests_.clear();
        testing::queued_request r;
        r.result = std::make_shared<testing::request_result>();
        r.bytes = request_line + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
                  "\r\n" + header_lines +
                  "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body;
        auto result = r.result;
        caller_->enqueue(std::move(r));
        while (!result->done) {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(1));
        }
        return *result;
    }

    /// The headers of the requests that the last call sent to the backend
    /// server.
    const std::vector<transport::headers>& backend_requests() const {
        return backend_requests_;
    }

    void set_configuration_age(base::millis age) { configuration_age_ = age; }

    node_state& state() { return state_; }

private:
    static gateway::route make_route(const std::string& prefix,
                                     gateway::route_kind kind) {
        gateway::route r;
        r.host = "h";
        r.path_prefix = prefix;
        r.kind = kind;
        r.services = {{"app", 1}};
        return r;
    }

    void add_job(const std::string& id, const std::string& workspace) {
        batch::job_header header;
        header.id = batch::job_id(id);
        header.workspace = workspace;
        state_.jobs.apply({batch::format_key(batch::header_key{header.id}),
                           batch::encode(header), 1});
    }

    boost::asio::io_context io_{1};
    int output_ = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    node_state state_{{}, {}, output_};
    store::log_store store_ = make_rejecting_store();
    store::run_after_function run_after_ = [](base::millis,
                                              const std::function<void()>&) {};
    store::partition_watcher journal_{store_,       {"t", 0},
                                      state_.clock, run_after_,
                                      {},           {[](const auto&) {}, {}}};
    job_store job_store_{store_, 1, {}};
    transport::upstream_client client_{io_};
    forwarder forwarder_{state_, client_};
    batch_api batch_api_{state_, store_, journal_, job_store_, run_after_};
    base::millis configuration_age_ = 0;
    request_router router_{state_, forwarder_, batch_api_,
                           [this] { return configuration_age_; }};
    transport::streaming_http_server server_{
        io_, {}, [this](auto request, auto response) {
            router_.handle(std::move(request), std::move(response));
        }};
    std::vector<transport::headers> backend_requests_;
    transport::streaming_http_server backend_{
        io_, {}, [this](const auto& request, auto response) {
            backend_requests_.push_back(request.fields);
            response->send({200,
                            {{"Request-Id", "q"}, {"Response-Stamp", "s"}},
                            "answer"});
        }};
    std::unique_ptr<testing::keep_alive_caller> caller_;
};

/// Returns what is wrong with the headers that a backend server has received,
/// or "".
std::string check_backend_headers(const transport::headers& fields,
                                  const std::string& workspace) {
    std::vector<std::string> workspaces;
    for (const auto& f : fields) {
        if (f.value.find(secret_prefix) != std::string::npos) {
            return "API key in " + f.name;
        }
        if (transport::has_name(f, "Tenant")) {
            workspaces.push_back(f.value);
        }
    }
    const std::vector<std::string> expected =
        workspace.empty() ? std::vector<std::string>()
                          : std::vector<std::string>{workspace};
    return workspaces == expected ? "" : "wrong workspace";
}

class request_router_test : public ::testing::Test {
protected:
    router_harness harness_;
};

TEST_F(request_router_test, a_valid_key_is_replaced_by_its_workspace) {
    const auto r = harness_.call(
        "POST /closed/x", "Authorization: Token key-2\r\nTenant: two\r\n");
    EXPECT_EQ(r.status, 200);
    ASSERT_EQ(harness_.backend_requests().size(), 1U);
    const auto& fields = harness_.backend_requests()[0];
    EXPECT_EQ(check_backend_headers(fields, "one"), "");
    EXPECT_EQ(*transport::find_header(fields, "Request-Priority"), "1");
}

TEST_F(request_router_test, a_public_route_passes_on_no_key_and_no_workspace) {
    const auto r = harness_.call(
        "POST /open/x", "authorization: Token key-1\r\ntenant: one\r\n");
    EXPECT_EQ(r.status, 200);
    ASSERT_EQ(harness_.backend_requests().size(), 1U);
    EXPECT_EQ(check_backend_headers(harness_.backend_requests()[0], ""), "");
}

TEST_F(request_router_test, requests_without_a_valid_key_get_401) {
    for (const char* lines : {"", "Authorization: Token other\r\n",
                              "Authorization: Basic key-1\r\n"}) {
        EXPECT_EQ(harness_.call("POST /closed/x", lines).status, 401) << lines;
        EXPECT_EQ(harness_.call("POST /batch/x", lines).status, 401) << lines;
        EXPECT_EQ(harness_.call("GET /lots/of-one", lines).status, 401);
        EXPECT_EQ(harness_.call("DELETE /lots/none", lines).status, 401);
        EXPECT_TRUE(harness_.backend_requests().empty());
    }
}

// Guards against denying what a configuration may allow that the node has not
// read yet.
TEST_F(request_router_test, an_old_view_denies_neither_keys_nor_routes) {
    harness_.set_configuration_age(3001);
    EXPECT_EQ(
        harness_.call("POST /closed/x", "Authorization: Token new\r\n").status,
        503);
    EXPECT_EQ(harness_.call("POST /none/x", "").status, 503);
    EXPECT_EQ(harness_.call("POST /closed/x", "Authorization: Token key-1\r\n")
                  .status,
              200);
    harness_.state().configuration.reset();
    EXPECT_EQ(harness_.call("POST /none/x", "").status, 503);
    EXPECT_EQ(harness_.call("GET /lots/none", "").status, 503);
}

TEST_F(request_router_test, a_job_without_workspace_needs_no_key) {
    // The store is unreachable, so the results can't be read: 503, not 401.
    EXPECT_NE(harness_.call("DELETE /lots/of-nobody", "").status, 401);
}

// Guards against requests that a stopping node takes and can't answer.
TEST_F(request_router_test,
       a_late_request_is_rejected_if_it_may_outlast_a_stop) {
    auto& state = harness_.state();
    const auto grace_ms = state.settings.shutdown_grace_ms;
    state.stopping = true;
    state.stopping_since = state.clock.now() - grace_ms / 2;
    const auto limit_field = [](base::millis ms) {
        return "Deadline-Ms: " + std::to_string(ms) + "\r\n";
    };
    EXPECT_EQ(harness_.call("POST /open/x", limit_field(grace_ms)).status, 503);
    EXPECT_TRUE(harness_.backend_requests().empty());
    EXPECT_EQ(harness_.call("POST /open/x", limit_field(500)).status, 200);
    state.stopping_since = state.clock.now();
    EXPECT_EQ(harness_.call("POST /open/x", limit_field(grace_ms)).status, 200);
}

// Guards against a workspace that takes over the job of another one by
// submitting its id.
TEST_F(request_router_test, the_job_id_of_another_workspace_is_a_conflict) {
    const auto submit = [&](const char* key) {
        return harness_
            .call("POST /batch/x",
                  "Authorization: Token " + std::string(key) + "\r\n",
                  R"({"items":[]})", "of-one")
            .status;
    };
    EXPECT_EQ(submit("key-3"), 409);
    EXPECT_EQ(submit("key-2"), 202);
}

/// One header line with an API key or workspace, and what it should do.
struct header_variant {
    const char* line;
    bool is_credential;
    /// The workspace of the key if the line is valid on its own.
    const char* workspace;
};

constexpr header_variant header_variants[] = {
    {"Authorization: Token key-1", true, "one"},
    {"authorization: token key-2", true, "one"},
    {"AUTHORIZATION:\t TOKEN \t key-3 \t", true, "two"},
    {"Authorization:Token key-3", true, "two"},
    {"Authorization: Token key-1, Token key-3", true, ""},
    {"Authorization: Token key-1,key-3", true, ""},
    {"Authorization: Token key-1 key-3", true, ""},
    {"Authorization: Token", true, ""},
    {"Authorization: key-1", true, ""},
    {"Authorization: Bearer key-1", true, ""},
    {"Authorization:", true, ""},
    {"Authorization: Token key-9", true, ""},
    {"Tenant: one", false, ""},
    {"tenant: two", false, ""},
    {"TENANT:", false, ""},
    {"X-Other: 1", false, ""},
};

// Guards against header lines that pass a key on, or a workspace that is not
// the one of the key.
TEST(request_router_fuzz_test, only_the_workspace_of_the_key_is_passed_on) {
    testing::fuzz("access", 6, [&](const auto& commands) {
        router_harness harness;
        for (const auto& c : commands) {
            std::string lines;
            int credentials = 0;
            std::string workspace;
            for (const int choice : {c.a, c.b, c.c}) {
                const auto& v =
                    header_variants[static_cast<std::size_t>(choice) %
                                    std::size(header_variants)];
                lines += std::string(v.line) + "\r\n";
                credentials += v.is_credential ? 1 : 0;
                workspace += v.workspace;
            }
            const bool is_public = c.kind % 4 == 0;
            const bool is_valid = credentials == 1 && !workspace.empty();
            const auto r = harness.call(
                is_public ? "POST /open/x" : "POST /closed/x", lines);
            const int expected_status = is_public || is_valid ? 200 : 401;
            if (r.status != expected_status) {
                return "status " + std::to_string(r.status) + " for " + lines;
            }
            for (const auto& fields : harness.backend_requests()) {
                auto violation =
                    check_backend_headers(fields, is_public ? "" : workspace);
                if (!violation.empty()) {
                    return violation.append(" for ").append(lines);
                }
            }
        }
        return std::string();
    });
}

} // namespace

} // namespace hibiscus::entry
