#pragma once

#include "net.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <set>

namespace review {

using json = nlohmann::json;

/// The platform's store as PROTOCOL.md tells it, as far as the nodes use it: a
/// log with keyed topics, with the limits that the page and the settings of a
/// small deployment name.
class store {
public:
    static constexpr std::size_t max_record_bytes = 262144;
    static constexpr std::size_t max_call_bytes = 2097152;
    static constexpr std::size_t max_stored_bytes = 400 * 1000 * 1000;
    static constexpr double part_bytes_per_ms = 20.0 * 1000;
    static constexpr long append_ms = 1;
    static constexpr long answer_ms = 4;

    store()
        : server_([this](const auto& request, auto& peer) {
              return handle(request, peer);
          }) {}

    int port() const { return server_.port(); }

    /// Writes a record as the operator, a trainer or a sampler would.
    void put(const std::string& topic, const std::string& key,
             const std::string& value) {
        const std::lock_guard<std::mutex> lock(mutex_);
        add(parts_[{topic, 0}], key, value);
        changed_.notify_all();
    }

    /// Sets whether one partition of a topic is down: its calls get 503.
    void set_down(const std::string& topic, int part, bool down) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (down) {
            down_.insert({topic, part});
        } else {
            down_.erase({topic, part});
        }
    }

    /// Returns the bytes of the newest records of all keys: what a store with
    /// the best compaction would have to keep.
    std::size_t stored_bytes() const { return stored_; }

    /// Returns the same for one topic.
    std::size_t stored_bytes(const std::string& topic) {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::size_t bytes = 0;
        for (const auto& [id, p] : parts_) {
            if (id.first != topic) {
                continue;
            }
            for (const auto& [key, offset] : p.newest) {
                bytes += key.size() + p.records[offset].value.size();
            }
        }
        return bytes;
    }

    /// Returns how many appends were answered 507.
    int refused_as_full() const { return full_; }

