#include "entry/fake_backend_server.hpp"

#include <boost/asio/post.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace hibiscus::testing {

namespace {

using json = nlohmann::json;

std::string header_value(const transport::inbound_request& request,
                         const char* name) {
    const auto* value = transport::find_header(request.fields, name);
    return value == nullptr ? std::string() : *value;
}

/// The padding of each event of a request whose id begins with "big". The text
/// of 30 such events exceeds the maximum record size of the store.
constexpr std::size_t big_event_bytes = 12000;

std::string make_event(const std::string& id, int number) {
    const bool is_big = id.compare(0, 3, "big") == 0;
    return id + "." + std::to_string(number) +
           std::string(is_big ? big_event_bytes : 0, 'x');
}

} // namespace

fake_backend_server::fake_backend_server(boost::asio::io_context& io,
                                         std::string id, int events,
                                         int event_interval_ms)
    : io_(io), id_(std::move(id)), events_(events),
      event_interval_ms_(event_interval_ms), address_{"127.0.0.1", 0} {
    start();
}

void fake_backend_server::start() {
    server_ = std::make_unique<transport::streaming_http_server>(
        io_, transport::http_server_limits{},
        [this, process = end_count_](const auto& request, auto writer) {
            // A connection of a process that has ended.
            if (process != end_count_) {
                break_off(writer);
                return;
            }
            handle(request, writer);
        });
    address_ = *server_->listen(address_);
    is_running_ = true;
    registration_count_ = 0;
}

void fake_backend_server::end_at_request(std::string id, int restart_ms,
                                         bool changes_id,
                                         std::function<void()> on_restart) {
    ending_request_ = std::move(id);
    restart_ms_ = restart_ms;
    changes_id_ = changes_id;
    on_restart_ = std::move(on_restart);
}

void fake_backend_server::end_process(int restart_ms, bool changes_id,
                                      bool silently,
                                      std::function<void()> on_restart) {
    restart_ms_ = restart_ms;
    changes_id_ = changes_id;
    ends_silently_ = silently;
    on_restart_ = std::move(on_restart);
    end();
}

void fake_backend_server::resume() {
    is_paused_ = false;
    for (const auto& step : std::exchange(held_steps_, {})) {
        step();
    }
}

int fake_backend_server::event_count_of(const std::string& id) const {
    return choose_event_count_ ? choose_event_count_(id) : events_;
}

void fake_backend_server::report_stream_end(const std::string& id,
                                            bool complete) {
    const auto open = open_streams_.find(id);
    if (open == open_streams_.end()) {
        return;
    }
    open_streams_.erase(open);
    if (observer_.on_end) {
        observer_.on_end(id, complete);
    }
}

void fake_backend_server::end() {
    is_running_ = false;
    while (!open_streams_.empty()) {
        report_stream_end(std::string(*open_streams_.begin()), false);
    }
    ++end_count_;
    ++abort_count_;
    accepted_order_count_ = 0;
    if (!ends_silently_) {
        boost::asio::post(io_, [this] {
            server_->abort_connections();
            server_.reset();
        });
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(restart_ms_));
    timer->async_wait([this, timer](auto error) {
        if (error) {
            return;
        }
        if (changes_id_) {
            id_ += "'";
        }
        if (server_) {
            server_->close();
            silent_servers_.push_back(std::move(server_));
        }
        start();
        on_restart_();
    });
}

void fake_backend_server::add_run(const std::string& id) {
    ++run_count_;
    run_times_.push_back(std::chrono::steady_clock::now());
    executed_ids_.insert(id);
}

int fake_backend_server::most_runs_per_second() const {
    std::ptrdiff_t most = 0;
    for (auto first = run_times_.begin(); first != run_times_.end(); ++first) {
        const auto last = std::upper_bound(first, run_times_.end(),
                                           *first + std::chrono::seconds(1));
        most = std::max(most, last - first);
    }
    return static_cast<int>(most);
}

/// Ends a response of a process that has ended.
void fake_backend_server::break_off(const response_writer_ptr& writer) {
    if (ends_silently_) {
        unfinished_responses_.push_back(writer);
    } else {
        writer->abort();
    }
}

std::string fake_backend_server::expected_text(const std::string& id,
                                               int events) {
    std::string text;
    for (int n = 1; n <= events; ++n) {
        text += (n > 1 ? "\n" : "") + make_event(id, n);
    }
    return text;
}

std::string fake_backend_server::make_registration(const std::string& service,
                                                   bool is_sampler) {
    json registration{{"service", service},
                      {"address", to_string(address_)},
                      {"zone", "z"},
                      {"version", "v1"},
                      {"slots", slots_},
                      {"state", "ready"},
                      {"coldLeftMs", warm_up_ms_},
                      {"seq", ++registration_count_},
                      {"born", end_count_ + 1}};
    if (is_sampler) {
        registration["models"] = {
            {{"name", "m"}, {"version", weight_version_}}};
    }
    return registration.dump();
}

