#ifndef BARLEYFORK_CORE_RETRY_BUDGET_HPP
#define BARLEYFORK_CORE_RETRY_BUDGET_HPP

#include <cstdint>

namespace barleyfork {

/// Bounds retries to a share of the first attempts, over all requests of a
/// daemon, so that retries cannot amplify an overload. Not thread-safe.
class retry_budget
{
public:
    /// `percent` is the number of retries allowed per 100 first attempts. An
    /// initial credit allows a few retries before there was much traffic; with
    /// 0 percent there are none.
    explicit retry_budget(std::uint32_t percent);

    /// Counts a first attempt.
    void on_first_attempt();

    /// Takes one retry from the budget; returns false if none is left.
    bool try_take();

    /// Returns the number of retries left.
    double left() const noexcept
    {
        return credit_;
    }

private:
    double credit_per_attempt_;
    double credit_;
};

} // namespace barleyfork

#endif
