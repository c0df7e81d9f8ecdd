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

/// The orders of a holder of the placement's lease that still bind whoever
/// holds it next.
struct past_orders
{
    /// When each server was given its last order.
    std::map<server_id, time_point> last_order;
    /// When loads from the weight store were ordered.
    std::vector<time_point> store_loads;
};

/// What a new holder knows of the one before it.
struct previous_holder
{
    /// It gave no order later than this.
    time_point ended_at{};
    /// Its orders, where it told them as it let go.
    std::optional<past_orders> told;
};

/// For how long orders of one holder bind others.
struct order_bounds
{
    /// No server gets orders of two holders within this.
    duration holder_gap{3300};
    /// The weight store's bound holds over any span of this length.
    duration load_window{5000};
};

/// Those of the orders that still bind others.
past_orders
binding_orders(const past_orders& orders, order_bounds bounds, time_point now);

/// What a holder that lets go may tell of its own and earlier orders; nothing
/// while orders of an earlier holder bind that it was not told of.
std::optional<past_orders> orders_to_leave(const previous_holder& previous,
                                           past_orders own,
                                           order_bounds bounds,
                                           time_point now);

/// The orders of earlier holders that still bind: a process that takes the
/// lease again must not forget them.
past_orders orders_of_others(const previous_holder& previous,
                             order_bounds bounds,
                             time_point now);

/// A daemon that could hold the placement's lease next.
struct successor_candidate
{
    instance_id id;
    double link_mbps = 0.0;
    /// When its process started, in Unix milliseconds.
    std::uint64_t started_ms = 0;
    /// When it was heard last; the clock's zero where it never was.
    time_point heard_at{};
};

/// A daemon that was not heard for this long is not chosen.
constexpr duration successor_silence{1500};

/// The place of the daemon that is to take the lease from a holder that lets
/// go; nothing where none was heard lately.
///
/// A wide link goes first, since the holder speaks to all. Of equal ones the
/// process that started last: where daemons are restarted in turn, its turn
/// is over.
std::optional<std::size_t>
choose_successor(std::span<const successor_candidate> candidates,
                 time_point now);

} // namespace barleyfork

#endif
