#include "claim_runner.hpp"

#include "hibiscus/wire/codec.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace hibiscus::node {

namespace {

constexpr base::millis read_wait = 1000;
constexpr base::millis least_pause = 100;

std::string shard_key(cluster::shard_number shard) {
    return "shard/" + std::to_string(shard);
}

} // namespace

claim_runner::claim_runner(const base::node_id& self, std::uint64_t incarnation,
                           cluster::claim_times times,
                           cluster::shard_number shards,
                           boost::asio::io_context& control,
                           platform::log_client& log, service_gateway& services,
                           decision_log& lines, telemetry::metrics& counters,
                           base::clock clock)
    : home_(self, incarnation, times), shards_(shards), control_(control),
      log_(log), services_(services), lines_(lines), counters_(counters),
      clock_(std::move(clock)) {}

void claim_runner::submit(const wire::service_request& request,
                          done_function done) {
    const auto waiter = ++last_waiter_;
    waiters_[waiter] = std::move(done);
    home_.submit(clock_.now(), clock_.wall(), waiter,
                 cluster::shard_of(request.id, shards_), request);
    carry_out();
}

std::string claim_runner::home_key(const base::request_id& request) const {
    return shard_key(cluster::shard_of(request, shards_));
}

void claim_runner::assign(const cluster::member_table& members) {
    std::set<cluster::shard_number> ours;
    for (cluster::shard_number s = 0; s < shards_; ++s) {
        if (members.is_home(shard_key(s))) {
            ours.insert(s);
        }
    }
    home_.assign(ours);
    carry_out();
}

void claim_runner::tick() {
    home_.tick(clock_.now(), clock_.wall());
    carry_out();
    read_shards();
    counters_.set("pending_claims", static_cast<double>(home_.pending()));
}

void claim_runner::carry_out() {
    for (const auto& effect : home_.take_effects()) {
        std::visit([this](const auto& e) { run(e); }, effect);
    }
}

void claim_runner::run(const cluster::append_claims& effect) {
    const auto shard = effect.shard;
    const auto id = effect.id;
    log_.append(
        platform::claim_stream(shard), id, wire::to_json(effect.record),
        [this, shard, id](const platform::append_result& result) {
            auto outcome = cluster::append_outcome::appended;
            base::millis pause = 0;
            if (const auto* f = std::get_if<platform::log_failure>(&result)) {
                outcome = f->fault == platform::log_fault::refused
                              ? cluster::append_outcome::refused
                              : cluster::append_outcome::unknown;
                pause = std::max(least_pause, f->retry_after_ms);
                counters_.count_event("log_append_failed");
            }
            boost::asio::post(control_, [this, shard, id, outcome, pause] {
                home_.appended(shard, id, outcome, clock_.now() + pause);
                carry_out();
            });
        });
}

void claim_runner::run(const cluster::dispatch_request& effect) {
    auto request = effect.request;
    request.deadline_ms = effect.deadline - clock_.now();
    lines_.write({"claim",
                  request.id.str(),
                  {},
                  request.service.str(),
                  "first claim of the key read back"});
    const auto shard = cluster::shard_of(request.id, shards_);
    services_.run(request, [this, shard](const wire::answer& answer) {
        boost::asio::post(control_, [this, shard, answer] {
            home_.dispatched(shard, answer);
            carry_out();
        });
    });
}

void claim_runner::run(const cluster::answer_request& effect) {
    const auto at = waiters_.find(effect.waiter);
    if (at == waiters_.end()) {
        return;
    }
    const auto done = std::move(at->second);
    waiters_.erase(at);
    done(effect.answer);
}

void claim_runner::read_shards() {
    const auto now = clock_.now();
    for (const auto& [shard, from] : home_.reading()) {
        if (now < read_not_before_[shard] || !reading_.insert(shard).second) {
            continue;
        }
        log_.read(platform::claim_stream(shard), from, read_wait,
                  [this, s = shard](platform::read_result result) {
                      boost::asio::post(
                          control_,
                          [this, s, r = std::move(result)] { took(s, r); });
                  });
    }
}

void claim_runner::took(cluster::shard_number shard,
                        const platform::read_result& result) {
    reading_.erase(shard);
    const auto* page = std::get_if<wire::log_page>(&result);
    if (page == nullptr) {
        counters_.count_event("log_read_failed");
        read_not_before_[shard] = clock_.now() + least_pause;
        return;
    }
    home_.bounds(clock_.now(), clock_.wall(), shard, page->first, page->end);
    for (const auto& record : page->records) {
        const auto read = wire::from_json<wire::claim_record>(record.data);
        const auto* content = base::value_if(read);
        home_.read(clock_.now(), shard, record.offset,
                   content != nullptr ? *content : wire::claim_record{});
    }
    carry_out();
    read_shards();
}

} // namespace hibiscus::node
