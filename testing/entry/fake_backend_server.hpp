#pragma once

#include "hibiscus/transport/streaming_http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// A fake backend server. It responds to requests that name a model with an
/// event stream, which can be resumed, handles weight orders, and responds to
/// all other requests after the service time. The data of an event depends only
/// on the request id and the event number. Request ids that begin with "big"
/// get large events; ids that begin with "noid" get events without ids.
class fake_backend_server {
public:
    fake_backend_server(boost::asio::io_context& io, std::string id, int events,
                        int event_interval_ms);

    base::endpoint address() const { return address_; }
    std::int64_t weight_version() const { return weight_version_; }
    /// Returns how many requests the server has executed, streams included.
    int run_count() const { return run_count_; }

    /// Returns how many requests the server has executed at most within any
    /// second.
    int most_runs_per_second() const;

    /// Sets how much longer the server warms up, as its next registration says.
    void set_warm_up_ms(int ms) { warm_up_ms_ = ms; }

    /// Returns the ids of the requests that the server has executed.
    const std::set<std::string>& executed_ids() const { return executed_ids_; }

    /// Aborts all open streams in the middle of their next event.
    void abort_streams() { ++abort_count_; }

    /// Changes the weights. Open streams continue and announce the change in
    /// their next event.
    void set_weight_version(std::int64_t version) { weight_version_ = version; }

    /// Sets whether the server executes requests without a model but aborts
    /// their connections instead of responding.
    void set_aborting_responses(bool aborting) {
        aborting_responses_ = aborting;
    }

    /// Sets the number of events of a stream.
    void set_event_count(int events) { events_ = events; }

    /// Sets the number of events of each stream, by the id of its request.
    void choose_event_count(std::function<int(const std::string&)> choose) {
        choose_event_count_ = std::move(choose);
    }

    /// Sets how many runs the server registers slots for.
    void set_slots(int slots) { slots_ = slots; }

    /// Called when a stream begins, and when it is no longer at the server,
    /// with whether it is complete.
    struct stream_observer {
        std::function<void(const std::string&)> on_begin;
        std::function<void(const std::string&, bool)> on_end;
    };
    void observe_streams(stream_observer observer) {
        observer_ = std::move(observer);
    }

    /// Returns whether the stream of a request is open.
    bool has_stream(const std::string& id) const {
        return open_streams_.count(id) != 0;
    }

    /// Makes the process end now, as end_at_request() says.
    void end_process(int restart_ms, bool changes_id, bool silently,
                     std::function<void()> on_restart);

    /// Sets the time between two events, in ms.
    void set_event_interval_ms(int ms) { event_interval_ms_ = ms; }

    /// Sets the delay of responses to requests without a model, in ms.
    void set_service_time_ms(int ms) { service_time_ms_ = ms; }

    /// Sets what decides the status of the responses to requests without a
    /// model, by the id of the request. With 503, the request is not executed.
    void choose_status(std::function<int(const std::string&)> choose) {
        choose_status_ = std::move(choose);
    }

    /// From now on, executes requests without a model but never responds and
    /// keeps their connections open.
    void stop_responding() { not_responding_ = true; }

    /// Makes the process of the server end whenever it receives a request with
    /// this id: all connections break off and its port refuses new ones. It
    /// starts again after `restart_ms`, and then calls `on_restart`, under its
    /// id or, with `changes_id`, under a new one.
    void end_at_request(std::string id, int restart_ms, bool changes_id,
                        std::function<void()> on_restart);

    /// Makes the process end as end_at_request() says also before it sends an
    /// event for which `should_end` returns true. It gets the request's id, the
    /// number of the event, and how many events the stream has had.
    void end_before_event(
        std::function<bool(const std::string&, int, int)> should_end) {
        should_end_ = std::move(should_end);
    }

    /// Makes the process end as end_at_request() says, but only `ms` after it
    /// received the request, unless it has responded by then. With
    /// `also_if_closed`, it ends even if the request's connection has closed.
    /// Requests without a model get no response before.
    void end_after(int ms, bool also_if_closed) {
        ending_delay_ms_ = ms;
        ends_if_closed_ = also_if_closed;
    }

