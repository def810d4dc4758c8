#include "entry/fake_keyed_store.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace hibiscus::testing {

namespace {

using json = nlohmann::json;

/// How often a waiting read looks again, in ms.
constexpr int poll_interval_ms = 5;

std::string query_parameter(const std::string& target,
                            const std::string& name) {
    const auto query = target.find('?');
    const auto sign = "&" + name + "=";
    const auto text = "&" + target.substr(query + 1);
    const auto at = text.find(sign);
    if (query == std::string::npos || at == std::string::npos) {
        return {};
    }
    const auto begin = at + sign.size();
    return text.substr(begin, text.find('&', begin) - begin);
}

std::string percent_decode(const std::string& text) {
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            out += static_cast<char>(
                std::strtol(text.substr(n + 1, 2).c_str(), nullptr, 16));
            n += 2;
        } else {
            out += text[n];
        }
    }
    return out;
}

void append_big_endian(std::string& out, std::uint64_t value, int bytes) {
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        out += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
    }
}

std::size_t read_big_endian(const std::string& in, std::size_t at) {
    std::size_t value = 0;
    for (std::size_t n = 0; n < 4; ++n) {
        value = value << 8U | static_cast<unsigned char>(in[at + n]);
    }
    return value;
}

/// The largest record, the largest append and the values of one page, in
/// bytes, as the users' pages give them.
constexpr std::size_t max_record_bytes = 262144;
constexpr std::size_t max_append_bytes = 2097152;
constexpr std::size_t max_page_bytes = std::size_t{1} << 20U;

bool records_fit(const std::string& body) {
    if (body.size() > max_append_bytes) {
        return false;
    }
    for (std::size_t at = 0; at + 4 <= body.size();) {
        const auto length = read_big_endian(body, at);
        if (length > max_record_bytes) {
            return false;
        }
        at += 4 + length;
    }
    return true;
}

void respond(const std::shared_ptr<transport::response_writer>& to, int status,
             const json& body) {
    to->send({status, {{"Content-Type", "application/json"}}, body.dump()});
}

} // namespace

fake_keyed_store::fake_keyed_store(boost::asio::io_context& io)
    : io_(io),
      server_(io, {}, [this](const auto& r, auto e) { handle(r, e); }) {
    address_ = *server_.listen({"127.0.0.1", 0});
}

void fake_keyed_store::put(const std::string& topic, const std::string& key,
                           const std::string& value) {
    logs_[{topic, 0}].push_back({key, value});
}

std::string fake_keyed_store::newest_value(const std::string& topic,
                                           const std::string& key) const {
    const auto all = all_values(topic, key);
    return all.empty() ? "" : all.back();
}

std::vector<std::string>
fake_keyed_store::all_values(const std::string& topic,
                             const std::string& key) const {
    std::vector<std::string> out;
    const auto log = logs_.find({topic, 0});
    if (log != logs_.end()) {
        for (const auto& r : log->second) {
            if (r.key == key) {
                out.push_back(r.value);
            }
        }
    }
    return out;
}

void fake_keyed_store::handle(const transport::inbound_request& request,
                              const exchange_ptr& to) {
    const auto& target = request.target;
    const partition part{query_parameter(target, "topic"),
                         std::atoi(query_parameter(target, "part").c_str())};
    if (unavailable_) {
        respond(to, 503, json::object());
    } else if (target.rfind("/log-append?", 0) == 0) {
        append(request, to);
    } else if (target.rfind("/log-read?", 0) == 0) {
        read(
            part,
            std::strtoull(query_parameter(target, "from").c_str(), nullptr, 10),
            std::atoi(query_parameter(target, "waitMs").c_str()), to);
    } else if (target.rfind("/log-newest?", 0) == 0) {
        send_newest_page(part, percent_decode(query_parameter(target, "after")),
                         to);
    } else {
        respond(to, 404, json::object());
    }
}

