#ifndef BARLEYFORK_CORE_DEMAND_ESTIMATOR_HPP
#define BARLEYFORK_CORE_DEMAND_ESTIMATOR_HPP

#include <barleyfork/base/time.hpp>

namespace barleyfork {

/// Half-lives of the two demand estimates.
struct demand_options
{
    duration fast_half_life{3000};
    duration peak_half_life{900000};
};

/// Tracks one model's demand as a fast moving average and a slowly decaying
/// peak.
///
/// The caller chooses the unit, such as server-seconds per second.
class demand_estimator
{
public:
    explicit demand_estimator(demand_options options = {});

    /// Records the demand since the previous call.
    void observe(double demand, time_point now);

    double fast() const noexcept
    {
        return fast_;
    }
    double peak() const noexcept
    {
        return peak_;
    }

private:
    demand_options options_;
    double fast_ = 0.0;
    double peak_ = 0.0;
    bool has_observation_ = false;
    time_point last_observed_at_{};
};

} // namespace barleyfork

#endif
