#include "demand_spread.hpp"

#include <algorithm>
#include <unordered_map>

namespace barleyfork {

namespace {

constexpr int balance_rounds = 12;
/// Keeps a full server in the running so that shares can return to it.
constexpr double least_weight = 1e-3;

/// Re-splits one model's work by the room that the others leave.
void rebalance(const planner_input& input,
               double demand,
               std::span<const std::size_t> servers,
               std::vector<double>& work,
               std::vector<double>& load)
{
    double total_weight = 0.0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto s = servers[i];
        load[s] -= work[i];
        work[i] = std::max(input.servers[s].capacity - load[s], least_weight);
        total_weight += work[i];
    }
    for (std::size_t i = 0; i < servers.size(); ++i) {
        work[i] *= demand / total_weight;
        load[servers[i]] += work[i];
    }
}

/// Work on a server that counts as unserved. Past the target it is late at
/// times; past the capacity it is surely lost and makes the rest late, so it
/// counts more. Otherwise servers that are all past their target would look
/// alike, however much more one has than another.
double work_past_limits(double load,
                        const planner_server& server,
                        const planner_options& options)
{
    const double target = server.capacity * options.target_utilisation;
    return std::max(load - target, 0.0) +
           options.saturation_weight * std::max(load - server.capacity, 0.0);
}

} // namespace

serving_servers collect_serving(const planner_input& input)
{
    std::unordered_map<model_id, std::size_t> index;
    for (std::size_t m = 0; m < input.models.size(); ++m)
        index.emplace(input.models[m].id, m);
    serving_servers serving(input.models.size());
    for (std::size_t s = 0; s < input.servers.size(); ++s) {
        if (!input.servers[s].usable)
            continue;
        for (const auto& replica : input.servers[s].replicas) {
            const auto found = index.find(replica.model);
            const bool serves =
                replica.ready || (replica.changing && !replica.unloading);
            if (serves && found != index.end())
                serving[found->second].push_back(s);
        }
    }
    return serving;
}

load_estimate spread_demand(const planner_input& input,
                            const serving_servers& serving)
{
    std::vector<std::vector<double>> work(serving.size());
    for (std::size_t m = 0; m < serving.size(); ++m)
        work[m].assign(serving[m].size(), 0.0);
    load_estimate result;
    result.server_load.assign(input.servers.size(), 0.0);
    result.unserved.assign(serving.size(), 0.0);
    for (int round = 0; round < balance_rounds; ++round)
        for (std::size_t m = 0; m < serving.size(); ++m)
            if (!serving[m].empty())
                rebalance(input,
                          input.models[m].demand,
                          serving[m],
                          work[m],
                          result.server_load);
    for (std::size_t m = 0; m < serving.size(); ++m) {
        if (serving[m].empty())
            result.unserved[m] = (1.0 + input.options.saturation_weight) *
                                 input.models[m].demand;
        for (std::size_t i = 0; i < serving[m].size(); ++i) {
            const auto s = serving[m][i];
            const double load = result.server_load[s];
            if (load > 0.0)
                result.unserved[m] +=
                    work[m][i] / load *
                    work_past_limits(load, input.servers[s], input.options);
        }
    }
    return result;
}

load_estimate estimate_load(const planner_input& input)
{
    return spread_demand(input, collect_serving(input));
}

} // namespace barleyfork
