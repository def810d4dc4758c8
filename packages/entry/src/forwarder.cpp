#include "forwarder.hpp"

#include "hibiscus/base/result.hpp"
#include "hibiscus/samplers/placement.hpp"
#include "hibiscus/transport/event_stream.hpp"
#include "platform/front.hpp"
#include "platform/sampler_calls.hpp"

#include <algorithm>

namespace hibiscus::entry {

namespace {

/// How long one server may take before another is tried, in ms: a server
/// works 25 to 80 ms on a request, and up to 600 on the longest.
constexpr base::millis least_try_ms = 250;
constexpr base::millis slowest_answers = 6;

/// A connection to a server in the same region opens within 4 ms; one that
/// does not open for so long leads nowhere.
constexpr base::millis connect_ms = 200;

/// Time kept back for the way to the caller, in ms.
constexpr base::millis margin_ms = 10;

/// How long a server that refused is left alone, in ms.
constexpr base::millis refusal_ms = 60;

/// A resumable stream whose server is silent for so long goes on at another,
/// in ms: ten times the time between two events of a sound server, and half
/// of the least gap after which callers abandon a stream.
constexpr base::millis stream_silence_ms = 1000;

/// Sends to one server after the other until one answers.
class attempt_series : public forwarding,
                       public std::enable_shared_from_this<attempt_series> {
public:
    attempt_series(node_state& state, transport::upstream_client& client,
                   forward_request request,
                   std::function<void(forward_result)> done,
                   std::shared_ptr<transport::exchange> sink)
        : state_(state), client_(client), request_(std::move(request)),
          done_(std::move(done)), sink_(std::move(sink)),
          started_(state.clock.now()) {}

    void next() {
        if (ended_) {
            return;
        }
        const auto now = state_.clock.now();
        const auto left = request_.due - now - margin_ms;
        if (left <= 0) {
            give_up(true);
            return;
        }
        const auto to =
            sent_ < request_.attempts
                ? samplers::place_plain(state_.samplers, request_.service,
                                        state_.config.zone, tried_, now)
                : std::nullopt;
        if (!to) {
            give_up(false);
            return;
        }
        tried_.insert(*to);
        ++sent_;
        send_to(*to, left, request_.repeatable);
    }

    void cancel() override {
        if (!std::exchange(ended_, true)) {
            log("forward", "cancelled");
            count("cancelled", "");
        }
        done_ = nullptr;
        sink_.reset();
        if (call_) {
            call_->cancel();
            call_.reset();
            state_.samplers.ended(server_);
        }
    }

private:
    void send_to(const samplers::sampler_id& to, base::millis left,
                 bool reuse) {
        server_ = to;
        sent_at_ = state_.clock.now();
        head_ = {};
        body_.clear();
        gate_.reset();
        on_stream_ = false;
        const auto* row = state_.samplers.find(to);
        auto content = request_.content;
        if (!last_event_.empty()) {
            adapter::resume_behind(content, last_event_);
        }
        adapter::address_to(content, to, left);
        transport::call_options options;
        options.connect_ms = std::min(connect_ms, left);
        options.total_ms = left;
        if (!request_.streamed && request_.repeatable &&
            sent_ < request_.attempts) {
            const auto usual =
                static_cast<base::millis>(row->answer_ms) * slowest_answers;
            options.total_ms = std::min(left, std::max(least_try_ms, usual));
        }
        if (request_.resumable && sent_ < request_.attempts) {
            options.silence_ms = stream_silence_ms;
        }
        options.reuse = reuse;
        transport::upstream_events events;
        events.head = [self = shared_from_this()](const auto& h) {
            self->on_head(h);
        };
        events.data = [self = shared_from_this()](std::string_view piece) {
            self->on_data(piece);
        };
        events.ended = [self = shared_from_this()](transport::call_end end) {
            self->on_end(end);
        };
        state_.samplers.started(to);
        call_ =
            client_.start(row->registered.address, std::move(content), options,
                          std::move(events), adapter::request_id_field);
    }

    void on_head(const transport::upstream_head& head) {
        head_ = head;
        const auto a = adapter::read_answer(head);
        if (request_.streamed && sink_ && head.status / 100 == 2 &&
            !a.signature.empty()) {
            on_stream_ = true;
            // A stream that goes on keeps the head of its first server.
            if (!std::exchange(began_, true)) {
                sink_->begin(head.status, answer_fields(head));
            }
        }
    }

    void on_data(std::string_view piece) {
        if (!on_stream_) {
            body_ += piece;
        } else if (!request_.resumable) {
            sink_->write(piece);
        } else {
            auto whole = gate_.feed(piece);
            if (!whole.last_id.empty()) {
                last_event_ = std::move(whole.last_id);
            }
            if (!whole.bytes.empty()) {
                wrote_ = true;
                sink_->write(whole.bytes);
            }
        }
    }

    void on_end(transport::call_end end) {
        reused_ = call_ && !call_->opened();
        opened_ += reused_ ? 0 : 1;
        call_.reset();
        state_.samplers.ended(server_);
        if (ended_) {
            return;
        }
        const bool whole = end == transport::call_end::complete ||
                           end == transport::call_end::closed;
        if (on_stream_) {
            end_stream(end);
            return;
        }
        if (!whole) {
            on_broken(end);
            return;
        }
        on_answer();
    }

    void end_stream(transport::call_end end) {
        // A resumable stream without a length that ends with its connection
        // may have been cut between two events.
        const bool whole =
            end == transport::call_end::complete ||
            (end == transport::call_end::closed && !request_.resumable);
        if (whole) {
            ended_ = true;
            sink_->end();
            may_have_run_ = true;
            log("stream", "whole");
            count("whole", "");
            count_attempt("answered");
            return;
        }
        state_.samplers.failed(server_);
        may_have_run_ = true;
        count_attempt(std::string(base::name_of(end)));
        // Events without an id can't be named to the next server; it would
        // send them again.
        const bool can_go_on = !wrote_ || !last_event_.empty();
        if (request_.resumable && can_go_on) {
            log("stream", "moves");
            next();
            return;
        }
        break_off();
    }

    /// Ends a stream that can't be finished so that it does not look whole.
    void break_off() {
        ended_ = true;
        sink_->abort();
        log("stream", "cut");
        count("cut", "");
    }

    /// Sends to the same server once more, on a new connection: a kept one
    /// that has ended says nothing about its server.
    void send_again() {
        const auto* row = state_.samplers.find(server_);
        const auto left = request_.due - state_.clock.now() - margin_ms;
        if (row == nullptr || row->registered.draining || left <= 0) {
            next();
            return;
        }
        send_to(samplers::sampler_id(server_), left, false);
    }

    void on_broken(transport::call_end end) {
        may_have_run_ = may_have_run_ || end != transport::call_end::not_sent;
        log_attempt(std::string(base::name_of(end)));
        if (end == transport::call_end::stale) {
            send_again();
            return;
        }
        state_.samplers.failed(server_);
        if (!may_have_run_ || request_.repeatable) {
            next();
        } else {
            give_up(end == transport::call_end::timed_out);
        }
    }

    void on_answer() {
        const auto a = adapter::read_answer(head_);
        if (a.not_run || a.other_server) {
            state_.samplers.block(server_, refusal_ms);
            log_attempt("refused");
            next();
            return;
        }
        if (began_ || (a.status / 100 == 2 && a.signature.empty())) {
            // Bytes that no server signed are not its answer, and what does
            // not go on with a stream is none to one that began.
            on_broken(transport::call_end::broken);
            return;
        }
        state_.samplers.answered(server_, state_.clock.now() - sent_at_);
        may_have_run_ = true;
        if (a.means_not_run && !request_.repeatable) {
            // Without the server's word that it did not run, callers must not
            // read so in the status.
            log_attempt("unclear");
            give_up(false);
            return;
        }
        if (a.status >= 500) {
            failures_ += a.status == 500 ? 1 : 0;
            if (request_.retry_failures && request_.repeatable &&
                sent_ < request_.attempts) {
                log_attempt("failed");
                next();
                return;
            }
        }
        count_attempt("answered");
        finish(forwarded{head_, std::move(body_), a.signature, failures_});
    }

    void give_up(bool timed_out) {
        finish(not_forwarded{may_have_run_, timed_out, failures_});
    }

    void finish(forward_result result) {
        if (began_ && !ended_) {
            break_off();
            return;
        }
        if (std::exchange(ended_, true)) {
            return;
        }
        const bool answered = std::holds_alternative<forwarded>(result);
        log("forward", answered ? "answered" : "given_up");
        state_.counters.observe(request_.kind, state_.clock.now() - started_);
        count(answered ? "answered" : "given_up",
              answered ? std::to_string(head_.status) : "");
        if (sink_) {
            answer_sink(result);
        } else if (done_) {
            const auto done = std::exchange(done_, nullptr);
            done(std::move(result));
        }
    }

    /// Answers a caller of a stream that never began.
    void answer_sink(const forward_result& result);

    static transport::headers
    answer_fields(const transport::upstream_head& head) {
        transport::headers out;
        for (const auto& f : head.fields) {
            if (!transport::is_hop_by_hop(f.name)) {
                out.push_back(f);
            }
        }
        return out;
    }

    void count(const std::string& outcome, const std::string& reason) {
        state_.counters.count_answer(request_.kind, outcome, reason);
    }

    void count_attempt(const std::string& outcome) {
        state_.counters.count_answer("attempt", outcome,
                                     reused_ ? "reused" : "opened");
    }

    void log_attempt(const std::string& outcome) {
        log("attempt", outcome);
        count_attempt(outcome);
    }

    void log(const char* event, const std::string& outcome) {
        state_.log.write(event, {{"kind", request_.kind},
                                 {"id", request_.id},
                                 {"service", request_.service},
                                 {"server", server_},
                                 {"sent", sent_},
                                 {"connections", opened_},
                                 {"reused", reused_},
                                 {"may_have_run", may_have_run_},
                                 {"status", head_.status},
                                 {"ms", state_.clock.now() - started_},
                                 {"left_ms", request_.due - state_.clock.now()},
                                 {"outcome", outcome}});
    }

    node_state& state_;
    transport::upstream_client& client_;
    forward_request request_;
    std::function<void(forward_result)> done_;
    std::shared_ptr<transport::exchange> sink_;
    std::shared_ptr<transport::upstream_call> call_;
    std::set<samplers::sampler_id> tried_;
    samplers::sampler_id server_;
    transport::upstream_head head_;
    std::string body_;
    base::millis started_;
    base::millis sent_at_ = 0;
    int sent_ = 0;
    /// How many of the sends opened a connection.
    int opened_ = 0;
    /// Whether the last send went out on a kept connection.
    bool reused_ = false;
    int failures_ = 0;
    bool may_have_run_ = false;
    /// The answer of the present server is handed on as it comes.
    bool on_stream_ = false;
    /// The caller has got the head of a stream.
    bool began_ = false;
    /// Whether the caller has got events.
    bool wrote_ = false;
    /// The id of the last event that was handed on.
    std::string last_event_;
    transport::event_gate gate_;
    bool ended_ = false;
};

/// How soon a caller whose request could not be placed should come back, in
/// ms: a refusing server has a free place again after a request's work.
constexpr base::millis retry_after_ms = 100;

void attempt_series::answer_sink(const forward_result& result) {
    std::visit(
        base::overloaded{
            [&](const forwarded& f) {
                sink_->respond({f.head.status, answer_fields(f.head), f.body});
            },
            [&](const not_forwarded& n) {
                if (!n.may_have_run) {
                    sink_->respond(adapter::not_run(retry_after_ms));
                } else {
                    sink_->respond(
                        adapter::plain_status(n.timed_out ? 504 : 502));
                }
            }},
        result);
}

} // namespace

std::shared_ptr<forwarding>
forwarder::send(forward_request request,
                std::function<void(forward_result)> done) {
    auto series = std::make_shared<attempt_series>(
        state_, client_, std::move(request), std::move(done), nullptr);
    series->next();
    return series;
}

void forwarder::answer(forward_request request,
                       std::shared_ptr<transport::exchange> caller) {
    auto series = std::make_shared<attempt_series>(
        state_, client_, std::move(request), nullptr, caller);
    caller->on_closed([series] { series->cancel(); });
    series->next();
}

} // namespace hibiscus::entry
