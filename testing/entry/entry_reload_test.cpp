#include "entry/entry_harness.hpp"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace hibiscus::testing {

namespace {

class entry_reload_test : public ::testing::Test, protected entry_harness {
protected:
    /// Replaces the named pipe at `path` by a regular file with the content
    /// `text`, for later reloads. Then writes `text` to `pipe`, the write end
    /// of the named pipe from which the node is still reading its settings.
    static void write_settings_to_pipe(int pipe, const std::string& path,
                                       const std::string& text) {
        std::ofstream(path + ".next") << text;
        std::filesystem::rename(path + ".next", path);
        ASSERT_EQ(::write(pipe, text.data(), text.size()),
                  static_cast<ssize_t>(text.size()));
        ::close(pipe);
    }

    /// Returns true if the process `pid` has a handler for SIGHUP.
    static bool handles_sighup(pid_t pid) {
        const std::string label = "SigCgt:";
        std::ifstream in("/proc/" + std::to_string(pid) + "/status");
        for (std::string line; std::getline(in, line);) {
            if (line.compare(0, label.size(), label) == 0) {
                const auto caught =
                    std::stoull(line.substr(label.size()), nullptr, 16);
                return (caught >> (SIGHUP - 1) & 1U) != 0;
            }
        }
        return false;
    }

    /// Sends SIGHUP to each node that no longer has a handler for it, until all
    /// nodes have ended or 30 s have passed. Returns whether all have ended.
    bool signal_until_all_exit() {
        const base::clock clock;
        const auto deadline = clock.now() + 30000;
        bool all_ended = false;
        while (!all_ended && clock.now() < deadline) {
            all_ended = true;
            for (const auto& [name, node] : nodes_) {
                all_ended = !node->is_running() && all_ended;
                if (!handles_sighup(node->pid())) {
                    node->signal(SIGHUP);
                }
            }
            io_.restart();
            io_.poll();
        }
        return all_ended;
    }

    /// Waits until a program reads from the named pipe at `path` and returns
    /// its write end, or -1 on timeout.
    int open_pipe_for_writing(const std::string& path) {
        int pipe = -1;
        run_until([&] {
            if (pipe < 0) {
                pipe = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            }
            return pipe >= 0;
        });
        return pipe;
    }
};

// Guards against a node that SIGHUP terminates before it has installed a
// handler. The settings file is a named pipe, so that the first signal arrives
// while the node reads it. More signals follow until the first output, and one
// of them must cause a reload.
TEST_F(entry_reload_test,
       a_reload_signal_during_startup_does_not_end_the_node) {
    publish_configuration();
    const auto path = write_settings("n1");
    std::stringstream text;
    text << std::ifstream(path).rdbuf();
    std::filesystem::remove(path);
    ASSERT_EQ(::mkfifo(path.c_str(), S_IRUSR | S_IWUSR), 0);
    nodes_["n1"] = std::make_unique<process>(
        std::vector<std::string>{HIBISCUS_ENTRYD, "--settings=" + path},
        work_dir_ + "/n1.log");
    const int pipe = open_pipe_for_writing(path);
    ASSERT_GE(pipe, 0);
    nodes_.at("n1")->signal(SIGHUP);
    write_settings_to_pipe(pipe, path, text.str());
    while (nodes_.at("n1")->is_running() && nodes_.at("n1")->output().empty()) {
        nodes_.at("n1")->signal(SIGHUP);
        pause_for(1);
    }
    ASSERT_TRUE(wait_until_ready("n1"));
    EXPECT_TRUE(run_until([&] {
        return nodes_.at("n1")->output().find("\"cause\":\"signal\"") !=
               std::string::npos;
    }));
}

// Guards against a node that SIGHUP terminates during shutdown, after it has
// removed its handler.
TEST_F(entry_reload_test, reload_signals_during_shutdown_keep_the_exit_code) {
    publish_configuration();
    for (const char* name : {"n1", "n2", "n3"}) {
        start_node(name);
        ASSERT_TRUE(wait_until_ready(name));
    }
    for (const char* name : {"n1", "n2", "n3"}) {
        nodes_.at(name)->signal(SIGTERM);
    }
    EXPECT_TRUE(signal_until_all_exit());
    for (const auto& [name, node] : nodes_) {
        EXPECT_EQ(node->wait_for_exit(0), 0) << name;
    }
}

} // namespace

} // namespace hibiscus::testing
