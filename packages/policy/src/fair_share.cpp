#include "hibiscus/policy/fair_share.hpp"

#include <algorithm>

namespace hibiscus::policy {

double effective_weight(const document::document& document,
                        const document::trainer& trainer) {
    const auto owner_entry =
        std::find_if(document.owners.begin(), document.owners.end(),
                     [&](const document::owner& owner) {
                         return owner.name == trainer.owner;
                     });
    return owner_entry == document.owners.end()
               ? trainer.weight
               : trainer.weight * owner_entry->weight;
}

fair_shares compute_shares(const std::vector<pool_usage>& usages,
                           const base::trainer_id& trainer, int capacity) {
    double own_weight = 0;
    double total_weight = 0;
    double active_weight = 0;
    for (const auto& usage : usages) {
        const bool is_own = usage.trainer == trainer;
        own_weight += is_own ? usage.weight : 0.0;
        total_weight += usage.weight;
        active_weight +=
            is_own || usage.admitted_streams > 0 ? usage.weight : 0.0;
    }
    if (own_weight <= 0) {
        return {};
    }
    return {capacity * own_weight / total_weight,
            capacity * own_weight / active_weight};
}

int stream_limit(int admitted, const fair_shares& shares, int slots,
                 int queue) {
    if (admitted < shares.guaranteed) {
        return slots + queue;
    }
    // A trainer without streams does not count as active. If queues were full
    // when it starts, the others would take every slot that becomes free before
    // it, and its first sample would wait until their steps end.
    const int reserved = queue > 0 ? 1 : 0;
    return admitted < shares.active ? slots + queue - reserved : slots;
}

} // namespace hibiscus::policy
