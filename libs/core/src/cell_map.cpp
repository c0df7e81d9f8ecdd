#include <barleyfork/core/cell_map.hpp>

#include <barleyfork/base/digest.hpp>

#include <algorithm>
#include <vector>

namespace barleyfork {

namespace {

std::size_t count_engines(const catalog& declaration)
{
    const auto& servers = declaration.servers();
    return static_cast<std::size_t>(
        std::count_if(servers.begin(), servers.end(), [](const auto& server) {
            return server.service.empty();
        }));
}

/// Returns the cells in the model's own order, by rendezvous hashing.
std::vector<std::size_t> order_of(const model_id& model, std::size_t cells)
{
    std::vector<std::size_t> order(cells);
    for (std::size_t i = 0; i < cells; ++i)
        order[i] = i;
    std::sort(order.begin(), order.end(), [&model](auto a, auto b) {
        return hash64(model.value(), a) > hash64(model.value(), b);
    });
    return order;
}

} // namespace

cell_map::cell_map(const catalog& declaration)
{
    const std::size_t servers_per_cell = declaration.policy().cell_servers;
    const auto engines = count_engines(declaration);
    cells_ = std::max<std::size_t>(
        1, (engines + servers_per_cell - 1) / servers_per_cell);
    std::vector<std::uint64_t> free_mib(cells_, 0);
    for (const auto& server : declaration.servers())
        if (server.service.empty())
            free_mib[cell_of(server.id)] += server.model_memory_mib;
    std::vector<const model_entry*> models;
    for (const auto& model : declaration.models())
        models.push_back(&model);
    std::stable_sort(models.begin(), models.end(), [](auto* a, auto* b) {
        return a->memory_mib > b->memory_mib;
    });
    for (const auto* model : models) {
        const auto floor =
            std::uint64_t{model->memory_mib} * model->min_replicas;
        const auto order = order_of(model->id, cells_);
        const auto fits =
            std::find_if(order.begin(), order.end(), [&](std::size_t cell) {
                return free_mib[cell] >= floor;
            });
        const auto cell =
            fits != order.end()
                ? *fits
                : static_cast<std::size_t>(
                      std::max_element(free_mib.begin(), free_mib.end()) -
                      free_mib.begin());
        free_mib[cell] -= std::min(free_mib[cell], floor);
        models_.emplace(model->id, cell);
    }
}

std::size_t cell_map::cell_of(const server_id& server) const
{
    return hash64(server.value()) % cells_;
}

std::size_t cell_map::cell_of(const model_id& model) const
{
    const auto found = models_.find(model);
    return found == models_.end() ? 0 : found->second;
}

} // namespace barleyfork
