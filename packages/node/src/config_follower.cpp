#include "config_follower.hpp"

#include "hibiscus/base/hash.hpp"
#include "hibiscus/wire/codec.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace hibiscus::node {

namespace {

constexpr base::millis read_wait = 1000;
constexpr base::millis least_pause = 200;
constexpr base::millis ask_again = 500;
/// Records without a repeat of the document, before retention is known.
constexpr wire::log_offset most_uncovered = 64;
/// Time without a repeat, for a log that drops records by their age.
constexpr base::millis repeat_age = 300000;
constexpr base::millis repeat_pause = 2000;
constexpr base::millis takeover_pause = 5000;
constexpr std::uint64_t takeover_spread = 10000;

} // namespace

config_follower::config_follower(base::node_id self,
                                 boost::asio::io_context& control,
                                 platform::log_client& log,
                                 net::peer_mesh& mesh, decision_log& lines,
                                 telemetry::metrics& counters,
                                 base::clock clock,
                                 std::function<void()> changed)
    : self_(std::move(self)), control_(control), log_(log), mesh_(mesh),
      lines_(lines), counters_(counters), clock_(std::move(clock)),
      changed_(std::move(changed)), retry_(control) {}

void config_follower::start() {
    read();
}

void config_follower::read() {
    log_.read(platform::config_stream, fold_.next(), read_wait,
              [this](platform::read_result result) {
                  boost::asio::post(control_,
                                    [this, r = std::move(result)] { took(r); });
              });
}

void config_follower::took(const platform::read_result& result) {
    if (const auto* page = std::get_if<wire::log_page>(&result)) {
        log_heard_at_ = clock_.now();
        apply(*page);
        read();
        return;
    }
    counters_.count_event("log_read_failed");
    const auto pause = std::max(
        least_pause, std::get<platform::log_failure>(result).retry_after_ms);
    retry_.expires_after(std::chrono::milliseconds(pause));
    retry_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            read();
        }
    });
}

void config_follower::apply(const wire::log_page& page) {
    first_ = page.first;
    if (page.first > fold_.next()) {
        counters_.count_event("config_records_missed");
        lines_.event(severity::warn, "config_records_missed",
                     {{"from", fold_.next()}, {"first", page.first}});
    }
    fold_.skip_to(page.first);
    for (const auto& record : page.records) {
        const auto read = wire::from_json<wire::config_record>(record.data);
        const auto* content = base::value_if(read);
        if (content == nullptr) {
            counters_.count_event("config_record_invalid");
            lines_.event(severity::warn, "config_record_invalid",
                         {{"offset", record.offset}});
            fold_.skip_invalid(record.offset);
            continue;
        }
        fold_.apply(record.offset, *content);
        lines_.event(severity::info, "config_record",
                     {{"offset", record.offset},
                      {"publish", content->publish_id},
                      {"verdict", std::string(base::name_of(
                                      fold_.verdict(content->publish_id)))}});
    }
    note_change();
}

void config_follower::tick(bool home) {
    const auto now = clock_.now();
    if (fold_.covered() != covered_ || covered_at_ == 0) {
        covered_ = fold_.covered();
        covered_at_ = now;
    }
    if (first_ <= fold_.covered()) {
        uncovered_since_ = now;
    }
    if (repeat_due(home) && now - repeated_at_ >= repeat_pause) {
        repeated_at_ = now;
        repeat();
    }
}

bool config_follower::repeat_due(bool home) const {
    if (!fold_.complete() || fold_.next() <= fold_.covered()) {
        return false;
    }
    const auto now = clock_.now();
    if (!home) {
        // The home may be a fresh node that is itself in need of the record.
        // Others step in, spread out, so that not all of them append.
        const auto patience =
            takeover_pause +
            static_cast<base::millis>(base::stable_hash(self_.str()) %
                                      takeover_spread);
        return first_ > fold_.covered() && now - uncovered_since_ > patience;
    }
    // Half of what the log keeps is left as a margin. Before anything was
    // dropped nobody knows how much that is.
    const auto kept = fold_.next() - first_;
    const auto since = fold_.next() - fold_.covered();
    return since >= most_uncovered || (first_ > 0 && since > kept / 2) ||
           now - covered_at_ >= repeat_age;
}

void config_follower::repeat() {
    const auto record = fold_.repeat();
    const base::append_id id("repeat/" + self_.str() + "/" +
                             std::to_string(record.revision) + "/" +
                             std::to_string(record.covers));
    lines_.event(severity::info, "config_repeated",
                 {{"revision", record.revision}, {"covers", record.covers}});
    log_.append(platform::config_stream, id, wire::to_json(record),
                [this](const platform::append_result& result) {
                    if (std::holds_alternative<platform::log_failure>(result)) {
                        counters_.count_event("log_append_failed");
                    }
                });
}

void config_follower::note_change() {
    const auto* now = fold_.in_force();
    if (now == nullptr || now->number == announced_) {
        return;
    }
    announced_ = now->number;
    counters_.set("revision", static_cast<double>(now->number));
    lines_.event(severity::info, "config_in_force",
                 {{"revision", now->number}});
    changed_();
}

void config_follower::hear(const base::node_id& peer,
                           wire::log_offset revision) {
    const auto* now = fold_.in_force();
    const bool newer = revision > (now != nullptr ? now->number : 0);
    if (!newer || (asked_at_ != 0 && clock_.now() - asked_at_ < ask_again)) {
        return;
    }
    asked_at_ = clock_.now();
    mesh_.send(peer,
               wire::document_want{self_, now != nullptr ? now->number : 0});
}

void config_follower::wanted(const wire::document_want& message) {
    const auto* now = fold_.in_force();
    if (now != nullptr && now->number > message.revision) {
        mesh_.send(message.from, wire::document_offer{now->number, now->text});
    }
}

void config_follower::offered(const wire::document_offer& message) {
    if (fold_.adopt(message.revision, message.document)) {
        note_change();
    }
}

} // namespace hibiscus::node
