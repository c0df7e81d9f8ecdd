#ifndef BARLEYFORK_CORE_CELL_MAP_HPP
#define BARLEYFORK_CORE_CELL_MAP_HPP

#include <barleyfork/base/strong_id.hpp>
#include <barleyfork/core/catalog.hpp>

#include <cstddef>
#include <unordered_map>

namespace barleyfork {

/// Assignment of servers and models to cells of backend servers.
///
/// The assignment depends on the declaration alone, so that all daemons agree.
/// Servers are distributed by a hash. A model is assigned to the first cell,
/// in an order of its own, that has memory for its minimum replicas; so a
/// change of one model moves few others, and no model is assigned to a cell
/// without servers.
class cell_map
{
public:
    cell_map() = default;
    explicit cell_map(const catalog& declaration);

    /// Returns the number of cells; 0 before the first declaration.
    std::size_t size() const noexcept
    {
        return cells_;
    }

    std::size_t cell_of(const server_id& server) const;
    std::size_t cell_of(const model_id& model) const;

private:
    std::size_t cells_ = 0;
    std::unordered_map<model_id, std::size_t> models_;
};

} // namespace barleyfork

#endif
