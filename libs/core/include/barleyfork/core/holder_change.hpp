#ifndef BARLEYFORK_CORE_HOLDER_CHANGE_HPP
#define BARLEYFORK_CORE_HOLDER_CHANGE_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/base/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace barleyfork {

/// The orders of a holder of the placement lease that still restrict the next
/// holder.
struct past_orders
{
    /// When each server received its last order.
    std::map<server_id, time_point> last_order;
    /// When loads from the weight store were ordered.
    std::vector<time_point> store_loads;
};

/// What a new holder knows about its predecessor.
struct previous_holder
{
    /// The predecessor sent no order after this time.
    time_point ended_at{};
    /// Its orders, if it reported them when it released the lease.
    std::optional<past_orders> told;
};

/// How long the orders of one holder restrict others.
struct order_bounds
{
    /// Minimum time between the orders of two holders to one server.
    duration min_holder_gap{3300};
    /// Any window of this length is subject to the weight store's load limit.
    duration load_window{5000};
};

/// Returns those of the orders that still restrict other holders.
past_orders
binding_orders(const past_orders& orders, order_bounds bounds, time_point now);

/// Returns the orders, its own and those of earlier holders, that a holder
/// hands over when it releases the lease. Returns nothing while unreported
/// orders of an earlier holder may still be binding.
std::optional<past_orders> orders_to_hand_over(const previous_holder& previous,
                                               past_orders own,
                                               order_bounds bounds,
                                               time_point now);

/// Returns the orders of earlier holders that are still binding. A process that
/// acquires the lease again must still observe them.
past_orders orders_of_earlier_holders(const previous_holder& previous,
                                      order_bounds bounds,
                                      time_point now);

/// A daemon that could become the next lease holder.
struct successor_candidate
{
    instance_id id;
    double link_mbps = 0.0;
    /// When its process started, in Unix milliseconds.
    std::uint64_t started_ms = 0;
    /// When its last message arrived; the clock's zero if none ever did.
    time_point last_seen_at{};
};

/// A daemon that has sent nothing for this long is not chosen.
constexpr duration max_successor_silence{1500};

/// Returns the index of the daemon that is to take over the lease when its
/// holder releases it, or nothing if all candidates are silent.
///
/// Prefers the daemon with the widest link, since the holder communicates with
/// all daemons; among equal links, the process that started last: in a rolling
/// restart it has already been restarted.
std::optional<std::size_t>
choose_successor(std::span<const successor_candidate> candidates,
                 time_point now);

} // namespace barleyfork

#endif
