#include "ledger_world.hpp"

#include <algorithm>

namespace barleyfork::testing {

namespace {

/// Returns the memory of model number `model`; any three models exceed the
/// capacity of an engine.
std::uint32_t memory_of(int model)
{
    return 16 + static_cast<std::uint32_t>(model % 3);
}

std::string model_name(int model)
{
    return "m" + std::to_string(model % 6);
}

} // namespace

ledger_world::ledger_world()
{
    engines_[1].checks_fencing = false;
    for (std::size_t i = 0; i < holders_.size(); ++i)
        holders_[i].id = instance_id("daemon-" + std::to_string(i));
    take_lease(holders_[0]);
}

std::size_t ledger_world::index_of(const server_id& server)
{
    return server.value() == "engine-0" ? 0 : 1;
}

server_id ledger_world::name_of(std::size_t engine)
{
    return server_id("engine-" + std::to_string(engine));
}

void ledger_world::run(world_action action, int first, int second)
{
    const auto index = static_cast<std::size_t>(first) % holders_.size();
    auto& daemon = holders_[index];
    const auto engine = static_cast<std::size_t>(second) % engine_count;
    const int model = first / 2;
    switch (action) {
    case world_action::take_lease:
        take_lease(daemon);
        break;
    case world_action::request_load:
        request(daemon, order_kind::load, second, model);
        break;
    case world_action::request_unload:
        request(daemon, order_kind::unload, second, model);
        break;
    case world_action::progress:
        progress(daemon);
        break;
    case world_action::collect:
        collect(daemon);
        break;
    case world_action::faulty_write:
        write(daemon, second % 3 == 0, second % 2 == 0);
        break;
    case world_action::delayed_write:
        deliver_delayed_write(first);
        break;
    case world_action::send:
        send(index);
        break;
    case world_action::deliver:
        deliver(first, true);
        break;
    case world_action::deliver_unanswered:
        deliver(first, false);
        break;
    case world_action::lose_order:
        lose(first);
        break;
    case world_action::poll_and_receive_report:
        poll(daemon, engine);
        receive_report(daemon, engine);
        break;
    case world_action::poll:
        poll(daemon, engine);
        break;
    case world_action::receive_report:
        receive_report(daemon, engine);
        break;
    case world_action::restart_engine:
        restart(engine);
        break;
    case world_action::replace_daemon:
        replace(index);
        break;
    }
    update_max_used();
}

/// Performs all pending writes, with a response to each, and collects the
/// resulting orders.
void ledger_world::progress(holder& daemon)
{
    collect(daemon);
    while (!daemon.writes.empty() && daemon.controller)
        write(daemon, true, true);
    collect(daemon);
}

/// Starts a new lease epoch; the other daemon may still believe that it holds
/// the lease.
void ledger_world::take_lease(holder& daemon)
{
    daemon.controller.emplace(daemon.id, ++lease_epoch_);
    ++daemon.generation;
    delayed_writes_.insert(
        delayed_writes_.end(), daemon.writes.begin(), daemon.writes.end());
    daemon.writes.clear();
    for (std::size_t i = 0; i < engine_count; ++i) {
        ledger_row row = table_[i].row;
        row.server = name_of(i);
        row.capacity_mib = capacity_mib;
        row.checks_fencing = engines_[i].checks_fencing;
        daemon.controller->add_server(std::move(row), table_[i].version);
    }
}

void ledger_world::request(holder& daemon,
                           order_kind kind,
                           int engine,
                           int model)
{
    planned_step step;
    step.kind = kind;
    step.server = name_of(static_cast<std::size_t>(engine) % engine_count);
    step.model = model_id(model_name(model));
    step.version = 1;
    step.memory_mib = memory_of(model);
    if (daemon.controller)
        daemon.controller->request(step,
                                   "order-" + std::to_string(++name_count_));
}

void ledger_world::collect(holder& daemon)
{
    if (!daemon.controller)
        return;
    auto effects = daemon.controller->collect();
    for (auto& write : effects.writes)
        daemon.writes.push_back(std::move(write));
    for (auto& [server, order] : effects.orders)
        daemon.unsent.push_back(
            {daemon.generation, index_of(server), std::move(order)});
}

/// Performs the oldest write of a daemon, which may be delayed on its way to
/// the table and may get no response.
void ledger_world::write(holder& daemon, bool is_answered, bool is_delivered)
{
    if (daemon.writes.empty() || !daemon.controller)
        return;
    const auto write = daemon.writes.front();
    daemon.writes.erase(daemon.writes.begin());
    const auto engine = index_of(write.row.server);
    auto& stored = table_[engine];
    const bool is_own_row_stored =
        stored.version != 0 && stored.row.write_id == write.row.write_id;
    if (is_delivered)
        store(write);
    else
        delayed_writes_.push_back(write);
    auto outcome = write_outcome::conflict;
    if (!is_answered)
        outcome = write_outcome::unknown;
    else if (is_own_row_stored || stored.row.write_id == write.row.write_id)
        outcome = write_outcome::done;
    daemon.controller->on_write(write.row.server, outcome, stored.version);
}

void ledger_world::store(const ledger_write& write)
{
    auto& stored = table_[index_of(write.row.server)];
    if (stored.version != write.expected_version)
        return;
    stored.row = write.row;
    stored.version = ++table_version_;
}

void ledger_world::deliver_delayed_write(int index)
{
    if (delayed_writes_.empty())
        return;
    const auto position =
        static_cast<std::size_t>(index) % delayed_writes_.size();
    store(delayed_writes_[position]);
    delayed_writes_.erase(delayed_writes_.begin() +
                          static_cast<std::ptrdiff_t>(position));
}

void ledger_world::send(std::size_t index)
{
    auto& daemon = holders_[index];
    if (daemon.unsent.empty())
        return;
    const auto next = daemon.unsent.front();
    daemon.unsent.erase(daemon.unsent.begin());
    network_.push_back({index,
                        next.generation,
                        next.engine,
                        next.order,
                        engines_[next.engine].boot});
}

void ledger_world::deliver(int index, bool is_answered)
{
    if (network_.empty())
        return;
    const auto position = static_cast<std::size_t>(index) % network_.size();
    const auto sent = network_[position];
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(position));
    auto& engine = engines_[sent.engine];
    order_answer response;
    response.boot = engine.boot;
    response.outcome = order_outcome::refused;
    if (!engine.checks_fencing || sent.order.epoch >= engine.highest_fence) {
        engine.highest_fence = std::max(engine.highest_fence, sent.order.epoch);
        response.outcome = order_outcome::done;
        const std::pair entry{sent.order.model.value(), sent.order.memory_mib};
        if (sent.order.kind == order_kind::load) {
            engine.residents.insert(entry);
            ++loads_;
        }
        else if (sent.order.kind == order_kind::unload) {
            engine.residents.erase(entry);
        }
    }
    response.sequence = ++engine.sequence;
    answer(sent, is_answered ? response : order_answer{});
}

