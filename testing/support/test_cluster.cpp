#include "support/test_cluster.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace hibiscus::testing {

namespace {

namespace fs = std::filesystem;

std::string make_temp_dir() {
    auto pattern = (fs::temp_directory_path() / "hibiscus-XXXXXX").string();
    const char* path = mkdtemp(pattern.data());
    return path != nullptr ? path : "";
}

constexpr base::millis request_timeout_ms = 5000;

} // namespace

test_cluster::test_cluster(std::string build_dir)
    : build_dir_(std::move(build_dir)), work_dir_(make_temp_dir()),
      client_({{"127.0.0.1", 1}}) {}

test_cluster::~test_cluster() {
    clients_.clear();
    nodes_.clear();
    programs_.clear();
    if (!keep_files_ && std::getenv("HIBISCUS_KEEP") == nullptr) {
        std::error_code ignored;
        fs::remove_all(work_dir_, ignored);
    }
}

std::string test_cluster::file_path(const std::string& file) const {
    return work_dir_ + "/" + file;
}

base::endpoint
test_cluster::start_program(const std::string& name, const std::string& program,
                            const std::vector<std::string>& flags) {
    std::vector<std::string> arguments{build_dir_ + "/testing/" + program};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    auto started =
        std::make_unique<process>(arguments, file_path(name + ".out"));
    const auto address = started->wait_for_listen_address();
    programs_[name] = std::move(started);
    addresses_[name] = address.value_or(base::endpoint{});
    return addresses_[name];
}

void test_cluster::start_platform(const std::vector<std::string>& log_flags) {
    start_program("log", "stand_in_log_service", log_flags);
    start_program("instances", "stand_in_instance_list", {});
    start_program("weights", "stand_in_weight_store", {});
}

const base::endpoint&
test_cluster::platform_address(const std::string& name) const {
    const auto proxy = proxy_addresses_.find(name);
    return proxy != proxy_addresses_.end() ? proxy->second : address_of(name);
}

base::endpoint test_cluster::start_proxy(const std::string& name,
                                         const base::endpoint& target) {
    start_program("proxy-" + name, "fault_proxy",
                  {"--target=" + base::to_string(target)});
    const auto state = nlohmann::json::parse(control_proxy(name, "proxy"));
    return base::parse_endpoint(state.value("address", ""))
        .value_or(base::endpoint{});
}

base::endpoint test_cluster::insert_proxy(const std::string& name) {
    const auto row = registered_instances_.find(name);
    if (row == registered_instances_.end()) {
        proxy_addresses_[name] = start_proxy(name, address_of(name));
        return proxy_addresses_[name];
    }
    auto changed = row->second;
    auto& proxied_address = changed.role == wire::instance_role::entry
                                ? changed.peer_address
                                : changed.address;
    auto proxy = start_proxy(
        name, base::parse_endpoint(proxied_address).value_or(base::endpoint{}));
    proxied_address = base::to_string(proxy);
    register_instance(changed);
    return proxy;
}

std::string test_cluster::control_proxy(const std::string& name,
                                        const std::string& command,
                                        const std::string& body) {
    return send_request("proxy-" + name, command == "proxy" ? "GET" : "POST",
                        "/v1/" + command, body);
}

void test_cluster::register_instance(const wire::instance& instance) {
    registered_instances_[instance.id] = instance;
    send_request("instances", "POST", "/v1/instances", wire::to_json(instance));
}

void test_cluster::deregister_instance(const std::string& id) {
    registered_instances_.erase(id);
    send_request("instances", "DELETE", "/v1/instances/" + id);
}

std::size_t test_cluster::start_node(const std::string& ip,
                                     const std::string& zone,
                                     const std::string& extra_settings) {
    node_process node;
    node.name = "n" + std::to_string(nodes_.size() + 1);
    node.zone = zone;
    node.caller_address = {ip, reserved_ports_.reserve(ip)};
    node.peer_address = {ip, reserved_ports_.reserve(ip)};
    std::ofstream(file_path(node.name + ".yaml"))
        << "node: " << node.name << "\nzone: " << zone
        << "\nlisten:\n  callers: " << base::to_string(node.caller_address)
        << "\n  peers: " << base::to_string(node.peer_address)
        << "\nplatform:\n  log: " << base::to_string(platform_address("log"))
        << "\n  instances: " << base::to_string(platform_address("instances"))
        << "\n  weights: " << base::to_string(platform_address("weights"))
        << "\n"
        << extra_settings;
    start_process(node);
    register_instance({node.name, wire::instance_role::entry,
                       wire::instance_state::live, "", base::zone_id(zone),
                       base::to_string(node.caller_address),
                       base::to_string(node.peer_address)});
    nodes_.push_back(std::move(node));
    return nodes_.size() - 1;
}

