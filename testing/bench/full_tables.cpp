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
constexpr int change_count = 17000;
constexpr int digests_per_heartbeat = 14;

/// Tells processor time and memory between its construction and a question.
class resource_meter {
public:
    /// Returns the processor time of this process in milliseconds.
    double cpu_ms() const {
        return 1000.0 * static_cast<double>(std::clock() - start_time_) /
               CLOCKS_PER_SEC;
    }

    /// Returns the growth of this process's memory in megabytes.
    double memory_growth_mb() const {
        return (resident_bytes(getpid()) - initial_bytes_) / 1e6;
    }

private:
    // A fill would otherwise grow into memory that earlier ones freed and
    // seem to take none.
    [[maybe_unused]] int trimmed_ = malloc_trim(0);
    double initial_bytes_ = resident_bytes(getpid());
    std::clock_t start_time_ = std::clock();
};

wire::engine_status make_digest(int number) {
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
    wire::heartbeat beat;
    beat.node = base::node_id("node-" + std::to_string(node));
    beat.incarnation = 1790000000000;
    beat.zone = base::zone_id("zone-1");
    beat.address = "10.10.100.100:8080";
    beat.peer_address = "10.10.100.100:8081";
    beat.state = wire::node_state::ready;
    beat.revision = 17000;
    for (int i = 0; i < trainer_count; ++i) {
        beat.versions.push_back(
            {base::trainer_id("trainer-" + std::to_string(i)), 100});
    }
    for (int i = 0; i < engines; ++i) {
        beat.engines.push_back(make_digest(node * digests_per_heartbeat + i));
    }
    return beat;
}

/// Returns a list of 12,000 engines.
wire::instance_list make_full_instance_page() {
    wire::instance_list page;
    for (int i = 0; i < engine_count; ++i) {
        page.instances.push_back(
            {"engine-" + std::to_string(i), wire::instance_role::engine,
             wire::instance_state::live, "pool-1", base::zone_id("zone-1"),
             "10.20.100.100:9000", ""});
    }
    return page;
}

void fill_engines(std::vector<measurement>& all) {
    const auto page = make_full_instance_page();
    cluster::engine_table table;
    const std::string size = std::to_string(engine_count) + " engines";
    const resource_meter filling;
    table.update_instances(page);
    for (int i = 0; i < engine_count; ++i) {
        table.update_status(1, make_digest(i));
    }
    all.push_back({"engine table, fill", size, filling.cpu_ms(), "ms"});
    all.push_back(
        {"engine table, memory", size, filling.memory_growth_mb(), "MB"});
    const resource_meter updating;
    table.update_instances(page);
    all.push_back({"engine table, one list", size, updating.cpu_ms(), "ms"});
    const auto text = wire::to_json(page);
    const resource_meter reading;
    const auto read = wire::from_json<wire::instance_list>(text);
    all.push_back({"instance list, reading", size,
                   base::value_if(read) != nullptr ? reading.cpu_ms() : 0,
                   "ms"});
    all.push_back(
        {"instance list", size, static_cast<double>(text.size()), "bytes"});
    constexpr int choices = 100;
    std::mt19937_64 random(1);
    policy::placement_policy placement = policy::prefix_affinity{};
    const resource_meter choosing;
    for (int i = 0; i < choices; ++i) {
        std::vector<policy::engine_candidate> open;
        for (const auto* row :
             table.placement_candidates(base::pool_id("pool-1"))) {
            open.push_back({row->id, row->estimated_load(), 16});
        }
        policy::choose_engine(placement, open, std::to_string(i), random);
    }
    all.push_back({"one placement, scan of the pool", size,
                   choosing.cpu_ms() / choices, "ms"});
}

void fill_steps(std::vector<measurement>& all) {
    const std::string size = std::to_string(slot_count) + " slots";
    const resource_meter filling;
    cluster::step_coordinator home(
        base::node_id("n"), {},
        [](const cluster::placement_query&) {
            return cluster::placement{base::engine_id("engine-1"), 0};
        },
        [](const base::trainer_id&) { return 1; });
    for (int t = 0; t < trainer_count; ++t) {
        wire::step_request request;
        request.version = 1;
        for (int g = 0; g < slot_count / trainer_count / 8; ++g) {
            request.groups.push_back({std::string(200, 'p'), 8, 600});
        }
        home.open_step(1, {base::trainer_id("trainer-" + std::to_string(t)), 1,
                           std::move(request)});
    }
    all.push_back({"steps, opening", size, filling.cpu_ms(), "ms"});
    const resource_meter placing;
    home.tick(2);
    home.take_effects();
    all.push_back({"steps, placing all", size, placing.cpu_ms(), "ms"});
    constexpr int ticks = 20;
    const resource_meter ticking;
    for (int i = 0; i < ticks; ++i) {
        home.tick(3 + i);
    }
    all.push_back({"steps, one tick with nothing to do", size,
                   ticking.cpu_ms() / ticks, "ms"});
    all.push_back({"steps, memory", size, filling.memory_growth_mb(), "MB"});
}

