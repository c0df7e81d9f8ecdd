/// The part of the placement controller that places adapters on servers.

#include <barleyfork/core/placement_controller.hpp>

#include "placement_timing.hpp"

#include <algorithm>

namespace barleyfork {

namespace {

/// The approximate time from the order of an adapter until it accepts
/// requests.
constexpr duration adapter_activation_time{25};
/// A request for an adapter that can't be satisfied is ignored after this time
/// without another request.
constexpr duration adapter_need_lifetime{3000};
/// The start of the wait for an adapter is kept for this long after its last
/// request.
constexpr duration adapter_need_retention{10000};
/// An adapter used within this time is not evicted, unless it has been resident
/// for the minimum residence time and callers have waited for another adapter
/// for the starvation threshold.
constexpr duration min_adapter_idle_time{1000};
constexpr duration min_adapter_residence_time{2000};
constexpr duration starvation_threshold{1500};
/// The place of an adapter that drains for longer than this does not count as
/// about to become free.
constexpr duration usual_drain_time{1000};
/// A draining adapter is unloaded after this time even if requests still use
/// it. Until then the unload is not ordered, since an unload that waits for
/// requests blocks all other orders to its server.
constexpr duration max_drain_time{10000};

} // namespace

void placement_controller::add_adapter_request(const model_id& model,
                                               const std::string& adapter,
                                               time_point now)
{
    auto& need =
        adapter_needs_.try_emplace({model, adapter}, adapter_need{now, now})
            .first->second;
    need.last_requested_at = now;
}

void placement_controller::used_adapter(const model_id& model,
                                        const std::string& adapter,
                                        time_point now)
{
    last_used_at_[{model, adapter}] = now;
}

std::size_t
placement_controller::count_adapters(const engine_server& server) const
{
    std::size_t count = 0;
    for (const auto& held : server.held.models)
        count += held.adapters.size();
    for (const auto& load : server.unsettled_loads)
        count += load.command.adapter.empty() ? 0 : 1;
    return count;
}

/// Returns whether the adapter is draining or being unloaded, so that it gets
/// no further requests.
bool placement_controller::is_being_removed(const engine_server& server,
                                            const adapter_key& key)
{
    const bool is_draining =
        std::any_of(server.draining_adapters.begin(),
                    server.draining_adapters.end(),
                    [&key](const auto& entry) { return entry.key == key; });
    return is_draining || std::find(server.unloading_adapters.begin(),
                                    server.unloading_adapters.end(),
                                    key) != server.unloading_adapters.end();
}

void placement_controller::record_adapter_uses(
    const instance_id& daemon,
    std::span<const adapter_use> uses,
    time_point now)
{
    reported_uses_.tell(daemon, uses, now);
}

bool placement_controller::is_used(const server_id& id,
                                   const adapter_key& key,
                                   time_point now) const
{
    return reported_uses_.contains(make_adapter_use(id, key.first, key.second),
                                   now);
}

/// Returns whether all daemons have stopped sending requests to the adapter and
/// none has one running, or the maximum drain time has passed.
bool placement_controller::is_drained(const server_id& id,
                                      const draining_adapter& entry,
                                      time_point now) const
{
    if (now < entry.since + options_.update_round_trip)
        return false;
    return now >= entry.since + max_drain_time || !is_used(id, entry.key, now);
}

/// Places the adapters that have waited longest first.
void placement_controller::collect_adapters(time_point now, actions& out)
{
    std::erase_if(adapter_needs_, [now](const auto& item) {
        return now > item.second.last_requested_at + adapter_need_retention;
    });
    collect_drained_adapters(now, out);
    std::vector<std::pair<time_point, adapter_key>> needed;
    for (const auto& [key, need] : adapter_needs_)
        if (now <= need.last_requested_at + adapter_need_lifetime)
            needed.emplace_back(need.since, key);
    std::sort(needed.begin(), needed.end());
    std::map<model_id, std::size_t> unplaced_counts;
    for (const auto& [since, key] : needed) {
        if (place_adapter(key, now, out)) {
            adapter_needs_.erase(key);
            continue;
        }
        // Places that are being freed go to the adapters that have waited
        // longer.
        const auto before = unplaced_counts[key.first]++;
        if (!is_adapter_load_pending(key) &&
            before >= places_being_freed(key.first, now))
            start_adapter_eviction(
                key.first, now >= since + starvation_threshold, now);
    }
    collect_drained_adapters(now, out);
}

/// Unloads drained adapters, one order per server at a time.
void placement_controller::collect_drained_adapters(time_point now,
                                                    actions& out)
{
    for (auto& [name, server] : servers_) {
        const auto& id = name;
        if (server.draining_adapters.empty())
            continue;
        const auto due = std::find_if(
            server.draining_adapters.begin(),
            server.draining_adapters.end(),
            [&](const auto& entry) { return is_drained(id, entry, now); });
        if (due == server.draining_adapters.end() ||
            !accepts_adapter_orders(server, due->key.first))
            continue;
        const auto drained = *due;
        order(id,
              server,
              {order_kind::unload,
               drained.key.first,
               drained.key.second,
               *server.sequence},
              drained.reason,
              now,
              out);
    }
}

/// Returns the number of places for a model's adapters that should soon be
/// free.
std::size_t placement_controller::places_being_freed(const model_id& model,
                                                     time_point now) const
{
    std::size_t count = 0;
    for (const auto& [id, server] : servers_)
        if (server.usable && server.held.find(model) != nullptr)
            count += static_cast<std::size_t>(
                std::count_if(server.draining_adapters.begin(),
                              server.draining_adapters.end(),
                              [now](const auto& entry) {
                                  return now < entry.since + usual_drain_time;
                              }));
    return count;
}

bool placement_controller::accepts_adapter_orders(const engine_server& server,
                                                  const model_id& model) const
{
    return server.usable && !server.is_held_back &&
           server.held.find(model) != nullptr &&
           !is_unload_pending(server, model) && server.sequence &&
           !server.running && !server.awaiting_answer && !server.uncertain;
}

/// Returns whether a load of the adapter was ordered and awaits its response.
bool placement_controller::is_adapter_load_pending(const adapter_key& key) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&key](const auto& s) {
        return s.second.pending_adapter_load == key;
    });
}

