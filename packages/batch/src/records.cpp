#include "hibiscus/batch/records.hpp"

#include "hibiscus/base/cbor.hpp"
#include "hibiscus/base/hash.hpp"
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

/// Separates the name of a submission's items from the number of a chunk. Not
/// `separator`: an owner of an earlier release would pass over these keys.
constexpr char name_separator = '.';

/// Size of a submitter's tag: a letter and 16 hexadecimal digits.
constexpr std::size_t submitter_tag_size = 17;

/// Upper bound of the size of a record without its value: the key and its
/// framing.
constexpr std::size_t max_record_overhead_bytes = 512;

/// The first of the fields of a stored loss that tell how far its run had come.
/// Records of earlier versions have none of them, or only the first.
constexpr std::size_t loss_progress_field = 3;

/// The field of a stored loss that tells whether these are known.
constexpr std::size_t loss_progress_known_field = 6;

/// The fields with the service of the server and its number of servers.
constexpr std::size_t loss_service_field = 7;

/// Returns a field of a stored loss, or 0 if the record does not have it.
template <class T>
T loss_field(const json& loss, std::size_t field, T absent = {}) {
    return field < loss.size() ? loss.at(field).get<T>() : absent;
}

json to_json(const run_progress& progress) {
    return {progress.text_events, progress.run_events, progress.run_ms};
}

/// Reads the progress that begins at a field, as far as it is stored.
run_progress read_progress(const json& in, std::size_t field) {
    return {loss_field<int>(in, field), loss_field<int>(in, field + 1),
            loss_field<base::millis>(in, field + 2)};
}

