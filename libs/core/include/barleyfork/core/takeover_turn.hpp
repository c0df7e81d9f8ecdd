#ifndef BARLEYFORK_CORE_TAKEOVER_TURN_HPP
#define BARLEYFORK_CORE_TAKEOVER_TURN_HPP

#include <barleyfork/base/time.hpp>

#include <cstddef>
#include <optional>

namespace barleyfork {

/// How well a daemon suits to hold the placement's lease, among all.
struct holder_rank
{
    /// Daemons that suit as well, this one included; at least 1.
    std::size_t equals = 1;
    /// Daemons in all, this one included; at least 1.
    std::size_t daemons = 1;
    /// 0 for the best placed daemons, up to 1 for those that suit least.
    double handicap = 0.0;
};

/// Decides when a daemon that does not hold the placement's lease looks at
/// its row, and takes it where it has ended.
///
/// All daemons notice at the same moment that the holder is silent, so their
/// looks are spread: the best placed ones come first, and the others only
/// once these would have taken the lease. Without that each silence, true or
/// not, would cost the store several calls a daemon. Not thread-safe.
class takeover_turn
{
public:
    /// Looks of equally placed daemons are spread by so much for each.
    static constexpr duration spread_a_daemon{20};
    static constexpr duration shortest_spread{300};
    /// The least suited daemons let the others go first by this.
    static constexpr duration longest_handicap{4000};
    /// No daemon looks more often than this.
    static constexpr duration look_interval{700};
    /// Daemons that a holder which let go did not name look this much later.
    static constexpr duration successor_head_start{600};

    /// A daemon that starts looks within this time.
    static constexpr duration first_spread{800};

    /// Says whether the holder is heard. `draw` is a random number from 0
    /// to 1, as below.
    void hear(bool holder_heard, holder_rank rank, time_point now, double draw);

    /// True where this daemon is to look at the row now.
    bool due(time_point now) const noexcept
    {
        return next_look_ && now >= *next_look_;
    }

    /// The row was looked at; its lease ends at `expires_at`.
    void looked(time_point expires_at,
                holder_rank rank,
                time_point now,
                double draw);

    /// The holder let the lease go, and `named` this daemon to take it.
    void released(bool named, holder_rank rank, time_point now, double draw);

private:
    static duration delay(holder_rank rank, double draw);

    std::optional<time_point> next_look_;
    bool started_ = false;
};

} // namespace barleyfork

#endif
