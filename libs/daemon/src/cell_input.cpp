#include "cell_input.hpp"

#include <algorithm>
#include <set>

namespace barleyfork {

namespace {

planner_replica to_replica(const ledger_row& row, const resident_model& held)
{
    planner_replica replica;
    replica.model = held.model;
    replica.version = held.version;
    replica.memory_mib = held.memory_mib;
    replica.ready = is_ready(row, held.model, held.version);
    replica.changing = has_order(row, held.model, held.version);
    replica.unloading = is_unloading(row, held.model, held.version);
    return replica;
}

planner_replica to_replica(const engine_order& order, bool changing)
{
    planner_replica replica;
    replica.model = order.model;
    replica.version = order.version;
    replica.memory_mib = order.memory_mib;
    replica.changing = changing;
    return replica;
}

bool holds(const ledger_row& row, const engine_order& order)
{
    return std::any_of(row.residents.begin(),
                       row.residents.end(),
                       [&order](const resident_model& held) {
                           return held.model == order.model &&
                                  held.version == order.version;
                       });
}

/// True where a server of the model's own cell serves its version.
bool is_ready_at_home(const cell_sources& sources,
                      const cell_map& cells,
                      const model_entry& model)
{
    const auto home = cells.cell_of(model.id);
    return std::any_of(
        sources.rows.begin(), sources.rows.end(), [&](const auto& item) {
            return cells.cell_of(item.first) == home &&
                   is_ready(item.second, model.id, model.version);
        });
}

planner_server make_server(const cell_sources& sources,
                           const server_entry& declared,
                           time_point now,
                           std::uint32_t& loading)
{
    const auto& id = declared.id;
    const auto& row = *sources.controller.written_row(id);
    planner_server server;
    server.id = id;
    server.failure_domain = declared.failure_domain;
    server.memory_mib = row.capacity_mib;
    server.committed_mib = committed_mib(row);
    server.usable = row.boot != 0 && !sources.reports.leaving(id) &&
                    sources.reports.fresh(id, now) != nullptr;
    for (const auto& held : row.residents)
        server.replicas.push_back(to_replica(row, held));
    for (const auto& order : row.orders) {
        if (order.kind != order_kind::load || holds(row, order))
            continue;
        const bool unanswered = sources.controller.is_unanswered(id, order);
        server.replicas.push_back(to_replica(order, !unanswered));
        loading += unanswered ? 0 : 1;
    }
    return server;
}

planner_model make_model(const cell_sources& sources, const model_entry& model)
{
    planner_model wanted;
    wanted.id = model.id;
    wanted.version = model.version;
    wanted.memory_mib = model.memory_mib;
    wanted.min_replicas = model.min_replicas;
    wanted.max_replicas = model.max_replicas;
    const auto found = sources.estimators.find(model.id);
    if (found != sources.estimators.end()) {
        wanted.demand = found->second.fast();
        wanted.peak_demand = found->second.peak();
    }
    return wanted;
}

std::set<model_id> models_held(const planner_input& input)
{
    std::set<model_id> held;
    for (const auto& server : input.servers)
        for (const auto& replica : server.replicas)
            held.insert(replica.model);
    return held;
}

} // namespace

cell_input make_cell_input(const cell_sources& sources,
                           const cell_map& cells,
                           std::size_t index,
                           time_point now)
{
    cell_input made;
    for (const auto& id : sources.controller.servers())
        if (const auto* declared = sources.config.find_server(id))
            made.input.servers.push_back(
                make_server(sources, *declared, now, made.loading));
    const auto held = models_held(made.input);
    for (const auto& model : sources.config.models()) {
        const bool own = cells.cell_of(model.id) == index;
        if (!own && (!held.contains(model.id) ||
                     is_ready_at_home(sources, cells, model)))
            continue;
        made.input.models.push_back(make_model(sources, model));
        if (!own)
            made.input.models.back().max_replicas =
                made.input.models.back().min_replicas;
    }
    return made;
}

} // namespace barleyfork
