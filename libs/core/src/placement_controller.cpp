#include <barleyfork/core/placement_controller.hpp>

#include "placement_timing.hpp"

#include <algorithm>
#include <cmath>

namespace barleyfork {

namespace {

/// Daemons stop sending requests to a model this long before its unload is
/// ordered.
constexpr duration unload_delay{300};
/// The state of a server with an order in progress is published again at this
/// interval, since the list shows the server's earlier state.
constexpr duration republish_interval{1000};
/// The interval between report requests while the state is unknown or an order
/// is in progress.
constexpr duration probe_repeat_interval{200};
/// An order that was not sent is decided on again after this time at the
/// earliest: a server can refuse it within no time at all.
constexpr duration unsent_order_pause{200};
/// A report shows the state of some time before, so the first report is
/// requested this long after the order should be completed.
constexpr duration report_lag{200};
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

bool contains(const std::vector<model_id>& models, const model_id& model)
{
    return std::find(models.begin(), models.end(), model) != models.end();
}

} // namespace

placement_controller::placement_controller(engine_options engine,
                                           placement_options options,
                                           const previous_holder& previous)
    : engine_(std::move(engine)), options_(options)
{
    if (!previous.told) {
        unknown_loads_until_ = previous.ended_at + options_.load_window;
        return;
    }
    const auto& reported = *previous.told;
    store_loads_.assign(reported.store_loads.begin(),
                        reported.store_loads.end());
    std::sort(store_loads_.begin(), store_loads_.end());
    last_ordered_at_ = reported.last_order;
    for (const auto& [server, at] : reported.last_order)
        orders_allowed_at_[server] = at + options_.min_holder_gap;
}

void placement_controller::set_engine(engine_options engine)
{
    engine_ = std::move(engine);
}

void placement_controller::observe(
    std::span<const backend_state* const> servers, time_point now)
{
    std::map<server_id, const backend_state*> listed;
    for (const auto* state : servers)
        listed.emplace(state->entry.id, state);
    std::erase_if(servers_, [&listed](const auto& item) {
        return !listed.contains(item.first);
    });
    for (const auto& [id, state] : listed) {
        auto& server = servers_[id];
        server.failure_domain = state->entry.failure_domain;
        server.usable = state->usable() && !state->missing_since;
        server.rejects_requests = state->rejects_requests(now);
        server.is_held_back = is_in_holder_gap(id, now) ||
                              server.rejects_requests ||
                              now < server.order_pause_until;
        if (server.rejects_requests)
            cancel_removals(server);
        server.in_memory = state->entry.in_memory;
        server.on_disk = state->entry.on_disk;
        check_listed_state(server, state->entry.held, now);
        remove_settled_loads(server, now);
    }
}

bool placement_controller::is_in_holder_gap(const server_id& id,
                                            time_point now) const
{
    const auto found = orders_allowed_at_.find(id);
    return found != orders_allowed_at_.end() && now < found->second;
}

/// Gives up the unloads of models and adapters that are not ordered yet. The
/// server rejects the requests of this daemon only, and the others send none
/// for a model or adapter that is to be unloaded.
void placement_controller::cancel_removals(engine_server& server)
{
    if (server.awaiting_answer)
        return;
    if (!server.pending_unloads.empty()) {
        server.pending_unloads.clear();
        server.reservation.reset();
        server.needs_publishing = true;
    }
    if (!server.draining_adapters.empty()) {
        server.draining_adapters.clear();
        server.needs_publishing = true;
    }
}

past_orders placement_controller::recent_orders(time_point now) const
{
    return binding_orders(
        {last_ordered_at_, {store_loads_.begin(), store_loads_.end()}},
        {options_.min_holder_gap, options_.load_window},
        now);
}

/// Starts over with a new server process, whose sequence number is requested.
void placement_controller::reset_server(engine_server& server,
                                        const resident_state& held,
                                        time_point now)
{
    server.running.reset();
    server.pending_unloads.clear();
    server.reservation.reset();
    server.activating_adapters.clear();
    server.draining_adapters.clear();
    server.unloading_adapters.clear();
    server.unsettled_loads.clear();
    server.awaiting_answer = false;
    server.pending_adapter_load.reset();
    server.sequence.reset();
    server.uncertain = false;
    server.next_probe_at = now;
    server.confirmed_at = now - options_.max_list_lag;
    server.held = held;
    server.needs_publishing = true;
}

/// Requests a report from the server if the list differs from the known state
/// for longer than its usual lag. The list lags, sometimes by much while the
/// store is unavailable, so its entry does not replace the known state.
void placement_controller::check_listed_state(engine_server& server,
                                              const resident_state& held,
                                              time_point now)
{
    if (held.started_ms != server.held.started_ms || !server.has_listed_state) {
        server.has_listed_state = true;
        reset_server(server, held, now);
        return;
    }
    const bool is_settled = !server.running && server.pending_unloads.empty() &&
                            !server.awaiting_answer && !server.next_probe_at;
    const bool is_due = now >= server.confirmed_at + options_.max_list_lag;
    if (is_settled && is_due && held != server.held)
        server.next_probe_at = now;
}

void placement_controller::remove_settled_loads(engine_server& server,
                                                time_point now)
{
    std::erase_if(server.unsettled_loads, [&server, now](const auto& load) {
        return now >= load.until ||
               (server.sequence &&
                *server.sequence > load.command.expected_sequence);
    });
}

void placement_controller::add_demand(const model_id& model, double work)
{
    requested_work_[model] += work;
}

std::vector<placement_action> placement_controller::collect(time_point now)
{
    actions out;
    collect_probes(now, out);
    collect_pending_unloads(now, out);
    collect_reserved_loads(now, out);
    collect_adapters(now, out);
    if (!last_planned_at_ || now >= *last_planned_at_ + options_.interval)
        plan(now, out);
    return out;
}

const engine_model* placement_controller::find_model(const model_id& id) const
{
    const auto& models = engine_.models;
    const auto found =
        std::find_if(models.begin(), models.end(), [&id](const auto& model) {
            return model.id == id;
        });
    return found == models.end() ? nullptr : &*found;
}

/// Returns the memory for the maximum number of adapters per server, all of
/// the largest size.
std::uint64_t placement_controller::adapter_reserve_mb() const
{
    std::uint64_t largest = 0;
    for (const auto& model : engine_.models)
        if (model.adapters > 0)
            largest = std::max<std::uint64_t>(largest, model.adapter_mb);
    return largest * engine_.max_adapters;
}

std::uint64_t
placement_controller::committed_mb(const engine_server& server) const
{
    std::uint64_t sum = adapter_reserve_mb();
    std::vector<model_id> counted;
    const auto count = [&](const model_id& model) {
        const auto* declared = find_model(model);
        if (declared == nullptr || contains(counted, model))
            return;
        counted.push_back(model);
        sum += declared->memory_mb;
    };
    for (const auto& held : server.held.models)
        count(held.model);
    if (server.running)
        count(server.running->command.model);
    for (const auto& load : server.unsettled_loads)
        if (load.command.adapter.empty())
            count(load.command.model);
    return sum;
}

bool placement_controller::is_idle(const engine_server& server) const
{
    return server.usable && !server.is_held_back && server.sequence &&
           !server.awaiting_answer && !server.running &&
           server.pending_unloads.empty() && !server.uncertain;
}

bool placement_controller::is_unload_pending(const engine_server& server,
                                             const model_id& model)
{
    return std::any_of(server.pending_unloads.begin(),
                       server.pending_unloads.end(),
                       [&](const auto& entry) { return entry.model == model; });
}

bool placement_controller::can_load(const engine_server& server,
                                    const model_id& model) const
{
    const auto* declared = find_model(model);
    if (declared == nullptr || server.held.find(model) != nullptr)
        return false;
    const bool is_counted = std::any_of(
        server.unsettled_loads.begin(),
        server.unsettled_loads.end(),
        [&model](const auto& load) {
            return load.command.model == model && load.command.adapter.empty();
        });
    const auto needed = is_counted ? 0 : declared->memory_mb;
    return committed_mb(server) + needed <= engine_.memory_mb;
}

bool placement_controller::has_local_copy(const engine_server& server,
                                          const model_id& model) const
{
    return contains(server.in_memory, model) || contains(server.on_disk, model);
}

duration placement_controller::load_time(const engine_server& server,
                                         const model_id& model) const
{
    const auto* declared = find_model(model);
    if (declared == nullptr)
        return duration{0};
    if (contains(server.in_memory, model))
        return declared->memory_load_time;
    if (contains(server.on_disk, model))
        return declared->disk_load_time;
    return declared->load_time;
}

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
        if (!contains(server.in_memory, model))
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

void placement_controller::order(const server_id& id,
                                 engine_server& server,
                                 engine_command command,
                                 const char* reason,
                                 time_point now,
                                 actions& out)
{
    server.awaiting_answer = true;
    last_ordered_at_[id] = now;
    if (!command.adapter.empty() && command.kind == order_kind::load)
        server.pending_adapter_load =
            adapter_key{command.model, command.adapter};
    out.push_back(
        {placement_action::what::order, id, std::move(command), reason});
}

void placement_controller::collect_pending_unloads(time_point now, actions& out)
{
    for (auto& [id, server] : servers_) {
        if (server.pending_unloads.empty() || server.running ||
            server.is_held_back ||
            now < server.pending_unloads.front().order_at ||
            server.awaiting_answer || !server.sequence)
            continue;
        const auto& unload = server.pending_unloads.front();
        order(id,
              server,
              {order_kind::unload, unload.model, {}, *server.sequence},
              unload.reason,
              now,
              out);
    }
}

void placement_controller::collect_probes(time_point now, actions& out)
{
    for (auto& [id, server] : servers_) {
        remove_settled_loads(server, now);
        const bool running_due =
            server.running && now >= server.running->next_probe_at;
        const bool due = server.next_probe_at && now >= *server.next_probe_at;
        if (!running_due && !due)
            continue;
        if (server.running)
            server.running->next_probe_at = now + probe_repeat_interval;
        if (server.next_probe_at)
            server.next_probe_at = now + probe_repeat_interval;
        out.push_back(
            {placement_action::what::report, id, engine_command{}, ""});
    }
}

void placement_controller::on_answer(const server_id& id,
                                     const engine_command& command,
                                     engine_answer answer,
                                     time_point now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    auto& server = found->second;
    server.awaiting_answer = false;
    server.pending_adapter_load.reset();
    const bool ends_model_unload = !server.pending_unloads.empty() &&
                                   command.adapter.empty() &&
                                   command.kind == order_kind::unload;
    if (ends_model_unload)
        server.pending_unloads.pop_front();
    server.needs_publishing = server.needs_publishing || ends_model_unload;
    switch (answer) {
    case engine_answer::accepted:
        on_accepted(server, command, now);
        return;
    case engine_answer::holds:
        if (!command.adapter.empty())
            on_adapter_changed(server, command, now);
        else
            mark_uncertain(server, now);
        return;
    case engine_answer::unknown:
        if (command.kind == order_kind::load)
            server.unsettled_loads.push_back(
                {command, now + options_.late_order_lifetime});
        mark_uncertain(server, now + first_probe_delay);
        return;
    case engine_answer::not_sent:
        pause_orders(server, now);
        return;
    case engine_answer::busy:
    case engine_answer::stale_fence:
    case engine_answer::invalid:
    case engine_answer::wrong_server:
        mark_uncertain(server, now + probe_repeat_interval);
        return;
    }
}

void placement_controller::mark_uncertain(engine_server& server,
                                          time_point next_probe_at)
{
    server.uncertain = true;
    server.next_probe_at = next_probe_at;
}

/// Without a pause the next pass would decide on the same order again, and
/// every answer starts a pass.
void placement_controller::pause_orders(engine_server& server, time_point now)
{
    server.order_pause_until = now + unsent_order_pause;
    server.is_held_back = true;
}

void placement_controller::on_accepted(engine_server& server,
                                       const engine_command& command,
                                       time_point now)
{
    server.sequence = command.expected_sequence + 1;
    server.confirmed_at = now;
    if (command.adapter.empty())
        on_model_accepted(server, command, now);
    else if (command.kind == order_kind::load)
        on_adapter_changed(server, command, now);
    else
        on_adapter_unload_started(server, command, now);
}

void placement_controller::on_model_accepted(engine_server& server,
                                             const engine_command& command,
                                             time_point now)
{
    running_order running;
    running.command = command;
    running.sequence = command.expected_sequence + 1;
    running.uses_store = command.kind == order_kind::load &&
                         !has_local_copy(server, command.model);
    running.next_probe_at = now + report_lag;
    if (command.kind == order_kind::load)
        running.next_probe_at += load_time(server, command.model);
    server.running = running;
    server.needs_publishing = true;
}

void placement_controller::on_report(const server_id& id,
                                     const engine_snapshot& report,
                                     time_point now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    auto& server = found->second;
    if (report.held.started_ms != server.held.started_ms)
        return;
    // Reports lag: a report from before the last accepted order is outdated.
    if (server.sequence && report.sequence < *server.sequence)
        return;
    if (report.busy)
        return;
    server.sequence = report.sequence;
    server.running.reset();
    server.next_probe_at.reset();
    server.uncertain = false;
    remove_settled_loads(server, now);
    server.confirmed_at = now;
    server.needs_publishing =
        server.needs_publishing || server.held != report.held;
    server.held = report.held;
    std::erase_if(server.unloading_adapters, [&server](const adapter_key& key) {
        const auto* held = server.held.find(key.first);
        return held == nullptr || !held->has_adapter(key.second);
    });
    std::erase_if(server.draining_adapters, [&server](const auto& entry) {
        const auto* held = server.held.find(entry.key.first);
        return held == nullptr || !held->has_adapter(entry.key.second);
    });
    if (!server.unloading_adapters.empty())
        server.next_probe_at = now + first_probe_delay;
}

std::optional<resident_state>
placement_controller::published(const server_id& id, time_point now) const
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return std::nullopt;
    const auto& server = found->second;
    resident_state result = server.held;
    for (auto& held : result.models) {
        const bool is_unloading =
            is_unload_pending(server, held.model) ||
            (server.running && server.running->command.model == held.model &&
             server.running->command.kind == order_kind::unload);
        held.ready = !is_unloading;
        std::erase_if(held.adapters, [&](const auto& adapter) {
            return is_being_removed(server, {held.model, adapter});
        });
        for (const auto& entry : server.activating_adapters)
            if (entry.model == held.model && now < entry.ready_at)
                std::erase(held.adapters, entry.adapter);
    }
    return result;
}

std::vector<server_id> placement_controller::take_changed(time_point now)
{
    std::vector<server_id> changed;
    for (auto& [id, server] : servers_) {
        const auto activated =
            std::erase_if(server.activating_adapters, [now](const auto& entry) {
                return now >= entry.ready_at;
            });
        const bool is_in_progress = server.running ||
                                    !server.pending_unloads.empty() ||
                                    !server.unloading_adapters.empty() ||
                                    !server.draining_adapters.empty();
        const bool due = is_in_progress &&
                         now >= server.last_published_at + republish_interval;
        if (!server.needs_publishing && activated == 0 && !due)
            continue;
        changed.push_back(id);
        server.last_published_at = now;
        server.needs_publishing = false;
    }
    return changed;
}

} // namespace barleyfork
