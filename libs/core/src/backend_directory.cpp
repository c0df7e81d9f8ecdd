#include <barleyfork/core/backend_directory.hpp>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace barleyfork {

bool backend_entry::differ_in_heartbeats_only(const backend_entry& earlier,
                                              const backend_entry& later)
{
    const auto compared_fields = [](const backend_entry& entry) {
        return std::tie(entry.id,
                        entry.service,
                        entry.address,
                        entry.port,
                        entry.failure_domain,
                        entry.draining,
                        entry.slots,
                        entry.held,
                        entry.in_memory,
                        entry.on_disk);
    };
    return compared_fields(earlier) == compared_fields(later) &&
           earlier.shuts_down_in.has_value() == later.shuts_down_in.has_value();
}

bool resident_model_state::has_adapter(const std::string& adapter) const
{
    return std::find(adapters.begin(), adapters.end(), adapter) !=
           adapters.end();
}

const resident_model_state* resident_state::find(const model_id& model) const
{
    const auto found =
        std::find_if(models.begin(), models.end(), [&model](const auto& held) {
            return held.model == model;
        });
    return found == models.end() ? nullptr : &*found;
}

const resident_state& backend_state::held(time_point now) const
{
    const bool is_announcement_valid =
        announced_state && now < announcement_valid_until &&
        announced_state->started_ms == entry.held.started_ms;
    return is_announcement_valid ? *announced_state : entry.held;
}

void backend_directory::replace(std::span<const backend_entry> entries,
                                time_point now)
{
    std::set<server_id> listed;
    for (const auto& entry : entries) {
        listed.insert(entry.id);
        update(entry);
    }
    std::vector<server_id> removed;
    for (const auto& [id, state] : servers_)
        if (!listed.contains(id))
            removed.push_back(id);
    for (const auto& id : removed)
        remove(id, now);
}

void backend_directory::update(const backend_entry& entry)
{
    auto& state = servers_[entry.id];
    const bool is_new_process =
        state.entry.held.started_ms != entry.held.started_ms;
    const bool has_moved =
        state.entry.address != entry.address || state.entry.port != entry.port;
    state.entry = entry;
    state.missing_since.reset();
    if (is_new_process || has_moved) {
        state.is_misdirected = false;
        state.announced_shutdown = false;
        state.rejects_until = time_point{};
    }
}

void backend_directory::remove(const server_id& id, time_point now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    if (!awaits_return(now) || found->second.entry.draining) {
        servers_.erase(found);
        return;
    }
    if (!found->second.missing_since)
        found->second.missing_since = now;
}

bool backend_directory::awaits_return(time_point now) const noexcept
{
    return had_outage_ && (!store_reachable_ ||
                           now < store_returned_at_ + outage_grace_period);
}

void backend_directory::set_store_reachable(bool reachable, time_point now)
{
    if (reachable && !store_reachable_)
        store_returned_at_ = now;
    if (!reachable)
        had_outage_ = true;
    store_reachable_ = reachable;
}

void backend_directory::on_store_restored(time_point now)
{
    had_outage_ = true;
    store_returned_at_ = now;
}

std::vector<server_id> backend_directory::expire(time_point now,
                                                 time_point list_known_at)
{
    const bool is_return_over = !awaits_return(now);
    std::vector<server_id> expired;
    for (const auto& [id, state] : servers_) {
        if (!state.missing_since)
            continue;
        if (is_return_over ||
            list_known_at >= *state.missing_since + outage_grace_period)
            expired.push_back(id);
    }
    for (const auto& id : expired)
        servers_.erase(id);
    return expired;
}

bool backend_directory::learn(const server_id& id,
                              const resident_state& held,
                              update_position position,
                              time_point now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end() || position < found->second.announced_position)
        return false;
    auto& state = found->second;
    state.announced_state = held;
    state.announced_position = position;
    state.announcement_valid_until = now + max_list_lag_;
    return true;
}

void backend_directory::not_held(const server_id& id,
                                 const model_id& model,
                                 const std::string& adapter,
                                 time_point now)
{
    const auto found = servers_.find(id);
    if (found != servers_.end())
        found->second.refusals[{model, adapter}] = now + refusal_ttl;
}

holding backend_directory::holds(const backend_state& state,
                                 const model_id& model,
                                 const std::string& adapter,
                                 time_point now)
{
    const auto* held = state.held(now).find(model);
    if (held == nullptr || !held->ready)
        return holding::none;
    const auto refusal = state.refusals.find({model, adapter});
    const bool is_recently_refused =
        refusal != state.refusals.end() && now < refusal->second;
    if (adapter.empty())
        return is_recently_refused ? holding::none : holding::all;
    return is_recently_refused || !held->has_adapter(adapter)
               ? holding::model_only
               : holding::all;
}

void backend_directory::mark_misdirected(const server_id& id)
{
    const auto found = servers_.find(id);
    if (found != servers_.end())
        found->second.is_misdirected = true;
}

backend_state* backend_directory::find_process(const server_id& id,
                                               std::uint64_t started_ms)
{
    const auto found = servers_.find(id);
    const bool listed = found != servers_.end() &&
                        found->second.entry.held.started_ms == started_ms;
    return listed ? &found->second : nullptr;
}

bool backend_directory::leaves(const server_id& id, std::uint64_t started_ms)
{
    auto* state = find_process(id, started_ms);
    return state != nullptr && !std::exchange(state->announced_shutdown, true);
}

void backend_directory::turned_away(const server_id& id,
                                    std::uint64_t started_ms,
                                    time_point until)
{
    auto* state = find_process(id, started_ms);
    if (state != nullptr)
        state->rejects_until = std::max(state->rejects_until, until);
}

const backend_state* backend_directory::find(const server_id& id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

} // namespace barleyfork
