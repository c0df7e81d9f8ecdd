#include <barleyfork/core/pace_estimator.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// Factor by which each new observation scales the weight of older ones.
constexpr double decay = 0.98;
/// Total weight of observations below which the fit is not used.
constexpr double min_weight = 8.0;
/// Plausible limits: time per token and time to the first event without
/// tokens, in ms.
constexpr double min_slope = 0.004;
constexpr double max_slope = 0.2;
constexpr double max_base = 500.0;

} // namespace

void pace_estimator::observe(std::uint64_t tokens, duration first_event)
{
    const auto x = static_cast<double>(tokens);
    const auto y = static_cast<double>(first_event.count());
    weight_ = weight_ * decay + 1.0;
    sum_x_ = sum_x_ * decay + x;
    sum_y_ = sum_y_ * decay + y;
    sum_xx_ = sum_xx_ * decay + x * x;
    sum_xy_ = sum_xy_ * decay + x * y;
    const double spread = weight_ * sum_xx_ - sum_x_ * sum_x_;
    if (weight_ < min_weight || spread <= 0.0)
        return;
    const double slope = (weight_ * sum_xy_ - sum_x_ * sum_y_) / spread;
    slope_ = std::clamp(slope, min_slope, max_slope);
    base_ = std::clamp((sum_y_ - slope_ * sum_x_) / weight_, 0.0, max_base);
}

} // namespace barleyfork
