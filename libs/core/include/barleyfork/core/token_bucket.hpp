#ifndef BARLEYFORK_CORE_TOKEN_BUCKET_HPP
#define BARLEYFORK_CORE_TOKEN_BUCKET_HPP

#include <barleyfork/base/time.hpp>

namespace barleyfork {

/// A rate limit with a burst of one second. Not thread-safe.
class token_bucket
{
public:
    token_bucket() = default;

    /// Sets the rate in units a second; what is in the bucket stays, up to
    /// the new burst.
    void set_rate(double per_second, time_point now);

    /// Takes `amount` where it is there.
    bool try_take(double amount, time_point now);

    /// Takes `amount` whether it is there or not; the bucket may go negative.
    void take(double amount, time_point now);

    /// How long until `amount` will be there.
    duration wait_for(double amount, time_point now);

private:
    void refill(time_point now);

    double per_second_ = 0.0;
    double level_ = 0.0;
    bool started_ = false;
    time_point refilled_at_{};
};

} // namespace barleyfork

#endif
