#ifndef BARLEYFORK_CORE_LASTING_STATE_HPP
#define BARLEYFORK_CORE_LASTING_STATE_HPP

#include <barleyfork/base/time.hpp>

#include <optional>

namespace barleyfork {

/// Tells a state that lasts from one that news under way will end.
///
/// Not thread-safe.
class lasting_state
{
public:
    explicit constexpr lasting_state(duration patience) : patience_(patience) {}

    /// The state holds. True once it did so for the patience, and then no more
    /// often than that.
    bool holds(time_point now)
    {
        if (!since_)
            since_ = now;
        if (now < *since_ + patience_)
            return false;
        since_ = now;
        return true;
    }

    /// The state does not hold any more.
    void ends() noexcept
    {
        since_.reset();
    }

private:
    duration patience_;
    std::optional<time_point> since_;
};

} // namespace barleyfork

#endif
