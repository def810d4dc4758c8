#include "batch_node.hpp"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace hibiscus::entry {

namespace {

const batch::job_id test_job_id("j");

class batch_api_test : public ::testing::Test {
protected:
    batch_api_test() { time_.run_for(500); }

    static batch::job make_job(int items) {
        batch::job job;
        job.header.id = test_job_id;
        for (int n = 0; n < items; ++n) {
            batch::item item;
            item.id = batch::item_id("i" + std::to_string(n));
            item.body = "body " + std::to_string(n);
            job.items.push_back(std::move(item));
        }
        return job;
    }

    /// Stores a job with `items` items of which only the first `stored_items`
    /// are in the store.
    void store_partial_job(int items, int stored_items) {
        auto job = make_job(items);
        auto header = job.header;
        job.items.resize(static_cast<std::size_t>(stored_items));
        const auto chunks =
            batch::split_into_chunks(header, std::move(job.items), 1024);
        const job_store job_records(
            log_store_, node_.state().settings.partitions_per_topic, {});
        job_records.append_items(test_job_id, chunks, [](const auto&) {});
        header.item_count = items;
        store_.append(batch_node::journal_partition(),
                      {{batch::format_key(batch::header_key{test_job_id}),
                        batch::encode(header)}});
        time_.run_for(500);
    }

    transport::outbound_response read_item_body(const std::string& item) {
        return call_and_wait([&](auto caller) {
            node_.api().read_item_body({test_job_id, batch::item_id(item)}, {},
                                       caller);
        });
    }

    template <class Call>
    transport::outbound_response call_and_wait(Call call) {
        transport::outbound_response response{0, {}, ""};
        call(std::make_shared<test_response_writer>(
            [&](const auto& r) { response = r; }));
        time_.run_for(3000);
        return response;
    }

