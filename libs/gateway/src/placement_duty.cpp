#include "placement_duty.hpp"

#include <barleyfork/base/digest.hpp>
#include <barleyfork/base/log.hpp>

#include <boost/json.hpp>

namespace barleyfork {

namespace asio = boost::asio;
namespace json = boost::json;

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
constexpr std::int64_t candidate_tick_ms = 300;
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

lease_options make_options(const schema::bound_settings_record& bounds)
{
    const duration change(static_cast<std::int64_t>(bounds.holder_change_ms));
    lease_options options;
    options.margin = change + lease_slack;
    options.term = lease_validity + options.margin;
    options.renewal = lease_renewal;
    return options;
}

/// The lease as it lies in the store.
struct stored_lease
{
    lease_row row;
    /// No later than this on the store's clock was it sent; 0 where unknown.
    std::int64_t sent_ms = 0;
};

std::string encode_lease(const lease_row& row, std::int64_t sent_ms)
{
    json::object value;
    value["holder"] = row.holder.value();
    value["epoch"] = row.epoch;
    value["write_id"] = row.write_id;
    value["sent_ms"] = sent_ms;
    return json::serialize(value);
}

/// Fails softly: a row that is not a lease counts as a free one of epoch 0,
/// and the conditional write replaces it.
stored_lease decode_lease(const std::string& text)
{
    stored_lease stored;
    auto& row = stored.row;
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error || !value.is_object()) {
        log_event(log_level::error, "lease_row_unreadable")
            .with("table", lease_table);
        return stored;
    }
    const auto& object = value.as_object();
    if (const auto* holder = object.if_contains("holder");
        holder != nullptr && holder->is_string())
        row.holder = instance_id(std::string(holder->as_string()));
    if (const auto* epoch = object.if_contains("epoch");
        epoch != nullptr && epoch->is_number())
        row.epoch = epoch->to_number<std::uint64_t>();
    if (const auto* id = object.if_contains("write_id");
        id != nullptr && id->is_string())
        row.write_id = std::string(id->as_string());
    if (const auto* sent = object.if_contains("sent_ms");
        sent != nullptr && sent->is_int64())
        stored.sent_ms = sent->as_int64();
    return stored;
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
        candidate_tick_ms,
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
    const bool was_free = lease_.holder().empty() && lease_.version() > 0;
    const auto row = lease_.next_write(
        !hears_holder && context_.configuration != nullptr, id, boot_now());
    if (!row)
        co_return;
    if (!held && was_free)
        orders_from_ =
            boot_now() + duration(static_cast<std::int64_t>(
                             context_.settings.bounds->holder_change_ms));
    co_await write_lease(*row);
    if (!held && lease_.held(boot_now()))
        log_event(log_level::info, "lease_taken")
            .with("lease", lease_key)
            .with("epoch", static_cast<std::int64_t>(lease_.epoch()));
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
    if (!lease_seen_ && seen.row.holder == context_.self)
        seen.row.holder = instance_id();
    lease_seen_ = true;
    // A renewal that was held up on its way is as old as its sending.
    const duration age(seen.sent_ms == 0 ? 0 : read.store_ms - seen.sent_ms);
    lease_.observe(seen.row,
                   row == nullptr ? 0 : row->version,
                   boot_now(),
                   std::max(age, duration{0}));
}

asio::awaitable<void> placement_duty::write_lease(lease_row row)
{
    context_.measures.count_store_call();
    const auto began = boot_now();
    const auto text = encode_lease(row, latest_store_ms(began));
    const auto written = co_await context_.platform.store->write_row(
        lease_table, lease_key, text, lease_.version());
    if (written.end != store_write_end::done) {
        co_await read_lease();
        co_return;
    }
    note_store_clock(written.store_ms, began);
    lease_.written(row, written.version, boot_now());
}

asio::awaitable<void> placement_duty::release()
{
    stopping_ = true;
    const auto row = lease_.release("released", boot_now());
    controllers_.clear();
    news_.set_holding(false, 0);
    if (!row)
        co_return;
    log_event(log_level::info, "lease_released").with("lease", lease_key);
    context_.measures.count_store_call();
    const auto text = encode_lease(*row, latest_store_ms(boot_now()));
    co_await context_.platform.store->write_row(
        lease_table, lease_key, text, lease_.version());
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
    }
    wishes = placement_wishes();
}

void placement_duty::on_demand(const schema::peer_message_record& message)
{
    const auto now = steady_now();
    for (auto& [service, controller] : controllers_) {
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
    const auto options = make_placement(context_.settings);
    for (const auto& service : context_.configuration->services) {
        if (!service.engine)
            continue;
        auto [found, fresh] =
            controllers_.try_emplace(service.id, *service.engine, options, now);
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
