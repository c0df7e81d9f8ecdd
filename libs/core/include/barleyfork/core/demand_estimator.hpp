#ifndef BARLEYFORK_CORE_DEMAND_ESTIMATOR_HPP
#define BARLEYFORK_CORE_DEMAND_ESTIMATOR_HPP

#include <barleyfork/base/time.hpp>

namespace barleyfork {

/// How fast the two estimates follow the demand.
struct demand_options
{
    /// Half-life of the fast estimate.
    duration fast_half_life{3000};
    /// Half-life of the decaying peak.
    duration peak_half_life{900000};
};

/// Follows one model's demand: a fast average and a slowly decaying peak.
///
/// The unit is the caller's, such as server-seconds a second.
class demand_estimator
{
public:
    explicit demand_estimator(demand_options options = {});

    /// Takes in the demand seen since the last call.
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
    bool started_ = false;
    time_point last_{};
};

} // namespace barleyfork

#endif
