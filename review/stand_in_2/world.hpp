#pragma once

#include "store.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>

namespace review {

/// Writes what was sent, answered and run, with the time in ms.
class recorder {
public:
    explicit recorder(const std::string& path) : out_(path) {}

    void note(const std::string& line) {
        const std::lock_guard<std::mutex> lock(mutex_);
        out_ << now_ms() << " " << line << "\n" << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

/// How a sampler of a plain service works on a request.
struct plain_work {
    long work_ms = 25;
    std::size_t body_bytes = 800;
    /// Whether the body is sent while it is made, in that time, instead of at
    /// its end.
    bool sends_as_it_works = false;
};

/// A sampler: an engine with batch items if it has a model, otherwise an
/// application server. Registers itself in the store each 1.2 s.
class sampler {
public:
    struct settings {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 12;
        bool has_model = false;
        long event_ms = 41;
        std::function<int(const std::string&)> event_count;
        std::function<plain_work(const http_message&)> work;
    };

    sampler(store& registry, recorder& record, settings s)
        : store_(registry), record_(record), settings_(std::move(s)),
          born_(unix_ms()), server_([this](const auto& request, auto& peer) {
              return handle(request, peer);
          }) {
        std::thread([this] {
            for (;;) {
                register_once();
                sleep_ms(1200);
            }
        }).detach();
    }

    int port() const { return server_.port(); }
    const std::string& id() const { return settings_.id; }

    /// The factor by which its work takes longer.
    std::atomic<double> slowness{1};

    /// Called with the id of an item when it begins to run, and with whether it
    /// was finished when it ends.
    std::function<void(const std::string&)> on_run_begun;
    std::function<void(const std::string&, bool)> on_run_ended;

private:
    void register_once() {
        json entry{{"service", settings_.service},
                   {"address", "127.0.0.1:" + std::to_string(port())},
                   {"zone", settings_.zone},
                   {"version", "v1"},
                   {"slots", settings_.slots},
                   {"state", "ready"},
                   {"coldLeftMs", 0},
                   {"born", born_},
                   {"seq", ++beats_}};
        if (settings_.has_model) {
            entry["stage"] = "prefill_decode";
            entry["models"] = json::array({model()});
        }
        store_.put("keyed.servers", settings_.id, entry.dump());
    }

    json model() const {
        return {{"name", "m"}, {"version", 1}, {"adapters", json::array()}};
    }

    bool handle(const http_message& request, connection& peer) {
        const auto expected = request.header("expect-instance");
        const auto id = request.header("request-id");
        const auto echo = "Request-Id: " + id + "\r\n";
        if (!expected.empty() && expected != settings_.id) {
            return peer.send(make_response(421, "", echo));
        }
        if (request.target == "/report") {
            const json report{{"stage", "prefill_decode"},
                              {"models", json::array({model()})},
                              {"busy", false},
                              {"seq", 0},
                              {"waiting", 0},
                              {"running", running_.load()},
                              {"kvUsed", 0},
                              {"kvTotal", 41294},
                              {"handles", 0},
                              {"born", born_}};
            return peer.send(make_response(
                200, report.dump(), "Content-Type: application/json\r\n"));
        }
        if (running_.fetch_add(1) >= settings_.slots) {
            --running_;
            return peer.send(
                make_response(503, "", echo + "Not-Executed: 1\r\n"));
        }
        const bool open = settings_.has_model ? run_item(id, request, peer)
                                              : run_plain(id, request, peer);
        --running_;
        return open;
    }

    std::string stamp(const std::string& id) const {
        return "Response-Stamp: " + settings_.id + "." + id + "\r\n";
    }

    bool run_item(const std::string& id, const http_message& request,
                  connection& peer) {
        const int count = settings_.event_count(id);
        const int after = std::atoi(request.header("last-event-id").c_str());
        if (on_run_begun) {
            on_run_begun(id);
        }
        bool open = peer.send(
            "HTTP/1.1 200 S\r\nContent-Type: text/event-stream\r\n"
            "Request-Id: " +
            id + "\r\n" + stamp(id) +
            "Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int n = after + 1; n <= count && open; ++n) {
            sleep_ms(static_cast<long>(settings_.event_ms * slowness.load()));
            if (peer.is_closed_by_peer()) {
                open = false;
                break;
            }
            const auto event = "id: " + std::to_string(n) +
                               "\ndata: " + event_data(id, n) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            open = peer.send(size + event + "\r\n");
        }
        open = open && peer.send("0\r\n\r\n");
        if (on_run_ended) {
            on_run_ended(id, open);
        }
        return open;
    }

    static std::string event_data(const std::string& id, int n) {
        auto data = id + " " + std::to_string(n) + " ";
        data.resize(350, 'x');
        return data;
    }

    bool run_plain(const std::string& id, const http_message& request,
                   connection& peer) {
        const auto work = settings_.work(request);
        const auto ms = static_cast<long>(work.work_ms * slowness.load());
        const auto head =
            "HTTP/1.1 200 S\r\nRequest-Id: " + id + "\r\n" + stamp(id) +
            "Content-Length: " + std::to_string(work.body_bytes) + "\r\n\r\n";
        const std::string body(work.body_bytes, 'b');
        if (!work.sends_as_it_works) {
            sleep_ms(ms);
            return !peer.is_closed_by_peer() && peer.send(head + body);
        }
        const long begin = now_ms();
        constexpr std::size_t parts = 20;
        bool open = peer.send(head);
        const auto part_bytes = (body.size() + parts - 1) / parts;
        for (std::size_t n = 0; n < body.size() && open; n += part_bytes) {
            sleep_ms(ms / static_cast<long>(parts));
            open = !peer.is_closed_by_peer() &&
                   peer.send(body.substr(n, part_bytes));
        }
        if (!open) {
            record_.note(settings_.id + " worked on " + id + " for " +
                         std::to_string(now_ms() - begin) + " of " +
                         std::to_string(ms) +
                         " ms when its connection was closed");
        }
        return open;
    }

    store& store_;
    recorder& record_;
    settings settings_;
    long born_;
    std::atomic<int> beats_{0};
    std::atomic<int> running_{0};
    http_server server_;
};

/// A node, as a process of its own, with the command of deploy/system.toml.
class node {
public:
    node(std::string name, std::string zone, const std::string& dir,
         int store_port)
        : name_(std::move(name)), dir_(dir) {
        int* const ports[] = {&callers_, &readiness_, &directory_, &metrics_};
        std::vector<int> held;
        for (int* port : ports) {
            const int fd = open_socket();
            auto address = loopback(0);
            socklen_t size = sizeof address;
            ::bind(fd, reinterpret_cast<sockaddr*>(&address), size);
            ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
            *port = ntohs(address.sin_port);
            held.push_back(fd);
        }
        for (const int fd : held) {
            ::close(fd);
        }
        const auto at = [](int port) {
            return "127.0.0.1:" + std::to_string(port) + "\n";
        };
        std::ofstream(file())
            << "node: " << name_ << "\nzone: " << zone
            << "\nlisten:\n  callers: " << at(callers_)
            << "  readiness: " << at(readiness_)
            << "  directory: " << at(directory_)
            << "  metrics: " << at(metrics_)
            << "store:\n  address: " << at(store_port)
            << "  partitions: 24\n  record_bytes: 262144\n"
               "  append_bytes: 2097152\n  writes_per_s: 800\n"
               "  reads_per_s: 2000\n  read_mb_per_s: 80.0\n"
               "  server_renewal_ms: 1200\n"
               "limits:\n  cpu_share: 0.5\n  memory_mb: 140\n"
               "  max_fds: 8200\n"
               "bounds:\n  lease_ms: 3000\n  fences_checked: true\n"
               "  config_ms: 2000\n  drain_ms: 2000\n  cancel_ms: 3000\n"
               "  status_s: 120\n  grace_s: 8\n";
    }
    ~node() { stop(SIGKILL); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void start() {
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open((dir_ + "/" + name_ + ".log").c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            const char* const program = "target/packages/entry/hibiscus_entryd";
            const auto argument = "--settings=" + file();
            ::execl(program, program, argument.c_str(), nullptr);
            ::_exit(127);
        }
    }

    /// Sends a signal and waits until the process has ended.
    void stop(int signal) {
        if (pid_ > 0) {
            ::kill(pid_, signal);
            ::waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

    bool wait_until_ready(long timeout_ms) const {
        const long until = now_ms() + timeout_ms;
        while (now_ms() < until) {
            if (call(readiness_, "GET", "/readyz", {}, "", 500).status == 200) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    const std::string& name() const { return name_; }
    int callers() const { return callers_; }
    pid_t pid() const { return pid_; }

private:
    std::string file() const { return dir_ + "/" + name_ + ".yaml"; }

    std::string name_;
    std::string dir_;
    int callers_ = 0;
    int readiness_ = 0;
    int directory_ = 0;
    int metrics_ = 0;
    pid_t pid_ = 0;
};

/// Returns the name of the node that owns the jobs, by the journal.
inline std::string owner_of_jobs(store& s) {
    const auto value = s.newest("keyed.journal", "!owner");
    const auto record = json::from_cbor(value, true, false);
    return record.is_object() ? record.value("node", std::string()) : "";
}

} // namespace review
