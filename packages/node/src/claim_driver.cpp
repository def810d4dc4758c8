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
                           cluster::claim_options options,
                           cluster::shard_number shard_count,
                           boost::asio::io_context& control_io,
                           platform::log_client& log, service_gateway& services,
                           event_log& logger, telemetry::metrics& counters,
                           base::clock clock)
    : coordinator_(self, incarnation, options), shard_count_(shard_count),
      control_io_(control_io), log_(log), services_(services), logger_(logger),
      counters_(counters), clock_(std::move(clock)) {}

void claim_driver::submit_request(const wire::service_request& request,
                                  response_callback done) {
    const auto waiter = ++last_waiter_id_;
    callbacks_[waiter] = std::move(done);
    coordinator_.submit(clock_.now(), clock_.wall_time(), waiter,
                        cluster::shard_of(request.id, shard_count_), request);
    execute_effects();
}

std::string claim_driver::home_key(const base::request_id& request) const {
    return shard_key(cluster::shard_of(request, shard_count_));
}

void claim_driver::assign_shards(const cluster::member_table& members) {
    std::set<cluster::shard_number> assigned;
    for (cluster::shard_number shard = 0; shard < shard_count_; ++shard) {
        if (members.is_home(shard_key(shard))) {
            assigned.insert(shard);
        }
    }
    coordinator_.assign_shards(assigned);
    execute_effects();
}

void claim_driver::tick() {
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
            base::millis retry_delay = 0;
            if (const auto* error = std::get_if<platform::log_error>(&result)) {
                outcome = error->kind == platform::log_error_kind::refused
                              ? cluster::append_outcome::refused
                              : cluster::append_outcome::unknown;
                retry_delay =
                    std::max(min_retry_delay_ms, error->retry_after_ms);
                counters_.count_event("log_append_failed");
            }
            boost::asio::post(
                control_io_, [this, shard, id, outcome, retry_delay] {
                    coordinator_.on_append_result(shard, id, outcome,
                                                  clock_.now() + retry_delay);
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
    const auto shard = cluster::shard_of(request.id, shard_count_);
    services_.run(request,
                  [this, shard](const wire::service_response& response) {
                      boost::asio::post(control_io_, [this, shard, response] {
                          coordinator_.on_service_response(shard, response);
                          execute_effects();
                      });
                  });
}

void claim_driver::execute(const cluster::send_response& effect) {
    const auto found = callbacks_.find(effect.waiter);
    if (found == callbacks_.end()) {
        return;
    }
    const auto done = std::move(found->second);
    callbacks_.erase(found);
    done(effect.response);
}

void claim_driver::read_shards() {
    const auto now = clock_.now();
    for (const auto& [shard, offset] : coordinator_.shards_to_read()) {
        if (now < read_not_before_[shard] ||
            !shards_being_read_.insert(shard).second) {
            continue;
        }
        log_.read(platform::claim_stream(shard), offset, read_wait_ms,
                  [this, s = shard](platform::read_result result) {
                      boost::asio::post(control_io_,
                                        [this, s, result = std::move(result)] {
                                            on_read_result(s, result);
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
        const auto decoded = wire::from_json<wire::claim_record>(record.data);
        const auto* claim = base::value_if(decoded);
        coordinator_.apply_record(clock_.now(), shard, record.offset,
                                  claim != nullptr ? *claim
                                                   : wire::claim_record{});
    }
    execute_effects();
    read_shards();
}

} // namespace hibiscus::node
