#include "hibiscus/batch/scoring_queue.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace hibiscus::batch {

namespace {

const samplers::service_name scorers("scorers");
constexpr int capacity = 18;

class scoring_queue_test : public testing::Test {
protected:
    scoring_queue_test() { queue_.set_capacity(scorers, capacity); }

    static scoring_call make_call(const std::string& job, int item,
                                  const std::string& group = "g",
                                  int unscored = 8) {
        scoring_call call;
        call.job = job_id(job);
        call.item_index = item;
        call.service = scorers;
        call.group = group;
        call.unscored_items = unscored;
        call.group_items = 8;
        call.target_at = 7500;
        return call;
    }

    /// Takes calls until the window is full.
    std::vector<scoring_number> fill_window(base::millis now) {
        std::vector<scoring_number> numbers;
        for (int n = 0; n < 2 * capacity; ++n) {
            queue_.add(make_call("filling", n), now);
        }
        while (const auto taken = queue_.take_next(now)) {
            numbers.push_back(taken->number);
        }
        return numbers;
    }

    /// Drops the filling calls and returns the groups of the others in order.
    std::vector<std::string> take_all(base::millis now) {
        queue_.drop_job(job_id("filling"));
        std::vector<std::string> order;
        while (const auto taken = queue_.take_next(now)) {
            order.push_back(taken->call.group);
        }
        return order;
    }

    base::millis end(scoring_number number, scoring_end how, base::millis now,
                     base::millis retry_after_ms = 0) {
        return queue_.on_ended(number, how, retry_after_ms, 0.5, now);
    }

    int window() const { return queue_.status(0).front().window; }

    scoring_queue queue_;
};

TEST_F(scoring_queue_test, without_a_shortage_each_call_is_sent_at_once) {
    for (int n = 0; n < 100; ++n) {
        const auto now = n * 10;
        queue_.add(make_call("j", n), now);
        const auto taken = queue_.take_next(now);
        ASSERT_TRUE(taken);
        end(taken->number, scoring_end::scored, now + 9);
        EXPECT_EQ(queue_.status(now + 9).front().wait_ms, 0);
    }
}

TEST_F(scoring_queue_test, calls_that_complete_a_group_come_first) {
    fill_window(0);
    auto late = make_call("j", 1, "late", 1);
    late.target_at = 50;
    queue_.add(late, 100);
    queue_.add(make_call("j", 2, "new", 8), 100);
    auto resubmitted = make_call("j", 3, "resubmitted", 8);
    resubmitted.is_resubmitted = true;
    queue_.add(resubmitted, 100);
    queue_.add(make_call("j", 4, "begun", 3), 100);
    EXPECT_EQ(take_all(100), (std::vector<std::string>{"begun", "resubmitted",
                                                       "new", "late"}));
}

TEST_F(scoring_queue_test, calls_of_an_ended_job_are_dropped) {
    const auto numbers = fill_window(0);
    const auto dropped = queue_.drop_job(job_id("filling"));
    EXPECT_EQ(dropped.in_flight, numbers);
    EXPECT_EQ(dropped.queued + static_cast<int>(numbers.size()), 2 * capacity);
    EXPECT_EQ(queue_.queued_count() + queue_.in_flight_count(), 0);
    EXPECT_EQ(end(numbers[0], scoring_end::scored, 10), 0);
    EXPECT_EQ(fill_window(20).size(), numbers.size());
}

TEST_F(scoring_queue_test, the_window_shrinks_on_rejections_and_grows_again) {
    base::millis now = 0;
    const int before = window();
    const auto play = [&](scoring_end how, int rounds) {
        for (int n = 0; n < rounds; ++n) {
            const auto numbers = fill_window(now += 100);
            for (const auto number : numbers) {
                end(number, how, now + 30);
            }
            queue_.drop_job(job_id("filling"));
        }
    };
    play(scoring_end::rejected, 1);
    EXPECT_LT(window(), before);
    play(scoring_end::rejected, 50);
    EXPECT_EQ(window(), capacity / 2);
    play(scoring_end::scored, 50);
    EXPECT_EQ(window(), capacity);
}

TEST_F(scoring_queue_test, repeats_back_off_and_honour_the_services_time) {
    base::millis last = 0;
    for (int n = 0; n < 8; ++n) {
        queue_.add(make_call("j", 0), 0);
        const auto delay =
            end(queue_.take_next(0)->number, scoring_end::rejected, 0);
        EXPECT_GE(delay, last);
        EXPECT_LE(delay, 1600);
        last = delay;
    }
    EXPECT_EQ(last, 1600);
    queue_.add(make_call("j", 1), 0);
    EXPECT_GE(end(queue_.take_next(0)->number, scoring_end::rejected, 0, 700),
              700);
    queue_.add(make_call("j", 1), 0);
    EXPECT_LE(end(queue_.take_next(0)->number, scoring_end::rejected, 0, 90000),
              3000);
}

TEST_F(scoring_queue_test, the_time_limit_follows_the_time_that_calls_take) {
    const auto limit_after = [&](base::millis response_ms, int calls) {
        for (int n = 0; n < calls; ++n) {
            queue_.add(make_call("j", n), 0);
            end(queue_.take_next(0)->number, scoring_end::scored, response_ms);
        }
        queue_.add(make_call("j", 0), 0);
        const auto taken = queue_.take_next(0);
        end(taken->number, scoring_end::scored, response_ms);
        return taken->time_limit;
    };
    const auto quick = limit_after(30, 50);
    const auto slow = limit_after(2500, 50);
    EXPECT_LT(quick, 1500);
    EXPECT_GT(slow, 2500);
    EXPECT_LT(slow, 8001);
}

/// Servers with places that callers take too, in virtual time. Two jobs have
/// finished all of their texts, in an order drawn from a seed.
class press_simulation {
public:
    press_simulation(int callers_per_s, int press_ends_at)
        : callers_per_s_(callers_per_s), press_ends_at_(press_ends_at) {
        queue_.set_capacity(scorers, capacity);
        std::vector<int> items(job_items);
        for (int n = 0; n < job_items; ++n) {
            items[static_cast<std::size_t>(n)] = n;
        }
        std::mt19937 random(7);
        for (const char* job : {"a", "b"}) {
            std::shuffle(items.begin(), items.end(), random);
            for (const int n : items) {
                scoring_call call;
                call.job = job_id(job);
                call.item_index = n;
                call.service = scorers;
                call.group = std::to_string(n / group_size);
                call.unscored_items = group_size;
                call.group_items = group_size;
                call.target_at = target_ms;
                queue_.add(call, 0);
            }
        }
    }

