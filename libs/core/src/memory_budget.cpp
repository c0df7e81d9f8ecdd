#include <barleyfork/core/memory_budget.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

std::size_t memory_budget::grown(std::size_t capacity,
                                 std::size_t size) const noexcept
{
    if (size <= capacity)
        return capacity;
    return std::max(size, std::min(2 * capacity, max_per_user_));
}

memory_budget::share* memory_budget::largest_reclaimable() const
{
    const auto largest = std::max_element(
        reclaimable_.begin(),
        reclaimable_.end(),
        [](const share* x, const share* y) { return x->size_ < y->size_; });
    return largest == reclaimable_.end() ? nullptr : *largest;
}

/// Reclaims memory of users that hold more than `size` bytes until `user` can
/// have that. Returns false where this is not possible.
bool memory_budget::make_room(std::size_t size, const share& user)
{
    if (size <= guaranteed_)
        return true;
    if (size > max_per_user_)
        return false;
    while (held_ - user.size_ + size > max_total_) {
        const auto* largest = largest_reclaimable();
        if (largest == nullptr || largest->size_ <= size || largest == &user)
            return false;
        const auto before = held_;
        largest->reclaimed_handler_();
        if (held_ >= before)
            return false;
    }
    return true;
}

memory_budget::share::~share()
{
    resize(0);
    std::erase(budget_.reclaimable_, this);
}

void memory_budget::share::on_reclaimed(std::function<void()> handler)
{
    reclaimed_handler_ = std::move(handler);
    budget_.reclaimable_.push_back(this);
}

bool memory_budget::share::resize(std::size_t size)
{
    if (size > size_ && !budget_.make_room(size, *this))
        return false;
    budget_.held_ += size;
    budget_.held_ -= size_;
    size_ = size;
    return true;
}

} // namespace barleyfork
