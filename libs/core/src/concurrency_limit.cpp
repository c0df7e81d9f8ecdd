#include <barleyfork/core/concurrency_limit.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

constexpr double initial_limit = 16.0;
constexpr double min_limit = 1.0;
constexpr double decrease_factor = 0.85;
/// First tokens that one burst delays cause a single decrease.
constexpr duration decrease_interval{300};
/// Share of the target above which the limit shrinks, so that it shrinks before
/// the target is missed.
constexpr double target_share = 0.9;

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t max_limit)
    : max_limit_(max_limit), limit_(std::min(initial_limit, max_limit_))
{
}

void concurrency_limit::on_first_token(double first_token_ms,
                                       double target_ms,
                                       std::uint32_t outstanding,
                                       time_point now)
{
    if (first_token_ms > target_share * target_ms) {
        if (now < decreased_at_ + decrease_interval)
            return;
        decreased_at_ = now;
        limit_ = std::max(min_limit, limit_ * decrease_factor);
        return;
    }
    // A first token in time while less than half of the limit is in use does
    // not show that a larger limit would meet the target.
    if (2.0 * outstanding >= limit_)
        limit_ = std::min(max_limit_, limit_ + 1.0 / limit_);
}

std::uint32_t concurrency_limit::limit() const noexcept
{
    return static_cast<std::uint32_t>(limit_);
}

} // namespace barleyfork
