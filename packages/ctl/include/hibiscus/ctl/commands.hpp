#pragma once

#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/document/config_state_machine.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace hibiscus::ctl {

/// How a command ended; also the exit code of hibiscusctl.
enum class exit_code {
    done = 0,        ///< It did what was asked.
    refused = 1,     ///< The document is invalid, or another one came first.
    usage = 2,       ///< The command line is wrong.
    unavailable = 3, ///< Nothing was changed: no answer could be had.
    unknown = 4,     ///< It is not known whether the publish took effect.
    not_found = 5    ///< The logs say nothing about it.
};

/// How output is written.
enum class output_format { text, json };

/// Where a command speaks to, and how it writes.
struct command_context {
    base::endpoint log_address;
    base::endpoint entry_address;
    output_format format = output_format::text;
    std::ostream& out;
    std::ostream& error;
};

/// Checks a document. Writes every error with its path.
exit_code validate(const command_context& context, const std::string& file);

/// Publishes a document on top of the revision in force and waits for the
/// verdict. `publish_id` names the publish; one that is given again is not
/// published twice.
exit_code publish(const command_context& context, const std::string& file,
                  const std::string& publish_id);

/// Writes what a publish of the document would change in the one in force.
exit_code diff(const command_context& context, const std::string& file);

/// Writes what the nodes' log files say about a request, sample or engine:
/// which node decided what, and why.
exit_code explain(const command_context& context, const std::string& name,
                  const std::vector<std::string>& logs);

/// Writes the state of the system as the entry sees it.
exit_code status(const command_context& context);

} // namespace hibiscus::ctl
