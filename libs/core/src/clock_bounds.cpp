#include <barleyfork/core/clock_bounds.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// Two clocks differ by at most one part in this many in their rates.
constexpr std::int64_t drift_divisor = 5000;

std::int64_t to_ms(time_point at)
{
    return at.time_since_epoch().count();
}

} // namespace

/// Returns by how much a bound may differ at `at` from when it was observed.
std::int64_t clock_bounds::max_drift_ms(const bound& from, time_point at)
{
    const auto distance = std::chrono::abs(at - from.observed_at);
    return distance.count() / drift_divisor + 1;
}

void clock_bounds::observe(std::int64_t reading_ms,
                           time_point sent,
                           time_point received)
{
    const bound lower{reading_ms - to_ms(received), received};
    const bound upper{reading_ms - to_ms(sent), received};
    const auto known_lower =
        lower_.difference_ms - max_drift_ms(lower_, received);
    const auto known_upper =
        upper_.difference_ms + max_drift_ms(upper_, received);
    // The other clock was set anew if the reading contradicts earlier ones.
    const bool contradicts =
        lower.difference_ms > known_upper || upper.difference_ms < known_lower;
    if (!is_known_ || contradicts || lower.difference_ms >= known_lower)
        lower_ = lower;
    if (!is_known_ || contradicts || upper.difference_ms <= known_upper)
        upper_ = upper;
    is_known_ = true;
}

std::optional<std::int64_t>
clock_bounds::reading_reached_at(time_point at) const
{
    if (!is_known_)
        return std::nullopt;
    return to_ms(at) + lower_.difference_ms - max_drift_ms(lower_, at);
}

std::optional<time_point>
clock_bounds::time_before(std::int64_t reading_ms) const
{
    if (!is_known_)
        return std::nullopt;
    const time_point at(duration(reading_ms - upper_.difference_ms));
    return at - duration(max_drift_ms(upper_, at));
}

} // namespace barleyfork
