#include "entry/entry_world.hpp"

#include "hibiscus/base/hash.hpp"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <set>
#include <sstream>

namespace hibiscus::testing {

namespace {

class entry_path_test : public ::testing::Test, protected entry_world {
protected:
    reply submit(const std::string& name, int least = 1) {
        return call(name, "POST", "/batch/1", {{"Request-Id", "job1"}},
                    job_body("i", least));
    }

    /// Reads on from a position; keeps what came and checks that it is right.
    void read_on(const std::string& name) {
        const auto got = call(
            name, "GET", "/lots/job1?after=" + std::to_string(read_.size()),
            {{"Wait-Ms", "200"}});
        if (got.status != 200) {
            return;
        }
        const auto body = json::parse(got.body);
        EXPECT_EQ(body.at("total"), items);
        for (const auto& r : body.at("results")) {
            const auto id = r.at("id").get<std::string>();
            EXPECT_EQ(r.at("state"), "succeeded");
            EXPECT_EQ(r.at("text"), token_server::text_of(id, events));
            EXPECT_EQ(r.at("score"), "of-s" + id);
            read_.push_back(r.dump());
            EXPECT_TRUE(ids_.insert(id).second) << "twice: " << id;
        }
    }

    bool read_all(const std::string& name) {
        return run_until([&] {
            read_on(name);
            return read_.size() == items;
        });
    }

    /// Reads a stream whose first server breaks off once it is under way.
    reply stream_with_a_break(const std::string& path,
                              const std::string& id = "s1") {
        boost::asio::steady_timer timer(io_, break_after);
        timer.async_wait([this](const auto&) {
            engines_[0]->break_streams();
            engines_[1]->break_streams();
        });
        return call("n1", "POST", path, {{"Request-Id", id}, {"Model", "m"}});
    }

    /// Returns true if a node has written that it no longer owns the jobs.
    bool gave_up(const std::string& name) const {
        const auto records = store_.values("keyed.journal", "!owner");
        return std::any_of(records.begin(), records.end(), [&](const auto& r) {
            const auto in = json::from_cbor(r);
            return in.at("node") == name && in.value("left", false);
        });
    }

    /// Returns a later configuration in which "new" has taken the place of
    /// the service "llm".
    static std::string moved_configuration() {
        auto c = json::parse(configuration);
        c["version"] = 2;
        for (auto& r : c["routes"]) {
            if (r["service"] == "llm") {
                r["service"] = "new";
            }
        }
        return c.dump();
    }

    static std::string whole_stream(const std::string& id) {
        std::string out;
        for (int n = 1; n <= events; ++n) {
            out += "id: " + std::to_string(n) + "\ndata: " + id + "." +
                   std::to_string(n) + "\n\n";
        }
        return out;
    }

    /// A third of the time that a stream lasts.
    static constexpr std::chrono::milliseconds break_after{events * event_ms /
                                                           3};

    static constexpr int slow_event_ms = 5 * event_ms;

