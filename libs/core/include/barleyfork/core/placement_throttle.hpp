#ifndef BARLEYFORK_CORE_PLACEMENT_THROTTLE_HPP
#define BARLEYFORK_CORE_PLACEMENT_THROTTLE_HPP

#include <barleyfork/base/time.hpp>

#include <cstddef>

namespace barleyfork {

/// Decides whether the placement's lease holder runs a placement pass at once
/// when a message arrives, or at the next regular time.
///
/// A pass costs time for each server. Few daemons send few messages, so each
/// message may start a pass; with hundreds of daemons the passes would keep the
/// holder from all other work. Not thread-safe.
class placement_throttle
{
public:
    /// Maximum number of daemons with which each message starts a pass.
    static constexpr std::size_t max_unthrottled_daemons = 16;
    /// Minimum time between passes with more daemons.
    static constexpr duration min_pass_interval{50};

    /// Returns true, and records a pass, where one must run now.
    bool take(std::size_t daemons, time_point now) noexcept
    {
        if (daemons > max_unthrottled_daemons &&
            now < last_pass_at_ + min_pass_interval)
            return false;
        last_pass_at_ = now;
        return true;
    }

private:
    time_point last_pass_at_{};
};

} // namespace barleyfork

#endif
