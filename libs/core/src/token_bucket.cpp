#include <barleyfork/core/token_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace barleyfork {

namespace {

constexpr double milliseconds_per_second = 1000.0;
constexpr duration max_wait{60000};

} // namespace

void token_bucket::set_rate(double per_second, time_point now)
{
    refill(now);
    per_second_ = per_second;
    if (!has_rate_) {
        has_rate_ = true;
        refilled_at_ = now;
        level_ = std::max(1.0, per_second);
    }
    level_ = std::min(level_, std::max(1.0, per_second));
}

bool token_bucket::try_take(double amount, time_point now)
{
    refill(now);
    if (level_ < amount)
        return false;
    level_ -= amount;
    return true;
}

void token_bucket::take(double amount, time_point now)
{
    refill(now);
    level_ -= amount;
}

duration token_bucket::wait_for(double amount, time_point now)
{
    refill(now);
    if (level_ >= amount)
        return duration{0};
    if (per_second_ <= 0.0)
        return max_wait;
    const double wait =
        (amount - level_) / per_second_ * milliseconds_per_second;
    // A declared rate may be so low that no duration holds the wait.
    if (wait >= static_cast<double>(max_wait.count()))
        return max_wait;
    return duration(static_cast<std::int64_t>(std::ceil(wait)));
}

void token_bucket::refill(time_point now)
{
    if (!has_rate_ || now <= refilled_at_)
        return;
    const auto elapsed = static_cast<double>((now - refilled_at_).count());
    level_ = std::min(std::max(1.0, per_second_),
                      level_ + per_second_ * elapsed / milliseconds_per_second);
    refilled_at_ = now;
}

} // namespace barleyfork
