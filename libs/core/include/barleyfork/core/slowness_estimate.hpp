#ifndef BARLEYFORK_CORE_SLOWNESS_ESTIMATE_HPP
#define BARLEYFORK_CORE_SLOWNESS_ESTIMATE_HPP

#include <barleyfork/base/time.hpp>

namespace barleyfork {

/// Estimates how long work takes on a server's machine, relative to usual,
/// from figures that change faster than they arrive: an average over time that
/// is forgotten when nothing is heard. Not thread-safe.
class slowness_estimate
{
public:
    /// Records a figure of the server; 1 means as usual.
    void observe(double slowness, time_point now) noexcept;

    /// Returns the estimate, 0.5 to 4; 1 if nothing was heard lately.
    double value(time_point now) const noexcept;

private:
    double excess_ = 0.0;
    time_point observed_at_{};
    bool has_value_ = false;
};

} // namespace barleyfork

#endif
