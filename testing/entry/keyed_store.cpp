#include "entry/keyed_store.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace hibiscus::testing {

namespace {

using json = nlohmann::json;

/// How often a waiting read looks again, in ms.
constexpr int poll_ms = 5;

std::string parameter(const std::string& target, const std::string& name) {
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

std::string unescaped(const std::string& text) {
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

void put_number(std::string& out, std::uint64_t value, int bytes) {
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        out += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
    }
}

std::size_t get_number(const std::string& in, std::size_t at) {
    std::size_t value = 0;
    for (std::size_t n = 0; n < 4; ++n) {
        value = value << 8U | static_cast<unsigned char>(in[at + n]);
    }
    return value;
}

/// The largest record, the largest append and the values of one page, in
/// bytes, as the users' pages give them.
constexpr std::size_t record_bytes = 262144;
constexpr std::size_t append_bytes = 2097152;
constexpr std::size_t page_bytes = std::size_t{1} << 20U;

bool records_fit(const std::string& body) {
    if (body.size() > append_bytes) {
        return false;
    }
    for (std::size_t at = 0; at + 4 <= body.size();) {
        const auto length = get_number(body, at);
        if (length > record_bytes) {
            return false;
        }
        at += 4 + length;
    }
    return true;
}

void respond(const std::shared_ptr<transport::exchange>& to, int status,
             const json& body) {
    to->respond({status, {{"Content-Type", "application/json"}}, body.dump()});
}

} // namespace

keyed_store::keyed_store(boost::asio::io_context& io)
    : io_(io),
      server_(io, {}, [this](const auto& r, auto e) { handle(r, e); }) {
    address_ = *server_.listen({"127.0.0.1", 0});
}

void keyed_store::put(const std::string& topic, const std::string& key,
                      const std::string& value) {
    logs_[{topic, 0}].push_back({key, value});
}

std::string keyed_store::newest(const std::string& topic,
                                const std::string& key) const {
    const auto all = values(topic, key);
    return all.empty() ? "" : all.back();
}

std::vector<std::string> keyed_store::values(const std::string& topic,
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

void keyed_store::handle(const transport::inbound_request& request,
                         const answer& to) {
    const auto& target = request.target;
    const partition part{parameter(target, "topic"),
                         std::atoi(parameter(target, "part").c_str())};
    if (refusing_) {
        respond(to, 503, json::object());
    } else if (target.rfind("/log-append?", 0) == 0) {
        append(request, to);
    } else if (target.rfind("/log-read?", 0) == 0) {
        read(part,
             std::strtoull(parameter(target, "from").c_str(), nullptr, 10),
             std::atoi(parameter(target, "waitMs").c_str()), to);
    } else if (target.rfind("/log-newest?", 0) == 0) {
        newest_page(part, unescaped(parameter(target, "after")), to);
    } else {
        respond(to, 404, json::object());
    }
}

std::size_t keyed_store::keys(const std::string& topic,
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

void keyed_store::append(const transport::inbound_request& request,
                         const answer& to) {
    const auto& target = request.target;
    const partition to_part{parameter(target, "topic"),
                            std::atoi(parameter(target, "part").c_str())};
    if (refused_.count(to_part) != 0) {
        respond(to, 503, json::object());
        return;
    }
    auto& log = logs_[to_part];
    const auto at = parameter(target, "at");
    if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != log.size()) {
        respond(to, 412, {{"end", log.size()}});
        return;
    }
    if (!records_fit(request.body)) {
        to->respond({413, {}, ""});
        return;
    }
    const auto first = log.size();
    std::size_t begin = 0;
    while (begin + 4 <= request.body.size()) {
        const auto length = get_number(request.body, begin);
        const auto bytes = request.body.substr(begin + 4, length);
        const auto key = static_cast<unsigned char>(bytes.at(0));
        log.push_back({bytes.substr(1, key), bytes.substr(1U + key)});
        begin += 4 + length;
    }
    if (to_part.first == held_topic_) {
        ++held_answers_;
        unanswered_.push_back(to);
        return;
    }
    // Spread evenly, so that a run repeats.
    constexpr int hundred = 100;
    constexpr int stride = 37;
    if (++appends_ * stride % hundred < losing_) {
        unanswered_.push_back(to);
        return;
    }
    respond(to, 200, {{"offset", first}, {"end", log.size()}});
}

void keyed_store::read(const partition& from, std::size_t offset, int wait_ms,
                       const answer& to) {
    if (logs_[from].size() > offset || wait_ms <= 0) {
        send_records(from, offset, to);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(poll_ms));
    timer->async_wait([this, timer, from, offset, wait_ms, to](auto error) {
        if (!error) {
            read(from, offset, wait_ms - poll_ms, to);
        }
    });
}

void keyed_store::send_records(const partition& from, std::size_t offset,
                               const answer& to) {
    const auto& log = logs_[from];
    std::string body;
    put_number(body, log.size(), 8);
    put_number(body, 0, 8);
    for (auto n = offset; n < log.size(); ++n) {
        const auto& r = log[n];
        put_number(body, 1 + r.key.size() + r.value.size(), 4);
        body += static_cast<char>(r.key.size());
        body += r.key;
        body += r.value;
    }
    to->respond({200, {}, body});
}

void keyed_store::newest_page(const partition& from, const std::string& after,
                              const answer& to) {
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
        if (page["items"].size() == most || bytes > page_bytes) {
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