/// Passes a response to the controller that sent the order, if this still
/// exists.
void ledger_world::answer(const sent_order& sent, const order_answer& response)
{
    auto& daemon = holders_[sent.holder];
    if (daemon.controller && daemon.generation == sent.generation)
        daemon.controller->on_answer(
            name_of(sent.engine), sent.order, response);
}

void ledger_world::lose(int index)
{
    if (network_.empty())
        return;
    const auto position = static_cast<std::size_t>(index) % network_.size();
    const auto sent = network_[position];
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(position));
    answer(sent, {});
}

void ledger_world::poll(holder& daemon, std::size_t engine)
{
    if (daemon.polls[engine])
        return;
    auto& actual = engines_[engine];
    engine_report report;
    report.boot = actual.boot;
    report.sequence = ++actual.sequence;
    for (const auto& [model, memory] : actual.residents)
        report.residents.push_back({model_id(model), 1, memory, 0});
    daemon.polls[engine] = std::move(report);
}

void ledger_world::receive_report(holder& daemon, std::size_t engine)
{
    if (daemon.polls[engine] && daemon.controller)
        daemon.controller->on_report(name_of(engine), *daemon.polls[engine]);
    daemon.polls[engine].reset();
}

/// Restarts the process without models; its open connections close.
void ledger_world::restart(std::size_t engine)
{
    auto& actual = engines_[engine];
    ++actual.boot;
    actual.sequence = 0;
    actual.residents.clear();
    std::erase_if(network_, [engine](const sent_order& sent) {
        return sent.engine == engine;
    });
}

/// Removes an instance permanently, whose sent orders may still arrive, and
/// starts another one with a new id; the platform's list shows both.
void ledger_world::replace(std::size_t index)
{
    auto& daemon = holders_[index];
    const auto gone = daemon.id;
    daemon.unsent.clear();
    delayed_writes_.insert(
        delayed_writes_.end(), daemon.writes.begin(), daemon.writes.end());
    daemon.writes.clear();
    daemon.controller.reset();
    ++daemon.generation;
    daemon.polls = {};
    daemon.id = instance_id("daemon-" + std::to_string(10 + ++name_count_));
    for (auto& other : holders_)
        if (other.controller)
            other.controller->on_instances_removed(std::span(&gone, 1));
}

void ledger_world::update_max_used()
{
    for (const auto& engine : engines_) {
        std::uint32_t used = 0;
        for (const auto& [model, memory] : engine.residents)
            used += memory;
        max_used_mib_ = std::max(max_used_mib_, used);
    }
}

} // namespace barleyfork::testing
