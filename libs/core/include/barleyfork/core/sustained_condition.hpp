#ifndef BARLEYFORK_CORE_SUSTAINED_CONDITION_HPP
#define BARLEYFORK_CORE_SUSTAINED_CONDITION_HPP

#include <barleyfork/base/time.hpp>

#include <optional>

namespace barleyfork {

/// Detects a condition that persists for a grace period, as opposed to one that
/// a message already in transit will end. Not thread-safe.
class sustained_condition
{
public:
    explicit constexpr sustained_condition(duration grace_period)
        : grace_period_(grace_period)
    {
    }

    /// Records that the condition is true. Returns true once the condition
    /// has persisted for the grace period, and again after each further
    /// grace period at the earliest.
    bool holds(time_point now)
    {
        if (!since_)
            since_ = now;
        if (now < *since_ + grace_period_)
            return false;
        since_ = now;
        return true;
    }

    /// Records that the condition has become false.
    void ends() noexcept
    {
        since_.reset();
    }

private:
    duration grace_period_;
    std::optional<time_point> since_;
};

} // namespace barleyfork

#endif
