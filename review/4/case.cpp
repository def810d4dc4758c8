#include "../stand_in/world.hpp"

// An entry of a sampler that the store carries out late hides that the sampler
// is draining. It gets requests that may run only once, and exits.

namespace {

using namespace review;

/// How late the store carries out the unanswered write, in ms.
constexpr base::millis late_ms = 5900;
/// When the sampler reports that it drains, after that write, in ms.
constexpr base::millis report_ms = 3400;
/// When the sampler exits after the store has accepted its report, in ms.
constexpr base::millis exit_ms = world::drain_ms + 1400;

/// Asks the nodes in turn, each time on a new connection.
class callers {
public:
    explicit callers(world& w) : world_(w), names_(w.node_names()) { ask(); }

    void stop() { stopped_ = true; }

    /// Returns how many requests got each status.
    std::map<int, int> counts() const {
        std::map<int, int> result;
        for (const auto& a : answers_) {
            ++result[a.second->status];
        }
        return result;
    }

    int status_of(const std::string& id) const {
        return answers_.at(id)->status;
    }

private:
    void ask() {
        if (stopped_) {
            return;
        }
        const auto number = answers_.size();
        const auto id = "r" + std::to_string(number);
        answers_[id] =
            world_.send(names_[number % names_.size()], "POST", "/once/" + id,
                        {{"Request-Id", id}, {"Deadline-Ms", "2000"}});
        world_.after(40, [this] { ask(); });
    }

    world& world_;
    std::vector<std::string> names_;
    std::map<std::string, std::shared_ptr<answer>> answers_;
    bool stopped_ = false;
};

bool play(world& w) {
    for (int n = 0; n < 3; ++n) {
        w.add_sampler("i-app" + std::to_string(n), "desk-api", 6, false)
            .set_service_ms(300);
    }
    auto& leaving = *w.samplers().front();
    auto configuration = make_configuration(1);
    configuration["routes"].push_back({{"name", "once"},
                                       {"host", "desk.example"},
                                       {"pathPrefix", "/once/"},
                                       {"kind", "non_idempotent"},
                                       {"timeoutMs", 2000},
                                       {"targetLatencyMs", 400},
                                       {"priority", 2},
                                       {"service", "desk-api"},
                                       {"attempts", 2}});
    w.write_configuration(configuration);
    w.start_nodes(3);

    base::millis accepted_at = 0;
    std::vector<std::string> late_requests;
    leaving.on_run = [&](const std::string& id) {
        if (accepted_at != 0 && w.now() > accepted_at + world::drain_ms) {
            late_requests.push_back(id);
            w.note(id + " reaches the draining sampler " +
                   std::to_string(w.now() - accepted_at) +
                   " ms after the store has accepted its report");
        }
    };
    callers c(w);
    w.run_for(4000);

    // The regular entries of the sampler end here; the case writes them.
    w.stop_beats(leaving);
    w.run_for(world::heartbeat_ms);
    const auto began_at = w.now();
    const auto unanswered = leaving.next_entry();
    if (w.has_trouble()) {
        w.note("the store gives no answer to the write " + unanswered);
    } else {
        w.write_entry(leaving, unanswered);
    }
    for (const int n : {1, 2}) {
        w.after(n * world::heartbeat_ms,
                [&] { w.write_entry(leaving, leaving.next_entry()); });
    }
    w.run_for(report_ms);
    leaving.set_draining(true);
    w.write_entry(leaving, leaving.next_entry());
    accepted_at = w.now();
    for (const int n : {1, 2}) {
        w.after(n * world::heartbeat_ms,
                [&] { w.write_entry(leaving, leaving.next_entry()); });
    }
    w.run_for(began_at + late_ms - w.now());
    if (w.has_trouble()) {
        w.note("the store carries out the unanswered write");
        w.write_entry(leaving, unanswered);
    }
    w.run_for(accepted_at + exit_ms - w.now());
    w.note("the sampler exits, " + std::to_string(leaving.running()) +
           " requests run there");
    leaving.crash();
    w.write_entry(leaving, "");
    w.run_for(2000);
    c.stop();
    w.run_for(3000);
    for (const auto& [status, count] : c.counts()) {
        w.note("clients got status " + std::to_string(status) + " " +
               std::to_string(count) + " times");
    }
    for (const auto& id : late_requests) {
        w.note(id + " ran at the draining sampler, its client got status " +
               std::to_string(c.status_of(id)));
    }
    if (c.counts()[200] < 100) {
        throw cannot_run("the clients are not served");
    }
    return !late_requests.empty();
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, play);
}
