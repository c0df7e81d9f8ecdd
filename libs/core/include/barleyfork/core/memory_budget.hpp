#ifndef BARLEYFORK_CORE_MEMORY_BUDGET_HPP
#define BARLEYFORK_CORE_MEMORY_BUDGET_HPP

#include <algorithm>
#include <cstddef>

namespace barleyfork {

/// Limit on the memory that many users share, in total and for each of them.
/// Not thread-safe.
class memory_budget
{
public:
    /// Limits in bytes.
    memory_budget(std::size_t max_total, std::size_t max_per_user)
        : max_total_(max_total), max_per_user_(max_per_user)
    {
    }

    std::size_t held() const noexcept
    {
        return held_;
    }

    /// Returns the capacity to which a buffer of `capacity` bytes grows to hold
    /// `size` bytes: twice the present capacity within the limit for one user,
    /// so that the buffer is rarely moved, or `size` where that is more.
    std::size_t grown(std::size_t capacity, std::size_t size) const noexcept
    {
        if (size <= capacity)
            return capacity;
        return std::max(size, std::min(2 * capacity, max_per_user_));
    }

    /// Memory of one user; returned to the budget by the destructor.
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

        /// Sets the memory in use to `size` bytes. Returns false, and changes
        /// nothing, where the limits do not allow this.
        bool resize(std::size_t size)
        {
            const auto others = budget_.held_ - size_;
            const bool grows = size > size_;
            if (grows && (size > budget_.max_per_user_ ||
                          size > budget_.max_total_ -
                                     std::min(others, budget_.max_total_)))
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
    std::size_t max_total_;
    std::size_t max_per_user_;
    std::size_t held_ = 0;
};

} // namespace barleyfork

#endif
