#include "hibiscus/samplers/sampler_table.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace hibiscus::samplers {

namespace {

class sampler_table_test : public testing::Test {
protected:
    sampler_table_test() { table_.put(server_, {}); }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    sampler_table table_{base::clock(time_)};
    sampler_id server_{"a"};
};

// Guards against more runs than slots at a server that is listed again while
// earlier runs are still in flight there.
TEST_F(sampler_table_test, runs_at_a_server_that_is_listed_again_still_count) {
    table_.on_request_started(server_, 100);
    table_.on_request_started(server_, 200);
    table_.on_request_started(server_, 400);
    table_.remove(server_);
    table_.on_request_ended(server_, 100);
    table_.put(server_, {});
    EXPECT_EQ(table_.find(server_)->in_flight, 2);
    EXPECT_EQ(table_.find(server_)->reserved_tokens, 600);
    table_.mark_unlisted(server_);
    table_.remove_unlisted();
    table_.on_request_ended(server_, 200);
    table_.on_request_ended(server_, 400);
    table_.put(server_, {});
    EXPECT_EQ(table_.find(server_)->in_flight, 0);
    EXPECT_EQ(table_.find(server_)->reserved_tokens, 0);
}

} // namespace

} // namespace hibiscus::samplers
