#include "policies.hpp"

#include <barleyfork/core/demand_estimator.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace barleyfork {

namespace {

/// Seconds to come in which the clairvoyant knows each model's peak.
constexpr std::size_t far_sight = 1800;
/// Demand below this counts as no use.
constexpr double negligible_work = 0.02;

class planner_policy : public placement_policy
{
public:
    explicit planner_policy(std::size_t models) : estimators_(models) {}

    std::vector<planned_step> decide(planner_input input,
                                     const std::vector<double>& seen,
                                     std::size_t second) override
    {
        const time_point now{
            duration(static_cast<std::int64_t>(second) * 1000)};
        for (std::size_t m = 0; m < seen.size(); ++m) {
            estimators_[m].observe(seen[m], now);
            input.models[m].demand = estimators_[m].fast();
            input.models[m].peak_demand = estimators_[m].peak();
        }
        return plan_placement(input);
    }

private:
    std::vector<demand_estimator> estimators_;
};

class clairvoyant_policy : public placement_policy
{
public:
    clairvoyant_policy(const demand_trace& trace, std::size_t sight)
        : trace_(trace), sight_(sight)
    {
    }

    std::vector<planned_step> decide(planner_input input,
                                     const std::vector<double>&,
                                     std::size_t second) override
    {
        for (std::size_t m = 0; m < input.models.size(); ++m) {
            input.models[m].demand = mean(m, second, sight_);
            input.models[m].peak_demand = most(m, second, far_sight);
        }
        return plan_placement(input);
    }

private:
    double most(std::size_t model, std::size_t from, std::size_t length) const
    {
        const auto to = std::min(trace_.size(), from + length);
        double result = 0.0;
        for (std::size_t t = from; t < to; ++t)
            result = std::max(result, trace_[t][model]);
        return result;
    }

    double mean(std::size_t model, std::size_t from, std::size_t length) const
    {
        const auto to = std::min(trace_.size(), from + length);
        double sum = 0.0;
        for (std::size_t t = from; t < to; ++t)
            sum += trace_[t][model];
        return sum / static_cast<double>(to - from);
    }

    const demand_trace& trace_;
    std::size_t sight_;
};

bool holds(const planner_server& server, const model_id& model)
{
    return std::any_of(
        server.replicas.begin(),
        server.replicas.end(),
        [&model](const auto& replica) { return replica.model == model; });
}

planned_step make_load(const planner_server& server, const planner_model& model)
{
    return {order_kind::load,
            server.id,
            model.id,
            model.version,
            model.memory_mib,
            step_reason::demand,
            {}};
}

class static_policy : public placement_policy
{
public:
    std::vector<planned_step> decide(planner_input input,
                                     const std::vector<double>&,
                                     std::size_t) override
    {
        std::vector<planned_step> steps;
        auto budget = input.options.max_loads;
        std::map<model_id, std::size_t> copies;
        for (const auto& server : input.servers)
            for (const auto& replica : server.replicas)
                ++copies[replica.model];
        while (budget > 0) {
            const auto step = next_fill(input, copies);
            if (!step)
                break;
            steps.push_back(*step);
            --budget;
        }
        return steps;
    }

private:
    /// The model with the fewest copies that fits on the emptiest server.
    static std::optional<planned_step>
    next_fill(planner_input& input, std::map<model_id, std::size_t>& copies)
    {
        auto models = input.models;
        std::stable_sort(
            models.begin(), models.end(), [&copies](auto& a, auto& b) {
                return copies[a.id] < copies[b.id];
            });
        for (const auto& model : models) {
            planner_server* best = nullptr;
            for (auto& server : input.servers) {
                const auto left = server.memory_mib - server.committed_mib;
                if (holds(server, model.id) || left < model.memory_mib)
                    continue;
                if (best == nullptr ||
                    server.committed_mib < best->committed_mib)
                    best = &server;
            }
            if (best == nullptr)
                continue;
            ++copies[model.id];
            best->committed_mib += model.memory_mib;
            best->replicas.push_back(
                {model.id, model.version, model.memory_mib, false, true});
            return make_load(*best, model);
        }
        return std::nullopt;
    }
};

class recency_policy : public placement_policy
{
public:
    explicit recency_policy(std::size_t models) : last_used_(models) {}

