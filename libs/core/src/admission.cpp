#include <barleyfork/core/admission.hpp>

#include <barleyfork/core/cell_map.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace barleyfork {

namespace {

struct floor_entry
{
    const model_entry* model = nullptr;
    std::uint32_t replicas = 0;
    /// The map of the declaration that the floor belongs to.
    const cell_map* cells = nullptr;
};

struct server_room
{
    server_id server;
    std::uint64_t free_mib = 0;
};

bool stands_in(const catalog& declaration, const model_entry& model)
{
    const auto* other = declaration.find_model(model.id);
    return other != nullptr && other->version == model.version;
}

std::vector<floor_entry> union_of_floors(const catalog* current,
                                         const cell_map& current_cells,
                                         const catalog& next,
                                         const cell_map& next_cells)
{
    std::vector<floor_entry> floors;
    for (const auto& model : next.models())
        floors.push_back({&model, model.min_replicas, &next_cells});
    if (current != nullptr)
        for (const auto& model : current->models())
            if (!stands_in(next, model))
                floors.push_back({&model, model.min_replicas, &current_cells});
    std::stable_sort(
        floors.begin(), floors.end(), [](const auto& a, const auto& b) {
            return a.model->memory_mib > b.model->memory_mib;
        });
    return floors;
}

std::vector<server_room> rooms_of(const catalog& next)
{
    std::vector<server_room> rooms;
    for (const auto& server : next.servers())
        if (server.service.empty())
            rooms.push_back({server.id, server.model_memory_mib});
    return rooms;
}

/// Places one model on as many of its cell's emptiest servers as it needs.
bool place(const floor_entry& floor, std::vector<server_room>& rooms)
{
    std::vector<server_room*> order;
    order.reserve(rooms.size());
    const auto cell = floor.cells->cell_of(floor.model->id);
    for (auto& room : rooms)
        if (floor.cells->cell_of(room.server) == cell)
            order.push_back(&room);
    std::stable_sort(order.begin(), order.end(), [](auto* a, auto* b) {
        return a->free_mib > b->free_mib;
    });
    if (order.size() < floor.replicas)
        return false;
    for (std::uint32_t i = 0; i < floor.replicas; ++i) {
        if (order[i]->free_mib < floor.model->memory_mib)
            return false;
        order[i]->free_mib -= floor.model->memory_mib;
    }
    return true;
}

failure refuse(const std::vector<floor_entry>& floors,
               const floor_entry& misfit,
               const std::vector<server_room>& rooms,
               std::uint64_t available)
{
    std::uint64_t needed = 0;
    for (const auto& floor : floors)
        needed += std::uint64_t{floor.model->memory_mib} * floor.replicas;
    std::uint64_t largest = 0;
    for (const auto& room : rooms)
        largest = std::max(largest, room.free_mib);
    return make_failure(errc::does_not_fit,
                        "old and new floors need " + std::to_string(needed) +
                            " MiB of " + std::to_string(available) +
                            " MiB; model " + misfit.model->id.value() +
                            " needs " +
                            std::to_string(misfit.model->memory_mib) +
                            " MiB on " + std::to_string(misfit.replicas) +
                            " servers and the largest room left is " +
                            std::to_string(largest) + " MiB");
}

/// A replica may stand on any engine, so each slab must take each adapter.
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
                        " MiB and the adapter_slab_mib of " +
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
    const auto floors =
        union_of_floors(current, current_cells, next, next_cells);
    auto rooms = rooms_of(next);
    std::uint64_t available = 0;
    for (const auto& room : rooms)
        available += room.free_mib;
    for (const auto& floor : floors)
        if (!place(floor, rooms))
            return refuse(floors, floor, rooms, available);
    return {};
}

} // namespace barleyfork