std::string make_document_text(int trainers, int change) {
    std::string text = R"({"schema":1,"owners":[{"name":"o"}],)"
                       R"("pools":[{"name":"p","owner":"o"}],"trainers":[)";
    for (int i = 0; i < trainers; ++i) {
        text += (i == 0 ? "" : ",");
        text += R"({"name":"trainer-)" + std::to_string(i) +
                R"(","owner":"o","pool":"p","weight":)" +
                std::to_string(1 + change % 7) + "}";
    }
    return text + "]}";
}

void fill_config(std::vector<measurement>& all) {
    const std::string size = std::to_string(change_count) + " changes";
    all.push_back(
        {"document", std::to_string(trainer_count) + " trainers",
         static_cast<double>(make_document_text(trainer_count, 0).size()),
         "bytes"});
    const resource_meter folding;
    document::config_state_machine fold;
    wire::log_offset base = 0;
    for (int i = 0; i < change_count; ++i) {
        wire::config_record record;
        record.schema = 1;
        record.publish_id = "publish-" + std::to_string(i);
        record.base = base;
        record.document = make_document_text(trainer_count, i);
        fold.apply(i, record);
        base = fold.in_force() != nullptr ? fold.in_force()->number : 0;
    }
    const bool kept = fold.in_force() != nullptr &&
                      fold.in_force()->number >= change_count - 1;
    all.push_back({kept ? "config fold" : "config fold, refused", size,
                   folding.cpu_ms(), "ms"});
    all.push_back(
        {"config fold, memory", size, folding.memory_growth_mb(), "MB"});
}

void fill_members(std::vector<measurement>& all) {
    const std::string size = std::to_string(node_count) + " nodes";
    const resource_meter filling;
    cluster::member_table members(base::node_id("node-0"), 2000);
    for (int i = 0; i < node_count; ++i) {
        members.record_heartbeat(1, make_heartbeat(i, digests_per_heartbeat));
    }
    all.push_back(
        {"members, first beat of each", size, filling.cpu_ms(), "ms"});
    all.push_back({"members, memory", size, filling.memory_growth_mb(), "MB"});
    constexpr int keys = 1000;
    const resource_meter hashing;
    for (int i = 0; i < keys; ++i) {
        members.home_of("engine/engine-" + std::to_string(i));
    }
    all.push_back({"rendezvous, one key", size, hashing.cpu_ms() / keys, "ms"});
    const resource_meter hearing;
    for (int i = 0; i < node_count; ++i) {
        members.record_heartbeat(2, make_heartbeat(i, digests_per_heartbeat));
    }
    all.push_back({"members, a beat of each", size, hearing.cpu_ms(), "ms"});
}

} // namespace

double resident_bytes(int id) {
    std::ifstream file("/proc/" + std::to_string(id) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double cpu_time_ms(int id) {
    std::ifstream file("/proc/" + std::to_string(id) + "/stat");
    std::string text;
    std::getline(file, text);
    // The name in parentheses may hold spaces; user and system time are the
    // 12th and 13th words after it.
    std::istringstream words(text.substr(text.rfind(')') + 1));
    std::string word;
    for (int i = 0; i < 11; ++i) {
        words >> word;
    }
    double user = 0;
    double kernel = 0;
    words >> user >> kernel;
    return 1000.0 * (user + kernel) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::vector<measurement> measure_heartbeats() {
    std::vector<measurement> all;
    for (const int engines : {0, 1, 2, 4, 8, 14, 28}) {
        const auto bytes = wire::to_cbor(make_heartbeat(1, engines)).size();
        all.push_back({"heartbeat", std::to_string(engines) + " engines",
                       static_cast<double>(bytes), "bytes"});
    }
    auto bare = make_heartbeat(1, 0);
    bare.versions.clear();
    all.push_back({"heartbeat", "no engines, no trainers",
                   static_cast<double>(wire::to_cbor(bare).size()), "bytes"});
    constexpr int repeats = 200;
    const resource_meter encoding;
    std::size_t total = 0;
    for (int i = 0; i < repeats; ++i) {
        total += wire::to_cbor(make_heartbeat(i, digests_per_heartbeat)).size();
    }
    all.push_back({"heartbeat, making and encoding",
                   std::to_string(digests_per_heartbeat) + " engines",
                   total > 0 ? encoding.cpu_ms() / repeats : 0, "ms"});
    const auto bytes = wire::to_cbor(make_heartbeat(1, digests_per_heartbeat));
    const resource_meter decoding;
    for (int i = 0; i < repeats; ++i) {
        const auto read = wire::from_cbor(bytes);
        total += base::value_if(read) != nullptr ? 1 : 0;
    }
    all.push_back({"heartbeat, decoding",
                   std::to_string(digests_per_heartbeat) + " engines",
                   total > 0 ? decoding.cpu_ms() / repeats : 0, "ms"});
    return all;
}

std::vector<measurement> measure_full_tables() {
    std::vector<measurement> all;
    fill_engines(all);
    fill_steps(all);
    fill_config(all);
    fill_members(all);
    return all;
}

} // namespace hibiscus::testing
