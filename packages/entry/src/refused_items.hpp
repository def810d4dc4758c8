#pragma once

#include "job_store.hpp"
#include "node_state.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace hibiscus::entry {

/// Erases the items that refused submissions have stored. No header refers to
/// them, so they would stay for ever. Erases one submission at a time and tries
/// again until the store accepts it.
class refused_items {
public:
    refused_items(node_state& state, const job_store& stored_jobs,
                  store::run_after_function run_after)
        : state_(state), job_store_(stored_jobs),
          run_after_(std::move(run_after)) {}

    /// Erases the records with these keys, which no header may ever refer to.
    void erase(const batch::job_id& job, std::vector<std::string> keys);

private:
    struct submission {
        batch::job_id job;
        std::vector<std::string> keys;
    };

    void erase_next();
    void on_erased(submission erased, const store::append_result& result);

    node_state& state_;
    const job_store& job_store_;
    store::run_after_function run_after_;
    std::deque<submission> queue_;
    bool busy_ = false;
};

} // namespace hibiscus::entry
