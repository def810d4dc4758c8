#include "hibiscus/entry/daemon.hpp"

#include "batch_api.hpp"
#include "build_id.hpp"
#include "forwarder.hpp"
#include "hibiscus/base/result.hpp"
#include "hibiscus/membership/fleet_membership.hpp"
#include "job_owner.hpp"
#include "memory_bounds.hpp"
#include "node_state.hpp"
#include "platform/client_api.hpp"
#include "platform/documents.hpp"
#include "platform/sampler_calls.hpp"
#include "platform/store_client.hpp"
#include "reload_signal.hpp"
#include "request_router.hpp"
#include "scaling_duty.hpp"
#include "store_monitor.hpp"
#include "usage_duty.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>
#include <utility>

namespace hibiscus::entry {

namespace {

namespace asio = boost::asio;

/// Interval between two reads of the journal at nodes that are not the job
/// owner, in ms. The owner appends up to 30 times a second, and each append
/// would cause a read at every node, while callers poll only twice a second.
constexpr base::millis journal_poll_interval_ms = 60;

/// Maximum wait time of a journal read, in ms. The silence of an owner is
/// noticed only when a read has completed, so this adds to the time of a
/// takeover.
constexpr base::millis journal_read_wait_ms = 150;

/// Interval between two writes of buffered log lines, in ms.
constexpr base::millis log_flush_interval_ms = 200;

/// Interval between two checks of what this node has to follow, in ms.
constexpr base::millis watcher_update_interval_ms = 100;

/// Time after the last call for a job after which a node of a large fleet that
/// callers are not directed to stops following the journal, in ms.
constexpr base::millis journal_idle_ms = 10000;

/// Interval between two log lines about the load on the store, in ms.
constexpr base::millis store_load_interval_ms = 10000;

/// Interval between two checks whether a stopping node may exit, in ms.
constexpr base::millis shutdown_poll_interval_ms = 50;

/// Time for which callers cache a response of the directory, in seconds. A
/// longer time would send callers to nodes that no longer exist.
constexpr int directory_ttl_s = 2;

/// Interval between two reads of the settings file, in ms. The file has about a
/// kilobyte, so a read costs little.
constexpr base::millis settings_poll_interval_ms = 2000;

using gateway::workspace_directory;

/// Returns a count of the workspaces of `c`, or -1 if it defines none.
std::int64_t count_or_absent(const gateway::configuration& c,
                             std::size_t (workspace_directory::*count)()
                                 const) {
    return c.workspaces ? static_cast<std::int64_t>(((*c.workspaces).*count)())
                        : -1;
}

/// An entry node: its components and the servers on its listen addresses.
class entry_node {
public:
    entry_node(const node_settings& settings, std::string path)
        : state_(settings), settings_path_(std::move(path)), signals_(io_),
          client_(io_, response_buffers_),
          run_after_([this](base::millis ms, std::function<void()> f) {
              run_after(ms, std::move(f));
          }),
          store_monitor_(
              state_, client_, run_after_,
              [this] { return membership_.nodes().peer_addresses(); }),
          log_store_(adapter::make_log_store(client_, store_monitor_.router(),
                                             store_calls_)),
          operator_watcher_(
              log_store_, {adapter::operator_topic, 0}, state_.clock,
              run_after_, {},
              {[this](const auto& c) { on_operator_records(c); }, {}}),
          membership_(make_membership_settings(settings), state_.samplers,
                      state_.log, log_store_, state_.clock, run_after_,
                      state_.random_fraction(), make_membership_callbacks()),
          journal_(log_store_, {adapter::journal_topic, 0}, state_.clock,
                   run_after_,
                   {journal_read_wait_ms, store::watcher_times().retry_delay_ms,
                    [this] {
                        return job_owner_.is_owner()
                                   ? 0
                                   : membership_.journal_read_interval(
                                         journal_poll_interval_ms);
                    }},
                   {[this](const auto& c) { on_journal_changed(c); },
                    [this](bool reachable) {
                        job_owner_.set_store_reachable(reachable);
                    }}),
          job_store_(log_store_, settings.partitions_per_topic,
                     {settings.max_record_bytes, settings.max_append_bytes}),
          usage_recorder_(state_, log_store_, run_after_),
          admission_(state_, run_after_,
                     {[this] { return membership_.other_demands(); },
                      [this] { return membership_.published_levels(); },
                      [this] { return membership_.is_publishing_view(); }}),
          forwarder_(state_, client_, &usage_recorder_, &admission_),
          job_owner_(state_, log_store_, store_monitor_.router(), journal_,
                     job_store_, client_, forwarder_, run_after_),
          usage_duty_(state_, log_store_, job_owner_, usage_recorder_, client_,
                      run_after_),
          scaling_duty_(state_, job_owner_, client_, run_after_),
          batch_api_(state_, log_store_, journal_, job_store_, run_after_),
          request_router_(state_, forwarder_, batch_api_,
                          [this] { return configuration_age(); }),
          caller_server_(
              io_, {},
              [this](auto request, auto response) {
                  request_router_.handle(std::move(request),
                                         std::move(response));
              },
              {adapter::request_id_header,
               [this](const auto& aborted) { on_request_aborted(aborted); },
               [this](const auto& rejected) { on_request_rejected(rejected); }},
              server_resources_),
          readiness_server_(
              io_, {},
              [this](const auto& request, auto response) {
                  on_readiness_request(request, *response);
              },
              make_reject_reporting(), server_resources_),
          directory_server_(
              io_, {},
              [this](const auto& request, auto response) {
                  on_directory_request(request, *response);
              },
              make_reject_reporting(), server_resources_),
          internal_server_(
              io_, {},
              [this](const auto& request, auto response) {
                  on_internal_request(request, response);
              },
              make_reject_reporting(), server_resources_) {
        set_server_bounds();
    }

