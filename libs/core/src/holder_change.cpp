#include <barleyfork/core/holder_change.hpp>

#include <algorithm>
#include <tuple>

namespace barleyfork {

past_orders
binding_orders(const past_orders& orders, order_bounds bounds, time_point now)
{
    past_orders binding;
    for (const auto& [server, at] : orders.last_order)
        if (now < at + bounds.min_holder_gap)
            binding.last_order.emplace(server, at);
    for (const auto at : orders.store_loads)
        if (now < at + bounds.load_window)
            binding.store_loads.push_back(at);
    return binding;
}

past_orders orders_of_earlier_holders(const previous_holder& previous,
                                      order_bounds bounds,
                                      time_point now)
{
    return previous.told ? binding_orders(*previous.told, bounds, now)
                         : past_orders();
}

std::optional<past_orders> orders_to_hand_over(const previous_holder& previous,
                                               past_orders own,
                                               order_bounds bounds,
                                               time_point now)
{
    const auto max_binding_time =
        std::max(bounds.min_holder_gap, bounds.load_window);
    if (!previous.told && now < previous.ended_at + max_binding_time)
        return std::nullopt;
    const auto others = orders_of_earlier_holders(previous, bounds, now);
    for (const auto& [server, at] : others.last_order)
        own.last_order.emplace(server, at);
    return own;
}

std::optional<std::size_t>
choose_successor(std::span<const successor_candidate> candidates,
                 time_point now)
{
    const auto rank = [](const successor_candidate& candidate) {
        return std::tie(
            candidate.link_mbps, candidate.started_ms, candidate.id);
    };
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        const bool is_silent =
            candidate.last_seen_at == time_point{} ||
            now >= candidate.last_seen_at + max_successor_silence;
        if (is_silent || (best && rank(candidate) <= rank(candidates[*best])))
            continue;
        best = i;
    }
    return best;
}

} // namespace barleyfork
