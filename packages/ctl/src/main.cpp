#include "hibiscus/ctl/commands.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <random>

ABSL_FLAG(std::string, log, "127.0.0.1:7000", "address of the log service");
ABSL_FLAG(std::string, entry, "127.0.0.1:8080", "address of an entry");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(std::string, publish_id, "",
          "name of a publish; give it again to ask what became of it");
ABSL_FLAG(std::vector<std::string>, logs, {},
          "log files of the nodes, divided by commas, for explain");

namespace {

using hibiscus::ctl::command_context;
using hibiscus::ctl::exit_code;

constexpr const char* usage =
    "operates hibiscustack.\n\n"
    "  hibiscusctl validate FILE   checks a document\n"
    "  hibiscusctl diff FILE       shows what a publish of FILE would change\n"
    "  hibiscusctl publish FILE    publishes a document and waits for the "
    "verdict\n"
    "  hibiscusctl status          shows nodes, engines and the revision in "
    "force\n"
    "  hibiscusctl explain NAME    shows which node decided what about a "
    "request,\n"
    "                              sample or engine, and why, from --logs\n\n"
    "Exit codes: 0 done, 1 refused, 2 usage, 3 unavailable (nothing was "
    "changed), 4 unknown,\n5 the logs say nothing about it.";

/// Returns a name for a publish that no other operator has.
std::string new_publish_id() {
    std::random_device random;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(now)
                   .count()) +
           "-" + std::to_string(random());
}

/// A command with the number of arguments that it takes.
struct command {
    std::size_t arguments;
    std::function<exit_code(const command_context&,
                            const std::vector<std::string>&)>
        run;
};

std::map<std::string, command> commands() {
    namespace ctl = hibiscus::ctl;
    return {{"validate",
             {1, [](const command_context& c,
                    const auto& args) { return ctl::validate(c, args[0]); }}},
            {"publish",
             {1,
              [](const command_context& c, const auto& args) {
                  auto id = absl::GetFlag(FLAGS_publish_id);
                  return ctl::publish(c, args[0],
                                      id.empty() ? new_publish_id() : id);
              }}},
            {"diff",
             {1, [](const command_context& c,
                    const auto& args) { return ctl::diff(c, args[0]); }}},
            {"explain",
             {1,
              [](const command_context& c, const auto& args) {
                  return ctl::explain(c, args[0], absl::GetFlag(FLAGS_logs));
              }}},
            {"status", {0, [](const command_context& c, const auto&) {
                            return ctl::status(c);
                        }}}};
}

} // namespace

/// Runs one command of an operator.
int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(usage);
    const auto words = absl::ParseCommandLine(argc, argv);
    const auto fail = [] {
        std::cerr << usage << '\n';
        return static_cast<int>(exit_code::usage);
    };
    const auto log = hibiscus::base::parse_endpoint(absl::GetFlag(FLAGS_log));
    const auto entry =
        hibiscus::base::parse_endpoint(absl::GetFlag(FLAGS_entry));
    const auto output = absl::GetFlag(FLAGS_output);
    if (words.size() < 2 || !log || !entry ||
        (output != "text" && output != "json")) {
        return fail();
    }
    const std::vector<std::string> arguments(words.begin() + 2, words.end());
    const auto known = commands();
    const auto at = known.find(words[1]);
    if (at == known.end() || at->second.arguments != arguments.size()) {
        return fail();
    }
    const command_context context{*log, *entry,
                                  output == "json"
                                      ? hibiscus::ctl::output_format::json
                                      : hibiscus::ctl::output_format::text,
                                  std::cout, std::cerr};
    return static_cast<int>(at->second.run(context, arguments));
}
