#include "../stand_in/world.hpp"

// An entry of a sampler that the store carries out late hides that the sampler
// is draining.

namespace {

using namespace review;

/// How late the store carries out the unanswered write, in ms.
constexpr base::millis late_ms = 5900;
/// When the sampler reports that it drains, after that write, in ms.
constexpr base::millis report_ms = 3400;

bool play(world& w) {
    std::vector<sampler*> samplers;
    for (int n = 0; n < 4; ++n) {
        samplers.push_back(
            &w.add_sampler("i-app" + std::to_string(n), "desk-api", 6, false));
    }
    auto& leaving = *samplers.front();
    w.write_configuration(make_configuration(1));
    w.start_nodes(3);

    base::millis accepted_at = 0;
    int late_requests = 0;
    int requests = 0;
    leaving.on_run = [&](const std::string& id) {
        if (accepted_at != 0 && w.now() > accepted_at + world::drain_ms) {
            ++late_requests;
            w.note(id + " reaches the draining sampler " +
                   std::to_string(w.now() - accepted_at) +
                   " ms after the store has accepted its report");
        }
    };
    const auto names = w.node_names();
    std::vector<std::shared_ptr<answer>> answers;
    const std::function<void()> ask = [&] {
        const auto number = requests++;
        const auto id = "r" + std::to_string(number);
        answers.push_back(w.send(
            names[static_cast<std::size_t>(number) % names.size()], "POST",
            "/look/" + id, {{"Request-Id", id}, {"Deadline-Ms", "2000"}}));
        w.after(40, ask);
    };
    ask();
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
    w.after(world::heartbeat_ms,
            [&] { w.write_entry(leaving, leaving.next_entry()); });
    w.after(2 * world::heartbeat_ms,
            [&] { w.write_entry(leaving, leaving.next_entry()); });
    w.run_for(report_ms);
    leaving.set_draining(true);
    w.write_entry(leaving, leaving.next_entry());
    accepted_at = w.now();
    for (int n = 1; n <= 5; ++n) {
        w.after(n * world::heartbeat_ms,
                [&] { w.write_entry(leaving, leaving.next_entry()); });
    }
    w.run_for(began_at + late_ms - w.now());
    if (w.has_trouble()) {
        w.note("the store carries out the unanswered write");
        w.write_entry(leaving, unanswered);
    }
    w.run_for(4000);
    std::map<int, int> counts;
    for (const auto& a : answers) {
        ++counts[a->status];
    }
    for (const auto& [status, count] : counts) {
        w.note("clients got status " + std::to_string(status) + " " +
               std::to_string(count) + " times");
    }
    if (counts[200] < 100) {
        throw cannot_run("the clients are not served");
    }
    return late_requests > 0;
}

} // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, play);
}
