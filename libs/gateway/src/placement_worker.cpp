#include "placement_worker.hpp"

#include <barleyfork/base/log.hpp>

#include <boost/asio/post.hpp>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr duration demand_log_interval{2000};
/// Planning takes at most this fraction (1/n) of the time.
constexpr int planning_divisor = 8;
constexpr std::int64_t holder_poll_ms = 50;
constexpr std::int64_t candidate_poll_ms = 100;
/// Minimum interval between updates of the resident models.
constexpr duration publish_interval{150};
placement_options
make_placement_options(const schema::gateway_settings_record& settings,
                       duration min_holder_gap)
{
    const auto& placement = *settings.placement;
    placement_options options;
    options.planner.move_price = placement.move_price;
    options.planner.horizon_seconds = placement.horizon_s;
    options.planner.target_utilisation = placement.target_utilisation;
    options.planner.unload_seconds = placement.unload_s;
    // Demand changes more often than failure domains fail here, so the memory
    // is used for demand rather than for spreading replicas.
    options.planner.spread_domains = false;
    options.interval = duration(placement.interval_ms);
    options.load_window = seconds(settings.bounds->load_window_s);
    options.min_holder_gap = min_holder_gap;
    return options;
}

const char* answer_name(engine_answer answer)
{
    switch (answer) {
    case engine_answer::accepted:
        return "accepted";
    case engine_answer::holds:
        return "holds";
    case engine_answer::busy:
        return "busy";
    case engine_answer::stale_fence:
        return "stale_fence";
    case engine_answer::invalid:
        return "invalid";
    case engine_answer::wrong_server:
        return "wrong_server";
    case engine_answer::not_sent:
        return "not_sent";
    case engine_answer::unknown:
        break;
    }
    return "unknown";
}

} // namespace

placement_worker::placement_worker(gateway_context& context,
                                   store_watch& watch,
                                   peer_updates& updates)
    : context_(context), watch_(watch), peer_updates_(updates),
      lease_(context.self, make_lease_options(*context.settings.bounds))
{
    updates.on_released([this](bool named) { on_released(named); });
}

asio::awaitable<void> placement_worker::run()
{
    while (!stopping_) {
        co_await maintain_lease();
        const bool is_holder = lease_.held(boot_now());
        if (is_holder)
            run_planning(steady_now());
        else
            controllers_.clear();
        watch_.set_holder(is_holder);
        peer_updates_.set_lease_holder(is_holder, lease_.epoch());
        co_await sleep_for_ms(is_holder ? holder_poll_ms : candidate_poll_ms);
    }
}

bool placement_worker::may_order(time_point now) const
{
    return lease_.held(now) && now >= orders_allowed_from_ && !stopping_;
}

void placement_worker::add_own_demand()
{
    auto& demand_to_report = context_.demand_to_report;
    const auto now = steady_now();
    for (auto& [service, controller] : controllers_) {
        for (const auto& [model, work] : demand_to_report.work)
            controller.add_demand(model, work);
        for (const auto& [model, adapter] : demand_to_report.needs)
            controller.add_adapter_request(model, adapter, now);
        for (const auto& [model, adapter] : demand_to_report.uses)
            controller.used_adapter(model, adapter, now);
        controller.record_adapter_uses(
            context_.self, context_.adapters.list(), now);
    }
    demand_to_report = placement_demand();
}

void placement_worker::on_demand(const schema::peer_message_record& message)
{
    const auto now = steady_now();
    std::vector<adapter_use> uses;
    for (const auto& use : message.running)
        uses.push_back({use.server_hash(), use.adapter_hash()});
    const instance_id daemon(message.sender->instance);
    for (auto& [service, controller] : controllers_) {
        controller.record_adapter_uses(daemon, uses, now);
        for (const auto& demand : message.demand)
            controller.add_demand(model_id(demand->model), demand->work);
        for (const auto& need : message.needs)
            controller.add_adapter_request(
                model_id(need->model), need->adapter, now);
        for (const auto& use : message.uses)
            controller.used_adapter(model_id(use->model), use->adapter, now);
    }
    if (!message.needs.empty())
        plan_soon();
}

/// Runs a pass soon, unless one is about to run or the regular one suffices.
/// Never within the caller: an order that is not sent is answered before it
/// returns, so that passes and answers would nest without end.
void placement_worker::plan_soon()
{
    const bool may_plan = !is_pass_pending_ && may_order(boot_now()) &&
                          throttle_.take(context_.daemons(), steady_now());
    if (!may_plan)
        return;
    is_pass_pending_ = true;
    asio::post(context_.serving.executor(), [this] {
        is_pass_pending_ = false;
        if (may_order(boot_now()))
            run_planning(steady_now());
    });
}

void placement_worker::update_controllers(time_point now)
{
    auto options = make_placement_options(
        context_.settings, min_holder_gap(*context_.settings.bounds));
    options.update_round_trip =
        2 * context_.update_interval() + publish_interval;
    for (const auto& service : context_.configuration->services) {
        if (!service.engine)
            continue;
        auto [found, inserted] = controllers_.try_emplace(
            service.id, *service.engine, options, previous_);
        if (!inserted)
            found->second.set_engine(*service.engine);
        std::vector<const backend_state*> servers;
        for (const auto& [id, state] : context_.directory.servers())
            if (state.entry.service == service.id)
                servers.push_back(&state);
        found->second.observe(servers, now);
        for (const auto* server : servers)
            found->second.set_capacity(server->entry.id,
                                       context_.capacity(server->entry));
    }
}