    std::optional<listen_error> run() {
        wait_for_signal();
        set_reload_signal_blocked(false);
        if (auto failed = listen()) {
            return failed;
        }
        log_failed_accepts();
        state_.log.write(
            "start", {{"build", build_id},
                      {"zone", state_.settings.zone},
                      {"callers", to_string(state_.settings.listen_callers)},
                      {"store", to_string(state_.settings.store)}});
        membership_.start();
        admission_.start();
        update_watchers();
        operator_watcher_.start();
        journal_.start();
        job_owner_.start();
        usage_duty_.start();
        scaling_duty_.start();
        batch_api_.start();
        flush_log();
        report_store_load();
        store_monitor_.start();
        settings_text_ = read_settings_file();
        poll_settings_file();
        io_.run();
        set_reload_signal_blocked(true);
        state_.log.flush();
        return std::nullopt;
    }

private:
    void run_after(base::millis ms, std::function<void()> callback) {
        auto timer = std::make_shared<asio::steady_timer>(
            io_, std::chrono::milliseconds(ms));
        timer->async_wait(
            [timer, callback = std::move(callback)](const auto& error) {
                if (!error) {
                    callback();
                }
            });
    }

    std::optional<listen_error> listen() {
        const auto& settings = state_.settings;
        if (!caller_server_.listen(settings.listen_callers)) {
            return listen_error{settings.listen_callers};
        }
        if (!readiness_server_.listen(settings.listen_readiness)) {
            return listen_error{settings.listen_readiness};
        }
        if (!directory_server_.listen(settings.listen_directory)) {
            return listen_error{settings.listen_directory};
        }
        if (!internal_server_.listen(settings.listen_metrics)) {
            return listen_error{settings.listen_metrics};
        }
        return std::nullopt;
    }

    void wait_for_signal() {
        signals_.add(SIGTERM);
        signals_.add(SIGINT);
        signals_.add(SIGHUP);
        signals_.async_wait([this](const auto& error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                settings_text_ = read_settings_file();
                reload_settings("signal");
            } else {
                start_shutdown();
            }
            wait_for_signal();
        });
    }

