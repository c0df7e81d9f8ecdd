#ifndef BARLEYFORK_CORE_FAIR_QUEUE_HPP
#define BARLEYFORK_CORE_FAIR_QUEUE_HPP

#include <barleyfork/base/strong_id.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace barleyfork {

/// A ticket for one waiting request.
enum class queue_ticket : std::uint64_t
{
};

/// A bounded queue that is fair among organisations by their weights.
///
/// When full, the newest request of the organisation that is most over its
/// share gives way, so a burst of one can't push out another. Start-time fair
/// queueing with one unit of cost for each request. Not thread-safe.
class fair_queue
{
public:
    explicit fair_queue(std::size_t limit);

    struct push_result
    {
        /// The new request's ticket, or nothing where it was refused.
        std::optional<queue_ticket> ticket;
        /// A waiting request that had to give way.
        std::optional<queue_ticket> displaced;
    };

    /// Adds a request of `owner`.
    push_result push(const organisation_id& owner, std::uint32_t weight);

    /// The next request by fair share, or nothing where none waits.
    std::optional<queue_ticket> pop();

    /// Takes out a request whose caller left or whose time is up.
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

    queue_map::iterator most_over_share();

    std::size_t limit_;
    std::size_t size_ = 0;
    std::uint64_t next_ticket_ = 1;
    double virtual_now_ = 0.0;
    queue_map queues_;
};

} // namespace barleyfork

#endif
