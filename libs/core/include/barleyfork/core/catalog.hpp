#ifndef BARLEYFORK_CORE_CATALOG_HPP
#define BARLEYFORK_CORE_CATALOG_HPP

#include <barleyfork/base/error.hpp>
#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/schema/deployment_generated.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace barleyfork {

/// The settings of an organisation that the request path needs.
struct organisation_entry
{
    organisation_id id;
    std::uint32_t requests_per_second = 0;
    std::uint32_t tokens_per_second = 0;
    std::uint32_t weight = 1;
};

/// A declared model. `id` is `organisation/name`, unique in a deployment.
struct model_entry
{
    model_id id;
    organisation_id owner;
    std::string name;
    std::string source;
    std::uint32_t version = 1;
    std::uint32_t memory_mib = 0;
    std::uint32_t min_replicas = 1;
    std::uint32_t max_replicas = 64;
    double requests_per_second_per_replica = 1.0;
    std::uint32_t first_token_ms = 400;
    std::uint32_t between_tokens_ms = 42;
    std::uint32_t priority = 1;
};

/// An adapter of a model. `id` is `organisation/name`. Callers give its name in
/// place of a model's. The engine loads it into the memory slab that is
/// reserved for adapters.
struct adapter_entry
{
    model_id id;
    organisation_id owner;
    std::string name;
    model_id base_model;
    std::uint32_t memory_mib = 0;
};

/// A path prefix whose requests go to a plain service.
struct route_entry
{
    organisation_id owner;
    std::string path;
    std::string service;
    bool idempotent = true;
};

/// A backend server: either runs models or is a replica of `service`.
struct server_entry
{
    server_id id;
    std::string url;
    region_id region;
    failure_domain_id failure_domain;
    std::string service;
    std::uint32_t accelerators = 0;
    /// Accelerator memory for models, without the adapter slab.
    std::uint32_t model_memory_mib = 0;
    std::uint32_t adapter_slab_mib = 0;
    bool checks_fencing = true;
};

/// Deployment-wide trade-offs; see `placement_planner`.
struct policy_entry
{
    double move_price = 1.0;
    double loads_per_second = 1.6;
    std::uint32_t loads_at_once = 2;
    std::uint32_t cell_servers = 50;
};

/// An immutable, indexed view of one accepted declaration. Shared between
/// threads through `std::shared_ptr<const catalog>`.
class catalog
{
public:
    /// Checks the references and limits of a declaration and builds its
    /// catalog.
    ///
    /// Fails with `invalid_input` for an unknown owner, a duplicate name, a
    /// service without replicas or an adapter slab larger than the memory. The
    /// detail names the entry and the remedy.
    static failure build(const schema::deployment_record& deployment,
                         std::shared_ptr<const catalog>& out);

    /// Returns the organisation of a caller key's digest, or null.
    const organisation_entry*
    organisation_by_key(std::string_view key_digest) const;

    /// Returns null if the owner has no model of this name.
    const model_entry* find_model(const organisation_id& owner,
                                  std::string_view name) const;

    /// Returns null if no model has this id.
    const model_entry* find_model(const model_id& id) const;

    /// Returns null if the owner has no adapter of this name.
    const adapter_entry* find_adapter(const organisation_id& owner,
                                      std::string_view name) const;

    /// Returns the route of `owner` with the longest path that is a prefix of
    /// `path`, or null.
    const route_entry* find_route(const organisation_id& owner,
                                  std::string_view path) const;

    /// Returns null if no backend server has this id.
    const server_entry* find_server(const server_id& id) const;

    const std::vector<organisation_entry>& organisations() const noexcept
    {
        return organisations_;
    }
    const std::vector<model_entry>& models() const noexcept
    {
        return models_;
    }
    const std::vector<adapter_entry>& adapters() const noexcept
    {
        return adapters_;
    }
    const std::vector<route_entry>& routes() const noexcept
    {
        return routes_;
    }
    const std::vector<server_entry>& servers() const noexcept
    {
        return servers_;
    }
    const policy_entry& policy() const noexcept
    {
        return policy_;
    }
    const std::string& name() const noexcept
    {
        return name_;
    }

private:
    catalog() = default;

    failure add_organisations(const schema::deployment_record& deployment);
    failure add_models(const schema::deployment_record& deployment);
    failure add_adapters(const schema::deployment_record& deployment);
    failure add_servers(const schema::deployment_record& deployment);
    failure add_routes(const schema::deployment_record& deployment);
    bool has_organisation(const std::string& name) const;

    std::string name_;
    policy_entry policy_;
    std::vector<organisation_entry> organisations_;
    std::vector<model_entry> models_;
    std::vector<adapter_entry> adapters_;
    std::vector<route_entry> routes_;
    std::vector<server_entry> servers_;
    std::unordered_map<std::string, std::size_t> organisation_of_key_;
    std::unordered_map<std::string, std::size_t> organisation_index_;
    std::unordered_map<std::string, std::size_t> model_index_;
    std::unordered_map<std::string, std::size_t> adapter_index_;
    std::unordered_map<std::string, std::size_t> server_index_;
};

/// Returns `owner/name`, the id of a model or an adapter.
model_id make_model_id(const organisation_id& owner, std::string_view name);

} // namespace barleyfork

#endif
