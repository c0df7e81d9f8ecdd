/// The part of the placement controller that plans, with the loads that follow
/// from a plan.

#include <barleyfork/core/placement_controller.hpp>

#include <algorithm>
#include <cmath>

namespace barleyfork {

namespace {

/// Daemons stop sending requests to a model this long before its unload is
/// ordered.
constexpr duration unload_delay{300};
/// The reservation of a model expires this long after its room was made.
constexpr duration reservation_lifetime{4000};
/// Short, since demand shifts within seconds.
constexpr duration demand_half_life{1000};
/// Lower demand is not reported, in server-seconds per second.
constexpr double negligible_demand = 0.01;
/// Each model is declared in one version.
constexpr std::uint32_t only_version = 1;
constexpr double ms_per_second = 1000.0;
/// The share of the store's limit that a new holder uses while unknown loads of
/// its predecessor may count towards the limit.
constexpr double unknown_loads_share = 0.2;

} // namespace

std::size_t placement_controller::running_store_loads() const
{
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [](const auto& item) {
            return item.second.running && item.second.running->uses_store;
        }));
}

/// Returns the number of loads from the weight store that may start now. The
/// store's rate over the window limits them, and so does the number of
/// concurrent loads that this rate sustains.
std::uint32_t placement_controller::remaining_store_loads(time_point now)
{
    while (!store_loads_.empty() &&
           store_loads_.front() <= now - options_.load_window)
        store_loads_.pop_front();
    const double window_s =
        static_cast<double>(options_.load_window.count()) / ms_per_second;
    const bool has_unknown_loads = now < unknown_loads_until_;
    const double bound = engine_.loads_per_second * window_s *
                         (has_unknown_loads ? unknown_loads_share : 1.0);
    const auto in_window = static_cast<double>(store_loads_.size());
    double max_load_s = 0.0;
    for (const auto& model : engine_.models)
        max_load_s = std::max(max_load_s,
                              static_cast<double>(model.load_time.count()) /
                                  ms_per_second);
    const double max_concurrent_loads =
        std::max(1.0, std::ceil(engine_.loads_per_second * max_load_s));
    const double remaining = std::min(
        bound - in_window,
        max_concurrent_loads - static_cast<double>(running_store_loads()));
    return remaining < 1.0 ? 0 : static_cast<std::uint32_t>(remaining);
}

planner_server
placement_controller::make_server(const server_id& id,
                                  const engine_server& server) const
{
    planner_server entry;
    entry.id = id;
    entry.failure_domain = server.failure_domain;
    entry.capacity = server.capacity;
    entry.memory_mib = engine_.memory_mb;
    entry.committed_mib = committed_mb(server);
    entry.usable = server.usable;
    entry.accepts_orders = is_idle(server);
    const auto add = [&](const model_id& model, bool ready, bool changing) {
        const auto* declared = find_model(model);
        planner_replica replica;
        replica.model = model;
        replica.version = only_version;
        replica.memory_mib = declared == nullptr ? 0 : declared->memory_mb;
        replica.ready = ready;
        replica.changing = changing;
        replica.unloading = changing && server.held.find(model) != nullptr;
        entry.replicas.push_back(std::move(replica));
    };
    const auto is_unloading = [&server](const model_id& model) {
        const bool unloading =
            server.running && server.running->command.model == model &&
            server.running->command.kind == order_kind::unload;
        return unloading || is_unload_pending(server, model);
    };
    for (const auto& held : server.held.models)
        add(held.model, !is_unloading(held.model), is_unloading(held.model));
    if (server.running && server.running->command.kind == order_kind::load &&
        server.held.find(server.running->command.model) == nullptr)
        add(server.running->command.model, false, true);
    if (server.reservation &&
        server.held.find(server.reservation->model) == nullptr)
    {
        const auto* declared = find_model(server.reservation->model);
        add(server.reservation->model, false, true);
        entry.committed_mib += declared == nullptr ? 0 : declared->memory_mb;
    }
    const auto copy = [&](const model_id& model) {
        entry.copies.push_back(
            {model,
             static_cast<double>(load_time(server, model).count()) /
                 ms_per_second});
    };
    for (const auto& model : server.in_memory)
        copy(model);
    for (const auto& model : server.on_disk)
        if (std::find(server.in_memory.begin(),
                      server.in_memory.end(),
                      model) == server.in_memory.end())
            copy(model);
    return entry;
}

void placement_controller::set_capacity(const server_id& server,
                                        double capacity)
{
    const auto found = servers_.find(server);
    if (found != servers_.end())
        found->second.capacity = capacity;
}

