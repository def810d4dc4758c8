#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace hibiscus::base {

/// A strongly typed identifier. Ids with different tags do not convert to each
/// other: a trainer_id cannot be passed where an engine_id is expected.
template <class Tag>
class id {
public:
    /// Constructs an empty id, which identifies nothing.
    id() = default;

    /// Constructs an id from its text.
    explicit id(std::string text) : text_(std::move(text)) {}

    const std::string& str() const { return text_; }

    bool empty() const { return text_.empty(); }

    friend bool operator==(const id& a, const id& b) {
        return a.text_ == b.text_;
    }
    friend bool operator!=(const id& a, const id& b) {
        return a.text_ != b.text_;
    }
    friend bool operator<(const id& a, const id& b) {
        return a.text_ < b.text_;
    }
    friend std::ostream& operator<<(std::ostream& out, const id& value) {
        return out << value.text_;
    }

private:
    std::string text_;
};

/// Identifies a node, that is, one running instance of the entry program.
using node_id = id<struct node_tag>;
/// Identifies a model engine.
using engine_id = id<struct engine_tag>;
/// Identifies a trainer.
using trainer_id = id<struct trainer_tag>;
/// Identifies a service, that is, a group of backend servers.
using service_id = id<struct service_tag>;
/// Identifies a pool of engines.
using pool_id = id<struct pool_tag>;
/// Identifies an owner of engines, the party that pays for them. Not related to
/// the job owner, which is a node.
using owner_id = id<struct owner_tag>;
/// Identifies a caller's request. Retries use the same id.
using request_id = id<struct request_tag>;
/// Identifies a stream, that is, one run at an engine that generates the text
/// of one sample slot.
using stream_id = id<struct stream_tag>;
/// Identifies an availability zone.
using zone_id = id<struct zone_tag>;
/// Identifies a record to append to the log. Retries use the same id.
using append_id = id<struct append_tag>;

} // namespace hibiscus::base

namespace std {

template <class Tag>
struct hash<hibiscus::base::id<Tag>> {
    size_t operator()(const hibiscus::base::id<Tag>& value) const {
        return hash<string>()(value.str());
    }
};

} // namespace std
