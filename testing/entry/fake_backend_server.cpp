#include "entry/fake_backend_server.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <utility>

namespace hibiscus::testing {

namespace {

using json = nlohmann::json;

std::string header_value(const transport::inbound_request& r,
                         const char* name) {
    const auto* value = transport::find_header(r.fields, name);
    return value == nullptr ? std::string() : *value;
}

/// The bytes of an event of a request whose id begins with "big": with 30
/// events, the text is larger than a record of the store.
constexpr std::size_t big_event_bytes = 12000;

std::string make_event(const std::string& id, int number) {
    const bool big = id.compare(0, 3, "big") == 0;
    return id + "." + std::to_string(number) +
           std::string(big ? big_event_bytes : 0, 'x');
}

} // namespace

fake_backend_server::fake_backend_server(boost::asio::io_context& io,
                                         std::string id, int events,
                                         int event_ms)
    : io_(io), id_(std::move(id)), events_(events),
      event_interval_ms_(event_ms),
      server_(io, {}, [this](const auto& r, auto e) { handle(r, e); }) {
    address_ = *server_.listen({"127.0.0.1", 0});
}

std::string fake_backend_server::expected_text(const std::string& id,
                                               int events) {
    std::string out;
    for (int n = 1; n <= events; ++n) {
        out += (n > 1 ? "\n" : "") + make_event(id, n);
    }
    return out;
}

std::string fake_backend_server::make_registration(const std::string& service,
                                                   bool tokens) const {
    json e{{"service", service}, {"address", to_string(address_)},
           {"zone", "z"},        {"version", "v1"},
           {"slots", 4},         {"state", "ready"},
           {"coldLeftMs", 0},    {"seq", 1},
           {"born", 1}};
    if (tokens) {
        e["models"] = {{{"name", "m"}, {"version", weight_version_}}};
    }
    return e.dump();
}

void fake_backend_server::handle(const transport::inbound_request& request,
                                 const exchange_ptr& to) {
    const auto id = header_value(request, "Request-Id");
    const auto expected = header_value(request, "Expect-Instance");
    if (!expected.empty() && expected != id_) {
        to->send({421, {{"Instance-Id", id_}}, ""});
    } else if (request.target == "/report") {
        to->send(
            {200,
             {},
             json{{"seq", accepted_orders_},
                  {"busy", false},
                  {"models", {{{"name", "m"}, {"version", weight_version_}}}}}
                 .dump()});
    } else if (request.target == "/order") {
        const auto order = json::parse(request.body);
        const bool next = order.at("precondition") == accepted_orders_;
        if (next) {
            ++accepted_orders_;
            weight_version_ = order.at("version").get<std::int64_t>();
        }
        to->send({next ? 202 : 409, {}, ""});
    } else if (header_value(request, "Model").empty()) {
        ++run_count_;
        executed_ids_.insert(id);
        response_plain_request(id, to);
    } else {
        ++run_count_;
        executed_ids_.insert(id);
        to->send_head(200,
                      {{"Request-Id", id},
                       {"Response-Stamp", "of-" + id},
                       {"Weight-Versions", std::to_string(weight_version_)}});
        send_events({id, abort_count_, weight_version_, to},
                    std::atoi(header_value(request, "Last-Event-Id").c_str()) +
                        1);
    }
}

void fake_backend_server::response_plain_request(const std::string& id,
                                                 const exchange_ptr& to) {
    if (silent_) {
        open_exchanges_.push_back(to);
        return;
    }
    if (dropping_responses_) {
        to->abort();
        return;
    }
    const auto respond = [id, to] {
        to->send({200,
                  {{"Request-Id", id}, {"Response-Stamp", "of-" + id}},
                  "answer to " + id});
    };
    if (service_time_ms_ == 0) {
        respond();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(service_time_ms_));
    timer->async_wait([timer, respond](auto error) {
        if (!error) {
            respond();
        }
    });
}

void fake_backend_server::send_events(stream s, int next) {
    if (s.abort_count != abort_count_) {
        s.exchange->write("id: " + std::to_string(next) + "\ndata: half of ");
        s.exchange->abort();
        return;
    }
    if (next > events_) {
        s.exchange->finish();
        return;
    }
    std::string event;
    if (std::exchange(s.announced_version, weight_version_) !=
        weight_version_) {
        event = "weight-versions: " + std::to_string(weight_version_) + "\n";
    }
    if (s.id.compare(0, 4, "noid") != 0) {
        event += "id: " + std::to_string(next) + "\n";
    }
    s.exchange->write(event + "data: " + make_event(s.id, next) + "\n\n");
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(event_interval_ms_));
    timer->async_wait([this, timer, s = std::move(s), next](auto error) {
        if (!error) {
            send_events(s, next + 1);
        }
    });
}

} // namespace hibiscus::testing
