#pragma once

#include "hibiscus/wire/platform.hpp"
#include "support/caller.hpp"
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
    base::endpoint callers;
    base::endpoint peers;
    std::unique_ptr<process> running;
};

/// The stand-ins and nodes of a test or demo, each a process of its own, in a
/// folder of its own. All are killed with the object.
class system {
public:
    /// Constructs an empty system. `programs` is the build folder.
    explicit system(std::string programs);

    /// Kills all processes and removes the folder, unless keep() was called or
    /// HIBISCUS_KEEP is set in the environment.
    ~system();

    system(const system&) = delete;
    system& operator=(const system&) = delete;

    /// Keeps the folder with the processes' output.
    void keep() { keep_ = true; }

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
    base::endpoint put_proxy_before(const std::string& name);

    /// Starts a fault proxy before `target`, which nobody uses yet.
    base::endpoint start_proxy(const std::string& name,
                               const base::endpoint& target);

    /// Gives the fault proxy before `name` an order ("cut", "freeze" or
    /// "rule" with a body; see fault_proxy/main.cpp). Returns its state.
    std::string order(const std::string& name, const std::string& what,
                      const std::string& body = "{}");

    /// Changes the state of an instance in the list.
    void list(const wire::instance& row);

    /// Takes an instance out of the list.
    void unlist(const std::string& id);

    /// Publishes a document with hibiscusctl. Returns its exit code.
    int publish(const std::string& document);

    /// Runs hibiscusctl with arguments; returns exit code and output.
    std::pair<int, std::string> ctl(const std::vector<std::string>& arguments);

    /// Waits until all nodes that run are ready and see each other.
    bool wait_ready(base::millis limit = 30000);

    /// Returns the nodes.
    std::vector<node_process>& nodes() { return nodes_; }

    /// Returns the stand-in of that name: "log", "instances", "weights", or
    /// the name of an engine or service.
    process& stand_in(const std::string& name) { return *stand_ins_.at(name); }

    /// Returns the address of the stand-in of that name.
    const base::endpoint& address(const std::string& name) const {
        return addresses_.at(name);
    }

    /// Returns the rows of the instance list that this object has made.
    const std::map<std::string, wire::instance>& listed() const {
        return listed_;
    }

    /// Returns the addresses of all nodes for callers.
    std::vector<base::endpoint> entries() const;

    /// Sends a request to a stand-in and returns the body of its answer, or
    /// "" if there is none.
    std::string ask(const std::string& name, const std::string& method,
                    const std::string& target, const std::string& body = "");

    /// Returns the path of a file in the system's folder.
    std::string path(const std::string& file) const;

private:
    base::endpoint start_stand_in(const std::string& name,
                                  const std::string& program,
                                  const std::vector<std::string>& flags);
    void launch(node_process& node);
    const base::endpoint& platform_address(const std::string& name) const;

    port_reservations reserved_;
    std::string programs_;
    std::string folder_;
    bool keep_ = false;
    std::map<std::string, std::unique_ptr<process>> stand_ins_;
    std::map<std::string, base::endpoint> addresses_;
    /// The proxies' addresses that nodes get in place of the platform's.
    std::map<std::string, base::endpoint> proxied_;
    std::map<std::string, wire::instance> listed_;
    std::vector<node_process> nodes_;
    std::vector<std::unique_ptr<process>> clients_;
    int counter_ = 0;
    caller http_;
};

} // namespace hibiscus::testing