    void run_until(base::millis end) {
        for (; now_ < end; now_ += 5) {
            finish_calls();
            admit_callers();
            repeat_calls();
            while (const auto taken = queue_.take_next(now_)) {
                send(*taken);
            }
        }
    }

    int whole_groups() const {
        return static_cast<int>(
            std::count_if(scored_.begin(), scored_.end(), [](const auto& g) {
                return g.second == group_size;
            }));
    }
    int scores() const {
        int count = 0;
        for (const auto& group : scored_) {
            count += group.second;
        }
        return count;
    }
    int open_calls() const {
        return queue_.queued_count() + queue_.in_flight_count() +
               static_cast<int>(repeats_.size());
    }
    int rejected() const { return rejected_; }

    static constexpr int group_size = 8;
    static constexpr int job_items = 240;
    static constexpr base::millis target_ms = 7500;
    static constexpr base::millis service_ms = 30;

private:
    void finish_calls() {
        for (auto row = busy_.begin();
             row != busy_.end() && row->first <= now_;) {
            if (row->second.number != 0) {
                queue_.on_ended(row->second.number, scoring_end::scored, 0,
                                fraction(), now_);
                ++scored_[row->second.call.job.str() + row->second.call.group];
            }
            row = busy_.erase(row);
        }
    }

    void admit_callers() {
        if (now_ >= press_ends_at_) {
            return;
        }
        callers_due_ += callers_per_s_ * 5 / 1000.0;
        for (; callers_due_ >= 1; callers_due_ -= 1) {
            if (busy_.size() < capacity) {
                busy_.insert({now_ + service_ms, {}});
            }
        }
    }

    void repeat_calls() {
        while (!repeats_.empty() && repeats_.begin()->first <= now_) {
            queue_.add(repeats_.begin()->second, now_);
            repeats_.erase(repeats_.begin());
        }
    }

    void send(const scoring_queue::taken_call& taken) {
        if (busy_.size() < capacity) {
            busy_.insert({now_ + service_ms, taken});
            return;
        }
        ++rejected_;
        const auto delay = queue_.on_ended(taken.number, scoring_end::rejected,
                                           0, fraction(), now_);
        repeats_.insert({now_ + delay, taken.call});
    }

    double fraction() {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    int callers_per_s_;
    int press_ends_at_;
    base::millis now_ = 0;
    double callers_due_ = 0;
    scoring_queue queue_;
    std::mt19937 random_{11};
    std::multimap<base::millis, scoring_queue::taken_call> busy_;
    std::multimap<base::millis, scoring_call> repeats_;
    std::map<std::string, int> scored_;
    int rejected_ = 0;
};

TEST(scoring_press_test, what_can_be_scored_in_time_makes_whole_groups) {
    // Calls in the order of the texts gave scores to all groups and whole ones
    // to hardly any.
    press_simulation press(1000, 100000);
    press.run_until(press_simulation::target_ms);
    const int possible = press.scores() / press_simulation::group_size;
    EXPECT_GT(press.scores(), 60);
    EXPECT_LT(press.scores(), 2 * press_simulation::job_items);
    EXPECT_GE(press.whole_groups(), possible * 8 / 10);
}

TEST(scoring_press_test, a_press_that_ends_leaves_no_shortage_behind) {
    press_simulation press(4000, 3000);
    press.run_until(3000);
    EXPECT_GT(press.open_calls(), 100);
    press.run_until(6000);
    EXPECT_EQ(press.open_calls(), 0);
    EXPECT_EQ(press.whole_groups(),
              2 * press_simulation::job_items / press_simulation::group_size);
}

TEST(scoring_press_test, rejected_calls_add_little_load) {
    press_simulation press(2000, 5000);
    press.run_until(5000);
    EXPECT_LT(press.rejected(), 2 * 2 * press_simulation::job_items);
}

/// Servers with places and a bounded queue, which callers with long requests
/// fill whatever the answers. Reward calls arrive at a steady rate.
class full_queue_simulation {
public:
    void run(base::millis duration) {
        set_up();
        for (base::millis now = 0; now < duration; now += 5) {
            if (now == owner_changes_at) {
                change_owner();
            }
            for (auto row = busy_.begin();
                 row != busy_.end() && row->first <= now;
                 row = busy_.erase(row)) {
                finish(row->second, now);
            }
            start_waiting(now);
            // Neither side always comes first.
            const bool callers_first = now % 10 == 0;
            if (callers_first) {
                send_callers(now);
            }
            send_calls(now);
            if (!callers_first) {
                send_callers(now);
            }
            start_waiting(now);
        }
    }

