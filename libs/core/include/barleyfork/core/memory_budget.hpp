#ifndef BARLEYFORK_CORE_MEMORY_BUDGET_HPP
#define BARLEYFORK_CORE_MEMORY_BUDGET_HPP

#include <cstddef>
#include <functional>
#include <vector>

namespace barleyfork {

/// Limit on the memory that many users share, in total and for each of them.
///
/// Where the total is used up, the user that holds the most gives up its memory
/// for one that needs less: one user that fills all of it does not keep it from
/// the others. Each user has a small amount in any case, even beyond the total.
/// Not thread-safe.
class memory_budget
{
public:
    /// Limits in bytes; `guaranteed` is what each user has in any case.
    memory_budget(std::size_t max_total,
                  std::size_t max_per_user,
                  std::size_t guaranteed = 0)
        : max_total_(max_total), max_per_user_(max_per_user),
          guaranteed_(guaranteed)
    {
    }

    std::size_t held() const noexcept
    {
        return held_;
    }

    /// Returns the capacity to which a buffer of `capacity` bytes grows to hold
    /// `size` bytes: twice the present capacity within the limit for one user,
    /// so that the buffer is rarely moved, or `size` where that is more.
    std::size_t grown(std::size_t capacity, std::size_t size) const noexcept;

    /// Memory of one user; returned to the budget by the destructor.
    class share
    {
    public:
        explicit share(memory_budget& budget) : budget_(budget) {}
        share(const share&) = delete;
        share& operator=(const share&) = delete;
        ~share();

        /// Sets how this user gives up its memory. The handler must call
        /// `resize(0)`; it is called while another user's memory grows. Without
        /// one the user keeps what it has.
        void on_reclaimed(std::function<void()> handler);

        /// Sets the memory in use to `size` bytes. Returns false, and changes
        /// nothing, where the limits do not allow this.
        bool resize(std::size_t size);

        /// Returns the memory in use in bytes.
        std::size_t size() const noexcept
        {
            return size_;
        }

    private:
        friend class memory_budget;

        memory_budget& budget_;
        std::size_t size_ = 0;
        std::function<void()> reclaimed_handler_;
    };

private:
    bool make_room(std::size_t size, const share& user);
    share* largest_reclaimable() const;

    std::size_t max_total_;
    std::size_t max_per_user_;
    std::size_t guaranteed_;
    std::size_t held_ = 0;
    /// Users that give up their memory for others.
    std::vector<share*> reclaimable_;
};

} // namespace barleyfork

#endif
