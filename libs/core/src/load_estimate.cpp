#include <barleyfork/core/placement_planner.hpp>

#include <algorithm>
#include <unordered_map>

namespace barleyfork {

namespace {

constexpr int balance_rounds = 12;
/// Keeps a full server in the running so that shares can return to it.
constexpr double least_weight = 1e-3;

struct replica_share
{
    std::size_t server = 0;
    double work = 0.0;
};

using model_shares = std::vector<std::vector<replica_share>>;

model_shares collect_shares(const planner_input& input)
{
    std::unordered_map<model_id, std::size_t> index;
    for (std::size_t m = 0; m < input.models.size(); ++m)
        index.emplace(input.models[m].id, m);
    model_shares shares(input.models.size());
    for (std::size_t s = 0; s < input.servers.size(); ++s) {
        if (!input.servers[s].usable)
            continue;
        for (const auto& replica : input.servers[s].replicas) {
            const auto found = index.find(replica.model);
            const bool serves =
                replica.ready || (replica.changing && !replica.unloading);
            if (serves && found != index.end())
                shares[found->second].push_back({s, 0.0});
        }
    }
    return shares;
}

/// Re-splits one model's work by the room that the others leave.
void rebalance(const planner_input& input,
               double demand,
               std::vector<replica_share>& shares,
               std::vector<double>& load)
{
    double total_weight = 0.0;
    std::vector<double> weights;
    weights.reserve(shares.size());
    for (auto& share : shares) {
        load[share.server] -= share.work;
        const double room =
            input.servers[share.server].capacity - load[share.server];
        weights.push_back(std::max(room, least_weight));
        total_weight += weights.back();
    }
    for (std::size_t i = 0; i < shares.size(); ++i) {
        shares[i].work = demand * weights[i] / total_weight;
        load[shares[i].server] += shares[i].work;
    }
}

} // namespace

load_estimate estimate_load(const planner_input& input)
{
    auto shares = collect_shares(input);
    load_estimate result;
    result.server_load.assign(input.servers.size(), 0.0);
    result.unserved.assign(input.models.size(), 0.0);
    for (int round = 0; round < balance_rounds; ++round)
        for (std::size_t m = 0; m < shares.size(); ++m)
            rebalance(
                input, input.models[m].demand, shares[m], result.server_load);
    for (std::size_t m = 0; m < shares.size(); ++m) {
        if (shares[m].empty())
            result.unserved[m] = input.models[m].demand;
        for (const auto& share : shares[m]) {
            const double load = result.server_load[share.server];
            const double limit = input.servers[share.server].capacity *
                                 input.options.target_utilisation;
            if (load > limit)
                result.unserved[m] += share.work * (load - limit) / load;
        }
    }
    return result;
}

} // namespace barleyfork
