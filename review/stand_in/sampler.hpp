#pragma once

#include "hibiscus/base/clock.hpp"
#include "hibiscus/transport/streaming_http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

using json = nlohmann::json;
namespace transport = hibiscus::transport;
namespace base = hibiscus::base;

/// Writes a line to the record of the case.
using record_function = std::function<void(const std::string&)>;

/// A stand-in for a sampler, as PROTOCOL.md describes one. It runs requests for
/// tokens as event streams that can be resumed, and other requests after a
/// service time. It checks fences and preconditions of orders, and takes
/// `load_ms` to change its weights in the mode `retain`.
class sampler {
public:
    sampler(boost::asio::io_context& io, std::string id, std::string service,
            int slots, bool has_model, record_function record)
        : io_(io), id_(std::move(id)), service_(std::move(service)),
          slots_(slots), has_model_(has_model),
          record_(std::move(record)), address_{"127.0.0.1", 0} {
        start();
    }

    const std::string& id() const { return id_; }
    bool is_running() const { return server_ != nullptr; }
    int running() const { return running_; }
    std::int64_t version() const { return version_; }
    std::int64_t accepted_orders() const { return accepted_orders_; }
    base::millis order_load_ms() const { return load_ms_; }

    void set_events(int events, base::millis interval_ms) {
        events_ = events;
        interval_ms_ = interval_ms;
    }
    void set_service_ms(base::millis ms) { service_ms_ = ms; }
    void set_draining(bool draining) { draining_ = draining; }

    /// Called with the id of each request that begins to run here.
    std::function<void(const std::string&)> on_run;
    /// Decides the status of a request that isn't one for tokens; 0 stands for
    /// 200. A 503 says that the sampler is full and hasn't run the request.
    std::function<int(const std::string&)> choose_status;
    /// Called with each order. Returns true if the order is to get no answer
    /// and to be carried out later by carry_out().
    std::function<bool(const std::string&)> delays_order;

    /// Returns the sampler's next entry in the store.
    std::string next_entry() {
        json entry{
            {"service", service_}, {"address", to_string(address_)},
            {"zone", "lima-a"},    {"version", "v1"},
            {"slots", slots_},     {"state", draining_ ? "draining" : "ready"},
            {"coldLeftMs", 0},     {"seq", ++beats_},
            {"born", born_}};
        if (has_model_) {
            entry["stage"] = "prefill_decode";
            entry["models"] = models();
        }
        return entry.dump();
    }

    /// Ends the process of the sampler: its connections break off, and its
    /// port refuses new ones.
    void crash() {
        ++incarnation_;
        running_ = 0;
        record_("sampler " + id_ + " crashes");
        boost::asio::post(io_, [this, ended = std::move(server_)]() mutable {
            for (auto& writer : std::exchange(open_, {})) {
                if (const auto w = writer.lock()) {
                    w->abort();
                }
            }
            ended.reset();
        });
        server_.reset();
    }

    /// Starts the sampler again under its id and with the version that it had.
    /// Its counts and fences start anew.
    void restart() {
        accepted_orders_ = 0;
        newest_fence_ = 0;
        beats_ = 0;
        loading_until_ = 0;
        start();
        record_("sampler " + id_ + " starts again with version " +
                std::to_string(version_));
    }

    /// Carries out an order. Returns the status of its answer.
    int carry_out(const std::string& body) {
        const auto order = json::parse(body);
        const auto fence = order.at("fence").get<std::int64_t>();
        int status = 202;
        if (fence < newest_fence_) {
            status = 412;
        } else if (clock_.now() < loading_until_ ||
                   (order.contains("precondition") &&
                    order.at("precondition") != accepted_orders_)) {
            status = 409;
        } else if (order.at("version") == version_) {
            status = 200;
        }
        newest_fence_ = std::max(newest_fence_, fence);
        if (status == 202) {
            ++accepted_orders_;
            loading_until_ = clock_.now() + load_ms_;
            after(load_ms_, [this, process = incarnation_,
                             version = order.at("version")] {
                if (process == incarnation_) {
                    version_ = version.get<std::int64_t>();
                    record_("sampler " + id_ + " has version " +
                            std::to_string(version_));
                }
            });
        }
        record_("sampler " + id_ + " order " + body + " -> " +
                std::to_string(status));
        return status;
    }

    void after(base::millis ms, std::function<void()> f) {
        auto timer = std::make_shared<boost::asio::steady_timer>(
            io_, std::chrono::milliseconds(ms));
        timer->async_wait([timer, f = std::move(f)](auto error) {
            if (!error) {
                f();
            }
        });
    }

private:
    using writer_ptr = std::shared_ptr<transport::response_writer>;

    static std::string header(const transport::inbound_request& r,
                              const char* name) {
        const auto* value = transport::find_header(r.fields, name);
        return value == nullptr ? std::string() : *value;
    }

    json models() const {
        return json::array({{{"name", "m"},
                             {"version", version_},
                             {"adapters", json::array()}}});
    }

