#include "cell_input.hpp"

#include <algorithm>
#include <set>

namespace barleyfork {

namespace {

planner_replica to_replica(const ledger_row& row,
                           const resident_model& resident)
{
    planner_replica replica;
    replica.model = resident.model;
    replica.version = resident.version;
    replica.memory_mib = resident.memory_mib;
    replica.ready = is_ready(row, resident.model, resident.version);
    replica.changing = has_order(row, resident.model, resident.version);
    replica.unloading = is_unloading(row, resident.model, resident.version);
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

bool has_resident_for(const ledger_row& row, const engine_order& order)
{
    return std::any_of(row.residents.begin(),
                       row.residents.end(),
                       [&order](const resident_model& resident) {
                           return resident.model == order.model &&
                                  resident.version == order.version;
                       });
}

/// Returns true if a server of the model's own cell has its version ready.
bool is_ready_in_own_cell(const cell_input_sources& sources,
                          const cell_map& cells,
                          const model_entry& model)
{
    const auto own_cell = cells.cell_of(model.id);
    return std::any_of(
        sources.rows.begin(), sources.rows.end(), [&](const auto& item) {
            return cells.cell_of(item.first) == own_cell &&
                   is_ready(item.second, model.id, model.version);
        });
}

planner_server make_server(const cell_input_sources& sources,
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
    for (const auto& resident : row.residents)
        server.replicas.push_back(to_replica(row, resident));
    for (const auto& order : row.orders) {
        if (order.kind != order_kind::load || has_resident_for(row, order))
            continue;
        const bool unanswered = sources.controller.is_unanswered(id, order);
        server.replicas.push_back(to_replica(order, !unanswered));
        loading += unanswered ? 0 : 1;
    }
    return server;
}

planner_model make_model(const cell_input_sources& sources,
                         const model_entry& model)
{
    planner_model planned;
    planned.id = model.id;
    planned.version = model.version;
    planned.memory_mib = model.memory_mib;
    planned.min_replicas = model.min_replicas;
    planned.max_replicas = model.max_replicas;
    const auto found = sources.estimators.find(model.id);
    if (found != sources.estimators.end()) {
        planned.demand = found->second.fast();
        planned.peak_demand = found->second.peak();
    }
    return planned;
}

std::set<model_id> resident_models(const planner_input& input)
{
    std::set<model_id> resident;
    for (const auto& server : input.servers)
        for (const auto& replica : server.replicas)
            resident.insert(replica.model);
    return resident;
}

} // namespace

cell_input make_cell_input(const cell_input_sources& sources,
                           const cell_map& cells,
                           std::size_t index,
                           time_point now)
{
    cell_input result;
    for (const auto& id : sources.controller.servers())
        if (const auto* declared = sources.config.find_server(id))
            result.input.servers.push_back(
                make_server(sources, *declared, now, result.loading));
    const auto resident_ids = resident_models(result.input);
    for (const auto& model : sources.config.models()) {
        const bool own = cells.cell_of(model.id) == index;
        if (!own && (!resident_ids.contains(model.id) ||
                     is_ready_in_own_cell(sources, cells, model)))
            continue;
        result.input.models.push_back(make_model(sources, model));
        if (!own)
            result.input.models.back().max_replicas =
                result.input.models.back().min_replicas;
    }
    return result;
}

} // namespace barleyfork
