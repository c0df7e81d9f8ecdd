#include <barleyfork/core/slowness_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace barleyfork {

namespace {

/// Time over which figures are averaged, in milliseconds: several updates
/// between daemons, and many changes of the figure.
constexpr double averaging_ms = 1000.0;
/// Half-life of the estimate once nothing was heard for the averaging time, in
/// milliseconds.
constexpr double half_life_ms = 2000.0;
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 4.0;
/// Weight of a figure that arrives with the one before it.
constexpr double min_weight = 0.02;

double age_ms(time_point since, time_point now)
{
    return std::max(0.0, static_cast<double>((now - since).count()));
}

} // namespace

void slowness_estimate::observe(double slowness, time_point now) noexcept
{
    const double sample =
        std::clamp(slowness, min_slowness, max_slowness) - 1.0;
    const double age = has_value_ ? age_ms(observed_at_, now) : averaging_ms;
    const double weight =
        std::max(1.0 - std::exp(-age / averaging_ms), min_weight);
    const double before = value(now) - 1.0;
    excess_ = before + weight * (sample - before);
    observed_at_ = now;
    has_value_ = true;
}

double slowness_estimate::value(time_point now) const noexcept
{
    if (!has_value_)
        return 1.0;
    const double silent_ms =
        std::max(age_ms(observed_at_, now) - averaging_ms, 0.0);
    return 1.0 + excess_ * std::exp2(-silent_ms / half_life_ms);
}

} // namespace barleyfork
