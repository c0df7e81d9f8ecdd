#ifndef BARLEYFORK_CORE_MEMORY_BUDGET_HPP
#define BARLEYFORK_CORE_MEMORY_BUDGET_HPP

#include <algorithm>
#include <cstddef>

namespace barleyfork {

/// Memory that many holders may use together, and each of them alone. Not
/// thread-safe.
class memory_budget
{
public:
    /// Limits in bytes.
    memory_budget(std::size_t most_all, std::size_t most_one)
        : most_all_(most_all), most_one_(most_one)
    {
    }

    std::size_t held() const noexcept
    {
        return held_;
    }

    /// What a buffer of `capacity` bytes is to have room for so that `size`
    /// fit: twice as much, so that it is rarely moved, within the limits.
    std::size_t grown(std::size_t capacity, std::size_t size) const noexcept
    {
        if (size <= capacity)
            return capacity;
        return std::max(size, std::min(2 * capacity, most_one_));
    }

    /// What one holder uses; gives it back at its end.
    class share
    {
    public:
        explicit share(memory_budget& budget) : budget_(budget) {}
        share(const share&) = delete;
        share& operator=(const share&) = delete;
        ~share()
        {
            resize(0);
        }

        /// Uses `size` bytes from now on; false, and nothing changed, where
        /// that is more than the limits allow.
        bool resize(std::size_t size)
        {
            const auto others = budget_.held_ - size_;
            const bool grows = size > size_;
            if (grows && (size > budget_.most_one_ ||
                          size > budget_.most_all_ -
                                     std::min(others, budget_.most_all_)))
                return false;
            budget_.held_ = others + size;
            size_ = size;
            return true;
        }

    private:
        memory_budget& budget_;
        std::size_t size_ = 0;
    };

private:
    std::size_t most_all_;
    std::size_t most_one_;
    std::size_t held_ = 0;
};

} // namespace barleyfork

#endif
