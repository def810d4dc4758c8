#include "full_tables.hpp"

#include "hibiscus/cluster/engine_table.hpp"
#include "hibiscus/cluster/member_table.hpp"
#include "hibiscus/cluster/step_coordinator.hpp"
#include "hibiscus/document/config_state_machine.hpp"
#include "hibiscus/policy/placement.hpp"
#include "hibiscus/wire/codec.hpp"

#include <malloc.h>
#include <unistd.h>

#include <chrono>
#include <ctime>
#include <fstream>
#include <sstream>

namespace hibiscus::testing {

namespace {

constexpr int engine_count = 12000;
constexpr int node_count = 890;
constexpr int slot_count = 47104;
constexpr int trainer_count = 23;
constexpr int publish_count = 17000;
constexpr int engines_per_heartbeat = 14;

/// Measures processor time and memory growth of this process since its
/// construction.
class resource_meter {
public:
    /// Returns the processor time since the construction in milliseconds.
    double cpu_ms() const {
        return 1000.0 * static_cast<double>(std::clock() - start_time_) /
               CLOCKS_PER_SEC;
    }

    /// Returns the growth of the resident memory since the construction in
    /// megabytes.
    double memory_growth_mb() const {
        return (resident_bytes(getpid()) - initial_bytes_) / 1e6;
    }

private:
    // Returns freed memory to the kernel first. Otherwise a table would reuse
    // memory that earlier ones freed and its growth would be underestimated.
    [[maybe_unused]] int trim_result_ = malloc_trim(0);
    double initial_bytes_ = resident_bytes(getpid());
    std::clock_t start_time_ = std::clock();
};

wire::engine_status make_engine_status(int number) {
    return {base::engine_id("engine-" + std::to_string(number)),
            7,
            8,
            true,
            {{base::trainer_id("trainer-1"), 100},
             {base::trainer_id("trainer-2"), 100}},
            true,
            {{base::trainer_id("trainer-1"), 4},
             {base::trainer_id("trainer-2"), 3}}};
}

wire::heartbeat make_heartbeat(int node, int engines) {
    wire::heartbeat heartbeat;
    heartbeat.node = base::node_id("node-" + std::to_string(node));
    heartbeat.incarnation = 1790000000000;
    heartbeat.zone = base::zone_id("zone-1");
    heartbeat.address = "10.10.100.100:8080";
    heartbeat.peer_address = "10.10.100.100:8081";
    heartbeat.state = wire::node_state::ready;
    heartbeat.revision = 17000;
    for (int i = 0; i < trainer_count; ++i) {
        heartbeat.versions.push_back(
            {base::trainer_id("trainer-" + std::to_string(i)), 100});
    }
    for (int i = 0; i < engines; ++i) {
        heartbeat.engines.push_back(
            make_engine_status(node * engines_per_heartbeat + i));
    }
    return heartbeat;
}

/// Returns an instance list with `engine_count` engines.
wire::instance_list make_full_instance_list() {
    wire::instance_list list;
    for (int i = 0; i < engine_count; ++i) {
        list.instances.push_back(
            {"engine-" + std::to_string(i), wire::instance_role::engine,
             wire::instance_state::live, "pool-1", base::zone_id("zone-1"),
             "10.20.100.100:9000", ""});
    }
    return list;
}

void fill_engines(std::vector<measurement>& measurements) {
    const auto list = make_full_instance_list();
    cluster::engine_table table;
    const std::string size = std::to_string(engine_count) + " engines";
    const resource_meter fill_meter;
    table.update_instances(list);
    for (int i = 0; i < engine_count; ++i) {
        table.update_status(1, make_engine_status(i));
    }
    measurements.push_back(
        {"engine table, fill", size, fill_meter.cpu_ms(), "ms"});
    measurements.push_back(
        {"engine table, memory", size, fill_meter.memory_growth_mb(), "MB"});
    const resource_meter update_meter;
    table.update_instances(list);
    measurements.push_back(
        {"engine table, one list", size, update_meter.cpu_ms(), "ms"});
    const auto text = wire::to_json(list);
    const resource_meter parse_meter;
    const auto parsed = wire::from_json<wire::instance_list>(text);
    measurements.push_back(
        {"instance list, reading", size,
         base::value_if(parsed) != nullptr ? parse_meter.cpu_ms() : 0, "ms"});
    measurements.push_back(
        {"instance list", size, static_cast<double>(text.size()), "bytes"});
    constexpr int placement_count = 100;
    std::mt19937_64 random(1);
    policy::placement_policy placement_policy = policy::prefix_affinity{};
    const resource_meter placement_meter;
    for (int i = 0; i < placement_count; ++i) {
        std::vector<policy::engine_candidate> candidates;
        for (const auto* row :
             table.placement_candidates(base::pool_id("pool-1"))) {
            candidates.push_back({row->id, row->estimated_load(), 16});
        }
        policy::choose_engine(placement_policy, candidates, std::to_string(i),
                              random);
    }
    measurements.push_back({"one placement, scan of the pool", size,
                            placement_meter.cpu_ms() / placement_count, "ms"});
}

void fill_steps(std::vector<measurement>& measurements) {
    const std::string size = std::to_string(slot_count) + " slots";
    const resource_meter fill_meter;
    cluster::step_coordinator coordinator(
        base::node_id("n"), {},
        [](const cluster::placement_query&) {
            return cluster::placement{base::engine_id("engine-1"), 0};
        },
        [](const base::trainer_id&) { return 1; });
    for (int trainer = 0; trainer < trainer_count; ++trainer) {
        wire::step_request request;
        request.version = 1;
        for (int group = 0; group < slot_count / trainer_count / 8; ++group) {
            request.groups.push_back({std::string(200, 'p'), 8, 600});
        }
        coordinator.open_step(
            1, {base::trainer_id("trainer-" + std::to_string(trainer)), 1,
                std::move(request)});
    }
    measurements.push_back({"steps, opening", size, fill_meter.cpu_ms(), "ms"});
    const resource_meter placement_meter;
    coordinator.tick(2);
    coordinator.take_effects();
    measurements.push_back(
        {"steps, placing all", size, placement_meter.cpu_ms(), "ms"});
    constexpr int tick_count = 20;
    const resource_meter tick_meter;
    for (int i = 0; i < tick_count; ++i) {
        coordinator.tick(3 + i);
    }
    measurements.push_back({"steps, one tick with nothing to do", size,
                            tick_meter.cpu_ms() / tick_count, "ms"});
    measurements.push_back(
        {"steps, memory", size, fill_meter.memory_growth_mb(), "MB"});
}

std::string make_document_text(int trainers, int publish) {
    std::string text = R"({"schema":1,"owners":[{"name":"o"}],)"
                       R"("pools":[{"name":"p","owner":"o"}],"trainers":[)";
    for (int i = 0; i < trainers; ++i) {
        text += (i == 0 ? "" : ",");
        text += R"({"name":"trainer-)" + std::to_string(i) +
                R"(","owner":"o","pool":"p","weight":)" +
                std::to_string(1 + publish % 7) + "}";
    }
    return text + "]}";
}