/// Orders the adapter on a server where its model is resident. Returns true
/// once the adapter is resident on a server.
bool placement_controller::place_adapter(const adapter_key& key,
                                         time_point now,
                                         actions& out)
{
    if (is_adapter_load_pending(key))
        return false;
    server_id best;
    std::size_t min_adapters = engine_.max_adapters;
    for (const auto& [id, server] : servers_) {
        const auto* held = server.held.find(key.first);
        if (!server.usable || held == nullptr ||
            is_being_removed(server, key) ||
            is_unload_pending(server, key.first))
            continue;
        if (held->has_adapter(key.second))
            return true;
        const auto count = count_adapters(server);
        if (!accepts_adapter_orders(server, key.first) || count >= min_adapters)
            continue;
        best = id;
        min_adapters = count;
    }
    if (best.empty())
        return false;
    auto& server = servers_.at(best);
    order(best,
          server,
          {order_kind::load, key.first, key.second, *server.sequence},
          "adapter",
          now,
          out);
    return false;
}

/// Returns the adapter of a server to be evicted first: the idle adapter whose
/// last use was longest ago, or, if none is idle, the used adapter that has
/// been resident longest.
std::optional<placement_controller::eviction_candidate>
placement_controller::find_eviction_candidate(const server_id& id,
                                              const engine_server& server,
                                              bool may_evict_used,
                                              time_point now) const
{
    const auto time_or_zero = [](const auto& times, const adapter_key& key) {
        const auto found = times.find(key);
        return found == times.end() ? time_point{} : found->second;
    };
    std::optional<eviction_candidate> oldest;
    for (const auto& held : server.held.models) {
        for (const auto& adapter : held.adapters) {
            const adapter_key key{held.model, adapter};
            if (is_being_removed(server, key))
                continue;
            const auto used = time_or_zero(last_used_at_, key);
            const auto placed = time_or_zero(last_placed_at_, key);
            const bool is_idle_adapter =
                now >= used + min_adapter_idle_time && !is_used(id, key, now);
            const bool had_min_residence =
                now >= placed + min_adapter_residence_time;
            if (!is_idle_adapter && !(may_evict_used && had_min_residence))
                continue;
            const eviction_candidate candidate{
                !is_idle_adapter, is_idle_adapter ? used : placed, key};
            if (!oldest || candidate < *oldest)
                oldest = candidate;
        }
    }
    return oldest;
}

/// Starts to drain the first eviction candidate of all servers where the model
/// is resident and that accept orders soon, if there is one. The adapter gets
/// no further requests and is unloaded when its running requests should have
/// ended.
void placement_controller::start_adapter_eviction(const model_id& model,
                                                  bool may_evict_used,
                                                  time_point now)
{
    engine_server* best = nullptr;
    std::optional<eviction_candidate> oldest;
    for (auto& [id, server] : servers_) {
        if (!server.usable || server.rejects_requests ||
            server.held.find(model) == nullptr ||
            is_unload_pending(server, model))
            continue;
        const auto candidate =
            find_eviction_candidate(id, server, may_evict_used, now);
        if (!candidate || (oldest && !(*candidate < *oldest)))
            continue;
        oldest = candidate;
        best = &server;
    }
    if (!oldest)
        return;
    // An idle adapter needs no update round trip: its last use was longer ago.
    const auto since = oldest->in_use ? now : now - options_.update_round_trip;
    best->draining_adapters.push_back(
        {oldest->key, since, may_evict_used ? "adapter_turn" : "adapter_room"});
    best->needs_publishing = true;
}

/// Handles an accepted unload of an adapter that requests still use. The
/// adapter occupies its place until the server's own report no longer lists it.
void placement_controller::on_adapter_unload_started(
    engine_server& server, const engine_command& command, time_point now)
{
    const adapter_key key{command.model, command.adapter};
    std::erase_if(server.draining_adapters,
                  [&key](const auto& entry) { return entry.key == key; });
    server.unloading_adapters.push_back(key);
    server.next_probe_at = now + first_probe_delay;
    server.needs_publishing = true;
}

void placement_controller::on_adapter_changed(engine_server& server,
                                              const engine_command& command,
                                              time_point now)
{
    const adapter_key key{command.model, command.adapter};
    server.sequence = command.expected_sequence + 1;
    server.confirmed_at = now;
    for (auto& held : server.held.models) {
        if (held.model != command.model)
            continue;
        if (command.kind == order_kind::unload) {
            std::erase(held.adapters, command.adapter);
            std::erase(server.unloading_adapters, key);
            std::erase_if(server.draining_adapters, [&key](const auto& entry) {
                return entry.key == key;
            });
        }
        else if (!held.has_adapter(command.adapter)) {
            held.adapters.push_back(command.adapter);
            server.activating_adapters.push_back(
                {command.model,
                 command.adapter,
                 now + adapter_activation_time});
            last_used_at_[key] = now;
            last_placed_at_[key] = now;
        }
    }
    server.needs_publishing = true;
}

} // namespace barleyfork