planner_input placement_controller::make_input(time_point now)
{
    planner_input input;
    input.options = options_.planner;
    input.options.max_loads = static_cast<std::uint32_t>(servers_.size());
    input.options.max_store_loads = remaining_store_loads(now);
    for (const auto& [id, server] : servers_)
        input.servers.push_back(make_server(id, server));
    const double elapsed_s =
        last_planned_at_
            ? static_cast<double>((now - *last_planned_at_).count()) /
                  ms_per_second
            : 1.0;
    for (const auto& declared : engine_.models) {
        demand_options options;
        options.fast_half_life = demand_half_life;
        auto& demand =
            demand_estimators_.try_emplace(declared.id, options).first->second;
        demand.observe(requested_work_[declared.id] / std::max(elapsed_s, 0.05),
                       now);
        planner_model model;
        model.id = declared.id;
        model.version = only_version;
        model.memory_mib = declared.memory_mb;
        model.max_replicas = static_cast<std::uint32_t>(servers_.size());
        model.demand = demand.fast();
        model.peak_demand = demand.fast();
        model.load_seconds =
            static_cast<double>(declared.load_time.count()) / ms_per_second;
        input.models.push_back(std::move(model));
    }
    requested_work_.clear();
    return input;
}

void placement_controller::plan(time_point now, actions& out)
{
    const auto input = make_input(now);
    last_planned_at_ = now;
    for (const auto& step : plan_placement(input))
        apply_step(step, now, out);
}

void placement_controller::apply_step(const planned_step& step,
                                      time_point now,
                                      actions& out)
{
    const auto found = servers_.find(step.server);
    if (found == servers_.end())
        return;
    auto& server = found->second;
    // Further unloads that make room for the same model may follow the first.
    const bool makes_more_room =
        step.kind == order_kind::unload && !server.pending_unloads.empty() &&
        server.reservation && server.reservation->model == step.room_for &&
        !is_unload_pending(server, step.model);
    if (!is_idle(server) && !makes_more_room)
        return;
    if (step.kind == order_kind::load) {
        order_load(found->first,
                   server,
                   step.model,
                   reason_name(step.reason),
                   now,
                   out);
        return;
    }
    server.pending_unloads.push_back(
        {step.model, now + unload_delay, reason_name(step.reason)});
    if (!step.room_for.empty())
        server.reservation = memory_reservation{
            step.room_for,
            now + reservation_lifetime,
            now + duration(static_cast<std::int64_t>(
                      ms_per_second * options_.planner.horizon_seconds))};
    server.needs_publishing = true;
}

/// Orders a load if the memory has room for it and the weight store's limit
/// allows it. Returns whether the load was ordered.
bool placement_controller::order_load(const server_id& id,
                                      engine_server& server,
                                      const model_id& model,
                                      const char* reason,
                                      time_point now,
                                      actions& out)
{
    if (!can_load(server, model))
        return false;
    if (!has_local_copy(server, model)) {
        if (remaining_store_loads(now) == 0)
            return false;
        store_loads_.push_back(now);
    }
    order(id,
          server,
          {order_kind::load, model, {}, *server.sequence},
          reason,
          now,
          out);
    return true;
}

/// Returns whether an unload of the server is still to be ordered or waits for
/// the model's requests to end, which takes longer than usual under overload.
bool placement_controller::is_making_room(const engine_server& server)
{
    return !server.pending_unloads.empty() ||
           (server.running &&
            server.running->command.kind == order_kind::unload);
}

/// Orders the loads that memory is reserved for as soon as there is room.
void placement_controller::collect_reserved_loads(time_point now, actions& out)
{
    for (auto& [id, server] : servers_) {
        if (!server.reservation)
            continue;
        if (is_making_room(server))
            server.reservation->until = now + reservation_lifetime;
        const bool is_obsolete =
            now >= std::min(server.reservation->until,
                            server.reservation->latest) ||
            server.held.find(server.reservation->model) != nullptr;
        if (is_obsolete) {
            server.reservation.reset();
            continue;
        }
        if (is_idle(server) &&
            order_load(
                id, server, server.reservation->model, "demand", now, out))
            server.reservation.reset();
    }
}

std::vector<placement_controller::model_demand>
placement_controller::demand() const
{
    std::vector<model_demand> result;
    for (const auto& entry : demand_estimators_) {
        const auto& model = entry.first;
        const double load = entry.second.fast();
        if (load < negligible_demand)
            continue;
        const auto replicas = std::count_if(
            servers_.begin(), servers_.end(), [&model](const auto& item) {
                return item.second.held.find(model) != nullptr;
            });
        result.push_back({model, load, static_cast<std::size_t>(replicas)});
    }
    return result;
}

} // namespace barleyfork
