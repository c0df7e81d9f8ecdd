#ifndef BARLEYFORK_CORE_TOKEN_BUCKET_HPP
#define BARLEYFORK_CORE_TOKEN_BUCKET_HPP

#include <barleyfork/base/time.hpp>

namespace barleyfork {

/// A rate limit that allows bursts of one second's rate, at least one unit. Not
/// thread-safe.
class token_bucket
{
public:
    token_bucket() = default;

    /// Sets the rate in units per second. The first call fills the bucket;
    /// later calls keep its level, up to the new burst size.
    void set_rate(double per_second, time_point now);

    /// Takes `amount` if the bucket contains that much; otherwise takes nothing
    /// and returns false.
    bool try_take(double amount, time_point now);

    /// Takes `amount` unconditionally; the level may become negative.
    void take(double amount, time_point now);

    /// Returns the time until the bucket contains `amount`, at most 60 s. A
    /// bucket with a rate of zero returns the maximum.
    duration wait_for(double amount, time_point now);

private:
    void refill(time_point now);

    double per_second_ = 0.0;
    double level_ = 0.0;
    bool has_rate_ = false;
    time_point refilled_at_{};
};

} // namespace barleyfork

#endif
