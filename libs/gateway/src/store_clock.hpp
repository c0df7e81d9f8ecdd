#ifndef BARLEYFORK_GATEWAY_SRC_STORE_CLOCK_HPP
#define BARLEYFORK_GATEWAY_SRC_STORE_CLOCK_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/core/clock_bounds.hpp>

#include <cstdint>

namespace barleyfork {

/// Estimates the store's steady clock, which all daemons share, from its last
/// response.
class store_clock
{
public:
    /// Records the reading in a response. With the time at which the request
    /// was sent as `at`, estimates are never too low; with the time at which
    /// the response arrived, never too high.
    void observe(std::int64_t store_ms, time_point at) noexcept
    {
        if (store_ms <= 0)
            return;
        store_ms_ = store_ms;
        at_ = at;
    }

    /// Records the reading in the response to a call that was sent and answered
    /// at these times.
    void observe_call(std::int64_t store_ms,
                      time_point sent,
                      time_point received) noexcept
    {
        observe(store_ms, received);
        if (store_ms > 0)
            bounds_.observe(store_ms, sent, received);
    }

    const clock_bounds& bounds() const noexcept
    {
        return bounds_;
    }

    bool is_known() const noexcept
    {
        return store_ms_ != 0;
    }

    /// Returns the estimate in milliseconds, or 0 if there was no response yet.
    std::int64_t estimate(time_point now) const noexcept
    {
        return is_known() ? store_ms_ + (now - at_).count() : 0;
    }

private:
    std::int64_t store_ms_ = 0;
    time_point at_{};
    clock_bounds bounds_;
};

} // namespace barleyfork

#endif
