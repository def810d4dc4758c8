#include "hibiscus/entry/daemon.hpp"

#include "batch_api.hpp"
#include "directory.hpp"
#include "forwarder.hpp"
#include "hibiscus/base/result.hpp"
#include "node_state.hpp"
#include "owner.hpp"
#include "platform/documents.hpp"
#include "platform/front.hpp"
#include "platform/sampler_calls.hpp"
#include "platform/store_client.hpp"
#include "registry.hpp"
#include "reload_signal.hpp"
#include "store_watch.hpp"

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

/// How often nodes that don't own the jobs read the journal while there is
/// something new, in ms. The owner appends up to 30 times a second, and each
/// would be one read of every node; callers ask twice a second.
constexpr base::millis journal_pace_ms = 60;

/// How long a read of the journal waits, in ms. An owner's silence shows only
/// in reads that have ended, so that this adds to the time of a takeover.
constexpr base::millis journal_wait_ms = 150;

/// How often held log lines are written, in ms.
constexpr base::millis flush_ms = 200;

/// How long a node serves on after SIGTERM at least, in ms: callers keep an
/// answer of the directory for two seconds, and some connect a little later.
constexpr base::millis least_stop_ms = 3000;

/// The part of the grace period that is left for the exit itself, in ms.
constexpr base::millis exit_margin_ms = 1200;

/// How long before the end of a stop connections are closed at the latest, in
/// ms: longer than most requests take.
constexpr base::millis closing_ms = 2000;

/// How often a stopping node looks whether it may exit, in ms.
constexpr base::millis stop_check_ms = 50;

/// How long callers keep an answer of the directory, in seconds. Longer ones
/// would send callers to nodes that are gone.
constexpr int directory_ttl_s = 2;

/// How soon a caller should come back to a node that has no configuration
/// yet, in ms.
constexpr base::millis start_retry_ms = 300;

/// How often the settings file is looked at, in ms: a kilobyte, which is read
/// far sooner than operators need a change in force.
constexpr base::millis settings_check_ms = 2000;

/// The default patience of a caller that names none, in ms.
constexpr base::millis default_deadline_ms = 10000;

/// One entry node: wires its parts to the addresses and the store.
class entry_node {
public:
    entry_node(const node_settings& settings, std::string path)
        : state_(settings), path_(std::move(path)), signals_(io_), client_(io_),
          after_([this](base::millis ms, std::function<void()> f) {
              after(ms, std::move(f));
          }),
          watch_(state_, client_, after_,
                 [this] { return directory_.nodes().peers(); }),
          store_(adapter::make_log_store(client_, watch_.link())),
          config_(store_, {adapter::operator_topic, 0}, state_.clock, after_,
                  {}, {[this](const auto& c) { operator_changed(c); }, {}}),
          registry_(state_, store_, after_),
          journal_(store_, {adapter::journal_topic, 0}, state_.clock, after_,
                   {journal_wait_ms, store::follower_times().retry,
                    [this] { return owner_.owns() ? 0 : journal_pace_ms; }},
                   {[this](const auto& c) { journal_changed(c); },
                    [this](bool up) { owner_.contact(up); }}),
          files_(store_, settings.partitions,
                 {settings.record_bytes, settings.append_bytes}),
          directory_(state_, store_, after_), requests_(state_, client_),
          owner_(state_, store_, watch_.link(), journal_, files_, client_,
                 requests_, after_),
          batch_(state_, store_, journal_, files_, after_),
          callers_(
              io_, {},
              [this](auto r, auto e) { on_caller(std::move(r), std::move(e)); },
              {adapter::request_id_field,
               [this](const auto& cut) { on_cut(cut); }}),
          readiness_(io_, {},
                     [this](const auto& r, auto e) { on_readiness(r, *e); }),
          lookup_(io_, {},
                  [this](const auto& r, auto e) { on_directory(r, *e); }),
          metrics_(io_, {},
                   [this](const auto& r, auto e) { on_internal(r, e); }) {}