    /// Applies the settings that can change at run time, such as limits and the
    /// address of the store. Listen addresses need a restart. If the file can't
    /// be read, the current settings stay in effect.
    void reload_settings(const char* cause) {
        const auto loaded = load_node_settings(settings_path_);
        const auto* updated = base::value_if(loaded);
        if (updated == nullptr) {
            state_.log.write("reload", {{"cause", cause}, {"taken", false}});
            return;
        }
        auto& current = state_.settings;
        const bool store_address_changed = !(current.store == updated->store);
        current.order_lease_ms = updated->order_lease_ms;
        current.server_drain_ms = updated->server_drain_ms;
        current.cancel_deadline_ms = updated->cancel_deadline_ms;
        current.shutdown_grace_ms = updated->shutdown_grace_ms;
        current.result_retention_ms = updated->result_retention_ms;
        current.retention_margin_ms = updated->retention_margin_ms;
        current.servers_check_fences = updated->servers_check_fences;
        current.configuration_deadline_ms = updated->configuration_deadline_ms;
        current.strict_revocation = updated->strict_revocation;
        current.revocation_deadline_ms = updated->revocation_deadline_ms;
        current.warm_up_overage = updated->warm_up_overage;
        current.warm_up_slack = updated->warm_up_slack;
        if (current.duties && updated->duties) {
            current.duties = updated->duties;
        }
        current.retry_ratio = updated->retry_ratio;
        current.reward_share = updated->reward_share;
        current.memory_mb = updated->memory_mb;
        current.max_descriptors = updated->max_descriptors;
        set_server_bounds();
        current.store = updated->store;
        if (store_address_changed) {
            store_monitor_.router().set_store_address(current.store);
        }
        state_.log.write(
            "reload", {{"cause", cause},
                       {"taken", true},
                       {"store_moved", store_address_changed},
                       {"needs_restart", listen_addresses_differ(*updated)}});
    }

    bool listen_addresses_differ(const node_settings& updated) const {
        const auto& current = state_.settings;
        return !(current.listen_callers == updated.listen_callers &&
                 current.listen_readiness == updated.listen_readiness &&
                 current.listen_directory == updated.listen_directory &&
                 current.listen_metrics == updated.listen_metrics);
    }

    std::string read_settings_file() const {
        std::ifstream in(settings_path_);
        return {std::istreambuf_iterator<char>(in), {}};
    }

    /// Reloads the settings if the file has changed without a signal.
    void poll_settings_file() {
        auto text = read_settings_file();
        if (!text.empty() && text != settings_text_) {
            settings_text_ = std::move(text);
            reload_settings("file_changed");
        }
        run_after(settings_poll_interval_ms, [this] { poll_settings_file(); });
    }

    void start_shutdown() {
        if (state_.stopping) {
            return;
        }
        state_.stopping = true;
        state_.stopping_since = state_.clock.now();
        state_.log.write(
            "stopping",
            {{"in_flight",
              static_cast<int>(caller_server_.requests_in_flight())},
             {"owns", job_owner_.is_owner()}});
        membership_.announce_shutdown();
        job_owner_.start_handover([this] { handed_over_ = true; });
        for (auto* s : servers()) {
            s->drain();
        }
        advance_shutdown();
    }

    void advance_shutdown() {
        const auto now = state_.clock.now();
        const auto schedule = state_.make_shutdown_schedule();
        if (schedule.is_close_due(now, handed_over_)) {
            close_servers();
        }
        if ((handed_over_ && are_servers_closed()) ||
            now >= schedule.exit_at()) {
            finish_shutdown(now - state_.stopping_since);
            return;
        }
        run_after(shutdown_poll_interval_ms, [this] { advance_shutdown(); });
    }

    void close_servers() {
        if (std::exchange(closing_servers_, true)) {
            return;
        }
        for (auto* s : servers()) {
            s->close();
        }
    }

    bool are_servers_closed() {
        const auto all = servers();
        return std::all_of(all.begin(), all.end(),
                           [](const auto* s) { return s->is_closed(); });
    }

    void finish_shutdown(base::millis elapsed_ms) {
        state_.log.write(
            "stop", {{"in_flight",
                      static_cast<int>(caller_server_.requests_in_flight())},
                     {"handed_over", handed_over_},
                     {"ms", elapsed_ms}});
        close_servers();
        // Handlers of requests that were already read may still be queued.
        asio::post(io_, [this] {
            // A server may have executed the requests that are still open.
            constexpr int gateway_timeout = 504;
            for (auto* s : servers()) {
                s->fail_open_requests(gateway_timeout);
            }
            io_.stop();
        });
    }

    void log_failed_accepts() {
        for (auto* s : servers()) {
            s->set_on_accept_failed([this](const std::string& error) {
                state_.log.write("accept_failed", {{"reason", error}});
                state_.counters.count_event("accept_failed");
            });
        }
    }

    std::array<transport::streaming_http_server*, 4> servers() {
        return {&caller_server_, &readiness_server_, &directory_server_,
                &internal_server_};
    }

