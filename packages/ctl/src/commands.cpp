#include "hibiscus/ctl/commands.hpp"

#include "blocking_client.hpp"
#include "hibiscus/ctl/explain.hpp"
#include "hibiscus/document/diff.hpp"
#include "hibiscus/wire/codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <optional>
#include <ostream>
#include <sstream>

namespace hibiscus::ctl {

namespace {

using nlohmann::json;

constexpr int max_append_attempts = 3;
constexpr int status_ok = 200;

std::optional<std::string> read_file(const command_context& context,
                                     const std::string& file) {
    std::ifstream in(file);
    if (!in) {
        context.error << "cannot read " << file << '\n';
        return std::nullopt;
    }
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Writes the errors of `text`. Returns true if there are none.
bool check(const command_context& context, const std::string& text) {
    const auto parsed = document::parse(text);
    const auto* errors = std::get_if<document::parse_errors>(&parsed);
    const bool valid = errors == nullptr;
    json rows = json::array();
    for (const auto& e : valid ? document::parse_errors{} : *errors) {
        const auto fault = std::string(base::name_of(e.kind));
        rows.push_back(
            {{"fault", fault}, {"path", e.path}, {"expected", e.expected}});
        if (context.format == output_format::text) {
            context.error << e.path << ": " << fault << ", expected "
                          << e.expected << '\n';
        }
    }
    if (context.format == output_format::json) {
        context.out << json{{"valid", valid}, {"errors", rows}} << '\n';
    }
    return valid;
}

/// Folds the stream from where `fold` stands to its end. Returns false if it
/// cannot be read.
bool read_config_stream(blocking_client& s, const base::endpoint& log,
                        document::config_state_machine& fold) {
    while (true) {
        const auto result =
            s.read(log, platform::config_stream, fold.next_offset(), 0);
        const auto* page = std::get_if<wire::log_page>(&result);
        if (page == nullptr) {
            return false;
        }
        fold.handle_truncation(page->first);
        for (const auto& record : page->records) {
            const auto read = wire::from_json<wire::config_record>(record.data);
            if (const auto* content = base::value_if(read)) {
                fold.apply(record.offset, *content);
            } else {
                fold.skip_invalid_record(record.offset);
            }
        }
        if (fold.next_offset() >= page->end || page->records.empty()) {
            return fold.next_offset() >= page->end;
        }
    }
}

exit_code report_verdict(const command_context& context,
                         const std::string& publish_id,
                         const document::config_state_machine& fold) {
    const auto verdict = fold.verdict(publish_id);
    const auto name = std::string(base::name_of(verdict));
    const auto* now = fold.in_force();
    const auto number = now != nullptr ? now->number : 0;
    if (context.format == output_format::json) {
        context.out << json{{"publish", publish_id},
                            {"verdict", name},
                            {"revision", number}}
                    << '\n';
    } else {
        context.out << "publish " << publish_id << ": " << name
                    << "; in force: revision " << number << '\n';
    }
    switch (verdict) {
    case document::publish_verdict::accepted:
        return exit_code::done;
    case document::publish_verdict::superseded:
    case document::publish_verdict::invalid:
        return exit_code::refused;
    case document::publish_verdict::unknown:
        return exit_code::unknown;
    }
    return exit_code::unknown;
}

void write_diff(const command_context& context, wire::log_offset number,
                const std::vector<document::change>& changes) {
    if (context.format == output_format::json) {
        json rows = json::array();
        for (const auto& c : changes) {
            rows.push_back({{"change", std::string(base::name_of(c.kind))},
                            {"path", c.path},
                            {"before", c.before},
                            {"after", c.after}});
        }
        context.out << json{{"revision", number}, {"changes", rows}} << '\n';
        return;
    }
    context.out << "against revision " << number << ": " << changes.size()
                << " changes\n";
    for (const auto& c : changes) {
        context.out << base::name_of(c.kind) << ' ' << c.path << ": "
                    << (c.before.empty() ? "-" : c.before) << " -> "
                    << (c.after.empty() ? "-" : c.after) << '\n';
    }
}

void write_status_text(std::ostream& out, const json& s) {
    out << "node " << s.value("node", "") << " in " << s.value("zone", "")
        << ": " << s.value("state", "") << ", revision "
        << s.value("revision", 0) << "\n\n";
    out << std::left << std::setw(12) << "NODE" << std::setw(8) << "ZONE"
        << std::setw(10) << "STATE" << std::setw(10) << "REVISION"
        << "ADDRESS\n";
    for (const auto& n : s.value("nodes", json::array())) {
        out << std::setw(12) << n.value("node", "") << std::setw(8)
            << n.value("zone", "") << std::setw(10) << n.value("state", "")
            << std::setw(10) << n.value("revision", 0) << n.value("address", "")
            << '\n';
    }
    out << '\n'
        << std::setw(12) << "ENGINE" << std::setw(12) << "POOL" << std::setw(12)
        << "HOME" << std::setw(10) << "HEALTHY" << std::setw(10) << "LOAD"
        << "SERVING\n";
    for (const auto& e : s.value("engines", json::array())) {
        const auto load = std::to_string(e.value("admitted", 0)) + "/" +
                          std::to_string(e.value("slots", 0));
        out << std::setw(12) << e.value("engine", "") << std::setw(12)
            << e.value("pool", "") << std::setw(12) << e.value("home", "")
            << std::setw(10) << (e.value("healthy", false) ? "yes" : "no")
            << std::setw(10) << load
            << e.value("serving", json::object()).dump() << '\n';
    }
}

} // namespace

exit_code validate(const command_context& context, const std::string& file) {
    const auto text = read_file(context, file);
    if (!text) {
        return exit_code::usage;
    }
    if (!check(context, *text)) {
        return exit_code::refused;
    }
    if (context.format == output_format::text) {
        context.out << file << ": valid\n";
    }
    return exit_code::done;
}

exit_code publish(const command_context& context, const std::string& file,
                  const std::string& publish_id) {
    const auto text = read_file(context, file);
    if (!text) {
        return exit_code::usage;
    }
    const auto parsed = document::parse(*text);
    if (base::value_if(parsed) == nullptr) {
        check(context, *text);
        return exit_code::refused;
    }
    blocking_client s;
    document::config_state_machine fold;
    if (!read_config_stream(s, context.log_address, fold)) {
        context.error << "the log does not answer; nothing was published\n";
        return exit_code::unavailable;
    }
    if (fold.verdict(publish_id) != document::publish_verdict::unknown) {
        return report_verdict(context, publish_id, fold);
    }
    if (!fold.is_complete()) {
        // Old records are gone and no node has repeated the document yet. A
        // publish without its true base would be refused by every node.
        context.error << "the log does not show the revision in force; nothing "
                         "was published; try again in some seconds\n";
        return exit_code::unavailable;
    }
    const auto* now = fold.accepted_revision();
    const wire::config_record record{
        1, publish_id, now != nullptr ? now->number : 0, *text, 0, 0};
    // An append whose answer was lost may have taken effect; the record's id
    // makes a second copy harmless, so it is sent again.
    for (int i = 0; i < max_append_attempts; ++i) {
        const auto result =
            s.append(context.log_address, platform::config_stream,
                     base::append_id(publish_id), wire::to_json(record));
        if (std::holds_alternative<wire::append_response>(result)) {
            break;
        }
    }
    if (!read_config_stream(s, context.log_address, fold)) {
        context.error << "it is unknown whether publish " << publish_id
                      << " took effect; ask again with --publish_id="
                      << publish_id << '\n';
        return exit_code::unknown;
    }
    return report_verdict(context, publish_id, fold);
}

exit_code diff(const command_context& context, const std::string& file) {
    const auto text = read_file(context, file);
    if (!text) {
        return exit_code::usage;
    }
    const auto parsed = document::parse(*text);
    const auto* wanted = base::value_if(parsed);
    if (wanted == nullptr) {
        check(context, *text);
        return exit_code::refused;
    }
    blocking_client s;
    document::config_state_machine fold;
    if (!read_config_stream(s, context.log_address, fold) ||
        !fold.is_complete()) {
        context.error << "the log does not show the revision in force\n";
        return exit_code::unavailable;
    }
    const auto* now = fold.accepted_revision();
    const auto changes = document::diff(
        now != nullptr ? now->content : document::document{}, *wanted);
    write_diff(context, now != nullptr ? now->number : 0, changes);
    return exit_code::done;
}

exit_code explain(const command_context& context, const std::string& name,
                  const std::vector<std::string>& logs) {
    std::vector<explanation> found;
    for (const auto& file : logs) {
        std::ifstream in(file);
        if (!in) {
            context.error << "cannot read " << file << '\n';
            return exit_code::usage;
        }
        collect_explanations(in, name, found);
    }
    const bool any = !found.empty();
    if (context.format == output_format::json) {
        write_json(context.out, std::move(found));
    } else {
        write_text(context.out, std::move(found));
    }
    if (!any) {
        context.error << "the logs say nothing about " << name << '\n';
    }
    return any ? exit_code::done : exit_code::not_found;
}

exit_code status(const command_context& context) {
    blocking_client s;
    net::http_request request;
    request.target = "/v1/status";
    const auto result = s.send(context.entry_address, std::move(request));
    const auto* response = std::get_if<net::http_response>(&result);
    if (response == nullptr || response->status != status_ok) {
        context.error << "the entry does not answer\n";
        return exit_code::unavailable;
    }
    const auto body = json::parse(response->body, nullptr, false);
    if (!body.is_object()) {
        context.error << "the entry's answer is not a status\n";
        return exit_code::unavailable;
    }
    if (context.format == output_format::json) {
        context.out << body.dump(2) << '\n';
    } else {
        write_status_text(context.out, body);
    }
    return exit_code::done;
}

} // namespace hibiscus::ctl
