#include "ledger_world.hpp"

#include <algorithm>

namespace barleyfork::testing {

namespace {

/// Memory of model number `model`; any three overfill an engine.
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
    const auto who = static_cast<std::size_t>(first) % holders_.size();
    auto& daemon = holders_[who];
    const auto engine = static_cast<std::size_t>(second) % engine_count;
    const int model = first / 2;
    switch (action) {
    case world_action::take_lease:
        take_lease(daemon);
        break;
    case world_action::ask_load:
        ask(daemon, order_kind::load, second, model);
        break;
    case world_action::ask_unload:
        ask(daemon, order_kind::unload, second, model);
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
    case world_action::late_write:
        write_late(first);
        break;
    case world_action::send:
        send(who);
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
    case world_action::poll_and_hear:
        poll(daemon, engine);
        hear(daemon, engine);
        break;
    case world_action::poll:
        poll(daemon, engine);
        break;
    case world_action::hear:
        hear(daemon, engine);
        break;
    case world_action::restart_engine:
        restart(engine);
        break;
    case world_action::replace_daemon:
        replace(who);
        break;
    }
    measure();
}

/// Writes what is wanted, with every answer, and decides what follows.
void ledger_world::progress(holder& who)
{
    collect(who);
    while (!who.writes.empty() && who.controller)
        write(who, true, true);
    collect(who);
}

/// The other daemon may still believe that it holds the lease.
void ledger_world::take_lease(holder& who)
{
    who.controller.emplace(who.id, ++lease_epoch_);
    ++who.generation;
    late_writes_.insert(
        late_writes_.end(), who.writes.begin(), who.writes.end());
    who.writes.clear();
    for (std::size_t i = 0; i < engine_count; ++i) {
        ledger_row row = table_[i].row;
        row.server = name_of(i);
        row.capacity_mib = capacity_mib;
        row.checks_fencing = engines_[i].checks_fencing;
        who.controller->add_server(std::move(row), table_[i].version);
    }
}

void ledger_world::ask(holder& who, order_kind kind, int engine, int model)
{
    planned_step step;
    step.kind = kind;
    step.server = name_of(static_cast<std::size_t>(engine) % engine_count);
    step.model = model_id(model_name(model));
    step.version = 1;
    step.memory_mib = memory_of(model);
    if (who.controller)
        who.controller->request(step, "order-" + std::to_string(++names_));
}

void ledger_world::collect(holder& who)
{
    if (!who.controller)
        return;
    auto effects = who.controller->collect();
    for (auto& write : effects.writes)
        who.writes.push_back(std::move(write));
    for (auto& [server, order] : effects.orders)
        who.unsent.push_back(
            {who.generation, index_of(server), std::move(order)});
}

/// The oldest write of a daemon: may reach the table, may be answered.
void ledger_world::write(holder& who, bool answered, bool reaches)
{
    if (who.writes.empty() || !who.controller)
        return;
    const auto write = who.writes.front();
    who.writes.erase(who.writes.begin());
    const auto engine = index_of(write.row.server);
    auto& stored = table_[engine];
    const bool own_stands =
        stored.version != 0 && stored.row.write_id == write.row.write_id;
    if (reaches)
        store(write);
    else
        late_writes_.push_back(write);
    auto outcome = write_outcome::conflict;
    if (!answered)
        outcome = write_outcome::unknown;
    else if (own_stands || stored.row.write_id == write.row.write_id)
        outcome = write_outcome::done;
    who.controller->on_write(write.row.server, outcome, stored.version);
}

void ledger_world::store(const ledger_write& write)
{
    auto& stored = table_[index_of(write.row.server)];
    if (stored.version != write.expected_version)
        return;
    stored.row = write.row;
    stored.version = ++table_version_;
}

void ledger_world::write_late(int index)
{
    if (late_writes_.empty())
        return;
    const auto place = static_cast<std::size_t>(index) % late_writes_.size();
    store(late_writes_[place]);
    late_writes_.erase(late_writes_.begin() +
                       static_cast<std::ptrdiff_t>(place));
}

void ledger_world::send(std::size_t who)
{
    auto& daemon = holders_[who];
    if (daemon.unsent.empty())
        return;
    const auto next = daemon.unsent.front();
    daemon.unsent.erase(daemon.unsent.begin());
    network_.push_back({who,
                        next.generation,
                        next.engine,
                        next.order,
                        engines_[next.engine].boot});
}

void ledger_world::deliver(int index, bool answered)
{
    if (network_.empty())
        return;
    const auto place = static_cast<std::size_t>(index) % network_.size();
    const auto sent = network_[place];
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(place));
    auto& engine = engines_[sent.engine];
    order_answer given;
    given.boot = engine.boot;
    given.outcome = order_outcome::refused;
    if (!engine.checks_fencing || sent.order.epoch >= engine.highest_fence) {
        engine.highest_fence = std::max(engine.highest_fence, sent.order.epoch);
        given.outcome = order_outcome::done;
        const std::pair entry{sent.order.model.value(), sent.order.memory_mib};
        if (sent.order.kind == order_kind::load) {
            engine.held.insert(entry);
            ++loads_;
        }
        else if (sent.order.kind == order_kind::unload) {
            engine.held.erase(entry);
        }
    }
    given.sequence = ++engine.sequence;
    answer(sent, answered ? given : order_answer{});
}

