// A TCP proxy that a test puts between two programs to inject network faults.
// Like a TCP connection it does not change, reorder or repeat bytes.
//
// GET  /v1/proxy  only returns the state
// POST /v1/cut    closes all open connections
// POST /v1/freeze stops forwarding on all open connections, but not on new ones
// POST /v1/rule   sets the fault_rule of new connections, see parse_rule()
//
// All four respond with {"address": "IP:PORT", "links": N, "accepted": N}:
// `links` is the number of open connections, `accepted` the number of
// connections accepted since startup.

#include "fault_proxy/proxied_connection.hpp"
#include "support/fake_server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <list>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "address of the control API");
ABSL_FLAG(std::string, listen, "127.0.0.1:0",
          "address to accept connections on");
ABSL_FLAG(std::string, target, "", "address to forward connections to");

namespace hibiscus::testing {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using tcp = asio::ip::tcp;

tcp::endpoint parse_tcp_endpoint(const std::string& text) {
    const auto parsed = base::parse_endpoint(text).value_or(base::endpoint{});
    return {asio::ip::make_address(parsed.ip), parsed.port};
}

/// Parses the body of a /v1/rule request. Missing fields inject no fault; an
/// unknown action means "cut".
fault_rule parse_rule(const json& command) {
    fault_rule rule;
    rule.refuse_connections = command.value("refuse", false);
    rule.delay_ms = command.value("delay_ms", base::millis{0});
    rule.bytes_to_target = command.value("to_target", std::int64_t{-1});
    rule.bytes_to_client = command.value("to_client", std::int64_t{-1});
    rule.connections_left = command.value("times", -1);
    const auto action = command.value("action", std::string("cut"));
    rule.action =
        base::from_name<fault_action>(action).value_or(fault_action::cut);
    return rule;
}

/// The proxy and its control API. Runs in one thread.
class fault_proxy {
public:
    fault_proxy(asio::io_context& io, const std::string& listen,
                const std::string& target)
        : io_(io), acceptor_(io), address_(parse_tcp_endpoint(listen)),
          target_(parse_tcp_endpoint(target)) {
        start_listening();
    }

    /// Handles a request to the control API.
    void handle(const net::http_request& request,
                const net::http_responder& respond) {
        const auto command = json::parse(request.body, nullptr, false);
        if (request.target == "/v1/cut") {
            for_each_connection(
                [](proxied_connection& connection) { connection.close(); });
        } else if (request.target == "/v1/freeze") {
            for_each_connection(
                [](proxied_connection& connection) { connection.freeze(); });
        } else if (request.target == "/v1/rule" && command.is_object()) {
            set_rule(parse_rule(command));
        } else if (request.target != "/v1/proxy") {
            respond({404, "{}"});
            return;
        }
        respond({200, state_json()});
    }

private:
    std::string state_json() {
        std::size_t open_count = 0;
        for_each_connection([&](proxied_connection& connection) {
            open_count += connection.is_closed() ? 0 : 1;
        });
        const base::endpoint address{address_.address().to_string(),
                                     address_.port()};
        return json{{"address", base::to_string(address)},
                    {"links", open_count},
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

    void set_rule(const fault_rule& rule) {
        rule_ = rule;
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
                auto connection = std::make_shared<proxied_connection>(
                    io_, std::move(client), take_rule());
                connections_.push_back(connection);
                connection->start(target_);
                accept();
            });
    }

    /// Returns the rule for the next connection and decrements its
    /// `connections_left`.
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
    void for_each_connection(F function) {
        connections_.remove_if(
            [](const std::weak_ptr<proxied_connection>& connection) {
                return connection.expired();
            });
        for (const auto& weak : connections_) {
            if (auto connection = weak.lock()) {
                function(*connection);
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
