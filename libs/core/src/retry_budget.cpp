#include <barleyfork/core/retry_budget.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

/// Retries that a daemon with little traffic has available.
constexpr double initial_credit = 10.0;
constexpr double max_credit = 100.0;

} // namespace

retry_budget::retry_budget(std::uint32_t percent)
    : credit_per_attempt_(percent / 100.0),
      credit_(percent == 0 ? 0.0 : initial_credit)
{
}

void retry_budget::on_first_attempt()
{
    credit_ = std::min(max_credit, credit_ + credit_per_attempt_);
}

bool retry_budget::try_take()
{
    if (credit_ < 1.0)
        return false;
    credit_ -= 1.0;
    return true;
}

} // namespace barleyfork