    void flush_log() {
        state_.log.flush();
        run_after(log_flush_interval_ms, [this] { flush_log(); });
    }

    static membership::membership_settings
    make_membership_settings(const node_settings& s) {
        membership::node_entry own;
        own.caller_address = s.listen_callers;
        own.peer_address = s.listen_metrics;
        own.zone = s.zone;
        own.cpu_share = s.cpu_share;
        // Two reads follow each other until a change reaches a node: that of
        // the publisher and that of the node.
        constexpr base::millis reads_per_deadline = 4;
        return {s.node.str(),
                std::move(own),
                {adapter::registry_topic, 0},
                {adapter::fleet_view_topic, adapter::nodes_topic,
                 s.partitions_per_topic},
                s.store_capacity,
                s.server_renewal_ms,
                std::min(s.server_drain_ms, s.configuration_deadline_ms) /
                    reads_per_deadline,
                s.max_append_bytes,
                s.features};
    }

    membership::membership_callbacks make_membership_callbacks() {
        return {adapter::decode_registration,
                [this] { return state_.true_time(); },
                [this](const std::string& node, base::millis true_time) {
                    state_.wall_clock.on_peer_time(
                        node, true_time, base::read_clocks(state_.clock));
                },
                [this](const std::string& text) {
                    apply_published_configuration(text);
                },
                [this] {
                    return state_.clock.now() -
                           operator_watcher_.current_as_of();
                },
                [this] { return admission_.demands(); },
                [this] { return admission_.published_levels(); }};
    }

    /// Returns the time since the configuration was last known to be current,
    /// in ms.
    base::millis configuration_age() const {
        return state_.clock.now() - std::max(operator_watcher_.current_as_of(),
                                             membership_.configuration_as_of());
    }

    /// Applies the configuration that the publisher of the fleet view has read.
    void apply_published_configuration(const std::string& text) {
        auto record = adapter::decode_configuration(text);
        if (record) {
            apply_configuration(std::move(*record));
        } else {
            state_.log.write("record_skipped",
                             {{"topic", "fleet"}, {"key", "configuration"}});
        }
    }

    /// Adapts what this node follows to its role in the fleet.
    void update_watchers() {
        membership_.set_publishing(job_owner_.is_owner());
        if (membership_.needs_configuration()) {
            operator_watcher_.resume();
        } else {
            operator_watcher_.pause();
        }
        const auto idle_ms = state_.clock.now() - batch_api_.last_call_at();
        if (membership_.needs_journal() || idle_ms < journal_idle_ms) {
            journal_.resume();
        } else {
            journal_.pause();
        }
        run_after(watcher_update_interval_ms, [this] { update_watchers(); });
    }

    /// Logs how much this node has read from and appended to each topic.
    void report_store_load() {
        for (const auto& [topic, totals] : store_calls_.by_topic()) {
            state_.log.write("store_load",
                             {{"topic", topic},
                              {"owner", job_owner_.is_owner()},
                              {"reads", totals.reads},
                              {"appends", totals.appends},
                              {"failed", totals.failed},
                              {"sent_bytes", totals.sent_bytes},
                              {"received_bytes", totals.received_bytes}});
        }
        run_after(store_load_interval_ms, [this] { report_store_load(); });
    }

    void on_operator_records(const std::vector<store::change>& changes) {
        for (const auto& c : changes) {
            auto record = c.value
                              ? adapter::decode_operator_record(c.key, *c.value)
                              : std::nullopt;
            if (!record) {
                state_.log.write("record_skipped",
                                 {{"topic", "operator"}, {"key", c.key}});
                continue;
            }
            std::visit(
                base::overloaded{[&](gateway::configuration& next) {
                                     membership_.set_configuration(*c.value);
                                     apply_configuration(std::move(next));
                                 },
                                 [&](const adapter::published_version& v) {
                                     job_owner_.on_version_published(v.model,
                                                                     v.version);
                                 }},
                *record);
        }
    }

