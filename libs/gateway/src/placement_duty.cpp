#include "placement_duty.hpp"

#include "lease_row_codec.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/log.hpp>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

constexpr const char* lease_table = "barleyfork_lease";
constexpr const char* lease_key = "placement";

/// How long a holder acts without having renewed.
constexpr duration lease_validity{1700};
constexpr duration lease_renewal{600};
/// Slack for the time a message takes.
constexpr duration lease_slack{300};
constexpr duration demand_log_interval{2000};
/// Planning takes at most one part in so many of the time.
constexpr int planning_share = 8;
constexpr std::int64_t holder_tick_ms = 50;
constexpr std::int64_t candidate_tick_ms = 100;
/// The candidates' looks at an unheard holder's lease are spread at least so.
constexpr std::int64_t shortest_read_spread_ms = 300;
/// Candidates that a holder which let go did not name look this much later.
constexpr duration successor_head_start{600};
/// What an earlier process of this instance sent has arrived after this.
constexpr duration own_restart_gap{500};
/// A daemon with this share of a processor and this link is a good holder;
/// smaller ones hold back by up to the delay.
constexpr double full_share = 0.5;
constexpr double full_link_mbps = 200.0;
constexpr double small_daemon_delay_ms = 1500.0;
/// Over this time the daemons that start together look for a lease.
constexpr std::int64_t first_spread_ms = 800;
/// Candidates' looks are spread by so much for each daemon.
constexpr std::int64_t read_spread_ms = 20;
/// News of what servers hold goes out no more often than this.
constexpr duration publish_interval{150};
/// Below this number of daemons each piece of news goes out at once.
constexpr std::size_t few_daemons = 16;
/// How often a candidate reads the row while it hears no holder.
constexpr duration read_interval{700};

/// No server gets orders of two holders within this.
duration holder_gap(const schema::bound_settings_record& bounds)
{
    return duration(static_cast<std::int64_t>(bounds.holder_change_ms)) +
           lease_slack;
}

lease_options make_options(const schema::bound_settings_record& bounds)
{
    lease_options options;
    options.margin = holder_gap(bounds);
    options.term = lease_validity + options.margin;
    options.renewal = lease_renewal;
    return options;
}

placement_options
make_placement(const schema::gateway_settings_record& settings)
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
    options.holder_gap = holder_gap(*settings.bounds);
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
      lease_(context.self, make_options(*context.settings.bounds))
{
    news.on_released([this](bool named) { on_released(named); });
}

asio::awaitable<void> placement_duty::run()
{
    // Daemons that start together don't all try at once.
    std::uniform_int_distribution<std::int64_t> spread(0, first_spread_ms);
    co_await sleep_for_ms(spread(context_.random) + handicap_ms());
    while (!stopping_) {
        co_await keep_lease();
        const bool holds = lease_.held(boot_now());
        if (holds)
            work(steady_now());
        else
            controllers_.clear();
        if (holds != news_.is_holding())
            watch_.set_relaying(holds);
        news_.set_holding(holds, lease_.epoch());
        co_await sleep_for_ms(holds ? holder_tick_ms : candidate_tick_ms);
    }
}

/// Daemons with little of a processor or a narrow link let others try first.
std::int64_t placement_duty::handicap_ms() const
{
    const auto& settings = context_.settings;
    const double processor = std::min(settings.cpu_share / full_share, 1.0);
    const double link = std::min(settings.link_mbps / full_link_mbps, 1.0);
    return static_cast<std::int64_t>(small_daemon_delay_ms *
                                     (1.0 - std::min(processor, link)));
}

/// A candidate looks at the lease when it ends, spread so that the one that
/// takes it is heard before most others ask.
void placement_duty::schedule_read(time_point now)
{
    const auto spread_ms = std::max<std::int64_t>(
        shortest_read_spread_ms,
        read_spread_ms * static_cast<std::int64_t>(context_.daemons()));
    std::uniform_int_distribution<std::int64_t> spread(0, spread_ms);
    next_read_ = std::max(now + read_interval, lease_.expires_at()) +
                 duration(spread(context_.random) + handicap_ms());
}

asio::awaitable<void> placement_duty::keep_lease()
{
    const auto now = boot_now();
    const bool held = lease_.held(now);
    const bool hears_holder = news_.hears_holder(steady_now());
    if (!held && now >= next_read_ && !hears_holder) {
        co_await read_lease();
        schedule_read(boot_now());
    }
    const auto id = context_.self.value() + "-" + std::to_string(++writes_) +
                    "-" + std::to_string(context_.random());
    const auto row = lease_.next_write(
        !hears_holder && context_.configuration != nullptr, id, boot_now());
    if (!row)
        co_return;
    if (!held)
        take_over(boot_now(), steady_now());
    wrote_ = true;
    co_await write_lease(*row);
    if (!held && lease_.held(boot_now()))
        log_event(log_level::info, "lease_taken")
            .with("lease", lease_key)
            .with("epoch", static_cast<std::int64_t>(lease_.epoch()))
            .with("orders_told", previous_.told ? "yes" : "no");
}

