#pragma once

#include "hibiscus/base/endpoint.hpp"
#include "hibiscus/document/config_state_machine.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace hibiscus::ctl {

/// The result of a command, which is the exit code of hibiscusctl.
enum class exit_code {
    done = 0,        ///< The command succeeded.
    refused = 1,     ///< The document is invalid or was superseded.
    usage = 2,       ///< The command line is invalid, or a file can't be read.
    unavailable = 3, ///< No usable response; nothing was changed.
    unknown = 4,     ///< It is unknown whether the publish took effect.
    not_found = 5    ///< The logs do not mention the name.
};

enum class output_format { text, json };

/// The servers that a command uses, and its output.
struct command_context {
    base::endpoint log_address;
    base::endpoint entry_address;
    output_format format = output_format::text;
    std::ostream& out;
    std::ostream& error;
};

/// Validates a document. Writes every error with its path.
exit_code validate(const command_context& context, const std::string& file);

/// Publishes a document that replaces the revision in force, and waits for the
/// verdict. Idempotent: a publish with a `publish_id` that the log already has
/// is not appended again, and its verdict is reported.
exit_code publish(const command_context& context, const std::string& file,
                  const std::string& publish_id);

/// Writes the changes that publishing the document would make.
exit_code diff(const command_context& context, const std::string& file);

/// Writes the decisions and events about a request, sample or engine in the log
/// files of the nodes, with their reasons.
exit_code explain(const command_context& context, const std::string& name,
                  const std::vector<std::string>& logs);

/// Writes the state of the system as the entry reports it.
exit_code status(const command_context& context);

} // namespace hibiscus::ctl
