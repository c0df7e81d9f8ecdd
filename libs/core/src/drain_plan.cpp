#include <barleyfork/core/drain_plan.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// A plain request is worth beginning for this long.
constexpr duration plain_answer_time{700};

} // namespace

drain_plan::drain_plan(time_point began, duration grace)
    : draining_(true), began_(began),
      ends_at_(began + std::max(grace - stop_margin, leave_rotation))
{
}

bool drain_plan::begins_plain(time_point now) const noexcept
{
    const bool in_time =
        !left_rotation(now) || now + plain_answer_time <= ends_at_;
    return !closed_ && (!draining_ || in_time);
}

bool drain_plan::begins_stream(time_point now) const noexcept
{
    return !closed_ && (!draining_ || !left_rotation(now));
}

} // namespace barleyfork
