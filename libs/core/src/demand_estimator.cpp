#include <barleyfork/core/demand_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace barleyfork {

namespace {

double decay_factor(duration elapsed, duration half_life)
{
    return std::exp2(-static_cast<double>(elapsed.count()) /
                     static_cast<double>(half_life.count()));
}

} // namespace

demand_estimator::demand_estimator(demand_options options) : options_(options)
{
}

void demand_estimator::observe(double demand, time_point now)
{
    if (!has_observation_) {
        has_observation_ = true;
        last_observed_at_ = now;
        fast_ = demand;
        peak_ = demand;
        return;
    }
    const auto elapsed = now - last_observed_at_;
    last_observed_at_ = now;
    const double decay = decay_factor(elapsed, options_.fast_half_life);
    fast_ = decay * fast_ + (1.0 - decay) * demand;
    peak_ =
        std::max(fast_, peak_ * decay_factor(elapsed, options_.peak_half_life));
}

} // namespace barleyfork
