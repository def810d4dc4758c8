#pragma once

#include "hibiscus/transport/event_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// A stand-in for a server of the users: it makes events for requests that
/// name a model, resumes them, takes orders for weights, and answers all else
/// at once. Its events depend on the request's id and their number only; those
/// of ids that begin with "big" are large, those of "noid" have no id.
class token_server {
public:
    token_server(boost::asio::io_context& io, std::string id, int events,
                 int event_ms);

    base::endpoint address() const { return address_; }
    std::int64_t version() const { return version_; }
    int runs() const { return runs_; }

    /// Returns the requests that it has worked on.
    const std::set<std::string>& worked_on() const { return worked_on_; }

    /// Breaks off all streams at their next event, in the middle of it.
    void break_streams() { ++breaks_; }

    /// Changes the weights; streams go on and tell the change.
    void change_version(std::int64_t version) { version_ = version; }

    /// Sets whether answers to requests without a model are lost once the
    /// server has worked on them.
    void set_losing_answers(bool losing) { losing_answers_ = losing; }

    /// Sets the time between two events, in ms.
    void set_event_ms(int ms) { event_ms_ = ms; }

    /// Sets how long the server works on requests without a model, in ms.
    void set_work_ms(int ms) { work_ms_ = ms; }

    /// From now on requests without a model are worked on and never answered,
    /// while their connections stay open.
    void fall_mute() { mute_ = true; }

    /// Returns the whole text of a request.
    static std::string text_of(const std::string& id, int events);

    /// Returns the entry that such a server registers.
    std::string entry(const std::string& service, bool tokens) const;

private:
    using answer = std::shared_ptr<transport::exchange>;

    /// A stream under way.
    struct stream {
        std::string id;
        /// The count of breaks at its start.
        int breaks = 0;
        /// The version of the weights that its reader knows of.
        std::int64_t version = 0;
        answer to;
    };

    void handle(const transport::inbound_request& request, const answer& to);
    void work_on(const std::string& id, const answer& to);
    void run(stream s, int next);

    boost::asio::io_context& io_;
    std::string id_;
    int events_;
    int event_ms_;
    int work_ms_ = 0;
    std::int64_t version_ = 1;
    std::int64_t orders_ = 0;
    int runs_ = 0;
    int breaks_ = 0;
    bool losing_answers_ = false;
    bool mute_ = false;
    std::vector<answer> unanswered_;
    std::set<std::string> worked_on_;
    transport::event_server server_;
    base::endpoint address_;
};

} // namespace hibiscus::testing