    void apply_configuration(gateway::configuration next) {
        if (state_.configuration &&
            next.version <= state_.configuration->version) {
            return;
        }
        // The time since the view was last known to be current bounds the time
        // since the operator wrote the configuration.
        const auto age_ms = state_.configuration ? configuration_age() : 0;
        state_.log.write(
            "configuration",
            {{"version", next.version},
             {"before",
              state_.configuration ? state_.configuration->version : 0},
             {"routes", static_cast<int>(next.routes.size())},
             {"workspaces", count_or_absent(next, &workspace_directory::size)},
             {"api_keys",
              count_or_absent(next, &workspace_directory::key_count)},
             {"unusable",
              count_or_absent(next, &workspace_directory::unusable_count)},
             {"age_ms", age_ms}});
        state_.counters.observe("configuration", age_ms);
        const auto& limits = next.limits;
        caller_server_.set_limits(
            {limits.max_header_bytes, limits.max_body_bytes,
             limits.header_timeout_ms, limits.idle_timeout_ms});
        for (const auto& s : next.sampler_services) {
            state_.samplers.set_memory_tokens(samplers::service_name(s.name),
                                              s.kv_capacity_tokens);
        }
        state_.samplers.set_start_limits(make_limits(next.warming_services));
        std::set<samplers::service_name> services;
        for (const auto& route : next.routes) {
            if (route.kind == gateway::route_kind::batch) {
                continue;
            }
            for (const auto& s : route.services) {
                services.insert(samplers::service_name(s.service));
            }
        }
        membership_.set_services(std::move(services));
        state_.configuration = std::move(next);
    }

    std::map<samplers::service_name, samplers::start_limits>
    make_limits(const std::vector<gateway::warming_service>& services) const {
        std::map<samplers::service_name, samplers::start_limits> limits;
        for (const auto& s : services) {
            limits[samplers::service_name(s.name)] =
                samplers::make_start_limits({s.requests_per_s,
                                             state_.settings.warm_up_overage,
                                             state_.settings.warm_up_slack});
        }
        return limits;
    }

    void on_journal_changed(const std::vector<store::change>& changes) {
        std::set<batch::job_id> jobs;
        for (const auto& c : changes) {
            if (usage_duty_.apply(c) || scaling_duty_.apply(c)) {
                continue;
            }
            if (const auto id = state_.jobs.apply(c)) {
                jobs.insert(*id);
            }
        }
        job_owner_.on_jobs_changed(jobs);
        batch_api_.on_jobs_changed();
    }

    void on_readiness_request(const transport::inbound_request& request,
                              transport::response_writer& response) {
        const bool ready =
            adapter::is_readiness_request(request) && !state_.stopping &&
            state_.configuration && membership_.is_loaded() &&
            (journal_.is_loaded() || !membership_.needs_journal());
        response.send(adapter::status_response(ready ? 200 : 503));
    }

    void on_directory_request(const transport::inbound_request& request,
                              transport::response_writer& response) {
        const auto call = adapter::parse_resolve_request(request);
        if (!call) {
            response.send(adapter::status_response(404));
            return;
        }
        auto addresses =
            membership_.nodes().caller_addresses(base::zone_id(call->zone));
        if (addresses.empty() && !state_.stopping) {
            addresses.push_back(state_.settings.listen_callers);
        }
        response.send(adapter::resolve_response(addresses, directory_ttl_s));
    }

    /// Serves other nodes, whose calls to the store are relayed, and the
    /// metrics collector.
    void on_internal_request(
        const transport::inbound_request& request,
        const std::shared_ptr<transport::response_writer>& response) {
        if (!adapter::relay_to_store(client_, state_.settings.store, request,
                                     response)) {
            send_metrics(*response);
        }
    }

