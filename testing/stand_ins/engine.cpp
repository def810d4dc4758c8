// Stands in for a model engine: continuous batching over a number of slots by
// priority, a prefix cache of limited size with events that come late and
// with gaps, streams that are resumed and cancelled by id and moved by export
// and import of their KV cache, a role, load reports that lag, orders to serve
// a version (with or without a check of the fencing number), and swaps that
// may fail. Lengths of samples come from the stream's seed; a few run far
// longer than the rest. For the oracle it records which versions produced each
// stream. Faults are switched by POST /v1/fault: "freeze" (it answers nothing
// and makes no progress), "crash" (it forgets everything but the record, as a
// restart would), "fail_swaps" (the share of swaps that fail).
// It does not model memory of the KV cache per token, the time that a batch's
// size costs, the bytes of an exported cache, or adapters.

#include "hibiscus/net/http_client.hpp"
#include "hibiscus/wire/codec.hpp"
#include "stand_ins/cache_event_log.hpp"
#include "support/fake_server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <utility>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "where to listen");
ABSL_FLAG(std::string, weights, "", "address of the weight store");
ABSL_FLAG(int, slots, 8, "streams that run at a time");
ABSL_FLAG(int, chunk_ms, 20, "time for one chunk of each running stream");
ABSL_FLAG(int, prefill_chunks, 4, "chunk times that a new prefix costs");
ABSL_FLAG(int, cached_prefixes, 16, "prefixes kept in the cache");
ABSL_FLAG(bool, check_fencing, true, "refuse orders with an old number");
ABSL_FLAG(double, fail_swaps, 0.0, "share of the swaps that fail");
ABSL_FLAG(int, straggler_percent, 3,
          "share of samples that run 5 times longer");
ABSL_FLAG(int, load_lag_ms, 100, "how old the reported load is");
ABSL_FLAG(int, event_lag_ms, 200, "how late cache events are published");
ABSL_FLAG(int, event_gap_percent, 5, "share of cache events that are lost");
ABSL_FLAG(int, kv_move_ms, 50, "how long an export or import takes");
ABSL_FLAG(std::string, role, "mixed", "mixed, prefill or decode");

namespace hibiscus::testing {
namespace {

using nlohmann::json;

/// One stream from its start until it is stopped.
struct stream_row {
    wire::stream_start start;
    std::vector<wire::chunk> chunks;
    std::uint32_t length = 0;
    int prefill_chunks_left = 0;
    /// True if its KV cache came with it.
    bool has_kv_cache = false;
    std::uint64_t arrival = 0;
    wire::stream_state state = wire::stream_state::queued;
};

/// A poll that waits for news.
struct waiting_poll {
    wire::engine_poll poll;
    base::millis deadline = 0;
    net::http_responder respond;
};

/// The load at a time.
struct load_sample {
    base::millis at = 0;
    int running = 0;
    int queued = 0;
};

constexpr std::uint32_t straggler_factor = 5;
constexpr base::millis weights_timeout_ms = 20000;

/// The whole engine. Runs in one thread.
class fake_engine {
public:
    explicit fake_engine(boost::asio::io_context& io)
        : timer_(io), http_(io, 1000),
          weight_store_(base::parse_endpoint(absl::GetFlag(FLAGS_weights))) {
        tick();
    }

