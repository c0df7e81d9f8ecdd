#include <barleyfork/core/retry_budget.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// A daemon with little traffic can still repeat this many.
constexpr double first_credit = 10.0;
constexpr double largest_credit = 100.0;

} // namespace

retry_budget::retry_budget(std::uint32_t percent)
    : per_try_(percent / 100.0), credit_(percent == 0 ? 0.0 : first_credit)
{
}

void retry_budget::on_first_try()
{
    credit_ = std::min(largest_credit, credit_ + per_try_);
}

bool retry_budget::try_take()
{
    if (credit_ < 1.0)
        return false;
    credit_ -= 1.0;
    return true;
}

} // namespace barleyfork
