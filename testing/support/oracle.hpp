#pragma once

#include "hibiscus/base/enum_names.hpp"
#include "support/test_cluster.hpp"

#include <array>
#include <ostream>
#include <string>
#include <vector>

namespace hibiscus::testing {

/// A promise of the system that was broken.
enum class violation_kind {
    sample_missing,    ///< A step never became whole.
    sample_repeated,   ///< A slot was delivered twice.
    sample_stale,      ///< A sample was older than the bound.
    sample_untrue,     ///< A sample's text is not what its engine wrote.
    version_untrue,    ///< A sample names versions that did not produce it.
    answer_lost,       ///< A request never got an answer, or only refusals.
    answer_wrong,      ///< An answer belongs to another request.
    run_twice,         ///< A non-idempotent request ran more than once.
    run_after_refusal, ///< A request ran although all answers said not_run.
    client_failed      ///< A client did not end as it should.
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

/// One broken promise with what it is about.
struct violation {
    violation_kind kind = violation_kind::client_failed;
    std::string subject;

    friend std::ostream& operator<<(std::ostream& out, const violation& v) {
        return out << base::name_of(v.kind) << " " << v.subject;
    }
};

/// One answer that an application got.
struct recorded_response {
    std::string id;
    /// By the time of day.
    base::millis wall_ms = 0;
    base::millis took_ms = 0;
    /// The name of the outcome; empty if there was no answer.
    std::string result;
    std::string reason;
    base::millis retry_after_ms = 0;
};

/// Returns the answers in the file that an application keeps.
std::vector<recorded_response> read_answers(const std::string& file);

/// Returns the longest time between two completed answers to requests whose
/// ids begin with `prefix`, in ms.
base::millis longest_gap(const std::vector<recorded_response>& answers,
                         const std::string& prefix);

/// Returns the longest time from the first try of a request, whose id begins
/// with `prefix`, to its completion, in ms.
base::millis longest_wait(const std::vector<recorded_response>& answers,
                          const std::string& prefix);

/// Returns the requests whose outcome stayed open: their last answer is
/// unknown, or there is none.
std::vector<std::string>
find_unresolved_requests(const std::vector<recorded_response>& answers);

/// Returns the longest time between two samples in the file that a trainer
/// keeps, in ms.
base::millis longest_sample_gap(const std::string& file);

/// Returns what is wrong with what a trainer printed and kept, by the records
/// of the engines.
std::vector<violation> check_trainer_output(test_cluster& s,
                                            const std::string& output,
                                            const std::string& file);

/// Returns what is wrong with what an application printed.
std::vector<violation> check_app_output(const std::string& output);

/// Returns which of the requests in `answers` ran twice or after a refusal,
/// by the run records of the instances of services that `s` has started.
std::vector<violation>
check_runs(test_cluster& s, const std::vector<recorded_response>& answers);

} // namespace hibiscus::testing
