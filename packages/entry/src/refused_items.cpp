#include "refused_items.hpp"

#include "hibiscus/base/result.hpp"

#include <utility>

namespace hibiscus::entry {

namespace {

/// Delay before the next erasure after one that the store did not accept, in
/// ms.
constexpr base::millis erase_retry_delay_ms = 1000;

/// Maximum number of submissions whose items wait to be erased. The items of
/// the oldest ones are given up beyond it.
constexpr std::size_t max_queued_submissions = 256;

} // namespace

void refused_items::erase(const batch::job_id& job,
                          std::vector<std::string> keys) {
    if (keys.empty()) {
        return;
    }
    if (queue_.size() >= max_queued_submissions) {
        state_.log.write("items_left", {{"job", queue_.front().job},
                                        {"reason", "queue_full"}});
        state_.counters.count_event("items_left");
        queue_.pop_front();
    }
    queue_.push_back({job, std::move(keys)});
    if (!busy_) {
        erase_next();
    }
}

void refused_items::erase_next() {
    busy_ = !queue_.empty();
    if (!busy_) {
        return;
    }
    auto next = std::move(queue_.front());
    queue_.pop_front();
    std::vector<store::record> erasures;
    erasures.reserve(next.keys.size());
    for (const auto& key : next.keys) {
        erasures.push_back({key, ""});
    }
    const auto job = next.job;
    job_store_.append_items(
        job, erasures,
        [this, next = std::move(next)](const auto& r) { on_erased(next, r); });
}

void refused_items::on_erased(submission erased,
                              const store::append_result& result) {
    if (base::value_if(result) != nullptr) {
        state_.log.write(
            "items_erased",
            {{"job", erased.job},
             {"records", static_cast<std::int64_t>(erased.keys.size())}});
        erase_next();
        return;
    }
    state_.log.write("append_refused",
                     {{"reason", "refused_items"}, {"job", erased.job}});
    // Behind the others: the store may reject only this job's partition.
    queue_.push_back(std::move(erased));
    run_after_(erase_retry_delay_ms, [this] { erase_next(); });
}

} // namespace hibiscus::entry
