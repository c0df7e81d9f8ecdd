#ifndef BARLEYFORK_CORE_REQUEST_PROGRESS_HPP
#define BARLEYFORK_CORE_REQUEST_PROGRESS_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/base/time.hpp>

#include <cstdint>

namespace barleyfork {

/// How one attempt on a backend server ended.
enum class attempt_outcome : std::uint8_t
{
    /// No byte of the request was written to a connection.
    not_sent,
    /// The server reported that it did not run the request.
    refused_by_server,
    /// The connection broke or timed out before the response began.
    lost_before_answer,
    /// The response began but did not complete.
    lost_during_answer,
    /// The complete response was received, including its end marker.
    answered,
};

/// The next step of the request path.
enum class next_step : std::uint8_t
{
    /// End the request; the caller has the complete response.
    finish,
    /// Send the request again to another replica.
    retry,
    /// Request the rest of the response from a replica, starting at the
    /// delivered offset.
    resume,
    /// Send an error to the caller: the request was not run.
    refuse_not_run,
    /// Send an error to the caller: the outcome is unknown.
    report_unknown,
    /// End the response that has begun with an accurate error, never as if it
    /// were complete.
    abort_answer,
};

/// Properties of a request that are known before its first attempt.
struct request_traits
{
    bool idempotent = true;
    /// True if the engine can resume the response at an offset.
    bool resumable = false;
    std::uint32_t max_tries = 3;
    time_point deadline{};
};

/// The progress of one request over its attempts, to exactly one outcome.
///
/// Invariant: a request that is not idempotent is retried only if every earlier
/// attempt is known not to have run. Not thread-safe.
class request_progress
{
public:
    explicit request_progress(request_traits traits);

    /// Records the end of an attempt and returns the next step. `was_delivered`
    /// is true if the caller has received a part of the response;
    /// `has_budget` is true if the retry budget allows a retry.
    next_step after_attempt(attempt_outcome end,
                            bool was_delivered,
                            bool has_budget,
                            time_point now);

    /// Returns the final step of a request for which no replica is eligible.
    next_step step_without_candidate() const noexcept;

    /// Returns the number of attempts so far.
    std::uint32_t tries() const noexcept
    {
        return attempts_;
    }

    /// Returns true if an earlier attempt may have run.
    bool may_have_run() const noexcept
    {
        return may_have_run_;
    }

private:
    /// Returns the step that ends the request without a complete response.
    next_step failing_step(bool was_delivered) const noexcept;

    request_traits traits_;
    std::uint32_t attempts_ = 0;
    bool may_have_run_ = false;
};

} // namespace barleyfork

#endif
