#pragma once

#include "hibiscus/samplers/load_time_estimate.hpp"
#include "hibiscus/samplers/sampler_table.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Which server loads new weights when.
namespace hibiscus::samplers {

/// An order to load weights.
struct load_order {
    sampler_id sampler;
    std::string model;
    std::int64_t version = 0;
};

/// Plans the loads of one holder of the right to order.
class weight_rollout {
public:
    explicit weight_rollout(base::clock clock) : clock_(std::move(clock)) {}

    /// The newest version that a trainer has named.
    void announce_version(const std::string& model, std::int64_t version);

    /// Says how many free places the items of a model's steps need. Servers
    /// beyond those are loaded only with weights that stand for some time:
    /// where a version is replaced within seconds, what they load would be of
    /// use to nobody, and they would be closed to the model's runs meanwhile.
    /// Until this was said of a model, all servers are loaded.
    void set_wanted_slots(const std::string& model, int free_places);

    /// Returns the orders to send now. Loads slow each other down when many
    /// run at once, so a fifth of the servers load at a time. A step admits the
    /// weights of the step before as well: a server with the newest version
    /// serves the step that is under way and the next one, a server with the
    /// version before it only the first of the two. The model that has the
    /// fewest such places comes first, and of its servers those whose weights
    /// are of no use any more, then those that have least to do. Servers that
    /// are slow or refuse requests are loaded last and count for nothing.
    std::vector<load_order> take_due_orders(const sampler_table& table);

    /// Returns the servers whose loads may have ended, to be asked. A load
    /// counts until its server says that it is done: taken for done after its
    /// usual time, loads that are slow would be joined by ever more that make
    /// all of them slower.
    std::vector<sampler_id> take_due_checks();

    /// What became of an order.
    void on_order_accepted(const load_order& order);
    /// The server carries out an order already.
    void on_server_busy(const sampler_id& id);
    /// The server did not take the order, or nothing is known of it; it is
    /// asked again after a pause.
    void on_order_rejected(const load_order& order);
    /// The server carries out no order any more, and has these weights.
    void on_load_done(const sampler_id& id,
                      const std::map<std::string, std::int64_t>& versions);
    /// The server had the weights before it was ordered to load them.
    void on_load_not_needed(const sampler_id& id);

    /// Returns true until a load is known to be done.
    bool is_loading(const sampler_id& id) const {
        return loads_.count(id) != 0;
    }

    /// Returns after how long a load that is not reported to have ended no
    /// longer counts, in ms.
    base::millis load_timeout_ms() const { return load_time_.timeout_ms(); }

    /// Returns the newest named version of a model, or 0.
    std::int64_t newest_version(const std::string& model) const;

    /// Forgets what is under way, for a new holder.
    void reset();

private:
    struct load {
        base::millis started_at = 0;
        base::millis next_check_at = 0;
        /// When it was asked for last.
        base::millis last_check_at = 0;
        /// When it was asked for before that, and had not ended.
        base::millis last_seen_loading_at = 0;
        /// What is loaded; empty if another process ordered it.
        std::string model;
        std::int64_t version = 0;
    };

    /// A server that could load the newest version of a model.
    struct candidate {
        bool is_healthy = false;
        /// Its present weights serve the step that is under way.
        bool serves_current_step = false;
        int in_flight = 0;
        int free_slots = 0;
        /// Points into the table.
        const sampler_id* sampler = nullptr;
    };

    /// How well the servers are supplied with a model's weights.
    struct supply {
        std::int64_t newest_version = 0;
        /// Counts up with each order; of models that are supplied alike, the
        /// one whose last order is the oldest comes first.
        std::uint64_t last_order_number = 0;
        /// Sound servers that have the newest version or load it, and those
        /// that have the version before.
        int servers_with_newest = 0;
        int servers_one_behind = 0;
        /// The free places of the former.
        int free_slots = 0;
        /// How many there should be; nothing if all servers are to load.
        std::optional<int> wanted_slots;
        /// Worst first, so that the next one is at the end.
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
    void add_server(std::map<std::string, supply>& to, const sampler_id& id,
                    const sampler_row& row, bool sound) const;
    supply make_supply(const std::string& model) const;
    bool may_order(const sampler_id& id, const sampler_row& row) const;
    load_order take_next_order(std::map<std::string, supply>& from,
                               bool by_need, bool where_needed);
    void start_load(const load_order& order);
    base::millis first_check_ms() const;
    base::millis overdue_after_ms() const;
    bool may_start_load(std::size_t servers) const;
    void remove_stale_loads(const sampler_table& table);

    base::clock clock_;
    load_time_estimate load_time_;
    /// The weights of a model and what its steps need.
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