void fill_config(std::vector<measurement>& measurements) {
    const std::string size = std::to_string(publish_count) + " changes";
    measurements.push_back(
        {"document", std::to_string(trainer_count) + " trainers",
         static_cast<double>(make_document_text(trainer_count, 0).size()),
         "bytes"});
    const resource_meter apply_meter;
    document::config_state_machine state_machine;
    wire::log_offset base = 0;
    for (int i = 0; i < publish_count; ++i) {
        wire::config_record record;
        record.schema = 1;
        record.publish_id = "publish-" + std::to_string(i);
        record.base = base;
        record.document = make_document_text(trainer_count, i);
        state_machine.apply(i, record);
        base = state_machine.in_force() != nullptr
                   ? state_machine.in_force()->number
                   : 0;
    }
    const bool all_accepted =
        state_machine.in_force() != nullptr &&
        state_machine.in_force()->number >= publish_count - 1;
    measurements.push_back(
        {all_accepted ? "config fold" : "config fold, refused", size,
         apply_meter.cpu_ms(), "ms"});
    measurements.push_back(
        {"config fold, memory", size, apply_meter.memory_growth_mb(), "MB"});
}

void fill_members(std::vector<measurement>& measurements) {
    const std::string size = std::to_string(node_count) + " nodes";
    const resource_meter fill_meter;
    cluster::member_table members(base::node_id("node-0"), 2000);
    for (int i = 0; i < node_count; ++i) {
        members.record_heartbeat(1, make_heartbeat(i, engines_per_heartbeat));
    }
    measurements.push_back(
        {"members, first beat of each", size, fill_meter.cpu_ms(), "ms"});
    measurements.push_back(
        {"members, memory", size, fill_meter.memory_growth_mb(), "MB"});
    constexpr int key_count = 1000;
    const resource_meter hash_meter;
    for (int i = 0; i < key_count; ++i) {
        members.home_of("engine/engine-" + std::to_string(i));
    }
    measurements.push_back(
        {"rendezvous, one key", size, hash_meter.cpu_ms() / key_count, "ms"});
    const resource_meter update_meter;
    for (int i = 0; i < node_count; ++i) {
        members.record_heartbeat(2, make_heartbeat(i, engines_per_heartbeat));
    }
    measurements.push_back(
        {"members, a beat of each", size, update_meter.cpu_ms(), "ms"});
}

} // namespace