    void start() {
        born_ = clock_.wall_time();
        server_ = std::make_unique<transport::streaming_http_server>(
            io_, transport::http_server_limits{},
            [this, process = incarnation_](const auto& request, auto writer) {
                if (process != incarnation_) {
                    writer->abort();
                    return;
                }
                handle(request, writer);
            });
        address_ = *server_->listen(address_);
    }

    void handle(const transport::inbound_request& request,
                const writer_ptr& writer) {
        const auto id = header(request, "Request-Id");
        const auto expected = header(request, "Expect-Instance");
        if (!expected.empty() && expected != id_) {
            writer->send({421, {{"Instance-Id", id_}}, ""});
        } else if (request.target == "/report") {
            writer->send({200,
                          {{"Content-Type", "application/json"}},
                          json{{"stage", "prefill_decode"},
                               {"models", models()},
                               {"busy", clock_.now() < loading_until_},
                               {"seq", accepted_orders_},
                               {"waiting", 0},
                               {"running", running_},
                               {"kvUsed", 0},
                               {"kvTotal", 41294},
                               {"handles", 0},
                               {"born", born_}}
                              .dump()});
        } else if (request.target == "/order") {
            if (delays_order && delays_order(request.body)) {
                record_("sampler " + id_ + " order " + request.body +
                        " gets no answer");
                unanswered_.push_back(writer);
                return;
            }
            writer->send({carry_out(request.body), {}, ""});
        } else {
            run(request, id, writer);
        }
    }

    void run(const transport::inbound_request& request, const std::string& id,
             const writer_ptr& writer) {
        const bool is_stream = !header(request, "Model").empty();
        const int status = !is_stream && choose_status ? choose_status(id) : 0;
        const bool is_loading = is_stream && clock_.now() < loading_until_;
        if (running_ >= slots_ || is_loading || status == 503) {
            record_("sampler " + id_ + " is full, has not run " + id);
            writer->send(
                {503, {{"Request-Id", id}, {"Not-Executed", "1"}}, ""});
            return;
        }
        ++running_;
        record_("sampler " + id_ + " runs " + id + " after event " +
                header(request, "Last-Event-Id") + " version " +
                std::to_string(version_));
        if (on_run) {
            on_run(id);
        }
        open_.push_back(writer);
        const auto left = std::make_shared<bool>(false);
        writer->on_disconnect([left] { *left = true; });
        if (is_stream) {
            writer->send_head(200,
                              {{"Content-Type", "text/event-stream"},
                               {"Request-Id", id},
                               {"Response-Stamp", "stamp-" + id},
                               {"Weight-Versions", std::to_string(version_)}});
            send_event({id, incarnation_, version_, writer, left},
                       std::atoi(header(request, "Last-Event-Id").c_str()) + 1);
            return;
        }
        after(service_ms_, [this, id, writer, status, process = incarnation_] {
            if (process != incarnation_) {
                return;
            }
            --running_;
            record_("sampler " + id_ + " answers " + id + " with " +
                    std::to_string(status == 0 ? 200 : status));
            writer->send({status == 0 ? 200 : status,
                          {{"Request-Id", id},
                           {"Response-Stamp", "stamp-" + id_ + "-" + id}},
                          "answer to " + id});
        });
    }

    struct stream {
        std::string id;
        int incarnation;
        std::int64_t announced_version;
        writer_ptr writer;
        std::shared_ptr<bool> left;
    };

    void send_event(stream s, int number) {
        if (s.incarnation != incarnation_) {
            return;
        }
        if (*s.left) {
            --running_;
            return;
        }
        if (number > events_) {
            --running_;
            record_("sampler " + id_ + " has finished " + s.id);
            s.writer->finish();
            return;
        }
        std::string event;
        if (std::exchange(s.announced_version, version_) != version_) {
            event = "weight-versions: " + std::to_string(version_) + "\n";
        }
        s.writer->write(event + "id: " + std::to_string(number) + "\ndata: " +
                        s.id + "." + std::to_string(number) + "\n\n");
        after(interval_ms_,
              [this, s = std::move(s), number] { send_event(s, number + 1); });
    }

    boost::asio::io_context& io_;
    std::string id_;
    std::string service_;
    int slots_;
    bool has_model_;
    record_function record_;
    base::clock clock_;
    base::endpoint address_;
    std::unique_ptr<transport::streaming_http_server> server_;
    std::vector<std::weak_ptr<transport::response_writer>> open_;
    std::vector<writer_ptr> unanswered_;
    bool draining_ = false;
    int incarnation_ = 0;
    int running_ = 0;
    int events_ = 24;
    base::millis interval_ms_ = 40;
    base::millis service_ms_ = 25;
    base::millis load_ms_ = 900;
    base::millis loading_until_ = 0;
    base::millis born_ = 0;
    std::int64_t version_ = 1;
    std::int64_t accepted_orders_ = 0;
    std::int64_t newest_fence_ = 0;
    std::int64_t beats_ = 0;
};

} // namespace review