/// What the lease says of its last holder: one that let go and told its
/// orders, one that let go just before, or one whose term has ended.
void placement_duty::take_over(time_point now, time_point steady)
{
    previous_ = previous_holder();
    orders_from_ = time_point{};
    const auto gap = holder_gap(*context_.settings.bounds);
    if (lease_.version() == 0)
        return;
    if (!lease_.holder().empty()) {
        previous_.ended_at = steady - gap;
        return;
    }
    previous_.ended_at = steady;
    if (!left_orders_) {
        orders_from_ = now + (own_before_ ? own_restart_gap : gap);
        return;
    }
    previous_.told.emplace();
    for (const auto& [server, age] : left_orders_->last_order)
        previous_.told->last_order.emplace(server, left_orders_seen_at_ - age);
    for (const auto age : left_orders_->store_loads)
        previous_.told->store_loads.push_back(left_orders_seen_at_ - age);
}

asio::awaitable<void> placement_duty::read_lease()
{
    context_.measures.count_store_call();
    const auto began = boot_now();
    const auto read =
        co_await context_.platform.store->read_row(lease_table, lease_key);
    if (read.error)
        co_return;
    note_store_clock(read.store_ms, began);
    observe(read);
}

/// The store's clock is at most what an answer said, plus the time since its
/// request was sent.
void placement_duty::note_store_clock(std::int64_t store_ms, time_point began)
{
    store_ms_ = store_ms;
    store_ms_at_ = began;
}

std::int64_t placement_duty::latest_store_ms(time_point now) const
{
    return store_ms_ == 0 ? 0 : store_ms_ + (now - store_ms_at_).count();
}

void placement_duty::observe(const store_read& read)
{
    const auto* row = read.rows.empty() ? nullptr : &read.rows.front();
    auto seen = row == nullptr ? stored_lease{} : decode_lease(row->value);
    // A process of this instance held it before; there is no other now.
    own_before_ = !wrote_ && seen.row.holder == context_.self &&
                  seen.holder_address == context_.settings.address;
    if (own_before_)
        seen.row.holder = instance_id();
    // A renewal that was held up on its way is as old as its sending.
    const duration age(
        seen.sent_ms == 0
            ? 0
            : std::max<std::int64_t>(read.store_ms - seen.sent_ms, 0));
    left_orders_ = std::move(seen.orders);
    left_orders_seen_at_ = steady_now() - age;
    lease_.observe(
        seen.row, row == nullptr ? 0 : row->version, boot_now(), age);
}

asio::awaitable<void> placement_duty::write_lease(lease_row row)
{
    context_.measures.count_store_call();
    const auto began = boot_now();
    const auto text = encode_lease(
        {row, context_.settings.address, latest_store_ms(began), std::nullopt});
    const auto written = co_await context_.platform.store->write_row(
        lease_table, lease_key, text, lease_.version());
    if (written.end != store_write_end::done) {
        co_await read_lease();
        co_return;
    }
    note_store_clock(written.store_ms, began);
    lease_.written(row, written.version, boot_now());
}

/// The row tells the next holder what still binds it; then the daemons hear
/// who that is to be.
asio::awaitable<void> placement_duty::release()
{
    stopping_ = true;
    const auto now = steady_now();
    const auto row = lease_.release("released", boot_now());
    const auto orders = recent_orders(now);
    controllers_.clear();
    news_.set_holding(false, 0);
    if (!row)
        co_return;
    const auto successor = news_.successor(now);
    log_event(log_level::info, "lease_released")
        .with("lease", lease_key)
        .with("successor", successor.value());
    context_.measures.count_store_call();
    const auto text = encode_lease(
        {*row, std::string(), latest_store_ms(boot_now()), orders});
    const auto written = co_await context_.platform.store->write_row(
        lease_table, lease_key, text, lease_.version());
    if (written.end == store_write_end::done)
        news_.announce_release(row->epoch, successor);
}

/// Orders of all services, by age: clocks of daemons are never compared.
order_ages placement_duty::recent_orders(time_point now) const
{
    order_ages ages;
    for (const auto& [service, controller] : controllers_) {
        const auto recent = controller.recent_orders(now);
        for (const auto& [server, at] : recent.last_order)
            ages.last_order.emplace(server, now - at);
        for (const auto at : recent.store_loads)
            ages.store_loads.push_back(now - at);
    }
    return ages;
}

/// Nobody holds the lease any more: the named daemon looks at once, others
/// when it should have been heard.
void placement_duty::on_released(bool named)
{
    if (named) {
        next_read_ = boot_now();
        return;
    }
    schedule_read(boot_now());
    next_read_ = std::max(next_read_, boot_now() + successor_head_start);
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
    if (!message.needs.empty() && may_order(boot_now()))
        work(now);
}

void placement_duty::update_controllers(time_point now)
{
    auto options = make_placement(context_.settings);
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
    engine_address to{action.server, state->entry.address, state->entry.port};
    if (action.kind == placement_action::what::order)
        context_.serving.spawn(send_order(service, action, std::move(to)));
    else
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
    if (may_order(boot_now())) {
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
    if (!action.command.adapter.empty() && may_order(boot_now()))
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
    const bool crowded = context_.daemons() > few_daemons;
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
