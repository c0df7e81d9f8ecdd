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

/// What one planning round of a cell is made from.
struct cell_sources
{
    const catalog& config;
    const cell_controller& controller;
    const server_reports& reports;
    /// Ledger rows of every cell, as last seen.
    const std::map<server_id, ledger_row>& rows;
    const std::map<model_id, demand_estimator>& estimators;
};

/// The planner's input, and the loads that are under way in the cell.
struct cell_input
{
    planner_input input;
    std::uint32_t loading = 0;
};

/// Makes the input of one cell.
///
/// A model of another cell that is still resident here, after cells were
/// regrouped, stays until a replica of its own cell is ready.
cell_input make_cell_input(const cell_sources& sources,
                           const cell_map& cells,
                           std::size_t index,
                           time_point now);

} // namespace barleyfork

#endif
