#include "control_plane.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <set>

namespace hibiscus::node {

namespace {

constexpr base::millis default_retry_after_ms = 100;
constexpr base::millis call_timeout_margin_ms = 500;
constexpr base::millis open_timeout_ms = 1000;

std::string trainer_key(const base::trainer_id& trainer) {
    return "trainer/" + trainer.str();
}

/// Returns the response of type T in `result`, or null.
template <class T>
const T* response_in(const call_result& result) {
    const auto* reply = std::get_if<wire::reply_body>(&result);
    return reply != nullptr ? std::get_if<T>(reply) : nullptr;
}

/// Returns a response of type T for a call that has no reply. Its outcome is
/// `not_run` only if no byte of the call was sent. Otherwise the home may have
/// executed the call, and `not_run` would mislead the caller.
template <class T>
T make_failed_response(const call_result& result) {
    const auto* failure = std::get_if<call_failure>(&result);
    const bool not_sent =
        failure != nullptr && *failure == call_failure::not_sent;
    T response;
    response.result =
        not_sent ? wire::outcome::not_run : wire::outcome::unknown;
    response.why = not_sent ? wire::reason::home_unreachable
                            : wire::reason::connection_lost;
    response.retry_after_ms = default_retry_after_ms;
    return response;
}

} // namespace

void control_plane::on_peer_message(wire::peer_message message) {
    boost::asio::post(dependencies_.control_io, [this, message = std::move(
                                                           message)]() mutable {
        std::visit(
            [this](auto& typed_message) { handle(std::move(typed_message)); },
            message);
    });
}

void control_plane::on_link_changed(const base::node_id& peer, bool open) {
    boost::asio::post(dependencies_.control_io, [this, peer, open] {
        open_links_ += open ? 1 : -1;
        // Calls that were sent over the closed link would otherwise stay
        // pending until their deadline. Failing them now leaves time for a
        // retry.
        if (!open) {
            peer_rpc_client_.fail_calls_to(peer);
        }
    });
}

void control_plane::handle(wire::heartbeat message) {
    members_.record_heartbeat(dependencies_.clock.now(), message);
    config_watcher_.on_peer_revision(message.node, message.revision);
    sample_driver_.on_heartbeat(message);
}

void control_plane::handle(wire::document_request message) {
    config_watcher_.on_document_request(message);
}

void control_plane::handle(wire::document_offer message) {
    config_watcher_.on_document_offer(message);
}

void control_plane::handle(wire::call message) {
    std::visit([&](const auto& body) { serve(message, body); }, message.body);
}

void control_plane::handle(wire::reply message) {
    peer_rpc_client_.on_reply(std::move(message));
}

void control_plane::handle(wire::sample_report message) {
    sample_driver_.on_report(message);
}

void control_plane::handle(wire::sample_ack message) {
    sample_driver_.on_acknowledgement(message);
}

void control_plane::handle(wire::cancel_streams message) {
    sample_driver_.cancel_streams(message);
}

std::function<void(wire::reply_body)>
control_plane::make_reply_function(const wire::call& call) {
    return [this, caller = call.from, id = call.id](wire::reply_body body) {
        dependencies_.mesh.send(caller, wire::reply{id, std::move(body)});
    };
}

void control_plane::serve(const wire::call& call, const wire::open_step& body) {
    make_reply_function(call)(sample_driver_.open_step(body));
}

void control_plane::serve(const wire::call& call, const wire::pull_step& body) {
    sample_driver_.pull_samples(body, make_reply_function(call));
}

void control_plane::serve(const wire::call& call,
                          const wire::learn_version& body) {
    sample_driver_.update_newest_version(body.trainer, body.version);
    wire::version_response response;
    response.result = wire::outcome::completed;
    response.newest = sample_driver_.versions().newest(body.trainer);
    make_reply_function(call)(response);
}

void control_plane::serve(const wire::call& call,
                          const wire::run_request& body) {
    claim_driver_.submit_request(body.request, make_reply_function(call));
}

void control_plane::serve(const wire::call& call,
                          const wire::place_sample& body) {
    make_reply_function(call)(sample_driver_.admit_stream(body));
}

void control_plane::open_step(wire::open_step message,
                              std::function<void(wire::step_response)> done) {
    boost::asio::post(
        dependencies_.control_io,
        [this, message = std::move(message), done = std::move(done)]() mutable {
            open_at_home(std::move(message), std::move(done));
        });
}

void control_plane::open_at_home(
    wire::open_step message, std::function<void(wire::step_response)> done) {
    const auto home = members_.home_of(trainer_key(message.trainer));
    if (home == self_) {
        done(sample_driver_.open_step(message));
        return;
    }
    peer_rpc_client_.call(
        home, std::move(message), open_timeout_ms,
        [done = std::move(done)](const call_result& result) {
            const auto* response = response_in<wire::step_response>(result);
            done(response != nullptr
                     ? *response
                     : make_failed_response<wire::step_response>(result));
        });
}

void control_plane::pull_samples(
    wire::pull_step message, std::function<void(wire::pull_response)> done) {
    boost::asio::post(
        dependencies_.control_io,
        [this, message = std::move(message), done = std::move(done)]() mutable {
            pull_at_home(std::move(message), std::move(done));
        });
}

void control_plane::pull_at_home(
    wire::pull_step message, std::function<void(wire::pull_response)> done) {
    const auto home = members_.home_of(trainer_key(message.trainer));
    if (home == self_) {
        sample_driver_.pull_samples(message, std::move(done));
        return;
    }
    const auto pull_number = message.request.pull;
    const auto trainer = message.trainer;
    const auto call_timeout_ms =
        message.request.wait_ms + call_timeout_margin_ms;
    peer_rpc_client_.call(
        home, std::move(message), call_timeout_ms,
        [this, trainer, done = std::move(done),
         pull_number](const call_result& result) {
            if (const auto* response =
                    response_in<wire::pull_response>(result)) {
                done(sample_driver_.without_stale_samples(trainer, *response));
                return;
            }
            auto response = make_failed_response<wire::pull_response>(result);
            response.pull = pull_number;
            done(std::move(response));
        });
}

void control_plane::publish_version(
    wire::learn_version message,
    std::function<void(wire::version_response)> done) {
    boost::asio::post(
        dependencies_.control_io,
        [this, message = std::move(message), done = std::move(done)]() mutable {
            sample_driver_.update_newest_version(message.trainer,
                                                 message.version);
            broadcast_version(message, std::move(done));
        });
}

void control_plane::broadcast_version(
    const wire::learn_version& message,
    std::function<void(wire::version_response)> done) {
    const auto* revision = config_watcher_.in_force();
    const auto call_timeout_ms =
        revision != nullptr
            ? revision->content.limit.pull_wait_ms + call_timeout_margin_ms
            : call_timeout_margin_ms;
    wire::version_response response;
    response.result = wire::outcome::completed;
    response.newest = sample_driver_.versions().newest(message.trainer);
    // Pulls that are pending at other nodes still check staleness against the
    // previous version. The publication therefore completes, and the trainer
    // can rely on the staleness bound, only once every node has acknowledged
    // the new version or, for a node that does not respond, once the maximum
    // duration of a pull has passed. All nodes of the instance list count,
    // because a node that is unreachable from here may still serve pulls
    // through other nodes.
    std::set<base::node_id> nodes;
    for (const auto& [node, row] : members_.all()) {
        nodes.insert(node);
    }
    for (const auto& i : instance_list_.instances) {
        if (i.role == wire::instance_role::entry) {
            nodes.insert(base::node_id(i.id));
        }
    }
    nodes.erase(self_);
    auto pending_count = std::make_shared<std::size_t>(nodes.size() + 1);
    const auto complete_one = [pending_count, response,
                               done = std::move(done)] {
        if (--*pending_count == 0) {
            done(response);
        }
    };
    const auto pulls_end_at = dependencies_.clock.now() + call_timeout_ms;
    for (const auto& node : nodes) {
        peer_rpc_client_.call(
            node, message, call_timeout_ms,
            [this, complete_one, pulls_end_at](const call_result& result) {
                if (response_in<wire::version_response>(result) != nullptr) {
                    complete_one();
                } else {
                    call_at(pulls_end_at, complete_one);
                }
            });
    }
    boost::asio::post(dependencies_.control_io, complete_one);
}

void control_plane::call_at(base::millis time, std::function<void()> callback) {
    auto timer =
        std::make_shared<boost::asio::steady_timer>(dependencies_.control_io);
    timer->expires_after(std::chrono::milliseconds(
        std::max<base::millis>(time - dependencies_.clock.now(), 0)));
    timer->async_wait([timer, callback = std::move(callback)](
                          const boost::system::error_code& error) {
        if (!error) {
            callback();
        }
    });
}

void control_plane::run_request(
    wire::service_request request,
    std::function<void(wire::service_response)> done) {
    boost::asio::post(
        dependencies_.control_io,
        [this, request = std::move(request), done = std::move(done)]() mutable {
            run_at_home(std::move(request), std::move(done));
        });
}

void control_plane::run_at_home(
    wire::service_request request,
    std::function<void(wire::service_response)> done) {
    const auto home = members_.home_of(claim_driver_.home_key(request.id));
    if (home == self_) {
        claim_driver_.submit_request(request, std::move(done));
        return;
    }
    const auto id = request.id;
    const auto call_timeout_ms = request.deadline_ms;
    peer_rpc_client_.call(
        home, wire::run_request{std::move(request)}, call_timeout_ms,
        [this, id, done = std::move(done)](const call_result& result) {
            if (const auto* response =
                    response_in<wire::service_response>(result)) {
                done(*response);
                return;
            }
            const auto* failure = std::get_if<call_failure>(&result);
            const bool not_sent =
                failure != nullptr && *failure == call_failure::not_sent;
            done(not_sent ? wire::make_not_run_response(
                                id, wire::reason::home_unreachable,
                                default_retry_after_ms, self_)
                          : wire::make_unknown_response(
                                id, wire::reason::connection_lost, self_));
        });
}

} // namespace hibiscus::node
