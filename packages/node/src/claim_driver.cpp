#include "claim_driver.hpp"

#include "hibiscus/wire/codec.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace hibiscus::node {

namespace {

constexpr base::millis read_wait_ms = 1000;
constexpr base::millis min_retry_delay_ms = 100;

std::string shard_key(cluster::shard_number shard) {
    return "shard/" + std::to_string(shard);
}

} // namespace

claim_driver::claim_driver(const base::node_id& self, std::uint64_t incarnation,
                           cluster::claim_options times,
                           cluster::shard_number shards,
                           boost::asio::io_context& control,
                           platform::log_client& log, service_gateway& services,
                           event_log& lines, telemetry::metrics& counters,
                           base::clock clock)
    : coordinator_(self, incarnation, times), shards_(shards),
      control_(control), log_(log), services_(services), logger_(lines),
      counters_(counters), clock_(std::move(clock)) {}

void claim_driver::submit_request(const wire::service_request& request,
                                  done_function done) {
    const auto waiter = ++last_waiter_;
    callbacks_[waiter] = std::move(done);
    coordinator_.submit(clock_.now(), clock_.wall_time(), waiter,
                        cluster::shard_of(request.id, shards_), request);
    execute_effects();
}

std::string claim_driver::home_key(const base::request_id& request) const {
    return shard_key(cluster::shard_of(request, shards_));
}

void claim_driver::assign_shards(const cluster::member_table& members) {
    std::set<cluster::shard_number> ours;
    for (cluster::shard_number s = 0; s < shards_; ++s) {
        if (members.is_home(shard_key(s))) {
            ours.insert(s);
        }
    }
    coordinator_.assign_shards(ours);
    execute_effects();
}

void claim_driver::on_tick() {
    coordinator_.tick(clock_.now(), clock_.wall_time());
    execute_effects();
    read_shards();
    counters_.set("pending_claims",
                  static_cast<double>(coordinator_.pending_count()));
}

void claim_driver::execute_effects() {
    for (const auto& effect : coordinator_.take_effects()) {
        std::visit([this](const auto& e) { execute(e); }, effect);
    }
}

void claim_driver::execute(const cluster::append_claims& effect) {
    const auto shard = effect.shard;
    const auto id = effect.id;
    log_.append(
        platform::claim_stream(shard), id, wire::to_json(effect.record),
        [this, shard, id](const platform::append_result& result) {
            auto outcome = cluster::append_outcome::appended;
            base::millis pause = 0;
            if (const auto* f = std::get_if<platform::log_error>(&result)) {
                outcome = f->kind == platform::log_error_kind::refused
                              ? cluster::append_outcome::refused
                              : cluster::append_outcome::unknown;
                pause = std::max(min_retry_delay_ms, f->retry_after_ms);
                counters_.count_event("log_append_failed");
            }
            boost::asio::post(control_, [this, shard, id, outcome, pause] {
                coordinator_.on_append_result(shard, id, outcome,
                                              clock_.now() + pause);
                execute_effects();
            });
        });
}

void claim_driver::execute(const cluster::dispatch_request& effect) {
    auto request = effect.request;
    request.deadline_ms = effect.deadline - clock_.now();
    logger_.write_decision({"claim",
                            request.id.str(),
                            {},
                            request.service.str(),
                            "first claim of the key read back"});
    const auto shard = cluster::shard_of(request.id, shards_);
    services_.run(request, [this, shard](const wire::service_response& answer) {
        boost::asio::post(control_, [this, shard, answer] {
            coordinator_.on_service_response(shard, answer);
            execute_effects();
        });
    });
}

void claim_driver::execute(const cluster::send_response& effect) {
    const auto at = callbacks_.find(effect.waiter);
    if (at == callbacks_.end()) {
        return;
    }
    const auto done = std::move(at->second);
    callbacks_.erase(at);
    done(effect.response);
}

void claim_driver::read_shards() {
    const auto now = clock_.now();
    for (const auto& [shard, from] : coordinator_.shards_to_read()) {
        if (now < read_not_before_[shard] ||
            !shards_being_read_.insert(shard).second) {
            continue;
        }
        log_.read(platform::claim_stream(shard), from, read_wait_ms,
                  [this, s = shard](platform::read_result result) {
                      boost::asio::post(control_,
                                        [this, s, r = std::move(result)] {
                                            on_read_result(s, r);
                                        });
                  });
    }
}

void claim_driver::on_read_result(cluster::shard_number shard,
                                  const platform::read_result& result) {
    shards_being_read_.erase(shard);
    const auto* page = std::get_if<wire::log_page>(&result);
    if (page == nullptr) {
        counters_.count_event("log_read_failed");
        read_not_before_[shard] = clock_.now() + min_retry_delay_ms;
        return;
    }
    coordinator_.on_stream_bounds(clock_.now(), clock_.wall_time(), shard,
                                  page->first, page->end);
    for (const auto& record : page->records) {
        const auto read = wire::from_json<wire::claim_record>(record.data);
        const auto* content = base::value_if(read);
        coordinator_.apply_record(clock_.now(), shard, record.offset,
                                  content != nullptr ? *content
                                                     : wire::claim_record{});
    }
    execute_effects();
    read_shards();
}

} // namespace hibiscus::node
