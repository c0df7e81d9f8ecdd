#include <barleyfork/core/catalog.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

constexpr std::size_t key_digest_length = 64;

failure invalid(const std::string& detail)
{
    return make_failure(errc::invalid_input, detail);
}

model_entry to_entry(const schema::model_spec_record& spec)
{
    model_entry entry;
    entry.owner = organisation_id(spec.owner);
    entry.id = make_model_id(entry.owner, spec.name);
    entry.name = spec.name;
    entry.source = spec.source;
    entry.version = spec.version;
    entry.memory_mib = spec.memory_mib;
    entry.min_replicas = spec.min_replicas;
    entry.max_replicas = spec.max_replicas;
    entry.requests_per_second_per_replica =
        spec.requests_per_second_per_replica;
    entry.first_token_ms = spec.first_token_ms;
    entry.between_tokens_ms = spec.between_tokens_ms;
    entry.priority = spec.priority;
    return entry;
}

server_entry to_entry(const schema::server_spec_record& spec)
{
    server_entry entry;
    entry.id = server_id(spec.name);
    entry.url = spec.url;
    entry.region = region_id(spec.region);
    entry.failure_domain = failure_domain_id(spec.failure_domain);
    entry.service = spec.service;
    entry.accelerators = spec.accelerators;
    entry.adapter_slab_mib = spec.adapter_slab_mib;
    entry.model_memory_mib = spec.memory_mib - spec.adapter_slab_mib;
    entry.checks_fencing = spec.checks_fencing;
    return entry;
}

} // namespace

model_id make_model_id(const organisation_id& owner, std::string_view name)
{
    return model_id(owner.value() + "/" + std::string(name));
}

failure catalog::build(const schema::deployment_record& deployment,
                       std::shared_ptr<const catalog>& out)
{
    std::shared_ptr<catalog> built(new catalog);
    built->name_ = deployment.name;
    if (deployment.policy) {
        built->policy_.move_price = deployment.policy->move_price;
        built->policy_.loads_per_second = deployment.policy->loads_per_second;
        built->policy_.loads_at_once = deployment.policy->loads_at_once;
        built->policy_.cell_servers = deployment.policy->cell_servers;
    }
    using step = failure (catalog::*)(const schema::deployment_record&);
    constexpr step steps[] = {&catalog::add_organisations,
                              &catalog::add_models,
                              &catalog::add_adapters,
                              &catalog::add_servers,
                              &catalog::add_routes};
    for (const auto add : steps)
        if (auto result = (built.get()->*add)(deployment))
            return result;
    out = std::move(built);
    return {};
}

bool catalog::has_organisation(const std::string& name) const
{
    return organisation_index_.contains(name);
}

failure catalog::add_organisations(const schema::deployment_record& deployment)
{
    for (const auto& spec : deployment.organisations) {
        const auto index = organisations_.size();
        if (spec->name.find('/') != std::string::npos)
            return invalid("organisation " + spec->name +
                           ": its name contains '/'; remove the '/'");
        if (!organisation_index_.emplace(spec->name, index).second)
            return invalid("organisation " + spec->name +
                           " is declared twice; keep one");
        for (const auto& digest : spec->key_digests) {
            if (digest.size() != key_digest_length)
                return invalid("organisation " + spec->name +
                               ": a key digest does not have 64 hexadecimal "
                               "digits; create one with: barleyfork digest");
            if (!organisation_of_key_.emplace(digest, index).second)
                return invalid("organisation " + spec->name +
                               ": a key digest is declared twice; give each "
                               "organisation its own keys");
        }
        organisations_.push_back({organisation_id(spec->name),
                                  spec->requests_per_second,
                                  spec->tokens_per_second,
                                  spec->weight});
    }
    return {};
}

