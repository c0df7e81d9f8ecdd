#ifndef BARLEYFORK_CORE_SHARED_RETRY_BUDGET_HPP
#define BARLEYFORK_CORE_SHARED_RETRY_BUDGET_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <deque>

namespace barleyfork {

/// The bound on retries to a service that applies to all daemons together.
struct shared_retry_limits
{
    /// Retries allowed per first attempt.
    double ratio = 0.2;
    duration window{10000};
    /// Retries allowed in each window in addition to that, over all daemons.
    double slack = 50.0;
};

/// One daemon's part of a bound that applies to all daemons, for one service.
///
/// In every sliding window the daemon's retries are at most `ratio` times its
/// own first attempts plus its share of the slack. A restarted daemon does not
/// know how much its predecessor used, so each daemon uses only half of an even
/// share. Not thread-safe.
class shared_retry_budget
{
public:
    explicit shared_retry_budget(shared_retry_limits limits);

    /// Sets the number of daemons that share the slack; 0 counts as 1.
    void set_daemon_count(std::size_t count) noexcept;

    /// Counts a first attempt.
    void record_first_attempt(time_point now);

    /// Returns true if one more retry is within the bound.
    bool allows_retry(time_point now);

    /// Counts a retry.
    void record_retry(time_point now);

private:
    /// Removes the attempts that are older than the window.
    void remove_expired(time_point now);

    shared_retry_limits limits_;
    double share_;
    std::deque<time_point> first_attempts_;
    std::deque<time_point> retries_;
};

} // namespace barleyfork

#endif
