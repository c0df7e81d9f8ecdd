#include <barleyfork/core/pace_estimator.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// What remains of older observations with each new one.
constexpr double memory = 0.98;
/// Observations before the line is trusted.
constexpr double least_weight = 8.0;
/// Bounds on what an engine can plausibly take for a token, in ms.
constexpr double least_slope = 0.004;
constexpr double largest_slope = 0.2;
constexpr double largest_base = 500.0;

} // namespace

void pace_estimator::observe(std::uint64_t tokens, duration first_event)
{
    const auto x = static_cast<double>(tokens);
    const auto y = static_cast<double>(first_event.count());
    weight_ = weight_ * memory + 1.0;
    sum_x_ = sum_x_ * memory + x;
    sum_y_ = sum_y_ * memory + y;
    sum_xx_ = sum_xx_ * memory + x * x;
    sum_xy_ = sum_xy_ * memory + x * y;
    const double spread = weight_ * sum_xx_ - sum_x_ * sum_x_;
    if (weight_ < least_weight || spread <= 0.0)
        return;
    const double slope = (weight_ * sum_xy_ - sum_x_ * sum_y_) / spread;
    slope_ = std::clamp(slope, least_slope, largest_slope);
    base_ = std::clamp((sum_y_ - slope_ * sum_x_) / weight_, 0.0, largest_base);
}

} // namespace barleyfork
