#include "hibiscus/admission/request_queue.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>

namespace hibiscus::admission {

namespace {

/// Every so many requests, the one that has waited longest goes first.
constexpr int oldest_turn = 8;

constexpr std::size_t max_queued = 64;

} // namespace

void request_queue::push(queued_request request) {
    const bool is_new =
        std::none_of(waiting_.begin(), waiting_.end(), [&](const auto& w) {
            return w.second.workspace == request.workspace;
        });
    if (is_new) {
        // A workspace that comes back gets no credit for the time before.
        double least = std::numeric_limits<double>::max();
        for (const auto& row : order_.used_ms) {
            least = std::min(least, row.second);
        }
        order_.used_ms[request.workspace] = order_.used_ms.empty() ? 0 : least;
    }
    waiting_.emplace(++arrivals_, std::move(request));
}

request_queue::waiting_map::const_iterator
request_queue::next(const waiting_map& waiting, const order_state& order) {
    if (order.since_oldest + 1 >= oldest_turn) {
        return waiting.begin();
    }
    return std::min_element(
        waiting.begin(), waiting.end(), [&](const auto& a, const auto& b) {
            if (a.second.priority != b.second.priority) {
                return a.second.priority < b.second.priority;
            }
            return order.used_ms.at(a.second.workspace) <
                   order.used_ms.at(b.second.workspace);
        });
}

void request_queue::charge(order_state& order, const queued_request& request,
                           const waiting_map& waiting) {
    order.used_ms[request.workspace] += request.cost_ms;
    order.since_oldest = (order.since_oldest + 1) % oldest_turn;
    const bool has_more =
        std::any_of(waiting.begin(), waiting.end(), [&](const auto& w) {
            return w.second.workspace == request.workspace;
        });
    if (!has_more) {
        order.used_ms.erase(request.workspace);
    }
}

const queued_request* request_queue::front() const {
    return waiting_.empty() ? nullptr : &next(waiting_, order_)->second;
}

queued_request request_queue::pop() {
    const auto chosen = next(waiting_, order_);
    auto request = chosen->second;
    waiting_.erase(chosen);
    charge(order_, request, waiting_);
    return request;
}

void request_queue::remove(std::uint64_t number) {
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [&](const auto& w) { return w.second.number == number; });
    if (found != waiting_.end()) {
        waiting_.erase(found);
        forget_absent(order_, waiting_);
    }
}

void request_queue::forget_absent(order_state& order,
                                  const waiting_map& waiting) {
    std::set<std::string> present;
    for (const auto& w : waiting) {
        present.insert(w.second.workspace);
    }
    for (auto row = order.used_ms.begin(); row != order.used_ms.end();) {
        row = present.count(row->first) == 0 ? order.used_ms.erase(row)
                                             : std::next(row);
    }
}

std::vector<queued_request>
request_queue::take_hopeless(double slots, double wait_ms, base::millis now) {
    std::vector<queued_request> hopeless;
    auto rest = waiting_;
    auto order = order_;
    std::size_t position = 0;
    while (!rest.empty()) {
        const auto chosen = next(rest, order);
        const auto& r = chosen->second;
        const double answered_at =
            static_cast<double>(now) + wait_ms + r.response_ms;
        if (position >= max_queued ||
            answered_at > static_cast<double>(r.deadline)) {
            hopeless.push_back(r);
            waiting_.erase(chosen->first);
            rest.erase(chosen);
            continue;
        }
        ++position;
        wait_ms += r.cost_ms / slots;
        const auto sent = r;
        rest.erase(chosen);
        charge(order, sent, rest);
    }
    forget_absent(order_, waiting_);
    return hopeless;
}

double request_queue::total_cost_ms() const {
    double total = 0;
    for (const auto& w : waiting_) {
        total += w.second.cost_ms;
    }
    return total;
}

} // namespace hibiscus::admission
