#include "config_watcher.hpp"

#include "hibiscus/base/hash.hpp"
#include "hibiscus/wire/codec.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>

namespace hibiscus::node {

namespace {

constexpr base::millis read_wait_ms = 1000;
constexpr base::millis min_retry_delay_ms = 200;
constexpr base::millis request_interval_ms = 500;
/// Maximum number of records between two snapshots. It also applies while the
/// retention of the log is unknown.
constexpr wire::log_offset max_records_without_snapshot = 64;
/// Maximum time between two snapshots, for a log that drops records by age.
constexpr base::millis max_snapshot_age_ms = 300000;
constexpr base::millis min_snapshot_interval_ms = 2000;
constexpr base::millis takeover_delay_ms = 5000;
constexpr std::uint64_t takeover_jitter_ms = 10000;

} // namespace

config_watcher::config_watcher(base::node_id self,
                               boost::asio::io_context& control_io,
                               platform::log_client& log, net::peer_mesh& mesh,
                               event_log& logger, telemetry::metrics& counters,
                               base::clock clock,
                               std::function<void()> on_change)
    : self_(std::move(self)), control_io_(control_io), log_(log), mesh_(mesh),
      logger_(logger), counters_(counters), clock_(std::move(clock)),
      on_change_(std::move(on_change)), retry_timer_(control_io) {}

void config_watcher::start() {
    read();
}

void config_watcher::read() {
    log_.read(platform::config_stream, state_machine_.next_offset(),
              read_wait_ms, [this](platform::read_result result) {
                  boost::asio::post(control_io_,
                                    [this, result = std::move(result)] {
                                        on_read_result(result);
                                    });
              });
}

void config_watcher::on_read_result(const platform::read_result& result) {
    if (const auto* page = std::get_if<wire::log_page>(&result)) {
        log_responded_at_ = clock_.now();
        apply_page(*page);
        read();
        return;
    }
    counters_.count_event("log_read_failed");
    const auto delay =
        std::max(min_retry_delay_ms,
                 std::get<platform::log_error>(result).retry_after_ms);
    retry_timer_.expires_after(std::chrono::milliseconds(delay));
    retry_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            read();
        }
    });
}

void config_watcher::apply_page(const wire::log_page& page) {
    first_offset_ = page.first;
    if (page.first > state_machine_.next_offset()) {
        counters_.count_event("config_records_missed");
        logger_.event(
            severity::warn, "config_records_missed",
            {{"from", state_machine_.next_offset()}, {"first", page.first}});
    }
    state_machine_.handle_truncation(page.first);
    for (const auto& record : page.records) {
        const auto decoded = wire::from_json<wire::config_record>(record.data);
        const auto* content = base::value_if(decoded);
        if (content == nullptr) {
            counters_.count_event("config_record_invalid");
            logger_.event(severity::warn, "config_record_invalid",
                          {{"offset", record.offset}});
            state_machine_.skip_invalid_record(record.offset);
            continue;
        }
        state_machine_.apply(record.offset, *content);
        logger_.event(
            severity::info, "config_record",
            {{"offset", record.offset},
             {"publish", content->publish_id},
             {"verdict", std::string(base::name_of(
                             state_machine_.verdict(content->publish_id)))}});
    }
    notify_if_changed();
}

void config_watcher::tick(bool is_home) {
    const auto now = clock_.now();
    if (state_machine_.snapshot_offset() != snapshot_offset_ ||
        snapshot_advanced_at_ == 0) {
        snapshot_offset_ = state_machine_.snapshot_offset();
        snapshot_advanced_at_ = now;
    }
    if (first_offset_ <= state_machine_.snapshot_offset()) {
        snapshot_retained_at_ = now;
    }
    if (is_snapshot_due(is_home) &&
        now - snapshot_appended_at_ >= min_snapshot_interval_ms) {
        snapshot_appended_at_ = now;
        append_snapshot();
    }
}

bool config_watcher::is_snapshot_due(bool is_home) const {
    if (!state_machine_.is_complete() ||
        state_machine_.next_offset() <= state_machine_.snapshot_offset()) {
        return false;
    }
    const auto now = clock_.now();
    if (!is_home) {
        // The home may be a newly started node that needs the snapshot itself.
        // The other nodes append it after delays that differ from node to node,
        // so that not all of them append it.
        const auto delay =
            takeover_delay_ms +
            static_cast<base::millis>(base::stable_hash(self_.str()) %
                                      takeover_jitter_ms);
        return first_offset_ > state_machine_.snapshot_offset() &&
               now - snapshot_retained_at_ > delay;
    }
    // A snapshot is due once half of the records that the log retains are newer
    // than the last snapshot; the other half is the margin. The number of
    // records that the log retains is unknown until it has dropped some.
    const auto retained_records = state_machine_.next_offset() - first_offset_;
    const auto records_since_snapshot =
        state_machine_.next_offset() - state_machine_.snapshot_offset();
    return records_since_snapshot >= max_records_without_snapshot ||
           (first_offset_ > 0 &&
            records_since_snapshot > retained_records / 2) ||
           now - snapshot_advanced_at_ >= max_snapshot_age_ms;
}

void config_watcher::append_snapshot() {
    const auto record = state_machine_.make_snapshot();
    const base::append_id id("repeat/" + self_.str() + "/" +
                             std::to_string(record.revision) + "/" +
                             std::to_string(record.covers));
    logger_.event(severity::info, "config_repeated",
                  {{"revision", record.revision}, {"covers", record.covers}});
    log_.append(platform::config_stream, id, wire::to_json(record),
                [this](const platform::append_result& result) {
                    if (std::holds_alternative<platform::log_error>(result)) {
                        counters_.count_event("log_append_failed");
                    }
                });
}

void config_watcher::notify_if_changed() {
    const auto* current = state_machine_.in_force();
    if (current == nullptr || current->number == announced_revision_) {
        return;
    }
    announced_revision_ = current->number;
    counters_.set("revision", static_cast<double>(current->number));
    logger_.event(severity::info, "config_in_force",
                  {{"revision", current->number}});
    on_change_();
}

void config_watcher::on_peer_revision(const base::node_id& peer,
                                      wire::log_offset revision) {
    const auto* current = state_machine_.in_force();
    const bool newer = revision > (current != nullptr ? current->number : 0);
    if (!newer ||
        (document_requested_at_ != 0 &&
         clock_.now() - document_requested_at_ < request_interval_ms)) {
        return;
    }
    document_requested_at_ = clock_.now();
    mesh_.send(peer, wire::document_request{
                         self_, current != nullptr ? current->number : 0});
}

void config_watcher::on_document_request(
    const wire::document_request& message) {
    const auto* current = state_machine_.in_force();
    if (current != nullptr && current->number > message.revision) {
        mesh_.send(message.from,
                   wire::document_offer{current->number, current->text});
    }
}

void config_watcher::on_document_offer(const wire::document_offer& message) {
    if (state_machine_.adopt_from_peer(message.revision, message.document)) {
        notify_if_changed();
    }
}

} // namespace hibiscus::node
