#include "support/entry_client.hpp"

#include <algorithm>
#include <future>

namespace hibiscus::testing {

namespace {

constexpr base::millis connect_timeout_ms = 500;
constexpr base::millis entries_timeout_ms = 1000;

} // namespace

std::vector<base::endpoint> parse_addresses(const std::string& text) {
    std::vector<base::endpoint> addresses;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto comma = std::min(text.find(',', begin), text.size());
        if (const auto e =
                base::parse_endpoint(text.substr(begin, comma - begin))) {
            addresses.push_back(*e);
        }
        begin = comma + 1;
    }
    return addresses;
}

entry_client::entry_client(std::vector<base::endpoint> seed_addresses)
    : work_guard_(io_.get_executor()), http_(io_, connect_timeout_ms),
      thread_([this] { io_.run(); }),
      seed_addresses_(std::move(seed_addresses)), entries_(seed_addresses_) {}

entry_client::~entry_client() {
    io_.stop();
    thread_.join();
}

net::http_result entry_client::send_to(const base::endpoint& target,
                                       net::http_request request,
                                       base::millis timeout) {
    std::promise<net::http_result> promise;
    http_.send(target, std::move(request), timeout,
               net::connection_reuse::allowed,
               [&](net::http_result r) { promise.set_value(std::move(r)); });
    return promise.get_future().get();
}

net::http_result entry_client::send(net::http_request request,
                                    base::millis timeout) {
    refresh_entries();
    const auto target = pick_entry();
    auto result = send_to(target, std::move(request), timeout);
    if (std::holds_alternative<net::http_failure>(result)) {
        remove_entry(target);
    }
    return result;
}

base::endpoint entry_client::pick_entry() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return entries_[next_index_++ % entries_.size()];
}

void entry_client::refresh_entries() {
    std::vector<base::endpoint> candidates;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (clock_.now() < entries_expire_at_) {
            return;
        }
        entries_expire_at_ = clock_.now() + entries_timeout_ms;
        candidates = entries_;
        const auto offset = next_index_++ % candidates.size();
        std::rotate(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(offset),
                    candidates.end());
        candidates.insert(candidates.end(), seed_addresses_.begin(),
                          seed_addresses_.end());
    }
    // Tries all known entries before the seed addresses. A client that used
    // only the seed addresses could never connect again after all of those
    // nodes were replaced.
    for (const auto& target : candidates) {
        if (fetch_entries(target)) {
            return;
        }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_ = std::move(candidates);
    entries_expire_at_ = 0;
}

bool entry_client::fetch_entries(const base::endpoint& target) {
    net::http_request request;
    request.target = "/v1/entries";
    const auto response = decode_response<wire::entries_response>(
        send_to(target, std::move(request), entries_timeout_ms));
    std::vector<base::endpoint> fetched;
    for (const auto& e :
         response ? response->entries : std::vector<wire::entry_address>{}) {
        if (const auto address = base::parse_endpoint(e.address)) {
            fetched.push_back(*address);
        }
    }
    if (fetched.empty()) {
        return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_ = std::move(fetched);
    entries_expire_at_ = clock_.now() + response->ttl_ms;
    return true;
}

void entry_client::remove_entry(const base::endpoint& target) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (entries_.size() > 1) {
        entries_.erase(std::remove(entries_.begin(), entries_.end(), target),
                       entries_.end());
    }
}

} // namespace hibiscus::testing
