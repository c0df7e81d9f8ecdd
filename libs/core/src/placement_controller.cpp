#include <barleyfork/core/placement_controller.hpp>

#include "placement_timing.hpp"

#include <algorithm>
#include <cmath>

namespace barleyfork {

namespace {

/// Daemons stop sending to a model this long before its unload is ordered.
constexpr duration closing_time{300};
/// What an order in progress makes of a server is told again after this,
/// since the list shows the server as it was.
constexpr duration repeat_news{1000};
/// A report is asked for again after this while an order runs.
constexpr duration probe_pause{200};
/// A report shows the state of some time before, so the first is asked for
/// this long after the order should be done.
constexpr duration report_lag{200};
/// A model that waits for room gives the room up after this.
constexpr duration reservation_life{4000};
/// Demand that moves within seconds is followed as fast.
constexpr duration demand_half_life{1000};
/// Demand below this is not worth a line, in server-seconds a second.
constexpr double negligible_demand = 0.01;
/// One version of each model is declared.
constexpr std::uint32_t only_version = 1;
constexpr double ms_per_second = 1000.0;
/// The share of the store's bound that a new holder takes while loads of its
/// predecessor may count that are not known.
constexpr double share_beside_unknown = 0.2;

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
    const auto& told = *previous.told;
    store_loads_.assign(told.store_loads.begin(), told.store_loads.end());
    std::sort(store_loads_.begin(), store_loads_.end());
    ordered_at_ = told.last_order;
    for (const auto& [server, at] : told.last_order)
        orders_from_[server] = at + options_.holder_gap;
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
        server.held_back = is_held_back(id, now);
        server.in_memory = state->entry.in_memory;
        server.on_disk = state->entry.on_disk;
        adopt(server, state->entry.held, now);
        settle(server, now);
    }
}

bool placement_controller::is_held_back(const server_id& id,
                                        time_point now) const
{
    const auto found = orders_from_.find(id);
    return found != orders_from_.end() && now < found->second;
}

past_orders placement_controller::recent_orders(time_point now) const
{
    return binding_orders(
        {ordered_at_, {store_loads_.begin(), store_loads_.end()}},
        {options_.holder_gap, options_.load_window},
        now);
}

/// A process that is not known yet: its sequence is asked for.
void placement_controller::begin_anew(engine_server& server,
                                      const held_state& held,
                                      time_point now)
{
    server.running.reset();
    server.closing.clear();
    server.reserved.reset();
    server.coming.clear();
    server.leaving.clear();
    server.going.clear();
    server.unsettled.clear();
    server.awaiting_answer = false;
    server.asked_for.reset();
    server.sequence.reset();
    server.uncertain = false;
    server.probe_at = now;
    server.told_at = now - options_.list_lag;
    server.held = held;
    server.changed = true;
}

/// The list lags, at times by much while the store is away, so it replaces
/// nothing: where it differs for longer than it usually lags, the server is
/// asked for its own word.
void placement_controller::adopt(engine_server& server,
                                 const held_state& held,
                                 time_point now)
{
    if (held.started_ms != server.held.started_ms || !server.known) {
        server.known = true;
        begin_anew(server, held, now);
        return;
    }
    const bool settled = !server.running && server.closing.empty() &&
                         !server.awaiting_answer && !server.probe_at;
    const bool due = now >= server.told_at + options_.list_lag;
    if (settled && due && held != server.held)
        server.probe_at = now;
}

void placement_controller::settle(engine_server& server, time_point now)
{
    std::erase_if(server.unsettled, [&server, now](const auto& load) {
        return now >= load.until ||
               (server.sequence &&
                *server.sequence > load.command.expected_sequence);
    });
}

void placement_controller::add_demand(const model_id& model, double work)
{
    work_[model] += work;
}

std::vector<placement_action> placement_controller::collect(time_point now)
{
    actions out;
    collect_probes(now, out);
    collect_closings(now, out);
    collect_reserved(now, out);
    collect_adapters(now, out);
    if (!planned_at_ || now >= *planned_at_ + options_.interval)
        plan(now, out);
    return out;
}

const engine_model* placement_controller::model_of(const model_id& id) const
{
    const auto& models = engine_.models;
    const auto found =
        std::find_if(models.begin(), models.end(), [&id](const auto& model) {
            return model.id == id;
        });
    return found == models.end() ? nullptr : &*found;
}

