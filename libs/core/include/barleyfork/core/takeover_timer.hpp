#ifndef BARLEYFORK_CORE_TAKEOVER_TIMER_HPP
#define BARLEYFORK_CORE_TAKEOVER_TIMER_HPP

#include <barleyfork/base/time.hpp>

#include <cstddef>
#include <optional>

namespace barleyfork {

/// Suitability of a daemon to hold the placement's lease, relative to all.
struct holder_rank
{
    /// Number of equally suitable daemons, this one included; at least 1.
    std::size_t equals = 1;
    /// Number of all daemons, this one included; at least 1.
    std::size_t daemons = 1;
    /// 0 for the best placed daemons, up to 1 for the least suitable ones.
    double handicap = 0.0;
};

/// Decides when a daemon that does not hold the placement's lease checks the
/// lease row, and acquires the lease where it has expired.
///
/// All daemons detect the holder's silence at the same moment, so their checks
/// are spread: the best placed daemons check first, and the others only once
/// these would have acquired the lease. Without the spread each silence of a
/// failed or merely unreachable holder would cost several calls to the store
/// per daemon. Not thread-safe.
class takeover_timer
{
public:
    /// Time by which each equally placed daemon extends the spread of checks.
    static constexpr duration spread_per_daemon{20};
    static constexpr duration min_spread{300};
    /// Delay of the least suitable daemons, in favour of the others.
    static constexpr duration max_handicap_delay{4000};
    /// Minimum time between two checks of one daemon.
    static constexpr duration min_check_interval{700};
    /// Additional delay of daemons that a releasing holder did not name as its
    /// successor.
    static constexpr duration successor_head_start{600};

    /// Additional delay, at most, of the first check of a daemon that starts.
    static constexpr duration max_start_delay{800};

    /// Processes whether messages of the holder arrive. `draw` is a random
    /// number from 0 to 1, as below.
    void on_peer_state(bool is_holder_reachable,
                       holder_rank rank,
                       time_point now,
                       double draw);

    /// Returns true where this daemon must check the row now.
    bool due(time_point now) const noexcept
    {
        return next_check_at_ && now >= *next_check_at_;
    }

    /// Records a check of the row, whose lease ends at `expires_at`.
    void on_row_checked(time_point expires_at,
                        holder_rank rank,
                        time_point now,
                        double draw);

    /// Records that the holder released the lease. `is_successor` is true where
    /// the holder named this daemon to acquire it.
    void
    released(bool is_successor, holder_rank rank, time_point now, double draw);

private:
    static duration delay(holder_rank rank, double draw);

    std::optional<time_point> next_check_at_;
    bool started_ = false;
};

} // namespace barleyfork

#endif