    /// Returns the newest value of a key in partition 0; "" if there is none.
    std::string newest(const std::string& topic, const std::string& key) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto& p = parts_[{topic, 0}];
        const auto found = p.newest.find(key);
        return found == p.newest.end() ? "" : p.records[found->second].value;
    }

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct partition {
        std::vector<record> records;
        /// Offset of the newest record of each key that has a value.
        std::map<std::string, std::size_t> newest;
        /// When the appends that were accepted before are done.
        double busy_until = 0;
    };
    using partition_id = std::pair<std::string, int>;

    static std::string query(const std::string& target,
                             const std::string& name) {
        const auto begin_of_query = target.find('?');
        const auto text = "&" + target.substr(begin_of_query + 1);
        const auto position = text.find("&" + name + "=");
        if (begin_of_query == std::string::npos ||
            position == std::string::npos) {
            return {};
        }
        const auto begin = position + name.size() + 2;
        return text.substr(begin, text.find('&', begin) - begin);
    }

    static std::string percent_decode(const std::string& text) {
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

    static std::string big_endian(std::uint64_t value, int bytes) {
        std::string out;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            out += static_cast<char>(value >> static_cast<unsigned>(shift) &
                                     0xffU);
        }
        return out;
    }

    static std::string base64(const std::string& in) {
        static const char* const digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        out.reserve(in.size() / 3 * 4 + 4);
        for (std::size_t n = 0; n < in.size(); n += 3) {
            std::uint32_t bits = 0;
            const auto count = std::min<std::size_t>(3, in.size() - n);
            for (std::size_t k = 0; k < 3; ++k) {
                bits = bits << 8U |
                       (k < count ? static_cast<unsigned char>(in[n + k]) : 0U);
            }
            for (std::size_t k = 0; k < 4; ++k) {
                out += k <= count ? digits[bits >> (18 - 6 * k) & 63U] : '=';
            }
        }
        return out;
    }

    void add(partition& p, std::string key, std::string value) {
        const auto found = p.newest.find(key);
        if (found != p.newest.end()) {
            stored_ -= key.size() + p.records[found->second].value.size();
            // Superseded records are not needed for reads that have passed
            // them, and readers here are never that far behind.
            if (p.records[found->second].value.size() > 4096) {
                p.records[found->second].value.clear();
            }
        }
        if (value.empty()) {
            p.newest.erase(key);
        } else {
            stored_ += key.size() + value.size();
            p.newest[key] = p.records.size();
        }
        p.records.push_back({std::move(key), std::move(value)});
    }

    bool handle(const http_message& request, connection& peer) {
        const auto& target = request.target;
        const partition_id id{query(target, "topic"),
                              std::atoi(query(target, "part").c_str())};
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (down_.count(id) != 0) {
                return peer.send(make_response(503, "{}"));
            }
        }
        if (target.rfind("/log-append?", 0) == 0) {
            return append(id, request, peer);
        }
        if (target.rfind("/log-read?", 0) == 0) {
            return read(id, target, peer);
        }
        if (target.rfind("/log-newest?", 0) == 0) {
            return send_newest(id, target, peer);
        }
        return peer.send(make_response(404, "{}"));
    }

    bool append(const partition_id& id, const http_message& request,
                connection& peer) {
        std::vector<record> added;
        const auto& body = request.body;
        bool fits = body.size() <= max_call_bytes;
        for (std::size_t n = 0; n + 4 <= body.size() && fits;) {
            std::size_t length = 0;
            for (int k = 0; k < 4; ++k) {
                length = length << 8U | static_cast<unsigned char>(body[n + k]);
            }
            fits = length <= max_record_bytes && length > 0;
            const auto bytes = body.substr(n + 4, length);
            const auto key_size = static_cast<unsigned char>(bytes[0]);
            added.push_back(
                {bytes.substr(1, key_size), bytes.substr(1U + key_size)});
            n += 4 + length;
        }
        if (!fits) {
            return peer.send(make_response(413, "{}"));
        }
        const long begun = now_ms();
        double done_at = 0;
        json answer;
        int status = 200;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            auto& p = parts_[id];
            const auto at = query(request.target, "at");
            const auto end = p.records.size();
            if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != end) {
                status = 412;
                answer = {{"end", end}};
            } else if (stored_ >= max_stored_bytes) {
                status = 507;
                answer = json::object();
                ++full_;
            } else if (p.busy_until - static_cast<double>(begun) > 2000) {
                status = 503;
                answer = json::object();
            } else {
                p.busy_until =
                    std::max(p.busy_until, static_cast<double>(begun)) +
                    append_ms +
                    static_cast<double>(body.size()) / part_bytes_per_ms;
                done_at = p.busy_until;
                for (auto& r : added) {
                    add(p, std::move(r.key), std::move(r.value));
                }
                answer = {{"offset", end}, {"end", p.records.size()}};
            }
        }
        sleep_ms(std::max(answer_ms, static_cast<long>(done_at) - begun));
        changed_.notify_all();
        return peer.send(make_response(status, answer.dump(),
                                       "Content-Type: application/json\r\n"));
    }

    bool read(const partition_id& id, const std::string& target,
              connection& peer) {
        const auto from =
            std::strtoull(query(target, "from").c_str(), nullptr, 10);
        const long wait = std::atol(query(target, "waitMs").c_str());
        std::string body;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            auto& p = parts_[id];
            changed_.wait_for(lock, std::chrono::milliseconds(wait),
                              [&] { return p.records.size() > from; });
            body = big_endian(p.records.size(), 8) + big_endian(0, 8);
            for (auto n = from;
                 n < p.records.size() && body.size() < (1U << 20U); ++n) {
                const auto& r = p.records[n];
                body += big_endian(1 + r.key.size() + r.value.size(), 4);
                body += static_cast<char>(r.key.size());
                body += r.key + r.value;
            }
        }
        sleep_ms(answer_ms);
        return peer.send(make_response(200, body));
    }

    bool send_newest(const partition_id& id, const std::string& target,
                     connection& peer) {
        const auto after = percent_decode(query(target, "after"));
        json page{{"items", json::array()}, {"hasMore", false}};
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto& p = parts_[id];
            page["end"] = p.records.size();
            std::size_t bytes = 0;
            for (auto row = p.newest.upper_bound(after); row != p.newest.end();
                 ++row) {
                if (page["items"].size() == 500 || bytes > 1000000) {
                    page["hasMore"] = true;
                    break;
                }
                const auto& value = p.records[row->second].value;
                bytes += value.size();
                page["items"].push_back({{"key", row->first},
                                         {"value", base64(value)},
                                         {"offset", row->second}});
            }
        }
        sleep_ms(answer_ms);
        return peer.send(make_response(200, page.dump(),
                                       "Content-Type: application/json\r\n"));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<partition_id, partition> parts_;
    std::set<partition_id> down_;
    std::atomic<std::size_t> stored_{0};
    std::atomic<int> full_{0};
    http_server server_;
};

} // namespace review
