#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace hibiscus::base {

/// A name of one kind of entity. Ids of different kinds do not convert into
/// each other, so that a trainer's name cannot be passed as an engine's.
template <class Tag>
class id {
public:
    /// Constructs the empty id, which names nothing.
    id() = default;

    /// Constructs an id from its text.
    explicit id(std::string text) : text_(std::move(text)) {}

    /// Returns the text of the id.
    const std::string& str() const { return text_; }

    /// Returns true if the id names nothing.
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
    friend std::ostream& operator<<(std::ostream& out, const id& i) {
        return out << i.text_;
    }

private:
    std::string text_;
};

/// Names one running entry instance.
using node_id = id<struct node_tag>;
/// Names one model engine.
using engine_id = id<struct engine_tag>;
/// Names one trainer.
using trainer_id = id<struct trainer_tag>;
/// Names one service behind the entries.
using service_id = id<struct service_tag>;
/// Names one pool of engines.
using pool_id = id<struct pool_tag>;
/// Names one owner who pays for engines.
using owner_id = id<struct owner_tag>;
/// Names one caller's request; a retry carries the same id.
using request_id = id<struct request_tag>;
/// Names one generation of one slot at an engine.
using stream_id = id<struct stream_tag>;
/// Names one availability zone.
using zone_id = id<struct zone_tag>;
/// Names one record appended to the log, whatever the number of attempts.
using append_id = id<struct append_tag>;

} // namespace hibiscus::base

namespace std {

template <class Tag>
struct hash<hibiscus::base::id<Tag>> {
    size_t operator()(const hibiscus::base::id<Tag>& i) const {
        return hash<string>()(i.str());
    }
};

} // namespace std
