#pragma once

#include "hibiscus/wire/platform.hpp"
#include "support/entry_client.hpp"
#include "support/process.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// One hibiscusd of a test.
struct node_process {
    std::string name;
    std::string zone;
    base::endpoint caller_address;
    base::endpoint peer_address;
    std::unique_ptr<process> daemon;
};

/// The stand-ins and nodes of a test or demo, each a process of its own, in a
/// folder of its own. All are killed with the object.
class test_cluster {
public:
    /// Constructs an empty system. `programs` is the build folder.
    explicit test_cluster(std::string programs);

    /// Kills all processes and removes the folder, unless keep() was called or
    /// HIBISCUS_KEEP is set in the environment.
    ~test_cluster();

    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;

    /// Keeps the folder with the processes' output.
    void keep_files() { keep_files_ = true; }

    /// Starts the log service, the instance list and the weight store.
    /// `log_flags` go to the log service.
    void start_platform(const std::vector<std::string>& log_flags = {});

    /// Starts a hibiscusd on `ip` and lists it. Returns its place in nodes().
    /// `more` is YAML that is added to its settings.
    std::size_t start_node(const std::string& ip, const std::string& zone,
                           const std::string& more = "");

    /// Starts the node again at its old addresses.
    void restart_node(std::size_t index);

    /// Starts a model engine of a pool and lists it. Returns its name.
    std::string start_engine(const std::string& pool, const std::string& zone,
                             const std::vector<std::string>& flags = {});

    /// Starts an instance of a plain service and lists it. Returns its name.
    std::string start_service(const std::string& service,
                              const std::string& zone,
                              const std::vector<std::string>& flags = {});

    /// Starts a client ("trainer" or "app") with flags; it gets the entries'
    /// addresses.
    process& start_client(const std::string& kind, const std::string& name,
                          const std::vector<std::string>& flags);

    /// Starts a fault proxy before the party `name` and makes the nodes use
    /// it: for an engine or a service by its row in the list, for a node
    /// ("n1") by its peer address in the list, for "log", "instances" or
    /// "weights" by the settings of nodes that are started later. Returns the
    /// proxy's address; its name for ask() and order() is "proxy-" + name.
    base::endpoint insert_proxy(const std::string& name);

    /// Starts a fault proxy before `target`, which nobody uses yet.
    base::endpoint start_proxy(const std::string& name,
                               const base::endpoint& target);

    /// Gives the fault proxy before `name` an order ("cut", "freeze" or
    /// "rule" with a body; see fault_proxy/main.cpp). Returns its state.
    std::string control_proxy(const std::string& name, const std::string& what,
                              const std::string& body = "{}");

    /// Changes the state of an instance in the list.
    void register_instance(const wire::instance& row);

    /// Takes an instance out of the list.
    void deregister_instance(const std::string& id);

    /// Publishes a document with hibiscusctl. Returns its exit code.
    int publish_document(const std::string& document);

    /// Runs hibiscusctl with arguments; returns exit code and output.
    std::pair<int, std::string>
    run_ctl(const std::vector<std::string>& arguments);

    /// Waits until all nodes that run are ready and see each other.
    bool wait_until_ready(base::millis limit = 30000);

    /// Returns the nodes.
    std::vector<node_process>& nodes() { return nodes_; }

    /// Returns the stand-in of that name: "log", "instances", "weights", or
    /// the name of an engine or service.
    process& fake_process(const std::string& name) { return *fakes_.at(name); }

    /// Returns the address of the stand-in of that name.
    const base::endpoint& address_of(const std::string& name) const {
        return addresses_.at(name);
    }

    /// Returns the rows of the instance list that this object has made.
    const std::map<std::string, wire::instance>& registered_instances() const {
        return registered_instances_;
    }

    /// Returns the addresses of all nodes for callers.
    std::vector<base::endpoint> entry_addresses() const;

    /// Sends a request to a stand-in and returns the body of its answer, or
    /// "" if there is none.
    std::string send_request(const std::string& name, const std::string& method,
                             const std::string& target,
                             const std::string& body = "");

    /// Returns the path of a file in the system's folder.
    std::string file_path(const std::string& file) const;

private:
    base::endpoint start_fake(const std::string& name,
                              const std::string& program,
                              const std::vector<std::string>& flags);
    void start_process(node_process& node);
    const base::endpoint& platform_address(const std::string& name) const;

    port_reservations reserved_ports_;
    std::string build_dir_;
    std::string work_dir_;
    bool keep_files_ = false;
    std::map<std::string, std::unique_ptr<process>> fakes_;
    std::map<std::string, base::endpoint> addresses_;
    /// The proxies' addresses that nodes get in place of the platform's.
    std::map<std::string, base::endpoint> proxy_addresses_;
    std::map<std::string, wire::instance> registered_instances_;
    std::vector<node_process> nodes_;
    std::vector<std::unique_ptr<process>> clients_;
    int last_suffix_ = 0;
    entry_client client_;
};

} // namespace hibiscus::testing
