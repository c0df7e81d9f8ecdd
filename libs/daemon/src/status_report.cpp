#include "status_report.hpp"

#include <boost/json.hpp>

namespace barleyfork {

namespace json = boost::json;

namespace {

json::array describe_daemons(const daemon_context& context,
                             const control& decisions)
{
    const auto& confirmed = decisions.configuration().confirmations();
    const auto revision_of = [&confirmed](const instance_id& id) {
        const auto found = confirmed.find(id);
        return found == confirmed.end() ? 0 : found->second.in_force;
    };
    json::array list;
    list.push_back(json::object{{"instance", context.self.value()},
                                {"state", "alive"},
                                {"revision", revision_of(context.self)}});
    for (const auto* member : decisions.members().listed())
        list.push_back(json::object{
            {"instance", member->place.id.value()},
            {"state", schema::EnumNamemember_state(member->state)},
            {"failure_domain", member->place.failure_domain.value()},
            {"revision", revision_of(member->place.id)}});
    return list;
}

json::object describe_server(const server_entry& server,
                             const control& decisions,
                             time_point now)
{
    json::object entry{{"server", server.id.value()},
                       {"failure_domain", server.failure_domain.value()},
                       {"service", server.service}};
    const auto* status = decisions.reports().fresh(server.id, now);
    entry["reporting"] = status != nullptr;
    entry["leaving"] = decisions.reports().leaving(server.id);
    if (status != nullptr)
        entry["outstanding"] = status->outstanding;
    const auto& rows = decisions.placement().rows();
    const auto row = rows.find(server.id);
    if (row == rows.end())
        return entry;
    json::array residents;
    for (const auto& resident : row->second.residents)
        residents.push_back(json::string(resident.model.value() + "@" +
                                         std::to_string(resident.version)));
    entry["residents"] = std::move(residents);
    entry["orders"] = row->second.orders.size();
    entry["committed_mib"] = committed_mib(row->second);
    entry["capacity_mib"] = row->second.capacity_mib;
    return entry;
}

} // namespace

std::string describe_configuration(const control& decisions)
{
    const auto& state = decisions.configuration().state();
    json::object body{{"revision", state.revision()},
                      {"digest", state.known().digest},
                      {"applied_by", state.known().applied_by}};
    if (!state.in_force())
        return json::serialize(body);
    json::array organisations;
    for (const auto& entry : state.in_force()->organisations())
        organisations.push_back(json::string(entry.id.value()));
    json::array models;
    for (const auto& entry : state.in_force()->models())
        models.push_back(json::object{{"model", entry.id.value()},
                                      {"version", entry.version},
                                      {"memory_mib", entry.memory_mib},
                                      {"min_replicas", entry.min_replicas}});
    json::array routes;
    for (const auto& entry : state.in_force()->routes())
        routes.push_back(json::object{{"organisation", entry.owner.value()},
                                      {"path", entry.path},
                                      {"service", entry.service},
                                      {"idempotent", entry.idempotent}});
    body["deployment"] = state.in_force()->name();
    body["organisations"] = std::move(organisations);
    body["models"] = std::move(models);
    body["routes"] = std::move(routes);
    return json::serialize(body);
}

std::string describe_status(const daemon_context& context,
                            const control& decisions,
                            time_point now)
{
    const auto& state = decisions.configuration().state();
    json::object body{{"revision", state.revision()},
                      {"staged_revision", state.staged_revision()},
                      {"draining", context.draining.load()}};
    body["daemons"] = describe_daemons(context, decisions);
    json::array servers;
    if (state.in_force())
        for (const auto& server : state.in_force()->servers())
            servers.push_back(describe_server(server, decisions, now));
    body["backend_servers"] = std::move(servers);
    json::array leases;
    for (const auto& holder : decisions.placement().holders())
        leases.push_back(json::string(holder.value()));
    body["leases"] = std::move(leases);
    return json::serialize(body);
}

std::string
describe_model(const control& decisions, const model_id& model, time_point now)
{
    const auto config = decisions.configuration().state().in_force();
    const auto* entry = config ? config->find_model(model) : nullptr;
    if (entry == nullptr)
        return {};
    json::array replicas;
    for (const auto& [server, row] : decisions.placement().rows()) {
        for (const auto& resident : row.residents) {
            if (resident.model != model)
                continue;
            const bool ready = is_ready(row, resident.model, resident.version);
            replicas.push_back(json::object{
                {"server", server.value()},
                {"version", resident.version},
                {"state", ready ? "ready" : "unloading"},
                {"reporting",
                 decisions.reports().fresh(server, now) != nullptr}});
        }
        for (const auto& order : row.orders)
            if (order.model == model && order.kind == order_kind::load)
                replicas.push_back(json::object{{"server", server.value()},
                                                {"version", order.version},
                                                {"state", "loading"},
                                                {"reporting", true}});
    }
    const json::object body{{"model", model.value()},
                            {"declared_version", entry->version},
                            {"min_replicas", entry->min_replicas},
                            {"demand", decisions.placement().demand_of(model)},
                            {"replicas", std::move(replicas)}};
    return json::serialize(body);
}

} // namespace barleyfork
