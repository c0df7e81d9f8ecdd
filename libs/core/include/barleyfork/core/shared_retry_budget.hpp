#ifndef BARLEYFORK_CORE_SHARED_RETRY_BUDGET_HPP
#define BARLEYFORK_CORE_SHARED_RETRY_BUDGET_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

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
/// know how much its predecessors used: each daemon uses only half of an even
/// share, and a process that has predecessors gains it over one window, so that
/// any number of restarts grants no more than the other half. Not thread-safe.
class shared_retry_budget
{
    struct retry_count
    {
        std::deque<time_point> sent;
        /// Number of retries that were decided on and not sent yet.
        std::size_t reserved = 0;
    };

public:
    explicit shared_retry_budget(shared_retry_limits limits);

    /// Lets the share of the slack grow from nothing at `start`, since earlier
    /// processes of this daemon may have used it.
    void set_predecessors(time_point start) noexcept;

    /// Sets the number of daemons that share the slack; 0 counts as 1.
    void set_daemon_count(std::size_t count) noexcept;

    /// Counts a first attempt.
    void record_first_attempt(time_point now);

    /// A retry that was decided on and not sent yet. Many requests can fail
    /// together, and each of them is sent only later; a reservation counts
    /// against the bound at once.
    class reservation
    {
    public:
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

        /// Returns the reserved retry unless it was sent.
        ~reservation();

        /// Counts the retry as sent.
        void spend(time_point now);

    private:
        friend class shared_retry_budget;
        explicit reservation(std::shared_ptr<retry_count> retries);

        std::shared_ptr<retry_count> retries_;
        bool is_spent_ = false;
    };

    /// Returns true if one more retry is within the bound.
    bool allows_retry(time_point now);

    /// Reserves a retry; returns null if it is not within the bound.
    std::unique_ptr<reservation> reserve_retry(time_point now);

private:
    /// Returns the part of the slack that this process may use.
    double slack_at(time_point now) const;

    /// Removes the attempts that are older than the window.
    void remove_expired(time_point now);

    shared_retry_limits limits_;
    double share_;
    /// When the process started, if it has predecessors.
    std::optional<time_point> grows_from_;
    std::deque<time_point> first_attempts_;
    /// Shared with the reservations, which may outlive the budget.
    std::shared_ptr<retry_count> retries_ = std::make_shared<retry_count>();
};

} // namespace barleyfork

#endif