std::string zero_padded(int number) {
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

std::optional<int> parse_number(const std::string& text) {
    int value = 0;
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (read.ec != std::errc() || read.ptr != end || value < 0) {
        return std::nullopt;
    }
    return value;
}

/// Decodes a value with `read`. Returns nothing if the bytes are not CBOR or
/// don't have the form that `read` expects.
template <class T, class F>
std::optional<T> from_cbor(const std::string& bytes, F read) {
    return base::decode_cbor(bytes, [&](const json& value) -> std::optional<T> {
        return read(value);
    });
}

json to_json_binary(const std::string& bytes) {
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string from_json_binary(const json& value) {
    const auto& bytes = value.get_binary();
    return std::string(bytes.begin(), bytes.end());
}

json to_json(const item& i) {
    json out{{"id", i.id.str()},
             {"path", i.path},
             {"body", to_json_binary(i.body)},
             {"tokens", i.max_total_tokens},
             {"prompt", i.prompt_tokens},
             {"expect", i.expected_output_tokens},
             {"group", i.group}};
    auto& fields = out["fields"] = json::array();
    for (const auto& f : i.header_fields) {
        fields.push_back({f.first, f.second});
    }
    if (i.reward) {
        out["reward"] = {{"id", i.reward->id},
                         {"host", i.reward->host},
                         {"path", i.reward->path},
                         {"body", to_json_binary(i.reward->body)}};
    }
    return out;
}

item item_from_json(const json& in) {
    item i;
    i.id = item_id(in.at("id").get<std::string>());
    i.path = in.at("path").get<std::string>();
    i.body = from_json_binary(in.at("body"));
    i.max_total_tokens = in.at("tokens").get<std::int64_t>();
    i.prompt_tokens = in.at("prompt").get<std::int64_t>();
    i.expected_output_tokens = in.at("expect").get<std::int64_t>();
    i.group = in.at("group").get<std::string>();
    for (const auto& f : in.at("fields")) {
        i.header_fields.emplace_back(f.at(0).get<std::string>(),
                                     f.at(1).get<std::string>());
    }
    if (in.contains("reward")) {
        const auto& r = in.at("reward");
        i.reward = reward_call{
            r.at("id").get<std::string>(), r.at("host").get<std::string>(),
            r.at("path").get<std::string>(), from_json_binary(r.at("body"))};
    }
    return i;
}

/// Returns what the keys of a submission's items begin with.
std::string items_prefix(const job_id& job, const std::string& submitter,
                         const std::string& items_name) {
    return job_prefix(job) + (submitter.empty() ? "" : submitter + separator) +
           (items_name.empty() ? "" : items_name + name_separator);
}

const std::string owner_key_text = "!owner";
const std::string loss_key_prefix = "!losses/";

} // namespace

std::string format_key(const journal_key& key) {
    return std::visit(
        base::overloaded{
            [](const owner_key&) { return owner_key_text; },
            [](const header_key& k) {
                return k.job.str() + "/h" +
                       (k.submitter.empty() ? "" : "/" + k.submitter);
            },
            [](const commit_key& k) {
                return k.job.str() + "/l/" + zero_padded(k.position);
            },
            [](const end_key& k) { return k.job.str() + "/x"; },
            [](const loss_key& k) { return loss_key_prefix + k.tag; }},
        key);
}

std::optional<journal_key> parse_key(const std::string& text) {
    if (text == owner_key_text) {
        return owner_key{};
    }
    if (text.compare(0, loss_key_prefix.size(), loss_key_prefix) == 0) {
        return loss_key{text.substr(loss_key_prefix.size())};
    }
    const auto parts = split(text);
    if (parts.size() < 2 || parts[0].empty()) {
        return std::nullopt;
    }
    const job_id job(parts[0]);
    if (parts.size() == 2 && parts[1] == "h") {
        return header_key{job};
    }
    if (parts.size() == 3 && parts[1] == "h" &&
        parts[2].size() == submitter_tag_size) {
        return header_key{job, parts[2]};
    }
    if (parts.size() == 2 && parts[1] == "x") {
        return end_key{job};
    }
    if (parts.size() == 3 && parts[1] == "l") {
        if (const auto position = parse_number(parts[2])) {
            return commit_key{job, *position};
        }
    }
    return std::nullopt;
}

loss_key make_loss_key(const request_key& request) {
    char tag[17];
    std::snprintf(
        tag, sizeof tag, "%016llx",
        static_cast<unsigned long long>(base::stable_hash(
            request.request_id, base::stable_hash(request.workspace))));
    return {tag};
}

std::string job_prefix(const job_id& job) {
    return job.str() + separator;
}

std::string submitter_tag(const std::string& workspace) {
    if (workspace.empty()) {
        return "";
    }
    char tag[submitter_tag_size + 1];
    std::snprintf(
        tag, sizeof tag, "w%016llx",
        static_cast<unsigned long long>(base::stable_hash(workspace)));
    return tag;
}

std::string chunk_key(const job_id& job, int chunk,
                      const std::string& submitter,
                      const std::string& items_name) {
    return items_prefix(job, submitter, items_name) + zero_padded(chunk);
}

std::vector<store::record>
select_item_records(std::vector<store::record> records,
                    const job_header& header) {
    const auto move_to_front = [&](const std::string& prefix) {
        return std::stable_partition(
            records.begin(), records.end(), [&](const store::record& r) {
                return r.key.compare(0, prefix.size(), prefix) == 0 &&
                       r.key.find(separator, prefix.size()) ==
                           std::string::npos &&
                       r.key.find(name_separator, prefix.size()) ==
                           std::string::npos;
            });
    };
    auto end = move_to_front(items_prefix(
        header.id, submitter_tag(header.workspace), header.items_name));
    if (end == records.begin() && header.items_name.empty()) {
        // Items of jobs stored by an earlier release may have neither a name
        // nor a tag of the workspace.
        end = move_to_front(job_prefix(header.id));
    }
    records.erase(end, records.end());
    return records;
}

std::string texts_key(const job_id& job, int position,
                      const std::string& texts_name) {
    return job_prefix(job) + zero_padded(position) + separator + texts_name;
}

std::string key_before_texts(const job_id& job, int position,
                             const std::string& texts_name) {
    // '~' sorts after all characters of these names, so the returned key sorts
    // after every key whose last character is smaller.
    auto key = texts_key(job, position, texts_name);
    --key.back();
    return key + '~';
}

std::string progress_key(const job_id& job, const progress_part& part) {
    return job_prefix(job) + zero_padded(part.item_index) + separator +
           std::to_string(part.epoch) + separator +
           zero_padded(part.first_event);
}

std::string encode(const owner_record& value) {
    return base::encode_cbor({{"node", value.node.str()},
                              {"incarnation", value.incarnation},
                              {"fence", value.fencing_token},
                              {"beat", value.renewals},
                              {"left", value.handed_over}});
}

std::optional<owner_record> decode_owner(const std::string& bytes) {
    return from_cbor<owner_record>(bytes, [](const json& in) {
        return owner_record{base::node_id(in.at("node").get<std::string>()),
                            in.at("incarnation").get<std::string>(),
                            in.at("fence").get<store::log_offset>(),
                            in.at("beat").get<std::int64_t>(),
                            in.at("left").get<bool>()};
    });
}

std::string encode(const job_header& h) {
    json out{{"id", h.id.str()},
             {"host", h.host},
             {"path", h.path},
             {"model", h.model},
             {"step", h.step},
             {"least", h.min_version},
             {"groups", h.required_groups},
             {"items", h.item_count},
             {"chunks", h.chunk_count},
             {"wall", h.accepted_wall_ms}};
    if (!h.workspace.empty()) {
        out["workspace"] = h.workspace;
    }
    if (!h.items_name.empty()) {
        out["stored_as"] = h.items_name;
    }
    return base::encode_cbor(out);
}

std::optional<job_header> decode_header(const std::string& bytes) {
    return from_cbor<job_header>(bytes, [](const json& in) {
        job_header h;
        h.id = job_id(in.at("id").get<std::string>());
        h.host = in.at("host").get<std::string>();
        h.path = in.at("path").get<std::string>();
        h.model = in.at("model").get<std::string>();
        h.step = in.at("step").get<std::int64_t>();
        h.min_version = in.at("least").get<weight_version>();
        h.required_groups = in.at("groups").get<int>();
        h.item_count = in.at("items").get<int>();
        h.chunk_count = in.at("chunks").get<int>();
        h.accepted_wall_ms = in.at("wall").get<base::millis>();
        h.workspace = in.value("workspace", std::string());
        h.items_name = in.value("stored_as", std::string());
        return h;
    });
}

std::string encode(const std::vector<item>& value) {
    json out = json::array();
    for (const auto& i : value) {
        out.push_back(to_json(i));
    }
    return base::encode_cbor(out);
}

std::optional<std::vector<item>> decode_items(const std::string& bytes) {
    return from_cbor<std::vector<item>>(bytes, [](const json& in) {
        std::vector<item> items;
        for (const auto& row : in) {
            items.push_back(item_from_json(row));
        }
        return items;
    });
}

std::string encode(const result_commit& value) {
    json rows = json::array();
    for (const auto& r : value.rows) {
        rows.push_back({r.item_index, base::name_of(r.outcome)});
    }
    return base::encode_cbor(
        {{"texts", value.texts_name}, {"rows", std::move(rows)}});
}

std::optional<result_commit> decode_commit(const std::string& bytes) {
    return from_cbor<result_commit>(bytes, [](const json& in) {
        result_commit commit;
        commit.texts_name = in.at("texts").get<std::string>();
        for (const auto& r : in.at("rows")) {
            const auto outcome = base::from_name<item_outcome>(
                r.at(1).get_ref<const std::string&>());
            commit.rows.push_back(
                {r.at(0).get<int>(), outcome.value_or(item_outcome::errored)});
        }
        return commit;
    });
}

std::string encode(const loss_record& value) {
    json losses = json::array();
    for (const auto& l : value.losses) {
        losses.push_back({l.process.server.str(), l.process.started_ms, l.ended,
                          l.progress.text_events, l.progress.run_events,
                          l.progress.run_ms, l.is_progress_known,
                          l.service.str(), l.server_count});
    }
    json cleared = json::array();
    for (const auto& p : value.cleared_processes) {
        cleared.push_back({p.server.str(), p.started_ms});
    }
    return base::encode_cbor({{"workspace", value.request.workspace},
                              {"id", value.request.request_id},
                              {"losses", std::move(losses)},
                              {"cleared", value.cleared_losses},
                              {"cleared_at", std::move(cleared)},
                              {"farthest", to_json(value.farthest)}});
}

std::optional<loss_record> decode_losses(const std::string& bytes) {
    return from_cbor<loss_record>(bytes, [](const json& in) {
        loss_record record;
        record.request = {in.at("workspace").get<std::string>(),
                          in.at("id").get<std::string>()};
        record.cleared_losses = in.value("cleared", 0);
        for (const auto& l : in.at("losses")) {
            record.losses.push_back(
                {{samplers::sampler_id(l.at(0).get<std::string>()),
                  l.at(1).get<base::millis>()},
                 l.at(2).get<bool>(),
                 read_progress(l, loss_progress_field),
                 loss_field(l, loss_progress_known_field, true),
                 samplers::service_name(
                     loss_field<std::string>(l, loss_service_field)),
                 loss_field<int>(l, loss_service_field + 1)});
        }
        for (const auto& p : in.value("cleared_at", json::array())) {
            record.cleared_processes.push_back(
                {samplers::sampler_id(p.at(0).get<std::string>()),
                 p.at(1).get<base::millis>()});
        }
        record.farthest = read_progress(in.value("farthest", json::array()), 0);
        return record;
    });
}

std::string encode(const std::vector<item_result>& value) {
    json out = json::array();
    for (const auto& r : value) {
        out.push_back({{"id", r.id.str()},
                       {"outcome", base::name_of(r.outcome)},
                       {"text", to_json_binary(r.text)},
                       {"versions", r.versions},
                       {"score", r.score}});
    }
    return base::encode_cbor(out);
}

std::optional<std::vector<item_result>>
decode_results(const std::string& bytes) {
    return from_cbor<std::vector<item_result>>(bytes, [](const json& in) {
        std::vector<item_result> out;
        for (const auto& row : in) {
            item_result r;
            r.id = item_id(row.at("id").get<std::string>());
            r.outcome = base::from_name<item_outcome>(
                            row.at("outcome").get_ref<const std::string&>())
                            .value_or(item_outcome::errored);
            r.text = from_json_binary(row.at("text"));
            r.versions = row.at("versions").get<std::vector<weight_version>>();
            r.score = row.at("score").get<std::string>();
            out.push_back(std::move(r));
        }
        return out;
    });
}

std::string encode(const progress_part& p) {
    return base::encode_cbor({{"item", p.item_index},
                              {"epoch", p.epoch},
                              {"from", p.first_event},
                              {"events", p.event_count},
                              {"last", p.last_event},
                              {"text", to_json_binary(p.text)},
                              {"versions", p.versions},
                              {"failures", p.failures}});
}

std::optional<progress_part> decode_progress(const std::string& bytes) {
    return from_cbor<progress_part>(bytes, [](const json& in) {
        progress_part p;
        p.item_index = in.at("item").get<int>();
        p.epoch = in.at("epoch").get<std::int64_t>();
        p.first_event = in.at("from").get<int>();
        p.event_count = in.at("events").get<int>();
        p.last_event = in.at("last").get<std::string>();
        p.text = from_json_binary(in.at("text"));
        p.versions = in.at("versions").get<std::vector<weight_version>>();
        p.failures = in.at("failures").get<int>();
        return p;
    });
}

std::vector<store::record> split_into_chunks(job_header& header,
                                             std::vector<item> items,
                                             std::size_t max_record_bytes) {
    header.item_count = static_cast<int>(items.size());
    header.chunk_count = 0;
    const auto submitter = submitter_tag(header.workspace);
    std::vector<store::record> records;
    std::vector<item> chunk;
    std::size_t chunk_bytes = 0;
    const auto flush = [&] {
        if (chunk.empty()) {
            return;
        }
        records.push_back({chunk_key(header.id, header.chunk_count++, submitter,
                                     header.items_name),
                           encode(chunk)});
        chunk.clear();
        chunk_bytes = 0;
    };
    for (auto& i : items) {
        const auto size = base::encode_cbor(to_json(i)).size();
        if (chunk_bytes + size + max_record_overhead_bytes > max_record_bytes) {
            flush();
        }
        chunk_bytes += size;
        chunk.push_back(std::move(i));
    }
    flush();
    return records;
}

recovered_text join_progress_parts(std::vector<progress_part> parts) {
    recovered_text result;
    std::sort(parts.begin(), parts.end(), [](const auto& a, const auto& b) {
        return std::tie(b.epoch, a.first_event) <
               std::tie(a.epoch, b.first_event);
    });
    for (const auto& part : parts) {
        result.failures = std::max(result.failures, part.failures);
        if (part.epoch != parts.front().epoch ||
            part.first_event != result.event_count || part.event_count == 0) {
            continue;
        }
        if (result.event_count > 0) {
            result.text += '\n';
        }
        result.text += part.text;
        result.event_count += part.event_count;
        result.last_event = part.last_event;
        result.versions = part.versions;
    }
    return result;
}

} // namespace hibiscus::batch
