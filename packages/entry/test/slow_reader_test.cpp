#include "forwarder.hpp"
#include "forwarder_harness.hpp"

#include <boost/asio/read.hpp>
#include <gtest/gtest.h>

#include <cstdio>

namespace hibiscus::entry {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int slow_callers = 200;
constexpr std::size_t response_bytes = 768 * 1024;
constexpr std::size_t unsigned_response_bytes = 12 * 1024 * 1024;
constexpr std::size_t max_held_bytes = 8 * 1024 * 1024;
constexpr std::size_t slow_read_bytes = 1024;

/// A backend server that sends `response_bytes` to any request for "/large" as
/// fast as they are read, and a few to others.
class large_server {
public:
    explicit large_server(asio::io_context& io)
        : server_(
              io, {},
              [](auto request, auto response) { respond(request, response); },
              {"Request-Id", [this](const auto&) { ++aborted_; }}) {
        address = *server_.listen({"127.0.0.1", 0});
    }

    /// Returns how many responses ended before they were sent completely.
    int aborted() const { return aborted_; }

    base::endpoint address;

private:
    using shared_writer = std::shared_ptr<transport::response_writer>;

    static void respond(const transport::inbound_request& request,
                        const shared_writer& response) {
        transport::headers fields;
        const bool is_signed =
            request.target.find("unsigned") == std::string::npos;
        if (is_signed) {
            fields.push_back({"Response-Stamp", "s"});
        }
        if (const auto* id =
                transport::find_header(request.fields, "Request-Id")) {
            fields.push_back({"Request-Id", *id});
        }
        if (request.target.find("large") == std::string::npos) {
            response->send({200, fields, "small"});
            return;
        }
        response->send_head(200, fields);
        auto left = std::make_shared<std::size_t>(
            is_signed ? response_bytes : unsigned_response_bytes);
        response->on_room([response, left] { send_more(*response, *left); });
        send_more(*response, *left);
    }

    static void send_more(transport::response_writer& response,
                          std::size_t& left) {
        const std::string part(8 * 1024, 'x');
        while (left > 0 && !response.is_full()) {
            response.write(part);
            left -= part.size();
            if (left == 0) {
                response.finish();
                return;
            }
        }
    }

    int aborted_ = 0;
    transport::streaming_http_server server_;
};

/// A caller with a small receive buffer that reads when told to.
class raw_caller {
public:
    raw_caller(asio::io_context& io, const base::endpoint& address)
        : socket_(io, tcp::v4()) {
        socket_.set_option(asio::socket_base::receive_buffer_size(4096));
        socket_.connect(
            tcp::endpoint(asio::ip::address_v4::loopback(), address.port));
        socket_.non_blocking(true);
    }

    void request(const std::string& target) {
        received_.clear();
        asio::write(socket_, asio::buffer("GET " + target +
                                          " HTTP/1.1\r\nHost: h\r\n"
                                          "Request-Id: " +
                                          target + "\r\n\r\n"));
    }

    void read(std::size_t max_bytes) {
        std::vector<char> bytes(max_bytes);
        boost::system::error_code error;
        const auto n = socket_.read_some(asio::buffer(bytes), error);
        received_.append(bytes.data(), n);
    }

    bool has(const std::string& text) const {
        return received_.find(text) != std::string::npos;
    }

    std::size_t bytes_read() const { return received_.size(); }

private:
    tcp::socket socket_;
    std::string received_;
};

class slow_reader_test : public ::testing::Test {
protected:
    slow_reader_test()
        : state_({}, {}, null_.descriptor()), backend_(io_), client_(io_),
          forwarder_(state_, client_),
          server_(io_, {},
                  [this](auto request, auto response) {
                      forward(std::move(request), std::move(response));
                  },
                  {"Request-Id", [this](const auto&) { ++aborted_; }}) {
        server_.set_buffer_limits({256 * 1024, max_held_bytes, 60000});
        address_ = *server_.listen({"127.0.0.1", 0});
        samplers::registration r;
        r.service = samplers::service_name("s");
        r.address = backend_.address;
        r.zone = base::zone_id("z");
        r.slots = 1000;
        state_.samplers.put(samplers::sampler_id("server"), r);
    }

    void forward(transport::inbound_request request,
                 std::shared_ptr<transport::response_writer> response) {
        forward_request f;
        f.http_request.target = request.target;
        f.http_request.fields = std::move(request.fields);
        f.service = samplers::service_name("s");
        f.max_attempts = 1;
        f.streaming = request.target.find("stream") != std::string::npos;
        f.retryable = !f.streaming;
        f.deadline = state_.clock.now() + 60000;
        forwarder_.forward_to_caller(std::move(f), std::move(response));
    }

    void run_for(int ms) {
        io_.restart();
        io_.run_for(std::chrono::milliseconds(ms));
    }

    hibiscus::testing::null_output null_;
    asio::io_context io_{1};
    node_state state_;
    large_server backend_;
    transport::upstream_client client_;
    forwarder forwarder_;
    int aborted_ = 0;
    transport::streaming_http_server server_;
    base::endpoint address_;
};

// Guards against whole responses in memory for callers that read 1 KB a second.
TEST_F(slow_reader_test, slow_callers_hold_a_bounded_part_beside_others) {
    std::vector<std::unique_ptr<raw_caller>> slow;
    for (int n = 0; n < slow_callers; ++n) {
        slow.push_back(std::make_unique<raw_caller>(io_, address_));
        slow.back()->request((n % 2 == 0 ? "/stream/large/" : "/plain/large/") +
                             std::to_string(n));
        run_for(1);
    }
    raw_caller other(io_, address_);
    for (int second = 0; second < 4; ++second) {
        for (auto& caller : slow) {
            caller->read(slow_read_bytes);
        }
        for (int n = 0; n < 10; ++n) {
            other.request("/plain/" + std::to_string(second * 10 + n));
            for (int tries = 0; tries < 500 && !other.has("small"); ++tries) {
                run_for(2);
                other.read(4096);
            }
            ASSERT_TRUE(other.has("200 OK") && other.has("small"));
        }
        run_for(1000);
    }
    std::printf("held at most: %zu bytes\n", server_.buffers().peak());
    EXPECT_LE(server_.buffers().peak(), max_held_bytes);
    EXPECT_EQ(aborted_, 0);
    // Whoever begins to read gets the rest.
    const auto complete = [&] {
        return std::all_of(slow.begin(), slow.end(), [](const auto& caller) {
            return caller->has("\r\n0\r\n\r\n");
        });
    };
    for (int tries = 0; tries < 20000 && !complete(); ++tries) {
        for (auto& caller : slow) {
            caller->read(64 * 1024);
        }
        run_for(1);
    }
    EXPECT_TRUE(complete());
    EXPECT_TRUE(std::all_of(slow.begin(), slow.end(), [](const auto& caller) {
        return caller->bytes_read() > response_bytes;
    }));
    EXPECT_EQ(aborted_, 0);
    EXPECT_EQ(server_.buffers().held(), 0U);
}

// A response that may not be passed on is held, but not at any size.
TEST_F(slow_reader_test, a_large_response_without_a_stamp_is_not_read_whole) {
    raw_caller caller(io_, address_);
    caller.request("/plain/large/unsigned");
    for (int tries = 0; tries < 5000 && !caller.has("HTTP/1.1"); ++tries) {
        run_for(2);
        caller.read(4096);
    }
    EXPECT_TRUE(caller.has("502"));
    run_for(100);
    EXPECT_EQ(backend_.aborted(), 1);
}

} // namespace

} // namespace hibiscus::entry
