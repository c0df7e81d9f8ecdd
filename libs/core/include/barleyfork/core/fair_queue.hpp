#ifndef BARLEYFORK_CORE_FAIR_QUEUE_HPP
#define BARLEYFORK_CORE_FAIR_QUEUE_HPP

#include <barleyfork/base/strong_id.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace barleyfork {

/// Identifies one waiting request.
enum class queue_ticket : std::uint64_t
{
};

/// A bounded queue with weighted fairness among organisations.
///
/// A full queue drops the newest request of the organisation that exceeds its
/// share the most, so that a burst of one organisation cannot displace the
/// requests of another. Start-time fair queueing with a cost of one unit per
/// request. Not thread-safe.
class fair_queue
{
public:
    explicit fair_queue(std::size_t max_size);

    struct push_result
    {
        /// The ticket of the new request; empty if the request was rejected.
        std::optional<queue_ticket> ticket;
        /// The waiting request that was dropped in favour of the new one.
        std::optional<queue_ticket> displaced;
    };

    /// Adds a request of `owner`, whose weight is set to `weight`, at least 1.
    push_result push(const organisation_id& owner, std::uint32_t weight);

    /// Removes and returns the next request by fair share; empty if no request
    /// is waiting.
    std::optional<queue_ticket> pop();

    /// Removes a request whose caller closed the connection or whose deadline
    /// has passed. Does nothing if the request is not waiting.
    void remove(queue_ticket ticket);

    std::size_t size() const noexcept
    {
        return size_;
    }

private:
    struct organisation_queue
    {
        std::deque<queue_ticket> waiting;
        std::uint32_t weight = 1;
        double virtual_time = 0.0;
    };

    using queue_map = std::map<organisation_id, organisation_queue>;

    /// Returns the organisation with the most waiting requests per weight.
    queue_map::iterator find_longest_by_weight();

    std::size_t max_size_;
    std::size_t size_ = 0;
    std::uint64_t next_ticket_ = 1;
    double virtual_now_ = 0.0;
    queue_map queues_;
};

} // namespace barleyfork

#endif