/// Room for as many of the largest adapters as a server may hold.
std::uint64_t placement_controller::adapter_reserve() const
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
    std::uint64_t sum = adapter_reserve();
    std::vector<model_id> counted;
    const auto count = [&](const model_id& model) {
        const auto* declared = model_of(model);
        if (declared == nullptr || contains(counted, model))
            return;
        counted.push_back(model);
        sum += declared->memory_mb;
    };
    for (const auto& held : server.held.models)
        count(held.model);
    if (server.running)
        count(server.running->command.model);
    for (const auto& load : server.unsettled)
        if (load.command.adapter.empty())
            count(load.command.model);
    return sum;
}

bool placement_controller::is_idle(const engine_server& server) const
{
    return server.usable && !server.held_back && server.sequence &&
           !server.awaiting_answer && !server.running &&
           server.closing.empty() && !server.uncertain;
}

bool placement_controller::is_closing(const engine_server& server,
                                      const model_id& model)
{
    return std::any_of(server.closing.begin(),
                       server.closing.end(),
                       [&](const auto& going) { return going.model == model; });
}

bool placement_controller::takes_load(const engine_server& server,
                                      const model_id& model) const
{
    const auto* declared = model_of(model);
    if (declared == nullptr || server.held.find(model) != nullptr)
        return false;
    const bool counted = std::any_of(server.unsettled.begin(),
                                     server.unsettled.end(),
                                     [&model](const auto& load) {
                                         return load.command.model == model &&
                                                load.command.adapter.empty();
                                     });
    const auto needed = counted ? 0 : declared->memory_mb;
    return committed_mb(server) + needed <= engine_.memory_mb;
}

bool placement_controller::is_at_hand(const engine_server& server,
                                      const model_id& model) const
{
    return contains(server.in_memory, model) || contains(server.on_disk, model);
}

duration placement_controller::load_time(const engine_server& server,
                                         const model_id& model) const
{
    const auto* declared = model_of(model);
    if (declared == nullptr)
        return duration{0};
    if (contains(server.in_memory, model))
        return declared->memory_load_time;
    if (contains(server.on_disk, model))
        return declared->disk_load_time;
    return declared->load_time;
}

std::size_t placement_controller::store_loads_running() const
{
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [](const auto& item) {
            return item.second.running && item.second.running->from_store;
        }));
}

/// Loads from the weight store that may begin now: within the store's rate
/// over the window, and as many at once as that rate keeps busy.
std::uint32_t placement_controller::load_budget(time_point now)
{
    while (!store_loads_.empty() &&
           store_loads_.front() <= now - options_.load_window)
        store_loads_.pop_front();
    const double window_s =
        static_cast<double>(options_.load_window.count()) / ms_per_second;
    const bool some_unknown = now < unknown_loads_until_;
    const double bound = engine_.loads_per_second * window_s *
                         (some_unknown ? share_beside_unknown : 1.0);
    const auto in_window = static_cast<double>(store_loads_.size());
    double longest_s = 0.0;
    for (const auto& model : engine_.models)
        longest_s = std::max(longest_s,
                             static_cast<double>(model.load_time.count()) /
                                 ms_per_second);
    const double at_once =
        std::max(1.0, std::ceil(engine_.loads_per_second * longest_s));
    const double left =
        std::min(bound - in_window,
                 at_once - static_cast<double>(store_loads_running()));
    return left < 1.0 ? 0 : static_cast<std::uint32_t>(left);
}

