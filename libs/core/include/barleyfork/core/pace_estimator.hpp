#ifndef BARLEYFORK_CORE_PACE_ESTIMATOR_HPP
#define BARLEYFORK_CORE_PACE_ESTIMATOR_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>

namespace barleyfork {

/// Estimates an engine's processing time per prompt token from the time to the
/// first event of responses. Fits a line through (tokens queued ahead plus own
/// tokens, time) by least squares with exponential forgetting. Not thread-safe.
class pace_estimator
{
public:
    /// Records the time to a response's first event, before which the engine
    /// had to process `tokens` prompt tokens.
    void observe(std::uint64_t tokens, duration first_event);

    double ms_per_token() const noexcept
    {
        return slope_;
    }

    /// The part of the time to the first event that does not depend on the
    /// number of tokens, in milliseconds.
    double base_ms() const noexcept
    {
        return base_;
    }

private:
    /// The initial values are those of a dense model with about 70 billion
    /// parameters.
    double slope_ = 0.04;
    double base_ = 30.0;
    double weight_ = 0.0;
    double sum_x_ = 0.0;
    double sum_y_ = 0.0;
    double sum_xx_ = 0.0;
    double sum_xy_ = 0.0;
};

} // namespace barleyfork

#endif
