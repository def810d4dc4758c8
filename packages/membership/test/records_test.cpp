#include "hibiscus/membership/records.hpp"
#include "support/fuzz.hpp"

#include <gtest/gtest.h>

namespace hibiscus::membership {

namespace {

node_renewal make_node() {
    node_renewal r;
    r.entry = {
        {"10.0.0.1", 1}, {"10.0.0.1", 2}, base::zone_id("z"), true, 0.12, 984};
    r.true_time = 1234567890123;
    r.entry.demands["app"] = {{1.25, 0.5}, 0.9, 3, 7, 1.5};
    return r;
}

fleet_status make_status() {
    fleet_status s;
    s.publisher = "n1";
    s.sequence = 7;
    s.source = view_source::registrations;
    s.nodes = 984;
    s.servers[samplers::service_name("app")][base::zone_id("z")] = 732;
    s.true_times["n2"] = 1234567890123;
    s.levels["app"] = {18, {30, 4}, 1.5, {0.3, admission::unlimited}};
    return s;
}

samplers::registration make_server() {
    samplers::registration r;
    r.service = samplers::service_name("llm");
    r.address = {"10.1.0.1", 80};
    r.zone = base::zone_id("z");
    r.slots = 6;
    r.draining = true;
    r.spot = true;
    r.started_ms = 1234567890123;
    r.versions["m"] = 5;
    return r;
}

TEST(records_test, nodes_keep_all_fields) {
    const auto decoded = decode_node(encode_node(make_node()));
    ASSERT_TRUE(decoded);
    const auto& e = decoded->entry;
    EXPECT_EQ(to_string(e.caller_address), "10.0.0.1:1");
    EXPECT_EQ(to_string(e.peer_address), "10.0.0.1:2");
    EXPECT_EQ(e.zone.str(), "z");
    EXPECT_TRUE(e.stopping);
    EXPECT_EQ(e.cpu_share, 0.12);
    EXPECT_EQ(e.renewal_ms, 984);
    EXPECT_EQ(decoded->true_time, 1234567890123);
    const auto& d = e.demands.at("app");
    EXPECT_EQ(d.slots.callers, 1.25);
    EXPECT_EQ(d.slots.rewards, 0.5);
    EXPECT_EQ(d.room_factor, 0.9);
    EXPECT_EQ(d.weight, 3);
    EXPECT_EQ(d.in_flight, 7);
    EXPECT_EQ(d.served, 1.5);
}

TEST(records_test, demands_are_bounded_and_absent_if_nothing_is_used) {
    node_renewal r = make_node();
    r.entry.demands.clear();
    const auto without = encode_node(r);
    EXPECT_TRUE(decode_node(without)->entry.demands.empty());
    for (int n = 0; n < 100; ++n) {
        r.entry.demands["service-" + std::to_string(n)] = {};
    }
    const auto with_demands = encode_node(r);
    EXPECT_EQ(decode_node(with_demands)->entry.demands.size(), max_demands);
    EXPECT_LE(with_demands.size() - without.size(), max_demands * 40);
}

TEST(records_test, status_keeps_the_shares) {
    const auto status = decode_status(encode_status(make_status()));
    ASSERT_TRUE(status);
    const auto& l = status->levels.at("app");
    EXPECT_EQ(l.room, 18);
    EXPECT_EQ(l.demand.callers, 30);
    EXPECT_EQ(l.load, 1.5);
    EXPECT_EQ(l.level.callers, 0.3);
    EXPECT_EQ(l.level.rewards, admission::unlimited);
}

TEST(records_test, listed_nodes_keep_their_addresses_zone_and_size) {
    const auto node = decode_listed_node(encode_listed_node(make_node().entry));
    ASSERT_TRUE(node);
    EXPECT_EQ(to_string(node->caller_address), "10.0.0.1:1");
    EXPECT_EQ(to_string(node->peer_address), "10.0.0.1:2");
    EXPECT_EQ(node->zone.str(), "z");
    EXPECT_EQ(node->cpu_share, 0.12);
}

TEST(records_test, the_status_keeps_all_fields) {
    const auto decoded = decode_status(encode_status(make_status()));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->publisher, "n1");
    EXPECT_EQ(decoded->sequence, 7);
    EXPECT_EQ(decoded->source, view_source::registrations);
    EXPECT_EQ(decoded->nodes, 984);
    EXPECT_EQ(decoded->servers, make_status().servers);
    EXPECT_EQ(decoded->true_times, make_status().true_times);
}

TEST(records_test, servers_keep_all_fields_but_the_versions) {
    const auto decoded = decode_server(encode_server(make_server()));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->service.str(), "llm");
    EXPECT_EQ(to_string(decoded->address), "10.1.0.1:80");
    EXPECT_EQ(decoded->zone.str(), "z");
    EXPECT_EQ(decoded->slots, 6);
    EXPECT_TRUE(decoded->draining);
    EXPECT_TRUE(decoded->spot);
    EXPECT_EQ(decoded->started_ms, 1234567890123);
    EXPECT_EQ(decoded->versions.count("m"), 1U);
}

// Weights change every few seconds on thousands of servers. If that changed
// the record, each change would be read by all nodes.
TEST(records_test, a_new_version_does_not_change_the_record) {
    auto newer = make_server();
    newer.versions["m"] = 6;
    EXPECT_EQ(encode_server(newer), encode_server(make_server()));
}

TEST(records_test, a_configuration_is_compressed_without_loss) {
    std::string text;
    for (int n = 0; n < 250; ++n) {
        text += R"({"name":"route)" + std::to_string(n) + R"(","attempts":3})";
    }
    const auto bytes = compress(text);
    EXPECT_LT(bytes.size(), text.size() / 4);
    EXPECT_EQ(decompress(bytes), text);
    EXPECT_EQ(decompress(compress("")), "");
}

// A record of another writer must not stop a node.
TEST(records_test, fuzz_damaged_records_are_decoded_or_rejected) {
    testing::fuzz("damaged records", 300, [](const auto& commands) {
        for (auto record :
             {encode_node(make_node()), encode_listed_node(make_node().entry),
              encode_status(make_status()), compress("configuration"),
              encode_server(make_server())}) {
            for (const auto& c : commands) {
                const auto position =
                    static_cast<std::size_t>(c.a) % (record.size() + 1);
                if (c.kind < 20) {
                    record.resize(position);
                } else if (position < record.size()) {
                    record[position] = static_cast<char>(c.b);
                }
                decode_node(record);
                decode_listed_node(record);
                decode_status(record);
                decode_server(record);
                decompress(record);
            }
        }
        return std::string();
    });
}

} // namespace

} // namespace hibiscus::membership
