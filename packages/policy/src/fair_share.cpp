#include "hibiscus/policy/fair_share.hpp"

#include <algorithm>

namespace hibiscus::policy {

double effective_weight(const document::document& document,
                        const document::trainer& trainer) {
    const auto at = std::find_if(
        document.owners.begin(), document.owners.end(),
        [&](const document::owner& o) { return o.name == trainer.owner; });
    return at == document.owners.end() ? trainer.weight
                                       : trainer.weight * at->weight;
}

fair_shares compute_shares(const std::vector<pool_usage>& uses,
                           const base::trainer_id& trainer, int capacity) {
    double own = 0;
    double all = 0;
    double present = 0;
    for (const auto& use : uses) {
        const bool asking = use.trainer == trainer;
        own += asking ? use.weight : 0.0;
        all += use.weight;
        present += asking || use.admitted_streams > 0 ? use.weight : 0.0;
    }
    if (own <= 0) {
        return {};
    }
    return {capacity * own / all, capacity * own / present};
}

int stream_limit(int admitted, const fair_shares& shares, int slots,
                 int queue) {
    if (admitted < shares.guaranteed) {
        return slots + queue;
    }
    // A trainer that has nothing yet does not count as present. Were queues
    // full when it comes, the others would take each place that becomes free
    // before it, and its first sample would wait for the end of their steps.
    const int left_free = queue > 0 ? 1 : 0;
    return admitted < shares.active ? slots + queue - left_free : slots;
}

} // namespace hibiscus::policy
