#include "hibiscus/cluster/engine_table.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

const base::engine_id engine("e1");
const base::trainer_id tagger("tagger");
const base::trainer_id auditor("auditor");

/// Returns a status with `admitted` streams of the tagger.
wire::engine_status make_status(int admitted) {
    wire::engine_status status;
    status.engine = engine;
    status.admitted = admitted;
    status.healthy = true;
    status.streams = {{tagger, admitted}};
    return status;
}

engine_table make_table_with_one_engine() {
    wire::instance instance;
    instance.id = engine.str();
    instance.role = wire::instance_role::engine;
    engine_table table;
    table.update_instances({{instance}});
    return table;
}

TEST(engine_table_test, placements_count_until_the_next_status) {
    auto table = make_table_with_one_engine();
    table.update_status(1, make_status(3));
    table.note_placed(engine, tagger);
    table.note_placed(engine, auditor);
    EXPECT_EQ(table.find(engine)->estimated_load(), 5);
    EXPECT_EQ(table.find(engine)->estimated_load_of(tagger), 4);
    table.update_status(2, make_status(4));
    EXPECT_EQ(table.find(engine)->estimated_load(), 4);
}

// Streams end between two statuses. If they were counted until the next status,
// engine slots would stay idle while the trainer waits.
TEST(engine_table_test, an_ended_stream_is_not_counted_before_the_next_status) {
    auto table = make_table_with_one_engine();
    table.update_status(1, make_status(3));
    table.note_ended(engine, tagger);
    EXPECT_EQ(table.find(engine)->estimated_load(), 2);
}

TEST(engine_table_test, a_repeated_end_does_not_make_the_load_negative) {
    auto table = make_table_with_one_engine();
    table.update_status(1, make_status(1));
    table.note_ended(engine, tagger);
    table.note_ended(engine, tagger);
    EXPECT_EQ(table.find(engine)->estimated_load(), 0);
}

} // namespace
} // namespace hibiscus::cluster
