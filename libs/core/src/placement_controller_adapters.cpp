/// The part of the placement controller that gives adapters their places.

#include <barleyfork/core/placement_controller.hpp>

#include "placement_timing.hpp"

#include <algorithm>

namespace barleyfork {

namespace {

/// An adapter takes about this from its order to its first request.
constexpr duration adapter_time{25};
/// A wish for an adapter that can't be met is dropped after this.
constexpr duration need_life{3000};
/// How long callers have waited for an adapter is forgotten when nobody asked
/// for it for this long.
constexpr duration need_memory{10000};
/// Adapters used within this time don't make way for others, unless they had
/// their place for a turn and another one is kept out.
constexpr duration adapter_rest{1000};
constexpr duration adapter_turn{2000};
constexpr duration kept_out{1500};
/// An adapter whose requests take longer than this to end is not counted on.
constexpr duration usual_leave{1000};
/// An adapter that leaves is unloaded after this at the latest. An unload
/// that waits for requests keeps its server from all other orders.
constexpr duration longest_leave{10000};

} // namespace

void placement_controller::need_adapter(const model_id& model,
                                        const std::string& adapter,
                                        time_point now)
{
    auto& need = needs_.try_emplace({model, adapter}, adapter_need{now, now})
                     .first->second;
    need.asked_at = now;
}

void placement_controller::used_adapter(const model_id& model,
                                        const std::string& adapter,
                                        time_point now)
{
    used_[{model, adapter}] = now;
}

std::size_t placement_controller::adapters_on(const engine_server& server) const
{
    std::size_t count = 0;
    for (const auto& held : server.held.models)
        count += held.adapters.size();
    for (const auto& load : server.unsettled)
        count += load.command.adapter.empty() ? 0 : 1;
    return count;
}

/// It leaves, or its unload was ordered: it is not to get further requests.
bool placement_controller::is_going(const engine_server& server,
                                    const adapter_key& key)
{
    const bool leaves =
        std::any_of(server.leaving.begin(),
                    server.leaving.end(),
                    [&key](const auto& leaving) { return leaving.key == key; });
    return leaves || std::find(server.going.begin(), server.going.end(), key) !=
                         server.going.end();
}

void placement_controller::tell_uses(const instance_id& daemon,
                                     std::span<const adapter_use> uses,
                                     time_point now)
{
    running_.tell(daemon, uses, now);
}

bool placement_controller::is_used(const server_id& id,
                                   const adapter_key& key,
                                   time_point now) const
{
    return running_.contains(make_adapter_use(id, key.first, key.second), now);
}

/// No daemon sends there any more, and none has a request there.
bool placement_controller::has_left(const server_id& id,
                                    const leaving_adapter& leaving,
                                    time_point now) const
{
    if (now < leaving.since + options_.news_round)
        return false;
    return now >= leaving.since + longest_leave ||
           !is_used(id, leaving.key, now);
}

/// Those that were kept out for longest go first.
void placement_controller::collect_adapters(time_point now, actions& out)
{
    std::erase_if(needs_, [now](const auto& item) {
        return now > item.second.asked_at + need_memory;
    });
    collect_leaving(now, out);
    std::vector<std::pair<time_point, adapter_key>> wanted;
    for (const auto& [key, need] : needs_)
        if (now <= need.asked_at + need_life)
            wanted.emplace_back(need.since, key);
    std::sort(wanted.begin(), wanted.end());
    std::map<model_id, std::size_t> without_place;
    for (const auto& [since, key] : wanted) {
        if (place_adapter(key, now, out)) {
            needs_.erase(key);
            continue;
        }
        // Those that wait longer get the places that are being made.
        const auto before = without_place[key.first]++;
        if (!is_asked_for(key) && before >= places_made(key.first, now))
            make_adapter_room(key.first, now >= since + kept_out, now);
    }
    collect_leaving(now, out);
}

/// Unloads what has left, one order a server at a time.
void placement_controller::collect_leaving(time_point now, actions& out)
{
    for (auto& [name, server] : servers_) {
        const auto& id = name;
        if (server.leaving.empty())
            continue;
        const auto due = std::find_if(
            server.leaving.begin(),
            server.leaving.end(),
            [&](const auto& entry) { return has_left(id, entry, now); });
        if (due == server.leaving.end() ||
            !takes_adapter_orders(server, due->key.first))
            continue;
        const auto leaving = *due;
        order(id,
              server,
              {order_kind::unload,
               leaving.key.first,
               leaving.key.second,
               *server.sequence},
              leaving.reason,
              now,
              out);
    }
}

/// Places for adapters of a model that should be free soon.
std::size_t placement_controller::places_made(const model_id& model,
                                              time_point now) const
{
    std::size_t count = 0;
    for (const auto& [id, server] : servers_)
        if (server.usable && server.held.find(model) != nullptr)
            count += static_cast<std::size_t>(
                std::count_if(server.leaving.begin(),
                              server.leaving.end(),
                              [now](const auto& leaving) {
                                  return now < leaving.since + usual_leave;
                              }));
    return count;
}

bool placement_controller::takes_adapter_orders(const engine_server& server,
                                                const model_id& model) const
{
    return server.usable && !server.held_back &&
           server.held.find(model) != nullptr && !is_closing(server, model) &&
           server.sequence && !server.running && !server.awaiting_answer &&
           !server.uncertain;
}

/// Its load was ordered and not answered yet.
bool placement_controller::is_asked_for(const adapter_key& key) const
{
    return std::any_of(servers_.begin(), servers_.end(), [&key](const auto& s) {
        return s.second.asked_for == key;
    });
}

/// Orders the adapter where its model is; true once some server has it.
bool placement_controller::place_adapter(const adapter_key& key,
                                         time_point now,
                                         actions& out)
{
    if (is_asked_for(key))
        return false;
    server_id best;
    std::size_t fewest = engine_.max_adapters;
    for (const auto& [id, server] : servers_) {
        const auto* held = server.held.find(key.first);
        if (!server.usable || held == nullptr || is_going(server, key) ||
            is_closing(server, key.first))
            continue;
        if (held->has_adapter(key.second))
            return true;
        const auto count = adapters_on(server);
        if (!takes_adapter_orders(server, key.first) || count >= fewest)
            continue;
        best = id;
        fewest = count;
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

/// Which adapter of a server makes way first: of those used within the rest
/// time the one longest in its place, else the one used longest ago.
std::optional<placement_controller::adapter_victim>
placement_controller::oldest_adapter(const server_id& id,
                                     const engine_server& server,
                                     bool for_starving,
                                     time_point now) const
{
    const auto time_of = [](const auto& times, const adapter_key& key) {
        const auto found = times.find(key);
        return found == times.end() ? time_point{} : found->second;
    };
    std::optional<adapter_victim> oldest;
    for (const auto& held : server.held.models) {
        for (const auto& adapter : held.adapters) {
            const adapter_key key{held.model, adapter};
            if (is_going(server, key))
                continue;
            const auto used = time_of(used_, key);
            const auto placed = time_of(placed_, key);
            const bool rests =
                now >= used + adapter_rest && !is_used(id, key, now);
            const bool had_turn = now >= placed + adapter_turn;
            if (!rests && !(for_starving && had_turn))
                continue;
            const adapter_victim candidate{!rests, rests ? used : placed, key};
            if (!oldest || candidate < *oldest)
                oldest = candidate;
        }
    }
    return oldest;
}

/// The adapter that makes way first on any server that holds the model
/// leaves, if there is one: it gets no further requests from now on, and is
/// unloaded when those that run should have ended.
void placement_controller::make_adapter_room(const model_id& model,
                                             bool for_starving,
                                             time_point now)
{
    engine_server* best = nullptr;
    std::optional<adapter_victim> oldest;
    for (auto& [id, server] : servers_) {
        if (!server.usable || server.held.find(model) == nullptr ||
            is_closing(server, model))
            continue;
        const auto candidate = oldest_adapter(id, server, for_starving, now);
        if (!candidate || (oldest && !(*candidate < *oldest)))
            continue;
        oldest = candidate;
        best = &server;
    }
    if (!oldest)
        return;
    // One that rests needs no round of news: nobody has used it for longer.
    const auto since = oldest->in_use ? now : now - options_.news_round;
    best->leaving.push_back(
        {oldest->key, since, for_starving ? "adapter_turn" : "adapter_room"});
    best->changed = true;
}

/// Requests still use the adapter: it takes its place until the server's own
/// word shows it gone.
void placement_controller::on_adapter_going(engine_server& server,
                                            const engine_command& command,
                                            time_point now)
{
    const adapter_key key{command.model, command.adapter};
    std::erase_if(server.leaving,
                  [&key](const auto& leaving) { return leaving.key == key; });
    server.going.push_back(key);
    server.probe_at = now + first_probe;
    server.changed = true;
}

void placement_controller::on_adapter_done(engine_server& server,
                                           const engine_command& command,
                                           time_point now)
{
    const adapter_key key{command.model, command.adapter};
    server.sequence = command.expected_sequence + 1;
    server.told_at = now;
    for (auto& held : server.held.models) {
        if (held.model != command.model)
            continue;
        if (command.kind == order_kind::unload) {
            std::erase(held.adapters, command.adapter);
            std::erase(server.going, key);
            std::erase_if(server.leaving, [&key](const auto& leaving) {
                return leaving.key == key;
            });
        }
        else if (!held.has_adapter(command.adapter)) {
            held.adapters.push_back(command.adapter);
            server.coming.push_back(
                {command.model, command.adapter, now + adapter_time});
            used_[key] = now;
            placed_[key] = now;
        }
    }
    server.changed = true;
}

} // namespace barleyfork
