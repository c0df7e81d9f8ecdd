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
    spare,
    make_room,
    not_declared,
    old_version,
};

/// The name of a reason as it stands in logs.
const char* reason_name(step_reason reason) noexcept;

/// One load or unload that the planner asks for.
struct planned_step
{
    order_kind kind = order_kind::load;
    server_id server;
    model_id model;
    std::uint32_t version = 0;
    std::uint32_t memory_mib = 0;
    step_reason reason = step_reason::demand;
    /// For an unload that makes room: the model that is to be loaded then.
    model_id room_for;
};

/// A model version that holds or will hold memory on a server.
///
/// Neither `ready` nor `changing`: an order without an answer keeps the memory
/// counted; the load may be ordered again without counting it twice.
struct planner_replica
{
    model_id model;
    std::uint32_t version = 0;
    std::uint32_t memory_mib = 0;
    /// Serves requests now.
    bool ready = false;
    /// An order for it is outstanding.
    bool changing = false;
    /// The outstanding order is an unload.
    bool unloading = false;
    /// Its requests may have ended long ago; larger means longer, in seconds.
    double idle_seconds = 0.0;
};

/// A copy of a model's weights beside the accelerator.
struct planner_copy
{
    model_id model;
    double load_seconds = 0.0;
};

/// A backend server as the planner sees it.
struct planner_server
{
    server_id id;
    failure_domain_id failure_domain;
    /// Server-seconds of work it can do a second.
    double capacity = 1.0;
    std::uint64_t memory_mib = 0;
    std::uint64_t committed_mib = 0;
    /// False while it is leaving, silent or not adopted.
    bool usable = true;
    /// False while it can't be given an order; what it holds still serves.
    bool takes_orders = true;
    std::vector<planner_replica> replicas;
    /// Models whose weights the server has copies of: a load is quick and
    /// does not use the weight store.
    std::vector<planner_copy> copies;
};

/// A declared model as the planner sees it.
struct planner_model
{
    model_id id;
    std::uint32_t version = 1;
    std::uint32_t memory_mib = 0;
    std::uint32_t min_replicas = 1;
    std::uint32_t max_replicas = 64;
    /// Server-seconds of work asked for a second, over the last seconds.
    double demand = 0.0;
    /// The decaying peak of `demand`, over the last half hour.
    double peak_demand = 0.0;
    /// How long a load from the weight store takes.
    double load_seconds = 0.0;
};

/// Trade-offs of one deployment.
struct planner_options
{
    /// What one load or unload costs, in server-seconds of work served.
    double move_price = 1.0;
    /// How long a shortfall is expected to last, in seconds.
    double horizon_seconds = 60.0;
    /// How long an unload waits for the requests that run, in seconds.
    double unload_seconds = 0.0;
    /// Loads that may be started now, from the weight store's rate.
    std::uint32_t load_budget = 2;
    /// Of them, loads that may use the weight store.
    std::uint32_t store_budget = 64;
    /// Whether a second replica is put into another failure domain while
    /// there is room.
    bool spread_domains = true;
    /// Utilisation above which a server is counted as short of capacity.
    double target_utilisation = 0.85;
    /// How much more work past a server's whole capacity counts than work
    /// past its target.
    double saturation_weight = 0.4;
};

/// The whole input of one planning round.
struct planner_input
{
    std::vector<planner_server> servers;
    std::vector<planner_model> models;
    planner_options options;
};

/// How demand spreads over replicas that serve or are being loaded.
struct load_estimate
{
    /// Work on each server, in the order of the input.
    std::vector<double> server_load;
    /// Work of each model past its servers' targets, the part past their
    /// capacity weighted more; all of it where no server holds the model.
    std::vector<double> unserved;
};

/// Spreads each model's demand over its replicas, evening out servers.
load_estimate estimate_load(const planner_input& input);

/// Plans the next steps, the most urgent first.
///
/// Never unloads the last ready replica of a declared model; a step that
/// needs room is preceded by the unloads that make it, and is itself planned
/// again once their memory is known to be free. Deterministic.
std::vector<planned_step> plan_placement(const planner_input& input);

} // namespace barleyfork

#endif
