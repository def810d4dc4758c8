#include "entry/fake_keyed_store.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace hibiscus::testing {

namespace {

using json = nlohmann::json;

/// How often a waiting read checks for new records, in ms.
constexpr int poll_interval_ms = 5;

std::string query_parameter(const std::string& target,
                            const std::string& name) {
    const auto query = target.find('?');
    const auto prefix = "&" + name + "=";
    const auto text = "&" + target.substr(query + 1);
    const auto position = text.find(prefix);
    if (query == std::string::npos || position == std::string::npos) {
        return {};
    }
    const auto begin = position + prefix.size();
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

std::size_t read_big_endian(const std::string& in, std::size_t offset) {
    std::size_t value = 0;
    for (std::size_t n = 0; n < 4; ++n) {
        value = value << 8U | static_cast<unsigned char>(in[offset + n]);
    }
    return value;
}

/// The maximum sizes of one record, one append and all values in one page of
/// newest records, in bytes, as the users document them for their store.
constexpr std::size_t max_record_bytes = 262144;
constexpr std::size_t max_append_bytes = 2097152;
constexpr std::size_t max_page_bytes = std::size_t{1} << 20U;

bool records_fit(const std::string& body) {
    if (body.size() > max_append_bytes) {
        return false;
    }
    for (std::size_t offset = 0; offset + 4 <= body.size();) {
        const auto length = read_big_endian(body, offset);
        if (length > max_record_bytes) {
            return false;
        }
        offset += 4 + length;
    }
    return true;
}

void respond(const std::shared_ptr<transport::response_writer>& writer,
             int status, const json& body) {
    writer->send({status, {{"Content-Type", "application/json"}}, body.dump()});
}

} // namespace

fake_keyed_store::fake_keyed_store(boost::asio::io_context& io)
    : io_(io), server_(io, {}, [this](const auto& request, auto writer) {
          handle(request, writer);
      }) {
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

std::map<std::string, std::string>
fake_keyed_store::newest_values(const std::string& topic) const {
    std::map<std::string, std::string> newest;
    const auto log = logs_.find({topic, 0});
    if (log == logs_.end()) {
        return newest;
    }
    for (const auto& r : log->second) {
        if (r.value.empty()) {
            newest.erase(r.key);
        } else {
            newest[r.key] = r.value;
        }
    }
    return newest;
}

std::vector<std::string>
fake_keyed_store::all_values(const std::string& topic,
                             const std::string& key) const {
    std::vector<std::string> values;
    const auto log = logs_.find({topic, 0});
    if (log != logs_.end()) {
        for (const auto& r : log->second) {
            if (r.key == key) {
                values.push_back(r.value);
            }
        }
    }
    return values;
}

void fake_keyed_store::handle(const transport::inbound_request& request,
                              const response_writer_ptr& writer) {
    const auto& target = request.target;
    const partition part{query_parameter(target, "topic"),
                         std::atoi(query_parameter(target, "part").c_str())};
    if (unavailable_) {
        respond(writer, 503, json::object());
    } else if (target.rfind("/log-append?", 0) == 0) {
        append(request, writer);
    } else if (target.rfind("/log-read?", 0) == 0) {
        read(
            part,
            std::strtoull(query_parameter(target, "from").c_str(), nullptr, 10),
            std::atoi(query_parameter(target, "waitMs").c_str()), writer);
    } else if (target.rfind("/log-newest?", 0) == 0) {
        send_latest_page(part, percent_decode(query_parameter(target, "after")),
                         writer);
    } else {
        respond(writer, 404, json::object());
    }
}

std::size_t fake_keyed_store::count_keys(const std::string& topic,
                                         const std::string& prefix) const {
    std::map<std::string, bool> has_value;
    for (const auto& [name, log] : logs_) {
        for (const auto& r : log) {
            if (name.first == topic &&
                r.key.compare(0, prefix.size(), prefix) == 0) {
                has_value[r.key] = !r.value.empty();
            }
        }
    }
    return static_cast<std::size_t>(
        std::count_if(has_value.begin(), has_value.end(),
                      [](const auto& l) { return l.second; }));
}

void fake_keyed_store::append(const transport::inbound_request& request,
                              const response_writer_ptr& writer) {
    const auto& target = request.target;
    const partition part{query_parameter(target, "topic"),
                         std::atoi(query_parameter(target, "part").c_str())};
    if (rejecting_partitions_.count(part) != 0) {
        ++refused_appends_[part];
        respond(writer, 503, json::object());
        return;
    }
    auto& log = logs_[part];
    const auto expected_end = query_parameter(target, "at");
    if (!expected_end.empty() &&
        std::strtoull(expected_end.c_str(), nullptr, 10) != log.size()) {
        respond(writer, 412, {{"end", log.size()}});
        return;
    }
    if (!records_fit(request.body)) {
        writer->send({413, {}, ""});
        return;
    }
    const auto first_offset = log.size();
    std::size_t begin = 0;
    while (begin + 4 <= request.body.size()) {
        const auto length = read_big_endian(request.body, begin);
        const auto bytes = request.body.substr(begin + 4, length);
        const auto key_length = static_cast<unsigned char>(bytes.at(0));
        log.push_back(
            {bytes.substr(1, key_length), bytes.substr(1U + key_length)});
        begin += 4 + length;
    }
    if (part.first == withheld_topic_) {
        ++withheld_responses_;
        unfinished_responses_.push_back(writer);
        return;
    }
    // Spreads the lost responses evenly and without randomness, so that runs
    // are reproducible.
    constexpr int percent_range = 100;
    constexpr int stride = 37;
    if (++append_count_ * stride % percent_range < lost_response_percent_) {
        unfinished_responses_.push_back(writer);
        return;
    }
    respond(writer, 200, {{"offset", first_offset}, {"end", log.size()}});
}

void fake_keyed_store::read(const partition& part, std::size_t offset,
                            int wait_ms, const response_writer_ptr& writer) {
    if (logs_[part].size() > offset || wait_ms <= 0) {
        send_records(part, offset, writer);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_, std::chrono::milliseconds(poll_interval_ms));
    timer->async_wait([this, timer, part, offset, wait_ms, writer](auto error) {
        if (!error) {
            read(part, offset, wait_ms - poll_interval_ms, writer);
        }
    });
}

void fake_keyed_store::send_records(const partition& part, std::size_t offset,
                                    const response_writer_ptr& writer) {
    const auto& log = logs_[part];
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
    writer->send({200, {}, body});
}

void fake_keyed_store::send_latest_page(const partition& part,
                                        const std::string& after,
                                        const response_writer_ptr& writer) {
    constexpr std::size_t max_items = 500;
    std::size_t bytes = 0;
    const auto& log = logs_[part];
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
        if (page["items"].size() == max_items || bytes > max_page_bytes) {
            page["hasMore"] = true;
            break;
        }
        bytes += log[n].value.size();
        page["items"].push_back({{"key", key},
                                 {"value", absl::Base64Escape(log[n].value)},
                                 {"offset", n}});
    }
    respond(writer, 200, page);
}

} // namespace hibiscus::testing
