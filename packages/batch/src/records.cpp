#include "hibiscus/batch/records.hpp"

#include "hibiscus/base/result.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdio>

namespace hibiscus::batch {

namespace {

using json = nlohmann::json;

constexpr char separator = '/';

/// The bytes of a record besides its value: the key and its framing.
constexpr std::size_t record_overhead = 512;

std::string padded(int number) {
    char text[16];
    std::snprintf(text, sizeof text, "%06d", number);
    return text;
}

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::size_t begin = 0;
    for (;;) {
        const auto end = text.find(separator, begin);
        parts.push_back(text.substr(begin, end - begin));
        if (end == std::string::npos) {
            return parts;
        }
        begin = end + 1;
    }
}

std::optional<int> number(const std::string& text) {
    int value = 0;
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (read.ec != std::errc() || read.ptr != end || value < 0) {
        return std::nullopt;
    }
    return value;
}

std::string pack(const json& value) {
    std::string out;
    json::to_cbor(value, out);
    return out;
}

/// Decodes a value; anything that is not as `read` expects it is no value.
template <class T, class F>
std::optional<T> unpack(const std::string& bytes, F read) {
    const auto value = json::from_cbor(bytes, true, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    try {
        return read(value);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

json binary(const std::string& bytes) {
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string text_of(const json& value) {
    const auto& bytes = value.get_binary();
    return std::string(bytes.begin(), bytes.end());
}

json to_json(const item& i) {
    json out{{"id", i.id.str()},     {"path", i.path},
             {"body", binary(i.body)}, {"tokens", i.tokens},
             {"expect", i.expected_tokens}, {"group", i.group}};
    auto& fields = out["fields"] = json::array();
    for (const auto& f : i.fields) {
        fields.push_back({f.first, f.second});
    }
    if (i.reward) {
        out["reward"] = {{"id", i.reward->id},
                         {"host", i.reward->host},
                         {"path", i.reward->path},
                         {"body", binary(i.reward->body)}};
    }
    return out;
}

item item_from(const json& in) {
    item i;
    i.id = item_id(in.at("id").get<std::string>());
    i.path = in.at("path").get<std::string>();
    i.body = text_of(in.at("body"));
    i.tokens = in.at("tokens").get<std::int64_t>();
    i.expected_tokens = in.at("expect").get<std::int64_t>();
    i.group = in.at("group").get<std::string>();
    for (const auto& f : in.at("fields")) {
        i.fields.emplace_back(f.at(0).get<std::string>(),
                              f.at(1).get<std::string>());
    }
    if (in.contains("reward")) {
        const auto& r = in.at("reward");
        i.reward = reward_call{
            r.at("id").get<std::string>(), r.at("host").get<std::string>(),
            r.at("path").get<std::string>(), text_of(r.at("body"))};
    }
    return i;
}

std::optional<record_key> parse_numbered(const job_id& job, char kind,
                                         const std::vector<std::string>& p) {
    std::vector<int> n;
    for (std::size_t i = 2; i < p.size(); ++i) {
        const auto value = number(p[i]);
        if (!value) {
            return std::nullopt;
        }
        n.push_back(*value);
    }
    if (kind == 'h' && n.empty()) {
        return header_key{job};
    }
    if (kind == 'x' && n.empty()) {
        return end_key{job};
    }
    if (kind == 'c' && n.size() == 1) {
        return chunk_key{job, n[0]};
    }
    if (kind == 'r' && n.size() == 2) {
        return result_key{job, n[0], n[1]};
    }
    if (kind == 'p' && n.size() == 3) {
        return progress_key{job, n[0], n[1], n[2]};
    }
    return std::nullopt;
}

const std::string owner_text = "!owner";

} // namespace

std::string to_text(const record_key& key) {
    return std::visit(
        base::overloaded{
            [](const owner_key&) { return owner_text; },
            [](const header_key& k) { return k.job.str() + "/h"; },
            [](const chunk_key& k) {
                return k.job.str() + "/c/" + padded(k.chunk);
            },
            [](const result_key& k) {
                return k.job.str() + "/r/" + padded(k.position) + separator +
                       padded(k.item);
            },
            [](const progress_key& k) {
                return k.job.str() + "/p/" + padded(k.item) + separator +
                       padded(k.epoch) + separator + padded(k.from);
            },
            [](const end_key& k) { return k.job.str() + "/x"; }},
        key);
}

std::optional<record_key> parse_key(const std::string& text) {
    if (text == owner_text) {
        return owner_key{};
    }
    const auto parts = split(text);
    if (parts.size() < 2 || parts[0].empty() || parts[1].size() != 1) {
        return std::nullopt;
    }
    return parse_numbered(job_id(parts[0]), parts[1][0], parts);
}

std::string encode(const owner_record& value) {
    return pack({{"node", value.node.str()},
                 {"incarnation", value.incarnation},
                 {"left", value.left}});
}

std::optional<owner_record> decode_owner(const std::string& bytes) {
    return unpack<owner_record>(bytes, [](const json& in) {
        return owner_record{base::node_id(in.at("node").get<std::string>()),
                            in.at("incarnation").get<std::string>(),
                            in.at("left").get<bool>()};
    });
}

std::string encode(const job_header& h) {
    return pack({{"id", h.id.str()},
                 {"host", h.host},
                 {"path", h.path},
                 {"model", h.model},
                 {"step", h.step},
                 {"least", h.least_version},
                 {"groups", h.wanted_groups},
                 {"items", h.items},
                 {"chunks", h.chunks},
                 {"wall", h.accepted_wall}});
}

std::optional<job_header> decode_header(const std::string& bytes) {
    return unpack<job_header>(bytes, [](const json& in) {
        job_header h;
        h.id = job_id(in.at("id").get<std::string>());
        h.host = in.at("host").get<std::string>();
        h.path = in.at("path").get<std::string>();
        h.model = in.at("model").get<std::string>();
        h.step = in.at("step").get<std::int64_t>();
        h.least_version = in.at("least").get<weight_version>();
        h.wanted_groups = in.at("groups").get<int>();
        h.items = in.at("items").get<int>();
        h.chunks = in.at("chunks").get<int>();
        h.accepted_wall = in.at("wall").get<base::millis>();
        return h;
    });
}

std::string encode(const std::vector<item>& value) {
    json out = json::array();
    for (const auto& i : value) {
        out.push_back(to_json(i));
    }
    return pack(out);
}

std::optional<std::vector<item>> decode_items(const std::string& bytes) {
    return unpack<std::vector<item>>(bytes, [](const json& in) {
        std::vector<item> items;
        for (const auto& row : in) {
            items.push_back(item_from(row));
        }
        return items;
    });
}

std::string encode(const item_result& r) {
    return pack({{"id", r.id.str()},
                 {"outcome", base::name_of(r.outcome)},
                 {"text", binary(r.text)},
                 {"versions", r.versions},
                 {"score", r.score}});
}

std::optional<item_result> decode_result(const std::string& bytes) {
    return unpack<item_result>(bytes, [](const json& in) {
        item_result r;
        r.id = item_id(in.at("id").get<std::string>());
        r.outcome = in.at("outcome") == base::name_of(item_outcome::errored)
                        ? item_outcome::errored
                        : item_outcome::succeeded;
        r.text = text_of(in.at("text"));
        r.versions = in.at("versions").get<std::vector<weight_version>>();
        r.score = in.at("score").get<std::string>();
        return r;
    });
}

std::string encode(const progress_part& p) {
    return pack({{"item", p.item},
                 {"epoch", p.epoch},
                 {"from", p.from},
                 {"events", p.events},
                 {"last", p.last_event},
                 {"text", binary(p.text)},
                 {"versions", p.versions},
                 {"failures", p.failures}});
}

std::optional<progress_part> decode_progress(const std::string& bytes) {
    return unpack<progress_part>(bytes, [](const json& in) {
        progress_part p;
        p.item = in.at("item").get<int>();
        p.epoch = in.at("epoch").get<int>();
        p.from = in.at("from").get<int>();
        p.events = in.at("events").get<int>();
        p.last_event = in.at("last").get<std::string>();
        p.text = text_of(in.at("text"));
        p.versions = in.at("versions").get<std::vector<weight_version>>();
        p.failures = in.at("failures").get<int>();
        return p;
    });
}

std::optional<std::vector<std::vector<store::record>>>
cut_into_appends(job submission, const record_limits& limits) {
    auto& header = submission.header;
    header.items = static_cast<int>(submission.items.size());
    header.chunks = 0;
    std::vector<std::vector<store::record>> appends(1);
    std::size_t in_append = 0;
    const auto add = [&](store::record r) {
        const auto size = r.value.size() + record_overhead;
        if (in_append + size > limits.call && !appends.back().empty()) {
            appends.emplace_back();
            in_append = 0;
        }
        in_append += size;
        appends.back().push_back(std::move(r));
    };
    std::vector<item> chunk;
    std::size_t in_chunk = 0;
    const auto flush = [&] {
        if (!chunk.empty()) {
            add({to_text(chunk_key{header.id, header.chunks++}),
                 encode(chunk)});
            chunk.clear();
            in_chunk = 0;
        }
    };
    for (auto& i : submission.items) {
        const auto size = pack(to_json(i)).size();
        if (size + record_overhead > limits.record) {
            return std::nullopt;
        }
        if (in_chunk + size + record_overhead > limits.record) {
            flush();
        }
        in_chunk += size;
        chunk.push_back(std::move(i));
    }
    flush();
    add({to_text(header_key{header.id}), encode(header)});
    return appends;
}

} // namespace hibiscus::batch
