#include "entry/token_server.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <utility>

namespace hibiscus::testing {

namespace {

using json = nlohmann::json;

std::string field(const transport::inbound_request& r, const char* name) {
    const auto* value = transport::find_header(r.fields, name);
    return value == nullptr ? std::string() : *value;
}

/// The bytes of an event of a request whose id begins with "big": with 30
/// events, the text is larger than a record of the store.
constexpr std::size_t big_event_bytes = 12000;

std::string event_of(const std::string& id, int number) {
    const bool big = id.compare(0, 3, "big") == 0;
    return id + "." + std::to_string(number) +
           std::string(big ? big_event_bytes : 0, 'x');
}

} // namespace

token_server::token_server(boost::asio::io_context& io, std::string id,
                           int events, int event_ms)
    : io_(io), id_(std::move(id)), events_(events), event_ms_(event_ms),
      server_(io, {}, [this](const auto& r, auto e) { handle(r, e); }) {
    address_ = *server_.listen({"127.0.0.1", 0});
}

std::string token_server::text_of(const std::string& id, int events) {
    std::string out;
    for (int n = 1; n <= events; ++n) {
        out += (n > 1 ? "\n" : "") + event_of(id, n);
    }
    return out;
}

std::string token_server::entry(const std::string& service, bool tokens) const {
    json e{{"service", service}, {"address", to_string(address_)},
           {"zone", "z"},        {"version", "v1"},
           {"slots", 4},         {"state", "ready"},
           {"coldLeftMs", 0},    {"seq", 1},
           {"born", 1}};
    if (tokens) {
        e["models"] = {{{"name", "m"}, {"version", version_}}};
    }
    return e.dump();
}

void token_server::handle(const transport::inbound_request& request,
                          const answer& to) {
    const auto id = field(request, "Request-Id");
    const auto expected = field(request, "Expect-Instance");
    if (!expected.empty() && expected != id_) {
        to->respond({421, {{"Instance-Id", id_}}, ""});
    } else if (request.target == "/report") {
        to->respond({200,
                     {},
                     json{{"seq", orders_},
                          {"busy", false},
                          {"models", {{{"name", "m"}, {"version", version_}}}}}
                         .dump()});
    } else if (request.target == "/order") {
        const auto order = json::parse(request.body);
        const bool next = order.at("precondition") == orders_;
        if (next) {
            ++orders_;
            version_ = order.at("version").get<std::int64_t>();
        }
        to->respond({next ? 202 : 409, {}, ""});
    } else if (field(request, "Model").empty()) {
        ++runs_;
        worked_on_.insert(id);
        work_on(id, to);
    } else {
        ++runs_;
        worked_on_.insert(id);
        to->begin(200, {{"Request-Id", id},
                        {"Response-Stamp", "of-" + id},
                        {"Weight-Versions", std::to_string(version_)}});
        run({id, breaks_, version_, to},
            std::atoi(field(request, "Last-Event-Id").c_str()) + 1);
    }
}

void token_server::work_on(const std::string& id, const answer& to) {
    if (mute_) {
        unanswered_.push_back(to);
        return;
    }
    if (losing_answers_) {
        to->abort();
        return;
    }
    const auto respond = [id, to] {
        to->respond({200,
                     {{"Request-Id", id}, {"Response-Stamp", "of-" + id}},
                     "answer to " + id});
    };
    if (work_ms_ == 0) {
        respond();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(work_ms_));
    timer->async_wait([timer, respond](auto error) {
        if (!error) {
            respond();
        }
    });
}

void token_server::run(stream s, int next) {
    if (s.breaks != breaks_) {
        s.to->write("id: " + std::to_string(next) + "\ndata: half of ");
        s.to->abort();
        return;
    }
    if (next > events_) {
        s.to->end();
        return;
    }
    std::string event;
    if (std::exchange(s.version, version_) != version_) {
        event = "weight-versions: " + std::to_string(version_) + "\n";
    }
    if (s.id.compare(0, 4, "noid") != 0) {
        event += "id: " + std::to_string(next) + "\n";
    }
    s.to->write(event + "data: " + event_of(s.id, next) + "\n\n");
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(event_ms_));
    timer->async_wait([this, timer, s = std::move(s), next](auto error) {
        if (!error) {
            run(s, next + 1);
        }
    });
}

} // namespace hibiscus::testing