    /// Handles one request.
    void handle(const net::http_request& request,
                const net::http_responder& respond) {
        const auto path = strip_query(request.target);
        if (path == "/v1/fault") {
            set_fault(request, respond);
        } else if (path == "/v1/counts") {
            respond(ok_response(counts().dump()));
        } else if (path == "/v1/record") {
            respond(ok_response(json(chunk_versions_).dump()));
        } else if (frozen_) {
            held_requests_.emplace_back(request, respond);
        } else {
            handle_engine_call(path, request, respond);
        }
    }

private:
    void handle_engine_call(const std::string& path,
                            const net::http_request& request,
                            const net::http_responder& respond) {
        if (path == "/v1/streams") {
            start(request, respond);
        } else if (path == "/v1/streams/stop") {
            stop(request, respond);
        } else if (path == "/v1/streams/poll") {
            poll(request, respond);
        } else if (path == "/v1/streams/export") {
            export_stream(request, respond);
        } else if (path == "/v1/streams/import") {
            import_stream(request, respond);
        } else if (path == "/v1/orders") {
            order(request, respond);
        } else if (path == "/v1/role") {
            change_role(request, respond);
        } else if (path == "/v1/cache_events") {
            const auto from = parse_query_number(request.target, "from", 0);
            respond(ok_response(cache_events_.page(from, clock_.now()).dump()));
        } else {
            respond({404, "{}", "application/json"});
        }
    }

    json counts() const {
        return {{"started", started_count_},
                {"finished", finished_count_},
                {"busy_slot_ms", busy_slot_ms_},
                {"alive_ms", clock_.now() - started_at_}};
    }

    void set_fault(const net::http_request& request,
                   const net::http_responder& respond) {
        const auto body = json::parse(request.body, nullptr, false);
        if (body.is_object()) {
            fail_swaps_ = body.value("fail_swaps", fail_swaps_);
            frozen_ = body.value("freeze", frozen_);
            if (body.value("crash", false)) {
                streams_.clear();
                served_versions_.clear();
                prefix_cache_.clear();
                highest_order_number_ = {0, 0};
            }
        }
        respond(ok_response("{}"));
        if (!frozen_) {
            for (auto& [held, answer] : std::exchange(held_requests_, {})) {
                handle_engine_call(strip_query(held.target), held, answer);
            }
        }
    }

    /// Returns true if the number of an order is too old; remembers it if not.
    bool
    is_stale_order_number(const std::pair<std::int64_t, std::int64_t>& number) {
        if (absl::GetFlag(FLAGS_check_fencing) &&
            number < highest_order_number_) {
            return true;
        }
        highest_order_number_ = std::max(highest_order_number_, number);
        return false;
    }

    void change_role(const net::http_request& request,
                     const net::http_responder& respond) {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            respond({400, "{}", "application/json"});
            return;
        }
        const auto number = body.value("number", json::object());
        const bool old =
            is_stale_order_number({number.value("epoch", std::int64_t{0}),
                                   number.value("sequence", std::int64_t{0})});
        if (!old) {
            role_ = body.value("role", role_);
        }
        respond_to_order(respond, old ? wire::order_result::fenced
                                      : wire::order_result::done);
    }

    void export_stream(const net::http_request& request,
                       const net::http_responder& respond) {
        const auto body = json::parse(request.body, nullptr, false);
        const auto at = body.is_object()
                            ? streams_.find(base::stream_id(
                                  body.value("stream", std::string())))
                            : streams_.end();
        if (at == streams_.end() || at->second.prefill_chunks_left > 0) {
            respond({404, "{}", "application/json"});
            return;
        }
        json chunks = json::array();
        for (const auto& c : at->second.chunks) {
            chunks.push_back(
                {{"seq", c.seq}, {"version", c.version}, {"text", c.text}});
        }
        const json moved{{"start", wire::to_json(at->second.start)},
                         {"length", at->second.length},
                         {"chunks", std::move(chunks)}};
        streams_.erase(at);
        respond_after_transfer(respond, moved.dump());
    }

    void import_stream(const net::http_request& request,
                       const net::http_responder& respond) {
        const auto body = json::parse(request.body, nullptr, false);
        const auto read = wire::from_json<wire::stream_start>(
            body.is_object() ? body.value("start", std::string()) : "");
        const auto* message = base::value_if(read);
        if (message == nullptr) {
            respond({400, "{}", "application/json"});
            return;
        }
        stream_row row;
        row.start = *message;
        row.length = body.value("length", std::uint32_t{1});
        row.has_kv_cache = true;
        row.arrival = ++started_count_;
        auto& lines = chunk_versions_[message->stream.str()].emplace_back();
        for (const auto& c : body.value("chunks", json::array())) {
            row.chunks.push_back({c.value("seq", std::uint32_t{0}),
                                  c.value("version", std::int64_t{0}),
                                  c.value("text", std::string())});
            lines.push_back(row.chunks.back().version);
        }
        streams_.insert_or_assign(message->stream, std::move(row));
        respond_after_transfer(respond, "{}");
    }

