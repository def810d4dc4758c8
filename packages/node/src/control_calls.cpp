#include "control.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <set>

namespace hibiscus::node {

namespace {

constexpr base::millis refusal = 100;
constexpr base::millis call_margin = 500;
constexpr base::millis open_deadline = 1000;

std::string trainer_key(const base::trainer_id& trainer) {
    return "trainer/" + trainer.str();
}

/// Returns the answer of type T in `result`, or null.
template <class T>
const T* answer_in(const call_result& result) {
    const auto* reply = std::get_if<wire::reply_body>(&result);
    return reply != nullptr ? std::get_if<T>(reply) : nullptr;
}

/// Returns the answer of type T for a call that has no reply. Only a call of
/// which no byte left was certainly not run: the home may have done what a
/// lost one asks, and a caller who trusts the refusal would be misled.
template <class T>
T unanswered(const call_result& result) {
    const auto* failure = std::get_if<call_failure>(&result);
    const bool never_left =
        failure != nullptr && *failure == call_failure::not_sent;
    T answer;
    answer.result =
        never_left ? wire::outcome::not_run : wire::outcome::unknown;
    answer.why = never_left ? wire::reason::home_unreachable
                            : wire::reason::connection_lost;
    answer.retry_after_ms = refusal;
    return answer;
}

} // namespace

void control::received(wire::peer_message message) {
    boost::asio::post(parts_.io, [this, m = std::move(message)]() mutable {
        std::visit([this](auto& one) { handle(std::move(one)); }, m);
    });
}

void control::link_changed(const base::node_id& peer, bool open) {
    boost::asio::post(parts_.io, [this, peer, open] {
        links_ += open ? 1 : -1;
        // The calls that left by the old link would wait for their whole
        // deadline; now they can be tried again while there is time.
        if (!open) {
            calls_.gone(peer);
        }
    });
}

void control::handle(wire::heartbeat message) {
    members_.hear(parts_.clock.now(), message);
    config_.hear(message.node, message.revision);
    samples_.hear(message);
}

void control::handle(wire::document_want message) {
    config_.wanted(message);
}

void control::handle(wire::document_offer message) {
    config_.offered(message);
}

void control::handle(wire::call message) {
    std::visit([&](const auto& body) { serve(message, body); }, message.body);
}

void control::handle(wire::reply message) {
    calls_.replied(std::move(message));
}

void control::handle(wire::sample_report message) {
    samples_.report(message);
}

void control::handle(wire::sample_ack message) {
    samples_.acknowledge(message);
}

void control::handle(wire::cancel_streams message) {
    samples_.cancel(message);
}

std::function<void(wire::reply_body)> control::replier(const wire::call& call) {
    return [this, to = call.from, id = call.id](wire::reply_body body) {
        parts_.mesh.send(to, wire::reply{id, std::move(body)});
    };
}

void control::serve(const wire::call& call, const wire::open_step& body) {
    replier(call)(samples_.open(body));
}

void control::serve(const wire::call& call, const wire::pull_step& body) {
    samples_.pull(body, replier(call));
}

void control::serve(const wire::call& call, const wire::learn_version& body) {
    samples_.learn(body.trainer, body.version);
    wire::version_answer answer;
    answer.result = wire::outcome::completed;
    answer.newest = samples_.versions().newest(body.trainer);
    replier(call)(answer);
}

void control::serve(const wire::call& call, const wire::run_request& body) {
    claims_.submit(body.request, replier(call));
}

void control::serve(const wire::call& call, const wire::place_sample& body) {
    replier(call)(samples_.place(body));
}

void control::open_step(wire::open_step message,
                        std::function<void(wire::step_answer)> done) {
    boost::asio::post(parts_.io, [this, m = std::move(message),
                                  d = std::move(done)]() mutable {
        open_here_or_there(std::move(m), std::move(d));
    });
}

void control::open_here_or_there(wire::open_step message,
                                 std::function<void(wire::step_answer)> done) {
    const auto home = members_.home_of(trainer_key(message.trainer));
    if (home == self_) {
        done(samples_.open(message));
        return;
    }
    calls_.call(home, std::move(message), open_deadline,
                [done = std::move(done)](const call_result& result) {
                    const auto* a = answer_in<wire::step_answer>(result);
                    done(a != nullptr ? *a
                                      : unanswered<wire::step_answer>(result));
                });
}

void control::pull(wire::pull_step message,
                   std::function<void(wire::pull_answer)> done) {
    boost::asio::post(parts_.io, [this, m = std::move(message),
                                  d = std::move(done)]() mutable {
        pull_here_or_there(std::move(m), std::move(d));
    });
}

void control::pull_here_or_there(wire::pull_step message,
                                 std::function<void(wire::pull_answer)> done) {
    const auto home = members_.home_of(trainer_key(message.trainer));
    if (home == self_) {
        samples_.pull(message, std::move(done));
        return;
    }
    const auto pull = message.request.pull;
    const auto trainer = message.trainer;
    const auto deadline = message.request.wait_ms + call_margin;
    calls_.call(home, std::move(message), deadline,
                [this, trainer, done = std::move(done),
                 pull](const call_result& result) {
                    if (const auto* a = answer_in<wire::pull_answer>(result)) {
                        done(samples_.fresh(trainer, *a));
                        return;
                    }
                    auto answer = unanswered<wire::pull_answer>(result);
                    answer.pull = pull;
                    done(std::move(answer));
                });
}

void control::publish(wire::learn_version message,
                      std::function<void(wire::version_answer)> done) {
    boost::asio::post(parts_.io, [this, m = std::move(message),
                                  d = std::move(done)]() mutable {
        samples_.learn(m.trainer, m.version);
        tell_version(m, std::move(d));
    });
}

void control::tell_version(const wire::learn_version& message,
                           std::function<void(wire::version_answer)> done) {
    const auto* config = config_.in_force();
    const auto longest = config != nullptr
                             ? config->content.limit.pull_wait_ms + call_margin
                             : call_margin;
    wire::version_answer answer;
    answer.result = wire::outcome::completed;
    answer.newest = samples_.versions().newest(message.trainer);
    // A pull that waits at another node still goes by the old version; the
    // trainer may count on the bound only after each such node has answered,
    // or after its longest pull is over. A node that this one does not hear
    // may still be heard by others and answer their pulls, so all that are
    // listed count, and one that cannot be asked is waited out.
    std::set<base::node_id> nodes;
    for (const auto& [node, row] : members_.all()) {
        nodes.insert(node);
    }
    for (const auto& i : listed_.instances) {
        if (i.role == wire::instance_role::entry) {
            nodes.insert(base::node_id(i.id));
        }
    }
    nodes.erase(self_);
    auto left = std::make_shared<std::size_t>(nodes.size() + 1);
    const auto one_less = [left, answer, done = std::move(done)] {
        if (--*left == 0) {
            done(answer);
        }
    };
    const auto until = parts_.clock.now() + longest;
    for (const auto& node : nodes) {
        calls_.call(node, message, longest,
                    [this, one_less, until](const call_result& result) {
                        if (answer_in<wire::version_answer>(result) !=
                            nullptr) {
                            one_less();
                        } else {
                            at_time(until, one_less);
                        }
                    });
    }
    boost::asio::post(parts_.io, one_less);
}

void control::at_time(base::millis when, std::function<void()> event) {
    auto timer = std::make_shared<boost::asio::steady_timer>(parts_.io);
    timer->expires_after(std::chrono::milliseconds(
        std::max<base::millis>(when - parts_.clock.now(), 0)));
    timer->async_wait(
        [timer, e = std::move(event)](const boost::system::error_code& error) {
            if (!error) {
                e();
            }
        });
}

void control::run(wire::service_request request,
                  std::function<void(wire::answer)> done) {
    boost::asio::post(parts_.io, [this, r = std::move(request),
                                  d = std::move(done)]() mutable {
        run_here_or_there(std::move(r), std::move(d));
    });
}

void control::run_here_or_there(wire::service_request request,
                                std::function<void(wire::answer)> done) {
    const auto home = members_.home_of(claims_.home_key(request.id));
    if (home == self_) {
        claims_.submit(request, std::move(done));
        return;
    }
    const auto id = request.id;
    const auto deadline = request.deadline_ms;
    calls_.call(
        home, wire::run_request{std::move(request)}, deadline,
        [this, id, done = std::move(done)](const call_result& result) {
            if (const auto* a = answer_in<wire::answer>(result)) {
                done(*a);
                return;
            }
            const auto* failure = std::get_if<call_failure>(&result);
            const bool never_left =
                failure != nullptr && *failure == call_failure::not_sent;
            done(never_left
                     ? wire::not_run(id, wire::reason::home_unreachable,
                                     refusal, self_)
                     : wire::unknown(id, wire::reason::connection_lost, self_));
        });
}

} // namespace hibiscus::node
