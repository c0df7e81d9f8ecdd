#include <barleyfork/core/placement_controller.hpp>

#include "placement_timing.hpp"

#include <algorithm>

namespace barleyfork {

namespace {

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
