#ifndef BARLEYFORK_CORE_PACE_ESTIMATOR_HPP
#define BARLEYFORK_CORE_PACE_ESTIMATOR_HPP

#include <barleyfork/base/time.hpp>

#include <cstdint>

namespace barleyfork {

/// Learns how long an engine takes for a token of a prompt, from the time to
/// the first event of answers: a line through (tokens ahead and own, time),
/// by least squares with fading memory. Not thread-safe.
class pace_estimator
{
public:
    /// Takes in an answer's first event: `tokens` were to be read before it.
    void observe(std::uint64_t tokens, duration first_event);

    /// Milliseconds for a token.
    double ms_per_token() const noexcept
    {
        return slope_;
    }

    /// Milliseconds to the first event that do not depend on tokens.
    double base_ms() const noexcept
    {
        return base_;
    }

private:
    /// Before anything is known: a dense model of about 70 billion weights.
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
