#ifndef BARLEYFORK_TOOLS_POLICY_DRIVER_POLICY_WORLD_HPP
#define BARLEYFORK_TOOLS_POLICY_DRIVER_POLICY_WORLD_HPP

#include "demand_trace.hpp"
#include "policies.hpp"

#include <barleyfork/core/catalog.hpp>
#include <barleyfork/core/placement_planner.hpp>

#include <optional>
#include <vector>

namespace barleyfork {

/// What one policy achieved on one trace.
struct policy_result
{
    /// Share of the work that was served within its second.
    double attainment = 0.0;
    /// Mean number of accelerators that hold a model in use.
    double accelerators_used = 0.0;
    std::size_t loads = 0;
    std::size_t unloads = 0;

    std::size_t moves() const noexcept
    {
        return loads + unloads;
    }
};

/// How moves are weighed against work served.
struct trade_off_options
{
    /// In place of the deployment's own price, where it is set.
    std::optional<double> move_price;
    double horizon_seconds = 60.0;
};

/// Carries out a policy's steps on the servers of a deployment: loads take
/// their time and the weight store's rate bounds them. No network, no queue.
class policy_world
{
public:
    /// `warm_up` seconds at the start count for nothing.
    policy_world(const catalog& deployment,
                 std::size_t warm_up,
                 const trade_off_options& trade_off);

    policy_result run(placement_policy& policy, const demand_trace& trace);

private:
    struct running_order
    {
        planned_step step;
        double done_at = 0.0;
    };

    void finish_orders(double now);
    void start(const planned_step& step, double now);
    std::uint32_t budget(double now);
    planner_server& find(const server_id& id);
    double count_used(const std::vector<double>& demand) const;

    planner_input input_;
    policy_entry policy_;
    std::size_t warm_up_;
    std::vector<running_order> running_;
    double load_credit_ = 0.0;
    double credited_at_ = 0.0;
};

} // namespace barleyfork

#endif
