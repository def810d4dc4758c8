#pragma once

#include "hibiscus/samplers/load_time_estimate.hpp"
#include "hibiscus/samplers/sampler_table.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Schedules the loading of new weights by backend servers.
namespace hibiscus::samplers {

/// An order to a server to load one version of a model's weights.
struct load_order {
    sampler_id sampler;
    std::string model;
    std::int64_t version = 0;
};

/// Schedules the loads of all servers. Used by the holder of the order lease,
/// the lease that lets one instance send load orders.
class weight_rollout {
public:
    explicit weight_rollout(base::clock clock) : clock_(std::move(clock)) {}

    /// Called when a trainer has announced a version. Older versions than the
    /// newest are ignored.
    void announce_version(const std::string& model, std::int64_t version);

    /// Sets how many free slots the items of a model's steps need. Servers
    /// beyond that number of slots load a version only once it has been the
    /// newest for some time: where versions are replaced within seconds, these
    /// loads would be of no use and would block the model's runs meanwhile.
    /// Until the first call for a model, all servers are loaded.
    void set_wanted_slots(const std::string& model, int free_slots);

    /// Returns the orders to send now. Each returned order counts as a load in
    /// progress until it is accepted (which restarts its time), rejected or
    /// done.
    ///
    /// Concurrent loads slow each other down, so about a fifth of the servers
    /// load at a time. A step also accepts the weights of the step before: a
    /// server with the newest version serves the current step and the next one,
    /// a server with the version before it serves only the current one. The
    /// model with the fewest steps served by its servers comes first. Of its
    /// servers, those whose weights are useless come first, then those with the
    /// fewest requests in flight. Slow and blocked servers are loaded last and
    /// do not count as serving any step.
    std::vector<load_order> take_due_orders(const sampler_table& table);

    /// Returns the servers to ask now whether their loads have ended. A load
    /// counts until its server reports the end. If it counted as done after its
    /// usual time, more and more loads would join slow ones and slow all of
    /// them down further.
    std::vector<sampler_id> take_due_checks();

    /// Called when a server accepted an order.
    void on_order_accepted(const load_order& order);
    /// Called when a server is already carrying out an order.
    void on_server_busy(const sampler_id& id);
    /// Called when a server did not accept an order or the outcome is unknown.
    /// The server may get an order again after a delay.
    void on_order_rejected(const load_order& order);
    /// Called when a server is not carrying out any order and has these
    /// weights.
    void on_load_done(const sampler_id& id,
                      const std::map<std::string, std::int64_t>& versions);
    /// Called when a server had the weights before it was ordered to load them.
    void on_load_not_needed(const sampler_id& id);

    /// Returns true while a load of the server is in progress as far as is
    /// known.
    bool is_loading(const sampler_id& id) const {
        return loads_.count(id) != 0;
    }

    /// Returns the time after which a load whose end was not reported no longer
    /// counts, in ms.
    base::millis load_timeout_ms() const { return load_time_.timeout_ms(); }

    /// Returns the expected duration of a load, in ms.
    base::millis expected_load_ms() const { return load_time_.expected_ms(); }

    /// Returns the newest announced version of a model, or 0.
    std::int64_t newest_version(const std::string& model) const;

    /// Forgets the loads in progress and the pending retries, for a new holder
    /// of the order lease.
    void reset();

private:
    struct load {
        base::millis started_at = 0;
        base::millis next_check_at = 0;
        /// When the server was last asked about the load.
        base::millis last_check_at = 0;
        /// When the server was asked the time before; the load had not ended by
        /// then.
        base::millis last_seen_loading_at = 0;
        /// The model that is loaded; empty if another process sent the order.
        std::string model;
        std::int64_t version = 0;
    };

    /// A server that could load the newest version of a model.
    struct candidate {
        bool is_healthy = false;
        /// True if its present weights serve the current step.
        bool serves_current_step = false;
        int in_flight = 0;
        int free_slots = 0;
        /// Points into the sampler table.
        const sampler_id* sampler = nullptr;
    };

    /// The supply of a model's weights among the servers.
    struct supply {
        std::int64_t newest_version = 0;
        /// The number of the last order for the model. Of models with equal
        /// supply, the one with the oldest last order comes first.
        std::uint64_t last_order_number = 0;
        /// Healthy servers that have or load the newest version, or the version
        /// before it.
        int servers_with_newest = 0;
        int servers_one_behind = 0;
        /// The free slots of servers_with_newest.
        int free_slots = 0;
        /// The free slots that are needed; nothing if all servers should load.
        std::optional<int> wanted_slots;
        /// The worst candidate first, the next one to load last.
        std::vector<candidate> candidates;

        int steps_served() const {
            return 2 * servers_with_newest + servers_one_behind;
        }
        bool is_sufficient() const {
            return wanted_slots && free_slots >= *wanted_slots;
        }
    };

    std::map<std::string, supply>
    compute_supplies(const sampler_table& table) const;
    void add_server(std::map<std::string, supply>& supplies,
                    const sampler_id& id, const sampler_row& row,
                    bool is_healthy) const;
    supply make_supply(const std::string& model) const;
    bool can_receive_order(const sampler_id& id, const sampler_row& row) const;
    load_order take_next_order(std::map<std::string, supply>& supplies,
                               bool rank_by_supply, bool skip_sufficient);
    void start_load(const load_order& order);
    base::millis first_check_ms() const;
    base::millis ending_soon_after_ms() const;
    bool may_start_load(std::size_t server_count) const;
    void remove_stale_loads(const sampler_table& table);

    base::clock clock_;
    load_time_estimate load_time_;
    /// What trainers announced for a model and the slots that its steps need.
    struct model_state {
        std::int64_t newest_version = 0;
        base::millis announced_at = 0;
        std::optional<int> wanted_slots;
    };

    std::map<std::string, model_state> models_;
    std::map<sampler_id, load> loads_;
    std::map<sampler_id, base::millis> retry_at_;
    std::map<std::string, std::uint64_t> last_order_numbers_;
    std::uint64_t order_count_ = 0;
};

} // namespace hibiscus::samplers
