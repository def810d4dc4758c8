#pragma once

#include "hibiscus/wire/claims.hpp"
#include "hibiscus/wire/peer.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace nlohmann {

/// Maps ids to strings.
template <class Tag>
struct adl_serializer<hibiscus::base::id<Tag>> {
    static void to_json(json& j, const hibiscus::base::id<Tag>& i) {
        j = i.str();
    }
    static void from_json(const json& j, hibiscus::base::id<Tag>& i) {
        i = hibiscus::base::id<Tag>(j.get<std::string>());
    }
};

/// Maps enumerators to their names in the enum_names table.
template <class E>
struct adl_serializer<
    E, std::enable_if_t<hibiscus::base::has_enum_names<E>::value>> {
    static void to_json(json& j, const E& e) {
        j = std::string(hibiscus::base::name_of(e));
    }
    static void from_json(const json& j, E& e) {
        const auto name = j.get<std::string>();
        const auto value = hibiscus::base::from_name<E>(name);
        if (!value) {
            throw json::other_error::create(501, "unknown name " + name, &j);
        }
        e = *value;
    }
};

/// Maps an optional to its value or null.
template <class T>
struct adl_serializer<std::optional<T>> {
    static void to_json(json& j, const std::optional<T>& o) {
        j = o ? json(*o) : json();
    }
    static void from_json(const json& j, std::optional<T>& o) {
        o = j.is_null() ? std::optional<T>() : j.get<T>();
    }
};

} // namespace nlohmann

namespace hibiscus::wire {

// These macros of the JSON library define to_json() and from_json() for each
// message. The arguments are the keys on the wire.
// NOLINTBEGIN
#define HIBISCUS_WIRE(...) NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(__VA_ARGS__)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_response, id, result,
                                                why, retry_after_ms, body, node,
                                                attempt)
HIBISCUS_WIRE(prompt_group, prompt, samples, max_tokens)
HIBISCUS_WIRE(step_request, version, groups)
HIBISCUS_WIRE(step_response, result, why, retry_after_ms, slots)
HIBISCUS_WIRE(chunk, seq, version, text)
HIBISCUS_WIRE(sample, slot, attempt, engine, chunks)
HIBISCUS_WIRE(pull_response, pull, result, why, retry_after_ms, node, missing,
              samples)
HIBISCUS_WIRE(version_request, version)
HIBISCUS_WIRE(version_response, result, why, retry_after_ms, newest)
HIBISCUS_WIRE(entry_address, node, zone, address)
HIBISCUS_WIRE(entries_response, ttl_ms, entries)
HIBISCUS_WIRE(problem, why, where, expected)
HIBISCUS_WIRE(log_record, offset, id, data)
HIBISCUS_WIRE(log_page, first, end, records)
HIBISCUS_WIRE(append_request, id, data)
HIBISCUS_WIRE(append_response, offset)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(instance, id, role, state,
                                                group, zone, address,
                                                peer_address)
HIBISCUS_WIRE(instance_list, instances)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(config_record, schema,
                                                publish_id, base, document,
                                                revision, covers)
HIBISCUS_WIRE(claim_item, kind, key, epoch, created_ms, body)
HIBISCUS_WIRE(claim_writer, node, incarnation, sequence, at)
HIBISCUS_WIRE(claim_snapshot, covers, part, parts, epoch, holder, incarnation,
              forgotten_before, writers, claims)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(claim_record, node, incarnation,
                                                sequence, starts_epoch, items,
                                                snapshot)
HIBISCUS_WIRE(stream_start, stream, trainer, prompt, max_tokens, priority, seed)
HIBISCUS_WIRE(stream_cursor, stream, from)
HIBISCUS_WIRE(engine_poll, streams, wait_ms)
HIBISCUS_WIRE(stream_update, stream, state, chunks)
HIBISCUS_WIRE(served_version, trainer, version)
HIBISCUS_WIRE(engine_poll_response, streams, running, queued, slots, serving)
HIBISCUS_WIRE(fencing_token, epoch, sequence)
HIBISCUS_WIRE(version_order, trainer, version, number)
HIBISCUS_WIRE(order_response, verdict)
HIBISCUS_WIRE(trainer_version, trainer, version)
HIBISCUS_WIRE(trainer_streams, trainer, admitted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(engine_status, engine, admitted,
                                                slots, healthy, serving,
                                                reachable, streams)
HIBISCUS_WIRE(heartbeat, node, incarnation, zone, address, peer_address, state,
              revision, versions, engines)
HIBISCUS_WIRE(document_request, from, revision)
HIBISCUS_WIRE(document_offer, revision, document)
HIBISCUS_WIRE(place_response, result, why, retry_after_ms)
HIBISCUS_WIRE(learn_version, trainer, version)
HIBISCUS_WIRE(place_sample, engine, home, start)
HIBISCUS_WIRE(stream_report, engine, stream, state, chunks, oldest, produced)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(sample_report, from, streams,
                                                forwarded)
HIBISCUS_WIRE(sample_ack, streams)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(cancel_streams, engine, streams,
                                                home)
#undef HIBISCUS_WIRE
// NOLINTEND

/// Converts a service_request to and from JSON. `created_ms` and `body` may be
/// omitted.
void to_json(nlohmann::json& j, const service_request& r);
void from_json(const nlohmann::json& j, service_request& r);

/// Converts a slot_range to and from a pair of numbers, which keeps pull
/// requests small.
void to_json(nlohmann::json& j, const slot_range& r);
void from_json(const nlohmann::json& j, slot_range& r);

/// Converts a pull_request to and from JSON. `max_samples` and `wait_ms` may be
/// omitted.
void to_json(nlohmann::json& j, const pull_request& r);
void from_json(const nlohmann::json& j, pull_request& r);

} // namespace hibiscus::wire
