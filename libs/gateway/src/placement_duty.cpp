#include "placement_duty.hpp"

#include <barleyfork/base/log.hpp>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr duration demand_log_interval{2000};
/// Planning takes at most one part in so many of the time.
constexpr int planning_share = 8;
constexpr std::int64_t holder_tick_ms = 50;
constexpr std::int64_t candidate_tick_ms = 100;
/// News of what servers hold goes out no more often than this.
constexpr duration publish_interval{150};
placement_options
make_placement(const schema::gateway_settings_record& settings,
               duration holder_gap)
{
    const auto& given = *settings.placement;
    placement_options options;
    options.planner.move_price = given.move_price;
    options.planner.horizon_seconds = given.horizon_s;
    options.planner.target_utilisation = given.target_utilisation;
    options.planner.unload_seconds = given.unload_s;
    // Demand moves faster than domains fail here; room goes to demand.
    options.planner.spread_domains = false;
    options.interval = duration(given.interval_ms);
    options.load_window = seconds(settings.bounds->load_window_s);
    options.holder_gap = holder_gap;
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

placement_duty::placement_duty(gateway_context& context,
                               store_watch& watch,
                               peer_news& news)
    : context_(context), watch_(watch), news_(news),
      lease_(context.self, make_lease_options(*context.settings.bounds))
{
    news.on_released([this](bool named) { on_released(named); });
}

asio::awaitable<void> placement_duty::run()
{
    while (!stopping_) {
        co_await keep_lease();
        const bool holds = lease_.held(boot_now());
        if (holds)
            work(steady_now());
        else
            controllers_.clear();
        watch_.set_holder(holds);
        news_.set_holding(holds, lease_.epoch());
        co_await sleep_for_ms(holds ? holder_tick_ms : candidate_tick_ms);
    }
}

bool placement_duty::may_order(time_point now) const
{
    return lease_.held(now) && now >= orders_from_ && !stopping_;
}

void placement_duty::take_wishes()
{
    auto& wishes = context_.wishes;
    const auto now = steady_now();
    for (auto& [service, controller] : controllers_) {
        for (const auto& [model, work] : wishes.work)
            controller.add_demand(model, work);
        for (const auto& [model, adapter] : wishes.needs)
            controller.need_adapter(model, adapter, now);
        for (const auto& [model, adapter] : wishes.uses)
            controller.used_adapter(model, adapter, now);
        controller.tell_uses(context_.self, context_.adapters.list(), now);
    }
    wishes = placement_wishes();
}

void placement_duty::on_demand(const schema::peer_message_record& message)
{
    const auto now = steady_now();
    std::vector<adapter_use> uses;
    for (const auto& use : message.running)
        uses.push_back({use.server_hash(), use.adapter_hash()});
    const instance_id daemon(message.sender->instance);
    for (auto& [service, controller] : controllers_) {
        controller.tell_uses(daemon, uses, now);
        for (const auto& demand : message.demand)
            controller.add_demand(model_id(demand->model), demand->work);
        for (const auto& need : message.needs)
            controller.need_adapter(model_id(need->model), need->adapter, now);
        for (const auto& use : message.uses)
            controller.used_adapter(model_id(use->model), use->adapter, now);
    }
    if (!message.needs.empty() && may_order(boot_now()) &&
        pace_.take(context_.daemons(), now))
        work(now);
}

void placement_duty::update_controllers(time_point now)
{
    auto options = make_placement(context_.settings,
                                  holder_gap(*context_.settings.bounds));
    options.news_round = 2 * context_.news_interval() + publish_interval;
    for (const auto& service : context_.configuration->services) {
        if (!service.engine)
            continue;
        auto [found, fresh] = controllers_.try_emplace(
            service.id, *service.engine, options, previous_);
        if (!fresh)
            found->second.set_engine(*service.engine);
        std::vector<const backend_state*> servers;
        for (const auto& [id, state] : context_.directory.servers())
            if (state.entry.service == service.id)
                servers.push_back(&state);
        found->second.observe(servers, now);
    }
}

void placement_duty::work(time_point now)
{
    if (!context_.configuration || !context_.servers_known)
        return;
    update_controllers(now);
    take_wishes();
    if (may_order(boot_now()))
        for (auto& [service, controller] : controllers_)
            collect(service, controller, now);
    publish(now);
    log_demand(now);
}

/// Plans less often where planning itself takes long: the daemon also serves.
void placement_duty::collect(const service_id& service,
                             placement_controller& controller,
                             time_point now)
{
    for (const auto& action : controller.collect(now))
        carry_out(service, action);
    const auto took = steady_now() - now;
    const duration interval(context_.settings.placement->interval_ms);
    controller.set_interval(std::max(interval, planning_share * took));
}

void placement_duty::log_demand(time_point now)
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

void placement_duty::carry_out(const service_id& service,
                               const placement_action& action)
{
    const auto* state = context_.directory.find(action.server);
    if (state == nullptr)
        return;
    const bool wanted = !state->wants_nothing(steady_now());
    engine_address to{action.server, state->entry.address, state->entry.port};
    if (action.kind == placement_action::what::order)
        context_.serving.spawn(send_order(service, action, std::move(to)));
    else if (wanted)
        context_.serving.spawn(
            read_report(service, action.server, std::move(to)));
}

asio::awaitable<void> placement_duty::send_order(service_id service,
                                                 placement_action action,
                                                 engine_address to)
{
    order_reply reply;
    reply.answer = engine_answer::not_sent;
    const auto began = steady_now();
    const auto* state = context_.directory.find(action.server);
    const bool wanted = state != nullptr && !state->wants_nothing(began);
    if (wanted && may_order(boot_now())) {
        context_.measures.count_order();
        const order_sender sender{context_.self.value(), lease_.epoch()};
        reply = co_await context_.platform.engines->send_order(
            std::move(to), action.command, sender);
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
        .with("took_ms", (steady_now() - began).count());
    const auto found = controllers_.find(service);
    if (found == controllers_.end())
        co_return;
    const auto now = steady_now();
    found->second.on_answer(action.server, action.command, reply.answer, now);
    // The place that an adapter left is given away at once.
    if (!action.command.adapter.empty() && may_order(boot_now()) &&
        pace_.take(context_.daemons(), now))
        work(now);
}

asio::awaitable<void> placement_duty::read_report(service_id service,
                                                  server_id server,
                                                  engine_address from)
{
    const auto reply =
        co_await context_.platform.engines->read_report(std::move(from));
    if (reply.error) {
        log_event(log_level::warn, "report_failed")
            .with("server", server.value())
            .with("error", reply.error.detail);
        co_return;
    }
    const auto found = controllers_.find(service);
    if (found == controllers_.end())
        co_return;
    const auto now = steady_now();
    found->second.on_report(server, reply.word, now);
}

/// Tells every daemon, this one included, what has changed.
void placement_duty::publish(time_point now)
{
    const bool crowded = context_.daemons() > work_pace::few_daemons;
    if (crowded && now < published_at_ + publish_interval)
        return;
    std::vector<server_holding> changed;
    for (auto& [service, controller] : controllers_)
        for (const auto& server : controller.take_changed(now))
            if (auto held = controller.published(server, now))
                changed.push_back({server, std::move(*held)});
    if (changed.empty() && !watch_.has_rows_to_relay())
        return;
    published_at_ = now;
    const auto order = news_.announce(changed);
    for (const auto& news : changed)
        context_.directory.learn(news.server, news.held, order, now);
    context_.wake_waiting();
}

} // namespace barleyfork
