#pragma once

#include "hibiscus/wire/samples.hpp"

namespace hibiscus::wire {

/// The offset of a record in a log stream.
using log_offset = std::int64_t;

/// A record of a log stream.
struct log_record {
    log_offset offset = 0;
    base::append_id id;
    std::string data;
};

/// The response to a read of a stream.
struct log_page {
    /// The offset of the first record that retention has not dropped.
    log_offset first = 0;
    /// The offset after the last record of the stream.
    log_offset end = 0;
    std::vector<log_record> records;
};

/// The body of an append to a stream.
struct append_request {
    base::append_id id;
    std::string data;
};

/// The response to an append, with the offset of the record.
struct append_response {
    log_offset offset = 0;
};

/// The role of an instance of the list.
enum class instance_role { entry, engine, service };

/// Whether an instance is in service or about to be removed.
enum class instance_state { live, leaving };

/// One row of the platform's list of instances.
struct instance {
    std::string id;
    instance_role role = instance_role::service;
    instance_state state = instance_state::live;
    /// The pool of an engine or the name of a service; empty for an entry.
    std::string group;
    base::zone_id zone;
    /// The address of its HTTP server.
    std::string address;
    /// The address at which an entry accepts links from its peers.
    std::string peer_address;
};

/// The platform's list of instances, which may be some seconds old.
struct instance_list {
    std::vector<instance> instances;
};

/// A record of the `config` stream.
struct config_record {
    int schema = 1;
    std::string publish_id;
    /// The revision in force that the document replaces; 0 if there is none.
    log_offset base = 0;
    std::string document;
    /// The revision of `document` if this record is a snapshot, otherwise 0. A
    /// home node appends a snapshot before retention drops the record of the
    /// accepted publish.
    log_offset revision = 0;
    /// The offset before which a snapshot covers all records; 0 if this record
    /// is no snapshot.
    log_offset covers = 0;
};

} // namespace hibiscus::wire

namespace hibiscus::base {

template <>
struct enum_names<wire::instance_role> {
    static constexpr std::array<enum_name<wire::instance_role>, 3> table{{
        {wire::instance_role::entry, "entry"},
        {wire::instance_role::engine, "engine"},
        {wire::instance_role::service, "service"},
    }};
};

template <>
struct enum_names<wire::instance_state> {
    static constexpr std::array<enum_name<wire::instance_state>, 2> table{{
        {wire::instance_state::live, "live"},
        {wire::instance_state::leaving, "leaving"},
    }};
};

} // namespace hibiscus::base
