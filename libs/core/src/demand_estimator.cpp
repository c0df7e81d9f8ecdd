#include <barleyfork/core/demand_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace barleyfork {

namespace {

double kept_share(duration elapsed, duration half_life)
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
    if (!started_) {
        started_ = true;
        last_ = now;
        fast_ = demand;
        peak_ = demand;
        return;
    }
    const auto elapsed = now - last_;
    last_ = now;
    const double kept = kept_share(elapsed, options_.fast_half_life);
    fast_ = kept * fast_ + (1.0 - kept) * demand;
    peak_ =
        std::max(fast_, peak_ * kept_share(elapsed, options_.peak_half_life));
}

} // namespace barleyfork
