#pragma once

#include "hibiscus/wire/platform.hpp"
#include "support/entry_client.hpp"
#include "support/process.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// A hibiscusd process.
struct node_process {
    std::string name;
    std::string zone;
    base::endpoint caller_address;
    base::endpoint peer_address;
    std::unique_ptr<process> daemon;
};

/// The stand-ins and nodes of a test or demo. Each is a separate process; their
/// files are in one temporary folder. The destructor kills all processes.
class test_cluster {
public:
    /// Constructs a cluster without processes. `build_dir` is the build folder.
    explicit test_cluster(std::string build_dir);

    /// Kills all processes. Removes the folder unless keep_files() was called
    /// or HIBISCUS_KEEP is set in the environment.
    ~test_cluster();

    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;

    /// Keeps the folder with the output of the processes after destruction.
    void keep_files() { keep_files_ = true; }

    /// Starts the log service, the instance list and the weight store.
    /// `log_flags` go to the log service.
    void start_platform(const std::vector<std::string>& log_flags = {});

    /// Starts a hibiscusd on `ip` and adds it to the instance list. Returns its
    /// index in nodes(). `extra_settings` is YAML that is appended to its
    /// settings file.
    std::size_t start_node(const std::string& ip, const std::string& zone,
                           const std::string& extra_settings = "");

    /// Kills the node if it runs and starts it again on the same addresses.
    void restart_node(std::size_t index);

    /// Starts an engine of a pool and adds it to the instance list. Returns its
    /// name.
    std::string start_engine(const std::string& pool, const std::string& zone,
                             const std::vector<std::string>& flags = {});

    /// Starts an instance of a plain service and adds it to the instance list.
    /// Returns its name.
    std::string start_service(const std::string& service,
                              const std::string& zone,
                              const std::vector<std::string>& flags = {});

    /// Starts a client program, "trainer" or "app", with the addresses of all
    /// entries and `flags`.
    process& start_client(const std::string& kind, const std::string& name,
                          const std::vector<std::string>& flags);

    /// Starts a fault proxy in front of `name` and makes the nodes use it. For
    /// an engine or a service it changes the address in the instance list, for
    /// a node ("n1") the peer address in the instance list. For "log",
    /// "instances" and "weights" it changes the settings of nodes that are
    /// started later. Returns the proxy's address. Use control_proxy()
    /// with `name` to inject faults; the name of the proxy itself, for example
    /// for send_request(), is "proxy-" + `name`.
    base::endpoint insert_proxy(const std::string& name);

    /// Starts a fault proxy in front of `target` without making anything use
    /// it. Returns the proxy's address.
    base::endpoint start_proxy(const std::string& name,
                               const base::endpoint& target);

    /// Sends a command to the fault proxy in front of `name`: "cut", "freeze",
    /// "rule" with a body, or "proxy" to read the state; see
    /// fault_proxy/main.cpp. Returns the proxy's state as JSON.
    std::string control_proxy(const std::string& name,
                              const std::string& command,
                              const std::string& body = "{}");

    /// Adds or replaces an instance in the instance list.
    void register_instance(const wire::instance& instance);

    /// Removes an instance from the instance list.
    void deregister_instance(const std::string& id);

    /// Publishes a document with hibiscusctl. Returns its exit code.
    int publish_document(const std::string& document);

    /// Runs hibiscusctl. Returns its exit code (-1 if a signal ended it or it
    /// ran longer than 30 s) and its output.
    std::pair<int, std::string>
    run_ctl(const std::vector<std::string>& arguments);

    /// Waits until each running node lists all running nodes as entries.
    bool wait_until_ready(base::millis timeout_ms = 30000);

    std::vector<node_process>& nodes() { return nodes_; }

    /// Returns the process of a stand-in ("log", "instances", "weights", or the
    /// name of an engine or service) or of a fault proxy ("proxy-...").
    process& fake_process(const std::string& name) {
        return *programs_.at(name);
    }

    /// Returns the address of a stand-in.
    const base::endpoint& address_of(const std::string& name) const {
        return addresses_.at(name);
    }

    /// Returns the instances that this object has registered, by id.
    const std::map<std::string, wire::instance>& registered_instances() const {
        return registered_instances_;
    }

    /// Returns the caller addresses of all nodes.
    std::vector<base::endpoint> entry_addresses() const;

    /// Sends a request to a stand-in. Returns the body of the response, or ""
    /// if there is no response.
    std::string send_request(const std::string& name, const std::string& method,
                             const std::string& target,
                             const std::string& body = "");

    /// Returns the path of a file in the cluster's folder.
    std::string file_path(const std::string& file) const;

private:
    /// Starts a stand-in or fault proxy and returns the address on which it
    /// listens.
    base::endpoint start_program(const std::string& name,
                                 const std::string& program,
                                 const std::vector<std::string>& flags);
    void start_process(node_process& node);
    const base::endpoint& platform_address(const std::string& name) const;

    port_reservations reserved_ports_;
    std::string build_dir_;
    std::string work_dir_;
    bool keep_files_ = false;
    /// The stand-ins and fault proxies by name.
    std::map<std::string, std::unique_ptr<process>> programs_;
    std::map<std::string, base::endpoint> addresses_;
    /// The addresses of proxies that new nodes use in place of the platform's
    /// services, by service name.
    std::map<std::string, base::endpoint> proxy_addresses_;
    std::map<std::string, wire::instance> registered_instances_;
    std::vector<node_process> nodes_;
    std::vector<std::unique_ptr<process>> clients_;
    int last_suffix_ = 0;
    entry_client client_;
};

} // namespace hibiscus::testing
