#include "blocking_client.hpp"

namespace hibiscus::ctl {

namespace {

constexpr base::millis connect_timeout_ms = 2000;
constexpr base::millis request_timeout_ms = 5000;

} // namespace

blocking_client::blocking_client()
    : work_guard_(io_.get_executor()), http_(io_, connect_timeout_ms),
      thread_([this] { io_.run(); }) {}

blocking_client::~blocking_client() {
    io_.stop();
    thread_.join();
}

net::http_result blocking_client::send(const base::endpoint& target,
                                       net::http_request request) {
    std::promise<net::http_result> promise;
    http_.send(target, std::move(request), request_timeout_ms,
               net::connection_reuse::never,
               [&](net::http_result r) { promise.set_value(std::move(r)); });
    return promise.get_future().get();
}

platform::append_result blocking_client::append(const base::endpoint& log,
                                                const std::string& stream,
                                                const base::append_id& id,
                                                const std::string& data) {
    std::promise<platform::append_result> promise;
    platform::log_client client(http_, log);
    client.append(stream, id, data, [&](const platform::append_result& r) {
        promise.set_value(r);
    });
    return promise.get_future().get();
}

platform::read_result blocking_client::read(const base::endpoint& log,
                                            const std::string& stream,
                                            wire::log_offset from,
                                            base::millis wait_ms) {
    std::promise<platform::read_result> promise;
    platform::log_client client(http_, log);
    client.read(stream, from, wait_ms, [&](platform::read_result r) {
        promise.set_value(std::move(r));
    });
    return promise.get_future().get();
}

} // namespace hibiscus::ctl
