#include "forwarder.hpp"

#include "hibiscus/base/result.hpp"
#include "hibiscus/samplers/plain_placement.hpp"
#include "hibiscus/transport/event_stream.hpp"
#include "lost_servers.hpp"
#include "platform/client_api.hpp"
#include "platform/sampler_calls.hpp"

#include <algorithm>
#include <limits>

namespace hibiscus::entry {

namespace {

/// Minimum timeout of an attempt after which another server is tried, in ms. A
/// server takes 25 to 80 ms for a request, and up to 600 ms for the longest.
constexpr base::millis min_attempt_timeout_ms = 250;

/// Timeout of an attempt as a multiple of the mean response time of the server.
constexpr base::millis attempt_timeout_factor = 6;

/// A server that has responded to no request for longer than this, in ms, may
/// have ended meanwhile. A request that counts lost servers then needs a new
/// connection, whose end leaves no doubt.
constexpr base::millis max_active_gap_ms = 300;

/// Timeout for opening a connection, in ms. Within a region a connection opens
/// within 4 ms.
constexpr base::millis connect_timeout_ms = 200;

/// Time reserved for sending the response to the caller, in ms.
constexpr base::millis response_margin_ms = 10;

/// Time for which a server gets no requests after it has rejected one or
/// reported it as misdirected, in ms.
constexpr base::millis rejection_backoff_ms = 60;

/// Idle timeout after which a resumable stream moves to another server, in ms.
/// It is ten times the time between two events of a healthy server, and half of
/// the shortest gap after which callers abandon a stream.
constexpr base::millis stream_idle_timeout_ms = 1000;

/// Maximum size of a response that is collected before it is passed on, in
/// bytes.
constexpr std::size_t max_collected_response_bytes = 256 * 1024;

/// The part of the room for a response that is collected before it is passed
/// on.
constexpr std::size_t collected_room_divisor = 8;

/// Sends a request to one server after the other until one responds.
class forward_attempts : public active_forward,
                         public std::enable_shared_from_this<forward_attempts> {
public:
    forward_attempts(node_state& state, transport::upstream_client& client,
                     usage_recorder* usage, admission_control* admission,
                     forward_request request,
                     std::function<void(forward_result)> done,
                     std::shared_ptr<transport::response_writer> response)
        : state_(state), client_(client), usage_(usage),
          request_(std::move(request)), on_done_(std::move(done)),
          caller_response_(std::move(response)),
          lost_servers_(request_.on_server_lost, request_.on_abandoned),
          started_at_(state.clock.now()) {
        if (!request_.streaming) {
            admission_ = admission;
        }
    }

    /// Sends the request once it is admitted.
    void start() {
        if (finished_) {
            return;
        }
        if (admission_ == nullptr) {
            try_next_server();
            return;
        }
        waiting_for_admission_ = true;
        const auto number = admission_->request(
            request_, [self = shared_from_this()](const auto& decision) {
                self->on_admission(decision);
            });
        admission_number_ = number;
    }

    void on_admission(const admission::gate_decision& decision) {
        waiting_for_admission_ = false;
        if (decision.outcome == admission::verdict::rejected) {
            fail(false, decision.retry_after_ms);
        } else {
            try_next_server();
        }
    }

    void try_next_server() {
        if (finished_) {
            return;
        }
        const auto now = state_.clock.now();
        const auto remaining_ms = request_.deadline - now - response_margin_ms;
        if (remaining_ms <= 0) {
            fail(true);
            return;
        }
        if (lost_servers_.count() >= request_.max_lost_servers) {
            log_attempt("quarantined");
            state_.counters.count_event("request_quarantined");
            fail(false);
            return;
        }
        if (attempts_ > 0 && request_.may_repeat && !request_.may_repeat()) {
            log_attempt("withheld");
            fail(false);
            return;
        }
        const auto server = attempts_ < request_.max_attempts
                                ? samplers::choose_plain_server(
                                      state_.samplers, request_.service,
                                      state_.settings.zone, tried_, now)
                                : std::nullopt;
        if (!server || lost_servers_.should_avoid(*server)) {
            fail(false);
            return;
        }
        if (has_to_wait_for(*server)) {
            log_attempt("server_silent");
            fail(false);
            return;
        }
        tried_.insert(*server);
        ++attempts_;
        send_attempt(*server, remaining_ms,
                     request_.retryable && request_.reuse_connection);
    }

    void cancel() override {
        if (std::exchange(waiting_for_admission_, false)) {
            admission_->cancel(request_.service, admission_number_);
        }
        if (!std::exchange(finished_, true)) {
            log("forward", "cancelled");
            count_request("cancelled", "");
        }
        on_done_ = nullptr;
        caller_response_.reset();
        if (call_) {
            call_->cancel();
            call_.reset();
            lost_servers_.on_attempt_cancelled(describe_attempt(),
                                               has_server_responded());
            end_attempt();
        }
    }

private:
    admission::service_gate& gate() {
        return admission_->gate(request_.service);
    }

    /// Returns true if the request should not be sent to a server before
    /// something comes from it.
    bool has_to_wait_for(const samplers::sampler_id& server) const {
        const auto* row = state_.samplers.find(server);
        const auto renewal_ms = state_.settings.server_renewal_ms;
        return request_.avoid_silent_servers && row != nullptr &&
               row->is_silent() &&
               state_.clock.now() - row->silence_noticed_at <
                   renewal_ms + renewal_ms / 2;
    }

    void end_attempt() {
        state_.samplers.on_request_ended(server_);
        if (admission_ != nullptr) {
            gate().on_ended(state_.clock.now());
        }
    }

    /// Tries another server if the retry budget allows it. Servers have done
    /// something for the attempt before.
    void repeat_at_next_server(bool timed_out) {
        const double cost = timed_out ? attempt_timeout_factor : 1;
        const bool was_cut_early =
            timed_out && std::exchange(repeat_promised_, false);
        if (admission_ != nullptr &&
            !gate().may_repeat(cost, state_.clock.now()) && !was_cut_early) {
            log_attempt("no_retry_budget");
            fail(timed_out);
            return;
        }
        try_next_server();
    }

    /// Returns the time after which another server is tried although the first
    /// one may still respond, in ms.
    base::millis attempt_timeout(double mean_response_ms,
                                 base::millis remaining_ms) {
        double expected_ms = mean_response_ms;
        if (admission_ != nullptr) {
            if (!gate().can_repeat(attempt_timeout_factor,
                                   state_.clock.now())) {
                return remaining_ms;
            }
            const double usual_ms = gate().usual_ms(request_.route);
            expected_ms = usual_ms > 0 ? usual_ms : expected_ms;
        }
        repeat_promised_ = true;
        return std::min(remaining_ms,
                        std::max(min_attempt_timeout_ms,
                                 static_cast<base::millis>(expected_ms) *
                                     attempt_timeout_factor));
    }

    void send_attempt(const samplers::sampler_id& server,
                      base::millis remaining_ms, bool reuse_connection) {
        server_ = server;
        repeat_promised_ = false;
        attempt_sent_at_ = state_.clock.now();
        head_ = {};
        // clear() would keep the memory, which is in no account by now.
        static_cast<void>(std::exchange(body_, {}));
        event_assembler_.discard_partial_event();
        forwarding_stream_ = false;
        const auto* row = state_.samplers.find(server);
        server_started_ms_ = row->registered.started_ms;
        server_quiet_ms_ = attempt_sent_at_ - row->last_sign_at();
        was_server_active_ =
            attempt_sent_at_ - row->last_response_at <= max_active_gap_ms;
        auto upstream_request = request_.http_request;
        if (!last_event_id_.empty()) {
            adapter::set_resume_position(upstream_request, last_event_id_);
        }
        adapter::set_server_headers(upstream_request, server, remaining_ms);
        transport::upstream_call_options options;
        options.connect_timeout_ms = std::min(connect_timeout_ms, remaining_ms);
        options.total_timeout_ms = remaining_ms;
        if (!request_.streaming && request_.retryable &&
            attempts_ < request_.max_attempts) {
            options.total_timeout_ms =
                attempt_timeout(row->mean_response_ms, remaining_ms);
        }
        if (request_.resumable && attempts_ < request_.max_attempts) {
            options.idle_timeout_ms = stream_idle_timeout_ms;
        }
        options.reuse_connection =
            reuse_connection &&
            (!request_.on_server_lost ||
             (was_server_active_ && row->may_reuse_connections()));
        transport::upstream_callbacks events;
        events.on_head = [self = shared_from_this()](const auto& h) {
            self->on_head(h);
        };
        events.on_data = [self = shared_from_this()](std::string_view data) {
            self->on_data(data);
        };
        events.on_end =
            [self = shared_from_this()](transport::call_outcome outcome) {
                self->on_end(outcome);
            };
        state_.samplers.on_request_started(server);
        if (admission_ != nullptr) {
            gate().on_sent(state_.clock.now());
        }
        counted_run_.reset();
        if (!request_.streaming) {
            count_usage();
        }
        call_ = client_.start(row->registered.address,
                              std::move(upstream_request), options,
                              std::move(events), adapter::request_id_header);
    }

    void on_head(const transport::response_head& head) {
        head_ = head;
        const auto parsed = adapter::parse_response_head(head);
        if (request_.streaming && caller_response_ && head.status / 100 == 2 &&
            !parsed.signature.empty()) {
            forwarding_stream_ = true;
            // A resumed stream keeps the head of the first server.
            if (!std::exchange(response_started_, true)) {
                caller_response_->send_head(head.status,
                                            end_to_end_headers(head));
            }
        }
    }

    void on_data(std::string_view data) {
        if (request_.streaming && !counted_run_) {
            count_usage();
        }
        if (!forwarding_stream_) {
            collect(data);
        } else if (!request_.resumable) {
            caller_response_->write(data);
        } else {
            auto complete_events = event_assembler_.feed(data);
            call_->keep(event_assembler_.held_bytes());
            if (!complete_events.last_event_id.empty()) {
                last_event_id_ = std::move(complete_events.last_event_id);
            }
            if (!complete_events.bytes.empty()) {
                events_forwarded_ = true;
                caller_response_->write(complete_events.bytes);
            }
        }
        pause_if_full();
    }

    /// Collects a response that is sent as a whole, unless it is too large.
    void collect(std::string_view data) {
        body_ += data;
        const bool has_room =
            call_->keep(body_.size()) && body_.size() <= max_collected_bytes();
        if (!has_room && may_pass_on()) {
            call_->keep(0);
            forwarding_stream_ = true;
            response_started_ = true;
            caller_response_->send_head(head_.status,
                                        end_to_end_headers(head_));
            caller_response_->write(std::exchange(body_, {}));
        }
    }

    bool may_pass_on() const {
        return caller_response_ && !response_started_ &&
               head_.status / 100 == 2 &&
               !adapter::parse_response_head(head_).signature.empty();
    }

    /// Size of a response, in bytes, above which it is passed on to the caller
    /// as it arrives. A longer one is not held as a whole, so no other server
    /// is tried once its beginning was sent.
    std::size_t max_collected_bytes() const {
        return caller_response_
                   ? std::min(max_collected_response_bytes,
                              caller_response_->room() / collected_room_divisor)
                   : std::numeric_limits<std::size_t>::max();
    }

    /// Lets the server wait while the caller has not read what was sent.
    void pause_if_full() {
        if (!caller_response_ || !call_ || !caller_response_->is_full()) {
            return;
        }
        call_->pause();
        if (!std::exchange(room_awaited_, true)) {
            caller_response_->on_room([weak = weak_from_this()] {
                const auto self = weak.lock();
                if (self && self->call_) {
                    self->call_->resume();
                }
            });
        }
    }

    /// Returns when the server last responded to any request, if it has fallen
    /// silent: it has not responded in the second half of the attempt, or has
    /// started again.
    std::optional<base::millis> silent_since() const {
        const auto* row = state_.samplers.find(server_);
        if (row == nullptr ||
            row->registered.started_ms != server_started_ms_) {
            return 0;
        }
        const auto attempt_ms = state_.clock.now() - attempt_sent_at_;
        const bool is_silent =
            head_.status == 0 && attempt_ms >= min_attempt_timeout_ms &&
            row->last_response_at < attempt_sent_at_ + attempt_ms / 2;
        return is_silent ? std::optional(row->last_sign_at()) : std::nullopt;
    }

    void note_silence(const batch::server_loss& attempt) {
        const auto* row = state_.samplers.find(server_);
        if (attempt.silent_since && request_.on_server_lost && row != nullptr &&
            row->registered.started_ms == server_started_ms_) {
            state_.samplers.on_silence(server_);
        }
    }

    /// Returns true if the server has responded to any request since the
    /// attempt was sent.
    bool has_server_responded() const {
        const auto* row = state_.samplers.find(server_);
        return head_.status != 0 ||
               (row != nullptr && row->last_response_at > attempt_sent_at_);
    }

    batch::server_loss describe_attempt() const {
        const auto now = state_.clock.now();
        const auto& servers = state_.samplers.request_candidates(
            request_.service, state_.settings.zone);
        batch::server_loss attempt{{server_, server_started_ms_},
                                   request_.service,
                                   static_cast<int>(servers.size()),
                                   {0, 0, now - attempt_sent_at_}};
        attempt.has_response = head_.status != 0;
        attempt.quiet_ms = server_quiet_ms_;
        return attempt;
    }

    batch::server_loss describe_attempt(transport::call_outcome outcome) const {
        auto attempt = describe_attempt();
        if (outcome == transport::call_outcome::total_timeout) {
            const auto now = state_.clock.now();
            attempt.silent_since = silent_since();
            attempt.exclude_silence(now - attempt.silent_since.value_or(now));
        }
        return attempt;
    }

    void on_end(transport::call_outcome outcome) {
        connection_reused_ = call_ && !call_->opened_connection();
        connections_opened_ += connection_reused_ ? 0 : 1;
        connection_refused_ = call_ && call_->was_refused();
        call_.reset();
        end_attempt();
        if (finished_) {
            return;
        }
        const auto attempt = describe_attempt(outcome);
        note_silence(attempt);
        lost_servers_.on_attempt_ended(attempt, outcome);
        const bool is_complete =
            outcome == transport::call_outcome::complete ||
            outcome == transport::call_outcome::closed_without_length;
        if (forwarding_stream_) {
            on_stream_end(outcome);
            return;
        }
        if (!is_complete) {
            on_attempt_failed(outcome);
            return;
        }
        on_response();
    }

    /// Counts the attempt as a request of its workspace that began to run.
    void count_usage() {
        if (usage_ != nullptr) {
            counted_run_ = usage_->count(request_.workspace);
        }
    }

    /// Called when it turns out that the server has not run the attempt.
    void revert_usage() {
        if (counted_run_) {
            usage_->revert(*counted_run_);
            counted_run_.reset();
        }
    }

    void on_stream_end(transport::call_outcome outcome) {
        // A resumable stream without a length may have been cut off between two
        // events when its connection closed.
        const bool is_complete =
            outcome == transport::call_outcome::complete ||
            (outcome == transport::call_outcome::closed_without_length &&
             !request_.resumable);
        if (is_complete) {
            finished_ = true;
            caller_response_->finish();
            may_have_executed_ = true;
            log("stream", "whole");
            count_request("whole", "");
            count_attempt("answered");
            return;
        }
        state_.samplers.on_failure(server_);
        may_have_executed_ = true;
        count_attempt(std::string(base::name_of(outcome)));
        // Without an event id the next server can't tell where to resume and
        // would send the events again.
        const bool can_resume = !events_forwarded_ || !last_event_id_.empty();
        if (request_.resumable && can_resume) {
            log("stream", "moves");
            try_next_server();
            return;
        }
        abort_stream();
    }

    /// Aborts a stream that can't be completed, so that the caller does not
    /// take it for complete.
    void abort_stream() {
        finished_ = true;
        caller_response_->abort();
        log("stream", "cut");
        count_request("cut", "");
    }

    /// Sends to the same server again on a new connection. The end of an idle
    /// connection says nothing about the health of the server.
    void retry_same_server() {
        const auto* row = state_.samplers.find(server_);
        const auto remaining_ms =
            request_.deadline - state_.clock.now() - response_margin_ms;
        if (row == nullptr || row->registered.draining || remaining_ms <= 0) {
            try_next_server();
            return;
        }
        send_attempt(samplers::sampler_id(server_), remaining_ms, false);
    }

    void on_attempt_failed(transport::call_outcome outcome) {
        may_have_executed_ =
            may_have_executed_ || outcome != transport::call_outcome::not_sent;
        log_attempt(std::string(base::name_of(outcome)));
        if (outcome == transport::call_outcome::not_sent ||
            outcome == transport::call_outcome::stale_connection) {
            revert_usage();
        }
        if (outcome == transport::call_outcome::stale_connection &&
            !request_.on_server_lost) {
            retry_same_server();
            return;
        }
        state_.samplers.on_failure(server_);
        if (outcome == transport::call_outcome::not_sent) {
            try_next_server();
        } else if (request_.retryable) {
            repeat_at_next_server(outcome ==
                                  transport::call_outcome::total_timeout);
        } else {
            fail(outcome == transport::call_outcome::total_timeout);
        }
    }

    void on_response() {
        const auto parsed = adapter::parse_response_head(head_);
        if (parsed.not_run || parsed.misdirected) {
            state_.samplers.block(server_, rejection_backoff_ms);
            revert_usage();
            log_attempt("refused");
            if (admission_ != nullptr && parsed.not_run) {
                gate().on_rejected(server_.str(), state_.clock.now());
            }
            repeat_at_next_server(false);
            return;
        }
        if (response_started_ ||
            (parsed.status / 100 == 2 && parsed.signature.empty())) {
            // A response without the signature of a server is not trusted, and
            // a plain response can't continue a stream that has begun.
            on_attempt_failed(transport::call_outcome::broken);
            return;
        }
        const auto now = state_.clock.now();
        state_.samplers.on_response(server_, now - attempt_sent_at_);
        if (admission_ != nullptr && parsed.status / 100 == 2) {
            gate().on_response(server_.str(), request_.route,
                               now - attempt_sent_at_, now);
        }
        may_have_executed_ = true;
        if (parsed.implies_not_run && !request_.retryable) {
            // The status suggests that the request was not executed, but the
            // server has not confirmed it. It must not be passed on, because
            // the caller would repeat the request.
            log_attempt("unclear");
            fail(false);
            return;
        }
        if (parsed.status >= 500) {
            failed_attempts_ += parsed.status == 500 ? 1 : 0;
            if (request_.retry_server_errors && request_.retryable &&
                attempts_ < request_.max_attempts) {
                log_attempt("failed");
                repeat_at_next_server(false);
                return;
            }
        }
        count_attempt("answered");
        finish(forwarded_response{head_, std::move(body_), parsed.signature,
                                  failed_attempts_});
    }

    void fail(bool timed_out, base::millis retry_after_ms = 0) {
        if (retry_after_ms == 0 && admission_ != nullptr &&
            !may_have_executed_) {
            retry_after_ms = gate().retry_after_ms(traffic_kind_of(request_),
                                                   state_.clock.now());
        }
        finish(forward_failure{may_have_executed_, timed_out, failed_attempts_,
                               may_have_executed_ ? 0 : retry_after_ms});
    }

    void finish(forward_result result) {
        if (response_started_ && !finished_) {
            abort_stream();
            return;
        }
        if (std::exchange(finished_, true)) {
            return;
        }
        const bool has_response =
            std::holds_alternative<forwarded_response>(result);
        log("forward", has_response ? "answered" : "given_up");
        state_.counters.observe(request_.kind,
                                state_.clock.now() - started_at_);
        count_request(has_response ? "answered" : "given_up",
                      has_response ? std::to_string(head_.status) : "");
        if (caller_response_) {
            respond_to_caller(result);
        } else if (on_done_) {
            const auto done = std::exchange(on_done_, nullptr);
            done(std::move(result));
        }
    }

    /// Sends the result to the caller if no stream has begun.
    void respond_to_caller(const forward_result& result);

    static transport::headers
    end_to_end_headers(const transport::response_head& head) {
        transport::headers fields;
        for (const auto& field : head.fields) {
            if (!transport::is_hop_by_hop(field.name)) {
                fields.push_back(field);
            }
        }
        return fields;
    }

    void count_request(const std::string& outcome, const std::string& reason) {
        state_.counters.count_response(request_.kind, outcome, reason);
    }

    void count_attempt(const std::string& outcome) {
        state_.counters.count_response(
            "attempt", outcome, connection_reused_ ? "reused" : "opened");
    }

    void log_attempt(const std::string& outcome) {
        log("attempt", outcome);
        count_attempt(outcome);
    }

    void log(const char* event, const std::string& outcome) {
        state_.log.write(event,
                         {{"kind", request_.kind},
                          {"id", request_.id},
                          {"service", request_.service},
                          {"server", server_},
                          {"sent", attempts_},
                          {"connections", connections_opened_},
                          {"reused", connection_reused_},
                          {"refused", connection_refused_},
                          {"lost_servers", lost_servers_.count()},
                          {"may_have_run", may_have_executed_},
                          {"status", head_.status},
                          {"ms", state_.clock.now() - started_at_},
                          {"left_ms", request_.deadline - state_.clock.now()},
                          {"outcome", outcome}});
    }

    node_state& state_;
    transport::upstream_client& client_;
    usage_recorder* usage_;
    /// Null if requests of this kind are sent without admission.
    admission_control* admission_ = nullptr;
    std::uint64_t admission_number_ = 0;
    bool waiting_for_admission_ = false;
    /// Whether the current attempt ends early for one at another server.
    bool repeat_promised_ = false;
    forward_request request_;
    std::function<void(forward_result)> on_done_;
    std::shared_ptr<transport::response_writer> caller_response_;
    std::shared_ptr<transport::upstream_call> call_;
    std::set<samplers::sampler_id> tried_;
    samplers::sampler_id server_;
    base::millis server_started_ms_ = 0;
    /// For how long nothing had come from the server before the attempt, in ms.
    base::millis server_quiet_ms_ = 0;
    /// Whether the server had just responded when the attempt was sent.
    bool was_server_active_ = false;
    lost_servers lost_servers_;
    transport::response_head head_;
    std::string body_;
    base::millis started_at_;
    base::millis attempt_sent_at_ = 0;
    int attempts_ = 0;
    /// Number of attempts that opened a connection.
    int connections_opened_ = 0;
    /// Whether the last attempt reused an idle connection.
    bool connection_reused_ = false;
    /// Whether no process accepted the connection of the last attempt.
    bool connection_refused_ = false;
    int failed_attempts_ = 0;
    /// The usage count of the current attempt, if it was counted.
    std::optional<usage_recorder::counted_run> counted_run_;
    bool may_have_executed_ = false;
    /// Whether the response of the current server is passed on as it arrives.
    bool forwarding_stream_ = false;
    /// Whether the response head was sent to the caller.
    bool response_started_ = false;
    /// Whether events were sent to the caller.
    bool events_forwarded_ = false;
    /// Id of the last event that was sent to the caller.
    std::string last_event_id_;
    transport::event_assembler event_assembler_;
    /// Whether the response calls back when the caller has read.
    bool room_awaited_ = false;
    bool finished_ = false;
};

/// Retry-after time for a caller whose request could not be placed, in ms. A
/// server that rejected it has a free slot again after about the time of one
/// request.
constexpr base::millis default_retry_after_ms = 100;

void forward_attempts::respond_to_caller(const forward_result& result) {
    std::visit(base::overloaded{
                   [&](const forwarded_response& f) {
                       caller_response_->send(
                           {f.head.status, end_to_end_headers(f.head), f.body});
                   },
                   [&](const forward_failure& failure) {
                       if (!failure.may_have_executed) {
                           caller_response_->send(adapter::not_run_response(
                               failure.retry_after_ms > 0
                                   ? failure.retry_after_ms
                                   : default_retry_after_ms));
                       } else {
                           caller_response_->send(adapter::status_response(
                               failure.timed_out ? 504 : 502));
                       }
                   }},
               result);
}

} // namespace

admission::traffic_kind traffic_kind_of(const forward_request& request) {
    return request.kind == std::string_view("reward")
               ? admission::traffic_kind::rewards
               : admission::traffic_kind::callers;
}

std::shared_ptr<active_forward>
forwarder::send(forward_request request,
                std::function<void(forward_result)> done) {
    auto attempts = std::make_shared<forward_attempts>(
        state_, client_, usage_, admission_, std::move(request),
        std::move(done), nullptr);
    attempts->start();
    return attempts;
}

void forwarder::forward_to_caller(
    forward_request request,
    std::shared_ptr<transport::response_writer> response) {
    auto attempts = std::make_shared<forward_attempts>(
        state_, client_, usage_, admission_, std::move(request), nullptr,
        response);
    response->on_disconnect([attempts] { attempts->cancel(); });
    attempts->start();
}

} // namespace hibiscus::entry
