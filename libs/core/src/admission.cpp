#include <barleyfork/core/admission.hpp>

#include <barleyfork/core/cell_map.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace barleyfork {

namespace {

/// The minimum number of replicas of a model in one of the declarations.
struct floor_entry
{
    const model_entry* model = nullptr;
    std::uint32_t replicas = 0;
    /// The cells of the declaration that the model belongs to.
    const cell_map* cells = nullptr;
};

/// Free model memory of a backend server while models are packed.
struct server_memory
{
    server_id id;
    std::uint64_t free_mib = 0;
};

bool is_declared_in(const catalog& declaration, const model_entry& model)
{
    const auto* other = declaration.find_model(model.id);
    return other != nullptr && other->version == model.version;
}

/// Returns the models of both declarations, largest memory first.
std::vector<floor_entry> merge_floors(const catalog* current,
                                      const cell_map& current_cells,
                                      const catalog& next,
                                      const cell_map& next_cells)
{
    std::vector<floor_entry> floors;
    for (const auto& model : next.models())
        floors.push_back({&model, model.min_replicas, &next_cells});
    if (current != nullptr)
        for (const auto& model : current->models())
            if (!is_declared_in(next, model))
                floors.push_back({&model, model.min_replicas, &current_cells});
    std::stable_sort(
        floors.begin(), floors.end(), [](const auto& a, const auto& b) {
            return a.model->memory_mib > b.model->memory_mib;
        });
    return floors;
}

/// Returns the backend servers that run models, with all memory free.
std::vector<server_memory> collect_free_memory(const catalog& next)
{
    std::vector<server_memory> servers;
    for (const auto& server : next.servers())
        if (server.service.empty())
            servers.push_back({server.id, server.model_memory_mib});
    return servers;
}

/// Places the replicas of a model on the servers of its cell with the most free
/// memory, one on each server. Returns false if they do not fit.
bool place_replicas(const floor_entry& floor,
                    std::vector<server_memory>& servers)
{
    std::vector<server_memory*> candidates;
    candidates.reserve(servers.size());
    const auto cell = floor.cells->cell_of(floor.model->id);
    for (auto& server : servers)
        if (floor.cells->cell_of(server.id) == cell)
            candidates.push_back(&server);
    std::stable_sort(
        candidates.begin(), candidates.end(), [](auto* a, auto* b) {
            return a->free_mib > b->free_mib;
        });
    if (candidates.size() < floor.replicas)
        return false;
    for (std::uint32_t i = 0; i < floor.replicas; ++i) {
        if (candidates[i]->free_mib < floor.model->memory_mib)
            return false;
        candidates[i]->free_mib -= floor.model->memory_mib;
    }
    return true;
}

/// Returns the error for `misfit`, the first model that does not fit.
failure make_misfit_error(const std::vector<floor_entry>& floors,
                          const floor_entry& misfit,
                          const std::vector<server_memory>& servers,
                          std::uint64_t available_mib)
{
    std::uint64_t needed_mib = 0;
    for (const auto& floor : floors)
        needed_mib += std::uint64_t{floor.model->memory_mib} * floor.replicas;
    std::uint64_t max_free_mib = 0;
    for (const auto& server : servers)
        max_free_mib = std::max(max_free_mib, server.free_mib);
    return make_failure(errc::does_not_fit,
                        "the minimum replicas of the old and new "
                        "declarations need " +
                            std::to_string(needed_mib) + " MiB of " +
                            std::to_string(available_mib) + " MiB; model " +
                            misfit.model->id.value() + " needs " +
                            std::to_string(misfit.model->memory_mib) +
                            " MiB on " + std::to_string(misfit.replicas) +
                            " servers, but the largest free memory of a "
                            "server is " +
                            std::to_string(max_free_mib) + " MiB");
}

/// Checks that each adapter fits into the adapter slab of each engine, since a
/// replica may be placed on any engine.
failure check_adapters(const catalog& next)
{
    for (const auto& adapter : next.adapters())
        for (const auto& server : next.servers())
            if (server.service.empty() &&
                server.adapter_slab_mib < adapter.memory_mib)
                return make_failure(
                    errc::does_not_fit,
                    "adapter " + adapter.id.value() + " needs " +
                        std::to_string(adapter.memory_mib) +
                        " MiB, but the adapter_slab_mib of backend_server " +
                        server.id.value() + " is " +
                        std::to_string(server.adapter_slab_mib));
    return {};
}

} // namespace

failure check_admission(const catalog* current, const catalog& next)
{
    if (auto error = check_adapters(next))
        return error;
    const cell_map next_cells(next);
    const auto current_cells =
        current != nullptr ? cell_map(*current) : cell_map();
    const auto floors = merge_floors(current, current_cells, next, next_cells);
    auto servers = collect_free_memory(next);
    std::uint64_t available_mib = 0;
    for (const auto& server : servers)
        available_mib += server.free_mib;
    for (const auto& floor : floors)
        if (!place_replicas(floor, servers))
            return make_misfit_error(floors, floor, servers, available_mib);
    return {};
}

} // namespace barleyfork