    testing::virtual_scheduler time_;
    testing::simulated_store store_{time_, 1};
    std::shared_ptr<const bool> alive_ = std::make_shared<bool>(true);
    store::log_store log_store_ = store_.client(alive_);
    batch_node node_{store_, time_, "n", "s"};
};

TEST_F(batch_api_test, item_is_not_found_only_if_all_items_were_read) {
    // Guards against a 404 for an item that could not be read.
    store_partial_job(3, 2);
    EXPECT_EQ(read_item_body("i1").body, "body 1");
    EXPECT_EQ(read_item_body("i2").status, 503);
}

TEST_F(batch_api_test, unknown_item_returns_404) {
    call_and_wait(
        [&](auto caller) { node_.api().submit(make_job(3), 1000, caller); });
    EXPECT_EQ(read_item_body("i2").body, "body 2");
    EXPECT_EQ(read_item_body("i3").status, 404);
}

TEST_F(batch_api_test, out_of_range_position_returns_no_results) {
    // Guards against nodes that crash on a position beyond the results of any
    // job.
    call_and_wait(
        [&](auto caller) { node_.api().submit(make_job(3), 1000, caller); });
    for (const auto after : {std::size_t{0xffffffff}, ~std::size_t{0}}) {
        const auto response = call_and_wait([&](auto caller) {
            node_.api().read_results({test_job_id, after, 0}, {}, caller);
        });
        ASSERT_EQ(response.status, 200);
        EXPECT_TRUE(nlohmann::json::parse(response.body).at("results").empty());
    }
}

TEST_F(batch_api_test, not_found_responses_are_counted) {
    const auto is_counted = [this](const std::string& name) {
        return node_.state().counters.serialize().find(
                   "event=\"" + name + "\"") != std::string::npos;
    };
    EXPECT_EQ(read_item_body("i0").status, 404);
    EXPECT_TRUE(is_counted("job_unknown"));
    EXPECT_FALSE(is_counted("told_job_unknown"));
    call_and_wait(
        [&](auto caller) { node_.api().submit(make_job(3), 1000, caller); });
    EXPECT_EQ(read_item_body("i3").status, 404);
    EXPECT_TRUE(is_counted("item_unknown"));
    store_.append(batch_node::journal_partition(),
                  {{batch::format_key(batch::header_key{test_job_id}), ""}});
    time_.run_for(500);
    EXPECT_EQ(read_item_body("i0").status, 404);
    EXPECT_TRUE(is_counted("told_job_unknown"));
    EXPECT_FALSE(is_counted("position_empty"));
}

TEST_F(batch_api_test, a_lost_delivered_result_is_counted) {
    call_and_wait(
        [&](auto caller) { node_.api().submit(make_job(3), 1000, caller); });
    node_.claim_or_renew(true);
    time_.run_for(500);
    node_.commit_results(
        {{test_job_id, 0, {batch::item_id("i0"), {}, "t", {1}, "s"}}});
    time_.run_for(500);
    const auto read = [&] {
        return call_and_wait([&](auto caller) {
            node_.api().read_results({test_job_id, 0, 0}, {}, caller);
        });
    };
    EXPECT_NE(read().body.find("i0"), std::string::npos);
    const auto header =
        store_.newest_values(batch_node::journal_partition()).at("j/h");
    store_.append(batch_node::journal_partition(),
                  {{"j/h", ""}, {"j/h", header}});
    time_.run_for(500);
    EXPECT_EQ(read().status, 200);
    EXPECT_NE(
        node_.state().counters.serialize().find("event=\"position_empty\""),
        std::string::npos);
}

/// A response whose connection has little room because of slow readers.
class narrow_response_writer : public test_response_writer {
public:
    narrow_response_writer(std::size_t room, response_callback done)
        : test_response_writer(std::move(done)), room_(room) {}
    std::size_t room() const override { return room_; }

private:
    std::size_t room_;
};

// Guards against pages of results that slow readers hold in memory.
TEST_F(batch_api_test, results_are_read_as_far_as_there_is_room) {
    call_and_wait(
        [&](auto caller) { node_.api().submit(make_job(3), 1000, caller); });
    node_.claim_or_renew(true);
    time_.run_for(500);
    std::vector<batch::ready_result> results;
    results.reserve(3);
    for (int n = 0; n < 3; ++n) {
        results.push_back({test_job_id,
                           n,
                           {batch::item_id("i" + std::to_string(n)),
                            {},
                            std::string(400, 't'),
                            {1},
                            "s"}});
    }
    node_.commit_results(results);
    time_.run_for(500);
    const auto read = [&](std::size_t room) {
        transport::outbound_response response{0, {}, ""};
        node_.api().read_results(
            {test_job_id, 0, 0}, {},
            std::make_shared<narrow_response_writer>(
                room, [&](const auto& r) { response = r; }));
        time_.run_for(5000);
        return response;
    };
    const auto count = [](const transport::outbound_response& response) {
        return nlohmann::json::parse(response.body).at("results").size();
    };
    EXPECT_EQ(count(read(100000)), 3U);
    EXPECT_EQ(count(read(900)), 2U);
    EXPECT_EQ(count(read(1)), 1U);
    EXPECT_EQ(read(0).status, 503);
}

// Guards against jobs that a caller of another workspace can read or end, or
// tell from jobs that do not exist.
TEST_F(batch_api_test, calls_of_another_workspace_get_404) {
    auto job = make_job(1);
    job.header.workspace = "one";
    call_and_wait([&](auto caller) { node_.api().submit(job, 1000, caller); });
    const auto statuses_for = [&](const batch::job_access& access) {
        std::set<int> statuses;
        statuses.insert(
            call_and_wait([&](auto caller) {
                node_.api().read_results({test_job_id, 0, 0}, access, caller);
            }).status);
        statuses.insert(call_and_wait([&](auto caller) {
                            node_.api().read_item_body(
                                {test_job_id, batch::item_id("i0")}, access,
                                caller);
                        }).status);
        statuses.insert(call_and_wait([&](auto caller) {
                            node_.api().end_job({test_job_id}, access, caller);
                        }).status);
        return statuses;
    };
    EXPECT_EQ(statuses_for({"two"}), std::set<int>{404});
    EXPECT_EQ(statuses_for({""}), std::set<int>{404});
    EXPECT_EQ(statuses_for({"one"}), std::set<int>{200});
    EXPECT_EQ(statuses_for({}), std::set<int>{200});
}

// Guards against items of one workspace in the job of another one.
TEST_F(batch_api_test, one_of_two_workspaces_gets_an_id_at_the_same_time) {
    batch_node other(store_, time_, "m", "t");
    time_.run_for(500);
    std::map<std::string, int> statuses;
    const auto submit = [&](batch_node& node, const std::string& workspace) {
        auto job = make_job(3);
        job.header.workspace = workspace;
        for (auto& item : job.items) {
            item.body += " of " + workspace;
        }
        node.api().submit(job, 1000,
                          std::make_shared<test_response_writer>(
                              [&statuses, workspace](const auto& r) {
                                  statuses[workspace] = r.status;
                              }));
    };
    submit(node_, "one");
    time_.run_for(1);
    submit(other, "two");
    time_.run_for(3000);
    EXPECT_EQ(statuses["one"] + statuses["two"], 202 + 409);
    const std::string winner = statuses["one"] == 202 ? "one" : "two";
    EXPECT_EQ(read_item_body("i1").body, "body 1 of " + winner);
    // A node that starts later sees the same job.
    batch_node late(store_, time_, "l", "u");
    time_.run_for(500);
    EXPECT_EQ(late.state().jobs.find(test_job_id)->header->workspace, winner);
}

// Guards against a header that lies later in the journal but sorts first.
TEST_F(batch_api_test, the_first_header_of_an_id_wins_in_any_order) {
    batch::job_header header;
    header.id = test_job_id;
    const auto change = [&](const std::string& workspace,
                            store::log_offset offset) {
        header.workspace = workspace;
        return store::change{batch::format_key(batch::header_key{
                                 test_job_id, batch::submitter_tag(workspace)}),
                             batch::encode(header), offset};
    };
    for (const bool reversed : {false, true}) {
        batch::job_table jobs(time_.clock());
        jobs.apply(change(reversed ? "two" : "one", reversed ? 8 : 7));
        jobs.apply(change(reversed ? "one" : "two", reversed ? 7 : 8));
        EXPECT_EQ(jobs.find(test_job_id)->header->workspace, "one");
        auto erasure = change("two", 9);
        erasure.value.reset();
        jobs.apply(erasure);
        EXPECT_NE(jobs.find(test_job_id), nullptr);
    }
}

} // namespace

} // namespace hibiscus::entry
