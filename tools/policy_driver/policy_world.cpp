#include "policy_world.hpp"

#include "attainment.hpp"

#include <algorithm>

namespace barleyfork {

namespace {

constexpr double unload_seconds = 0.5;
/// Work of a model above this counts as use of its accelerators.
constexpr double least_use = 0.01;

planner_model to_planner_model(const model_entry& model)
{
    planner_model result;
    result.id = model.id;
    result.version = model.version;
    result.memory_mib = model.memory_mib;
    result.min_replicas = model.min_replicas;
    result.max_replicas = model.max_replicas;
    return result;
}

planner_server to_planner_server(const server_entry& server)
{
    planner_server result;
    result.id = server.id;
    result.failure_domain = server.failure_domain;
    result.memory_mib = server.model_memory_mib;
    return result;
}

} // namespace

policy_world::policy_world(const catalog& deployment,
                           std::size_t warm_up,
                           const trade_off_options& trade_off)
    : policy_(deployment.policy()), warm_up_(warm_up)
{
    for (const auto& model : deployment.models())
        input_.models.push_back(to_planner_model(model));
    for (const auto& server : deployment.servers())
        if (server.service.empty())
            input_.servers.push_back(to_planner_server(server));
    input_.options.move_price =
        trade_off.move_price.value_or(policy_.move_price);
    input_.options.horizon_seconds = trade_off.horizon_seconds;
}

policy_result policy_world::run(placement_policy& policy,
                                const demand_trace& trace)
{
    policy_result result;
    double asked = 0.0;
    double served = 0.0;
    double used = 0.0;
    std::vector<double> seen(input_.models.size(), 0.0);
    for (std::size_t second = 0; second < trace.size(); ++second) {
        const auto now = static_cast<double>(second);
        finish_orders(now);
        input_.options.max_loads = budget(now);
        for (const auto& step : policy.decide(input_, seen, second)) {
            start(step, now);
            if (second < warm_up_)
                continue;
            ++(step.kind == order_kind::load ? result.loads : result.unloads);
        }
        seen = trace[second];
        if (second < warm_up_)
            continue;
        for (const auto work : seen)
            asked += work;
        served += served_work(input_.servers, input_.models, seen);
        used += count_used(seen);
    }
    result.attainment = served / asked;
    result.accelerators_used =
        used / static_cast<double>(trace.size() - warm_up_);
    return result;
}

void policy_world::finish_orders(double now)
{
    for (const auto& order : running_) {
        if (order.done_at > now)
            continue;
        auto& server = find(order.step.server);
        const bool load = order.step.kind == order_kind::load;
        for (auto& replica : server.replicas)
            if (replica.model == order.step.model && load) {
                replica.ready = true;
                replica.changing = false;
            }
        if (load)
            continue;
        std::erase_if(server.replicas, [&order](const auto& replica) {
            return replica.model == order.step.model;
        });
        server.committed_mib -= order.step.memory_mib;
    }
    std::erase_if(running_, [now](const running_order& order) {
        return order.done_at <= now;
    });
}

void policy_world::start(const planned_step& step, double now)
{
    auto& server = find(step.server);
    if (step.kind == order_kind::load) {
        server.committed_mib += step.memory_mib;
        server.replicas.push_back(
            {step.model, step.version, step.memory_mib, false, true});
        load_credit_ -= 1.0;
        const double takes = policy_.loads_at_once / policy_.loads_per_second;
        running_.push_back({step, now + takes});
        return;
    }
    for (auto& replica : server.replicas)
        if (replica.model == step.model) {
            replica.ready = false;
            replica.changing = true;
            replica.unloading = true;
        }
    running_.push_back({step, now + unload_seconds});
}

/// Loads that the store's rate and width allow now.
std::uint32_t policy_world::budget(double now)
{
    load_credit_ = std::min(static_cast<double>(policy_.loads_at_once),
                            load_credit_ + (now - credited_at_) *
                                               policy_.loads_per_second);
    credited_at_ = now;
    const auto loading = static_cast<double>(
        std::count_if(running_.begin(), running_.end(), [](const auto& order) {
            return order.step.kind == order_kind::load;
        }));
    const double width =
        std::max(0.0, static_cast<double>(policy_.loads_at_once) - loading);
    return static_cast<std::uint32_t>(
        std::max(0.0, std::min(width, load_credit_)));
}

planner_server& policy_world::find(const server_id& id)
{
    return *std::find_if(input_.servers.begin(),
                         input_.servers.end(),
                         [&id](const auto& server) { return server.id == id; });
}

double policy_world::count_used(const std::vector<double>& demand) const
{
    double used = 0.0;
    for (const auto& server : input_.servers) {
        const bool in_use = std::any_of(
            server.replicas.begin(),
            server.replicas.end(),
            [&](const planner_replica& replica) {
                for (std::size_t m = 0; m < input_.models.size(); ++m)
                    if (input_.models[m].id == replica.model)
                        return replica.ready && demand[m] > least_use;
                return false;
            });
        used += in_use ? 1.0 : 0.0;
    }
    return used;
}

} // namespace barleyfork