void test_cluster::start_process(node_process& node) {
    const std::vector<std::string> arguments{
        build_dir_ + "/packages/node/hibiscusd",
        "--settings=" + file_path(node.name + ".yaml")};
    node.daemon =
        std::make_unique<process>(arguments, file_path(node.name + ".log"));
}

void test_cluster::restart_node(std::size_t index) {
    nodes_[index].daemon.reset();
    start_process(nodes_[index]);
}

std::string test_cluster::start_engine(const std::string& pool,
                                       const std::string& zone,
                                       const std::vector<std::string>& flags) {
    auto name = "engine" + std::to_string(++last_suffix_);
    auto all = flags;
    all.push_back("--weights=" + base::to_string(address_of("weights")));
    const auto address = start_program(name, "stand_in_engine", all);
    register_instance({name, wire::instance_role::engine,
                       wire::instance_state::live, pool, base::zone_id(zone),
                       base::to_string(address), ""});
    return name;
}

std::string test_cluster::start_service(const std::string& service,
                                        const std::string& zone,
                                        const std::vector<std::string>& flags) {
    auto name = service + std::to_string(++last_suffix_);
    const auto address = start_program(name, "stand_in_plain_service", flags);
    register_instance({name, wire::instance_role::service,
                       wire::instance_state::live, service, base::zone_id(zone),
                       base::to_string(address), ""});
    return name;
}

process& test_cluster::start_client(const std::string& kind,
                                    const std::string& name,
                                    const std::vector<std::string>& flags) {
    std::string addresses;
    for (const auto& e : entry_addresses()) {
        addresses += (addresses.empty() ? "" : ",") + base::to_string(e);
    }
    std::vector<std::string> arguments{build_dir_ + "/testing/stand_in_" + kind,
                                       "--name=" + name,
                                       "--entries=" + addresses};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    clients_.push_back(
        std::make_unique<process>(arguments, file_path(name + ".out")));
    return *clients_.back();
}

std::vector<base::endpoint> test_cluster::entry_addresses() const {
    std::vector<base::endpoint> result;
    for (const auto& n : nodes_) {
        result.push_back(n.caller_address);
    }
    return result;
}

std::pair<int, std::string>
test_cluster::run_ctl(const std::vector<std::string>& arguments) {
    std::vector<std::string> all{build_dir_ + "/packages/ctl/hibiscusctl",
                                 "--log=" + base::to_string(address_of("log"))};
    if (!nodes_.empty()) {
        all.push_back("--entry=" + base::to_string(nodes_[0].caller_address));
    }
    all.insert(all.end(), arguments.begin(), arguments.end());
    process run(all,
                file_path("ctl" + std::to_string(++last_suffix_) + ".out"));
    const auto code = run.wait_for_exit(30000);
    return {code.value_or(-1), run.output()};
}

int test_cluster::publish_document(const std::string& document) {
    const auto file =
        file_path("document" + std::to_string(++last_suffix_) + ".json");
    std::ofstream(file) << document;
    return run_ctl({"publish", file}).first;
}

bool test_cluster::wait_until_ready(base::millis timeout_ms) {
    return eventually(
        [this] {
            std::size_t running_count = 0;
            for (auto& n : nodes_) {
                running_count += n.daemon->is_running() ? 1 : 0;
            }
            for (auto& n : nodes_) {
                if (!n.daemon->is_running()) {
                    continue;
                }
                net::http_request request;
                request.target = "/v1/entries";
                const auto response =
                    entry_client::decode_response<wire::entries_response>(
                        client_.send_to(n.caller_address, request,
                                        request_timeout_ms));
                if (!response || response->entries.size() != running_count) {
                    return false;
                }
            }
            return true;
        },
        timeout_ms);
}

std::string test_cluster::send_request(const std::string& name,
                                       const std::string& method,
                                       const std::string& target,
                                       const std::string& body) {
    net::http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    const auto result = client_.send_to(address_of(name), std::move(request),
                                        request_timeout_ms);
    const auto* response = std::get_if<net::http_response>(&result);
    return response != nullptr ? response->body : "";
}

} // namespace hibiscus::testing