void placement_worker::run_planning(time_point now)
{
    if (!context_.configuration || !context_.has_server_list)
        return;
    update_controllers(now);
    add_own_demand();
    if (may_order(boot_now()))
        for (auto& [service, controller] : controllers_)
            collect(service, controller, now);
    publish(now);
    log_demand(now);
}

/// Collects and executes the actions of a controller. Planning becomes less
/// frequent when it takes long, because the daemon also serves requests.
void placement_worker::collect(const service_id& service,
                               placement_controller& controller,
                               time_point now)
{
    for (const auto& action : controller.collect(now))
        execute(service, action);
    const auto took = steady_now() - now;
    const duration interval(context_.settings.placement->interval_ms);
    controller.set_interval(std::max(interval, planning_divisor * took));
}

void placement_worker::log_demand(time_point now)
{
    if (now < next_demand_log_)
        return;
    next_demand_log_ = now + demand_log_interval;
    for (const auto& [service, controller] : controllers_)
        for (const auto& entry : controller.demand())
            log_event(log_level::info, "model_demand")
                .with("model", entry.model.value())
                .with("load_percent",
                      static_cast<std::int64_t>(100.0 * entry.demand))
                .with("replicas", static_cast<std::int64_t>(entry.replicas));
}

void placement_worker::execute(const service_id& service,
                               const placement_action& action)
{
    const auto* state = context_.directory.find(action.server);
    if (state == nullptr)
        return;
    const bool accepts_requests = !state->rejects_requests(steady_now());
    const server_process process{action.server, state->entry.held.started_ms};
    engine_address to{action.server, state->entry.address, state->entry.port};
    if (action.kind == placement_action::what::order)
        context_.serving.spawn(
            send_order(service, action, process, std::move(to)));
    else if (accepts_requests)
        context_.serving.spawn(read_report(service, process, std::move(to)));
}

/// Records that an engine turned an order or the request of a report away for a
/// time, as it may turn requests away.
void placement_worker::heed_rejection(const server_process& process,
                                      std::string_view call,
                                      std::optional<duration> rejects_for)
{
    if (!rejects_for)
        return;
    context_.on_server_rejects(process, steady_now() + *rejects_for);
    log_event(log_level::info, "server_turned_away")
        .with("call", call)
        .with("server", process.server.value())
        .with("for_ms", rejects_for->count());
}

/// Returns why an order to the server may not be sent now, for the log, or null
/// if it may be sent.
const char* placement_worker::obstacle_to_order(const server_id& server,
                                                time_point now) const
{
    const auto* state = context_.directory.find(server);
    if (state == nullptr)
        return "unlisted";
    if (state->rejects_requests(now))
        return "turned_away";
    return may_order(boot_now()) ? nullptr : "lease";
}

asio::awaitable<void> placement_worker::send_order(service_id service,
                                                   placement_action action,
                                                   server_process process,
                                                   engine_address to)
{
    order_result reply;
    reply.answer = engine_answer::not_sent;
    const auto began = steady_now();
    const char* obstacle = obstacle_to_order(action.server, began);
    if (obstacle == nullptr) {
        context_.measures.count_order();
        const order_sender sender{context_.self.value(), lease_.epoch()};
        reply = co_await context_.platform.engines->send_order(
            std::move(to), action.command, sender);
        heed_rejection(process, "order", reply.rejects_requests_for);
    }
    log_event(log_level::info, "order_answered")
        .with("server", action.server.value())
        .with("kind",
              action.command.kind == order_kind::load ? "load" : "unload")
        .with("model", action.command.model.value())
        .with("adapter", action.command.adapter)
        .with("reason", action.reason)
        .with("expected",
              static_cast<std::int64_t>(action.command.expected_sequence))
        .with("epoch", static_cast<std::int64_t>(lease_.epoch()))
        .with("answer", answer_name(reply.answer))
        .with("obstacle", obstacle == nullptr ? "" : obstacle)
        .with("took_ms", (steady_now() - began).count());
    const auto found = controllers_.find(service);
    if (found == controllers_.end())
        co_return;
    const auto now = steady_now();
    found->second.on_answer(action.server, action.command, reply.answer, now);
    // The space that an unloaded adapter freed is reassigned immediately.
    if (!action.command.adapter.empty())
        plan_soon();
}

asio::awaitable<void> placement_worker::read_report(service_id service,
                                                    server_process process,
                                                    engine_address from)
{
    const auto reply =
        co_await context_.platform.engines->read_report(std::move(from));
    heed_rejection(process, "report", reply.rejects_requests_for);
    if (reply.error) {
        log_event(log_level::warn, "report_failed")
            .with("server", process.server.value())
            .with("error", reply.error.detail);
        co_return;
    }
    const auto found = controllers_.find(service);
    if (found == controllers_.end())
        co_return;
    const auto now = steady_now();
    found->second.on_report(process.server, reply.word, now);
}

/// Sends the changes of the resident models to every daemon, and applies them
/// to this one.
void placement_worker::publish(time_point now)
{
    const bool has_many_daemons =
        context_.daemons() > placement_throttle::max_unthrottled_daemons;
    if (has_many_daemons && now < published_at_ + publish_interval)
        return;
    std::vector<server_residents> changed;
    for (auto& [service, controller] : controllers_)
        for (const auto& server : controller.take_changed(now))
            if (auto resident = controller.published(server, now))
                changed.push_back({server, std::move(*resident)});
    if (changed.empty() && !watch_.has_rows_to_relay())
        return;
    published_at_ = now;
    const auto order = peer_updates_.announce(changed);
    for (const auto& update : changed)
        context_.directory.learn(update.server, update.resident, order, now);
    context_.wake_waiting_calls();
}

} // namespace barleyfork
