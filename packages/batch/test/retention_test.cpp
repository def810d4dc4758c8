#include "hibiscus/batch/retention.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace hibiscus::batch {

namespace {

constexpr base::millis retention_ms = 1000;

class retention_test : public ::testing::Test {
protected:
    void put(const journal_key& key, const std::string& value) {
        jobs_.apply({format_key(key), value});
    }

    void add_job(const char* id) {
        job_header h;
        h.id = job_id(id);
        h.item_count = 2;
        put(header_key{h.id}, encode(h));
    }

    std::optional<job_id> find_expired() const {
        return find_expired_job(jobs_, base::clock(time_).now(), retention_ms);
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    job_table jobs_{base::clock(time_)};
};

TEST_F(retention_test, an_ended_job_expires_after_the_retention_time) {
    time_->advance(1);
    add_job("a");
    put(end_key{job_id("a")}, "1");
    time_->advance(retention_ms);
    EXPECT_FALSE(find_expired());
    time_->advance(1);
    EXPECT_EQ(find_expired(), job_id("a"));
}

TEST_F(retention_test, an_open_job_never_expires) {
    // A trainer that was disconnected for an hour continues to read where it
    // stopped. If the records were erased, its step would be lost.
    time_->advance(1);
    add_job("a");
    time_->advance(3600 * 1000);
    EXPECT_FALSE(find_expired());
}

TEST_F(retention_test, an_end_record_without_a_job_does_not_block_others) {
    // Guards against a store that fills up because an end record whose header
    // is missing blocks all other erasures.
    time_->advance(1);
    put(end_key{job_id("a")}, "1");
    add_job("b");
    put(end_key{job_id("b")}, "1");
    time_->advance(retention_ms + 1);
    EXPECT_EQ(find_expired(), job_id("b"));
}

TEST_F(retention_test, erasures_leave_nothing_of_a_job_in_the_journal) {
    add_job("a");
    result_commit commit;
    commit.texts_name = "t";
    commit.rows = {{0, {}}, {1, {}}};
    put(commit_key{job_id("a"), 0}, encode(commit));
    put(end_key{job_id("a")}, "1");
    for (const auto& r :
         make_journal_erasures(job_id("a"), *jobs_.find(job_id("a")))) {
        EXPECT_TRUE(r.value.empty());
        jobs_.apply({r.key, std::nullopt});
    }
    EXPECT_TRUE(jobs_.jobs().empty());
    EXPECT_EQ(jobs_.unreadable_records(), 0U);
}

} // namespace

} // namespace hibiscus::batch
