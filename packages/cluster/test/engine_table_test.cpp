#include "hibiscus/cluster/engine_table.hpp"

#include <gtest/gtest.h>

namespace hibiscus::cluster {
namespace {

const base::engine_id engine("e1");
const base::trainer_id tagger("tagger");
const base::trainer_id auditor("auditor");

/// Returns a digest with `admitted` streams of the tagger.
wire::engine_status digest(int admitted) {
    wire::engine_status d;
    d.engine = engine;
    d.admitted = admitted;
    d.healthy = true;
    d.streams = {{tagger, admitted}};
    return d;
}

/// Returns a table with one engine.
engine_table one_engine() {
    wire::instance row;
    row.id = engine.str();
    row.role = wire::instance_role::engine;
    engine_table table;
    table.update_instances({{row}});
    return table;
}

TEST(engine_table_test, placements_count_until_the_next_digest) {
    auto table = one_engine();
    table.update_status(1, digest(3));
    table.note_placed(engine, tagger);
    table.note_placed(engine, auditor);
    EXPECT_EQ(table.find(engine)->estimated_load(), 5);
    EXPECT_EQ(table.find(engine)->estimated_load_of(tagger), 4);
    table.update_status(2, digest(4));
    EXPECT_EQ(table.find(engine)->estimated_load(), 4);
}

// Streams end between two digests. If their places looked taken until the
// next one, slots would stand idle and the trainer would wait for nothing.
TEST(engine_table_test, an_end_frees_its_place_before_the_next_digest) {
    auto table = one_engine();
    table.update_status(1, digest(3));
    table.note_ended(engine, tagger);
    EXPECT_EQ(table.find(engine)->estimated_load(), 2);
}

TEST(engine_table_test, an_end_that_is_told_twice_frees_no_more_than_there_is) {
    auto table = one_engine();
    table.update_status(1, digest(1));
    table.note_ended(engine, tagger);
    table.note_ended(engine, tagger);
    EXPECT_EQ(table.find(engine)->estimated_load(), 0);
}

} // namespace
} // namespace hibiscus::cluster
