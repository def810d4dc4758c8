#include "support/system.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace hibiscus::testing {

namespace {

namespace fs = std::filesystem;

std::string make_folder() {
    auto pattern = (fs::temp_directory_path() / "hibiscus-XXXXXX").string();
    const char* made = mkdtemp(pattern.data());
    return made != nullptr ? made : "";
}

constexpr base::millis ask_timeout = 5000;

} // namespace

system::system(std::string programs)
    : programs_(std::move(programs)), folder_(make_folder()),
      http_({{"127.0.0.1", 1}}) {}

system::~system() {
    clients_.clear();
    nodes_.clear();
    stand_ins_.clear();
    if (!keep_ && std::getenv("HIBISCUS_KEEP") == nullptr) {
        std::error_code ignored;
        fs::remove_all(folder_, ignored);
    }
}

std::string system::path(const std::string& file) const {
    return folder_ + "/" + file;
}

base::endpoint system::start_stand_in(const std::string& name,
                                      const std::string& program,
                                      const std::vector<std::string>& flags) {
    std::vector<std::string> arguments{programs_ + "/testing/" + program};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    auto started = std::make_unique<process>(arguments, path(name + ".out"));
    const auto address = started->listening();
    stand_ins_[name] = std::move(started);
    addresses_[name] = address.value_or(base::endpoint{});
    return addresses_[name];
}

void system::start_platform(const std::vector<std::string>& log_flags) {
    start_stand_in("log", "stand_in_log_service", log_flags);
    start_stand_in("instances", "stand_in_instance_list", {});
    start_stand_in("weights", "stand_in_weight_store", {});
}

const base::endpoint& system::platform_address(const std::string& name) const {
    const auto at = proxied_.find(name);
    return at != proxied_.end() ? at->second : address(name);
}

base::endpoint system::start_proxy(const std::string& name,
                                   const base::endpoint& target) {
    start_stand_in("proxy-" + name, "fault_proxy",
                   {"--target=" + base::to_string(target)});
    const auto state = nlohmann::json::parse(order(name, "proxy"));
    return base::parse_endpoint(state.value("address", ""))
        .value_or(base::endpoint{});
}

base::endpoint system::put_proxy_before(const std::string& name) {
    const auto row = listed_.find(name);
    if (row == listed_.end()) {
        proxied_[name] = start_proxy(name, address(name));
        return proxied_[name];
    }
    auto changed = row->second;
    auto& used = changed.role == wire::instance_role::entry
                     ? changed.peer_address
                     : changed.address;
    auto proxy = start_proxy(
        name, base::parse_endpoint(used).value_or(base::endpoint{}));
    used = base::to_string(proxy);
    list(changed);
    return proxy;
}

std::string system::order(const std::string& name, const std::string& what,
                          const std::string& body) {
    return ask("proxy-" + name, what == "proxy" ? "GET" : "POST", "/v1/" + what,
               body);
}

void system::list(const wire::instance& row) {
    listed_[row.id] = row;
    ask("instances", "POST", "/v1/instances", wire::to_json(row));
}

void system::unlist(const std::string& id) {
    listed_.erase(id);
    ask("instances", "DELETE", "/v1/instances/" + id);
}

std::size_t system::start_node(const std::string& ip, const std::string& zone,
                               const std::string& more) {
    node_process node;
    node.name = "n" + std::to_string(nodes_.size() + 1);
    node.zone = zone;
    node.callers = {ip, reserved_.take(ip)};
    node.peers = {ip, reserved_.take(ip)};
    std::ofstream(path(node.name + ".yaml"))
        << "node: " << node.name << "\nzone: " << zone
        << "\nlisten:\n  callers: " << base::to_string(node.callers)
        << "\n  peers: " << base::to_string(node.peers)
        << "\nplatform:\n  log: " << base::to_string(platform_address("log"))
        << "\n  instances: " << base::to_string(platform_address("instances"))
        << "\n  weights: " << base::to_string(platform_address("weights"))
        << "\n"
        << more;
    launch(node);
    list({node.name, wire::instance_role::entry, wire::instance_state::live, "",
          base::zone_id(zone), base::to_string(node.callers),
          base::to_string(node.peers)});
    nodes_.push_back(std::move(node));
    return nodes_.size() - 1;
}

