#include "hibiscus/batch/retention.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace hibiscus::batch {

namespace {

constexpr base::millis keep_ms = 1000;

class retention_test : public ::testing::Test {
protected:
    void put(const journal_key& key, const std::string& value) {
        ledger_.apply({format_key(key), value});
    }

    void accept(const char* id) {
        job_header h;
        h.id = job_id(id);
        h.item_count = 2;
        put(header_key{h.id}, encode(h));
    }

    std::optional<job_id> expired() const {
        return find_expired_job(ledger_, base::clock(time_).now(), keep_ms);
    }

    std::shared_ptr<base::manual_time> time_ =
        std::make_shared<base::manual_time>();
    job_table ledger_{base::clock(time_)};
};

TEST_F(retention_test, an_ended_job_goes_once_its_time_is_over) {
    time_->advance(1);
    accept("a");
    put(end_key{job_id("a")}, "1");
    time_->advance(keep_ms);
    EXPECT_FALSE(expired());
    time_->advance(1);
    EXPECT_EQ(expired(), job_id("a"));
}

TEST_F(retention_test, an_open_job_stays_whatever_its_age) {
    // A trainer is away for an hour. When it is back it reads on where it
    // stopped; with its records gone its step would be lost.
    time_->advance(1);
    accept("a");
    time_->advance(3600 * 1000);
    EXPECT_FALSE(expired());
}

TEST_F(retention_test, an_end_without_a_job_holds_up_no_other_job) {
    // Guards against a store that fills up behind an end without its job.
    time_->advance(1);
    put(end_key{job_id("a")}, "1");
    accept("b");
    put(end_key{job_id("b")}, "1");
    time_->advance(keep_ms + 1);
    EXPECT_EQ(expired(), job_id("b"));
}

TEST_F(retention_test, nothing_of_an_erased_job_is_left_in_the_journal) {
    accept("a");
    result_commit l;
    l.texts_name = "t";
    l.rows = {{0, {}}, {1, {}}};
    put(commit_key{job_id("a"), 0}, encode(l));
    put(end_key{job_id("a")}, "1");
    for (const auto& r :
         make_journal_erasures(job_id("a"), *ledger_.find(job_id("a")))) {
        EXPECT_TRUE(r.value.empty());
        ledger_.apply({r.key, std::nullopt});
    }
    EXPECT_TRUE(ledger_.jobs().empty());
    EXPECT_EQ(ledger_.unreadable_records(), 0U);
}

} // namespace

} // namespace hibiscus::batch