    std::vector<planned_step> decide(planner_input input,
                                     const std::vector<double>& seen,
                                     std::size_t second) override
    {
        for (std::size_t m = 0; m < seen.size(); ++m) {
            input.models[m].demand = seen[m];
            if (seen[m] > negligible_work)
                last_used_[m] = second;
        }
        input.options.target_utilisation = 1.0;
        const auto estimate = estimate_load(input);
        std::vector<planned_step> steps;
        auto budget = input.options.max_loads;
        for (std::size_t m = 0; m < seen.size() && budget > 0; ++m) {
            if (estimate.unserved[m] < negligible_work ||
                is_loading(input, input.models[m].id))
                continue;
            budget -= place(input, m, estimate, steps) ? 1 : 0;
        }
        return steps;
    }

private:
    static bool is_loading(const planner_input& input, const model_id& model)
    {
        for (const auto& server : input.servers)
            for (const auto& replica : server.replicas)
                if (replica.model == model && replica.changing)
                    return true;
        return false;
    }

    /// Loads on the least busy server without the model, evicting there.
    bool place(planner_input& input,
               std::size_t model,
               const load_estimate& estimate,
               std::vector<planned_step>& steps)
    {
        std::optional<std::size_t> best;
        for (std::size_t s = 0; s < input.servers.size(); ++s)
            if (!holds(input.servers[s], input.models[model].id) &&
                (!best ||
                 estimate.server_load[s] < estimate.server_load[*best]))
                best = s;
        if (!best)
            return false;
        auto& server = input.servers[*best];
        const auto& wanted = input.models[model];
        if (server.memory_mib - server.committed_mib >= wanted.memory_mib) {
            steps.push_back(make_load(server, wanted));
            server.committed_mib += wanted.memory_mib;
            return true;
        }
        return evict(input, server, steps);
    }

    bool evict(const planner_input& input,
               planner_server& server,
               std::vector<planned_step>& steps) const
    {
        planner_replica* oldest = nullptr;
        std::size_t oldest_use = 0;
        for (auto& replica : server.replicas) {
            if (!replica.ready || copies(input, replica.model) < 2)
                continue;
            const auto used = last_used(input, replica.model);
            if (oldest == nullptr || used < oldest_use) {
                oldest = &replica;
                oldest_use = used;
            }
        }
        if (oldest == nullptr)
            return false;
        oldest->ready = false;
        steps.push_back({order_kind::unload,
                         server.id,
                         oldest->model,
                         oldest->version,
                         oldest->memory_mib,
                         step_reason::make_room,
                         {}});
        return true;
    }

    static std::size_t copies(const planner_input& input, const model_id& model)
    {
        std::size_t count = 0;
        for (const auto& server : input.servers)
            for (const auto& replica : server.replicas)
                count += replica.model == model && replica.ready ? 1 : 0;
        return count;
    }

    std::size_t last_used(const planner_input& input,
                          const model_id& model) const
    {
        for (std::size_t m = 0; m < input.models.size(); ++m)
            if (input.models[m].id == model)
                return last_used_[m];
        return 0;
    }

    std::vector<std::size_t> last_used_;
};

} // namespace

std::unique_ptr<placement_policy> make_planner_policy(std::size_t models)
{
    return std::make_unique<planner_policy>(models);
}

std::unique_ptr<placement_policy> make_static_policy()
{
    return std::make_unique<static_policy>();
}

std::unique_ptr<placement_policy> make_recency_policy(std::size_t models)
{
    return std::make_unique<recency_policy>(models);
}

std::unique_ptr<placement_policy>
make_clairvoyant_policy(const demand_trace& trace, std::size_t sight)
{
    return std::make_unique<clairvoyant_policy>(trace, sight);
}

} // namespace barleyfork
