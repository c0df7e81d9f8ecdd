#ifndef BARLEYFORK_CORE_RETRY_BUDGET_HPP
#define BARLEYFORK_CORE_RETRY_BUDGET_HPP

#include <cstdint>

namespace barleyfork {

/// Bounds second tries as a share of first tries, over all requests of a
/// daemon, so that retries can't multiply an overload. Not thread-safe.
class retry_budget
{
public:
    /// `percent` of first tries may be repeated; a few are always allowed.
    explicit retry_budget(std::uint32_t percent);

    /// Counts a first try.
    void on_first_try();

    /// Takes one retry where the budget has it.
    bool try_take();

    /// Retries left now.
    double left() const noexcept
    {
        return credit_;
    }

private:
    double per_try_;
    double credit_;
};

} // namespace barleyfork

#endif
