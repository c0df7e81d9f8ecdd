#include "demand_spread.hpp"

#include <algorithm>
#include <unordered_map>

namespace barleyfork {

namespace {

constexpr int balance_rounds = 12;
/// Minimum weight of a full server, so that demand can return to it in a later
/// round.
constexpr double min_weight = 1e-3;

/// Models with less demand are not distributed, in server-seconds per second.
constexpr double min_demand = 1e-6;

/// The demand of one model, its servers and its work on each of them.
struct shared_work
{
    double demand = 0.0;
    std::span<const std::size_t> servers;
    std::span<double> work;
};

/// Redistributes the work of one model over its servers in proportion to the
/// capacity that the other models leave free.
void rebalance(std::span<const double> capacity,
               const shared_work& model,
               std::span<double> load)
{
    double total_weight = 0.0;
    for (std::size_t i = 0; i < model.servers.size(); ++i) {
        const auto s = model.servers[i];
        load[s] -= model.work[i];
        model.work[i] = std::max(capacity[s] - load[s], min_weight);
        total_weight += model.work[i];
    }
    const double scale = model.demand / total_weight;
    for (std::size_t i = 0; i < model.servers.size(); ++i) {
        model.work[i] *= scale;
        load[model.servers[i]] += model.work[i];
    }
}

/// Returns the work on a server that counts as unserved. Work above the target
/// utilisation is late at times. Work above the capacity is certainly lost and
/// delays the rest, so it has a larger weight; with equal weights, servers
/// above their target would be indistinguishable, however much more load one
/// has than another.
double work_above_limits(double load,
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
    load_estimate result;
    result.server_load.assign(input.servers.size(), 0.0);
    result.unserved.assign(serving.size(), 0.0);
    std::size_t share_count = 0;
    for (std::size_t m = 0; m < serving.size(); ++m)
        if (input.models[m].demand >= min_demand)
            share_count += serving[m].size();
    std::vector<double> work(share_count, 0.0);
    std::vector<shared_work> models;
    std::vector<std::size_t> model_of;
    std::size_t offset = 0;
    for (std::size_t m = 0; m < serving.size(); ++m) {
        const double demand = input.models[m].demand;
        if (serving[m].empty())
            result.unserved[m] =
                (1.0 + input.options.saturation_weight) * demand;
        if (serving[m].empty() || demand < min_demand)
            continue;
        const auto size = serving[m].size();
        models.push_back(
            {demand, serving[m], std::span(work).subspan(offset, size)});
        model_of.push_back(m);
        offset += size;
    }
    std::vector<double> capacity;
    capacity.reserve(input.servers.size());
    for (const auto& server : input.servers)
        capacity.push_back(server.capacity);
    for (int round = 0; round < balance_rounds; ++round)
        for (const auto& model : models)
            rebalance(capacity, model, result.server_load);
    for (std::size_t k = 0; k < models.size(); ++k) {
        for (std::size_t i = 0; i < models[k].servers.size(); ++i) {
            const auto s = models[k].servers[i];
            const double load = result.server_load[s];
            if (load > 0.0)
                result.unserved[model_of[k]] +=
                    models[k].work[i] / load *
                    work_above_limits(load, input.servers[s], input.options);
        }
    }
    return result;
}

load_estimate estimate_load(const planner_input& input)
{
    return spread_demand(input, collect_serving(input));
}

} // namespace barleyfork
