#include "hibiscus/entry/daemon.hpp"

#include "memory_bounds.hpp"
#include "reload_signal.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

ABSL_FLAG(std::string, settings, "", "path of the YAML settings file");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace {

constexpr int exit_ok = 0;
constexpr int exit_listen = 1;
constexpr int exit_settings = 2;

} // namespace

/// Runs one entry node. Exits with 0 after a graceful shutdown, 1 if it can't
/// listen on an address, 2 if the settings are invalid.
int main(int argc, char** argv) {
    hibiscus::entry::set_reload_signal_blocked(true);
    hibiscus::entry::return_large_blocks();
    absl::SetProgramUsageMessage(
        "runs one entry node: hibiscus_entryd --settings=FILE");
    absl::ParseCommandLine(argc, argv);
    const auto path = absl::GetFlag(FLAGS_settings);
    const auto loaded = hibiscus::entry::load_node_settings(path);
    const auto* config = hibiscus::base::value_if(loaded);
    if (config == nullptr) {
        for (const auto& error :
             std::get<hibiscus::settings::setting_errors>(loaded)) {
            std::cerr << hibiscus::settings::to_string(error) << '\n';
        }
        return exit_settings;
    }
    if (absl::GetFlag(FLAGS_check)) {
        return exit_ok;
    }
    if (const auto error = hibiscus::entry::run_node(*config, path)) {
        std::cerr << "cannot listen on "
                  << hibiscus::base::to_string(error->address) << '\n';
        return exit_listen;
    }
    return exit_ok;
}