failure catalog::add_models(const schema::deployment_record& deployment)
{
    for (const auto& spec : deployment.models) {
        if (!has_organisation(spec->owner))
            return invalid("model " + spec->name + ": its owner " +
                           spec->owner + " is not declared; declare it");
        if (spec->min_replicas > spec->max_replicas)
            return invalid("model " + spec->name +
                           ": min_replicas is greater than max_replicas; "
                           "lower it");
        auto entry = to_entry(*spec);
        const auto index = models_.size();
        if (!model_index_.emplace(entry.id.value(), index).second)
            return invalid("model " + entry.id.value() +
                           " is declared twice; keep one");
        models_.push_back(std::move(entry));
    }
    return {};
}

failure catalog::add_adapters(const schema::deployment_record& deployment)
{
    for (const auto& spec : deployment.adapters) {
        const auto* base = find_model(model_id(spec->base_model));
        if (base == nullptr)
            return invalid("adapter " + spec->name + ": its base_model " +
                           spec->base_model +
                           " is not declared; write organisation/name");
        const auto id = make_model_id(base->owner, spec->name);
        if (find_model(id) != nullptr ||
            !adapter_index_.emplace(id.value(), adapters_.size()).second)
            return invalid("adapter " + id.value() +
                           ": its name is already in use; choose another");
        adapters_.push_back(
            {id, base->owner, spec->name, base->id, spec->memory_mib});
    }
    return {};
}

failure catalog::add_servers(const schema::deployment_record& deployment)
{
    for (const auto& spec : deployment.backend_servers) {
        if (spec->adapter_slab_mib > spec->memory_mib)
            return invalid("backend_server " + spec->name +
                           ": adapter_slab_mib is greater than memory_mib; "
                           "lower it");
        const auto index = servers_.size();
        if (!server_index_.emplace(spec->name, index).second)
            return invalid("backend_server " + spec->name +
                           " is declared twice; keep one");
        servers_.push_back(to_entry(*spec));
    }
    return {};
}

failure catalog::add_routes(const schema::deployment_record& deployment)
{
    for (const auto& spec : deployment.routes) {
        if (!has_organisation(spec->owner))
            return invalid("route " + spec->path + ": its owner " +
                           spec->owner + " is not declared; declare it");
        const auto has_service = [&spec](const server_entry& server) {
            return server.service == spec->service;
        };
        if (spec->service.empty() ||
            std::none_of(servers_.begin(), servers_.end(), has_service))
            return invalid("route " + spec->path +
                           ": no backend_server has "
                           "the service '" +
                           spec->service + "'; declare one");
        routes_.push_back({organisation_id(spec->owner),
                           spec->path,
                           spec->service,
                           spec->idempotent});
    }
    return {};
}

const organisation_entry*
catalog::organisation_by_key(std::string_view key_digest) const
{
    const auto found = organisation_of_key_.find(std::string(key_digest));
    return found == organisation_of_key_.end() ? nullptr
                                               : &organisations_[found->second];
}

const model_entry* catalog::find_model(const organisation_id& owner,
                                       std::string_view name) const
{
    return find_model(make_model_id(owner, name));
}

const model_entry* catalog::find_model(const model_id& id) const
{
    const auto found = model_index_.find(id.value());
    return found == model_index_.end() ? nullptr : &models_[found->second];
}

const adapter_entry* catalog::find_adapter(const organisation_id& owner,
                                           std::string_view name) const
{
    const auto found = adapter_index_.find(make_model_id(owner, name).value());
    return found == adapter_index_.end() ? nullptr : &adapters_[found->second];
}

const route_entry* catalog::find_route(const organisation_id& owner,
                                       std::string_view path) const
{
    const route_entry* best = nullptr;
    for (const auto& route : routes_) {
        if (route.owner != owner || !path.starts_with(route.path))
            continue;
        if (best == nullptr || route.path.size() > best->path.size())
            best = &route;
    }
    return best;
}

const server_entry* catalog::find_server(const server_id& id) const
{
    const auto found = server_index_.find(id.value());
    return found == server_index_.end() ? nullptr : &servers_[found->second];
}

} // namespace barleyfork