void fake_backend_server::handle(const transport::inbound_request& request,
                                 const response_writer_ptr& writer) {
    if (is_paused_) {
        held_steps_.emplace_back(
            [this, request, writer] { handle(request, writer); });
        return;
    }
    const auto id = header_value(request, "Request-Id");
    const auto expected = header_value(request, "Expect-Instance");
    if (!expected.empty() && expected != id_) {
        writer->send({421, {{"Instance-Id", id_}}, ""});
    } else if (!id.empty() && id == ending_request_ && ending_delay_ms_ == 0) {
        end();
        break_off(writer);
    } else if (request.target == "/report") {
        writer->send(
            {200,
             {},
             json{{"seq", accepted_order_count_},
                  {"busy", false},
                  {"born", end_count_ + 1},
                  {"models", {{{"name", "m"}, {"version", weight_version_}}}}}
                 .dump()});
    } else if (request.target == "/order") {
        const auto order = json::parse(request.body);
        const bool accepted = order.at("precondition") == accepted_order_count_;
        if (accepted) {
            ++accepted_order_count_;
            weight_version_ = order.at("version").get<std::int64_t>();
        }
        writer->send({accepted ? 202 : 409, {}, ""});
    } else if (header_value(request, "Model").empty()) {
        const int status = choose_status_ ? choose_status_(id) : 200;
        if (status == 503) {
            writer->send(
                {503, {{"Request-Id", id}, {"Not-Executed", "1"}}, ""});
            return;
        }
        add_run(id);
        if (id == ending_request_) {
            start_ending_request(id, writer);
        } else {
            respond_to_plain_request(id, status, writer);
        }
    } else {
        add_run(id);
        start_stream(request, id, writer);
    }
}

void fake_backend_server::start_stream(
    const transport::inbound_request& request, const std::string& id,
    const response_writer_ptr& writer) {
    writer->send_head(200,
                      {{"Request-Id", id},
                       {"Response-Stamp", "of-" + id},
                       {"Weight-Versions", std::to_string(weight_version_)}});
    const int first_event =
        std::atoi(header_value(request, "Last-Event-Id").c_str()) + 1;
    const stream started{id, first_event, abort_count_, weight_version_,
                         writer};
    writer->on_disconnect([this, id, process = end_count_,
                           alive = std::weak_ptr<bool>(alive_),
                           is_dropped = started.is_dropped] {
        *is_dropped = true;
        if (!alive.expired() && process == end_count_) {
            report_stream_end(id, false);
        }
    });
    open_streams_.insert(id);
    if (observer_.on_begin) {
        observer_.on_begin(id);
    }
    if (id == ending_request_) {
        end_later(started.is_dropped, started.is_finished);
    }
    send_events(started, first_event);
}

/// Ends this process after the delay, unless the request was dropped or its
/// response finished before.
void fake_backend_server::end_later(std::shared_ptr<const bool> is_dropped,
                                    std::shared_ptr<const bool> is_finished) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(ending_delay_ms_));
    timer->async_wait([this, timer, process = end_count_,
                       is_dropped = std::move(is_dropped),
                       is_finished = std::move(is_finished)](auto error) {
        const bool is_harmless =
            *is_finished || (*is_dropped && !ends_if_closed_);
        if (!error && process == end_count_ && !is_harmless) {
            end();
        }
    });
}

/// Holds a request without a model until the process ends.
void fake_backend_server::start_ending_request(
    const std::string& id, const response_writer_ptr& writer) {
    const stream held{id, 1, abort_count_, weight_version_, writer};
    writer->on_disconnect(
        [is_dropped = held.is_dropped] { *is_dropped = true; });
    unfinished_responses_.push_back(writer);
    end_later(held.is_dropped, held.is_finished);
}

void fake_backend_server::respond_to_plain_request(
    const std::string& id, int status, const response_writer_ptr& writer) {
    if (not_responding_) {
        unfinished_responses_.push_back(writer);
        return;
    }
    if (aborting_responses_) {
        writer->abort();
        return;
    }
    const auto respond = [id, status, writer] {
        writer->send({status,
                      {{"Request-Id", id}, {"Response-Stamp", "of-" + id}},
                      "answer to " + id});
    };
    if (service_time_ms_ == 0) {
        respond();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(service_time_ms_));
    timer->async_wait([this, timer, respond](auto error) {
        if (!error && is_paused_) {
            held_steps_.emplace_back(respond);
        } else if (!error) {
            respond();
        }
    });
}

void fake_backend_server::send_events(stream s, int event_number) {
    if (is_paused_) {
        held_steps_.emplace_back(
            [this, s, event_number] { send_events(s, event_number); });
        return;
    }
    if (*s.is_dropped) {
        return;
    }
    if (s.abort_count == abort_count_ && should_end_ &&
        should_end_(s.id, event_number, event_number - s.first_event)) {
        end();
    }
    if (s.abort_count != abort_count_ && ends_silently_) {
        break_off(s.writer);
        return;
    }
    if (s.abort_count != abort_count_) {
        report_stream_end(s.id, false);
        s.writer->write("id: " + std::to_string(event_number) +
                        "\ndata: half of ");
        s.writer->abort();
        return;
    }
    if (event_number > event_count_of(s.id)) {
        *s.is_finished = true;
        report_stream_end(s.id, true);
        s.writer->finish();
        return;
    }
    std::string event;
    if (std::exchange(s.announced_version, weight_version_) !=
        weight_version_) {
        event = "weight-versions: " + std::to_string(weight_version_) + "\n";
    }
    if (s.id.compare(0, 4, "noid") != 0) {
        event += "id: " + std::to_string(event_number) + "\n";
    }
    s.writer->write(event + "data: " + make_event(s.id, event_number) + "\n\n");
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(event_interval_ms_));
    timer->async_wait(
        [this, timer, s = std::move(s), event_number](auto error) {
            if (!error) {
                send_events(s, event_number + 1);
            }
        });
}

} // namespace hibiscus::testing