void system::launch(node_process& node) {
    const std::vector<std::string> arguments{
        programs_ + "/packages/node/hibiscusd",
        "--settings=" + path(node.name + ".yaml")};
    node.running =
        std::make_unique<process>(arguments, path(node.name + ".log"));
}

void system::restart_node(std::size_t index) {
    nodes_[index].running.reset();
    launch(nodes_[index]);
}

std::string system::start_engine(const std::string& pool,
                                 const std::string& zone,
                                 const std::vector<std::string>& flags) {
    auto name = "engine" + std::to_string(++counter_);
    auto all = flags;
    all.push_back("--weights=" + base::to_string(address("weights")));
    const auto at = start_stand_in(name, "stand_in_engine", all);
    list({name, wire::instance_role::engine, wire::instance_state::live, pool,
          base::zone_id(zone), base::to_string(at), ""});
    return name;
}

std::string system::start_service(const std::string& service,
                                  const std::string& zone,
                                  const std::vector<std::string>& flags) {
    auto name = service + std::to_string(++counter_);
    const auto at = start_stand_in(name, "stand_in_plain_service", flags);
    list({name, wire::instance_role::service, wire::instance_state::live,
          service, base::zone_id(zone), base::to_string(at), ""});
    return name;
}

process& system::start_client(const std::string& kind, const std::string& name,
                              const std::vector<std::string>& flags) {
    std::string addresses;
    for (const auto& e : entries()) {
        addresses += (addresses.empty() ? "" : ",") + base::to_string(e);
    }
    std::vector<std::string> arguments{programs_ + "/testing/stand_in_" + kind,
                                       "--name=" + name,
                                       "--entries=" + addresses};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    clients_.push_back(
        std::make_unique<process>(arguments, path(name + ".out")));
    return *clients_.back();
}

std::vector<base::endpoint> system::entries() const {
    std::vector<base::endpoint> result;
    for (const auto& n : nodes_) {
        result.push_back(n.callers);
    }
    return result;
}

std::pair<int, std::string>
system::ctl(const std::vector<std::string>& arguments) {
    std::vector<std::string> all{programs_ + "/packages/ctl/hibiscusctl",
                                 "--log=" + base::to_string(address("log"))};
    if (!nodes_.empty()) {
        all.push_back("--entry=" + base::to_string(nodes_[0].callers));
    }
    all.insert(all.end(), arguments.begin(), arguments.end());
    process run(all, path("ctl" + std::to_string(++counter_) + ".out"));
    const auto code = run.wait(30000);
    return {code.value_or(-1), run.output()};
}

int system::publish(const std::string& document) {
    const auto file = path("document" + std::to_string(++counter_) + ".json");
    std::ofstream(file) << document;
    return ctl({"publish", file}).first;
}

bool system::wait_ready(base::millis limit) {
    return eventually(
        [this] {
            std::size_t alive = 0;
            for (auto& n : nodes_) {
                alive += n.running->running() ? 1 : 0;
            }
            for (auto& n : nodes_) {
                if (!n.running->running()) {
                    continue;
                }
                net::http_request request;
                request.target = "/v1/entries";
                const auto answer = caller::decode<wire::entries_answer>(
                    http_.send_to(n.callers, request, ask_timeout));
                if (!answer || answer->entries.size() != alive) {
                    return false;
                }
            }
            return true;
        },
        limit);
}

std::string system::ask(const std::string& name, const std::string& method,
                        const std::string& target, const std::string& body) {
    net::http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    const auto result =
        http_.send_to(address(name), std::move(request), ask_timeout);
    const auto* response = std::get_if<net::http_response>(&result);
    return response != nullptr ? response->body : "";
}

} // namespace hibiscus::testing