std::size_t fake_keyed_store::count_keys(const std::string& topic,
                                         const std::string& prefix) const {
    std::map<std::string, bool> live;
    for (const auto& [name, log] : logs_) {
        for (const auto& r : log) {
            if (name.first == topic &&
                r.key.compare(0, prefix.size(), prefix) == 0) {
                live[r.key] = !r.value.empty();
            }
        }
    }
    return static_cast<std::size_t>(std::count_if(
        live.begin(), live.end(), [](const auto& l) { return l.second; }));
}

void fake_keyed_store::append(const transport::inbound_request& request,
                              const exchange_ptr& to) {
    const auto& target = request.target;
    const partition to_part{query_parameter(target, "topic"),
                            std::atoi(query_parameter(target, "part").c_str())};
    if (rejecting_partitions_.count(to_part) != 0) {
        respond(to, 503, json::object());
        return;
    }
    auto& log = logs_[to_part];
    const auto at = query_parameter(target, "at");
    if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != log.size()) {
        respond(to, 412, {{"end", log.size()}});
        return;
    }
    if (!records_fit(request.body)) {
        to->send({413, {}, ""});
        return;
    }
    const auto first = log.size();
    std::size_t begin = 0;
    while (begin + 4 <= request.body.size()) {
        const auto length = read_big_endian(request.body, begin);
        const auto bytes = request.body.substr(begin + 4, length);
        const auto key = static_cast<unsigned char>(bytes.at(0));
        log.push_back({bytes.substr(1, key), bytes.substr(1U + key)});
        begin += 4 + length;
    }
    if (to_part.first == withheld_topic_) {
        ++withheld_responses_;
        open_exchanges_.push_back(to);
        return;
    }
    // Spread evenly, so that a run repeats.
    constexpr int hundred = 100;
    constexpr int stride = 37;
    if (++append_count_ * stride % hundred < lost_response_percent_) {
        open_exchanges_.push_back(to);
        return;
    }
    respond(to, 200, {{"offset", first}, {"end", log.size()}});
}

void fake_keyed_store::read(const partition& from, std::size_t offset,
                            int wait_ms, const exchange_ptr& to) {
    if (logs_[from].size() > offset || wait_ms <= 0) {
        send_records(from, offset, to);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(poll_interval_ms));
    timer->async_wait([this, timer, from, offset, wait_ms, to](auto error) {
        if (!error) {
            read(from, offset, wait_ms - poll_interval_ms, to);
        }
    });
}

void fake_keyed_store::send_records(const partition& from, std::size_t offset,
                                    const exchange_ptr& to) {
    const auto& log = logs_[from];
    std::string body;
    append_big_endian(body, log.size(), 8);
    append_big_endian(body, 0, 8);
    for (auto n = offset; n < log.size(); ++n) {
        const auto& r = log[n];
        append_big_endian(body, 1 + r.key.size() + r.value.size(), 4);
        body += static_cast<char>(r.key.size());
        body += r.key;
        body += r.value;
    }
    to->send({200, {}, body});
}

void fake_keyed_store::send_newest_page(const partition& from,
                                        const std::string& after,
                                        const exchange_ptr& to) {
    constexpr std::size_t most = 500;
    std::size_t bytes = 0;
    const auto& log = logs_[from];
    std::map<std::string, std::size_t> newest;
    for (std::size_t n = 0; n < log.size(); ++n) {
        newest[log[n].key] = n;
    }
    json page{
        {"items", json::array()}, {"hasMore", false}, {"end", log.size()}};
    for (const auto& [key, n] : newest) {
        if (key <= after || log[n].value.empty()) {
            continue;
        }
        if (page["items"].size() == most || bytes > max_page_bytes) {
            page["hasMore"] = true;
            break;
        }
        bytes += log[n].value.size();
        page["items"].push_back({{"key", key},
                                 {"value", absl::Base64Escape(log[n].value)},
                                 {"offset", n}});
    }
    respond(to, 200, page);
}

} // namespace hibiscus::testing
