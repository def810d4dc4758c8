#pragma once

#include "hibiscus/wire/samples.hpp"

namespace hibiscus::wire {

/// A place in a log stream.
using log_offset = std::int64_t;

/// A record as the log service keeps it.
struct log_record {
    log_offset offset = 0;
    base::append_id id;
    std::string data;
};

/// What a read of a stream returns.
struct log_page {
    /// The lowest offset that retention has left.
    log_offset first = 0;
    /// The offset after the last record of the stream.
    log_offset end = 0;
    std::vector<log_record> records;
};

/// What an append sends.
struct append_request {
    base::append_id id;
    std::string data;
};

/// Where an append ended up.
struct append_response {
    log_offset offset = 0;
};

/// What an instance of the list is there for.
enum class instance_role { entry, engine, service };

/// Whether an instance stays.
enum class instance_state { live, leaving };

/// One row of the platform's list of instances.
struct instance {
    std::string id;
    instance_role role = instance_role::service;
    instance_state state = instance_state::live;
    /// The pool of an engine or the name of a service; empty for an entry.
    std::string group;
    base::zone_id zone;
    /// Where it answers HTTP.
    std::string address;
    /// Where an entry accepts its peers' links.
    std::string peer_address;
};

/// The platform's list of instances, some seconds old.
struct instance_list {
    std::vector<instance> instances;
};

/// A record of the `config` stream.
struct config_record {
    int schema = 1;
    std::string publish_id;
    /// The revision that the publisher saw in force; 0 before the first.
    log_offset base = 0;
    std::string document;
    /// Set when a home repeats an accepted record before retention drops it:
    /// the revision that the document already has.
    log_offset revision = 0;
    /// Set with it: the revision was in force after the records before this
    /// offset.
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
