#include "hibiscus/wire/codec.hpp"

#include "hibiscus/base/bounded_json.hpp"
#include "mapping.hpp"

#include <array>
#include <utility>

namespace hibiscus::wire {

namespace {

using nlohmann::json;

/// Runs `decode` and converts exceptions of the JSON library to a decode_error.
template <class T, class F>
base::result<T, decode_error> catch_json_errors(F decode) {
    try {
        return decode();
    } catch (const json::exception& e) {
        return decode_error{e.what()};
    }
}

/// The wire names of the alternatives of the variant `V`, by index.
template <class V>
struct variant_names;

template <>
struct variant_names<call_body> {
    static constexpr std::array<const char*, 5> names{
        "open_step", "pull_step", "learn_version", "run_request",
        "place_sample"};
};

template <>
struct variant_names<reply_body> {
    static constexpr std::array<const char*, 5> names{
        "step_answer", "pull_answer", "version_answer", "answer",
        "place_answer"};
};

template <>
struct variant_names<peer_message> {
    static constexpr std::array<const char*, 8> names{
        "heartbeat", "document_want", "document_offer", "call",
        "reply",     "sample_report", "sample_ack",     "cancel_streams"};
};

template <class V>
json variant_to_json(const V& v);

template <class V>
V variant_from_json(const json& j);

} // namespace

// The JSON library finds these functions by argument-dependent lookup.

void to_json(json& j, const open_step& m) {
    j = {{"trainer", m.trainer}, {"step", m.step}, {"request", m.request}};
}

void from_json(const json& j, open_step& m) {
    j.at("trainer").get_to(m.trainer);
    j.at("step").get_to(m.step);
    j.at("request").get_to(m.request);
}

void to_json(json& j, const pull_step& m) {
    j = {{"trainer", m.trainer}, {"step", m.step}, {"request", m.request}};
}

void from_json(const json& j, pull_step& m) {
    j.at("trainer").get_to(m.trainer);
    j.at("step").get_to(m.step);
    j.at("request").get_to(m.request);
}

void to_json(json& j, const run_request& m) {
    j = {{"request", m.request}};
}

void from_json(const json& j, run_request& m) {
    j.at("request").get_to(m.request);
}

void to_json(json& j, const call& m) {
    j = {{"id", m.id},
         {"from", m.from},
         {"deadline_ms", m.deadline_ms},
         {"body", variant_to_json(m.body)}};
}

void from_json(const json& j, call& m) {
    j.at("id").get_to(m.id);
    j.at("from").get_to(m.from);
    j.at("deadline_ms").get_to(m.deadline_ms);
    m.body = variant_from_json<call_body>(j.at("body"));
}

void to_json(json& j, const reply& m) {
    j = {{"id", m.id}, {"body", variant_to_json(m.body)}};
}

void from_json(const json& j, reply& m) {
    j.at("id").get_to(m.id);
    m.body = variant_from_json<reply_body>(j.at("body"));
}

namespace {

template <class V>
json variant_to_json(const V& v) {
    json value = std::visit([](const auto& m) { return json(m); }, v);
    return {{"kind", variant_names<V>::names[v.index()]},
            {"value", std::move(value)}};
}

template <class V, std::size_t I = 0>
V alternative_from_json(const std::string& kind, const json& value) {
    if constexpr (I == std::variant_size_v<V>) {
        throw json::other_error::create(501, "unknown message kind " + kind,
                                        &value);
    } else {
        if (kind == variant_names<V>::names[I]) {
            return value.template get<std::variant_alternative_t<I, V>>();
        }
        return alternative_from_json<V, I + 1>(kind, value);
    }
}

template <class V>
V variant_from_json(const json& j) {
    return alternative_from_json<V>(j.at("kind").get<std::string>(),
                                    j.at("value"));
}

} // namespace

template <class T>
std::string to_json(const T& message) {
    // Invalid UTF-8 can come from callers and backend servers. It is replaced,
    // because an uncaught exception would terminate the process.
    return json(message).dump(-1, ' ', false, json::error_handler_t::replace);
}

template <class T>
base::result<T, decode_error> from_json(std::string_view text) {
    return catch_json_errors<T>([&]() -> base::result<T, decode_error> {
        if (base::is_nested_too_deeply(text)) {
            return decode_error{"nested too deeply"};
        }
        const json j = json::parse(text);
        return j.get<T>();
    });
}

std::string to_cbor(const peer_message& message) {
    json j = variant_to_json(message);
    j["v"] = peer_protocol_version;
    std::string bytes;
    json::to_cbor(j, bytes);
    return bytes;
}

base::result<peer_message, decode_error> from_cbor(std::string_view bytes) {
    using result = base::result<peer_message, decode_error>;
    return catch_json_errors<peer_message>([&]() -> result {
        const json j = base::parse_cbor(bytes);
        if (j.is_discarded()) {
            return decode_error{"invalid CBOR, or nested too deeply"};
        }
        if (j.at("v").get<int>() != peer_protocol_version) {
            return decode_error{"unsupported version of the peer protocol"};
        }
        return variant_from_json<peer_message>(j);
    });
}

#define HIBISCUS_CODEC(type)                                                   \
    template std::string to_json(const type&);                                 \
    template base::result<type, decode_error> from_json(std::string_view);

HIBISCUS_CODEC(service_request)
HIBISCUS_CODEC(service_response)
HIBISCUS_CODEC(step_request)
HIBISCUS_CODEC(step_response)
HIBISCUS_CODEC(sample)
HIBISCUS_CODEC(pull_request)
HIBISCUS_CODEC(pull_response)
HIBISCUS_CODEC(version_request)
HIBISCUS_CODEC(version_response)
HIBISCUS_CODEC(entries_response)
HIBISCUS_CODEC(problem)
HIBISCUS_CODEC(log_page)
HIBISCUS_CODEC(append_request)
HIBISCUS_CODEC(append_response)
HIBISCUS_CODEC(instance)
HIBISCUS_CODEC(instance_list)
HIBISCUS_CODEC(config_record)
HIBISCUS_CODEC(claim_record)
HIBISCUS_CODEC(cancel_streams)
HIBISCUS_CODEC(stream_start)
HIBISCUS_CODEC(engine_poll)
HIBISCUS_CODEC(engine_poll_response)
HIBISCUS_CODEC(version_order)
HIBISCUS_CODEC(order_response)

#undef HIBISCUS_CODEC

} // namespace hibiscus::wire