    /// Makes the process end without a sign: its connections stay open, nothing
    /// is sent on them, and new ones get no response until it starts again.
    void end_silently() { ends_silently_ = true; }

    /// Pauses the process: its connections stay open and new ones are accepted,
    /// but nothing is sent on them until resume().
    void pause() { is_paused_ = true; }

    /// Lets the paused process go on, first with what it has received.
    void resume();

    /// Returns how often the process of the server has ended.
    int end_count() const { return end_count_; }

    const std::string& id() const { return id_; }

    /// Returns the text that the server generates for a request: the data of
    /// all events, joined by newlines.
    static std::string expected_text(const std::string& id, int events);

    /// Returns the JSON record that the server registers in the store. A
    /// sampler also registers its model.
    std::string make_registration(const std::string& service, bool is_sampler);

    /// Returns true unless the process is paused, or has ended and not started
    /// again.
    bool is_running() const { return is_running_ && !is_paused_; }

private:
    using response_writer_ptr = std::shared_ptr<transport::response_writer>;

    /// An open event stream.
    struct stream {
        std::string id;
        int first_event = 1;
        /// The value of abort_count_ at the start of the stream.
        int abort_count = 0;
        /// The weight version that was last announced to the reader.
        std::int64_t announced_version = 0;
        response_writer_ptr writer;
        /// Set once the connection has closed.
        std::shared_ptr<bool> is_dropped = std::make_shared<bool>(false);
        /// Set once all events are sent.
        std::shared_ptr<bool> is_finished = std::make_shared<bool>(false);
    };

    void start();
    void end();
    int event_count_of(const std::string& id) const;
    void report_stream_end(const std::string& id, bool complete);
    void add_run(const std::string& id);
    void end_later(std::shared_ptr<const bool> is_dropped,
                   std::shared_ptr<const bool> is_finished);
    void start_ending_request(const std::string& id,
                              const response_writer_ptr& writer);
    void start_stream(const transport::inbound_request& request,
                      const std::string& id, const response_writer_ptr& writer);
    void break_off(const response_writer_ptr& writer);
    void handle(const transport::inbound_request& request,
                const response_writer_ptr& writer);
    void respond_to_plain_request(const std::string& id, int status,
                                  const response_writer_ptr& writer);
    void send_events(stream s, int event_number);

    boost::asio::io_context& io_;
    std::string id_;
    int events_;
    int event_interval_ms_;
    int service_time_ms_ = 0;
    std::int64_t weight_version_ = 1;
    std::int64_t accepted_order_count_ = 0;
    int run_count_ = 0;
    std::vector<std::chrono::steady_clock::time_point> run_times_;
    int warm_up_ms_ = 0;
    int abort_count_ = 0;
    bool aborting_responses_ = false;
    bool not_responding_ = false;
    std::vector<response_writer_ptr> unfinished_responses_;
    std::set<std::string> executed_ids_;
    std::string ending_request_;
    int restart_ms_ = 0;
    int ending_delay_ms_ = 0;
    bool ends_if_closed_ = false;
    bool changes_id_ = false;
    std::function<void()> on_restart_;
    std::function<int(const std::string&)> choose_status_;
    std::function<int(const std::string&)> choose_event_count_;
    stream_observer observer_;
    /// The ids of the open streams.
    std::multiset<std::string> open_streams_;
    int slots_ = 4;
    std::function<bool(const std::string&, int, int)> should_end_;
    int end_count_ = 0;
    bool is_running_ = false;
    /// Number of registrations of the process.
    std::int64_t registration_count_ = 0;
    bool ends_silently_ = false;
    bool is_paused_ = false;
    /// What the paused process has to do when it goes on.
    std::vector<std::function<void()>> held_steps_;
    std::unique_ptr<transport::streaming_http_server> server_;
    /// Processes that have ended silently.
    std::vector<std::unique_ptr<transport::streaming_http_server>>
        silent_servers_;
    base::endpoint address_;
    /// Connections may outlive the server.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace hibiscus::testing