    void respond_after_transfer(const net::http_responder& respond,
                                const std::string& body) {
        auto timer =
            std::make_shared<boost::asio::steady_timer>(timer_.get_executor());
        timer->expires_after(
            std::chrono::milliseconds(absl::GetFlag(FLAGS_kv_move_ms)));
        timer->async_wait(
            [timer, respond, body](const boost::system::error_code&) {
                respond(ok_response(body));
            });
    }

    static net::http_response ok_response(std::string body) {
        return {200, std::move(body), "application/json"};
    }

    void start(const net::http_request& request,
               const net::http_responder& respond) {
        auto read = wire::from_json<wire::stream_start>(request.body);
        auto* message = base::value_if(read);
        if (message == nullptr) {
            respond({400, "{}", "application/json"});
            return;
        }
        if (role_ == "decode") {
            respond({503, "{}", "application/json"});
            return;
        }
        const auto known = streams_.find(message->stream);
        if (known != streams_.end()) {
            auto& priority = known->second.start.priority;
            priority = std::max(priority, message->priority);
        } else {
            ++started_count_;
            chunk_versions_[message->stream.str()].emplace_back();
            stream_row row;
            row.length = draw_length(*message);
            row.arrival = started_count_;
            row.start = std::move(*message);
            const auto id = row.start.stream;
            streams_.emplace(id, std::move(row));
        }
        respond(ok_response("{}"));
    }

    static std::uint32_t draw_length(const wire::stream_start& start) {
        std::mt19937_64 random(start.seed);
        std::uniform_int_distribution<std::uint32_t> chunks(
            1 + start.max_tokens / 4, 1 + start.max_tokens / 2);
        std::uniform_int_distribution<int> percent(0, 99);
        const auto length = chunks(random);
        const bool straggler =
            percent(random) < absl::GetFlag(FLAGS_straggler_percent);
        return straggler ? length * straggler_factor : length;
    }

    void stop(const net::http_request& request,
              const net::http_responder& respond) {
        const auto read = wire::from_json<wire::cancel_streams>(request.body);
        if (const auto* message = base::value_if(read)) {
            for (const auto& stream : message->streams) {
                streams_.erase(stream);
            }
        }
        respond(ok_response("{}"));
    }

    void poll(const net::http_request& request,
              const net::http_responder& respond) {
        auto read = wire::from_json<wire::engine_poll>(request.body);
        auto* message = base::value_if(read);
        if (message == nullptr) {
            respond({400, "{}", "application/json"});
            return;
        }
        const auto until = clock_.now() + message->wait_ms;
        polls_.push_back({std::move(*message), until, respond});
        respond_to_polls();
    }

