// Stand-in for a model engine. It models continuous batching over a number of
// slots by priority; a prefix cache of limited size whose events are delayed
// and partly lost; streams that are resumed and cancelled by id and moved by
// export and import of their KV cache; a role; load reports with a lag; orders
// to serve a version, with or without a check of the fencing token; and weight
// swaps that may fail. The length of a sample is drawn from the seed of its
// stream; a few samples are several times longer than the rest. For the oracle
// it records which versions produced each stream.
// POST /v1/fault injects faults: "freeze" (sends no responses and makes no
// progress), "crash" (drops all state except the record for the oracle, as a
// restart would), "fail_swaps" (the share of swaps that fail).
// Does not model the memory of the KV cache per token, the influence of the
// batch size on the time of a decoding step, the size of an exported cache, or
// adapters.

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

ABSL_FLAG(std::string, address, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(std::string, weights, "", "address of the weight store");
ABSL_FLAG(int, slots, 8, "number of streams that run concurrently");
ABSL_FLAG(int, chunk_ms, 20,
          "time in ms to generate one chunk of each running stream");
ABSL_FLAG(int, prefill_chunks, 4,
          "prefill time of an uncached prefix, in chunks");
ABSL_FLAG(int, cached_prefixes, 16,
          "capacity of the prefix cache, in prefixes");
ABSL_FLAG(bool, check_fencing, true, "reject orders with an old fencing token");
ABSL_FLAG(double, fail_swaps, 0.0, "share of the weight swaps that fail");
ABSL_FLAG(int, straggler_percent, 3,
          "percentage of samples that are 5 times longer");
ABSL_FLAG(int, load_lag_ms, 100, "age of the reported load in ms");
ABSL_FLAG(int, event_lag_ms, 200, "delay of published cache events in ms");
ABSL_FLAG(int, event_gap_percent, 5,
          "percentage of cache events that are lost");
ABSL_FLAG(int, kv_move_ms, 50, "duration of an export or import in ms");
ABSL_FLAG(std::string, role, "mixed", "mixed, prefill or decode");

namespace hibiscus::testing {
namespace {

using nlohmann::json;

/// A stream between its start and its stop.
struct engine_stream {
    wire::stream_start start;
    std::vector<wire::chunk> chunks;
    std::uint32_t length = 0;
    int prefill_chunks_left = 0;
    /// True if the stream was imported with its KV cache, so it needs no
    /// prefill.
    bool has_kv_cache = false;
    std::uint64_t arrival = 0;
    wire::stream_state state = wire::stream_state::queued;
};

/// A poll that has not been responded to yet.
struct waiting_poll {
    wire::engine_poll poll;
    base::millis deadline = 0;
    net::http_responder respond;
};

/// The number of streams at one time.
struct load_snapshot {
    base::millis time = 0;
    int running = 0;
    int queued = 0;
};

constexpr std::uint32_t straggler_factor = 5;
constexpr base::millis weights_timeout_ms = 20000;

/// Implements the engine. Single-threaded.
class engine_stand_in {
public:
    explicit engine_stand_in(boost::asio::io_context& io)
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
            handle_order(request, respond);
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
                highest_fencing_token_ = {0, 0};
            }
        }
        respond(ok_response("{}"));
        if (!frozen_) {
            for (auto& [held, held_respond] :
                 std::exchange(held_requests_, {})) {
                handle_engine_call(strip_query(held.target), held,
                                   held_respond);
            }
        }
    }

    /// Returns true if the fencing token of an order is lower than the highest
    /// one so far, which it otherwise updates. Always returns false if
    /// --check_fencing is off.
    bool
    is_stale_fencing_token(const std::pair<std::int64_t, std::int64_t>& token) {
        if (absl::GetFlag(FLAGS_check_fencing) &&
            token < highest_fencing_token_) {
            return true;
        }
        highest_fencing_token_ = std::max(highest_fencing_token_, token);
        return false;
    }

    void change_role(const net::http_request& request,
                     const net::http_responder& respond) {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            respond({400, "{}", "application/json"});
            return;
        }
        const auto token = body.value("number", json::object());
        const bool is_stale =
            is_stale_fencing_token({token.value("epoch", std::int64_t{0}),
                                    token.value("sequence", std::int64_t{0})});
        if (!is_stale) {
            role_ = body.value("role", role_);
        }
        respond_to_order(respond, is_stale ? wire::order_result::fenced
                                           : wire::order_result::done);
    }

    void export_stream(const net::http_request& request,
                       const net::http_responder& respond) {
        const auto body = json::parse(request.body, nullptr, false);
        const auto entry = body.is_object()
                               ? streams_.find(base::stream_id(
                                     body.value("stream", std::string())))
                               : streams_.end();
        if (entry == streams_.end() || entry->second.prefill_chunks_left > 0) {
            respond({404, "{}", "application/json"});
            return;
        }
        json chunks = json::array();
        for (const auto& c : entry->second.chunks) {
            chunks.push_back(
                {{"seq", c.seq}, {"version", c.version}, {"text", c.text}});
        }
        const json exported{{"start", wire::to_json(entry->second.start)},
                            {"length", entry->second.length},
                            {"chunks", std::move(chunks)}};
        streams_.erase(entry);
        respond_after_transfer(respond, exported.dump());
    }

    void import_stream(const net::http_request& request,
                       const net::http_responder& respond) {
        const auto body = json::parse(request.body, nullptr, false);
        const auto parsed = wire::from_json<wire::stream_start>(
            body.is_object() ? body.value("start", std::string()) : "");
        const auto* message = base::value_if(parsed);
        if (message == nullptr) {
            respond({400, "{}", "application/json"});
            return;
        }
        engine_stream row;
        row.start = *message;
        row.length = body.value("length", std::uint32_t{1});
        row.has_kv_cache = true;
        row.arrival = ++started_count_;
        auto& versions = chunk_versions_[message->stream.str()].emplace_back();
        for (const auto& c : body.value("chunks", json::array())) {
            row.chunks.push_back({c.value("seq", std::uint32_t{0}),
                                  c.value("version", std::int64_t{0}),
                                  c.value("text", std::string())});
            versions.push_back(row.chunks.back().version);
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
        auto parsed = wire::from_json<wire::stream_start>(request.body);
        auto* message = base::value_if(parsed);
        if (message == nullptr) {
            respond({400, "{}", "application/json"});
            return;
        }
        if (role_ == "decode") {
            respond({503, "{}", "application/json"});
            return;
        }
        const auto existing = streams_.find(message->stream);
        if (existing != streams_.end()) {
            auto& priority = existing->second.start.priority;
            priority = std::max(priority, message->priority);
        } else {
            ++started_count_;
            chunk_versions_[message->stream.str()].emplace_back();
            engine_stream row;
            row.length = draw_length(*message);
            row.arrival = started_count_;
            row.start = std::move(*message);
            const auto id = row.start.stream;
            streams_.emplace(id, std::move(row));
        }
        respond(ok_response("{}"));
    }

    /// Draws the number of chunks of a stream. Must match sample_length() in
    /// bench/scenario.cpp.
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
        const auto parsed = wire::from_json<wire::cancel_streams>(request.body);
        if (const auto* message = base::value_if(parsed)) {
            for (const auto& stream : message->streams) {
                streams_.erase(stream);
            }
        }
        respond(ok_response("{}"));
    }

    void poll(const net::http_request& request,
              const net::http_responder& respond) {
        auto parsed = wire::from_json<wire::engine_poll>(request.body);
        auto* message = base::value_if(parsed);
        if (message == nullptr) {
            respond({400, "{}", "application/json"});
            return;
        }
        const auto deadline = clock_.now() + message->wait_ms;
        polls_.push_back({std::move(*message), deadline, respond});
        respond_to_polls();
    }

    void respond_to_polls() {
        for (std::size_t i = 0; i < polls_.size();) {
            auto response = make_poll_response(polls_[i].poll);
            if (response.streams.empty() && clock_.now() < polls_[i].deadline) {
                ++i;
                continue;
            }
            polls_[i].respond(ok_response(wire::to_json(response)));
            polls_.erase(polls_.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    wire::engine_poll_response
    make_poll_response(const wire::engine_poll& poll) const {
        wire::engine_poll_response response;
        for (const auto& cursor : poll.streams) {
            const auto entry = streams_.find(cursor.stream);
            if (entry == streams_.end()) {
                response.streams.push_back(
                    {cursor.stream, wire::stream_state::missing, {}});
                continue;
            }
            const auto& row = entry->second;
            if (row.chunks.size() > cursor.from ||
                row.state == wire::stream_state::done) {
                const auto first_chunk =
                    std::min<std::size_t>(cursor.from, row.chunks.size());
                response.streams.push_back(
                    {cursor.stream,
                     row.state,
                     {row.chunks.begin() +
                          static_cast<std::ptrdiff_t>(first_chunk),
                      row.chunks.end()}});
            }
        }
        response.slots = absl::GetFlag(FLAGS_slots);
        response.running =
            load_history_.empty() ? 0 : load_history_.front().running;
        response.queued =
            load_history_.empty() ? 0 : load_history_.front().queued;
        for (const auto& [trainer, version] : served_versions_) {
            response.serving.push_back({trainer, version});
        }
        return response;
    }

    void handle_order(const net::http_request& request,
                      const net::http_responder& respond) {
        const auto parsed = wire::from_json<wire::version_order>(request.body);
        const auto* message = base::value_if(parsed);
        if (message == nullptr) {
            respond({400, "{}", "application/json"});
            return;
        }
        const auto token =
            std::make_pair(message->number.epoch, message->number.sequence);
        if (is_stale_fencing_token(token)) {
            respond_to_order(respond, wire::order_result::fenced);
            return;
        }
        net::http_request fetch;
        fetch.target = "/v1/weights/" + message->trainer.str() + "/" +
                       std::to_string(message->version);
        http_.send(
            weight_store_.value_or(base::endpoint{}), std::move(fetch),
            weights_timeout_ms, net::connection_reuse::allowed,
            [this, order = *message, respond](const net::http_result& result) {
                on_weights_fetched(order, result, respond);
            });
    }

    void on_weights_fetched(const wire::version_order& order,
                            const net::http_result& result,
                            const net::http_responder& respond) {
        const auto* response = std::get_if<net::http_response>(&result);
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        // A newer home node may have sent an order while the weights were
        // loading.
        const auto token =
            std::make_pair(order.number.epoch, order.number.sequence);
        if (absl::GetFlag(FLAGS_check_fencing) &&
            token < highest_fencing_token_) {
            respond_to_order(respond, wire::order_result::fenced);
            return;
        }
        const bool failed = response == nullptr || response->status != 200 ||
                            uniform(random_) < fail_swaps_;
        if (!failed) {
            served_versions_[order.trainer] = order.version;
        }
        respond_to_order(respond, failed ? wire::order_result::failed
                                         : wire::order_result::done);
    }

    static void respond_to_order(const net::http_responder& respond,
                                 wire::order_result result) {
        respond(ok_response(wire::to_json(wire::order_response{result})));
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

    /// Keeps the snapshots that are younger than the lag, and the newest older
    /// one, which is the reported load.
    void record_load() {
        load_snapshot snapshot;
        snapshot.time = clock_.now();
        for (const auto& [id, row] : streams_) {
            snapshot.running +=
                row.state == wire::stream_state::running ? 1 : 0;
            snapshot.queued += row.state == wire::stream_state::queued ? 1 : 0;
        }
        load_history_.push_back(snapshot);
        const auto visible_until =
            snapshot.time - absl::GetFlag(FLAGS_load_lag_ms);
        while (load_history_.size() > 1 &&
               load_history_[1].time <= visible_until) {
            load_history_.pop_front();
        }
    }

    void admit_queued_streams() {
        std::vector<engine_stream*> queued;
        int running_count = 0;
        for (auto& [id, row] : streams_) {
            if (row.state == wire::stream_state::queued) {
                queued.push_back(&row);
            }
            running_count += row.state == wire::stream_state::running ? 1 : 0;
        }
        std::sort(queued.begin(), queued.end(),
                  [](const engine_stream* a, const engine_stream* b) {
                      return std::make_pair(-a->start.priority, a->arrival) <
                             std::make_pair(-b->start.priority, b->arrival);
                  });
        for (auto* row : queued) {
            if (running_count++ >= absl::GetFlag(FLAGS_slots)) {
                return;
            }
            row->state = wire::stream_state::running;
            row->prefill_chunks_left =
                row->has_kv_cache || use_prefix(row->start.prompt)
                    ? 0
                    : absl::GetFlag(FLAGS_prefill_chunks);
        }
    }

    /// Returns true if the prefix of the prompt is cached. Inserts it or marks
    /// it as the most recently used one, and evicts the least recently used
    /// prefix if the cache is full.
    bool use_prefix(const std::string& prompt) {
        const auto entry =
            std::find(prefix_cache_.begin(), prefix_cache_.end(), prompt);
        const bool hit = entry != prefix_cache_.end();
        if (hit) {
            prefix_cache_.erase(entry);
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

    void produce_chunk(engine_stream& row) {
        if (row.prefill_chunks_left > 0) {
            --row.prefill_chunks_left;
            return;
        }
        if (role_ == "prefill") {
            return; // Generation continues after the export.
        }
        const auto served = served_versions_.find(row.start.trainer);
        const auto version =
            served == served_versions_.end() ? 0 : served->second;
        const auto seq = static_cast<std::uint32_t>(row.chunks.size());
        row.chunks.push_back({seq, version,
                              row.start.stream.str() + ":" +
                                  std::to_string(seq) + ":v" +
                                  std::to_string(version) + ";"});
        chunk_versions_[row.start.stream.str()].back().push_back(version);
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
    std::map<base::stream_id, engine_stream> streams_;
    std::map<base::trainer_id, wire::weight_version> served_versions_;
    std::pair<std::int64_t, std::int64_t> highest_fencing_token_{0, 0};
    std::list<std::string> prefix_cache_;
    cache_event_log cache_events_{absl::GetFlag(FLAGS_event_lag_ms),
                                  absl::GetFlag(FLAGS_event_gap_percent)};
    std::deque<load_snapshot> load_history_;
    /// For each stream and each of its starts, the version of each chunk.
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
    using hibiscus::testing::engine_stand_in;
    return hibiscus::testing::run_fake_server(
        absl::GetFlag(FLAGS_address), [](boost::asio::io_context& io) {
            auto engine = std::make_shared<engine_stand_in>(io);
            return [engine](const hibiscus::net::http_request& request,
                            const hibiscus::net::http_responder& respond) {
                engine->handle(request, respond);
            };
        });
}
