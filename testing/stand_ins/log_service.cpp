// Stand-in for the platform's append-only log service: streams of records with
// offsets, a rate limit for appends, and retention by record count.
// POST /v1/fault injects faults: "outage" (all requests fail with 503),
// "hold_stream" (appends to this stream are held until the value changes),
// "slow_ms" (latency added to each append and read), "lose_answers" (number of
// appends that take effect without a response), "drop_appends" (number of
// appends that neither take effect nor get a response), "rate" (appends
// per second) and "retention" (records kept in each stream).
// Keeps all records in memory. Does not model replication, clock skew of
// several writers, disks, or records that are read out of order.

#include "hibiscus/wire/codec.hpp"
#include "support/fake_server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <vector>

ABSL_FLAG(std::string, address, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(int, rate, 400, "appends per second; more are rejected with 429");
ABSL_FLAG(int, retention, 1000000, "records kept in each stream");
ABSL_FLAG(int, append_ms, 2, "duration of an append in ms");

namespace hibiscus::testing {
namespace {

using nlohmann::json;

/// A read that waits until the record at offset `from` exists.
struct waiting_read {
    wire::log_offset from;
    /// The response is sent no earlier than this time, except during an outage.
    base::millis not_before;
    base::millis deadline;
    net::http_responder respond;
};

/// An append that is held by the fault "hold_stream".
struct held_append {
    net::http_request request;
    net::http_responder respond;
};

/// A stream and the reads that wait for its next record.
struct log_stream {
    wire::log_offset first = 0;
    std::deque<wire::log_record> records;
    std::vector<waiting_read> waiting_reads;

    /// Returns the offset after the last record.
    wire::log_offset end() const {
        return first + static_cast<wire::log_offset>(records.size());
    }
};

constexpr base::millis tick_ms = 5;
constexpr std::size_t page_records = 500;

/// Implements the service. Single-threaded.
class log_service_stand_in {
public:
    explicit log_service_stand_in(boost::asio::io_context& io)
        : timer_(io), io_(io) {
        tick();
    }

    /// Handles one request.
    void handle(const net::http_request& request,
                const net::http_responder& respond) {
        const auto path = strip_query(request.target);
        if (path == "/v1/fault") {
            set_fault(request, respond);
            return;
        }
        if (path == "/v1/counts") {
            respond(
                {200,
                 json{{"appends", append_count_}, {"held", count_held_ids()}}
                     .dump(),
                 "application/json"});
            return;
        }
        if (outage_) {
            respond({503, "{}", "application/json"});
            return;
        }
        const std::string prefix = "/v1/streams/";
        const std::string suffix = "/records";
        if (path.rfind(prefix, 0) != 0 ||
            path.size() < prefix.size() + suffix.size()) {
            respond({404, "{}", "application/json"});
            return;
        }
        const auto name = path.substr(
            prefix.size(), path.size() - prefix.size() - suffix.size());
        if (request.method == "POST") {
            if (name == held_stream_) {
                held_appends_.push_back({request, respond});
            } else {
                append(streams_[name], request, respond);
            }
        } else {
            read(streams_[name], request, respond);
        }
    }

private:
    void set_fault(const net::http_request& request,
                   const net::http_responder& respond) {
        const auto body = json::parse(request.body, nullptr, false);
        if (body.is_object()) {
            outage_ = body.value("outage", outage_);
            lose_answers_ = body.value("lose_answers", lose_answers_);
            drop_appends_ = body.value("drop_appends", drop_appends_);
            added_latency_ms_ = body.value("slow_ms", added_latency_ms_);
            rate_ = body.value("rate", rate_);
            retention_ = body.value("retention", retention_);
            set_held_stream(body.value("hold_stream", held_stream_));
        }
        respond({200, "{}", "application/json"});
    }

    /// Holds appends to `stream` until the held stream changes; "" holds none.
    /// Once "held" in /v1/counts is 2, two writers have read the state that
    /// their appends build on.
    void set_held_stream(const std::string& stream) {
        if (stream == held_stream_) {
            return;
        }
        const auto released = std::exchange(held_stream_, stream);
        for (const auto& held : std::exchange(held_appends_, {})) {
            append(streams_[released], held.request, held.respond);
        }
    }

    std::size_t count_held_ids() const {
        std::set<base::append_id> ids;
        for (const auto& held : held_appends_) {
            const auto parsed =
                wire::from_json<wire::append_request>(held.request.body);
            if (const auto* record = base::value_if(parsed)) {
                ids.insert(record->id);
            }
        }
        return ids.size();
    }

    void append(log_stream& stream, const net::http_request& request,
                const net::http_responder& respond) {
        const auto parsed = wire::from_json<wire::append_request>(request.body);
        const auto* record = base::value_if(parsed);
        if (record == nullptr) {
            respond({400, "{}", "application/json"});
            return;
        }
        if (drop_appends_ > 0) {
            --drop_appends_;
            unresponded_.push_back(respond);
            return;
        }
        if (!consume_rate_token()) {
            respond({429, "{}", "application/json"});
            return;
        }
        ++append_count_;
        const auto offset = stream.end();
        stream.records.push_back({offset, record->id, record->data});
        while (stream.records.size() > static_cast<std::size_t>(retention_)) {
            stream.records.pop_front();
            ++stream.first;
        }
        if (lose_answers_ > 0) {
            --lose_answers_;
            unresponded_.push_back(respond);
            return;
        }
        respond_after_delay(respond,
                            wire::to_json(wire::append_response{offset}));
    }

    /// Takes a token of the rate limit. Returns false if there is none.
    bool consume_rate_token() {
        const auto now = clock_.now();
        rate_tokens_ = std::min<double>(
            rate_, rate_tokens_ + static_cast<double>(now - refilled_at_) *
                                      rate_ / 1000.0);
        refilled_at_ = now;
        if (rate_tokens_ < 1.0) {
            return false;
        }
        rate_tokens_ -= 1.0;
        return true;
    }

    void respond_after_delay(const net::http_responder& respond,
                             const std::string& body) {
        auto timer = std::make_shared<boost::asio::steady_timer>(io_);
        timer->expires_after(std::chrono::milliseconds(
            absl::GetFlag(FLAGS_append_ms) + added_latency_ms_));
        timer->async_wait(
            [timer, respond, body](const boost::system::error_code&) {
                respond({200, body, "application/json"});
            });
    }

    void read(log_stream& stream, const net::http_request& request,
              const net::http_responder& respond) {
        const auto from = parse_query_number(request.target, "from", 0);
        const auto wait = parse_query_number(request.target, "wait_ms", 0);
        const auto now = clock_.now();
        stream.waiting_reads.push_back({from, now + added_latency_ms_,
                                        now + added_latency_ms_ + wait,
                                        respond});
        respond_to_reads(stream);
    }

    void respond_to_reads(log_stream& stream) {
        auto& waiting_reads = stream.waiting_reads;
        for (std::size_t i = 0; i < waiting_reads.size();) {
            const auto now = clock_.now();
            const bool is_early = now < waiting_reads[i].not_before ||
                                  (waiting_reads[i].from >= stream.end() &&
                                   now < waiting_reads[i].deadline);
            if (is_early && !outage_) {
                ++i;
                continue;
            }
            waiting_reads[i].respond(
                make_page_response(stream, waiting_reads[i].from));
            waiting_reads.erase(waiting_reads.begin() +
                                static_cast<std::ptrdiff_t>(i));
        }
    }

    net::http_response make_page_response(const log_stream& stream,
                                          wire::log_offset from) const {
        if (outage_) {
            return {503, "{}", "application/json"};
        }
        wire::log_page page;
        page.first = stream.first;
        page.end = stream.end();
        const auto start = std::max(from, stream.first);
        for (auto offset = start;
             offset < stream.end() && page.records.size() < page_records;
             ++offset) {
            page.records.push_back(
                stream
                    .records[static_cast<std::size_t>(offset - stream.first)]);
        }
        return {200, wire::to_json(page), "application/json"};
    }

    void tick() {
        for (auto& [name, stream] : streams_) {
            respond_to_reads(stream);
        }
        timer_.expires_after(std::chrono::milliseconds(tick_ms));
        timer_.async_wait([this](const boost::system::error_code&) { tick(); });
    }

    base::clock clock_;
    boost::asio::steady_timer timer_;
    boost::asio::io_context& io_;
    std::map<std::string, log_stream> streams_;
    std::vector<net::http_responder> unresponded_;
    std::string held_stream_;
    std::vector<held_append> held_appends_;
    bool outage_ = false;
    int lose_answers_ = 0;
    int drop_appends_ = 0;
    base::millis added_latency_ms_ = 0;
    double rate_ = absl::GetFlag(FLAGS_rate);
    int retention_ = absl::GetFlag(FLAGS_retention);
    double rate_tokens_ = absl::GetFlag(FLAGS_rate);
    base::millis refilled_at_ = clock_.now();
    std::int64_t append_count_ = 0;
};

} // namespace
} // namespace hibiscus::testing

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    using hibiscus::testing::log_service_stand_in;
    std::shared_ptr<log_service_stand_in> service;
    return hibiscus::testing::run_fake_server(
        absl::GetFlag(FLAGS_address), [&](boost::asio::io_context& io) {
            service = std::make_shared<log_service_stand_in>(io);
            return [service](const hibiscus::net::http_request& request,
                             const hibiscus::net::http_responder& respond) {
                service->handle(request, respond);
            };
        });
}