    void respond_to_polls() {
        for (std::size_t i = 0; i < polls_.size();) {
            auto news = make_poll_response(polls_[i].poll);
            if (news.streams.empty() && clock_.now() < polls_[i].deadline) {
                ++i;
                continue;
            }
            polls_[i].respond(ok_response(wire::to_json(news)));
            polls_.erase(polls_.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    wire::engine_poll_response
    make_poll_response(const wire::engine_poll& poll) const {
        wire::engine_poll_response news;
        for (const auto& cursor : poll.streams) {
            const auto at = streams_.find(cursor.stream);
            if (at == streams_.end()) {
                news.streams.push_back(
                    {cursor.stream, wire::stream_state::missing, {}});
                continue;
            }
            const auto& row = at->second;
            if (row.chunks.size() > cursor.from ||
                row.state == wire::stream_state::done) {
                const auto from =
                    std::min<std::size_t>(cursor.from, row.chunks.size());
                news.streams.push_back(
                    {cursor.stream,
                     row.state,
                     {row.chunks.begin() + static_cast<std::ptrdiff_t>(from),
                      row.chunks.end()}});
            }
        }
        news.slots = absl::GetFlag(FLAGS_slots);
        news.running =
            load_history_.empty() ? 0 : load_history_.front().running;
        news.queued = load_history_.empty() ? 0 : load_history_.front().queued;
        for (const auto& [trainer, version] : served_versions_) {
            news.serving.push_back({trainer, version});
        }
        return news;
    }

    void order(const net::http_request& request,
               const net::http_responder& respond) {
        const auto read = wire::from_json<wire::version_order>(request.body);
        const auto* message = base::value_if(read);
        if (message == nullptr) {
            respond({400, "{}", "application/json"});
            return;
        }
        const auto number =
            std::make_pair(message->number.epoch, message->number.sequence);
        if (is_stale_order_number(number)) {
            respond_to_order(respond, wire::order_result::fenced);
            return;
        }
        net::http_request fetch;
        fetch.target = "/v1/weights/" + message->trainer.str() + "/" +
                       std::to_string(message->version);
        http_.send(weight_store_.value_or(base::endpoint{}), std::move(fetch),
                   weights_timeout_ms, net::connection_reuse::allowed,
                   [this, m = *message, respond](const net::http_result& r) {
                       on_weights_fetched(m, r, respond);
                   });
    }

    void on_weights_fetched(const wire::version_order& order,
                            const net::http_result& result,
                            const net::http_responder& respond) {
        const auto* response = std::get_if<net::http_response>(&result);
        std::uniform_real_distribution<double> share(0.0, 1.0);
        // A later home may have ordered while the weights were on their way.
        const auto number =
            std::make_pair(order.number.epoch, order.number.sequence);
        if (absl::GetFlag(FLAGS_check_fencing) &&
            number < highest_order_number_) {
            respond_to_order(respond, wire::order_result::fenced);
            return;
        }
        const bool failed = response == nullptr || response->status != 200 ||
                            share(random_) < fail_swaps_;
        if (!failed) {
            served_versions_[order.trainer] = order.version;
        }
        respond_to_order(respond, failed ? wire::order_result::failed
                                         : wire::order_result::done);
    }

    static void respond_to_order(const net::http_responder& respond,
                                 wire::order_result verdict) {
        respond(ok_response(wire::to_json(wire::order_response{verdict})));
    }

    void tick() {
        if (!frozen_) {
            run_batch_step();
        }
        timer_.expires_after(
            std::chrono::milliseconds(absl::GetFlag(FLAGS_chunk_ms)));
        timer_.async_wait([this](const boost::system::error_code&) { tick(); });
    }

    void run_batch_step() {
        admit_queued_streams();
        for (auto& [id, row] : streams_) {
            if (row.state == wire::stream_state::running) {
                busy_slot_ms_ += absl::GetFlag(FLAGS_chunk_ms);
                produce_chunk(row);
            }
        }
        record_load();
        respond_to_polls();
    }

    /// Keeps the loads that are younger than the lag, and one before.
    void record_load() {
        load_sample now;
        now.at = clock_.now();
        for (const auto& [id, row] : streams_) {
            now.running += row.state == wire::stream_state::running ? 1 : 0;
            now.queued += row.state == wire::stream_state::queued ? 1 : 0;
        }
        load_history_.push_back(now);
        const auto limit = now.at - absl::GetFlag(FLAGS_load_lag_ms);
        while (load_history_.size() > 1 && load_history_[1].at <= limit) {
            load_history_.pop_front();
        }
    }

    void admit_queued_streams() {
        std::vector<stream_row*> queued;
        int running = 0;
        for (auto& [id, row] : streams_) {
            if (row.state == wire::stream_state::queued) {
                queued.push_back(&row);
            }
            running += row.state == wire::stream_state::running ? 1 : 0;
        }
        std::sort(queued.begin(), queued.end(),
                  [](const stream_row* a, const stream_row* b) {
                      return std::make_pair(-a->start.priority, a->arrival) <
                             std::make_pair(-b->start.priority, b->arrival);
                  });
        for (auto* row : queued) {
            if (running++ >= absl::GetFlag(FLAGS_slots)) {
                return;
            }
            row->state = wire::stream_state::running;
            row->prefill_chunks_left =
                row->has_kv_cache || touch_prefix(row->start.prompt)
                    ? 0
                    : absl::GetFlag(FLAGS_prefill_chunks);
        }
    }

    /// Returns true if the prompt's prefix is in the cache, and puts it there.
    bool touch_prefix(const std::string& prompt) {
        const auto at =
            std::find(prefix_cache_.begin(), prefix_cache_.end(), prompt);
        const bool hit = at != prefix_cache_.end();
        if (hit) {
            prefix_cache_.erase(at);
        }
        prefix_cache_.push_front(prompt);
        if (!hit) {
            cache_events_.append(clock_.now(), cache_event_kind::stored,
                                 prompt);
        }
        if (prefix_cache_.size() >
            static_cast<std::size_t>(absl::GetFlag(FLAGS_cached_prefixes))) {
            cache_events_.append(clock_.now(), cache_event_kind::evicted,
                                 prefix_cache_.back());
            prefix_cache_.pop_back();
        }
        return hit;
    }

    void produce_chunk(stream_row& row) {
        if (row.prefill_chunks_left > 0) {
            --row.prefill_chunks_left;
            return;
        }
        if (role_ == "prefill") {
            return; // It waits for its export.
        }
        const auto version = served_versions_.find(row.start.trainer);
        const auto number =
            version == served_versions_.end() ? 0 : version->second;
        const auto seq = static_cast<std::uint32_t>(row.chunks.size());
        row.chunks.push_back({seq, number,
                              row.start.stream.str() + ":" +
                                  std::to_string(seq) + ":v" +
                                  std::to_string(number) + ";"});
        chunk_versions_[row.start.stream.str()].back().push_back(number);
        if (row.chunks.size() >= row.length) {
            row.state = wire::stream_state::done;
            ++finished_count_;
        }
    }

    base::clock clock_;
    base::millis started_at_ = clock_.now();
    boost::asio::steady_timer timer_;
    net::http_client http_;
    std::optional<base::endpoint> weight_store_;
    std::map<base::stream_id, stream_row> streams_;
    std::map<base::trainer_id, wire::weight_version> served_versions_;
    std::pair<std::int64_t, std::int64_t> highest_order_number_{0, 0};
    std::list<std::string> prefix_cache_;
    cache_event_log cache_events_{absl::GetFlag(FLAGS_event_lag_ms),
                                  absl::GetFlag(FLAGS_event_gap_percent)};
    std::deque<load_sample> load_history_;
    /// For each stream and each time that it was started, the version of each
    /// chunk.
    std::map<std::string, std::vector<std::vector<wire::weight_version>>>
        chunk_versions_;
    std::string role_ = absl::GetFlag(FLAGS_role);
    double fail_swaps_ = absl::GetFlag(FLAGS_fail_swaps);
    bool frozen_ = false;
    std::vector<std::pair<net::http_request, net::http_responder>>
        held_requests_;
    std::vector<waiting_poll> polls_;
    std::mt19937_64 random_{1};
    std::uint64_t started_count_ = 0;
    std::uint64_t finished_count_ = 0;
    std::int64_t busy_slot_ms_ = 0;
};

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    using hibiscus::testing::fake_engine;
    return hibiscus::testing::run_fake_server(
        absl::GetFlag(FLAGS_address), [](boost::asio::io_context& io) {
            auto e = std::make_shared<fake_engine>(io);
            return [e](const hibiscus::net::http_request& request,
                       const hibiscus::net::http_responder& respond) {
                e->handle(request, respond);
            };
        });
}
