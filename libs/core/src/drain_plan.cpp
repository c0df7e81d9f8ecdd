#include <barleyfork/core/drain_plan.hpp>

#include <algorithm>

namespace barleyfork {

drain_plan::drain_plan(time_point drain_started_at, duration grace)
    : is_draining_(true), drain_started_at_(drain_started_at),
      exits_at_(drain_started_at +
                std::max(grace - stop_margin, rotation_exit_delay))
{
}

bool drain_plan::accepts_plain(time_point now,
                               time_point deadline) const noexcept
{
    const bool has_time_left = !has_left_rotation(now) || deadline <= exits_at_;
    return !is_closed_ && (!is_draining_ || has_time_left);
}

bool drain_plan::accepts_streams(time_point now) const noexcept
{
    return !is_closed_ && (!is_draining_ || !has_left_rotation(now));
}

} // namespace barleyfork
