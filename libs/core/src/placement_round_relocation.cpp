/// The part of a planning round that makes servers available whose replicas are
/// the last ones of their models.

#include "placement_round.hpp"

#include <algorithm>

namespace barleyfork {

namespace {

/// Limits on what is evaluated for one step.
constexpr std::size_t max_evaluated_models = 2;
constexpr std::size_t max_evaluated_servers = 2;
constexpr std::size_t max_evaluated_receivers = 2;
/// The load elsewhere, the unload, and the load of the wanted model.
constexpr std::size_t min_moves = 3;

} // namespace

/// Returns whether the model has no replica to spare and is not being loaded
/// elsewhere.
bool placement_round::is_last_replica(std::size_t server,
                                      std::size_t index) const
{
    const auto& replica = input_.servers[server].replicas[index];
    const auto model = replica_models_[server][index];
    if (!replica.ready || replica.changing || model == undeclared)
        return false;
    const auto& replicas = count(model);
    return replicas.ready <= input_.models[model].min_replicas &&
           replicas.loading_current == 0 &&
           replica.version == input_.models[model].version;
}

/// Returns whether the server is idle and holds a replica that its model can
/// spare once another one, which is being loaded, is ready.
bool placement_round::is_being_vacated(std::size_t server) const
{
    const auto& entry = input_.servers[server];
    const double target = entry.capacity * input_.options.target_utilisation;
    if (!entry.usable || estimate_.server_load[server] >= target)
        return false;
    for (std::size_t r = 0; r < entry.replicas.size(); ++r) {
        const auto model = replica_models_[server][r];
        const auto& replica = entry.replicas[r];
        if (model != undeclared && replica.ready && !replica.changing &&
            count(model).ready <= input_.models[model].min_replicas &&
            count(model).loading_current > 0)
            return true;
    }
    return false;
}

bool placement_round::is_promised(std::size_t server) const
{
    return std::any_of(
        promised_.begin(), promised_.end(), [server](const auto& promise) {
            return promise.server == server;
        });
}

/// Counts a server as serving a model for the rest of the round, since earlier
/// steps make it available.
void placement_round::promise(std::size_t server, std::size_t model)
{
    promised_.push_back({server, model});
    update_estimate();
}

/// Promises the servers that relocations of earlier rounds make available to
/// the models that are shortest of capacity.
void placement_round::promise_vacated_servers()
{
    for (std::size_t s = 0; s < input_.servers.size(); ++s) {
        if (!is_being_vacated(s))
            continue;
        const auto models = models_by_need(estimate_.unserved);
        const auto wanted =
            std::find_if(models.begin(), models.end(), [this, s](auto model) {
                return !has_replica(s, model);
            });
        if (wanted != models.end())
            promise(s, *wanted);
    }
}

/// Returns the least loaded servers that could serve the model if one of their
/// last replicas stood elsewhere.
std::vector<std::size_t>
placement_round::blocked_servers(std::size_t model) const
{
    std::vector<std::size_t> blocked;
    for (std::size_t s = 0; s < input_.servers.size(); ++s)
        if (may_load_on(s, model) && !has_change_in_progress(s) &&
            !is_promised(s) && !is_being_vacated(s) &&
            !choose_victims(s, needed_mib(s, model)))
            blocked.push_back(s);
    std::stable_sort(blocked.begin(), blocked.end(), [this](auto a, auto b) {
        return estimate_.server_load[a] / input_.servers[a].capacity <
               estimate_.server_load[b] / input_.servers[b].capacity;
    });
    if (blocked.size() > max_evaluated_servers)
        blocked.resize(max_evaluated_servers);
    return blocked;
}

/// Returns the ways to load one of the server's last replicas elsewhere after
/// which the server has room for the model.
std::vector<placement_round::relocation>
placement_round::relocations(std::size_t model, std::size_t server) const
{
    std::vector<relocation> result;
    const auto needed = needed_mib(server, model);
    const auto& replicas = input_.servers[server].replicas;
    for (std::size_t r = 0; r < replicas.size(); ++r) {
        if (!is_last_replica(server, r) ||
            free_mib(server) + replicas[r].memory_mib < needed)
            continue;
        auto choices = best_ranked_choices(replica_models_[server][r], true);
        std::erase_if(choices, [this](const auto& choice) {
            return is_promised(choice.server) ||
                   is_being_vacated(choice.server);
        });
        if (choices.size() > max_evaluated_receivers)
            choices.resize(max_evaluated_receivers);
        for (auto& choice : choices)
            result.push_back({std::move(choice), model, server, 0.0});
    }
    return result;
}

/// Returns the gain once the server serves the wanted model, less what the
/// victims on the receiving server serve meanwhile and the cost of all moves.
double placement_round::evaluate(const relocation& candidate) const
{
    const auto& options = input_.options;
    const auto& first = candidate.first;
    auto serving = serving_;
    double potential = potential_change(candidate.model, 1);
    for (const auto victim : first.victims) {
        const auto model = replica_models_[first.server][victim];
        if (model == undeclared)
            continue;
        potential += potential_change(model, -1);
        std::erase(serving[model], first.server);
    }
    const double loss =
        first.victims.empty()
            ? 0.0
            : std::max(total_unserved_with(serving) - total_unserved_, 0.0);
    std::erase(serving[first.model], candidate.server);
    serving[first.model].push_back(first.server);
    serving[candidate.model].push_back(candidate.server);
    const double gain = total_unserved_ - total_unserved_with(serving);
    const load_choice last{candidate.model, candidate.server, {}, 0.0};
    const double unloads = first.victims.empty() ? 1.0 : 2.0;
    const double wait = load_seconds(first) + load_seconds(last) +
                        unloads * options.unload_seconds;
    const double served_seconds = std::max(options.horizon_seconds - wait, 0.0);
    const auto moves = static_cast<double>(min_moves + first.victims.size());
    return served_seconds * (gain + burst_chance * potential) -
           std::min(wait, options.horizon_seconds) * loss -
           moves * options.move_price;
}

/// Returns the relocation with the highest value for one of the models.
std::optional<placement_round::relocation>
placement_round::best_relocation(std::span<const std::size_t> models) const
{
    std::optional<relocation> best;
    for (const auto model :
         models.first(std::min(models.size(), max_evaluated_models)))
        for (const auto server : blocked_servers(model))
            for (auto& candidate : relocations(model, server)) {
                candidate.value = evaluate(candidate);
                if (!best || candidate.value > best->value)
                    best = std::move(candidate);
            }
    return best;
}

} // namespace barleyfork