    std::vector<std::string> read_;
    std::set<std::string> ids_;
};

TEST_F(entry_path_test, a_lookup_is_forwarded_and_unknown_paths_are_denied) {
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    const auto got = call("n1", "POST", "/look/x", {{"Request-Id", "q1"}});
    EXPECT_EQ(got.status, 200);
    EXPECT_EQ(got.body, "answer to q1");
    EXPECT_EQ(call("n1", "GET", "/nowhere").status, 404);
    EXPECT_EQ(call("n1", "GET", "/lots/none").status, 404);
    const auto addresses = json::parse(
        call("n1", "GET", "/resolve?name=h&zone=z", {}, "", 2).body);
    EXPECT_EQ(addresses.at("addresses").size(), 1U);
}

TEST_F(entry_path_test, a_node_without_a_configuration_denies_nothing) {
    // A node has just started and knows no route yet. To say 404 would tell
    // callers that what they ask for does not exist.
    start_node("n1");
    ASSERT_TRUE(run_until([&] {
        return call("n1", "POST", "/look/x", {{"Request-Id", "q"}}).status != 0;
    }));
    EXPECT_EQ(call("n1", "POST", "/look/x", {{"Request-Id", "q"}}).status, 503);
    EXPECT_EQ(call("n1", "GET", "/readyz", {}, "", 1).status, 503);
}

TEST_F(entry_path_test, a_job_is_run_and_read_at_another_node) {
    configure();
    start_node("n1");
    start_node("n2");
    ASSERT_TRUE(wait_ready("n1"));
    ASSERT_TRUE(wait_ready("n2"));
    EXPECT_EQ(submit("n1").status, 202);
    EXPECT_EQ(submit("n2").status, 202);
    EXPECT_EQ(call("n2", "GET", "/items/job1?id=i3").body, "a");
    EXPECT_TRUE(read_all("n2"));
    EXPECT_EQ(call("n1", "DELETE", "/lots/job1").status, 200);
    EXPECT_EQ(call("n2", "DELETE", "/lots/job1").status, 200);
    // The second submission added nothing behind the last result.
    const auto last =
        json::parse(call("n1", "GET", "/lots/job1?after=12").body);
    EXPECT_EQ(last.at("next"), items);
    EXPECT_TRUE(last.at("results").empty());
}

// Guards against an owner that crashes when an event ends its own run.
TEST_F(entry_path_test, weights_that_change_in_a_run_do_not_stop_the_owner) {
    auto single = json::parse(configuration);
    single.at("routes").at(1)["singleVersion"] = true;
    store_.put("keyed.op", "config", single.dump());
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    ASSERT_EQ(submit("n1").status, 202);
    ASSERT_TRUE(run_until(
        [&] { return engines_[0]->runs() > 0 && engines_[1]->runs() > 0; }));
    engines_[0]->change_version(2);
    engines_[1]->change_version(2);
    EXPECT_TRUE(read_all("n1"));
    EXPECT_TRUE(nodes_.at("n1")->running());
}

TEST_F(entry_path_test, a_killed_owner_loses_no_result_and_no_position) {
    // The process that runs the jobs is killed in the middle of a step. The
    // trainer must read every sample once, whole, and what it had read must
    // stand where it stood.
    configure();
    for (const char* name : {"n1", "n2", "n3"}) {
        start_node(name);
    }
    for (const char* name : {"n1", "n2", "n3"}) {
        ASSERT_TRUE(wait_ready(name));
    }
    ASSERT_TRUE(run_until([&] { return !owner().empty(); }));
    const auto killed = owner();
    const std::string reader = killed == "n1" ? "n2" : "n1";
    ASSERT_EQ(submit(reader).status, 202);
    ASSERT_TRUE(run_until([&] {
        read_on(reader);
        return !read_.empty();
    }));
    const auto before = read_;
    nodes_.at(killed)->signal(SIGKILL);
    EXPECT_TRUE(read_all(reader));
    EXPECT_NE(owner(), killed);
    read_.clear();
    ids_.clear();
    ASSERT_TRUE(read_all(reader));
    EXPECT_TRUE(std::equal(before.begin(), before.end(), read_.begin()));
}

TEST_F(entry_path_test, a_stopped_owner_hands_over_and_exits) {
    // An operator replaces the node that runs the jobs.
    configure();
    start_node("n1");
    start_node("n2");
    ASSERT_TRUE(wait_ready("n1"));
    ASSERT_TRUE(wait_ready("n2"));
    ASSERT_TRUE(run_until([&] { return !owner().empty(); }));
    const auto stopped = owner();
    const std::string other = stopped == "n1" ? "n2" : "n1";
    ASSERT_EQ(submit(other).status, 202);
    nodes_.at(stopped)->signal(SIGTERM);
    EXPECT_TRUE(read_all(other));
    EXPECT_TRUE(run_until([&] { return !nodes_.at(stopped)->running(); }));
    EXPECT_EQ(nodes_.at(stopped)->wait(0), 0);
    EXPECT_EQ(owner(), other);
}

TEST_F(entry_path_test, a_save_without_an_answer_does_not_keep_an_owner) {
    // Guards against jobs that stand still until a stopping owner has ended.
    configure();
    start_node("n1");
    start_node("n2");
    ASSERT_TRUE(wait_ready("n1"));
    ASSERT_TRUE(wait_ready("n2"));
    ASSERT_TRUE(run_until([&] { return !owner().empty(); }));
    const auto stopped = owner();
    const std::string other = stopped == "n1" ? "n2" : "n1";
    for (const auto& e : engines_) {
        e->set_event_ms(slow_event_ms);
    }
    store_.hold_answers("keyed.progress");
    ASSERT_EQ(submit(other).status, 202);
    ASSERT_TRUE(run_until([&] { return store_.held_answers() > 0; }));
    store_.hold_answers("");
    nodes_.at(stopped)->signal(SIGTERM);
    EXPECT_TRUE(read_all(other));
    EXPECT_TRUE(run_until([&] { return !nodes_.at(stopped)->running(); }));
    EXPECT_TRUE(gave_up(stopped));
}

TEST_F(entry_path_test, a_job_is_refused_while_the_store_is_away) {
    // The store is down. A job that is accepted would be lost with the node,
    // so it is refused at once; results wait and come when it is back.
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    ASSERT_TRUE(run_until([&] { return !owner().empty(); }));
    store_.set_refusing(true);
    EXPECT_EQ(submit("n1").status, 503);
    store_.set_refusing(false);
    EXPECT_TRUE(run_until([&] { return submit("n1").status == 202; }));
    EXPECT_TRUE(run_until([&] { return engines_[0]->runs() > 0; }));
    store_.set_refusing(true);
    run_until([&] { return engines_[0]->runs() + engines_[1]->runs() >= 8; });
    store_.set_refusing(false);
    EXPECT_TRUE(read_all("n1"));
}

TEST_F(entry_path_test, a_partition_that_is_away_holds_up_only_its_own_jobs) {
    // The store refuses some of its partitions. Results of a job whose texts
    // lie in one of these can't be listed; the trainers of all other jobs must
    // not wait for them.
    constexpr std::uint64_t partitions = 24;
    const auto part_of = [](const std::string& job) {
        return static_cast<int>(base::stable_hash(job) % partitions);
    };
    // Sorted before the other job, as its results then come first.
    std::string blocked = "a";
    while (part_of(blocked) == part_of("job1")) {
        blocked += "a";
    }
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    ASSERT_TRUE(run_until([&] { return !owner().empty(); }));
    store_.refuse_appends("keyed.texts", part_of(blocked));
    ASSERT_EQ(call("n1", "POST", "/batch/1", {{"Request-Id", blocked}},
                   job_body("b", 1))
                  .status,
              202);
    ASSERT_EQ(submit("n1").status, 202);
    EXPECT_TRUE(read_all("n1"));
    const auto none =
        json::parse(call("n1", "GET", "/lots/" + blocked + "?after=0").body);
    EXPECT_TRUE(none.at("results").empty());
}

TEST_F(entry_path_test, a_step_ends_whole_while_a_server_lacks_the_store) {
    // A server loses the store while requests still reach it, so that its entry
    // lapses in the middle of a step. A trainer whose items it has must not
    // wait for them for hours, nor get one of them twice.
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    ASSERT_TRUE(run_until([&] { return !owner().empty(); }));
    ASSERT_EQ(submit("n1").status, 202);
    ASSERT_TRUE(run_until([&] { return engines_[0]->runs() > 0; }));
    store_.put("keyed.servers", "llm-0", "");
    EXPECT_TRUE(read_all("n1"));
}

TEST_F(entry_path_test, an_open_job_follows_its_route_to_another_service) {
    // Guards against a job whose service has lost all its servers.
    token_server moved{io_, "new-0", events, event_ms};
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    ASSERT_TRUE(run_until([&] { return !owner().empty(); }));
    ASSERT_EQ(submit("n1").status, 202);
    ASSERT_TRUE(run_until([&] { return engines_[0]->runs() > 0; }));
    store_.put("keyed.servers", "new-0", moved.entry("new", true));
    store_.put("keyed.servers", "llm-0", "");
    store_.put("keyed.servers", "llm-1", "");
    store_.put("keyed.op", "config", moved_configuration());
    EXPECT_TRUE(read_all("n1"));
    EXPECT_GT(moved.runs(), 0);
}

TEST_F(entry_path_test, an_item_counts_once_whatever_its_reward_calls) {
    // Servers work on reward calls and their answers are lost, so that each is
    // made again. A ledger that takes the item with each call would charge for
    // it twice; the trainer must read it once, with one score.
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    app_.set_losing_answers(true);
    ASSERT_EQ(submit("n1").status, 202);
    ASSERT_TRUE(run_until([&] { return app_.runs() > 3; }));
    app_.set_losing_answers(false);
    EXPECT_TRUE(read_all("n1"));
}

TEST_F(entry_path_test, a_lookup_ends_at_its_deadline_with_an_answer) {
    // The only server works on a lookup and its answer never comes, as on a
    // link that loses packets. The caller must not hang: it gets an answer that
    // promises nothing once its time is over.
    constexpr int gateway_timeout = 504;
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    app_.fall_mute();
    EXPECT_EQ(call("n1", "POST", "/look/1",
                   {{"Request-Id", "r1"}, {"Deadline-Ms", "600"}})
                  .status,
              gateway_timeout);
}

TEST_F(entry_path_test, servers_are_moved_to_a_version_that_is_named) {
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    store_.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    EXPECT_TRUE(run_until([&] {
        return engines_[0]->version() == 2 && engines_[1]->version() == 2;
    }));
    EXPECT_EQ(submit("n1", 2).status, 202);
    EXPECT_TRUE(read_all("n1"));
}

TEST_F(entry_path_test, a_resumable_stream_goes_on_at_another_server) {
    // The server of a stream crashes in the middle of an event. Its caller
    // must see each event once and whole, and nothing of the crash.
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    const auto got = stream_with_a_break("/stream/1");
    EXPECT_EQ(got.status, 200);
    EXPECT_EQ(got.body, whole_stream("s1"));
    EXPECT_EQ(engines_[0]->runs() + engines_[1]->runs(), 2);
}

TEST_F(entry_path_test, a_stream_that_may_not_be_resumed_breaks_off) {
    // The same crash on a route whose streams run once only. What the caller
    // gets must not look whole, and no second run may begin.
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    EXPECT_EQ(stream_with_a_break("/plain-stream/1").status, 0);
    EXPECT_EQ(engines_[0]->runs() + engines_[1]->runs(), 1);
}

TEST_F(entry_path_test, a_stream_without_ids_is_not_begun_anew) {
    // A server's events bear no ids, so that no other server can be told where
    // to go on. It would send the first ones again, to a caller that has them.
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    EXPECT_EQ(stream_with_a_break("/stream/1", "noid1").status, 0);
    EXPECT_EQ(engines_[0]->runs() + engines_[1]->runs(), 1);
}

TEST_F(entry_path_test, what_may_not_be_repeated_is_sent_once) {
    // A server charges a student's account and its answer is lost. The node
    // can't know whether it ran, so it must neither send it again nor say
    // that it did not run.
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    app_.set_losing_answers(true);
    const auto once = call("n1", "POST", "/once/x", {{"Request-Id", "q1"}});
    EXPECT_EQ(once.status, 502);
    EXPECT_EQ(app_.runs(), 1);
    EXPECT_EQ(call("n1", "POST", "/look/x", {{"Request-Id", "q2"}}).status,
              502);
    EXPECT_EQ(app_.runs(), 3);
    app_.set_losing_answers(false);
    EXPECT_EQ(call("n1", "POST", "/once/x", {{"Request-Id", "q3"}}).status,
              200);
}

TEST_F(entry_path_test, items_and_results_may_be_larger_than_a_record) {
    // A long text, or a prompt with much in it, exceeds what the store takes
    // as one record. Refused whole, the job could not be accepted, or its
    // result never be listed, nor those that were listed together with it.
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    const std::string content(400000, 'A'); // 300,000 bytes of zeros.
    ASSERT_EQ(call("n1", "POST", "/batch/1", {{"Request-Id", "job1"}},
                   job_body("big", 1, content))
                  .status,
              202);
    EXPECT_EQ(call("n1", "GET", "/items/job1?id=big7").body,
              std::string(300000, '\0'));
    EXPECT_TRUE(read_all("n1"));
}

TEST_F(entry_path_test, the_records_of_an_ended_job_leave_the_store) {
    // The store refuses all appends once it is full. Records of jobs that
    // nobody reads any more must go, before no job is accepted any longer.
    more_settings_ = "bounds:\n  status_s: 1\n  margin_s: 0\n";
    configure();
    start_node("n1");
    ASSERT_TRUE(wait_ready("n1"));
    ASSERT_EQ(
        call("n1", "POST", "/batch/2", {{"Request-Id", "job2"}}, job_body("o"))
            .status,
        202);
    ASSERT_EQ(submit("n1").status, 202);
    ASSERT_TRUE(read_all("n1"));
    ASSERT_EQ(call("n1", "DELETE", "/lots/job1").status, 200);
    const auto left = [&](const std::string& job) {
        std::size_t keys = 0;
        for (const char* topic : {"keyed.journal", "keyed.items", "keyed.texts",
                                  "keyed.progress"}) {
            keys += store_.keys(topic, job + "/");
        }
        return keys;
    };
    EXPECT_TRUE(run_until([&] { return left("job1") == 0; }));
    EXPECT_EQ(call("n1", "GET", "/lots/job1").status, 404);
    // The other job is still open.
    EXPECT_GT(left("job2"), 0U);
    EXPECT_EQ(call("n1", "GET", "/lots/job2").status, 200);
}

TEST_F(entry_path_test,
       a_settings_file_that_changes_is_taken_without_a_signal) {
    // The store moves to another address and the platform writes it into the
    // settings file, with or without a signal. A node that went by the old one
    // would be out of touch until somebody restarts it.
    configure();
    start_node("n1", base::endpoint{"127.0.0.1", reserved_.take("127.0.0.1")});
    ASSERT_TRUE(run_until(
        [&] { return call("n1", "GET", "/readyz", {}, "", 1).status == 503; }));
    write_settings("n1");
    EXPECT_TRUE(wait_ready("n1"));
}

// Guards against a node that is ended by a change of its settings at its start.
TEST_F(entry_path_test, a_reload_signal_during_the_start_does_not_end_a_node) {
    configure();
    const auto file = write_settings("n1");
    const auto aside = file + ".aside";
    std::stringstream text;
    text << std::ifstream(file).rdbuf();
    std::filesystem::rename(file, aside);
    ASSERT_EQ(::mkfifo(file.c_str(), 0600), 0);
    nodes_["n1"] = std::make_unique<process>(
        std::vector<std::string>{HIBISCUS_ENTRYD, "--settings=" + file},
        folder_ + "/n1.log");
    int pipe = -1;
    ASSERT_TRUE(run_until([&] {
        if (pipe < 0) {
            pipe = ::open(file.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        }
        return pipe >= 0;
    }));
    nodes_.at("n1")->signal(SIGHUP);
    std::filesystem::rename(aside, file);
    const auto bytes = text.str();
    EXPECT_EQ(::write(pipe, bytes.data(), bytes.size()),
              static_cast<ssize_t>(bytes.size()));
    ::close(pipe);
    EXPECT_TRUE(wait_ready("n1"));
}

TEST_F(entry_path_test, a_wrong_setting_ends_the_start) {
    const auto file = folder_ + "/wrong.yaml";
    std::ofstream(file) << "node: n\nzone: z\nlisten:\n  callers: nowhere\n";
    process node({HIBISCUS_ENTRYD, "--settings=" + file}, folder_ + "/out");
    EXPECT_EQ(node.wait(30000), 2);
    EXPECT_NE(node.output().find("listen.callers"), std::string::npos);
}

} // namespace

} // namespace hibiscus::testing