planner_server
placement_controller::make_server(const server_id& id,
                                  const engine_server& server) const
{
    planner_server entry;
    entry.id = id;
    entry.failure_domain = server.failure_domain;
    entry.memory_mib = engine_.memory_mb;
    entry.committed_mib = committed_mb(server);
    entry.usable = server.usable;
    entry.takes_orders = is_idle(server);
    const auto add = [&](const model_id& model, bool ready, bool changing) {
        const auto* declared = model_of(model);
        planner_replica replica;
        replica.model = model;
        replica.version = only_version;
        replica.memory_mib = declared == nullptr ? 0 : declared->memory_mb;
        replica.ready = ready;
        replica.changing = changing;
        replica.unloading = changing && server.held.find(model) != nullptr;
        entry.replicas.push_back(std::move(replica));
    };
    const auto is_going = [&server](const model_id& model) {
        const bool unloading =
            server.running && server.running->command.model == model &&
            server.running->command.kind == order_kind::unload;
        return unloading || is_closing(server, model);
    };
    for (const auto& held : server.held.models)
        add(held.model, !is_going(held.model), is_going(held.model));
    if (server.running && server.running->command.kind == order_kind::load &&
        server.held.find(server.running->command.model) == nullptr)
        add(server.running->command.model, false, true);
    if (server.reserved && server.held.find(server.reserved->model) == nullptr)
    {
        const auto* declared = model_of(server.reserved->model);
        add(server.reserved->model, false, true);
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

planner_input placement_controller::make_input(time_point now)
{
    planner_input input;
    input.options = options_.planner;
    input.options.load_budget = static_cast<std::uint32_t>(servers_.size());
    input.options.store_budget = load_budget(now);
    for (const auto& [id, server] : servers_)
        input.servers.push_back(make_server(id, server));
    const double elapsed_s =
        planned_at_
            ? static_cast<double>((now - *planned_at_).count()) / ms_per_second
            : 1.0;
    for (const auto& declared : engine_.models) {
        demand_options halves;
        halves.fast_half_life = demand_half_life;
        auto& demand = demand_.try_emplace(declared.id, halves).first->second;
        demand.observe(work_[declared.id] / std::max(elapsed_s, 0.05), now);
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
    work_.clear();
    return input;
}

void placement_controller::plan(time_point now, actions& out)
{
    const auto input = make_input(now);
    planned_at_ = now;
    for (const auto& step : plan_placement(input))
        take_step(step, now, out);
}

void placement_controller::take_step(const planned_step& step,
                                     time_point now,
                                     actions& out)
{
    const auto found = servers_.find(step.server);
    if (found == servers_.end())
        return;
    auto& server = found->second;
    // Further unloads for the same model follow the first.
    const bool more_room = step.kind == order_kind::unload &&
                           !server.closing.empty() && server.reserved &&
                           server.reserved->model == step.room_for &&
                           !is_closing(server, step.model);
    if (!is_idle(server) && !more_room)
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
    server.closing.push_back(
        {step.model, now + closing_time, reason_name(step.reason)});
    if (!step.room_for.empty())
        server.reserved = reserved_room{step.room_for, now + reservation_life};
    server.changed = true;
}

/// Orders a load where the memory holds it and the weight store's bound
/// allows it; false where it does not.
bool placement_controller::order_load(const server_id& id,
                                      engine_server& server,
                                      const model_id& model,
                                      const char* reason,
                                      time_point now,
                                      actions& out)
{
    if (!takes_load(server, model))
        return false;
    if (!is_at_hand(server, model)) {
        if (load_budget(now) == 0)
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

/// Loads what room was made for, as soon as the room is there.
void placement_controller::collect_reserved(time_point now, actions& out)
{
    for (auto& [id, server] : servers_) {
        if (!server.reserved)
            continue;
        const bool over = now >= server.reserved->until ||
                          server.held.find(server.reserved->model) != nullptr;
        if (over) {
            server.reserved.reset();
            continue;
        }
        if (is_idle(server) &&
            order_load(id, server, server.reserved->model, "demand", now, out))
            server.reserved.reset();
    }
}

std::vector<placement_controller::model_demand>
placement_controller::demand() const
{
    std::vector<model_demand> result;
    for (const auto& entry : demand_) {
        const auto& model = entry.first;
        const double load = entry.second.fast();
        if (load < negligible_demand)
            continue;
        const auto holders = std::count_if(
            servers_.begin(), servers_.end(), [&model](const auto& item) {
                return item.second.held.find(model) != nullptr;
            });
        result.push_back({model, load, static_cast<std::size_t>(holders)});
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
    ordered_at_[id] = now;
    if (!command.adapter.empty() && command.kind == order_kind::load)
        server.asked_for = adapter_key{command.model, command.adapter};
    out.push_back(
        {placement_action::what::order, id, std::move(command), reason});
}

void placement_controller::collect_closings(time_point now, actions& out)
{
    for (auto& [id, server] : servers_) {
        if (server.closing.empty() || server.running || server.held_back ||
            now < server.closing.front().order_at || server.awaiting_answer ||
            !server.sequence)
            continue;
        const auto& going = server.closing.front();
        order(id,
              server,
              {order_kind::unload, going.model, {}, *server.sequence},
              going.reason,
              now,
              out);
    }
}

void placement_controller::collect_probes(time_point now, actions& out)
{
    for (auto& [id, server] : servers_) {
        settle(server, now);
        const bool running_due =
            server.running && now >= server.running->probe_at;
        const bool due = server.probe_at && now >= *server.probe_at;
        if (!running_due && !due)
            continue;
        if (server.running)
            server.running->probe_at = now + probe_pause;
        if (server.probe_at)
            server.probe_at = now + probe_pause;
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
    server.asked_for.reset();
    const bool closes = !server.closing.empty() && command.adapter.empty() &&
                        command.kind == order_kind::unload;
    if (closes)
        server.closing.pop_front();
    server.changed = server.changed || closes;
    switch (answer) {
    case engine_answer::accepted:
        on_accepted(server, command, now);
        return;
    case engine_answer::holds:
        if (!command.adapter.empty())
            on_adapter_done(server, command, now);
        else
            doubt(server, now);
        return;
    case engine_answer::unknown:
        if (command.kind == order_kind::load)
            server.unsettled.push_back(
                {command, now + options_.late_order_life});
        doubt(server, now + first_probe);
        return;
    case engine_answer::not_sent:
        return;
    case engine_answer::busy:
    case engine_answer::stale_fence:
    case engine_answer::invalid:
    case engine_answer::wrong_server:
        doubt(server, now + probe_pause);
        return;
    }
}

void placement_controller::doubt(engine_server& server, time_point probe_at)
{
    server.uncertain = true;
    server.probe_at = probe_at;
}

void placement_controller::on_accepted(engine_server& server,
                                       const engine_command& command,
                                       time_point now)
{
    server.sequence = command.expected_sequence + 1;
    server.told_at = now;
    if (command.adapter.empty())
        on_model_accepted(server, command, now);
    else if (command.kind == order_kind::load)
        on_adapter_done(server, command, now);
    else
        on_adapter_going(server, command, now);
}

void placement_controller::on_model_accepted(engine_server& server,
                                             const engine_command& command,
                                             time_point now)
{
    running_order running;
    running.command = command;
    running.sequence = command.expected_sequence + 1;
    running.from_store =
        command.kind == order_kind::load && !is_at_hand(server, command.model);
    running.probe_at = now + report_lag;
    if (command.kind == order_kind::load)
        running.probe_at += load_time(server, command.model);
    server.running = running;
    server.changed = true;
}

void placement_controller::on_report(const server_id& id,
                                     const engine_word& word,
                                     time_point now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    auto& server = found->second;
    if (word.held.started_ms != server.held.started_ms)
        return;
    // Reports lag: one from before the last accepted order says nothing.
    if (server.sequence && word.sequence < *server.sequence)
        return;
    if (word.busy)
        return;
    server.sequence = word.sequence;
    server.running.reset();
    server.probe_at.reset();
    server.uncertain = false;
    settle(server, now);
    server.told_at = now;
    server.changed = server.changed || server.held != word.held;
    server.held = word.held;
    std::erase_if(server.going, [&server](const adapter_key& key) {
        const auto* held = server.held.find(key.first);
        return held == nullptr || !held->has_adapter(key.second);
    });
    std::erase_if(server.leaving, [&server](const auto& leaving) {
        const auto* held = server.held.find(leaving.key.first);
        return held == nullptr || !held->has_adapter(leaving.key.second);
    });
    if (!server.going.empty())
        server.probe_at = now + first_probe;
}

std::optional<held_state> placement_controller::published(const server_id& id,
                                                          time_point now) const
{
    const auto found = servers_.find(id);
    if (found == servers_.end())
        return std::nullopt;
    const auto& server = found->second;
    held_state shown = server.held;
    for (auto& held : shown.models) {
        const bool going =
            is_closing(server, held.model) ||
            (server.running && server.running->command.model == held.model &&
             server.running->command.kind == order_kind::unload);
        held.ready = !going;
        std::erase_if(held.adapters, [&](const auto& adapter) {
            return is_going(server, {held.model, adapter});
        });
        for (const auto& coming : server.coming)
            if (coming.model == held.model && now < coming.ready_at)
                std::erase(held.adapters, coming.adapter);
    }
    return shown;
}

std::vector<server_id> placement_controller::take_changed(time_point now)
{
    std::vector<server_id> changed;
    for (auto& [id, server] : servers_) {
        const auto arrived =
            std::erase_if(server.coming, [now](const auto& coming) {
                return now >= coming.ready_at;
            });
        const bool in_progress = server.running || !server.closing.empty() ||
                                 !server.going.empty() ||
                                 !server.leaving.empty();
        const bool due =
            in_progress && now >= server.published_at + repeat_news;
        if (!server.changed && arrived == 0 && !due)
            continue;
        changed.push_back(id);
        server.published_at = now;
        server.changed = false;
    }
    return changed;
}

} // namespace barleyfork
