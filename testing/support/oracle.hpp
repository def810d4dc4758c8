#pragma once

#include "hibiscus/base/enum_names.hpp"
#include "support/test_cluster.hpp"

#include <array>
#include <ostream>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// A guarantee of the system that was broken.
enum class violation_kind {
    sample_missing,    ///< A step did not get all of its samples.
    sample_repeated,   ///< Two samples came for one sample slot.
    sample_stale,      ///< A sample exceeded the staleness bound.
    sample_untrue,     ///< A sample's text is not its engine's output.
    version_untrue,    ///< A sample reports versions its run did not use.
    answer_lost,       ///< A request got no response, or only not_run.
    answer_wrong,      ///< A response belongs to another request.
    run_twice,         ///< A non-idempotent request ran more than once.
    run_after_refusal, ///< A request ran, but all responses said not_run.
    client_failed      ///< A client program did not exit with 0.
};

} // namespace hibiscus::testing

namespace hibiscus::base {

template <>
struct enum_names<testing::violation_kind> {
    using kind = testing::violation_kind;
    static constexpr std::array<enum_name<kind>, 10> table{{
        {kind::sample_missing, "sample_missing"},
        {kind::sample_repeated, "sample_repeated"},
        {kind::sample_stale, "sample_stale"},
        {kind::sample_untrue, "sample_untrue"},
        {kind::version_untrue, "version_untrue"},
        {kind::answer_lost, "answer_lost"},
        {kind::answer_wrong, "answer_wrong"},
        {kind::run_twice, "run_twice"},
        {kind::run_after_refusal, "run_after_refusal"},
        {kind::client_failed, "client_failed"},
    }};
};

} // namespace hibiscus::base

namespace hibiscus::testing {

/// One broken guarantee.
struct violation {
    violation_kind kind = violation_kind::client_failed;
    /// The request, sample, count or client concerned.
    std::string subject;

    friend std::ostream& operator<<(std::ostream& out, const violation& v) {
        return out << base::name_of(v.kind) << " " << v.subject;
    }
};

/// One response that an application stand-in recorded.
struct recorded_response {
    std::string id;
    /// The wall-clock time of the response, in ms.
    base::millis wall_ms = 0;
    base::millis took_ms = 0;
    /// The name of the outcome; empty if there was no response.
    std::string result;
    std::string reason;
    base::millis retry_after_ms = 0;
};

/// Returns the responses that an application recorded in `file`.
std::vector<recorded_response> read_answers(const std::string& file);

/// Returns the longest time between two consecutive completed responses to
/// requests whose ids begin with `prefix`, in ms.
base::millis longest_gap(const std::vector<recorded_response>& responses,
                         const std::string& prefix);

/// Returns the longest time from the first attempt of a request whose id
/// begins with `prefix` to its completion, in ms.
base::millis longest_wait(const std::vector<recorded_response>& responses,
                          const std::string& prefix);

/// Returns the ids of the requests without a known outcome: their last
/// response is neither completed nor not_run.
std::vector<std::string>
find_unresolved_requests(const std::vector<recorded_response>& responses);

/// Returns the longest time between two consecutive samples that a trainer
/// recorded in `file`, in ms.
base::millis longest_sample_gap(const std::string& file);

/// Checks the output of a trainer and the samples that it recorded in `file`
/// against the run records of the engines. Returns all violations.
std::vector<violation> check_trainer_output(test_cluster& cluster,
                                            const std::string& output,
                                            const std::string& file);

/// Checks the output of an application for answer_lost and answer_wrong.
/// Returns all violations, or client_failed if there is no output.
std::vector<violation> check_app_output(const std::string& output);

/// Checks `responses` against the run records of the service instances of
/// `cluster`. Returns the requests that ran twice, or ran although every
/// response said not_run.
std::vector<violation>
check_runs(test_cluster& cluster,
           const std::vector<recorded_response>& responses);

} // namespace hibiscus::testing
