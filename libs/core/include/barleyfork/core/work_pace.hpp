#ifndef BARLEYFORK_CORE_WORK_PACE_HPP
#define BARLEYFORK_CORE_WORK_PACE_HPP

#include <barleyfork/base/time.hpp>

#include <cstddef>

namespace barleyfork {

/// Decides whether the placement's holder looks at its servers at once when
/// it is told something, or leaves it to its next regular look.
///
/// A look costs time for each server. Few daemons tell little, so each word is
/// worth one; hundreds would keep the holder from all else. Not thread-safe.
class work_pace
{
public:
    /// Up to this many daemons each word has its own look.
    static constexpr std::size_t few_daemons = 16;
    /// With more, looks are at least so far apart.
    static constexpr duration least_pause{50};

    /// True where a look is to be taken now.
    bool take(std::size_t daemons, time_point now) noexcept
    {
        if (daemons > few_daemons && now < last_ + least_pause)
            return false;
        last_ = now;
        return true;
    }

private:
    time_point last_{};
};

} // namespace barleyfork

#endif
