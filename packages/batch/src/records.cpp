#include "hibiscus/batch/records.hpp"

#include "hibiscus/base/result.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <tuple>

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
    json out{{"id", i.id.str()},          {"path", i.path},
             {"body", binary(i.body)},    {"tokens", i.tokens},
             {"prompt", i.prompt_tokens}, {"expect", i.expected_tokens},
             {"group", i.group}};
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
    i.prompt_tokens = in.at("prompt").get<std::int64_t>();
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

const std::string owner_text = "!owner";

} // namespace

std::string to_text(const journal_key& key) {
    return std::visit(
        base::overloaded{[](const owner_key&) { return owner_text; },
                         [](const header_key& k) { return k.job.str() + "/h"; },
                         [](const listing_key& k) {
                             return k.job.str() + "/l/" + padded(k.position);
                         },
                         [](const end_key& k) { return k.job.str() + "/x"; }},
        key);
}

std::optional<journal_key> parse_key(const std::string& text) {
    if (text == owner_text) {
        return owner_key{};
    }
    const auto parts = split(text);
    if (parts.size() < 2 || parts[0].empty()) {
        return std::nullopt;
    }
    const job_id job(parts[0]);
    if (parts.size() == 2 && parts[1] == "h") {
        return header_key{job};
    }
    if (parts.size() == 2 && parts[1] == "x") {
        return end_key{job};
    }
    if (parts.size() == 3 && parts[1] == "l") {
        if (const auto position = number(parts[2])) {
            return listing_key{job, *position};
        }
    }
    return std::nullopt;
}

std::string job_prefix(const job_id& job) {
    return job.str() + separator;
}

std::string chunk_text(const job_id& job, int chunk) {
    return job_prefix(job) + padded(chunk);
}

std::string texts_text(const job_id& job, int position,
                       const std::string& texts) {
    return job_prefix(job) + padded(position) + separator + texts;
}

std::string before_texts(const job_id& job, int position,
                         const std::string& texts) {
    // The greatest of the texts that begin with a smaller last character.
    auto key = texts_text(job, position, texts);
    --key.back();
    return key + '~';
}

std::string progress_text(const job_id& job, const progress_part& part) {
    return job_prefix(job) + padded(part.item) + separator +
           std::to_string(part.epoch) + separator + padded(part.from);
}

std::string encode(const owner_record& value) {
    return pack({{"node", value.node.str()},
                 {"incarnation", value.incarnation},
                 {"fence", value.fence},
                 {"beat", value.beat},
                 {"left", value.left}});
}

std::optional<owner_record> decode_owner(const std::string& bytes) {
    return unpack<owner_record>(bytes, [](const json& in) {
        return owner_record{base::node_id(in.at("node").get<std::string>()),
                            in.at("incarnation").get<std::string>(),
                            in.at("fence").get<store::log_offset>(),
                            in.at("beat").get<std::int64_t>(),
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

std::string encode(const listing& value) {
    json rows = json::array();
    for (const auto& r : value.rows) {
        rows.push_back({r.item, base::name_of(r.outcome)});
    }
    return pack({{"texts", value.texts}, {"rows", std::move(rows)}});
}

std::optional<listing> decode_listing(const std::string& bytes) {
    return unpack<listing>(bytes, [](const json& in) {
        listing l;
        l.texts = in.at("texts").get<std::string>();
        for (const auto& r : in.at("rows")) {
            const auto outcome = base::from_name<item_outcome>(
                r.at(1).get_ref<const std::string&>());
            l.rows.push_back(
                {r.at(0).get<int>(), outcome.value_or(item_outcome::errored)});
        }
        return l;
    });
}

std::string encode(const std::vector<item_result>& value) {
    json out = json::array();
    for (const auto& r : value) {
        out.push_back({{"id", r.id.str()},
                       {"outcome", base::name_of(r.outcome)},
                       {"text", binary(r.text)},
                       {"versions", r.versions},
                       {"score", r.score}});
    }
    return pack(out);
}

std::optional<std::vector<item_result>>
decode_results(const std::string& bytes) {
    return unpack<std::vector<item_result>>(bytes, [](const json& in) {
        std::vector<item_result> out;
        for (const auto& row : in) {
            item_result r;
            r.id = item_id(row.at("id").get<std::string>());
            r.outcome = base::from_name<item_outcome>(
                            row.at("outcome").get_ref<const std::string&>())
                            .value_or(item_outcome::errored);
            r.text = text_of(row.at("text"));
            r.versions = row.at("versions").get<std::vector<weight_version>>();
            r.score = row.at("score").get<std::string>();
            out.push_back(std::move(r));
        }
        return out;
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
        p.epoch = in.at("epoch").get<std::int64_t>();
        p.from = in.at("from").get<int>();
        p.events = in.at("events").get<int>();
        p.last_event = in.at("last").get<std::string>();
        p.text = text_of(in.at("text"));
        p.versions = in.at("versions").get<std::vector<weight_version>>();
        p.failures = in.at("failures").get<int>();
        return p;
    });
}

std::vector<store::record> cut_into_chunks(job_header& header,
                                           std::vector<item> items,
                                           std::size_t record_bytes) {
    header.items = static_cast<int>(items.size());
    header.chunks = 0;
    std::vector<store::record> out;
    std::vector<item> chunk;
    std::size_t in_chunk = 0;
    const auto flush = [&] {
        if (chunk.empty()) {
            return;
        }
        out.push_back({chunk_text(header.id, header.chunks++), encode(chunk)});
        chunk.clear();
        in_chunk = 0;
    };
    for (auto& i : items) {
        const auto size = pack(to_json(i)).size();
        if (in_chunk + size + record_overhead > record_bytes) {
            flush();
        }
        in_chunk += size;
        chunk.push_back(std::move(i));
    }
    flush();
    return out;
}

saved_text join_parts(std::vector<progress_part> parts) {
    saved_text out;
    std::sort(parts.begin(), parts.end(), [](const auto& a, const auto& b) {
        return std::tie(b.epoch, a.from) < std::tie(a.epoch, b.from);
    });
    for (const auto& part : parts) {
        out.failures = std::max(out.failures, part.failures);
        if (part.epoch != parts.front().epoch || part.from != out.events ||
            part.events == 0) {
            continue;
        }
        if (out.events > 0) {
            out.text += '\n';
        }
        out.text += part.text;
        out.events += part.events;
        out.last_event = part.last_event;
        out.versions = part.versions;
    }
    return out;
}

} // namespace hibiscus::batch