    /// When another owner begins, which has learnt nothing.
    base::millis owner_changes_at = -1;
    /// Counts by second.
    std::map<base::millis, int> callers_served;
    std::map<base::millis, int> calls_scored;
    int queued() const { return queue_.queued_count(); }

    static constexpr base::millis press_from = 5000;
    static constexpr base::millis press_until = 20000;
    static constexpr int callers_per_s = 45;
    static constexpr base::millis caller_ms = 400;
    static constexpr int calls_per_s = 120;
    static constexpr base::millis call_ms = 30;
    static constexpr base::millis target_ms = 150;
    static constexpr std::size_t queue_limit = 60;

private:
    void set_up() {
        queue_.set_capacity(scorers, capacity);
        queue_.set_target(scorers, target_ms);
    }

    void change_owner() {
        queue_ = {};
        set_up();
        constexpr scoring_number other_owner = 1U << 30U;
        const auto leave = [&](scoring_number& number) {
            number = number == 0 ? 0 : other_owner;
        };
        std::for_each(waiting_.begin(), waiting_.end(), leave);
        for (auto& row : busy_) {
            leave(row.second);
        }
    }

    void send_callers(base::millis now) {
        const bool presses = now >= press_from && now < press_until;
        callers_due_ += presses ? callers_per_s * 5 / 1000.0 : 0;
        for (; callers_due_ >= 1; callers_due_ -= 1) {
            arrive(0);
        }
    }

    void send_calls(base::millis now) {
        calls_due_ += calls_per_s * 5 / 1000.0;
        for (; calls_due_ >= 1; calls_due_ -= 1) {
            add_call(now);
        }
        while (const auto taken = queue_.take_next(now)) {
            if (!arrive(taken->number)) {
                queue_.on_ended(taken->number, scoring_end::rejected, 0, 0,
                                now);
                add_call(now);
            }
        }
    }

    void start_waiting(base::millis now) {
        while (!waiting_.empty() && busy_.size() < capacity) {
            const auto number = waiting_.front();
            waiting_.pop_front();
            busy_.insert({now + (number == 0 ? caller_ms : call_ms), number});
        }
    }

    bool arrive(scoring_number number) {
        if (waiting_.size() >= queue_limit) {
            return false;
        }
        waiting_.push_back(number);
        return true;
    }

    void finish(scoring_number number, base::millis now) {
        if (number == 0) {
            ++callers_served[now / 1000];
        } else {
            queue_.on_ended(number, scoring_end::scored, 0, 0, now);
            ++calls_scored[now / 1000];
        }
    }

    void add_call(base::millis now) {
        scoring_call call;
        call.job = job_id("j");
        call.item_index = ++last_item_;
        call.service = scorers;
        call.group = std::to_string(last_item_);
        call.target_at = now + 100000;
        queue_.add(call, now);
    }

    scoring_queue queue_;
    std::multimap<base::millis, scoring_number> busy_;
    std::deque<scoring_number> waiting_;
    double callers_due_ = 0;
    double calls_due_ = 0;
    int last_item_ = 0;
};

TEST(scoring_press_test, calls_keep_a_share_of_full_servers) {
    // With a window that yielded to the queues of callers hardly any call was
    // answered.
    full_queue_simulation play;
    play.run(30000);
    for (base::millis second = 8; second < 20; ++second) {
        EXPECT_GE(play.calls_scored[second], 90) << second;
        EXPECT_GE(play.callers_served[second], 30) << second;
    }
    EXPECT_EQ(play.queued(), 0);
    EXPECT_GE(play.calls_scored[28], 115);
}

TEST(scoring_press_test, a_new_owner_keeps_a_share_of_full_servers) {
    // An owner that began under a press took its waits for usual.
    full_queue_simulation play;
    play.owner_changes_at = 10000;
    play.run(20000);
    int scored = 0;
    for (base::millis second = 12; second < 20; ++second) {
        scored += play.calls_scored[second];
        EXPECT_GE(play.callers_served[second], 30) << second;
    }
    EXPECT_GE(scored, 400);
}

} // namespace

} // namespace hibiscus::batch