    std::optional<listen_failed> run() {
        wait_for_signal();
        block_reloads(false);
        if (auto failed = listen()) {
            return failed;
        }
        state_.log.write("start",
                         {{"zone", state_.config.zone},
                          {"callers", to_string(state_.config.listen_callers)},
                          {"store", to_string(state_.config.store)}});
        config_.start();
        registry_.start();
        journal_.start();
        directory_.start();
        owner_.start();
        batch_.start();
        flush();
        watch_.start();
        settings_text_ = settings_text();
        watch_settings();
        io_.run();
        block_reloads(true);
        state_.log.flush();
        return std::nullopt;
    }

private:
    void after(base::millis ms, std::function<void()> f) {
        auto timer = std::make_shared<asio::steady_timer>(
            io_, std::chrono::milliseconds(ms));
        timer->async_wait([timer, f = std::move(f)](const auto& error) {
            if (!error) {
                f();
            }
        });
    }

    std::optional<listen_failed> listen() {
        const auto& c = state_.config;
        if (!callers_.listen(c.listen_callers)) {
            return listen_failed{c.listen_callers};
        }
        if (!readiness_.listen(c.listen_readiness)) {
            return listen_failed{c.listen_readiness};
        }
        if (!lookup_.listen(c.listen_directory)) {
            return listen_failed{c.listen_directory};
        }
        if (!metrics_.listen(c.listen_metrics)) {
            return listen_failed{c.listen_metrics};
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
                settings_text_ = settings_text();
                reload("signal");
            } else {
                stop();
            }
            wait_for_signal();
        });
    }

    /// Takes the bounds and the store's address from the settings file. What
    /// the process listens on can't change while it runs; a file that can't be
    /// read leaves the settings in force as they are.
    void reload(const char* cause) {
        const auto loaded = load_node_settings(path_);
        const auto* fresh = base::value_if(loaded);
        if (fresh == nullptr) {
            state_.log.write("reload", {{"cause", cause}, {"taken", false}});
            return;
        }
        auto& now = state_.config;
        const bool store_moved = !(now.store == fresh->store);
        now.lease_ms = fresh->lease_ms;
        now.drain_ms = fresh->drain_ms;
        now.cancel_ms = fresh->cancel_ms;
        now.grace_ms = fresh->grace_ms;
        now.status_ms = fresh->status_ms;
        now.margin_ms = fresh->margin_ms;
        now.fences_checked = fresh->fences_checked;
        now.store = fresh->store;
        if (store_moved) {
            watch_.link().move_to(now.store);
        }
        state_.log.write("reload",
                         {{"cause", cause},
                          {"taken", true},
                          {"store_moved", store_moved},
                          {"needs_restart", listens_on_other(*fresh)}});
    }

    bool listens_on_other(const node_settings& fresh) const {
        const auto& now = state_.config;
        return !(now.listen_callers == fresh.listen_callers &&
                 now.listen_readiness == fresh.listen_readiness &&
                 now.listen_directory == fresh.listen_directory &&
                 now.listen_metrics == fresh.listen_metrics);
    }

    std::string settings_text() const {
        std::ifstream in(path_);
        return {std::istreambuf_iterator<char>(in), {}};
    }

    /// The file may change without a signal.
    void watch_settings() {
        auto text = settings_text();
        if (!text.empty() && text != settings_text_) {
            settings_text_ = std::move(text);
            reload("file_changed");
        }
        after(settings_check_ms, [this] { watch_settings(); });
    }

    void stop() {
        if (state_.stopping) {
            return;
        }
        state_.stopping = true;
        stop_at_ = state_.clock.now();
        state_.log.write("stopping",
                         {{"in_flight", static_cast<int>(callers_.in_flight())},
                          {"owns", owner_.owns()}});
        directory_.leave();
        owner_.hand_over([this] { handed_over_ = true; });
        for (auto* s : servers()) {
            s->drain();
        }
        check_stop();
    }

    void check_stop() {
        const auto since = state_.clock.now() - stop_at_;
        const auto latest = state_.config.grace_ms - exit_margin_ms;
        const auto close_by = latest - closing_ms;
        if (since >= close_by || (handed_over_ && since >= least_stop_ms)) {
            close_servers();
        }
        if ((handed_over_ && all_closed()) || since >= latest) {
            end_stop(since);
            return;
        }
        after(stop_check_ms, [this] { check_stop(); });
    }

    void close_servers() {
        if (std::exchange(closing_, true)) {
            return;
        }
        for (auto* s : servers()) {
            s->close();
        }
    }

    bool all_closed() {
        const auto all = servers();
        return std::all_of(all.begin(), all.end(),
                           [](const auto* s) { return s->closed(); });
    }

    void end_stop(base::millis took) {
        state_.log.write("stop",
                         {{"in_flight", static_cast<int>(callers_.in_flight())},
                          {"handed_over", handed_over_},
                          {"ms", took}});
        close_servers();
        // Requests that were read may wait for their handlers' turn.
        asio::post(io_, [this] {
            // A server may have run what is still open.
            constexpr int gateway_timeout = 504;
            for (auto* s : servers()) {
                s->answer_open(gateway_timeout);
            }
            io_.stop();
        });
    }

    std::array<transport::event_server*, 4> servers() {
        return {&callers_, &readiness_, &lookup_, &metrics_};
    }

    void flush() {
        state_.log.flush();
        after(flush_ms, [this] { flush(); });
    }

    void operator_changed(const std::vector<store::change>& changes) {
        for (const auto& c : changes) {
            auto record = c.value
                              ? adapter::decode_operator_record(c.key, *c.value)
                              : std::nullopt;
            if (!record) {
                state_.log.write("record_skipped",
                                 {{"topic", "operator"}, {"key", c.key}});
                continue;
            }
            std::visit(base::overloaded{[&](gateway::configuration& n) {
                                            take_configuration(std::move(n));
                                        },
                                        [&](const adapter::named_version& v) {
                                            owner_.version_named(v.model,
                                                                 v.version);
                                        }},
                       *record);
        }
    }

    void take_configuration(gateway::configuration next) {
        if (state_.routes && next.version <= state_.routes->version) {
            return;
        }
        state_.log.write(
            "configuration",
            {{"version", next.version},
             {"before", state_.routes ? state_.routes->version : 0},
             {"routes", static_cast<int>(next.routes.size())}});
        const auto& l = next.limits;
        callers_.set_limits(
            {l.header_bytes, l.body_bytes, l.header_ms, l.idle_ms});
        for (const auto& s : next.token_services) {
            state_.samplers.set_memory(samplers::service_name(s.name),
                                       s.memory_tokens);
        }
        state_.routes = std::move(next);
    }

    void journal_changed(const std::vector<store::change>& changes) {
        std::set<batch::job_id> jobs;
        for (const auto& c : changes) {
            if (const auto id = state_.jobs.apply(c)) {
                jobs.insert(*id);
            }
        }
        owner_.ledger_changed(jobs);
        batch_.ledger_changed();
    }

    void on_readiness(const transport::inbound_request& request,
                      transport::exchange& answer) {
        const bool ready = adapter::is_ready_call(request) &&
                           !state_.stopping && state_.routes &&
                           registry_.loaded() && journal_.loaded();
        answer.respond(adapter::plain_status(ready ? 200 : 503));
    }

    void on_directory(const transport::inbound_request& request,
                      transport::exchange& answer) {
        const auto call = adapter::parse_directory(request);
        if (!call) {
            answer.respond(adapter::plain_status(404));
            return;
        }
        auto addresses =
            directory_.nodes().addresses(base::zone_id(call->zone));
        if (addresses.empty() && !state_.stopping) {
            addresses.push_back(state_.config.listen_callers);
        }
        answer.respond(adapter::resolved(addresses, directory_ttl_s));
    }

    /// Answers other nodes, whose calls to the store it passes on, and the
    /// collector of metrics.
    void on_internal(const transport::inbound_request& request,
                     const std::shared_ptr<transport::exchange>& answer) {
        if (!adapter::relay_to_store(client_, state_.config.store, request,
                                     answer)) {
            on_metrics(*answer);
        }
    }

    void on_metrics(transport::exchange& answer) {
        const auto c = client_.counts();
        state_.counters.set("connections_opened",
                            static_cast<double>(c.connections));
        state_.counters.set("connections_reused",
                            static_cast<double>(c.reused));
        state_.counters.set("stray_bytes", static_cast<double>(c.stray_bytes));
        state_.counters.set("log_lines_dropped",
                            static_cast<double>(state_.log.dropped()));
        state_.counters.set("owner", owner_.owns() ? 1 : 0);
        state_.counters.set("jobs",
                            static_cast<double>(state_.jobs.jobs().size()));
        state_.counters.set("records_unreadable",
                            static_cast<double>(state_.jobs.unreadable()));
        answer.respond({200,
                        {{"Content-Type", "text/plain"}},
                        state_.counters.serialize()});
    }

    void on_caller(transport::inbound_request request,
                   std::shared_ptr<transport::exchange> answer) {
        std::visit(base::overloaded{[&](const adapter::read_call& c) {
                                        batch_.read(c, std::move(answer));
                                    },
                                    [&](const adapter::body_call& c) {
                                        batch_.body(c, std::move(answer));
                                    },
                                    [&](const adapter::end_call& c) {
                                        batch_.end(c, std::move(answer));
                                    },
                                    [&](const adapter::routed_call& c) {
                                        on_routed(c, std::move(request),
                                                  std::move(answer));
                                    }},
                   adapter::parse_front(request));
    }

    /// Tells of a request that has ended without a complete answer.
    void on_cut(const transport::cut_request& cut) {
        const std::string cause(base::name_of(cut.cause));
        state_.counters.count_answer("caller", "cut", cause);
        state_.log.write("request_cut", {{"id", cut.id},
                                         {"target", cut.target},
                                         {"cause", cause},
                                         {"age_ms", cut.age_ms},
                                         {"answer_began", cut.answer_began},
                                         {"stopping", state_.stopping}});
    }

    void on_routed(const adapter::routed_call& call,
                   transport::inbound_request request,
                   std::shared_ptr<transport::exchange> answer) {
        if (!state_.routes) {
            // A node that knows no configuration can't say what does not
            // exist.
            log_refusal(call, "no_configuration");
            answer->respond(adapter::not_run(start_retry_ms));
            return;
        }
        const auto* r =
            gateway::match(*state_.routes, call.host, request.target);
        if (r == nullptr) {
            log_refusal(call, "no_route");
            answer->respond(adapter::plain_status(404));
            return;
        }
        if (r->kind == gateway::route_kind::batch) {
            on_submission(call, request, std::move(answer));
            return;
        }
        requests_.answer(to_forward(call, *r, std::move(request)),
                         std::move(answer));
    }

    void log_refusal(const adapter::routed_call& call, const char* reason) {
        state_.log.write(
            "refused",
            {{"id", call.id},
             {"host", call.host},
             {"configuration", state_.routes ? state_.routes->version : 0},
             {"reason", reason}});
    }

    void on_submission(const adapter::routed_call& call,
                       const transport::inbound_request& request,
                       std::shared_ptr<transport::exchange> answer) {
        auto job = adapter::decode_job(request, call);
        if (!job) {
            log_refusal(call, "no_job");
            answer->respond(adapter::plain_status(400));
            return;
        }
        batch_.submit(std::move(*job), call.deadline_ms, std::move(answer));
    }

    forward_request to_forward(const adapter::routed_call& call,
                               const gateway::route& r,
                               transport::inbound_request request) {
        forward_request f;
        f.id = call.id;
        f.kind = "request";
        f.content.method = std::move(request.method);
        f.content.target = std::move(request.target);
        f.content.body = std::move(request.body);
        f.content.fields.push_back({"Host", call.host});
        for (auto& field : request.fields) {
            if (!transport::is_hop_by_hop(field.name)) {
                f.content.fields.push_back(std::move(field));
            }
        }
        f.service = samplers::service_name(choose_target(r, state_.draw()));
        f.attempts = r.attempts;
        f.streamed = r.kind == gateway::route_kind::streaming;
        f.resumable = f.streamed && r.resumable;
        f.repeatable = r.kind == gateway::route_kind::idempotent || f.resumable;
        auto time =
            call.deadline_ms > 0 ? call.deadline_ms : default_deadline_ms;
        if (r.timeout_ms > 0) {
            time = std::min(time, r.timeout_ms);
        }
        f.due = state_.clock.now() + time;
        f.objective_ms = r.objective_ms;
        return f;
    }

    asio::io_context io_{1};
    node_state state_;
    std::string path_;
    /// The settings file as it was last read.
    std::string settings_text_;
    asio::signal_set signals_;
    transport::upstream_client client_;
    store::delay_function after_;
    store_watch watch_;
    store::log_store store_;
    store::follower config_;
    registry registry_;
    store::follower journal_;
    job_files files_;
    directory directory_;
    forwarder requests_;
    owner owner_;
    batch_api batch_;
    transport::event_server callers_;
    transport::event_server readiness_;
    transport::event_server lookup_;
    transport::event_server metrics_;
    base::millis stop_at_ = 0;
    bool handed_over_ = false;
    bool closing_ = false;
};

} // namespace

std::optional<listen_failed> run_node(const node_settings& settings,
                                      const std::string& path) {
    entry_node node(settings, path);
    return node.run();
}

} // namespace hibiscus::entry
