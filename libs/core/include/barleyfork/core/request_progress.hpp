#ifndef BARLEYFORK_CORE_REQUEST_PROGRESS_HPP
#define BARLEYFORK_CORE_REQUEST_PROGRESS_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/base/time.hpp>

#include <cstdint>

namespace barleyfork {

/// How one try at a backend server ended.
enum class attempt_end : std::uint8_t
{
    /// No byte of the request was handed to a connection.
    not_sent,
    /// The server itself said that it did not run the request.
    refused_by_server,
    /// The connection broke or stayed silent before the answer began.
    lost_before_answer,
    /// The answer began and did not come to its end.
    lost_in_answer,
    /// The whole answer came, its end mark included.
    answered,
};

/// What the request path does next.
enum class next_step : std::uint8_t
{
    /// The caller has the whole answer.
    finish,
    /// Send the request again to another replica.
    retry,
    /// Ask a replica for the rest of the answer from the delivered offset.
    resume,
    /// Tell the caller that the request was not run.
    refuse_not_run,
    /// Tell the caller that the outcome is unknown.
    report_unknown,
    /// End the answer that has begun with a true error, never as whole.
    abort_answer,
};

/// What is known of a request beforehand.
struct request_traits
{
    bool idempotent = true;
    /// The engine can go on from an offset.
    bool resumable = false;
    std::uint32_t max_tries = 3;
    time_point deadline{};
};

/// The life of one request over its tries; ends in exactly one outcome.
///
/// Invariant: a request that is not idempotent is sent again only while every
/// earlier try is known not to have run. Not thread-safe.
class request_progress
{
public:
    explicit request_progress(request_traits traits);

    /// Decides after a try. `delivered` says whether the caller has got a
    /// part of the answer; `budget` whether the retry budget has room.
    next_step
    after_attempt(attempt_end end, bool delivered, bool budget, time_point now);

    /// No replica can be tried; decides how the request ends.
    next_step no_candidate() const noexcept;

    /// Tries so far.
    std::uint32_t tries() const noexcept
    {
        return tries_;
    }

    /// True where an earlier try may have run.
    bool may_have_run() const noexcept
    {
        return may_have_run_;
    }

private:
    next_step give_up(bool delivered) const noexcept;

    request_traits traits_;
    std::uint32_t tries_ = 0;
    bool may_have_run_ = false;
};

} // namespace barleyfork

#endif