double resident_bytes(int pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double cpu_time_ms(int pid) {
    std::ifstream stat_file("/proc/" + std::to_string(pid) + "/stat");
    std::string stat_line;
    std::getline(stat_file, stat_line);
    // The process name in parentheses may contain spaces. User and system time
    // are the 12th and 13th fields after it.
    std::istringstream fields(stat_line.substr(stat_line.rfind(')') + 1));
    std::string skipped_field;
    for (int i = 0; i < 11; ++i) {
        fields >> skipped_field;
    }
    double user = 0;
    double kernel = 0;
    fields >> user >> kernel;
    return 1000.0 * (user + kernel) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::vector<measurement> measure_heartbeats() {
    std::vector<measurement> measurements;
    for (const int engines : {0, 1, 2, 4, 8, 14, 28}) {
        const auto bytes = wire::to_cbor(make_heartbeat(1, engines)).size();
        measurements.push_back({"heartbeat",
                                std::to_string(engines) + " engines",
                                static_cast<double>(bytes), "bytes"});
    }
    auto empty_heartbeat = make_heartbeat(1, 0);
    empty_heartbeat.versions.clear();
    measurements.push_back(
        {"heartbeat", "no engines, no trainers",
         static_cast<double>(wire::to_cbor(empty_heartbeat).size()), "bytes"});
    constexpr int repetitions = 200;
    const resource_meter encode_meter;
    std::size_t checksum = 0;
    for (int i = 0; i < repetitions; ++i) {
        checksum +=
            wire::to_cbor(make_heartbeat(i, engines_per_heartbeat)).size();
    }
    measurements.push_back(
        {"heartbeat, making and encoding",
         std::to_string(engines_per_heartbeat) + " engines",
         checksum > 0 ? encode_meter.cpu_ms() / repetitions : 0, "ms"});
    const auto bytes = wire::to_cbor(make_heartbeat(1, engines_per_heartbeat));
    const resource_meter decode_meter;
    for (int i = 0; i < repetitions; ++i) {
        const auto parsed = wire::from_cbor(bytes);
        checksum += base::value_if(parsed) != nullptr ? 1 : 0;
    }
    measurements.push_back(
        {"heartbeat, decoding",
         std::to_string(engines_per_heartbeat) + " engines",
         checksum > 0 ? decode_meter.cpu_ms() / repetitions : 0, "ms"});
    return measurements;
}

std::vector<measurement> measure_full_tables() {
    std::vector<measurement> measurements;
    fill_engines(measurements);
    fill_steps(measurements);
    fill_config(measurements);
    fill_members(measurements);
    return measurements;
}

} // namespace hibiscus::testing
