#include "support/process.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace hibiscus::testing {

process::process(const std::vector<std::string>& arguments, std::string output)
    : output_path_(std::move(output)) {
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto& a : arguments) {
        argv.push_back(const_cast<char*>(a.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, output_path_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // Otherwise the child would inherit the test's sockets and keep them open
    // after the test has closed them.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    const int error =
        posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("cannot start " + arguments[0]);
    }
}

process::~process() {
    if (is_running()) {
        signal(SIGKILL);
        wait_for_exit(10000);
    }
}

void process::signal(int signal_number) const {
    if (!exit_code_) {
        ::kill(pid_, signal_number);
    }
}

std::optional<int> process::wait_for_exit(base::millis timeout_ms) {
    eventually([this] { return !is_running(); }, timeout_ms);
    return exit_code_;
}

bool process::is_running() {
    if (exit_code_) {
        return false;
    }
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) {
        return true;
    }
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return false;
}

std::string process::output() const {
    std::ifstream in(output_path_);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

std::optional<base::endpoint>
process::wait_for_listen_address(base::millis timeout_ms) const {
    const std::string prefix = "listening on ";
    std::optional<base::endpoint> found;
    eventually(
        [&] {
            const auto text = output();
            const auto begin = text.find(prefix);
            const auto end = text.find('\n', begin);
            if (begin != std::string::npos && end != std::string::npos) {
                const auto address_begin = begin + prefix.size();
                found = base::parse_endpoint(
                    text.substr(address_begin, end - address_begin));
            }
            return found.has_value();
        },
        timeout_ms);
    return found;
}

class port_reservations::bound_sockets {
public:
    std::uint16_t reserve(const std::string& ip) {
        using tcp = boost::asio::ip::tcp;
        tcp::acceptor socket(io_, tcp::v4());
        // SO_REUSEADDR must be set on both sockets for the program to listen.
        socket.set_option(boost::asio::socket_base::reuse_address(true));
        // A child that inherited the socket would keep the port from the next
        // program.
        ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
        socket.bind({boost::asio::ip::make_address(ip), 0});
        const auto port = socket.local_endpoint().port();
        sockets_.push_back(std::move(socket));
        return port;
    }

private:
    boost::asio::io_context io_;
    std::vector<boost::asio::ip::tcp::acceptor> sockets_;
};

port_reservations::port_reservations()
    : sockets_(std::make_unique<bound_sockets>()) {}

port_reservations::~port_reservations() = default;

std::uint16_t port_reservations::reserve(const std::string& ip) {
    return sockets_->reserve(ip);
}

void pause_for(base::millis ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace hibiscus::testing