    void send_metrics(transport::response_writer& response) {
        const auto c = client_.counts();
        state_.counters.set("connections_opened",
                            static_cast<double>(c.connections_opened));
        state_.counters.set("connections_reused",
                            static_cast<double>(c.connections_reused));
        state_.counters.set("stray_bytes",
                            static_cast<double>(c.unsolicited_reads));
        state_.counters.set("responses_malformed",
                            static_cast<double>(c.malformed_responses));
        const auto& buffers = caller_server_.buffers();
        state_.counters.set("held_bytes", static_cast<double>(buffers.held()));
        state_.counters.set("held_bytes_peak",
                            static_cast<double>(buffers.peak()));
        state_.counters.set("response_bytes",
                            static_cast<double>(response_buffers_->held()));
        state_.counters.set("response_bytes_peak",
                            static_cast<double>(response_buffers_->peak()));
        state_.counters.set(
            "connections_open",
            static_cast<double>(server_resources_->open_connections()));
        state_.counters.set(
            "connections_displaced",
            static_cast<double>(server_resources_->displaced_connections()));
        state_.counters.set("log_lines_dropped",
                            static_cast<double>(state_.log.dropped_lines()));
        state_.counters.set("owner", job_owner_.is_owner() ? 1 : 0);
        state_.counters.set("jobs",
                            static_cast<double>(state_.jobs.jobs().size()));
        for (const auto& [topic, totals] : store_calls_.by_topic()) {
            const auto prefix = "store_" + topic + "_";
            const auto set = [&](const char* name, std::uint64_t value) {
                state_.counters.set(prefix + name, static_cast<double>(value));
            };
            set("reads", totals.reads);
            set("appends", totals.appends);
            set("failed", totals.failed);
            set("sent_bytes", totals.sent_bytes);
            set("received_bytes", totals.received_bytes);
        }
        state_.counters.set(
            "records_unreadable",
            static_cast<double>(state_.jobs.unreadable_records()));
        response.send({200,
                       {{"Content-Type", "text/plain"}},
                       state_.counters.serialize()});
    }

    /// Bounds what the servers hold for callers and the client keeps of
    /// responses by the memory of this process, and connections by its
    /// descriptors.
    void set_server_bounds() {
        server_resources_->set_buffer_limits(
            make_buffer_limits(state_.settings.memory_mb));
        response_buffers_->set_total(
            max_response_bytes(state_.settings.memory_mb));
        server_resources_->set_max_connections(
            max_caller_connections(state_.settings.max_descriptors));
    }

    transport::abort_reporting make_reject_reporting() {
        return {
            adapter::request_id_header, nullptr,
            [this](const auto& rejected) { on_request_rejected(rejected); }};
    }

    /// Logs a request that was rejected before it was read completely.
    void on_request_rejected(const transport::rejected_request& rejected) {
        const std::string cause(base::name_of(rejected.cause));
        state_.counters.count_response("caller", "refused", cause);
        state_.log.write(
            "input_refused",
            {{"id", rejected.request_id},
             {"target", rejected.target},
             {"cause", cause},
             {"status", rejected.status},
             {"held_bytes", static_cast<std::int64_t>(rejected.held_bytes)},
             {"age_ms", rejected.age_ms}});
    }

    /// Logs a request that ended without a complete response.
    void on_request_aborted(const transport::aborted_request& aborted) {
        const std::string cause(base::name_of(aborted.cause));
        state_.counters.count_response("caller", "cut", cause);
        state_.log.write("request_cut",
                         {{"id", aborted.request_id},
                          {"target", aborted.target},
                          {"cause", cause},
                          {"age_ms", aborted.age_ms},
                          {"answer_began", aborted.response_started},
                          {"stopping", state_.stopping}});
    }

    asio::io_context io_{1};
    node_state state_;
    std::string settings_path_;
    /// The content of the settings file when it was last read.
    std::string settings_text_;
    asio::signal_set signals_;
    std::shared_ptr<transport::response_buffers> response_buffers_ =
        std::make_shared<transport::response_buffers>();
    transport::upstream_client client_;
    store::run_after_function run_after_;
    store_monitor store_monitor_;
    store::call_statistics store_calls_;
    store::log_store log_store_;
    store::partition_watcher operator_watcher_;
    membership::fleet_membership membership_;
    store::partition_watcher journal_;
    job_store job_store_;
    usage_recorder usage_recorder_;
    admission_control admission_;
    forwarder forwarder_;
    job_owner job_owner_;
    usage_duty usage_duty_;
    scaling_duty scaling_duty_;
    batch_api batch_api_;
    request_router request_router_;
    std::shared_ptr<transport::server_resources> server_resources_ =
        std::make_shared<transport::server_resources>();
    transport::streaming_http_server caller_server_;
    transport::streaming_http_server readiness_server_;
    transport::streaming_http_server directory_server_;
    transport::streaming_http_server internal_server_;
    bool handed_over_ = false;
    bool closing_servers_ = false;
};

} // namespace

std::optional<listen_error> run_node(const node_settings& settings,
                                     const std::string& path) {
    entry_node node(settings, path);
    return node.run();
}

} // namespace hibiscus::entry
