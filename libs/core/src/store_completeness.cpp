#include <barleyfork/core/store_completeness.hpp>

#include <utility>

namespace barleyfork {

void store_completeness::observe(std::uint64_t era, time_point now) noexcept
{
    if (era <= era_)
        return;
    era_ = era;
    if (std::exchange(is_first_start_, false))
        return;
    restored_at_ = now;
    awaits_service_ = true;
}

void store_completeness::on_served(std::uint64_t era, time_point now) noexcept
{
    // An era that appears later is that of a restore.
    is_first_start_ = false;
    if (era != era_ || !std::exchange(awaits_service_, false))
        return;
    restored_at_ = now;
}

bool store_completeness::on_recorded(std::uint64_t era) noexcept
{
    if (era != era_ || !restored_at_)
        return false;
    restored_at_.reset();
    awaits_service_ = false;
    return true;
}

bool store_completeness::is_complete(time_point began,
                                     duration rewrite_time) const noexcept
{
    if (!restored_at_)
        return true;
    return !awaits_service_ && began >= *restored_at_ + rewrite_time;
}

std::uint64_t store_completeness::complete_era(time_point now,
                                               duration rewrite_time) noexcept
{
    if (is_complete(now, rewrite_time))
        complete_era_ = era_;
    return complete_era_;
}

} // namespace barleyfork
