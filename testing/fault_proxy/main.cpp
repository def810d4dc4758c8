// A TCP proxy that a test puts between two parties and tells to fail. Its
// faults are those of a network: it does not change, reorder or repeat bytes.
//
// GET  /v1/proxy  {"address": "IP:PORT", "links": N}
// POST /v1/cut    closes all open connections
// POST /v1/freeze makes all open connections silent; new ones work
// POST /v1/rule   sets what happens to new connections, see rule

#include "fault_proxy/proxied_connection.hpp"
#include "support/fake_server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <list>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "where to take orders");
ABSL_FLAG(std::string, listen, "127.0.0.1:0", "where to accept connections");
ABSL_FLAG(std::string, target, "", "where connections go to");

namespace hibiscus::testing {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using tcp = asio::ip::tcp;

tcp::endpoint parse_tcp_endpoint(const std::string& text) {
    const auto e = base::parse_endpoint(text).value_or(base::endpoint{});
    return {asio::ip::make_address(e.ip), e.port};
}

/// Reads a rule from a test's order; what is left out has no effect.
fault_rule parse_rule(const json& order) {
    fault_rule r;
    r.refuse_connections = order.value("refuse", false);
    r.delay_ms = order.value("delay_ms", base::millis{0});
    r.bytes_to_target = order.value("to_target", std::int64_t{-1});
    r.bytes_to_client = order.value("to_client", std::int64_t{-1});
    r.connections_left = order.value("times", -1);
    const auto action = order.value("action", std::string("cut"));
    r.action =
        base::from_name<fault_action>(action).value_or(fault_action::cut);
    return r;
}

/// The whole proxy. Runs in one thread.
class fault_proxy {
public:
    fault_proxy(asio::io_context& io, const std::string& listen,
                const std::string& target)
        : io_(io), acceptor_(io), address_(parse_tcp_endpoint(listen)),
          target_(parse_tcp_endpoint(target)) {
        start_listening();
    }

    /// Handles one order of a test.
    void handle(const net::http_request& request,
                const net::http_responder& respond) {
        const auto order = json::parse(request.body, nullptr, false);
        if (request.target == "/v1/cut") {
            for_each_connection([](proxied_connection& l) { l.close(); });
        } else if (request.target == "/v1/freeze") {
            for_each_connection([](proxied_connection& l) { l.freeze(); });
        } else if (request.target == "/v1/rule" && order.is_object()) {
            set_rule(parse_rule(order));
        } else if (request.target != "/v1/proxy") {
            respond({404, "{}"});
            return;
        }
        respond({200, state_json()});
    }

private:
    std::string state_json() {
        std::size_t open = 0;
        for_each_connection(
            [&](proxied_connection& l) { open += l.is_closed() ? 0 : 1; });
        const base::endpoint at{address_.address().to_string(),
                                address_.port()};
        return json{{"address", base::to_string(at)},
                    {"links", open},
                    {"accepted", accepted_count_}}
            .dump();
    }

    void start_listening() {
        acceptor_.open(address_.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(address_);
        acceptor_.listen();
        address_ = acceptor_.local_endpoint();
        accept();
    }

    void set_rule(const fault_rule& r) {
        rule_ = r;
        if (rule_.refuse_connections && acceptor_.is_open()) {
            acceptor_.close();
        } else if (!rule_.refuse_connections && !acceptor_.is_open()) {
            start_listening();
        }
    }

    void accept() {
        acceptor_.async_accept(
            [this](const boost::system::error_code& error, tcp::socket client) {
                if (error) {
                    return;
                }
                ++accepted_count_;
                auto l = std::make_shared<proxied_connection>(
                    io_, std::move(client), take_rule());
                connections_.push_back(l);
                l->start(target_);
                accept();
            });
    }

    /// Returns the rule of the next connection, and counts it down.
    fault_rule take_rule() {
        if (rule_.connections_left == 0) {
            return {};
        }
        if (rule_.connections_left > 0) {
            --rule_.connections_left;
        }
        return rule_;
    }

    template <class F>
    void for_each_connection(F f) {
        connections_.remove_if([](const std::weak_ptr<proxied_connection>& l) {
            return l.expired();
        });
        for (const auto& weak : connections_) {
            if (auto l = weak.lock()) {
                f(*l);
            }
        }
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    tcp::endpoint address_;
    tcp::endpoint target_;
    fault_rule rule_;
    std::list<std::weak_ptr<proxied_connection>> connections_;
    int accepted_count_ = 0;
};

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    using hibiscus::testing::fault_proxy;
    return hibiscus::testing::run_fake_server(
        absl::GetFlag(FLAGS_address), [](boost::asio::io_context& io) {
            auto proxy = std::make_shared<fault_proxy>(
                io, absl::GetFlag(FLAGS_listen), absl::GetFlag(FLAGS_target));
            return [proxy](const hibiscus::net::http_request& request,
                           const hibiscus::net::http_responder& respond) {
                proxy->handle(request, respond);
            };
        });
}
