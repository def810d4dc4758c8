#include "hibiscus/batch/abandoned_sends.hpp"

#include <algorithm>

namespace hibiscus::batch {

namespace {

/// How long a request waits for news of a server at which it was abandoned, in
/// ms. An item must not be at no server for 5 s.
constexpr base::millis max_unsettled_ms = 4000;

/// How long an abandoned send is remembered, in ms.
constexpr base::millis retention_ms = 60000;

} // namespace

template <class Predicate>
void abandoned_sends::erase_if(Predicate predicate) {
    for (auto entry = sends_.begin(); entry != sends_.end();) {
        auto& sends = entry->second;
        sends.erase(std::remove_if(sends.begin(), sends.end(),
                                   [&](abandoned_send& send) {
                                       return predicate(entry->first, send);
                                   }),
                    sends.end());
        entry = sends.empty() ? sends_.erase(entry) : std::next(entry);
    }
}

void abandoned_sends::add(const request_key& request,
                          const server_loss& last_seen, base::millis sent_at,
                          base::millis answerable_ms) {
    auto& sends = sends_[request];
    const auto now = clock_.now();
    const abandoned_send added{last_seen, sent_at, now, now + answerable_ms,
                               last_seen.is_unseen};
    const auto known =
        std::find_if(sends.begin(), sends.end(), [&](const auto& send) {
            return send.last_seen.process == last_seen.process;
        });
    if (known == sends.end()) {
        sends.push_back(added);
    } else {
        const bool is_unseen = known->is_unseen && added.is_unseen;
        *known = added;
        known->is_unseen = is_unseen;
    }
}

bool abandoned_sends::is_unsettled(const abandoned_send& send) const {
    return clock_.now() - send.abandoned_at < max_unsettled_ms;
}

int abandoned_sends::count_unsettled(const request_key& request) const {
    const auto found = sends_.find(request);
    return found == sends_.end()
               ? 0
               : static_cast<int>(std::count_if(
                     found->second.begin(), found->second.end(),
                     [this](const auto& send) { return is_unsettled(send); }));
}

std::vector<abandoned_send>
abandoned_sends::unsettled(const request_key& request) const {
    std::vector<abandoned_send> found;
    const auto sends = sends_.find(request);
    if (sends != sends_.end()) {
        std::copy_if(sends->second.begin(), sends->second.end(),
                     std::back_inserter(found),
                     [this](const auto& send) { return is_unsettled(send); });
    }
    return found;
}

std::set<request_key> abandoned_sends::requests() const {
    std::set<request_key> found;
    for (const auto& [request, sends] : sends_) {
        found.insert(request);
    }
    return found;
}

std::set<server_process> abandoned_sends::processes() const {
    std::set<server_process> found;
    for (const auto& [request, sends] : sends_) {
        for (const auto& send : sends) {
            found.insert(send.last_seen.process);
        }
    }
    return found;
}

std::set<request_key>
abandoned_sends::on_sign_of_life(const server_process& process,
                                 base::millis time) {
    std::set<request_key> outlived;
    erase_if([&](const request_key& request, abandoned_send& send) {
        const bool is_there = send.last_seen.process == process;
        send.is_unseen =
            send.is_unseen && !(is_there && time > send.abandoned_at);
        const bool is_outlived = is_there && time >= send.answerable_until;
        if (is_outlived) {
            outlived.insert(request);
        }
        return is_outlived;
    });
    return outlived;
}

std::vector<std::pair<request_key, abandoned_send>>
abandoned_sends::take(const server_process& process) {
    std::vector<std::pair<request_key, abandoned_send>> taken;
    erase_if([&](const request_key& request, const abandoned_send& send) {
        const bool is_there = send.last_seen.process == process;
        if (is_there) {
            taken.emplace_back(request, send);
        }
        return is_there;
    });
    return taken;
}

void abandoned_sends::erase(const request_key& request,
                            const server_process& process) {
    erase_if([&](const request_key& sender, const abandoned_send& send) {
        return send.last_seen.process == process && !(sender < request) &&
               !(request < sender);
    });
}

void abandoned_sends::forget_expired() {
    const auto now = clock_.now();
    erase_if([now](const request_key& /*request*/, const abandoned_send& send) {
        return now - send.abandoned_at > retention_ms;
    });
}

} // namespace hibiscus::batch
