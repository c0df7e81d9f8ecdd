#include <barleyfork/core/concurrency_limit.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

constexpr double first_limit = 16.0;
constexpr double least_limit = 1.0;
constexpr double decrease = 0.85;
/// Late tokens of one crowd count once.
constexpr duration decrease_interval{300};
/// Shrinks before the target is missed.
constexpr double target_share = 0.9;

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t largest)
    : largest_(largest), limit_(std::min(first_limit, largest_))
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
        limit_ = std::max(least_limit, limit_ * decrease);
        return;
    }
    // A limit that is not used says nothing about a larger one.
    if (2.0 * outstanding >= limit_)
        limit_ = std::min(largest_, limit_ + 1.0 / limit_);
}

std::uint32_t concurrency_limit::limit() const noexcept
{
    return static_cast<std::uint32_t>(limit_);
}

} // namespace barleyfork
