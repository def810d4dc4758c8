#include "hibiscus/node/daemon.hpp"

#include "hibiscus/net/http_server.hpp"
#include "public_api.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <exception>
#include <thread>
#include <vector>

namespace hibiscus::node {

namespace asio = boost::asio;

namespace {

constexpr base::millis connect_timeout_ms = 500;
constexpr base::millis drain_check_interval_ms = 50;
/// Time without a request after which a draining node stops. Until then, a
/// request may still arrive on a connection that a caller keeps open.
constexpr base::millis min_idle_ms = 300;

net::http_limits make_http_limits(const settings& s) {
    net::http_limits limits;
    limits.max_body_bytes = s.body_bytes;
    limits.max_header_bytes = s.header_bytes;
    limits.max_connections = static_cast<std::size_t>(s.connections);
    return limits;
}

} // namespace

/// Owns the components, in the order of their dependencies.
class daemon::impl {
public:
    explicit impl(const settings& config)
        : settings_(config), logger_(config.node, config.log_level, clock_),
          traffic_guard_(traffic_io_.get_executor()),
          mesh_guard_(mesh_io_.get_executor()),
          control_guard_(control_io_.get_executor()),
          client_(traffic_io_, connect_timeout_ms),
          log_(client_, config.platform_log),
          instances_(client_, config.platform_instances),
          mesh_(mesh_io_, {}, make_peer_callbacks()),
          service_gateway_(std::make_shared<service_gateway>(
              config.node, traffic_io_, client_, shared_, logger_, counters_,
              clock_)),
          engine_client_(client_, clock_),
          control_({settings_, control_io_, clock_, logger_, counters_, shared_,
                    mesh_, log_, instances_, *service_gateway_,
                    engine_client_}),
          api_(config.node, control_, shared_, *service_gateway_, counters_,
               clock_, static_cast<std::size_t>(config.non_idempotent_in_work)),
          server_(
              traffic_io_, make_http_limits(config),
              [this](net::http_request request, net::http_responder respond) {
                  api_.handle(std::move(request), std::move(respond));
              }),
          signals_(control_io_, SIGTERM, SIGINT), drain_timer_(control_io_) {}

    std::optional<listen_error> run() {
        if (!mesh_.listen(settings_.listen_peers)) {
            return listen_error{settings_.listen_peers};
        }
        if (!server_.listen(settings_.listen_callers)) {
            return listen_error{settings_.listen_callers};
        }
        logger_.event(severity::info, "listening",
                      {{"callers", base::to_string(settings_.listen_callers)},
                       {"peers", base::to_string(settings_.listen_peers)},
                       {"startup_ms", clock_.now() - started_at_}});
        signals_.async_wait(
            [this](const boost::system::error_code& error, int) {
                if (!error) {
                    drain();
                }
            });
        control_.start();
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(settings_.traffic_threads) +
                        1);
        for (int i = 0; i < settings_.traffic_threads; ++i) {
            threads.emplace_back([this] { run_guarded(traffic_io_); });
        }
        threads.emplace_back([this] { run_guarded(mesh_io_); });
        run_guarded(control_io_);
        for (auto& t : threads) {
            t.join();
        }
        return std::nullopt;
    }

private:
    net::peer_callbacks make_peer_callbacks() {
        return {[this](wire::peer_message m) {
                    control_.on_peer_message(std::move(m));
                },
                [this](const wire::decode_error& error) {
                    counters_.count_event("peer_malformed");
                    logger_.event(severity::warn, "peer_malformed",
                                  {{"what", error.message}});
                },
                [this](const base::node_id& node, bool open) {
                    control_.on_link_changed(node, open);
                    logger_.event(
                        severity::info, "peer_link",
                        {{"peer", node.str()}, {"open", std::int64_t{open}}});
                }};
    }

    /// Runs `io` until it is stopped. An exception that escapes from a handler
    /// would end the process; it is counted and logged instead, and the
    /// remaining handlers run.
    void run_guarded(asio::io_context& io) {
        while (!io.stopped()) {
            try {
                io.run();
            } catch (const std::exception& e) {
                counters_.count_event("handler_failed");
                logger_.event(severity::error, "handler_failed",
                              {{"what", std::string(e.what())}});
            }
        }
    }

    void drain() {
        server_.drain();
        control_.drain([this] {
            server_.stop_accepting();
            wait_until_idle();
        });
    }

    /// Stops the threads once every received request has its response.
    void wait_until_idle() {
        if (server_.idle_ms() >= min_idle_ms && control_.is_idle()) {
            logger_.event(severity::info, "stopped", {});
            traffic_io_.stop();
            mesh_io_.stop();
            control_io_.stop();
            return;
        }
        drain_timer_.expires_after(
            std::chrono::milliseconds(drain_check_interval_ms));
        drain_timer_.async_wait([this](const boost::system::error_code& error) {
            if (!error) {
                wait_until_idle();
            }
        });
    }

    using work_guard =
        asio::executor_work_guard<asio::io_context::executor_type>;

    base::clock clock_;
    base::millis started_at_ = clock_.now();
    settings settings_;
    event_log logger_;
    telemetry::metrics counters_;
    shared_view shared_;
    asio::io_context traffic_io_;
    asio::io_context mesh_io_{1};
    asio::io_context control_io_{1};
    work_guard traffic_guard_;
    work_guard mesh_guard_;
    work_guard control_guard_;
    net::http_client client_;
    platform::log_client log_;
    platform::instance_client instances_;
    net::peer_mesh mesh_;
    std::shared_ptr<service_gateway> service_gateway_;
    engine_client engine_client_;
    control_plane control_;
    public_api api_;
    net::http_server server_;
    asio::signal_set signals_;
    asio::steady_timer drain_timer_;
};

daemon::daemon(const settings& config)
    : impl_(std::make_unique<impl>(config)) {}

daemon::~daemon() = default;

std::optional<listen_error> daemon::run() {
    return impl_->run();
}

} // namespace hibiscus::node
