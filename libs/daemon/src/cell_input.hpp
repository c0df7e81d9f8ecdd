#ifndef BARLEYFORK_DAEMON_SRC_CELL_INPUT_HPP
#define BARLEYFORK_DAEMON_SRC_CELL_INPUT_HPP

#include "server_reports.hpp"

#include <barleyfork/core/catalog.hpp>
#include <barleyfork/core/cell_controller.hpp>
#include <barleyfork/core/cell_map.hpp>
#include <barleyfork/core/demand_estimator.hpp>
#include <barleyfork/core/placement_planner.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace barleyfork {

/// The sources of one planning round of a cell.
struct cell_input_sources
{
    const catalog& config;
    const cell_controller& controller;
    const server_reports& reports;
    /// Ledger rows of all cells, as last read.
    const std::map<server_id, ledger_row>& rows;
    const std::map<model_id, demand_estimator>& estimators;
};

/// The planner's input and the number of loads in progress in the cell.
struct cell_input
{
    planner_input input;
    std::uint32_t loading = 0;
};

/// Builds the planner's input for the cell at `index`.
///
/// After cells are regrouped, a model of another cell that is still resident
/// in this cell stays until a replica in its own cell is ready.
cell_input make_cell_input(const cell_input_sources& sources,
                           const cell_map& cells,
                           std::size_t index,
                           time_point now);

} // namespace barleyfork

#endif