/// Answers reach the controller that sent the order, if it still is there.
void ledger_world::answer(const sent_order& sent, const order_answer& given)
{
    auto& daemon = holders_[sent.holder];
    if (daemon.controller && daemon.generation == sent.generation)
        daemon.controller->on_answer(name_of(sent.engine), sent.order, given);
}

void ledger_world::lose(int index)
{
    if (network_.empty())
        return;
    const auto place = static_cast<std::size_t>(index) % network_.size();
    const auto sent = network_[place];
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(place));
    answer(sent, {});
}

void ledger_world::poll(holder& who, std::size_t engine)
{
    if (who.polls[engine])
        return;
    auto& truth = engines_[engine];
    engine_report report;
    report.boot = truth.boot;
    report.sequence = ++truth.sequence;
    for (const auto& [model, memory] : truth.held)
        report.residents.push_back({model_id(model), 1, memory, 0});
    who.polls[engine] = std::move(report);
}

void ledger_world::hear(holder& who, std::size_t engine)
{
    if (who.polls[engine] && who.controller)
        who.controller->on_report(name_of(engine), *who.polls[engine]);
    who.polls[engine].reset();
}

/// The process ends and starts empty; open connections end with it.
void ledger_world::restart(std::size_t engine)
{
    auto& truth = engines_[engine];
    ++truth.boot;
    truth.sequence = 0;
    truth.held.clear();
    std::erase_if(network_, [engine](const sent_order& sent) {
        return sent.engine == engine;
    });
}

/// The instance is gone for good, its sent orders may still arrive; another
/// one with a new id starts in its place, and the list says so.
void ledger_world::replace(std::size_t who)
{
    auto& daemon = holders_[who];
    const auto gone = daemon.id;
    daemon.unsent.clear();
    late_writes_.insert(
        late_writes_.end(), daemon.writes.begin(), daemon.writes.end());
    daemon.writes.clear();
    daemon.controller.reset();
    ++daemon.generation;
    daemon.polls = {};
    daemon.id = instance_id("daemon-" + std::to_string(10 + ++names_));
    for (auto& other : holders_)
        if (other.controller)
            other.controller->on_instances_gone(std::span(&gone, 1));
}

void ledger_world::measure()
{
    for (const auto& engine : engines_) {
        std::uint32_t used = 0;
        for (const auto& [model, memory] : engine.held)
            used += memory;
        worst_mib_ = std::max(worst_mib_, used);
    }
}

} // namespace barleyfork::testing
