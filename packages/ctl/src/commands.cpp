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
bool check_document(const command_context& context, const std::string& text) {
    const auto parsed = document::parse(text);
    const auto* errors = std::get_if<document::parse_errors>(&parsed);
    const bool valid = errors == nullptr;
    json rows = json::array();
    for (const auto& e : valid ? document::parse_errors{} : *errors) {
        const auto kind = std::string(base::name_of(e.kind));
        rows.push_back(
            {{"fault", kind}, {"path", e.path}, {"expected", e.expected}});
        if (context.format == output_format::text) {
            context.error << e.path << ": " << kind << ", expected "
                          << e.expected << '\n';
        }
    }
    if (context.format == output_format::json) {
        context.out << json{{"valid", valid}, {"errors", rows}} << '\n';
    }
    return valid;
}

/// Applies the records of the config stream from the next offset of
/// `state_machine` to its end. Returns false if it can't be read to the end.
bool read_config_stream(blocking_client& client, const base::endpoint& log,
                        document::config_state_machine& state_machine) {
    while (true) {
        const auto result = client.read(log, platform::config_stream,
                                        state_machine.next_offset(), 0);
        const auto* page = std::get_if<wire::log_page>(&result);
        if (page == nullptr) {
            return false;
        }
        state_machine.handle_truncation(page->first);
        for (const auto& record : page->records) {
            const auto decoded =
                wire::from_json<wire::config_record>(record.data);
            if (const auto* content = base::value_if(decoded)) {
                state_machine.apply(record.offset, *content);
            } else {
                state_machine.skip_invalid_record(record.offset);
            }
        }
        if (state_machine.next_offset() >= page->end || page->records.empty()) {
            return state_machine.next_offset() >= page->end;
        }
    }
}

exit_code report_verdict(const command_context& context,
                         const std::string& publish_id,
                         const document::config_state_machine& state_machine) {
    const auto verdict = state_machine.verdict(publish_id);
    const auto name = std::string(base::name_of(verdict));
    const auto* in_force = state_machine.in_force();
    const auto number = in_force != nullptr ? in_force->number : 0;
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

void write_status_text(std::ostream& out, const json& status) {
    out << "node " << status.value("node", "") << " in "
        << status.value("zone", "") << ": " << status.value("state", "")
        << ", revision " << status.value("revision", 0) << "\n\n";
    out << std::left << std::setw(12) << "NODE" << std::setw(8) << "ZONE"
        << std::setw(10) << "STATE" << std::setw(10) << "REVISION"
        << "ADDRESS\n";
    for (const auto& n : status.value("nodes", json::array())) {
        out << std::setw(12) << n.value("node", "") << std::setw(8)
            << n.value("zone", "") << std::setw(10) << n.value("state", "")
            << std::setw(10) << n.value("revision", 0) << n.value("address", "")
            << '\n';
    }
    out << '\n'
        << std::setw(12) << "ENGINE" << std::setw(12) << "POOL" << std::setw(12)
        << "HOME" << std::setw(10) << "HEALTHY" << std::setw(10) << "LOAD"
        << "SERVING\n";
    for (const auto& e : status.value("engines", json::array())) {
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
    if (!check_document(context, *text)) {
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
        check_document(context, *text);
        return exit_code::refused;
    }
    blocking_client client;
    document::config_state_machine state_machine;
    if (!read_config_stream(client, context.log_address, state_machine)) {
        context.error << "the log does not answer; nothing was published\n";
        return exit_code::unavailable;
    }
    if (state_machine.verdict(publish_id) !=
        document::publish_verdict::unknown) {
        return report_verdict(context, publish_id, state_machine);
    }
    if (!state_machine.is_complete()) {
        // Retention dropped old records and no node has appended a snapshot
        // yet. Every node would reject a publish with a wrong base.
        context.error << "the log does not show the revision in force; nothing "
                         "was published; try again in some seconds\n";
        return exit_code::unavailable;
    }
    const auto* accepted = state_machine.accepted_revision();
    const wire::config_record record{
        1, publish_id, accepted != nullptr ? accepted->number : 0, *text, 0, 0};
    // A failed append may have taken effect. Retrying is safe, because nodes
    // ignore a second record with the same publish id.
    for (int i = 0; i < max_append_attempts; ++i) {
        const auto result =
            client.append(context.log_address, platform::config_stream,
                          base::append_id(publish_id), wire::to_json(record));
        if (std::holds_alternative<wire::append_response>(result)) {
            break;
        }
    }
    if (!read_config_stream(client, context.log_address, state_machine)) {
        context.error << "it is unknown whether publish " << publish_id
                      << " took effect; ask again with --publish_id="
                      << publish_id << '\n';
        return exit_code::unknown;
    }
    return report_verdict(context, publish_id, state_machine);
}

exit_code diff(const command_context& context, const std::string& file) {
    const auto text = read_file(context, file);
    if (!text) {
        return exit_code::usage;
    }
    const auto parsed = document::parse(*text);
    const auto* proposed = base::value_if(parsed);
    if (proposed == nullptr) {
        check_document(context, *text);
        return exit_code::refused;
    }
    blocking_client client;
    document::config_state_machine state_machine;
    if (!read_config_stream(client, context.log_address, state_machine) ||
        !state_machine.is_complete()) {
        context.error << "the log does not show the revision in force\n";
        return exit_code::unavailable;
    }
    const auto* accepted = state_machine.accepted_revision();
    const auto changes = document::diff(
        accepted != nullptr ? accepted->content : document::document{},
        *proposed);
    write_diff(context, accepted != nullptr ? accepted->number : 0, changes);
    return exit_code::done;
}

exit_code explain(const command_context& context, const std::string& name,
                  const std::vector<std::string>& logs) {
    std::vector<explanation> explanations;
    for (const auto& file : logs) {
        std::ifstream in(file);
        if (!in) {
            context.error << "cannot read " << file << '\n';
            return exit_code::usage;
        }
        collect_explanations(in, name, explanations);
    }
    const bool has_results = !explanations.empty();
    const auto query = make_service_query(explanations);
    for (const auto& file : logs) {
        std::ifstream in(file);
        collect_shortages(in, query, explanations);
    }
    if (context.format == output_format::json) {
        write_json(context.out, std::move(explanations));
    } else {
        write_text(context.out, std::move(explanations));
    }
    if (!has_results) {
        context.error << "the logs say nothing about " << name << '\n';
    }
    return has_results ? exit_code::done : exit_code::not_found;
}

exit_code status(const command_context& context) {
    blocking_client client;
    net::http_request request;
    request.target = "/v1/status";
    const auto result = client.send(context.entry_address, std::move(request));
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
