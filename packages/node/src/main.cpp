#include "hibiscus/node/daemon.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::string, settings, "", "path of the YAML settings file");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace {

constexpr int exit_ok = 0;
constexpr int exit_listen_failed = 1;
constexpr int exit_invalid_settings = 2;

} // namespace

/// Runs hibiscusd, the server that accepts the requests of callers. Exits with
/// 0 after a graceful shutdown, 1 if an address cannot be bound, 2 if the
/// settings file is invalid.
int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "runs one entry instance: hibiscusd --settings=FILE");
    absl::ParseCommandLine(argc, argv);
    const auto loaded =
        hibiscus::node::load_settings(absl::GetFlag(FLAGS_settings));
    const auto* config = hibiscus::base::value_if(loaded);
    if (config == nullptr) {
        for (const auto& error :
             std::get<hibiscus::node::setting_errors>(loaded)) {
            std::cerr << hibiscus::settings::to_string(error) << '\n';
        }
        return exit_invalid_settings;
    }
    if (absl::GetFlag(FLAGS_check)) {
        return exit_ok;
    }
    hibiscus::node::daemon daemon(*config);
    if (const auto error = daemon.run()) {
        std::cerr << "cannot listen on "
                  << hibiscus::base::to_string(error->address) << '\n';
        return exit_listen_failed;
    }
    return exit_ok;
}
