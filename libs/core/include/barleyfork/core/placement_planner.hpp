#ifndef BARLEYFORK_CORE_PLACEMENT_PLANNER_HPP
#define BARLEYFORK_CORE_PLACEMENT_PLANNER_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/core/memory_ledger.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace barleyfork {

/// Why a step was planned, in the order of urgency.
enum class step_reason : std::uint8_t
{
    reachability,
    new_version,
    floor,
    domain_spread,
    demand,
    relocation,
    spare,
    make_room,
    not_declared,
    old_version,
};

/// Returns the name of a reason as used in logs.
const char* reason_name(step_reason reason) noexcept;

/// A load or unload that the planner requests.
struct planned_step
{
    order_kind kind = order_kind::load;
    server_id server;
    model_id model;
    std::uint32_t version = 0;
    std::uint32_t memory_mib = 0;
    step_reason reason = step_reason::demand;
    /// For an unload that makes room: the model to be loaded afterwards.
    model_id room_for;
};

/// A model version that occupies or will occupy memory on a server.
///
/// A replica that is neither `ready` nor `changing` stands for an order without
/// a response: its memory remains counted, and the load may be ordered again
/// without counting it twice.
struct planner_replica
{
    model_id model;
    std::uint32_t version = 0;
    std::uint32_t memory_mib = 0;
    /// Whether it serves requests now.
    bool ready = false;
    /// Whether an order for it is outstanding.
    bool changing = false;
    /// Whether the outstanding order is an unload.
    bool unloading = false;
    /// How long ago its last request may have ended, in seconds.
    double idle_seconds = 0.0;
};

/// A copy of a model's weights on the server, outside accelerator memory.
struct planner_weight_copy
{
    model_id model;
    double load_seconds = 0.0;
};

/// A backend server as the planner sees it.
struct planner_server
{
    server_id id;
    failure_domain_id failure_domain;
    /// Work that it can do, in server-seconds per second.
    double capacity = 1.0;
    std::uint64_t memory_mib = 0;
    std::uint64_t committed_mib = 0;
    /// False while it is shutting down, silent or not yet adopted.
    bool usable = true;
    /// False while it can't accept an order; its models still serve requests.
    bool accepts_orders = true;
    std::vector<planner_replica> replicas;
    /// Copies of weights on the server. Loading from a copy is quick and does
    /// not use the weight store.
    std::vector<planner_weight_copy> copies;
};

/// A declared model as the planner sees it.
struct planner_model
{
    model_id id;
    std::uint32_t version = 1;
    std::uint32_t memory_mib = 0;
    std::uint32_t min_replicas = 1;
    std::uint32_t max_replicas = 64;
    /// Requested work over the last seconds, in server-seconds per second.
    double demand = 0.0;
    /// The decaying peak of `demand`, over the last half hour.
    double peak_demand = 0.0;
    /// Duration of a load from the weight store, in seconds.
    double load_seconds = 0.0;
};

/// Limits and trade-offs of one deployment.
struct planner_options
{
    /// Cost of one load or unload, in server-seconds of served work.
    double move_price = 1.0;
    /// Expected duration of a capacity shortfall, in seconds.
    double horizon_seconds = 60.0;
    /// How long an unload waits for running requests to end, in seconds.
    double unload_seconds = 0.0;
    /// Maximum number of loads that may start now.
    std::uint32_t max_loads = 2;
    /// Maximum number of these loads that may use the weight store, from the
    /// store's rate.
    std::uint32_t max_store_loads = 64;
    /// Whether each model gets a second replica in another failure domain
    /// while there is room.
    bool spread_domains = true;
    /// Utilisation above which a server counts as short of capacity.
    double target_utilisation = 0.85;
    /// Additional weight of work past a server's full capacity; work past its
    /// target utilisation has weight 1.
    double saturation_weight = 0.4;
};

/// The input of one planning round.
struct planner_input
{
    std::vector<planner_server> servers;
    std::vector<planner_model> models;
    planner_options options;
};

/// The distribution of demand over replicas that are ready or being loaded.
struct load_estimate
{
    /// Work of each server, in the order of the input.
    std::vector<double> server_load;
    /// Work of each model past its servers' targets, with the part past their
    /// capacity weighted higher; all of the model's work if it is on no server.
    std::vector<double> unserved;
};

/// Distributes each model's demand over its replicas so that the load of the
/// servers is balanced.
load_estimate estimate_load(const planner_input& input);

/// Plans the next steps, the most urgent first.
///
/// Never unloads the last ready replica of a declared model. Where a load needs
/// room, only the unloads that make the room are planned; a later round plans
/// the load once their memory is known to be free. Deterministic.
std::vector<planned_step> plan_placement(const planner_input& input);

} // namespace barleyfork

#endif
