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

/// Returns a unique id for a publish.
std::string make_publish_id() {
    std::random_device random;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(now)
                   .count()) +
           "-" + std::to_string(random());
}

/// A command and the number of its arguments.
struct command {
    std::size_t argument_count;
    std::function<exit_code(const command_context&,
                            const std::vector<std::string>&)>
        run;
};

/// Returns the commands by name.
std::map<std::string, command> make_commands() {
    namespace ctl = hibiscus::ctl;
    return {{"validate",
             {1, [](const command_context& c,
                    const auto& args) { return ctl::validate(c, args[0]); }}},
            {"publish",
             {1,
              [](const command_context& c, const auto& args) {
                  auto id = absl::GetFlag(FLAGS_publish_id);
                  return ctl::publish(c, args[0],
                                      id.empty() ? make_publish_id() : id);
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

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(usage);
    const auto positional = absl::ParseCommandLine(argc, argv);
    const auto print_usage = [] {
        std::cerr << usage << '\n';
        return static_cast<int>(exit_code::usage);
    };
    const auto log = hibiscus::base::parse_endpoint(absl::GetFlag(FLAGS_log));
    const auto entry =
        hibiscus::base::parse_endpoint(absl::GetFlag(FLAGS_entry));
    const auto output = absl::GetFlag(FLAGS_output);
    if (positional.size() < 2 || !log || !entry ||
        (output != "text" && output != "json")) {
        return print_usage();
    }
    const std::vector<std::string> arguments(positional.begin() + 2,
                                             positional.end());
    const auto commands = make_commands();
    const auto it = commands.find(positional[1]);
    if (it == commands.end() || it->second.argument_count != arguments.size()) {
        return print_usage();
    }
    const command_context context{*log, *entry,
                                  output == "json"
                                      ? hibiscus::ctl::output_format::json
                                      : hibiscus::ctl::output_format::text,
                                  std::cout, std::cerr};
    return static_cast<int>(it->second.run(context, arguments));
}
