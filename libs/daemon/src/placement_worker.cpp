#include "placement_worker.hpp"

#include <barleyfork/base/log.hpp>
#include <barleyfork/net/ask.hpp>
#include <barleyfork/store/row_codec.hpp>

#include <algorithm>

namespace barleyfork {

namespace asio = boost::asio;

namespace {

/// Reported demand expires after this time unless the instance repeats it.
constexpr duration demand_lifetime{10000};
constexpr duration estimate_interval{1000};
constexpr double planning_horizon_seconds = 60.0;
/// The safety margin and the renewal interval of a lease are its term divided
/// by these.
constexpr std::int64_t margin_divisor = 4;
constexpr std::int64_t renewal_divisor = 3;

std::string lease_key(std::size_t index)
{
    return std::string(lease_prefix) + "cell-" + std::to_string(index);
}

std::string ledger_key(const server_id& server)
{
    return std::string(ledger_prefix) + server.value();
}

lease_options
make_lease_options(const schema::controller_settings_record& settings)
{
    const duration term(settings.lease_ms);
    return {term, term / margin_divisor, term / renewal_divisor};
}

} // namespace

placement_worker::placement_worker(daemon_context& context,
                                   table_worker& table,
                                   backend_client& backends,
                                   membership& members,
                                   server_reports& reports)
    : context_(context), table_(table), backends_(backends), members_(members),
      reports_(reports)
{
}

void placement_worker::set_catalog(std::shared_ptr<const catalog> config)
{
    config_ = std::move(config);
    const auto previous_size = map_.size();
    map_ = cell_map(*config_);
    const auto cell_count = map_.size();
    const auto& settings = *context_.settings.controller;
    while (cells_.size() < cell_count)
        cells_.push_back(std::make_unique<cell>(
            lease(context_.self, make_lease_options(settings))));
    load_rate_.set_rate(config_->policy().loads_per_second /
                            static_cast<double>(cell_count),
                        steady_now());
    const bool has_regrouped = cell_count != previous_size;
    for (auto& entry : cells_) {
        entry->has_stale_servers = true;
        if (has_regrouped)
            entry->controller.reset();
    }
}

void placement_worker::on_row(const table_row& row, time_point now)
{
    if (row.key.starts_with(lease_prefix)) {
        lease_row decoded;
        const auto name = row.key.substr(lease_prefix.size());
        for (std::size_t i = 0; i < cells_.size(); ++i)
            if (lease_key(i) == row.key && !decode(row.value, decoded))
                cells_[i]->cell_lease.observe(decoded, row.version, now);
        return;
    }
    if (!row.key.starts_with(ledger_prefix))
        return;
    ledger_row decoded;
    if (decode(row.value, decoded))
        return;
    auto& version = row_versions_[decoded.server];
    if (row.version <= version)
        return;
    version = row.version;
    rows_[decoded.server] = std::move(decoded);
}

void placement_worker::on_report(const server_id& server,
                                 const engine_status& status)
{
    if (map_.size() == 0)
        return;
    auto& owner = *cells_[map_.cell_of(server)];
    if (owner.controller)
        owner.controller->on_report(server, status.report);
}

void placement_worker::on_demand(const instance_id& from,
                                 const std::map<model_id, double>& demand,
                                 time_point now)
{
    demand_[from] = {demand, now};
}

void placement_worker::on_instances_removed(
    const std::vector<instance_id>& gone)
{
    removed_instances_.insert(
        removed_instances_.end(), gone.begin(), gone.end());
    for (const auto& id : gone)
        demand_.erase(id);
    for (auto& entry : cells_)
        if (entry->controller)
            entry->controller->on_instances_removed(removed_instances_);
}

void placement_worker::tick(time_point now)
{
    if (!config_ || !table_known_ || is_releasing_)
        return;
    estimate_demand(now);
    for (std::size_t i = 0; i < map_.size(); ++i) {
        tick_lease(i, now);
        tick_controller(i, now);
    }
}

std::vector<server_id> placement_worker::leased_servers(time_point now) const
{
    std::vector<server_id> held;
    if (!config_)
        return held;
    for (const auto& server : config_->servers())
        if (server.service.empty() &&
            cells_[map_.cell_of(server.id)]->cell_lease.held(now))
            held.push_back(server.id);
    return held;
}

std::vector<instance_id> placement_worker::holders() const
{
    std::vector<instance_id> result;
    for (const auto& entry : cells_)
        result.push_back(entry->cell_lease.holder());
    return result;
}

double placement_worker::demand_of(const model_id& model) const
{
    const auto found = estimators_.find(model);
    return found == estimators_.end() ? 0.0 : found->second.fast();
}

/// Returns true where this daemon is the first to try for the cell's lease.
/// Rendezvous hashing over the live members selects that daemon, so that leases
/// spread and few move when the members change.
bool placement_worker::is_candidate(std::size_t index) const
{
    const auto score = [index](const instance_id& id) {
        return hash64(id.value(), index);
    };
    const auto own = score(context_.self);
    for (const auto* member : members_.members())
        if (member->state == schema::member_state::alive &&
            score(member->place.id) > own)
            return false;
    return true;
}

void placement_worker::tick_lease(std::size_t index, time_point now)
{
    auto& entry = *cells_[index];
    if (entry.is_writing_lease)
        return;
    // A row that was never written counts as observed, with version 0.
    if (entry.cell_lease.version() == 0)
        entry.cell_lease.observe(lease_row{}, 0, now);
    const auto row = entry.cell_lease.next_write(
        is_candidate(index), context_.next_id(), now);
    if (!row)
        return;
    entry.is_writing_lease = true;
    context_.control.spawn(write_lease(index, *row));
}

asio::awaitable<void> placement_worker::write_lease(std::size_t index,
                                                    lease_row row)
{
    const auto version = cells_[index]->cell_lease.version().number();
    const auto write =
        co_await table_.write(lease_key(index), version, encode(row));
    auto& entry = *cells_[index];
    const auto now = steady_now();
    const bool was_held = entry.cell_lease.held(now);
    entry.is_writing_lease = false;
    if (write.outcome == write_outcome::done) {
        entry.cell_lease.written(row, write.version, now);
        if (!was_held)
            log_event(log_level::info, "lease_taken")
                .with("cell", static_cast<std::int64_t>(index))
                .with("epoch", static_cast<std::int64_t>(row.epoch));
    }
    else if (write.outcome == write_outcome::conflict) {
        const auto stored = co_await table_.read(lease_key(index));
        if (!stored.error && stored.row.version != 0)
            on_row(stored.row, steady_now());
    }
}

void placement_worker::tick_controller(std::size_t index, time_point now)
{
    auto& entry = *cells_[index];
    if (!entry.cell_lease.held(now)) {
        if (entry.controller)
            log_event(log_level::info, "lease_lost")
                .with("cell", static_cast<std::int64_t>(index));
        entry.controller.reset();
        return;
    }
    if (entry.controller && !entry.controller->is_valid()) {
        log_event(log_level::warn, "ledger_conflict")
            .with("cell", static_cast<std::int64_t>(index));
        entry.controller.reset();
    }
    const bool needs_rows = !entry.controller || entry.has_stale_servers;
    if (needs_rows && !entry.is_reading_rows) {
        entry.is_reading_rows = true;
        context_.control.spawn(read_rows(index));
    }
    if (!entry.controller)
        return;
    plan(index, now);
    execute(index, now);
}

/// Reads the ledger again for a new holder, whose polled rows may be
/// stale.
asio::awaitable<void> placement_worker::read_rows(std::size_t index)
{
    const auto scan = co_await table_.scan(std::string(ledger_prefix), 0);
    auto& entry = *cells_[index];
    entry.is_reading_rows = false;
    const auto now = steady_now();
    if (scan.error || !entry.cell_lease.held(now))
        co_return;
    std::map<server_id, table_row> stored;
    for (const auto& row : scan.rows) {
        on_row(row, now);
        stored.emplace(server_id(row.key.substr(ledger_prefix.size())), row);
    }
    entry.has_stale_servers = false;
    if (!entry.controller) {
        entry.controller.emplace(context_.self, entry.cell_lease.epoch());
        ++entry.generation;
    }
    add_declared_servers(index, stored);
    entry.controller->on_instances_removed(removed_instances_);
}

void placement_worker::add_declared_servers(
    std::size_t index, const std::map<server_id, table_row>& stored)
{
    auto& controller = *cells_[index]->controller;
    for (const auto& id : controller.servers()) {
        const auto* declared = config_->find_server(id);
        if (declared == nullptr || !declared->service.empty())
            controller.remove_server(id);
        else
            controller.update_server(
                id, declared->model_memory_mib, declared->checks_fencing);
    }
    for (const auto& server : config_->servers()) {
        if (!server.service.empty() || map_.cell_of(server.id) != index ||
            controller.written_row(server.id) != nullptr)
            continue;
        ledger_row row;
        std::uint64_t version = 0;
        const auto found = stored.find(server.id);
        if (found != stored.end()) {
            if (decode(found->second.value, row)) {
                log_event(log_level::error, "ledger_row_unreadable")
                    .with("server", server.id.value());
                continue;
            }
            version = found->second.version;
        }
        row.server = server.id;
        row.capacity_mib = server.model_memory_mib;
        row.checks_fencing = server.checks_fencing;
        drop_unsent_orders(row);
        controller.add_server(std::move(row), version);
    }
}

/// Removes the orders that this process recorded and never passed to a
/// connection; they can no longer take effect.
void placement_worker::drop_unsent_orders(ledger_row& row) const
{
    const auto own = context_.self.value() + "-" + context_.run_id + "-";
    std::erase_if(row.orders, [this, &own](const engine_order& order) {
        return order.id.value().starts_with(own) &&
               !sent_orders_.contains(order.id);
    });
}

void placement_worker::plan(std::size_t index, time_point now)
{
    auto& entry = *cells_[index];
    if (now < entry.next_plan)
        return;
    entry.next_plan = now + duration(context_.settings.controller->interval_ms);
    entry.controller->retry_fences();
    for (const auto& step : plan_placement(make_input(index, now))) {
        const bool load = step.kind == order_kind::load;
        if (!entry.controller->request(step, context_.next_id()))
            continue;
        if (load)
            load_rate_.take(1.0, now);
        log_event(log_level::info, load ? "load_planned" : "unload_planned")
            .with("server", step.server.value())
            .with("model", step.model.value())
            .with("version", step.version)
            .with("reason", reason_name(step.reason));
    }
}

planner_input placement_worker::make_input(std::size_t index, time_point now)
{
    auto made = make_cell_input(
        {*config_, *cells_[index]->controller, reports_, rows_, estimators_},
        map_,
        index,
        now);
    const auto at_once = config_->policy().loads_at_once;
    auto& options = made.input.options;
    options.move_price = config_->policy().move_price;
    options.horizon_seconds = planning_horizon_seconds;
    options.max_loads = at_once > made.loading ? at_once - made.loading : 0;
    if (load_rate_.wait_for(1.0, now) > duration{0})
        options.max_loads = 0;
    return std::move(made.input);
}

void placement_worker::execute(std::size_t index, time_point now)
{
    auto& entry = *cells_[index];
    auto effects = entry.controller->collect();
    for (auto& write : effects.writes)
        context_.control.spawn(write_row(index, std::move(write)));
    for (auto& [server, order] : effects.orders)
        if (entry.cell_lease.held(now))
            context_.control.spawn(send_order(index, server, std::move(order)));
}

asio::awaitable<void> placement_worker::write_row(std::size_t index,
                                                  ledger_write write)
{
    const auto server = write.row.server;
    const auto generation = cells_[index]->generation;
    const auto result = co_await table_.write(
        ledger_key(server), write.expected_version, encode(write.row));
    auto& entry = *cells_[index];
    if (result.outcome == write_outcome::done) {
        table_row row{ledger_key(server), result.version, encode(write.row)};
        on_row(row, steady_now());
    }
    if (entry.controller && entry.generation == generation)
        entry.controller->on_write(server, result.outcome, result.version);
}

asio::awaitable<void> placement_worker::send_order(std::size_t index,
                                                   server_id server,
                                                   engine_order order)
{
    const auto* declared = config_->find_server(server);
    http_endpoint endpoint;
    if (declared == nullptr || parse_url(declared->url, endpoint))
        co_return;
    const auto generation = cells_[index]->generation;
    sent_orders_.insert(order.id);
    const auto work = [this, endpoint, order] {
        return backends_.send(endpoint, order);
    };
    const auto started = steady_now();
    const auto answer = co_await ask<order_answer>(context_.backend, work);
    const auto result = answer.value_or(order_answer{});
    if (result.outcome == order_outcome::done)
        context_.measures.count_move(order.kind);
    log_event(log_level::info, "order_answered")
        .with("server", server.value())
        .with("order", order.id.value())
        .with("model", order.model.value())
        .with("outcome", static_cast<std::int64_t>(result.outcome))
        .with("ms", (steady_now() - started).count());
    if (result.outcome != order_outcome::unknown)
        sent_orders_.erase(order.id);
    auto& entry = *cells_[index];
    if (entry.controller && entry.generation == generation)
        entry.controller->on_answer(server, order, result);
}

void placement_worker::estimate_demand(time_point now)
{
    if (now < next_estimate_)
        return;
    next_estimate_ = now + estimate_interval;
    std::erase_if(demand_, [now](const auto& source) {
        return now >= source.second.at + demand_lifetime;
    });
    std::map<model_id, double> total;
    for (const auto& [from, source] : demand_)
        for (const auto& [model, work] : source.work)
            total[model] += work;
    for (const auto& model : config_->models())
        estimators_[model.id].observe(total[model.id], now);
}

asio::awaitable<void> placement_worker::release()
{
    is_releasing_ = true;
    for (std::size_t i = 0; i < cells_.size(); ++i) {
        auto& entry = *cells_[i];
        entry.controller.reset();
        const auto version = entry.cell_lease.version().number();
        const auto row =
            entry.cell_lease.release(context_.next_id(), steady_now());
        if (row)
            co_await table_.write(lease_key(i), version, encode(*row));
    }
}

} // namespace barleyfork
