#include "entry/fake_duty_api.hpp"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>

namespace hibiscus::testing {

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds late_execution_delay{700};

std::string header_value(const transport::inbound_request& request,
                         const char* name) {
    const auto* value = transport::find_header(request.fields, name);
    return value == nullptr ? std::string() : *value;
}

} // namespace

fake_duty_api::fake_duty_api(boost::asio::io_context& io)
    : io_(io), server_(io, {}, [this](const auto& request, auto writer) {
          handle(request, writer);
      }) {
    address_ = *server_.listen({"127.0.0.1", 0});
}

std::map<std::string, std::int64_t> fake_duty_api::total_usage() const {
    std::map<std::string, std::int64_t> total;
    for (const auto& report : reports_) {
        for (const auto& [workspace, count] : report.second) {
            total[workspace] += count;
        }
    }
    return total;
}

void fake_duty_api::handle(const transport::inbound_request& request,
                           const response_writer_ptr& writer) {
    ++call_count_;
    switch (behavior_) {
    case duty_api_behavior::responds:
        writer->send({execute(request), {}, ""});
        break;
    case duty_api_behavior::rejects:
        writer->send({call_count_ % 2 == 0 ? 429 : 503, {}, ""});
        break;
    case duty_api_behavior::silent:
        unfinished_responses_.push_back(writer);
        break;
    case duty_api_behavior::executes_late:
        unfinished_responses_.push_back(writer);
        auto timer = std::make_shared<boost::asio::steady_timer>(
            io_, late_execution_delay);
        timer->async_wait([this, timer, request](auto error) {
            if (!error) {
                execute(request);
            }
        });
        break;
    }
}

int fake_duty_api::execute(const transport::inbound_request& request) {
    const auto holder = header_value(request, "Duty-Holder");
    const auto token = std::strtoll(
        header_value(request, "Fencing-Token").c_str(), nullptr, 10);
    if (holder.empty() || token <= 0) {
        violation_ = "call without holder or token";
        return 400;
    }
    auto& highest_token = highest_tokens_[request.target];
    if (fenced_ || token < highest_token) {
        return 409;
    }
    highest_token = token;
    const auto user = holder_by_token_.emplace(token, holder);
    if (user.first->second != holder) {
        violation_ = "two holders use one token";
    }
    const auto body = json::parse(request.body);
    if (request.target == "/scale" && exhausted_) {
        ++refused_orders_;
        return 409;
    }
    if (request.target == "/scale") {
        scaling_orders_.push_back({holder, body.at("service"), body.at("zone"),
                                   body.at("targetGroups")});
        return 200;
    }
    const auto window = body.at("window").get<std::int64_t>();
    const auto counts =
        body.at("counts").get<std::map<std::string, std::int64_t>>();
    const auto first = reports_.emplace(window, counts);
    if (first.first->second != counts) {
        violation_ = "two reports of window " + std::to_string(window) +
                     " with different counts";
    }
    return 200;
}

} // namespace hibiscus::testing
